//! How the callers' requests ended.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;
use hdrhistogram::Histogram;

const LATENCY_MAX: Millis = Millis::secs(120);

/// How one request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With its own whole answer.
    Answered,
    /// With its upstream's own word that it failed.
    Failed(u16),
    /// Proved not to have run, with the reason.
    NotRun(String),
    /// Possibly run, with the reason.
    Unknown(String),
    /// Refused for good, with the reason.
    Refused(String),
    /// No connection to the entry host.
    Unreachable,
    /// The connection to the entry host broke, or nothing came.
    Broken(String),
    /// An answer that is not its own, or not whole.
    Wrong(String),
}

/// How the requests of one service ended.
#[derive(Clone, Debug)]
pub struct ServiceRecord {
    /// The latency of answered requests, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests by ending and reason.
    pub endings: BTreeMap<String, u64>,
}

/// How all requests ended.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// By service.
    pub services: BTreeMap<String, ServiceRecord>,
    /// The names of the requests that were told "not run".
    pub not_run: Vec<String>,
    /// The keys of the requests that were answered.
    pub answered_keys: Vec<String>,
    /// Answers that were not the request's own, and requests that got none.
    pub broken: Vec<String>,
    /// Requests sent again to another host after the first could not be reached.
    pub sent_again: u64,
}

impl Default for ServiceRecord {
    fn default() -> Self {
        let latency = Histogram::new_with_max(LATENCY_MAX.0 * 1_000, 3);
        Self { latency: latency.expect("the bounds are in range"), endings: BTreeMap::new() }
    }
}

impl Ending {
    /// The name in reports.
    pub fn label(&self) -> String {
        match self {
            Ending::Answered => "answered".to_owned(),
            Ending::Failed(status) => format!("failed/{status}"),
            Ending::NotRun(reason) => format!("not-run/{reason}"),
            Ending::Unknown(reason) => format!("unknown/{reason}"),
            Ending::Refused(reason) => format!("refused/{reason}"),
            Ending::Unreachable => "unreachable".to_owned(),
            Ending::Broken(_) => "broken".to_owned(),
            Ending::Wrong(_) => "wrong".to_owned(),
        }
    }
}

impl Record {
    /// Counts one request.
    pub fn add(&mut self, call: &super::Call, ending: &Ending, took: std::time::Duration) {
        let service = self.services.entry(call.service.clone()).or_default();
        *service.endings.entry(ending.label()).or_default() += 1;
        match ending {
            Ending::Answered => {
                service.latency.saturating_record(took.as_micros() as u64);
                self.answered_keys.extend(call.key.map(|key| key.to_string()));
            }
            Ending::NotRun(_) => self.not_run.push(call.name.clone()),
            Ending::Unreachable | Ending::Broken(_) | Ending::Wrong(_) => {
                self.broken.push(format!("{}: {ending:?}", call.name));
            }
            Ending::Failed(_) | Ending::Unknown(_) | Ending::Refused(_) => {}
        }
    }

    /// Requests of all services with endings that start with `label`.
    pub fn count(&self, label: &str) -> u64 {
        let endings = self.services.values().flat_map(|service| &service.endings);
        endings.filter(|(name, _)| name.starts_with(label)).map(|(_, n)| n).sum()
    }

    /// All requests.
    pub fn total(&self) -> u64 {
        self.count("")
    }
}
