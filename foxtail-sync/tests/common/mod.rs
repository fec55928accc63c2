//! A fleet of hosts in one process, in virtual time, around one platform.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use async_trait::async_trait;
use foxtail_config::{NetworkParams, Params, Template};
use foxtail_member::view::Member;
use foxtail_member::{Identity, Phase, Status, View};
use foxtail_standin::platform::{Local, Options, Platform};
use foxtail_sync::admin::Input;
use foxtail_sync::msg::{Answer, Ask};
use foxtail_sync::peers::{Error, Peers, Roster};
use foxtail_sync::spread::Ports;
use foxtail_sync::{Admin, Spread};
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The clock of a paused runtime.
pub(crate) struct VirtualClock(Instant);

impl Clock for VirtualClock {
    fn now(&self) -> Millis {
        self.0.elapsed().into()
    }

    fn wall(&self) -> Millis {
        self.now() + Millis::secs(1_800_000_000)
    }
}

/// One run of a host.
pub(crate) struct Host {
    pub(crate) spread: Arc<Spread>,
    pub(crate) admin: Arc<Admin>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// The hosts and what lies between them.
pub(crate) struct Fleet {
    pub(crate) platform: Arc<Platform>,
    pub(crate) hosts: Mutex<BTreeMap<HostId, Host>>,
    pub(crate) cut: Mutex<BTreeSet<HostId>>,
    views: Mutex<BTreeMap<HostId, Status>>,
    names: Vec<HostId>,
    clock: Arc<dyn Clock>,
}

struct Between {
    me: HostId,
    fleet: Arc<Fleet>,
}

#[async_trait]
impl Peers for Between {
    async fn ask(&self, to: &HostId, ask: Ask, timeout: Millis) -> Result<Answer, Error> {
        tokio::time::sleep(Millis(35).duration()).await;
        let cut = self.fleet.cut.lock().contains(&self.me) || self.fleet.cut.lock().contains(to);
        let spread = self.fleet.hosts.lock().get(to).map(|host| Arc::clone(&host.spread));
        match spread.filter(|_| !cut) {
            Some(spread) => Ok(spread.ask(&ask)),
            None => {
                tokio::time::sleep(timeout.duration()).await;
                Err(Error { host: to.clone(), reason: "cut off".to_owned() })
            }
        }
    }
}

impl Roster for Between {
    fn view(&self) -> Arc<View> {
        let statuses = self.fleet.views.lock();
        let member = |id: &HostId| Member {
            identity: identity(id),
            status: statuses[id],
            suspect: self.fleet.cut.lock().contains(id) && *id != self.me,
            leaving: false,
            serving_since: None,
        };
        Arc::new(View { me: self.me.clone(), hosts: self.fleet.names.iter().map(member).collect() })
    }
}

impl Fleet {
    pub(crate) fn new(hosts: usize, seed: u64) -> Arc<Self> {
        let names: Vec<_> =
            (0..hosts).map(|i| HostId::new(&format!("host-{i:02}")).unwrap()).collect();
        let none = Status { phase: Phase::Serving, version: Version(0), busy_permille: 0 };
        Arc::new(Self {
            platform: Platform::new(&Options { rates: None, seed }),
            hosts: Mutex::default(),
            cut: Mutex::default(),
            views: Mutex::new(names.iter().map(|id| (id.clone(), none)).collect()),
            names,
            clock: Arc::new(VirtualClock(Instant::now())),
        })
    }

    pub(crate) fn name(&self, i: usize) -> HostId {
        self.names[i % self.names.len()].clone()
    }

