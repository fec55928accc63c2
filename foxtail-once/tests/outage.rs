//! A fleet through a long outage of the store, on virtual time: it leaves the store alone, tells
//! callers at once, and comes back without a stampede.

mod support;

use std::sync::Arc;

use foxtail_once::{Begin, Gate, commit};
use foxtail_platform::Table;
use foxtail_platform::guard::{Guard, Options as Share, Rate};
use foxtail_standin::platform::{LocalStore, Options, Outage, Platform, RateLimits};
use foxtail_types::prelude::*;
use support::{Host, TokioClock, WALL, answer, ask, host_over, key, workspace};
use tokio::task::JoinSet;

const HOSTS: u64 = 18;
const REQUESTS_PER_S: u64 = 200;
/// When the store goes down, when it is back, and when the load ends.
const DOWN: Millis = Millis(2_000);
const UP: Millis = Millis(14_000);
const END: Millis = Millis(24_000);
const STORE: RateLimits = RateLimits { writes_per_s: 400, reads_per_s: 2_000, by_rows: false };

/// What a hanging store has of each host when it is back, and does all at once: the transactions
/// under way when it went down, and the probes since.
const UNDER_WAY: u64 = 16;
const PROBES: u64 = 10;

/// When a request was sent, how long it took, and whether it ran.
type Told = (Millis, Millis, bool);

fn start_host(i: u64, platform: &Arc<Platform>, clock: &Arc<TokioClock>) -> Host {
    let local = LocalStore::new(Arc::clone(platform));
    let share =
        Share { writes: Rate { per_s: 20, burst: 20 }, reads: Rate { per_s: 100, burst: 100 } };
    let clock: Arc<dyn Clock> = clock.clone();
    let table: Arc<dyn Table> = Guard::new(Arc::new(local.clone()), Arc::clone(&clock), share);
    let options = commit::Options { seed: Some(i), ..commit::Options::default() };
    host_over(&format!("h{i}"), table, local, clock, options, |group| group)
}

async fn request(host: Arc<Host>, n: u64) -> Told {
    let (ws, sent) = (workspace(), host.clock.now());
    let ask = ask(&ws, key(WALL, n), sent + Millis(1_500));
    let begin = host.claims.begin(ask).await;
    let took = host.clock.now() - sent;
    let Begin::Run(attempt) = begin else {
        assert!(matches!(begin, Begin::NotRun(..)), "{begin:?}");
        return (sent, took, false);
    };
    host.claims.answered(attempt, answer(10)).await;
    (sent, took, true)
}

async fn through(down: Outage) {
    let platform = Platform::new(&Options { rates: Some(STORE), seed: 1 });
    platform.update_faults(|f| f.added_delay = Millis(5));
    let clock = TokioClock::start(WALL);
    let hosts: Vec<_> = (0..HOSTS).map(|i| Arc::new(start_host(i, &platform, &clock))).collect();
    let mut tasks = JoinSet::new();
    let mut at_return = None;
    let mut first_second = 0;
    for n in 0..END.0 * REQUESTS_PER_S / 1_000 {
        let now = clock.now();
        platform.update_faults(|f| f.down = (DOWN <= now && now < UP).then_some(down));
        if now >= UP && at_return.is_none() {
            at_return = Some(platform.counts());
        }
        if now < UP + Millis(1_000) {
            first_second = platform.counts().since(&at_return.unwrap_or(platform.counts())).commits;
        }
        tasks.spawn(request(Arc::clone(&hosts[(n % HOSTS) as usize]), n));
        tokio::time::sleep(Millis(1_000 / REQUESTS_PER_S).duration()).await;
    }
    let told = tasks.join_all().await;
    let during = |(sent, ..): &&Told| DOWN + Millis(2_500) < *sent && *sent < UP - Millis(1_500);
    let slowest = told.iter().filter(during).map(|(_, took, _)| *took).max().unwrap();
    assert!(told.iter().filter(during).all(|(.., ran)| !ran));
    let probing = told.iter().filter(during).filter(|(_, took, _)| *took > Millis(50)).count();
    let asked = told.iter().filter(during).count();
    assert!(probing * 10 < asked, "{probing} of {asked} waited, the slowest {slowest}");
    let failed_after = told.iter().filter(|(sent, _, ran)| !ran && *sent >= UP);
    let back = failed_after.map(|(sent, ..)| *sent - UP).max().unwrap_or_default();
    eprintln!(
        "{down:?}: normal {back} after the return, {first_second} commits in its first second, \
         {probing} of {asked} calls in the outage waited, {:?}",
        platform.counts()
    );
    assert!(back <= Millis(5_000), "{back}");
    assert!(first_second <= 400, "{first_second}");
    let hung = if down == Outage::Hang { HOSTS * (UNDER_WAY + PROBES) } else { 0 };
    assert!(platform.counts().throttled <= hung, "{:?}", platform.counts());
    assert!(platform.counts().down < HOSTS * 30, "{:?}", platform.counts());
}

#[tokio::test(start_paused = true)]
async fn through_a_refusing_store() {
    through(Outage::Refuse).await;
}

#[tokio::test(start_paused = true)]
async fn through_a_hanging_store() {
    through(Outage::Hang).await;
}
