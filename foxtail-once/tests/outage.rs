//! Tests a fleet during a long outage of the store, on virtual time: the hosts stop calling the
//! store, answer callers at once, and return to it without overloading it.

mod support;

use std::sync::Arc;

use foxtail_once::{AtMostOnce, BeginOutcome, commit};
use foxtail_platform::Table;
use foxtail_platform::guard::{GuardedTable, Options as GuardOptions, Rate};
use foxtail_standin::platform::{LocalStore, Options, Outage, Platform, RateLimits};
use foxtail_types::prelude::*;
use support::{
    Host, TokioClock, WALL_START, answer, claim_request, host_with_table, key, workspace,
};
use tokio::task::JoinSet;

const HOST_COUNT: u64 = 18;
const REQUESTS_PER_S: u64 = 200;
/// When the outage starts, when it ends, and when the load ends.
const OUTAGE_START: Millis = Millis(2_000);
const OUTAGE_END: Millis = Millis(14_000);
const LOAD_END: Millis = Millis(24_000);
const STORE_RATES: RateLimits =
    RateLimits { writes_per_s: 400, reads_per_s: 2_000, by_rows: false };

/// Calls of each host that a hanging store still holds when the outage ends, and then runs all at
/// once: the transactions in flight when the outage started, and the probes sent during it.
const HUNG_TXNS_PER_HOST: u64 = 16;
const PROBES_PER_HOST: u64 = 10;

/// When a request was sent, how long its `begin` took, and whether it ran.
type Sample = (Millis, Millis, bool);

fn start_host(i: u64, platform: &Arc<Platform>, clock: &Arc<TokioClock>) -> Host {
    let local = LocalStore::new(Arc::clone(platform));
    let share = GuardOptions {
        writes: Rate { per_s: 20, burst: 20 },
        reads: Rate { per_s: 100, burst: 100 },
    };
    let clock: Arc<dyn Clock> = clock.clone();
    let table: Arc<dyn Table> =
        GuardedTable::new(Arc::new(local.clone()), Arc::clone(&clock), share);
    let options = commit::Options { seed: Some(i), ..commit::Options::default() };
    host_with_table(&format!("h{i}"), table, local, clock, options, |committer| committer)
}

async fn request(host: Arc<Host>, n: u64) -> Sample {
    let (ws, sent) = (workspace(), host.clock.now());
    let req = claim_request(&ws, key(WALL_START, n), sent + Millis(1_500));
    let outcome = host.claims.begin(req).await;
    let took = host.clock.now() - sent;
    let BeginOutcome::Run(attempt) = outcome else {
        assert!(matches!(outcome, BeginOutcome::NotRun(..)), "{outcome:?}");
        return (sent, took, false);
    };
    host.claims.record_answer(attempt, answer(10)).await;
    (sent, took, true)
}

async fn run_outage(down: Outage) {
    let platform = Platform::new(&Options { rates: Some(STORE_RATES), seed: 1 });
    platform.update_faults(|f| f.added_delay = Millis(5));
    let clock = TokioClock::start(WALL_START);
    let hosts: Vec<_> =
        (0..HOST_COUNT).map(|i| Arc::new(start_host(i, &platform, &clock))).collect();
    let mut tasks = JoinSet::new();
    let mut counts_at_outage_end = None;
    let mut first_second_commits = 0;
    for n in 0..LOAD_END.0 * REQUESTS_PER_S / 1_000 {
        let now = clock.now();
        platform
            .update_faults(|f| f.down = (OUTAGE_START <= now && now < OUTAGE_END).then_some(down));
        if now >= OUTAGE_END && counts_at_outage_end.is_none() {
            counts_at_outage_end = Some(platform.counts());
        }
        if now < OUTAGE_END + Millis(1_000) {
            first_second_commits =
                platform.counts().since(&counts_at_outage_end.unwrap_or(platform.counts())).commits;
        }
        tasks.spawn(request(Arc::clone(&hosts[(n % HOST_COUNT) as usize]), n));
        tokio::time::sleep(Millis(1_000 / REQUESTS_PER_S).duration()).await;
    }
    let samples = tasks.join_all().await;
    let in_outage = |(sent, ..): &&Sample| {
        OUTAGE_START + Millis(2_500) < *sent && *sent < OUTAGE_END - Millis(1_500)
    };
    let slowest = samples.iter().filter(in_outage).map(|(_, took, _)| *took).max().unwrap();
    assert!(samples.iter().filter(in_outage).all(|(.., ran)| !ran));
    let slow_calls =
        samples.iter().filter(in_outage).filter(|(_, took, _)| *took > Millis(50)).count();
    let outage_calls = samples.iter().filter(in_outage).count();
    assert!(
        slow_calls * 10 < outage_calls,
        "{slow_calls} of {outage_calls} calls in the outage took over 50 ms, the slowest {slowest}"
    );
    let failed_after = samples.iter().filter(|(sent, _, ran)| !ran && *sent >= OUTAGE_END);
    let recovery = failed_after.map(|(sent, ..)| *sent - OUTAGE_END).max().unwrap_or_default();
    eprintln!(
        "{down:?}: last failure {recovery} after the outage, {first_second_commits} commits in the \
         first second after it, {slow_calls} of {outage_calls} calls in the outage took over \
         50 ms, {:?}",
        platform.counts()
    );
    assert!(recovery <= Millis(5_000), "{recovery}");
    assert!(first_second_commits <= 400, "{first_second_commits}");
    let hung_txns =
        if down == Outage::Hang { HOST_COUNT * (HUNG_TXNS_PER_HOST + PROBES_PER_HOST) } else { 0 };
    assert!(platform.counts().throttled <= hung_txns, "{:?}", platform.counts());
    assert!(platform.counts().down < HOST_COUNT * 30, "{:?}", platform.counts());
}

#[tokio::test(start_paused = true)]
async fn hosts_recover_from_a_refusing_store() {
    run_outage(Outage::Refuse).await;
}

#[tokio::test(start_paused = true)]
async fn hosts_recover_from_a_hanging_store() {
    run_outage(Outage::Hang).await;
}
