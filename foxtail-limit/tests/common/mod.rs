//! A configuration, a table and a network for tests.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Weak};

use async_trait::async_trait;
use foxtail_config::{Link, Network, Region, Service, Snapshot, Upstream, Workspace};
use foxtail_limit::msg::{Reply, Request};
use foxtail_limit::{Peers, SharedLimiter, Unreachable};
use foxtail_platform::table::{Change, Error, Expect, Options, Outcome};
use foxtail_platform::{HostEntry, HostState, Row, Table, Txn};
use foxtail_types::prelude::*;
use parking_lot::Mutex;

pub const SLOTS: u32 = 3;
pub const DEADLINE_MAX: Millis = Millis(10_000);
pub const SHIFT_PER_S: u32 = 20;
pub const LINK_MBIT: u32 = 300;
pub const TRICKLE_MBIT: u32 = 20;

pub fn region(name: &str) -> RegionId {
    RegionId::new(name).expect("a valid name")
}

pub fn host(name: &str) -> HostId {
    HostId::new(name).expect("a valid name")
}

pub fn zone(region: &str, at: usize) -> ZoneId {
    ZoneId::new(&format!("{region}-{at}")).expect("a valid name")
}

pub fn pool(region_name: &str) -> PoolId {
    PoolId {
        workspace: WorkspaceId::new("tali").expect("a valid name"),
        service: ServiceId::new("bookings").expect("a valid name"),
        region: region(region_name),
    }
}

pub fn upstream(region_name: &str, at: usize) -> Upstream {
    Upstream {
        id: UpstreamId::new(&format!("{region_name}-up-{at}")).expect("a valid name"),
        addr: ([127, 0, 0, 1], 1).into(),
        region: region(region_name),
        zone: zone(region_name, at % 2),
        slots: SLOTS,
    }
}

/// Regions with `upstreams` servers each of one service, and links between all of them.
pub fn snapshot(regions: &[&str], upstreams: usize) -> Snapshot {
    let servers = regions.iter().flat_map(|name| (0..upstreams).map(|at| upstream(name, at)));
    let service = Service {
        id: pool(regions[0]).service,
        upstreams: servers.collect(),
        class: Class::Interactive,
        deadline: Millis(2_000),
        deadline_max: DEADLINE_MAX,
        body_max_bytes: 65_536,
        answer_bytes: 4_096,
        queue_max: 64,
        once: Vec::new(),
    };
    let workspace = Workspace {
        id: pool(regions[0]).workspace,
        version: Version(1),
        services: vec![service],
        shift_per_s: SHIFT_PER_S,
    };
    Snapshot {
        version: Version(1),
        network: Arc::new(network(regions)),
        workspaces: vec![Arc::new(workspace)],
        drains: Vec::new(),
    }
}

fn network(regions: &[&str]) -> Network {
    let link = |from: &str, to: &str| Link {
        id: LinkId { from: region(from), to: region(to) },
        mbit_per_s: LINK_MBIT,
        delay: Millis(35),
        archive_mbit_per_s: TRICKLE_MBIT,
    };
    let pairs = regions.iter().flat_map(|from| regions.iter().map(move |to| (*from, *to)));
    let zones = |name: &str| vec![zone(name, 0), zone(name, 1)];
    Network {
        blocks: Vec::new(),
        regions: regions.iter().map(|n| Region { id: region(n), zones: zones(n) }).collect(),
        links: pairs.filter(|(from, to)| from != to).map(|(from, to)| link(from, to)).collect(),
        owner_shards: 1,
    }
}

pub fn entry(id: &HostId, region_name: &str) -> HostEntry {
    HostEntry {
        id: id.clone(),
        incarnation: 1,
        region: region(region_name),
        zone: zone(region_name, 0),
        caller: ([127, 0, 0, 1], 1).into(),
        peer: ([127, 0, 0, 1], 2).into(),
        operator: ([127, 0, 0, 1], 3).into(),
        state: HostState::Live,
    }
}

/// The rows, applied as the table service applies transactions.
#[derive(Clone, Debug, Default)]
pub struct Rows(pub BTreeMap<String, Row>);

impl Rows {
    pub fn commit(&mut self, txn: &Txn) -> Outcome {
        for (at, write) in txn.writes.iter().enumerate() {
            let found = self.0.get(&write.key);
            let holds = match write.expect {
                Expect::Any => true,
                Expect::Absent => found.is_none(),
                Expect::At(version) => found.is_some_and(|row| row.version == version),
            };
            if !holds {
                return Outcome::Conflict { at, found: found.cloned() };
            }
        }
        Outcome::Committed(txn.writes.iter().map(|write| self.write(write)).collect())
    }

    pub fn read(&self, keys: &[String]) -> Vec<Option<Row>> {
        keys.iter().map(|key| self.0.get(key).cloned()).collect()
    }

    fn write(&mut self, write: &foxtail_platform::table::Write) -> u64 {
        let version = self.0.get(&write.key).map_or(1, |row| row.version + 1);
        match &write.change {
            Change::Keep => version - 1,
            Change::Put(value) => {
                self.0.insert(write.key.clone(), Row { version, value: value.clone() });
                version
            }
            Change::Delete => {
                self.0.remove(&write.key);
                0
            }
        }
    }
}

/// A table service in memory that can be down.
#[derive(Default)]
pub struct MemTable {
    pub rows: Mutex<Rows>,
    pub down: Mutex<bool>,
}

#[async_trait]
impl Table for MemTable {
    async fn commit(&self, txn: &Txn, _: Options) -> Outcome {
        if *self.down.lock() {
            return Outcome::Failed(Error::Unavailable("down".into()));
        }
        self.rows.lock().commit(txn)
    }

    async fn read(&self, keys: &[String], _: Options) -> Result<Vec<Option<Row>>, Error> {
        if *self.down.lock() {
            return Err(Error::Unavailable("down".into()));
        }
        Ok(self.rows.lock().read(keys))
    }

    async fn scan(
        &self,
        _: &str,
        _: &str,
        _: usize,
        _: Options,
    ) -> Result<Vec<(String, Row)>, Error> {
        Ok(Vec::new())
    }
}

/// Hosts in one process that call each other, unless dead.
#[derive(Default)]
pub struct Mesh {
    pub hosts: Mutex<HashMap<HostId, Weak<SharedLimiter>>>,
    pub dead: Mutex<HashSet<HostId>>,
}

#[async_trait]
impl Peers for Mesh {
    async fn call(&self, to: &HostId, req: Request, timeout: Millis) -> Result<Reply, Unreachable> {
        let unreachable = |why: &str| Unreachable { host: to.clone(), why: why.into() };
        if self.dead.lock().contains(to) {
            tokio::time::sleep(timeout.duration()).await;
            return Err(unreachable("dead"));
        }
        let host = self.hosts.lock().get(to).and_then(Weak::upgrade);
        let host = host.ok_or_else(|| unreachable("no such host"))?;
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        let reply = tokio::time::timeout(timeout.duration(), host.serve(req)).await;
        reply.map_err(|_| unreachable("timed out"))
    }
}

/// A clock that follows the runtime's, also while that is paused.
pub struct RuntimeClock(pub tokio::time::Instant);

impl Clock for RuntimeClock {
    fn now(&self) -> Millis {
        Millis::from(self.0.elapsed())
    }

    fn wall(&self) -> Millis {
        self.now()
    }
}
