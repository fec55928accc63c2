//! Claims on virtual time: who runs, who waits, and what is told.

mod support;

use std::sync::Arc;

use foxtail_once::commit::FENCE;
use foxtail_once::record::{Record, State};
use foxtail_once::{Begin, Collector, Fingerprint, Gate, collect};
use foxtail_standin::platform::{LocalStore, Options, Outage, Platform};
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use support::{TokioClock, WALL, answer, ask, host, key, workspace};

fn start() -> (Arc<Platform>, Arc<TokioClock>) {
    (Platform::new(&Options::default()), TokioClock::start(WALL))
}

async fn pass(ms: u64) {
    tokio::time::sleep(Millis(ms).duration()).await;
}

fn states(platform: &Platform) -> Vec<State> {
    let rows = platform.rows("once/");
    rows.iter().map(|(_, row)| Record::decode(&row.value).unwrap().state).collect()
}

#[tokio::test(start_paused = true)]
async fn two_hosts_one_run_and_a_replay() {
    let (platform, clock) = start();
    let (a, b) = (host("a", &platform, clock.clone()), host("b", &platform, clock.clone()));
    let (ws, k) = (workspace(), key(WALL, 1));
    let ask = ask(&ws, k, Millis(5_000));
    let (first, second) =
        tokio::join!(a.claims.begin(ask), b.claims.begin(support::ask(&ws, k, Millis(900))));
    let Begin::Run(attempt) = first else { panic!("{first:?}") };
    assert_eq!(second, Begin::Unknown(Reason::KeyInFlight, Millis(500)), "nothing by the deadline");
    assert!(a.claims.may_send(&attempt) && !b.claims.may_send(&attempt));
    a.claims.answered(attempt, answer(50_000)).await;
    let ask = support::ask(&ws, k, Millis(9_000));
    assert_eq!(a.claims.begin(ask).await, Begin::Replay(answer(50_000)), "before it is recorded");
    assert_eq!(b.claims.begin(ask).await, Begin::Replay(answer(50_000)), "from the store");
    let other = foxtail_once::Ask { print: Fingerprint([2; 32]), ..ask };
    assert_eq!(b.claims.begin(other).await, Begin::Refused(Reason::KeyReused));
}

#[tokio::test(start_paused = true)]
async fn a_large_answer_is_replayed_without_its_body() {
    let (platform, clock) = start();
    let a = host("a", &platform, clock.clone());
    let ws = workspace();
    let ask = ask(&ws, key(WALL, 1), Millis(5_000));
    let Begin::Run(attempt) = a.claims.begin(ask).await else { panic!("runs") };
    a.claims.answered(attempt, answer(2 << 20)).await;
    pass(500).await;
    let Begin::Replay(replayed) = a.claims.begin(ask).await else { panic!("replays") };
    assert_eq!((replayed.body, replayed.size), (None, 2 << 20));
}

#[tokio::test(start_paused = true)]
async fn a_released_key_runs_elsewhere_and_a_lost_one_never() {
    let (platform, clock) = start();
    let (a, b) = (host("a", &platform, clock.clone()), host("b", &platform, clock.clone()));
    let ws = workspace();
    let ask = ask(&ws, key(WALL, 1), Millis(5_000));
    let Begin::Run(attempt) = a.claims.begin(ask).await else { panic!("runs") };
    a.claims.released(attempt.clone()).await;
    assert!(!a.claims.may_send(&attempt));
    let Begin::Run(attempt) = b.claims.begin(ask).await else { panic!("runs again") };
    b.claims.lost(attempt).await;
    pass(300).await;
    let end = a.claims.begin(ask).await;
    assert!(matches!(end, Begin::Unknown(Reason::AnswerLost, _)), "{end:?}");
}

#[tokio::test(start_paused = true)]
async fn a_dead_hosts_claim_ends_lost() {
    let (platform, clock) = start();
    let (a, b) = (host("a", &platform, clock.clone()), host("b", &platform, clock.clone()));
    let ws = workspace();
    let run = a.claims.begin(ask(&ws, key(WALL, 1), Millis(1_000))).await;
    assert!(matches!(run, Begin::Run(_)));
    drop(a);
    pass(20_000).await;
    let end = b.claims.begin(ask(&ws, key(WALL, 1), Millis(25_000))).await;
    assert!(matches!(end, Begin::Unknown(Reason::AnswerLost, _)), "{end:?}");
    pass(500).await;
    assert_eq!(states(&platform), [State::Lost]);
}