    pub(crate) fn start(self: &Arc<Self>, id: &HostId) {
        let between = Arc::new(Between { me: id.clone(), fleet: Arc::clone(self) });
        let table = Arc::new(Cuttable { id: id.clone(), fleet: Arc::clone(self) });
        let ports = Ports {
            table: table.clone(),
            peers: between.clone(),
            roster: between.clone(),
            clock: Arc::clone(&self.clock),
        };
        let spread = Spread::new(ports);
        let clock = Arc::clone(&self.clock);
        let admin = Arc::new(Admin::new(table, clock, between, Arc::clone(&spread)));
        let stop = CancellationToken::new();
        let run = Arc::clone(&spread);
        let stopped = stop.clone();
        let task = tokio::spawn(async move { run.run(stopped).await });
        self.hosts.lock().insert(id.clone(), Host { spread, admin, stop, task });
    }

    pub(crate) async fn stop(&self, id: &HostId) {
        let host = self.hosts.lock().remove(id);
        if let Some(host) = host {
            host.stop.cancel();
            host.task.await.unwrap();
        }
    }

    pub(crate) fn spread(&self, id: &HostId) -> Option<Arc<Spread>> {
        self.hosts.lock().get(id).map(|host| Arc::clone(&host.spread))
    }

    pub(crate) fn admin(&self, id: &HostId) -> Option<Arc<Admin>> {
        self.hosts.lock().get(id).map(|host| Arc::clone(&host.admin))
    }

    /// Lets time pass; what hosts know of each other is refreshed each half second.
    pub(crate) async fn pass(&self, span: Millis) {
        let mut left = span;
        while left > Millis::ZERO {
            let step = left.min(Millis(500));
            tokio::time::sleep(step.duration()).await;
            left = left.since(step);
            self.refresh();
        }
    }

    pub(crate) fn refresh(&self) {
        let cut = self.cut.lock().clone();
        for (id, host) in self.hosts.lock().iter().filter(|(id, _)| !cut.contains(id)) {
            self.views.lock().get_mut(id).unwrap().version = host.spread.held();
        }
    }
}

/// The table as seen by one host, which may be cut off.
struct Cuttable {
    id: HostId,
    fleet: Arc<Fleet>,
}

impl Cuttable {
    fn local(&self) -> Result<Local, foxtail_platform::table::Error> {
        match self.fleet.cut.lock().contains(&self.id) {
            true => Err(foxtail_platform::table::Error::Unavailable("cut off".to_owned())),
            false => Ok(Local::new(Arc::clone(&self.fleet.platform))),
        }
    }
}

mod table {
    use foxtail_platform::table::{Error, Options, Outcome, Row, Table, Txn};

    use super::*;

    #[async_trait]
    impl Table for Cuttable {
        async fn commit(&self, txn: &Txn, options: Options) -> Outcome {
            match self.local() {
                Ok(local) => local.commit(txn, options).await,
                Err(e) => Outcome::Failed(e),
            }
        }

        async fn read(&self, keys: &[String], options: Options) -> Result<Vec<Option<Row>>, Error> {
            self.local()?.read(keys, options).await
        }

        async fn scan(
            &self,
            prefix: &str,
            after: &str,
            limit: usize,
            options: Options,
        ) -> Result<Vec<(String, Row)>, Error> {
            self.local()?.scan(prefix, after, limit, options).await
        }
    }
}

pub(crate) fn shipped<T: DeserializeOwned>(name: &str) -> T {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../templates").join(name);
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

pub(crate) fn network() -> NetworkParams {
    shipped("tali-selamat.network.json")
}

pub(crate) fn input() -> Input {
    let template: Template = shipped("tali-selamat.template.json");
    let params: Params = shipped("tali-selamat.params.json");
    Input { base: Version(0), template, params }
}

fn identity(id: &HostId) -> Identity {
    let i: usize = id.as_str()[5..].parse().unwrap();
    let zones = ["peninsula-a", "peninsula-b", "sabah-a", "sabah-b", "sarawak-a", "sarawak-b"];
    let zone = zones[i % zones.len()];
    let addr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
    Identity {
        id: id.clone(),
        incarnation: 1,
        region: RegionId::new(zone.split('-').next().unwrap()).unwrap(),
        zone: ZoneId::new(zone).unwrap(),
        caller: addr,
        peer: addr,
        operator: addr,
    }
}
