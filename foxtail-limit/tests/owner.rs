//! One owner: queue, health of upstreams, adoption, link bytes and shift.

mod common;

use std::sync::Arc;

use foxtail_limit::holder::Holder;
use foxtail_limit::link::{AHEAD_MAX, Booking, LinkBudget};
use foxtail_limit::msg::{Ask, AskId, Grant, Held, Note};
use foxtail_limit::owner::{Event, MostFree, Owner, Start};
use foxtail_limit::shift::ShiftBudget;
use foxtail_limit::{Refusal, Seen, ShardId, Ticket, Verdict};
use foxtail_types::prelude::*;

const EPOCH: Epoch = Epoch(2);

fn shard() -> ShardId {
    ShardId { region: common::region("sabah"), index: 0 }
}

fn owner(start: Start, upstreams: usize) -> Owner {
    let mut owner = Owner::new(shard(), EPOCH, start, Arc::new(MostFree));
    owner.authorize(Millis::MAX, false);
    owner.configure(Millis(1), &common::snapshot(&["sabah"], upstreams));
    owner
}

fn ask(no: u64, class: Class, remaining: u64) -> Ask {
    Ask {
        id: AskId { host: common::host("h0"), no },
        request: RequestId::fresh(),
        pool: common::pool("sabah"),
        class,
        zone: common::zone("sabah", 0),
        remaining: Millis(remaining),
        avoid: Vec::new(),
        fence: Epoch::default(),
    }
}

fn grants(owner: &mut Owner) -> Vec<(u64, Grant)> {
    let events = owner.take_events().into_iter();
    events
        .filter_map(|event| match event {
            Event::Granted { ask, grant, .. } => Some((ask.no, grant)),
            _ => None,
        })
        .collect()
}

fn refused(owner: &mut Owner) -> Vec<(u64, Refusal)> {
    let events = owner.take_events().into_iter();
    events
        .filter_map(|event| match event {
            Event::Refused { ask, refusal, .. } => Some((ask.no, refusal)),
            _ => None,
        })
        .collect()
}

fn release(owner: &mut Owner, now: u64, grant: &Grant, verdict: Verdict) {
    let seen = Seen { verdict, took: Millis(50), answer_bytes: 1, load: None };
    let (pool, epoch, serial) = (common::pool("sabah"), grant.epoch, grant.serial);
    owner.notes(Millis(now), EPOCH, vec![Note::Release { pool, epoch, serial, seen }]);
}

fn held(serial: u64, remaining: u64) -> Held {
    Held {
        pool: common::pool("sabah"),
        upstream: common::upstream("sabah", 0).id,
        epoch: Epoch(1),
        serial,
        remaining: Millis(remaining),
    }
}

/// Fills all slots, and returns the grants.
fn fill(owner: &mut Owner, slots: u32) -> Vec<(u64, Grant)> {
    for no in 0..u64::from(slots) {
        owner.acquire(Millis(10), ask(no, Class::Interactive, 4_000));
    }
    let granted = grants(owner);
    assert_eq!(granted.len(), slots as usize);
    granted
}

#[test]
fn interactive_requests_go_first_by_deadline() {
    let mut owner = owner(Start::Known, 1);
    let granted = fill(&mut owner, common::SLOTS);
    owner.acquire(Millis(10), ask(10, Class::Archive, 1_000));
    owner.acquire(Millis(10), ask(11, Class::Interactive, 3_000));
    owner.acquire(Millis(10), ask(12, Class::Interactive, 2_000));
    for (_, grant) in &granted {
        release(&mut owner, 60, grant, Verdict::Answered);
    }
    let order: Vec<u64> = grants(&mut owner).iter().map(|(no, _)| *no).collect();
    assert_eq!(order, [12, 11, 10]);
}

#[test]
fn a_hopeless_request_is_refused_at_once() {
    let mut owner = owner(Start::Known, 1);
    for (_, grant) in fill(&mut owner, common::SLOTS) {
        release(&mut owner, 510, &grant, Verdict::Answered);
    }
    fill(&mut owner, common::SLOTS);
    owner.acquire(Millis(520), ask(20, Class::Interactive, 300));
    assert!(matches!(refused(&mut owner)[..], [(20, Refusal::Overloaded { .. })]));
}

#[test]
fn a_leaving_upstream_gets_nothing_and_ejection_never_empties_the_pool() {
    let mut owner = owner(Start::Known, 1);
    let granted = fill(&mut owner, common::SLOTS);
    for (_, grant) in &granted {
        release(&mut owner, 60, grant, Verdict::Unreachable);
    }
    owner.acquire(Millis(70), ask(20, Class::Interactive, 2_000));
    let granted = grants(&mut owner);
    assert_eq!(granted.len(), 1, "the only upstream is tried although it is ejected");
    release(&mut owner, 80, &granted[0].1, Verdict::Leaving);
    owner.acquire(Millis(90), ask(21, Class::Interactive, 2_000));
    assert_eq!(refused(&mut owner), [(21, Refusal::NoUpstream)]);
}

