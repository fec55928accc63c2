//! Measures one owner: grants a second on one core, the time of a tick and the memory of a pool,
//! at several numbers of pools, so that capacity can be worked out from the slopes.
//!
//! `cargo run --release -p foxtail-limit --example owner_rate`

#![allow(clippy::print_stdout, reason = "an example that reports to its user")]

use std::collections::{HashMap, VecDeque};
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtail_config::{Network, Region, Service, Snapshot, Upstream, Workspace};
use foxtail_limit::msg::{Ask, AskId, Note};
use foxtail_limit::owner::{Event, MostFree, Owner, Start};
use foxtail_limit::{Seen, ShardId, Verdict};
use foxtail_types::prelude::*;

const POOLS: [usize; 4] = [8, 64, 512, 4_096];
const UPSTREAMS: usize = 12;
const SLOTS: u32 = 3;
const SPAN: Duration = Duration::from_millis(500);
const NOW: Millis = Millis(1_000);
const PAGE_BYTES: u64 = 4_096;

/// What was measured at one size.
struct Row {
    pools: usize,
    grants_per_s: f64,
    queued_per_s: f64,
    tick_ns_per_pool: f64,
    bytes_per_pool: u64,
}

/// Questions and tickets that are out.
#[derive(Default)]
struct Load {
    no: u64,
    asked: HashMap<u64, usize>,
    held: VecDeque<(usize, u64)>,
}

fn main() -> anyhow::Result<()> {
    println!("pools grants/s queued-grants/s tick-ns/pool bytes/pool");
    for pools in POOLS {
        let row = measure(pools)?;
        println!(
            "{:5} {:8.0} {:15.0} {:12.0} {:10}",
            row.pools, row.grants_per_s, row.queued_per_s, row.tick_ns_per_pool, row.bytes_per_pool
        );
    }
    Ok(())
}

fn measure(pools: usize) -> anyhow::Result<Row> {
    let snapshot = snapshot(pools)?;
    let ids: Vec<PoolId> = pool_ids(&snapshot);
    let before = resident()?;
    let shard = ShardId { region: snapshot.network.regions[0].id.clone(), index: 0 };
    let mut owner = Owner::new(shard, Epoch(1), Start::Known, Arc::new(MostFree));
    owner.authorize(Millis::MAX, false);
    owner.configure(Millis(1), &snapshot);
    let slots = UPSTREAMS * SLOTS as usize;
    let half = rate(&mut owner, &ids, slots / 2);
    let bytes_per_pool = resident()?.saturating_sub(before) / pools as u64;
    let tick_ns_per_pool = tick(&mut owner, pools);
    let queued_per_s = rate(&mut owner, &ids, slots + slots / 2);
    Ok(Row { pools, grants_per_s: half, queued_per_s, tick_ns_per_pool, bytes_per_pool })
}

/// Grants a second with `depth` questions open at each pool: fewer than its slots, or more.
fn rate(owner: &mut Owner, ids: &[PoolId], depth: usize) -> f64 {
    let mut load = Load::default();
    for at in (0..ids.len()).cycle().take(depth * ids.len()) {
        load.ask(owner, ids, at);
    }
    load.take_grants(owner);
    let (begun, mut granted) = (Instant::now(), 0);
    while begun.elapsed() < SPAN {
        let Some((at, serial)) = load.held.pop_front() else { break };
        release(owner, &ids[at], serial);
        load.ask(owner, ids, at);
        granted += load.take_grants(owner);
    }
    let rate = granted as f64 / begun.elapsed().as_secs_f64();
    owner.tick(NOW + Millis::secs(60));
    owner.take_events();
    rate
}

impl Load {
    fn ask(&mut self, owner: &mut Owner, ids: &[PoolId], at: usize) {
        self.no += 1;
        self.asked.insert(self.no, at);
        owner.acquire(NOW, ask(self.no, &ids[at]));
    }

