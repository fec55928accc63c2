//! Hosts that talk through a faulty network and share a faulty table, in virtual time.

use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock, Weak};

use async_trait::async_trait;
use foxtail_platform::table;
use foxtail_platform::table::{Change, Error, Expect, Options, Row, Table, Txn};
use foxtail_retry::msg::{Ask, Done, Leave, News};
use foxtail_retry::watch::{Case, Peers, Permit, Unreachable};
use foxtail_retry::{Fingerprint, Watch};
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) delay_max: u64,
    /// News that is lost.
    pub(crate) lost_percent: u8,
    /// Questions to guards that are lost, and answers to them.
    pub(crate) unheard_percent: u8,
    pub(crate) store_percent: u8,
    pub(crate) store_delay_max: u64,
    pub(crate) store_down: bool,
}

/// The hosts.
pub(crate) struct Fleet {
    pub(crate) hosts: Vec<Arc<Watch>>,
    pub(crate) clock: Arc<dyn Clock>,
    ids: Vec<HostId>,
    workspace: WorkspaceId,
    service: ServiceId,
}

struct PausedClock(Instant);

struct Network {
    hosts: OnceLock<Vec<Weak<Watch>>>,
    faults: Faults,
    rng: Mutex<SmallRng>,
}

struct Port {
    own: usize,
    network: Arc<Network>,
}

struct Store {
    rows: Mutex<BTreeMap<String, Row>>,
    versions: Mutex<u64>,
    faults: Faults,
    rng: Mutex<SmallRng>,
}

/// A runtime whose time moves only when nothing else is left to do.
pub(crate) fn paused() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime needs nothing")
}

/// The fingerprint of the request `n`.
pub(crate) fn fp(n: u64) -> Fingerprint {
    let mut bytes = [7; 16];
    bytes[..8].copy_from_slice(&n.to_le_bytes());
    Fingerprint(bytes)
}

impl Fleet {
    pub(crate) fn new(hosts: usize, faults: Faults, seed: u64) -> Arc<Self> {
        let rng = |n| Mutex::new(SmallRng::seed_from_u64(seed ^ n));
        let network = Arc::new(Network { hosts: OnceLock::new(), faults, rng: rng(1) });
        let store = Arc::new(Store {
            rows: Mutex::default(),
            versions: Mutex::default(),
            faults,
            rng: rng(2),
        });
        let clock: Arc<dyn Clock> = Arc::new(PausedClock(Instant::now()));
        let ids: Vec<_> =
            (0..hosts).map(|n| HostId::new(&format!("host-{n}")).expect("valid")).collect();
        let watch = |(own, id): (usize, &HostId)| {
            let port = Arc::new(Port { own, network: Arc::clone(&network) });
            let store: Arc<dyn Table> = Arc::clone(&store) as _;
            Arc::new(Watch::new(id.clone(), Arc::clone(&clock), store, port))
        };
        let hosts: Vec<_> = ids.iter().enumerate().map(watch).collect();
        network.hosts.set(hosts.iter().map(Arc::downgrade).collect()).expect("set once");
        let workspace = WorkspaceId::new("tali-selamat").expect("valid");
        let service = ServiceId::new("certificates").expect("valid");
        Arc::new(Self { hosts, clock, ids, workspace, service })
    }

    pub(crate) fn case(&self, fp: Fingerprint) -> Case<'_> {
        let Self { workspace, service, ids: hosts, .. } = self;
        Case { workspace, service, fp, hosts, deadline: Millis::MAX }
    }

    pub(crate) async fn admit(
        &self,
        host: usize,
        fp: Fingerprint,
        deadline: Millis,
    ) -> Result<Permit, Outcome> {
        self.hosts[host].admit(&Case { deadline, ..self.case(fp) }).await
    }
}

impl Clock for PausedClock {
    fn now(&self) -> Millis {
        self.0.elapsed().into()
    }

    fn wall(&self) -> Millis {
        Millis::secs(1_000_000) + self.now()
    }
}

