//! Hosts and the stand-in of the platform's store over loopback HTTP, with faults under load.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use foxtail_adapter::table_and_objects;
use foxtail_net::TcpDial;
use foxtail_once::{Begin, Claims, Commit, Gate, Group, claims, commit};
use foxtail_platform::guard::{Guard, Options as Share, Rate};
use foxtail_platform::{Objects, Table};
use foxtail_standin::store::{Fault, RateLimits, Store, StoreEndpoint};
use foxtail_time::BootClock;
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use support::{answer, ask, key, workspace};
use tokio::task::JoinSet;

const HOSTS: usize = 4;
const REQUESTS: usize = 400;
const SPACING: Duration = Duration::from_millis(5);
const DEADLINE: Millis = Millis(1_500);

/// Runs by key: the upstream's own count.
type Runs = Arc<Mutex<HashMap<IdempotencyKey, usize>>>;

fn start_host(door: &StoreEndpoint, i: usize) -> (Arc<Claims>, Arc<Group>) {
    let (table, objects) = table_and_objects(Arc::new(TcpDial), door.addr());
    let clock: Arc<dyn Clock> = Arc::new(BootClock);
    let share =
        Share { writes: Rate { per_s: 100, burst: 20 }, reads: Rate { per_s: 500, burst: 50 } };
    let table: Arc<dyn Table> = Guard::new(Arc::new(table), Arc::clone(&clock), share);
    let objects: Arc<dyn Objects> = Arc::new(objects);
    let options = commit::Options { timeout: Millis(300), ..commit::Options::default() };
    let group = Group::start(Arc::clone(&table), Arc::clone(&clock), options);
    let commit = Arc::clone(&group) as Arc<dyn Commit>;
    let ports = claims::Ports { clock, table, objects, commit };
    let options = claims::Options { grace: Millis(200), ..claims::Options::default() };
    (Claims::start(HostId::new(&format!("h{i}")).unwrap(), ports, options), group)
}

/// One sending: claims, runs at the upstream, and ends the attempt unless the host is lost.
async fn sending(gate: Arc<Claims>, k: IdempotencyKey, runs: Runs, n: usize) -> Begin {
    let ws = workspace();
    let ask = ask(&ws, k, BootClock.now() + DEADLINE);
    let begin = gate.begin(foxtail_once::Ask { resent: n > 0, ..ask }).await;
    if let Begin::Run(attempt) = &begin
        && gate.may_send(attempt)
    {
        *runs.lock().entry(k).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(3)).await;
        gate.answered(attempt.clone(), answer(10)).await;
    }
    begin
}

/// Asks until the outcome is definite.
async fn definite(gate: &Claims, k: IdempotencyKey) -> Begin {
    for _ in 0..40 {
        let ws = workspace();
        let ask = ask(&ws, k, BootClock.now() + DEADLINE);
        let begin = gate.begin(foxtail_once::Ask { resent: true, ..ask }).await;
        match begin {
            Begin::Unknown(Reason::KeyInFlight | Reason::StoreUnavailable, _) => {
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
            begin => return begin,
        }
    }
    panic!("no definite outcome for {k}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outage_and_lost_replies_under_load() {
    let door = StoreEndpoint::open(&Store::new()).await.unwrap();
    door.set_rate_limits(RateLimits { writes_per_s: 400, reads_per_s: 2_000 });
    let mut hosts: Vec<_> = (0..HOSTS).map(|i| start_host(&door, i)).collect();
    let (runs, keys) = (Runs::default(), keys());
    let mut tasks = JoinSet::new();
    door.set_answer_loss_per_mille(200);
    for (i, k) in keys.iter().enumerate() {
        match i * 8 / REQUESTS {
            2 => door.set_fault(Fault::Unavailable),
            4 => door.set_fault(Fault::Held),
            5 => door.set_fault(Fault::Slow(Duration::from_millis(40))),
            _ => door.set_fault(Fault::None),
        }
        if i == REQUESTS / 2 {
            let (claims, group) = std::mem::replace(&mut hosts[0], start_host(&door, 9));
            claims.stop(Millis::ZERO).await;
            drop(group);
        }
        // Every third key goes to two hosts at once.
        for n in 0..1 + usize::from(i % 3 == 0) {
            let gate = Arc::clone(&hosts[(i + n) % HOSTS].0);
            let (k, runs) = (*k, Arc::clone(&runs));
            tasks.spawn(async move { (k, n, sending(gate, k, runs, n).await) });
        }
        tokio::time::sleep(SPACING).await;
    }
    door.set_answer_loss_per_mille(0);
    door.finish_held_calls().await;
    let told = tasks.join_all().await;
    for (k, n, begin) in &told {
        let alone = *n == 0 && told.iter().filter(|(other, ..)| other == k).count() == 1;
        let ran = runs.lock().contains_key(k);
        assert!(!(alone && ran && matches!(begin, Begin::NotRun(..))), "{k} ran");
    }
    assert!(runs.lock().values().all(|n| *n == 1), "a key ran twice");
    assert!(runs.lock().len() > REQUESTS / 4, "{} ran", runs.lock().len());
    let replays = check_definite(&hosts, &keys, &runs).await;
    assert!(replays > REQUESTS / 4, "{replays} replayed");
    for (claims, group) in hosts {
        claims.stop(Millis(2_000)).await;
        group.stop().await;
    }
    door.close().await;
}

fn keys() -> Vec<IdempotencyKey> {
    (0..REQUESTS).map(|i| key(BootClock.wall(), i as u64)).collect()
}

/// Every key has one definite outcome, the same at every host; how many are replays.
async fn check_definite(
    hosts: &[(Arc<Claims>, Arc<Group>)],
    keys: &[IdempotencyKey],
    runs: &Runs,
) -> usize {
    let mut asking = JoinSet::new();
    for (i, k) in keys.iter().enumerate() {
        let gate = Arc::clone(&hosts[i % HOSTS].0);
        let (k, runs) = (*k, Arc::clone(runs));
        asking.spawn(async move {
            let ran = runs.lock().contains_key(&k);
            match definite(&gate, k).await {
                Begin::Run(_) => assert!(!ran, "{k} would run again"),
                Begin::Replay(_) => return usize::from(ran),
                Begin::Unknown(Reason::AnswerLost, _) => {}
                other => panic!("{k}: {other:?}"),
            }
            0
        });
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    asking.join_all().await.into_iter().sum()
}