    /// Takes what was granted; returns how many.
    fn take_grants(&mut self, owner: &mut Owner) -> u64 {
        let before = self.held.len();
        for event in owner.take_events() {
            if let Event::Granted { ask, grant, .. } = event {
                let at = self.asked.remove(&ask.no).unwrap_or_default();
                self.held.push_back((at, grant.serial));
            }
        }
        (self.held.len() - before) as u64
    }
}

fn release(owner: &mut Owner, pool: &PoolId, serial: u64) {
    let seen =
        Seen { verdict: Verdict::Answered, took: Millis(20), answer_bytes: 4_096, load: None };
    let note = Note::Release { pool: pool.clone(), epoch: Epoch(1), serial, seen };
    owner.notes(NOW, Epoch(1), vec![note]);
}

fn tick(owner: &mut Owner, pools: usize) -> f64 {
    let begun = Instant::now();
    let mut ticks = 0_u32;
    while begun.elapsed() < SPAN {
        owner.tick(NOW);
        black_box(owner.take_events());
        ticks += 1;
    }
    begun.elapsed().as_nanos() as f64 / f64::from(ticks) / pools as f64
}

fn ask(no: u64, pool: &PoolId) -> Ask {
    Ask {
        id: AskId { host: HostId::new("host").expect("a valid name"), no },
        request: RequestId(uuid::Uuid::nil()),
        pool: pool.clone(),
        class: Class::Interactive,
        zone: ZoneId::new("zone").expect("a valid name"),
        remaining: Millis(2_000),
        avoid: Vec::new(),
        fence: Epoch(1),
    }
}

fn pool_ids(snapshot: &Snapshot) -> Vec<PoolId> {
    let services = |workspace: &Arc<Workspace>| {
        let id = workspace.id.clone();
        let region = snapshot.network.regions[0].id.clone();
        let pool = move |service: &Service| PoolId {
            workspace: id.clone(),
            service: service.id.clone(),
            region: region.clone(),
        };
        workspace.services.iter().map(pool).collect::<Vec<_>>()
    };
    snapshot.workspaces.iter().flat_map(services).collect()
}

fn snapshot(pools: usize) -> anyhow::Result<Snapshot> {
    let region = RegionId::new("peninsula")?;
    let zones = vec![ZoneId::new("peninsula-0")?, ZoneId::new("peninsula-1")?];
    let services = (0..pools).map(|at| service(at, &region, &zones));
    let workspace = Workspace {
        id: WorkspaceId::new("tali")?,
        version: Version(1),
        services: services.collect::<anyhow::Result<_>>()?,
        shift_per_s: 100,
    };
    let network = Network {
        regions: vec![Region { id: region, zones }],
        links: Vec::new(),
        owner_shards: 1,
        blocks: Vec::new(),
    };
    Ok(Snapshot {
        version: Version(1),
        network: Arc::new(network),
        workspaces: vec![Arc::new(workspace)],
        drains: Vec::new(),
    })
}

fn service(at: usize, region: &RegionId, zones: &[ZoneId]) -> anyhow::Result<Service> {
    let upstream = |up: usize| {
        Ok(Upstream {
            id: UpstreamId::new(&format!("up-{at}-{up}"))?,
            addr: ([127, 0, 0, 1], 1).into(),
            region: region.clone(),
            zone: zones[up % zones.len()].clone(),
            slots: SLOTS,
        })
    };
    Ok(Service {
        id: ServiceId::new(&format!("service-{at}"))?,
        upstreams: (0..UPSTREAMS).map(upstream).collect::<anyhow::Result<_>>()?,
        class: Class::Interactive,
        deadline: Millis(2_000),
        deadline_max: Millis(5_000),
        body_max_bytes: 65_536,
        answer_bytes: 4_096,
        queue_max: 64,
        once: Vec::new(),
    })
}

/// Resident memory of this process, in bytes.
fn resident() -> anyhow::Result<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(pages * PAGE_BYTES)
}
