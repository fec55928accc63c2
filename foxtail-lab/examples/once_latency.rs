//! What a claim costs: added latency, store operations a request, the way back after an outage.
//!
//! `cargo run --release -p foxtail-lab --example once_latency -- [latency|near|outage|capacity]`
//!
//! 18 hosts in one process, each with its own HTTP client, claim over loopback at the stand-in
//! platform, which takes 400 transactions a second. The store's round trip is a delay in each
//! host's table; the hop to the host that gathers the writes is a delay of 1 ms there and back.
//! Every claim is answered after 5 ms and recorded. Times are over the wall clock of this machine.

#![allow(clippy::print_stdout)]

use std::collections::BTreeMap;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use foxtail_net::TcpDial;
use foxtail_once::commit::{self, Done, Pace};
use foxtail_once::relay::{self, Budget, Part, Peers, msg};
use foxtail_once::{Answer, Ask, Begin, Claims, Commit, Fingerprint, Gate, Group, Relay, claims};
use foxtail_platform::guard::{Guard, Options as Share, Rate};
use foxtail_platform::http::{Call, HttpObjects, HttpTable};
use foxtail_platform::table::{Error, Options, Outcome, Row, Txn};
use foxtail_platform::{Objects, Table};
use foxtail_standin::platform::{self, Counts, Down, Platform, Rates, Server};
use foxtail_time::BootClock;
use foxtail_types::prelude::*;
use hdrhistogram::Histogram;
use rand::Rng;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

const HOSTS: usize = 18;
const HOP: Duration = Duration::from_millis(1);
const SERVICE: Duration = Duration::from_millis(5);
const IDLE: Duration = Duration::from_secs(1);
const TIMER_STEP: Duration = Duration::from_millis(1);
const WARM: Duration = Duration::from_secs(1);
const MEASURED: Duration = Duration::from_secs(4);
const STORE_PER_S: u32 = 400;
const REGIONS: usize = 3;

/// How writes reach the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// One transaction for each write.
    Single,
    /// Each host puts its own writes together.
    Host,
    /// One host gathers the writes of all, at this pace a second.
    Relay(u32),
    /// A relay for each of three regions, and hosts with few claims commit them themselves.
    Regions,
    /// The same with one relay near the store.
    Near,
}

/// Delays finer than the runtime's timer, kept by a thread that ends with the last handle.
#[derive(Clone)]
struct Delays {
    tx: mpsc::Sender<(Instant, oneshot::Sender<()>)>,
}

impl Delays {
    fn start() -> Self {
        let (tx, rx) = mpsc::channel::<(Instant, oneshot::Sender<()>)>();
        std::thread::spawn(move || {
            let mut waiting: BTreeMap<(Instant, u64), oneshot::Sender<()>> = BTreeMap::new();
            let mut n = 0;
            loop {
                let next = waiting.keys().next().map(|(due, _)| *due);
                let wait = next.map_or(IDLE, |due| due.saturating_duration_since(Instant::now()));
                match rx.recv_timeout(wait) {
                    Ok((due, done)) => {
                        n += 1;
                        waiting.insert((due, n), done);
                    }
                    Err(mpsc::RecvTimeoutError::Timeout) => {}
                    Err(mpsc::RecvTimeoutError::Disconnected) => return,
                }
                let later = waiting.split_off(&(Instant::now(), u64::MAX));
                for done in std::mem::replace(&mut waiting, later).into_values() {
                    let _ = done.send(());
                }
            }
        });
        Self { tx }
    }

    async fn wait(&self, span: Duration) {
        let (done, waited) = oneshot::channel();
        let _ = self.tx.send((Instant::now() + span, done));
        let _ = waited.await;
    }
}

const WAYS: [Way; 6] =
    [Way::Single, Way::Host, Way::Relay(110), Way::Relay(250), Way::Regions, Way::Near];

/// A table at a distance.
struct Far {
    inner: HttpTable,
    delays: Delays,
    round_trip: Duration,
}

impl Far {
    async fn travel(&self) {
        self.delays.wait(self.round_trip / 2).await;
    }
}

#[async_trait]
impl Table for Far {
    async fn commit(&self, txn: &Txn, options: Options) -> Outcome {
        self.travel().await;
        let outcome = self.inner.commit(txn, options).await;
        self.travel().await;
        outcome
    }