impl Network {
    /// Carries a message to `host`, late or not at all.
    async fn carry(&self, host: usize, lost_percent: u8) -> Option<Arc<Watch>> {
        let (delay, lost) = {
            let mut rng = self.rng.lock();
            let lost = rng.random_range(0..100) < lost_percent;
            (Millis(rng.random_range(0..=self.faults.delay_max)), lost)
        };
        tokio::time::sleep(delay.duration()).await;
        let hosts = self.hosts.get().expect("set at the start");
        hosts[host].upgrade().filter(|_| !lost)
    }

    fn index(&self, host: &HostId) -> usize {
        host.as_str().trim_start_matches("host-").parse().expect("a host of the fleet")
    }
}

#[async_trait]
impl Peers for Port {
    async fn ask(&self, host: &HostId, ask: Ask, timeout: Millis) -> Result<Leave, Unreachable> {
        let host = self.network.index(host);
        let round_trip = async {
            let unheard = self.network.faults.unheard_percent;
            let watch = self.network.carry(host, unheard).await?;
            let leave = watch.serve(ask).await;
            self.network.carry(self.own, unheard).await.map(|_| leave)
        };
        match tokio::time::timeout(timeout.duration(), round_trip).await {
            Ok(Some(leave)) => Ok(leave),
            Ok(None) | Err(_) => Err(Unreachable),
        }
    }

    async fn done(&self, host: &HostId, done: Done) {
        let host = self.network.index(host);
        loop {
            if let Some(watch) = self.network.carry(host, self.network.faults.unheard_percent).await
            {
                return watch.done(done);
            }
        }
    }

    fn spread(&self, news: News) {
        let hosts = self.network.hosts.get().map_or(0, Vec::len);
        for host in (0..hosts).filter(|host| *host != self.own) {
            let (network, news) = (Arc::clone(&self.network), news.clone());
            tokio::spawn(async move {
                if let Some(watch) = network.carry(host, network.faults.lost_percent).await {
                    watch.receive(&news);
                }
            });
        }
    }
}

impl Store {
    async fn fails(&self) -> bool {
        let (delay, failed) = {
            let mut rng = self.rng.lock();
            let failed = rng.random_range(0..100) < self.faults.store_percent;
            (Millis(rng.random_range(0..=self.faults.store_delay_max)), failed)
        };
        tokio::time::sleep(delay.duration()).await;
        failed
    }

    fn apply(&self, txn: &Txn) -> table::Outcome {
        let mut rows = self.rows.lock();
        for (at, write) in txn.writes.iter().enumerate() {
            let found = rows.get(&write.key).cloned();
            let version = found.as_ref().map(|row| row.version);
            let holds = match write.expect {
                Expect::Any => true,
                Expect::Absent => version.is_none(),
                Expect::At(expected) => version == Some(expected),
            };
            if !holds {
                return table::Outcome::Conflict { at, found };
            }
        }
        let mut versions = Vec::new();
        for write in &txn.writes {
            *self.versions.lock() += 1;
            let version = *self.versions.lock();
            match &write.change {
                Change::Keep => versions.push(0),
                Change::Delete => {
                    rows.remove(&write.key);
                    versions.push(0);
                }
                Change::Put(value) => {
                    rows.insert(write.key.clone(), Row { version, value: value.clone() });
                    versions.push(version);
                }
            }
        }
        table::Outcome::Committed(versions)
    }
}

#[async_trait]
impl Table for Store {
    async fn commit(&self, txn: &Txn, _: Options) -> table::Outcome {
        if self.faults.store_down || self.fails().await {
            return table::Outcome::Failed(Error::TimedOut);
        }
        let outcome = self.apply(txn);
        if self.fails().await {
            return table::Outcome::Ambiguous(Error::TimedOut);
        }
        outcome
    }

    async fn read(&self, keys: &[String], _: Options) -> Result<Vec<Option<Row>>, Error> {
        if self.fails().await {
            return Err(Error::TimedOut);
        }
        let rows = self.rows.lock();
        Ok(keys.iter().map(|key| rows.get(key).cloned()).collect())
    }

    async fn scan(
        &self,
        _: &str,
        _: &str,
        _: usize,
        _: Options,
    ) -> Result<Vec<(String, Row)>, Error> {
        Err(Error::Unavailable("not used here".to_owned()))
    }
}