#[test]
fn an_ejected_upstream_warms_up_slot_by_slot() {
    let mut owner = owner(Start::Known, 1);
    for (_, grant) in fill(&mut owner, common::SLOTS) {
        release(&mut owner, 60, &grant, Verdict::Unreachable);
    }
    let mut no = 100;
    let mut width = Vec::new();
    for round in 0..4 {
        let now = 5_000 + round * 100;
        for _ in 0..common::SLOTS {
            no += 1;
            owner.acquire(Millis(now), ask(no, Class::Interactive, 30));
        }
        let granted = grants(&mut owner);
        width.push(granted.len());
        for (_, grant) in &granted {
            release(&mut owner, now + 10, grant, Verdict::Answered);
        }
        owner.tick(Millis(now + 90));
        owner.take_events();
    }
    assert!(width.is_sorted() && width[0] == 1 && width[3] > 1, "opened {width:?} slots");
}

#[test]
fn a_report_that_comes_twice_counts_a_ticket_once() {
    let mut owner = owner(Start::Unknown { since: Millis::MAX, reserve: false }, 1);
    owner.adopt(Millis(10), &[held(7, 1_000)]);
    let ended =
        Grant { upstream: held(7, 0).upstream, epoch: Epoch(1), serial: 7, life: Millis(1) };
    release(&mut owner, 20, &ended, Verdict::Answered);
    owner.adopt(Millis(30), &[held(7, 990)]);
    owner.tick(Millis(3_000));
    for no in 0..3 {
        owner.acquire(Millis(3_000), ask(no, Class::Interactive, 1_000));
    }
    assert_eq!(grants(&mut owner).len(), 1, "one slot of the former owner is known to be free");
}

#[test]
fn an_expired_ticket_is_not_reported() {
    let holder = Holder::default();
    let grant = |serial: u64, life: u64| {
        let upstream = held(1, 0).upstream;
        let grant = Grant { upstream, epoch: Epoch(1), serial, life: Millis(life) };
        Ticket::new(&common::pool("sabah"), grant, Millis(0))
    };
    assert!(holder.accept(&shard(), &grant(1, 100), None));
    assert!(holder.accept(&shard(), &grant(2, 900), None));
    let told = holder.fence(Millis(100), &shard(), EPOCH, &common::host("h1")).expect("accepted");
    assert_eq!(told.iter().map(|held| held.serial).collect::<Vec<_>>(), [2]);
    assert!(!holder.accept(&shard(), &grant(3, 900), None), "a former owner's grant came late");
}

#[test]
fn archive_traffic_gets_its_trickle_of_a_saturated_link() {
    let mut link = LinkBudget::new(Millis(0), common::LINK_MBIT, common::TRICKLE_MBIT);
    let (mut interactive, mut archive) = (0, 0);
    for now in 1_000..11_000 {
        while let Booking::After(Millis(0)) =
            link.reserve(Millis(now), Class::Interactive, 20_000, Millis::ZERO)
        {
            interactive += 20_000;
        }
        while let Booking::After(Millis(0)) =
            link.reserve(Millis(now), Class::Archive, 20_000, Millis::ZERO)
        {
            archive += 20_000;
        }
    }
    let mbit = |bytes: u64| bytes * 8 / 10 / 1_000_000;
    assert!(mbit(archive) >= 19, "archive got {} Mbit/s", mbit(archive));
    assert!(mbit(interactive) >= 240, "interactive got {} Mbit/s", mbit(interactive));
    assert!(mbit(archive + interactive) <= u64::from(common::LINK_MBIT));
}

#[test]
fn a_new_link_budget_waits_for_bookings_of_the_former_owner() {
    let mut link = LinkBudget::new(Millis(0), common::LINK_MBIT, common::TRICKLE_MBIT);
    match link.reserve(Millis(0), Class::Interactive, 1, Millis::secs(10)) {
        Booking::After(after) | Booking::Full(after) => assert!(after >= AHEAD_MAX),
    }
}

#[test]
fn a_shift_budget_gives_its_cap_and_no_more_in_any_second() {
    let cap = 7;
    let mut shift = ShiftBudget::new(Millis(0), cap);
    let given: Vec<u64> = (0..20_000).filter(|now| shift.reserve(Millis(*now)).is_ok()).collect();
    for from in &given {
        let within = given.iter().filter(|at| (*from..from + 1_250).contains(*at)).count();
        assert!(within <= cap as usize, "{within} within a second and the span of use");
    }
    assert!(given.len() >= 100, "only {} in 20 s", given.len());
}