    async fn read(&self, keys: &[String], options: Options) -> Result<Vec<Option<Row>>, Error> {
        self.travel().await;
        let rows = self.inner.read(keys, options).await;
        self.travel().await;
        rows
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        options: Options,
    ) -> Result<Vec<(String, Row)>, Error> {
        self.inner.scan(prefix, after, limit, options).await
    }
}

/// The gathering host, a hop away.
struct Hop {
    group: Arc<Group>,
    delays: Delays,
}

#[async_trait]
impl Peers for Hop {
    async fn commit(&self, _: &HostId, relayed: msg::Relayed, timeout: Millis) -> Option<Done> {
        let answer = async {
            self.delays.wait(HOP / 2).await;
            let done = relay::serve(&*self.group, relayed).await;
            self.delays.wait(HOP / 2).await;
            done
        };
        tokio::time::timeout(timeout.duration(), answer).await.ok()
    }
}

struct Fleet {
    server: Server,
    hosts: Vec<(Arc<Claims>, Arc<Group>)>,
    table: Arc<dyn Table>,
}

impl Fleet {
    async fn start(way: Way, round_trip: Duration, store_per_s: u32) -> anyhow::Result<Self> {
        let rates = Rates { writes_per_s: store_per_s, reads_per_s: 2_000, by_rows: false };
        let server =
            Server::start(Platform::new(&platform::Options { rates: Some(rates), seed: 1 }))
                .await?;
        let delays = Delays::start();
        let mut hosts: Vec<(Arc<Claims>, Arc<Group>)> = Vec::new();
        let mut tables = Vec::new();
        for i in 0..HOSTS {
            let clock: Arc<dyn Clock> = Arc::new(BootClock);
            let call = Call::new(Arc::new(TcpDial), vec![server.addr()]);
            let inner = HttpTable::new(Arc::clone(&call));
            let far = Far { inner, delays: delays.clone(), round_trip };
            let share = Share {
                writes: Rate { per_s: store_per_s, burst: store_per_s / 4 },
                reads: Rate { per_s: 2_000, burst: 500 },
            };
            let table: Arc<dyn Table> = Guard::new(Arc::new(far), Arc::clone(&clock), share);
            let group =
                Group::start(Arc::clone(&table), Arc::clone(&clock), options(way, i < relays(way)));
            let objects: Arc<dyn Objects> = Arc::new(HttpObjects::new(call));
            let relay = i % relays(way);
            let target = hosts.get(relay).map(|(_, group)| group);
            let commit = committer(way, &group, target, delays.clone());
            let ports = claims::Ports { clock, table: Arc::clone(&table), objects, commit };
            let me = HostId::new(&format!("host-{i}"))?;
            hosts.push((Claims::start(me, ports, claims::Options::default()), group));
            tables.push(table);
        }
        Ok(Self { server, hosts, table: tables.swap_remove(0) })
    }

    async fn stop(self) {
        for (claims, _) in &self.hosts {
            claims.stop(Millis(3_000)).await;
        }
        for (_, group) in &self.hosts {
            group.stop().await;
        }
        self.server.platform().stop().await;
        self.server.stop().await;
    }

    fn counts(&self) -> Counts {
        self.server.platform().counts()
    }

    /// The median of bare commits, one after another, in microseconds.
    async fn bare(&self) -> u64 {
        let mut times = histogram();
        for _ in 0..40 {
            let options = Options {
                priority: foxtail_platform::table::Priority::Claim,
                timeout: Millis(5_000),
            };
            let start = Instant::now();
            self.table.commit(&Txn::default(), options).await;
            times.saturating_record(start.elapsed().as_micros() as u64);
        }
        times.value_at_quantile(0.5)
    }
}

/// How many hosts gather writes.
fn relays(way: Way) -> usize {
    if way == Way::Regions { REGIONS } else { 1 }
}

/// A host's part of the budget.
fn part(way: Way, is_relay: bool) -> Part {
    Budget::default().part(HOSTS, relays(way), is_relay)
}

