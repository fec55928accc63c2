//! Several hosts in one process, with the live driver, in virtual time.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use common::{MemTable, Mesh, RuntimeClock};
use foxtail_limit::owner::MostFree;
use foxtail_limit::{Acquire, Limiter, Me, Refusal, Seen, SharedLimiter, Verdict, driver};
use foxtail_platform::{HostEntry, HostState};
use foxtail_types::prelude::*;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

const UPSTREAMS: usize = 2;

/// One host and its driver.
struct Node {
    limiter: Arc<SharedLimiter>,
    stop: CancellationToken,
    driver: tokio::task::JoinHandle<()>,
}

/// Some hosts with a table and a network.
struct Bench {
    table: Arc<MemTable>,
    mesh: Arc<Mesh>,
    clock: Arc<RuntimeClock>,
    nodes: Vec<Node>,
    busy: Arc<AtomicU32>,
    peak: Arc<AtomicU32>,
}

impl Bench {
    fn new(regions: &[&str], hosts: usize) -> Self {
        let table = Arc::new(MemTable::default());
        let mesh = Arc::new(Mesh::default());
        let clock = Arc::new(RuntimeClock(tokio::time::Instant::now()));
        let snapshot = Arc::new(common::snapshot(regions, UPSTREAMS));
        let name = |region: &str, at: usize| common::host(&format!("{region}-h{at}"));
        let all = regions.iter().flat_map(|region| (0..hosts).map(move |at| (*region, at)));
        let all: Vec<_> = all.collect();
        let entries: Vec<_> =
            all.iter().map(|(region, at)| common::entry(&name(region, *at), region)).collect();
        let mut nodes = Vec::new();
        for (region, at) in all {
            let host = name(region, at);
            let me = Me {
                host: host.clone(),
                region: common::region(region),
                zone: common::zone(region, 0),
            };
            let limiter = SharedLimiter::new(
                me,
                clock.clone(),
                mesh.clone(),
                Arc::new(MostFree),
                snapshot.clone(),
            );
            limiter.set_hosts(&entries, &[]);
            mesh.hosts.lock().insert(host, Arc::downgrade(&limiter));
            let stop = CancellationToken::new();
            let driver = tokio::spawn(driver::run(limiter.clone(), table.clone(), stop.clone()));
            nodes.push(Node { limiter, stop, driver });
        }
        Bench { table, mesh, clock, nodes, busy: Arc::default(), peak: Arc::default() }
    }

    /// Runs `count` requests at each host, evenly over `span`; returns how many were answered.
    async fn load(&self, at: &[usize], pool: &PoolId, count: u32, span: Duration) -> u32 {
        self.load_of(Class::Interactive, at, pool, count, span).await
    }

    async fn load_of(
        &self,
        class: Class,
        at: &[usize],
        pool: &PoolId,
        count: u32,
        span: Duration,
    ) -> u32 {
        let mut requests = JoinSet::new();
        for i in 0..count {
            for node in at {
                let limiter = self.nodes[*node].limiter.clone();
                let (clock, pool) = (self.clock.clone(), pool.clone());
                let (busy, peak) = (self.busy.clone(), self.peak.clone());
                let start = span * i / count;
                requests.spawn(async move {
                    tokio::time::sleep(start).await;
                    request(&limiter, clock.as_ref(), &pool, class, &busy, &peak).await.is_ok()
                });
            }
        }
        requests.join_all().await.into_iter().map(u32::from).sum()
    }

    fn owner(&self) -> usize {
        let owns = |node: &Node| !node.limiter.hosted().shards().is_empty();
        self.nodes.iter().position(owns).expect("one host owns the shard")
    }

    fn list_as_leaving(&self, leaver: usize) {
        let entry = |(at, node): (usize, &Node)| {
            let entry = common::entry(&node.limiter.me().host, node.limiter.me().region.as_str());
            let state = if at == leaver { HostState::Leaving } else { HostState::Live };
            HostEntry { state, ..entry }
        };
        let entries: Vec<_> = self.nodes.iter().enumerate().map(entry).collect();
        self.nodes.iter().for_each(|node| node.limiter.set_hosts(&entries, &[]));
    }

    fn kill(&mut self, at: usize) {
        self.nodes[at].driver.abort();
        self.mesh.dead.lock().insert(self.nodes[at].limiter.me().host.clone());
    }
}

async fn request(
    limiter: &SharedLimiter,
    clock: &RuntimeClock,
    pool: &PoolId,
    class: Class,
    busy: &AtomicU32,
    peak: &AtomicU32,
) -> Result<(), Refusal> {
    let req = Acquire {
        request: RequestId::fresh(),
        pool,
        class,
        deadline: clock.now()
            + if class == Class::Archive { Millis::secs(60) } else { Millis(2_000) },
        avoid: &[],
        request_bytes: 1_000,
        answer_bytes: 4_000,
    };
    let ticket = limiter.acquire(&req).await?;
    assert!(clock.now() < ticket.expires, "a ticket came after it had expired");
    peak.fetch_max(busy.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(50)).await;
    busy.fetch_sub(1, Ordering::SeqCst);
    let took = Millis(50);
    limiter.release(
        ticket,
        Seen { verdict: Verdict::Answered, took, answer_bytes: 4_000, load: None },
    );
    Ok(())
}

