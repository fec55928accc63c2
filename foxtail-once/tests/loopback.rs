//! Tests hosts against the stand-in of the platform's store over loopback HTTP, with store faults
//! under load.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use foxtail_adapter::table_and_objects;
use foxtail_net::TcpDial;
use foxtail_once::{AtMostOnce, BeginOutcome, Claims, Commit, GroupCommitter, claims, commit};
use foxtail_platform::guard::{GuardedTable, Options as GuardOptions, Rate};
use foxtail_platform::{Objects, Table};
use foxtail_standin::store::{Fault, RateLimits, Store, StoreEndpoint};
use foxtail_time::BootClock;
use foxtail_types::prelude::*;
use foxtail_types::reason::Reason;
use parking_lot::Mutex;
use support::{answer, claim_request, key, workspace};
use tokio::task::JoinSet;

const HOST_COUNT: usize = 4;
const REQUEST_COUNT: usize = 400;
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
const DEADLINE: Millis = Millis(1_500);

/// Number of runs of each key, as counted by the upstream.
type RunCounts = Arc<Mutex<HashMap<IdempotencyKey, usize>>>;

fn start_host(endpoint: &StoreEndpoint, i: usize) -> (Arc<Claims>, Arc<GroupCommitter>) {
    let (table, objects) = table_and_objects(Arc::new(TcpDial), endpoint.addr());
    let clock: Arc<dyn Clock> = Arc::new(BootClock);
    let share = GuardOptions {
        writes: Rate { per_s: 100, burst: 20 },
        reads: Rate { per_s: 500, burst: 50 },
    };
    let table: Arc<dyn Table> = GuardedTable::new(Arc::new(table), Arc::clone(&clock), share);
    let objects: Arc<dyn Objects> = Arc::new(objects);
    let options = commit::Options { timeout: Millis(300), ..commit::Options::default() };
    let committer = GroupCommitter::start(Arc::clone(&table), Arc::clone(&clock), options);
    let commit = Arc::clone(&committer) as Arc<dyn Commit>;
    let ports = claims::Ports { clock, table, objects, commit };
    let options = claims::Options { grace: Millis(200), ..claims::Options::default() };
    (Claims::start(HostId::new(&format!("h{i}")).unwrap(), ports, options), committer)
}

/// Submits `k` once: claims it, runs it at the upstream and records the answer, if the claim is
/// granted.
async fn submit(once: Arc<Claims>, k: IdempotencyKey, runs: RunCounts, n: usize) -> BeginOutcome {
    let ws = workspace();
    let req = claim_request(&ws, k, BootClock.now() + DEADLINE);
    let outcome = once.begin(foxtail_once::ClaimRequest { resent: n > 0, ..req }).await;
    if let BeginOutcome::Run(attempt) = &outcome
        && once.may_send(attempt)
    {
        *runs.lock().entry(k).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(3)).await;
        once.record_answer(attempt.clone(), answer(10)).await;
    }
    outcome
}

/// Submits `k` again until the outcome is definite.
async fn definite_outcome(once: &Claims, k: IdempotencyKey) -> BeginOutcome {
    for _ in 0..40 {
        let ws = workspace();
        let req = claim_request(&ws, k, BootClock.now() + DEADLINE);
        let outcome = once.begin(foxtail_once::ClaimRequest { resent: true, ..req }).await;
        match outcome {
            BeginOutcome::Unknown(Reason::KeyInFlight | Reason::StoreUnavailable, _) => {
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
            outcome => return outcome,
        }
    }
    panic!("no definite outcome for {k}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keys_run_at_most_once_during_outages_and_lost_replies() {
    let endpoint = StoreEndpoint::open(&Store::new()).await.unwrap();
    endpoint.set_rate_limits(RateLimits { writes_per_s: 400, reads_per_s: 2_000 });
    let mut hosts: Vec<_> = (0..HOST_COUNT).map(|i| start_host(&endpoint, i)).collect();
    let (runs, keys) = (RunCounts::default(), keys());
    let mut tasks = JoinSet::new();
    endpoint.set_answer_loss_per_mille(200);
    for (i, k) in keys.iter().enumerate() {
        match i * 8 / REQUEST_COUNT {
            2 => endpoint.set_fault(Fault::Unavailable),
            4 => endpoint.set_fault(Fault::Held),
            5 => endpoint.set_fault(Fault::Slow(Duration::from_millis(40))),
            _ => endpoint.set_fault(Fault::None),
        }
        if i == REQUEST_COUNT / 2 {
            let (claims, committer) = std::mem::replace(&mut hosts[0], start_host(&endpoint, 9));
            claims.stop(Millis::ZERO).await;
            drop(committer);
        }
        // Every third key is submitted to two hosts at once.
        for n in 0..1 + usize::from(i % 3 == 0) {
            let once = Arc::clone(&hosts[(i + n) % HOST_COUNT].0);
            let (k, runs) = (*k, Arc::clone(&runs));
            tasks.spawn(async move { (k, n, submit(once, k, runs, n).await) });
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    endpoint.set_answer_loss_per_mille(0);
    endpoint.finish_held_calls().await;
    let outcomes = tasks.join_all().await;
    for (k, n, outcome) in &outcomes {
        let only_submission =
            *n == 0 && outcomes.iter().filter(|(other, ..)| other == k).count() == 1;
        let ran = runs.lock().contains_key(k);
        assert!(
            !(only_submission && ran && matches!(outcome, BeginOutcome::NotRun(..))),
            "{k} ran but was reported as not run"
        );
    }
    assert!(runs.lock().values().all(|n| *n == 1), "a key ran twice");
    assert!(runs.lock().len() > REQUEST_COUNT / 4, "only {} keys ran", runs.lock().len());
    let replays = check_definite(&hosts, &keys, &runs).await;
    assert!(replays > REQUEST_COUNT / 4, "only {replays} keys were replayed");
    for (claims, committer) in hosts {
        claims.stop(Millis(2_000)).await;
        committer.stop().await;
    }
    endpoint.close().await;
}

fn keys() -> Vec<IdempotencyKey> {
    (0..REQUEST_COUNT).map(|i| key(BootClock.wall(), i as u64)).collect()
}

/// Checks that every key has one definite outcome. Returns the number of replays.
async fn check_definite(
    hosts: &[(Arc<Claims>, Arc<GroupCommitter>)],
    keys: &[IdempotencyKey],
    runs: &RunCounts,
) -> usize {
    let mut tasks = JoinSet::new();
    for (i, k) in keys.iter().enumerate() {
        let once = Arc::clone(&hosts[i % HOST_COUNT].0);
        let (k, runs) = (*k, Arc::clone(runs));
        tasks.spawn(async move {
            let ran = runs.lock().contains_key(&k);
            match definite_outcome(&once, k).await {
                BeginOutcome::Run(_) => assert!(!ran, "{k} ran and was granted again"),
                BeginOutcome::Replay(_) => return usize::from(ran),
                BeginOutcome::Unknown(Reason::AnswerLost, _) => {}
                other => panic!("{k}: {other:?}"),
            }
            0
        });
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    tasks.join_all().await.into_iter().sum()
}