fn options(way: Way, is_relay: bool) -> commit::Options {
    let pace = match way {
        Way::Single | Way::Host => Pace { per_s: 10_000, burst: 1_000 },
        Way::Relay(per_s) => Pace { per_s, burst: 4 },
        Way::Regions | Way::Near => part(way, is_relay).pace(),
    };
    let rows_max = if way == Way::Single { 1 } else { 512 };
    let in_flight_max = if way == Way::Single { 1_000 } else { 64 };
    commit::Options { pace, rows_max, in_flight_max, ..commit::Options::default() }
}

fn committer(
    way: Way,
    own: &Arc<Group>,
    target: Option<&Arc<Group>>,
    delays: Delays,
) -> Arc<dyn Commit> {
    match (way, target) {
        (Way::Relay(_) | Way::Regions | Way::Near, Some(target)) => {
            let hop = Arc::new(Hop { group: Arc::clone(target), delays });
            let relay = Relay::new(hop, own.clone(), Arc::new(BootClock));
            relay.set_target(HostId::new("host-0").ok());
            let direct = matches!(way, Way::Regions | Way::Near);
            relay.set_direct(if direct { part(way, false).direct_per_s } else { 0 });
            relay
        }
        _ => own.clone(),
    }
}

/// One request: whether it ran, and how long the claim took.
async fn request(gate: Arc<Claims>, wait: Millis) -> (bool, Duration, Instant) {
    let workspace = WorkspaceId::new("tali").expect("a name");
    let deadline = BootClock.now() + wait;
    let print = Fingerprint([1; 32]);
    let ask = Ask { workspace: &workspace, key: Key::fresh(), print, resent: false, deadline };
    let start = Instant::now();
    let begin = gate.begin(ask).await;
    let took = start.elapsed();
    let Begin::Run(attempt) = begin else { return (false, took, start) };
    tokio::time::sleep(SERVICE).await;
    let body = Some(vec![7; 200]);
    let answer = Answer { status: 201, headers: Vec::new(), body, digest: [0; 32], size: 200 };
    gate.answered(attempt, answer).await;
    (true, took, start)
}

/// Offers requests at random times; each one's result.
async fn load(fleet: &Fleet, per_s: u32, span: Duration) -> Vec<(bool, Duration, Instant)> {
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    let mut next = Duration::ZERO;
    while next < span {
        let ahead = next.saturating_sub(start.elapsed());
        if ahead >= TIMER_STEP {
            tokio::time::sleep(ahead).await;
        }
        let host = rand::rng().random_range(0..HOSTS);
        tasks.spawn(request(Arc::clone(&fleet.hosts[host].0), Millis(3_000)));
        let gap = -rand::rng().random_range(f64::EPSILON..1.0).ln() / f64::from(per_s);
        next += Duration::from_secs_f64(gap);
    }
    tasks.join_all().await
}

fn histogram() -> Histogram<u64> {
    const MINUTE_US: u64 = 60_000_000;
    Histogram::new_with_bounds(1, MINUTE_US, 3).expect("the bounds are in order")
}

fn quantiles(results: &[(bool, Duration, Instant)]) -> (usize, f64, f64) {
    let mut times = histogram();
    for (_, took, _) in results.iter().filter(|(ran, ..)| *ran) {
        times.saturating_record(took.as_micros() as u64);
    }
    let ms = |q| times.value_at_quantile(q) as f64 / 1_000.0;
    (times.len() as usize, ms(0.5), ms(0.99))
}

async fn latency(ways: &[Way]) -> anyhow::Result<()> {
    println!(
        "store ms  req/s  way          bare p50  claim p50  added p50  claim p99  txn/req  rows/req  reads/req  ran%  429s"
    );
    for round_trip in [1, 10, 35] {
        for per_s in [50, 200, 400] {
            for way in ways {
                measure(round_trip, per_s, *way).await?;
            }
        }
    }
    Ok(())
}

