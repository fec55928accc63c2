//! The look-up answers that the callers of one region hold.

use std::collections::HashMap;
use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use foxtail_net::http::{Client, body_of};
use foxtail_time::BootClock;
use foxtail_types::prelude::*;
use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use parking_lot::Mutex;
use rand::Rng;
use serde::Deserialize;

/// How many hosts are remembered besides those of the last answer.
const HOSTS_KEPT: usize = 16;

/// An entry host in a look-up answer.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Entry {
    /// Its region.
    pub(crate) region: RegionId,
    /// Where callers reach it.
    pub(crate) address: SocketAddr,
    /// Its share of the requests.
    weight: u32,
}

/// A look-up answer.
#[derive(Clone, Debug, Deserialize)]
struct Answer {
    ttl_ms: u64,
    hosts: Vec<Entry>,
}

/// Look-up answers, kept for as long as they say.
pub(crate) struct Directory {
    workspace: WorkspaceId,
    region: RegionId,
    /// Hosts to ask, those of the last answers first.
    hosts: Mutex<Vec<SocketAddr>>,
    answers: Mutex<HashMap<String, (Millis, Answer)>>,
}

impl Directory {
    /// Look-ups for callers of `region`, at any of `hosts`.
    pub(crate) fn new(workspace: &WorkspaceId, region: &RegionId, hosts: Vec<SocketAddr>) -> Self {
        let (workspace, region) = (workspace.clone(), region.clone());
        Self { workspace, region, hosts: Mutex::new(hosts), answers: Mutex::default() }
    }

    /// An entry host for `service`, by the weights; `but` is not chosen while there are others.
    pub(crate) async fn entry(
        &self,
        client: &Client,
        service: &str,
        but: Option<SocketAddr>,
    ) -> Result<Entry> {
        let held = self.held(service);
        let hosts = match held {
            Some(hosts) => hosts,
            None => self.ask_any(client, service).await?,
        };
        choose(&hosts, but).with_context(|| format!("no entry host for {service}"))
    }

    /// Forgets what is held, after a host could not be reached.
    pub(crate) fn forget(&self, service: &str) {
        self.answers.lock().remove(service);
    }

    fn held(&self, service: &str) -> Option<Vec<Entry>> {
        let answers = self.answers.lock();
        let (until, answer) = answers.get(service)?;
        (BootClock.now() < *until).then(|| answer.hosts.clone())
    }

    async fn ask_any(&self, client: &Client, service: &str) -> Result<Vec<Entry>> {
        let mut last = None;
        let known = self.hosts.lock().clone();
        for host in known {
            match self.ask(client, host, service).await {
                Ok(answer) => {
                    self.learn(&answer.hosts);
                    let until = BootClock.now() + Millis(answer.ttl_ms);
                    let hosts = answer.hosts.clone();
                    self.answers.lock().insert(service.to_owned(), (until, answer));
                    return Ok(hosts);
                }
                Err(e) => last = Some(e),
            }
        }
        Err(last.context("there is no host to ask")?)
    }

    /// Remembers the hosts of an answer, which outlive those known before.
    fn learn(&self, found: &[Entry]) {
        let mut hosts = self.hosts.lock();
        let mut newest: Vec<_> = found.iter().map(|entry| entry.address).collect();
        let first = rand::rng().random_range(0..newest.len().max(1));
        newest.rotate_left(first);
        let before = hosts.iter().filter(|host| !newest.contains(host));
        let before: Vec<_> = before.take(HOSTS_KEPT).copied().collect();
        newest.extend(before);
        *hosts = newest;
    }

    async fn ask(&self, client: &Client, host: SocketAddr, service: &str) -> Result<Answer> {
        let (workspace, region) = (&self.workspace, &self.region);
        let uri = format!(
            "http://{host}/-/lookup?workspace={workspace}&service={service}&region={region}"
        );
        let res = client.request(Request::get(uri).body(body_of(""))?).await?;
        let status = res.status();
        let text = res.into_body().collect().await?.to_bytes();
        if status != StatusCode::OK {
            bail!("look-up at {host}: {status}");
        }
        Ok(serde_json::from_slice(&text)?)
    }
}

fn choose(hosts: &[Entry], but: Option<SocketAddr>) -> Option<Entry> {
    let usable = |entry: &&Entry| hosts.len() == 1 || Some(entry.address) != but;
    let total: u32 = hosts.iter().filter(usable).map(|entry| entry.weight).sum();
    let mut at = rand::rng().random_range(0..total.max(1));
    for entry in hosts.iter().filter(usable) {
        if at < entry.weight {
            return Some(entry.clone());
        }
        at -= entry.weight;
    }
    hosts.first().cloned()
}
