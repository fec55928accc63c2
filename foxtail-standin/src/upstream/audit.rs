//! What ran where, counted apart from the system under test.

use std::collections::HashMap;

use foxtail_types::prelude::*;
use parking_lot::Mutex;

/// What ran on all upstreams that share it.
#[derive(Debug, Default)]
pub struct Audit {
    runs: Mutex<Vec<Run>>,
    crashes: Mutex<HashMap<String, u32>>,
}

/// One request that an upstream began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The upstream's region.
    pub region: RegionId,
    /// The caller's own name for the request, from `x-lab-call`.
    pub call: String,
    /// The region of the entry host, from `x-lab-entry`.
    pub entry: String,
    /// The idempotency key, from `x-foxtail-key`.
    pub key: Option<String>,
    /// When it began, by the upstream's clock.
    pub began: Millis,
}

impl Audit {
    /// Notes that a request began to run.
    pub fn began(&self, run: Run) {
        self.runs.lock().push(run);
    }

    /// Notes that the request which its caller calls `call` crashed an upstream.
    pub fn crashed(&self, call: &str) {
        *self.crashes.lock().entry(call.to_owned()).or_default() += 1;
    }

    /// Everything that ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().clone()
    }

    /// How often requests ran that carried `key`.
    pub fn runs_of_key(&self, key: &str) -> usize {
        self.runs.lock().iter().filter(|run| run.key.as_deref() == Some(key)).count()
    }

    /// How often the request ran which its caller calls `call`.
    pub fn runs_of_call(&self, call: &str) -> usize {
        self.runs.lock().iter().filter(|run| run.call == call).count()
    }

    /// The keys that ran more than once, with their count.
    pub fn repeated_keys(&self) -> Vec<(String, usize)> {
        let mut counts: HashMap<String, usize> = HashMap::new();
        for key in self.runs.lock().iter().filter_map(|run| run.key.as_ref()) {
            *counts.entry(key.clone()).or_default() += 1;
        }
        counts.into_iter().filter(|(_, n)| *n > 1).collect()
    }

    /// How many upstreams the request crashed which its caller calls `call`.
    pub fn crashes_of_call(&self, call: &str) -> u32 {
        self.crashes.lock().get(call).copied().unwrap_or(0)
    }

    /// The most requests in any second that ran in another region than their entry host's, by the
    /// entry host's region.
    pub fn shifted_peak_per_s(&self) -> HashMap<String, usize> {
        let mut times: HashMap<String, Vec<Millis>> = HashMap::new();
        for run in self.runs.lock().iter() {
            if !run.entry.is_empty() && run.entry != run.region.as_str() {
                times.entry(run.entry.clone()).or_default().push(run.began);
            }
        }
        times.into_iter().map(|(entry, times)| (entry, peak_in_a_second(times))).collect()
    }
}

/// The most points of time in any window of one second.
fn peak_in_a_second(mut times: Vec<Millis>) -> usize {
    times.sort_unstable();
    let mut first = 0;
    let mut peak = 0;
    for last in 0..times.len() {
        while times[last].since(times[first]) >= Millis::secs(1) {
            first += 1;
        }
        peak = peak.max(last + 1 - first);
    }
    peak
}