async fn measure(round_trip: u64, per_s: u32, way: Way) -> anyhow::Result<()> {
    let fleet = Fleet::start(way, Duration::from_millis(round_trip), STORE_PER_S).await?;
    let bare = fleet.bare().await as f64 / 1_000.0;
    load(&fleet, per_s, WARM).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = fleet.counts();
    let results = load(&fleet, per_s, MEASURED).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let done = fleet.counts().since(&before);
    let (ran, p50, p99) = quantiles(&results);
    let n = results.len() as f64;
    println!(
        "{round_trip:>8}  {per_s:>5}  {:<11}  {bare:>8.2}  {p50:>9.2}  {:>9.2}  {p99:>9.2}  {:>7.2}  {:>8.2}  {:>9.2}  {:>4.0}  {:>4}",
        format!("{way:?}").to_lowercase(),
        p50 - bare,
        done.commits as f64 / n,
        done.rows_written as f64 / n,
        done.reads as f64 / n,
        100.0 * ran as f64 / n,
        done.throttled,
    );
    fleet.stop().await;
    Ok(())
}

async fn outage() -> anyhow::Result<()> {
    println!(
        "outage  down for  not run  told within p99  normal after  store writes in first second"
    );
    for down in [Down::Refuse, Down::Hang] {
        let fleet = Fleet::start(Way::Near, Duration::from_millis(10), STORE_PER_S).await?;
        load(&fleet, 200, WARM).await;
        let platform = Arc::clone(fleet.server.platform());
        let switch = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(1)).await;
            platform.fault(|f| f.down = Some(down));
            tokio::time::sleep(Duration::from_secs(5)).await;
            let before = platform.counts();
            platform.fault(|f| f.down = None);
            let up = Instant::now();
            tokio::time::sleep(Duration::from_secs(1)).await;
            (up, platform.counts().since(&before).commits)
        });
        let results = load(&fleet, 200, Duration::from_secs(14)).await;
        let (up, writes) = switch.await?;
        let failed: Vec<_> = results.iter().filter(|(ran, ..)| !ran).collect();
        let slow =
            results.iter().filter(|(ran, took, _)| !ran || *took > Duration::from_millis(100));
        let normal = slow.map(|(_, _, start)| start.saturating_duration_since(up)).max();
        let mut told: Vec<_> = failed.iter().map(|(_, took, _)| *took).collect();
        told.sort();
        println!(
            "{:<6}  {:>8}  {:>7}  {:>12} ms  {:>9} ms  {writes}",
            format!("{down:?}").to_lowercase(),
            "5 s",
            failed.len(),
            told.get(told.len() * 99 / 100).map_or(0, |took| took.as_millis()),
            normal.map_or(0, |after| after.as_millis()),
        );
        fleet.stop().await;
    }
    Ok(())
}

async fn capacity() -> anyhow::Result<()> {
    println!(
        "offered/s  ran/s  claim p50 ms  claim p99 ms  txn/s  rows/txn  cpu us/claim (hosts, store and load together)"
    );
    for per_s in [400, 1_600, 6_400] {
        let fleet = Fleet::start(Way::Near, Duration::from_millis(10), STORE_PER_S).await?;
        load(&fleet, per_s, WARM).await;
        let (before, cpu, start) = (fleet.counts(), cpu_ms(), Instant::now());
        let results = load(&fleet, per_s, MEASURED).await;
        let (span, cpu) = (start.elapsed().as_secs_f64(), cpu_ms() - cpu);
        let done = fleet.counts().since(&before);
        let (ran, p50, p99) = quantiles(&results);
        println!(
            "{per_s:>9}  {:>5.0}  {p50:>12.2}  {p99:>12.2}  {:>5.0}  {:>8.1}  {:.0}",
            ran as f64 / span,
            done.commits as f64 / span,
            done.rows_written as f64 / done.commits.max(1) as f64,
            cpu * 1_000.0 / ran.max(1) as f64,
        );
        fleet.stop().await;
    }
    Ok(())
}

/// Processor time of this process, in milliseconds.
fn cpu_ms() -> f64 {
    const TICK_MS: f64 = 10.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after_name.split(' ').filter_map(|field| field.parse().ok()).collect();
    // The fields that are no numbers are dropped: the state stands first.
    const USER: usize = 10;
    (fields.get(USER).unwrap_or(&0.0) + fields.get(USER + 1).unwrap_or(&0.0)) * TICK_MS
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let what = std::env::args().nth(1);
    match what.as_deref() {
        Some("latency") => latency(&WAYS).await,
        Some("near") => latency(&[Way::Near]).await,
        Some("outage") => outage().await,
        Some("capacity") => capacity().await,
        _ => {
            latency(&WAYS).await?;
            outage().await?;
            capacity().await
        }
    }
}
