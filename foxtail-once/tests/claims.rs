//! Tests claims on virtual time: which request runs, which waits, and which outcome is returned.

mod support;

use std::sync::Arc;

use foxtail_once::commit::FENCE_ROW_KEY;
use foxtail_once::record::{Record, State};
use foxtail_once::{AtMostOnce, BeginOutcome, Collector, Fingerprint, collect};
use foxtail_standin::platform::{LocalStore, Options, Outage, Platform};
use foxtail_types::prelude::*;
use foxtail_types::reason::Reason;
use support::{TokioClock, WALL_START, answer, claim_request, host, key, workspace};

fn start() -> (Arc<Platform>, Arc<TokioClock>) {
    (Platform::new(&Options::default()), TokioClock::start(WALL_START))
}

async fn advance(ms: u64) {
    tokio::time::sleep(Millis(ms).duration()).await;
}

fn states(platform: &Platform) -> Vec<State> {
    let rows = platform.rows("once/");
    rows.iter().map(|(_, row)| Record::decode(&row.value).unwrap().state).collect()
}

#[tokio::test(start_paused = true)]
async fn concurrent_requests_at_two_hosts_run_once_and_replay() {
    let (platform, clock) = start();
    let (a, b) = (host("a", &platform, clock.clone()), host("b", &platform, clock.clone()));
    let (ws, k) = (workspace(), key(WALL_START, 1));
    let req = claim_request(&ws, k, Millis(5_000));
    let (first, second) = tokio::join!(
        a.claims.begin(req),
        b.claims.begin(support::claim_request(&ws, k, Millis(900)))
    );
    let BeginOutcome::Run(attempt) = first else { panic!("{first:?}") };
    assert_eq!(
        second,
        BeginOutcome::Unknown(Reason::KeyInFlight, Millis(500)),
        "the other attempt had not ended by the deadline"
    );
    assert!(a.claims.may_send(&attempt) && !b.claims.may_send(&attempt));
    a.claims.record_answer(attempt, answer(50_000)).await;
    let req = support::claim_request(&ws, k, Millis(9_000));
    assert_eq!(
        a.claims.begin(req).await,
        BeginOutcome::Replay(answer(50_000)),
        "host a replays the answer before its record is written"
    );
    assert_eq!(
        b.claims.begin(req).await,
        BeginOutcome::Replay(answer(50_000)),
        "host b replays the answer from the store"
    );
    let other = foxtail_once::ClaimRequest { fingerprint: Fingerprint([2; 32]), ..req };
    assert_eq!(b.claims.begin(other).await, BeginOutcome::Refused(Reason::KeyReused));
}

#[tokio::test(start_paused = true)]
async fn a_large_answer_is_replayed_without_its_body() {
    let (platform, clock) = start();
    let a = host("a", &platform, clock.clone());
    let ws = workspace();
    let req = claim_request(&ws, key(WALL_START, 1), Millis(5_000));
    let BeginOutcome::Run(attempt) = a.claims.begin(req).await else { panic!("runs") };
    a.claims.record_answer(attempt, answer(2 << 20)).await;
    advance(500).await;
    let BeginOutcome::Replay(replayed) = a.claims.begin(req).await else { panic!("replays") };
    assert_eq!((replayed.body, replayed.size), (None, 2 << 20));
}