const CAPACITY: u32 = UPSTREAMS as u32 * common::SLOTS;

#[tokio::test(start_paused = true)]
async fn all_hosts_share_all_slots_and_no_more() {
    let bench = Bench::new(&["sabah"], 3);
    tokio::time::sleep(Duration::from_secs(2)).await;
    // 6 slots of 50 ms serve 120 requests a second; 3 hosts send 90.
    let answered = bench.load(&[0, 1, 2], &common::pool("sabah"), 90, Duration::from_secs(3)).await;
    assert_eq!(answered, 270);
    assert!(bench.peak.load(Ordering::SeqCst) <= CAPACITY);
}

#[tokio::test(start_paused = true)]
async fn an_overloaded_pool_serves_at_capacity_and_archive_requests_arrive() {
    let bench = Bench::new(&["sabah"], 3);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (pool, span) = (common::pool("sabah"), Duration::from_secs(20));
    // 150 interactive requests a second, of which 6 slots of 50 ms can serve 120.
    let interactive = bench.load(&[0, 1, 2], &pool, 1_000, span);
    let archive = bench.load_of(Class::Archive, &[1], &pool, 50, Duration::from_secs(5));
    let (answered, archived) = tokio::join!(interactive, archive);
    assert_eq!(archived, 50);
    let capacity = 120 * 20;
    assert!(answered + archived >= capacity * 95 / 100, "{answered} and {archived} answered");
    assert!(bench.peak.load(Ordering::SeqCst) <= CAPACITY);
}

#[tokio::test(start_paused = true)]
async fn one_host_alone_may_use_all_slots() {
    let bench = Bench::new(&["sabah"], 3);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let answered = bench.load(&[1], &common::pool("sabah"), 100, Duration::from_secs(1)).await;
    assert_eq!(answered, 100);
    assert_eq!(bench.peak.load(Ordering::SeqCst), CAPACITY);
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_of_the_owner_refuses_nobody() {
    let bench = Bench::new(&["sabah"], 3);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let owner = bench.owner();
    let others: Vec<usize> = (0..3).filter(|at| *at != owner).collect();
    let pool = common::pool("sabah");
    let load = bench.load(&others, &pool, 100, Duration::from_secs(2));
    let stop = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        bench.nodes[owner].stop.cancel();
    };
    let (answered, ()) = tokio::join!(load, stop);
    assert_eq!(answered, 200);
    assert!(bench.peak.load(Ordering::SeqCst) <= CAPACITY);
    assert!(bench.nodes[owner].driver.is_finished(), "the stopped host has handed over");
    assert_ne!(bench.owner(), owner);
}

#[tokio::test(start_paused = true)]
async fn a_dead_owner_is_replaced_and_all_slots_come_back() {
    let mut bench = Bench::new(&["sabah"], 3);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let owner = bench.owner();
    bench.kill(owner);
    bench.nodes.remove(owner);
    tokio::time::sleep(Duration::from_secs(16)).await;
    let answered = bench.load(&[0, 1], &common::pool("sabah"), 50, Duration::from_secs(1)).await;
    assert_eq!(answered, 100);
    assert!(bench.peak.load(Ordering::SeqCst) <= CAPACITY);
}

#[tokio::test(start_paused = true)]
async fn a_store_outage_leaves_service_whole() {
    let bench = Bench::new(&["sabah"], 3);
    tokio::time::sleep(Duration::from_secs(4)).await;
    *bench.table.down.lock() = true;
    tokio::time::sleep(Duration::from_secs(600)).await;
    let answered = bench.load(&[0, 1, 2], &common::pool("sabah"), 60, Duration::from_secs(2)).await;
    assert_eq!(answered, 180);
    assert!(bench.peak.load(Ordering::SeqCst) <= CAPACITY);
}

#[tokio::test(start_paused = true)]
async fn a_host_that_leaves_in_a_store_outage_takes_no_service_along() {
    let mut bench = Bench::new(&["sabah"], 4);
    tokio::time::sleep(Duration::from_secs(4)).await;
    *bench.table.down.lock() = true;
    tokio::time::sleep(Duration::from_secs(20)).await;
    let owner = bench.owner();
    let leaver = (owner + 1) % 4;
    bench.nodes[leaver].limiter.retire();
    bench.list_as_leaving(leaver);
    tokio::time::sleep(Duration::from_secs(1)).await;
    bench.kill(leaver);
    tokio::time::sleep(Duration::from_secs(20)).await;
    let pool = common::pool("sabah");
    let answered = bench.load(&[owner, (owner + 2) % 4], &pool, 80, Duration::from_secs(2)).await;
    assert_eq!(answered, 160);
    assert!(bench.peak.load(Ordering::SeqCst) <= CAPACITY);
}

#[tokio::test(start_paused = true)]
async fn requests_to_another_region_stay_within_the_shift_cap() {
    let bench = Bench::new(&["sabah", "sarawak"], 2);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let started = tokio::time::Instant::now();
    let answered = bench.load(&[0, 1], &common::pool("sarawak"), 60, Duration::from_secs(3)).await;
    let spent = started.elapsed().as_secs_f64();
    assert!(answered > 30, "only {answered} requests were answered");
    assert!(f64::from(answered) <= f64::from(common::SHIFT_PER_S) * (spent + 1.0));
}
