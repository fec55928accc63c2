//! The lease of a shard, step by step.

mod common;

use common::Rows;
use foxtail_limit::ShardId;
use foxtail_limit::drift::covering;
use foxtail_limit::lease::{CANDIDATES, Claim, LEASE, Lease, Legacy, STAGGER, Written};
use foxtail_platform::table::{Outcome, Write};
use foxtail_platform::{Row, Txn};
use foxtail_types::prelude::*;

fn shard() -> ShardId {
    ShardId { region: common::region("sabah"), index: 0 }
}

fn lease(host: &str, token: u64) -> Lease {
    Lease::new(shard(), common::host(host), token)
}

fn row(rows: &Rows) -> Option<Row> {
    rows.0.get(&shard().row_key()).cloned()
}

fn commit(rows: &mut Rows, write: &Write) -> Written {
    match rows.commit(&Txn { writes: vec![write.clone()] }) {
        Outcome::Committed(versions) => Written::Committed(versions[0]),
        Outcome::Conflict { found, .. } => Written::Conflict(found),
        outcome => panic!("unexpected {outcome:?}"),
    }
}

/// Claims the free shard for `lease` at `now`; the reply comes `late`.
fn claim(rows: &mut Rows, lease: &mut Lease, now: u64, late: u64) {
    lease.observe(Millis(now), row(rows).as_ref());
    let write = lease.claim(Claim::First).expect("the row is known");
    lease.sent(Millis(now));
    let written = commit(rows, &write);
    lease.settle(Millis(now + late), written, &write);
}

#[test]
fn the_holder_stops_before_anyone_else_may_claim() {
    let (mut rows, mut first, mut second) = (Rows::default(), lease("h0", 1), lease("h1", 2));
    claim(&mut rows, &mut first, 1_000, 600);
    assert_eq!(first.until(), Millis(1_000) + LEASE, "counted from the sending");
    second.observe(Millis(1_001), row(&rows).as_ref());
    let free = Millis(1_001) + covering(LEASE);
    assert!(free > first.until());
    assert_eq!(second.claimable(free - Millis(1), 0), None);
    assert_eq!(second.claimable(free, 0), Some(Claim::Lapsed));
    assert_eq!(second.claimable(free, 1), None, "the second in line waits longer");
    assert_eq!(second.claimable(free + STAGGER, 1), Some(Claim::Lapsed));
    assert_eq!(second.claimable(Millis::MAX, CANDIDATES), None);
}

#[test]
fn of_two_that_claim_at_once_one_owns() {
    let (mut rows, mut first, mut second) = (Rows::default(), lease("h0", 1), lease("h1", 2));
    second.observe(Millis(1), None);
    claim(&mut rows, &mut first, 1, 10);
    let write = second.claim(Claim::First).expect("the row is known");
    second.sent(Millis(2));
    second.settle(Millis(20), commit(&mut rows, &write), &write);
    assert_eq!(first.own_epoch(), Some(Epoch(1)));
    assert_eq!(second.own_epoch(), None);
    assert_eq!(second.owner(), Some(&common::host("h0")));
}

#[test]
fn a_write_without_reply_counts_from_the_earliest_that_may_have_taken_effect() {
    let (mut rows, mut lease) = (Rows::default(), lease("h0", 1));
    claim(&mut rows, &mut lease, 1_000, 10);
    let renewal = lease.renewal(Legacy::default()).expect("it is the owner");
    for sent in [2_000, 3_000] {
        lease.sent(Millis(sent));
        lease.settle(Millis(sent + 700), Written::Unknown, &renewal);
    }
    assert!(lease.unsettled());
    assert_eq!(lease.until(), Millis(1_000) + LEASE);
    commit(&mut rows, &renewal);
    lease.observe(Millis(3_900), row(&rows).as_ref());
    assert_eq!(lease.until(), Millis(2_000) + LEASE);
    assert!(!lease.unsettled());
}

#[test]
fn a_promise_keeps_a_host_from_a_lapsed_shard() {
    let (mut rows, mut owner, mut other) = (Rows::default(), lease("h0", 1), lease("h1", 2));
    claim(&mut rows, &mut owner, 1_000, 10);
    other.observe(Millis(1_100), row(&rows).as_ref());
    let span = Millis(3_000);
    assert!(!other.withhold(Millis(3_500), Epoch(1), span, false), "it reaches the store");
    assert!(other.withhold(Millis(3_500), Epoch(1), span, true));
    let end = Millis(3_500) + covering(span);
    assert_eq!(other.claimable(end - Millis(1), 0), None);
    assert_eq!(other.claimable(end, 0), Some(Claim::Lapsed));
    let write = other.claim(Claim::Lapsed).expect("the row is known");
    other.sent(end);
    assert!(!other.withhold(end, Epoch(1), span, true), "its claim may take effect");
    other.settle(end, commit(&mut rows, &write), &write);
    assert!(!owner.withhold(end, Epoch(1), span, true), "it believes that it is the owner");
    assert_eq!(other.legacy().formers, [common::host("h0")]);
}

#[test]
fn a_successor_owns_from_when_it_was_ready() {
    let (mut rows, mut owner, mut next) = (Rows::default(), lease("h0", 1), lease("h1", 2));
    claim(&mut rows, &mut owner, 1_000, 10);
    let token = next.ready(Millis(1_500), Epoch(1));
    let successor = Some((common::host("h1"), token));
    let write = owner.release(successor, Legacy::default()).expect("it is the owner");
    owner.sent(Millis(1_510));
    owner.settle(Millis(1_520), commit(&mut rows, &write), &write);
    assert_eq!((owner.own_epoch(), owner.until()), (None, Millis::ZERO));
    next.observe(Millis(1_600), row(&rows).as_ref());
    assert_eq!((next.own_epoch(), next.until()), (Some(Epoch(2)), Millis(1_500) + LEASE));
}