#[tokio::test(start_paused = true)]
async fn released_key_runs_again_and_lost_key_does_not() {
    let (platform, clock) = start();
    let (a, b) = (host("a", &platform, clock.clone()), host("b", &platform, clock.clone()));
    let ws = workspace();
    let req = claim_request(&ws, key(WALL_START, 1), Millis(5_000));
    let BeginOutcome::Run(attempt) = a.claims.begin(req).await else { panic!("runs") };
    a.claims.release(attempt.clone()).await;
    assert!(!a.claims.may_send(&attempt));
    let BeginOutcome::Run(attempt) = b.claims.begin(req).await else { panic!("runs again") };
    b.claims.mark_lost(attempt).await;
    advance(300).await;
    let outcome = a.claims.begin(req).await;
    assert!(matches!(outcome, BeginOutcome::Unknown(Reason::AnswerLost, _)), "{outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn claim_of_a_crashed_host_becomes_lost() {
    let (platform, clock) = start();
    let (a, b) = (host("a", &platform, clock.clone()), host("b", &platform, clock.clone()));
    let ws = workspace();
    let run = a.claims.begin(claim_request(&ws, key(WALL_START, 1), Millis(1_000))).await;
    assert!(matches!(run, BeginOutcome::Run(_)));
    drop(a);
    advance(20_000).await;
    let outcome = b.claims.begin(claim_request(&ws, key(WALL_START, 1), Millis(25_000))).await;
    assert!(matches!(outcome, BeginOutcome::Unknown(Reason::AnswerLost, _)), "{outcome:?}");
    advance(500).await;
    assert_eq!(states(&platform), [State::Lost]);
}

#[tokio::test(start_paused = true)]
async fn unavailable_store_yields_not_run_and_late_claims_are_released() {
    let (platform, clock) = start();
    let a = host("a", &platform, clock.clone());
    let ws = workspace();
    platform.update_faults(|f| f.down = Some(Outage::Refuse));
    let outcome = a.claims.begin(claim_request(&ws, key(WALL_START, 1), Millis(1_000))).await;
    assert_eq!(outcome, BeginOutcome::NotRun(Reason::StoreUnavailable, Millis(1_000)));
    assert!(
        clock.now() < Millis(100),
        "the refusal arrives at once, without a wait for the deadline"
    );
    let again = foxtail_once::ClaimRequest {
        resent: true,
        ..claim_request(&ws, key(WALL_START, 1), Millis(1_000))
    };
    let outcome = a.claims.begin(again).await;
    assert_eq!(outcome, BeginOutcome::Unknown(Reason::StoreUnavailable, Millis(1_000)));
    platform.update_faults(|f| f.down = Some(Outage::Hang));
    let outcome = a.claims.begin(claim_request(&ws, key(WALL_START, 2), Millis(1_000))).await;
    assert_eq!(outcome, BeginOutcome::NotRun(Reason::StoreUnavailable, Millis(1_000)));
    assert!(clock.now() <= Millis(1_001), "begin returns by the deadline");
    platform.update_faults(|f| f.down = None);
    advance(10_000).await;
    assert_eq!(
        states(&platform),
        [State::Released],
        "the delayed claim took effect and is released"
    );
    let outcome =
        a.claims.begin(claim_request(&ws, key(WALL_START, 2), clock.now() + Millis(1_000))).await;
    assert!(matches!(outcome, BeginOutcome::Run(_)), "{outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn lost_commit_reply_is_resolved_by_the_token() {
    let (platform, clock) = start();
    let a = host("a", &platform, clock.clone());
    let ws = workspace();
    platform.update_faults(|f| f.lose_next_replies = 1);
    let outcome = a.claims.begin(claim_request(&ws, key(WALL_START, 1), Millis(1_000))).await;
    assert!(matches!(outcome, BeginOutcome::Run(_)), "{outcome:?}");
    assert_eq!(platform.counts().replies_lost, 1);
}

#[tokio::test(start_paused = true)]
async fn host_paused_past_the_deadline_may_not_send() {
    let (platform, clock) = start();
    let a = host("a", &platform, clock.clone());
    let ws = workspace();
    let BeginOutcome::Run(attempt) =
        a.claims.begin(claim_request(&ws, key(WALL_START, 1), Millis(1_000))).await
    else {
        panic!("runs")
    };
    advance(1_000).await;
    assert!(!a.claims.may_send(&attempt));
}

#[tokio::test(start_paused = true)]
async fn collected_keys_are_refused_on_every_host() {
    let (platform, clock) = start();
    let (ws, old, young) =
        (workspace(), key(WALL_START, 1), key(WALL_START + Millis::secs(3_600), 2));
    let a = host("a", &platform, clock.clone());
    // The wall clock of host b is twenty hours slow.
    let slow_clock = TokioClock::start(WALL_START - Millis::secs(20 * 3_600));
    let b = host("b", &platform, slow_clock);
    let BeginOutcome::Run(attempt) = a.claims.begin(claim_request(&ws, old, Millis(1_000))).await
    else {
        panic!("runs")
    };
    a.claims.record_answer(attempt, answer(1)).await;
    advance(26 * 3_600 * 1_000 - 5_000).await;
    let later_deadline = clock.now() + Millis(2_000);
    assert!(matches!(
        a.claims.begin(claim_request(&ws, young, later_deadline)).await,
        BeginOutcome::Refused(_)
    ));
    let collector = Collector::new(
        Arc::new(LocalStore::new(Arc::clone(&platform))),
        clock.clone(),
        collect::Options::default(),
    );
    assert_eq!(collector.run_round().await, Ok(1));
    assert!(platform.rows("once/").is_empty() && platform.rows(FENCE_ROW_KEY).len() == 1);
    let outcome = b.claims.begin(claim_request(&ws, old, later_deadline)).await;
    assert_eq!(
        outcome,
        BeginOutcome::Refused(Reason::KeyExpired),
        "the fence excludes the key although b's clock is slow"
    );
    assert_eq!(
        a.claims
            .begin(claim_request(
                &ws,
                key(WALL_START + Millis::secs(48 * 3_600), 3),
                later_deadline
            ))
            .await,
        BeginOutcome::Refused(Reason::KeyRequired)
    );
}