#[tokio::test(start_paused = true)]
async fn store_down_means_not_run_and_late_claims_are_released() {
    let (platform, clock) = start();
    let a = host("a", &platform, clock.clone());
    let ws = workspace();
    platform.update_faults(|f| f.down = Some(Outage::Refuse));
    let begin = a.claims.begin(ask(&ws, key(WALL, 1), Millis(1_000))).await;
    assert_eq!(begin, Begin::NotRun(Reason::StoreUnavailable, Millis(1_000)));
    assert!(clock.now() < Millis(100), "at once");
    let again = foxtail_once::Ask { resent: true, ..ask(&ws, key(WALL, 1), Millis(1_000)) };
    let begin = a.claims.begin(again).await;
    assert_eq!(begin, Begin::Unknown(Reason::StoreUnavailable, Millis(1_000)));
    platform.update_faults(|f| f.down = Some(Outage::Hang));
    let begin = a.claims.begin(ask(&ws, key(WALL, 2), Millis(1_000))).await;
    assert_eq!(begin, Begin::NotRun(Reason::StoreUnavailable, Millis(1_000)));
    assert!(clock.now() <= Millis(1_001), "by the deadline");
    platform.update_faults(|f| f.down = None);
    pass(10_000).await;
    assert_eq!(states(&platform), [State::Released], "the hung claim took effect and is released");
    let begin = a.claims.begin(ask(&ws, key(WALL, 2), clock.now() + Millis(1_000))).await;
    assert!(matches!(begin, Begin::Run(_)), "{begin:?}");
}

#[tokio::test(start_paused = true)]
async fn a_lost_reply_is_settled_by_the_token() {
    let (platform, clock) = start();
    let a = host("a", &platform, clock.clone());
    let ws = workspace();
    platform.update_faults(|f| f.lose_next_replies = 1);
    let begin = a.claims.begin(ask(&ws, key(WALL, 1), Millis(1_000))).await;
    assert!(matches!(begin, Begin::Run(_)), "{begin:?}");
    assert_eq!(platform.counts().replies_lost, 1);
}

#[tokio::test(start_paused = true)]
async fn a_paused_host_may_not_send_late() {
    let (platform, clock) = start();
    let a = host("a", &platform, clock.clone());
    let ws = workspace();
    let Begin::Run(attempt) = a.claims.begin(ask(&ws, key(WALL, 1), Millis(1_000))).await else {
        panic!("runs")
    };
    pass(1_000).await;
    assert!(!a.claims.may_send(&attempt));
}

#[tokio::test(start_paused = true)]
async fn old_keys_are_collected_and_never_run_again() {
    let (platform, clock) = start();
    let (ws, old, young) = (workspace(), key(WALL, 1), key(WALL + Millis::secs(3_600), 2));
    let a = host("a", &platform, clock.clone());
    // This host's wall clock is twenty hours late.
    let late = TokioClock::start(WALL - Millis::secs(20 * 3_600));
    let b = host("b", &platform, late);
    let Begin::Run(attempt) = a.claims.begin(ask(&ws, old, Millis(1_000))).await else {
        panic!("runs")
    };
    a.claims.answered(attempt, answer(1)).await;
    pass(26 * 3_600 * 1_000 - 5_000).await;
    let late_deadline = clock.now() + Millis(2_000);
    assert!(matches!(a.claims.begin(ask(&ws, young, late_deadline)).await, Begin::Refused(_)));
    let collector = Collector::new(
        Arc::new(LocalStore::new(Arc::clone(&platform))),
        clock.clone(),
        collect::Options::default(),
    );
    assert_eq!(collector.round().await, Ok(1));
    assert!(platform.rows("once/").is_empty() && platform.rows(FENCE).len() == 1);
    let begin = b.claims.begin(ask(&ws, old, late_deadline)).await;
    assert_eq!(begin, Begin::Refused(Reason::KeyExpired), "whatever b's wall clock says");
    assert_eq!(
        a.claims.begin(ask(&ws, key(WALL + Millis::secs(48 * 3_600), 3), late_deadline)).await,
        Begin::Refused(Reason::KeyRequired)
    );
}
