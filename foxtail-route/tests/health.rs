//! Health, slow start and the choice of an upstream.

mod support;

use foxtail_route::health::{Board, Options, Report, Sample, Standing};
use foxtail_route::pick::{Candidate, Picker, Query, ZoneFirst};
use foxtail_types::prelude::*;
use proptest::prelude::*;

const SLOTS: u32 = 3;

fn ids(n: usize) -> Vec<UpstreamId> {
    (0..n).map(|at| UpstreamId::new(&format!("upstream-{at}")).unwrap()).collect()
}

fn board(ids: &[UpstreamId]) -> Board {
    let mut board = Board::new(Options::default());
    board.sync(ids.iter());
    board
}

fn load(leaving: bool) -> Report {
    Report { busy: 0, queued: 0, leaving }
}

#[test]
fn an_unreachable_upstream_is_ejected_probed_and_warms_up() {
    let ids = ids(4);
    let mut board = board(&ids);
    let id = &ids[0];
    assert_eq!(board.slots(id, SLOTS, Millis(0)), SLOTS, "a new owner takes over warm upstreams");
    board.observe(id, Sample::Unreachable, Millis(0));
    assert_eq!(board.standing(id, Millis(999)), Standing::Ejected);
    assert_eq!(board.probes(Millis(999)).collect::<Vec<_>>(), [id]);
    assert_eq!(board.slots(id, SLOTS, Millis(1_000)), 1, "one request at a time");
    board.observe(id, Sample::Unreachable, Millis(1_000));
    assert_eq!(board.standing(id, Millis(2_999)), Standing::Ejected, "twice as long");
    board.observe(id, Sample::Answered(Millis(5)), Millis(3_000));
    assert_eq!(board.standing(id, Millis(3_000)), Standing::Healthy);
    assert_eq!(board.slots(id, SLOTS, Millis(3_000)), 1, "cold");
    assert_eq!(board.slots(id, SLOTS, Millis(13_000)), SLOTS, "warm by time");
}

#[test]
fn a_leaving_upstream_gets_no_work_until_it_was_started_anew() {
    let ids = ids(1);
    let mut board = board(&ids);
    let id = &ids[0];
    board.report(id, load(true), Millis(100));
    assert_eq!(board.slots(id, SLOTS, Millis(100)), 0, "even the only one");
    board.report(id, load(false), Millis(90));
    assert_eq!(board.standing(id, Millis(110)), Standing::Leaving, "an older report");
    assert_eq!(board.standing(id, Millis::secs(500)), Standing::Leaving, "the word does not age");
    board.report(id, load(false), Millis::secs(501));
    assert_eq!(board.slots(id, SLOTS, Millis::secs(501)), 1, "cold after a start");
}

#[test]
fn a_slow_upstream_comes_last_and_a_slow_pool_is_no_outlier() {
    let ids = ids(4);
    let mut all_slow = board(&ids);
    let mut one_slow = board(&ids);
    for n in 0..50 {
        for id in &ids {
            all_slow.observe(id, Sample::Answered(Millis(500)), Millis(n));
            let took = if *id == ids[3] { 500 } else { 20 };
            one_slow.observe(id, Sample::Answered(Millis(took)), Millis(n));
        }
    }
    let now = Millis(50);
    assert!(ids.iter().all(|id| all_slow.standing(id, now) == Standing::Healthy));
    assert_eq!(one_slow.standing(&ids[3], now), Standing::Suspect);
    assert_eq!(one_slow.slots(&ids[3], SLOTS, now), SLOTS, "used when the others are full");
    assert_eq!(one_slow.standing(&ids[0], now), Standing::Healthy);
}

#[test]
fn an_idle_looking_report_is_only_a_tie_break() {
    let (zone, far) = (ZoneId::new("a").unwrap(), ZoneId::new("b").unwrap());
    let ids = ids(4);
    let candidate = |at: usize, zone, free| Candidate {
        upstream: &ids[at],
        zone,
        free,
        busy: SLOTS - free,
        standing: Standing::Healthy,
        warm: true,
        queued_hint: 0,
    };
    let query = Query { zone: &zone, avoid: &[], seed: 3 };
    let pick = |all: &[Candidate<'_>]| ZoneFirst.pick(&query, all);
    let full = candidate(0, &zone, 0);
    assert_eq!(pick(&[full]), None, "reports itself idle, but own tickets say full");
    let near = candidate(1, &zone, 1);
    let far = candidate(2, &far, 3);
    assert_eq!(pick(&[full, far, near]), Some(2), "own zone first");
    let cold = Candidate { warm: false, ..candidate(3, &zone, 1) };
    assert_eq!(pick(&[cold, near]), Some(1), "warm first");
    let suspect = Candidate { standing: Standing::Suspect, ..near };
    assert_eq!(pick(&[suspect, far]), Some(1), "healthy first");
    let avoid = [ids[1].clone()];
    let again = Query { avoid: &avoid, ..query };
    assert_eq!(ZoneFirst.pick(&again, &[near]), None, "tried before");
}

#[test]
fn never_ejects_more_than_half_and_never_gives_more_than_the_slots() {
    let event = (0usize..6, 0u8..8, 0u64..2_000);
    let input = (1usize..7, prop::collection::vec(event, 0..200));
    support::runner(1_000)
        .run(&input, |(n, events)| {
            let ids = ids(n);
            let mut board = board(&ids);
            let mut now = Millis::ZERO;
            let mut leaving = vec![false; n];
            for (at, what, step) in events {
                now = now + Millis(step);
                let at = at % n;
                let id = &ids[at];
                match what {
                    0 => board.observe(id, Sample::Unreachable, now),
                    1 => board.observe(id, Sample::Broken, now),
                    2 => board.observe(id, Sample::TimedOut, now),
                    3 => board.observe(id, Sample::ServerError, now),
                    4 => board.observe(id, Sample::Shed, now),
                    5 => board.report(id, load(step % 4 == 0), now),
                    _ => board.observe(id, Sample::Answered(Millis(step)), now),
                }
                if what == 5 {
                    leaving[at] = step % 4 == 0;
                }
                let standing = |id| board.standing(id, now);
                let ejected = ids.iter().filter(|id| standing(id) == Standing::Ejected).count();
                prop_assert!(ejected * 2 <= n, "{ejected} of {n}");
                let open = ids.iter().filter(|id| board.slots(id, SLOTS, now) > 0).count();
                let left = leaving.iter().filter(|it| **it).count();
                prop_assert!(open + ejected + left >= n);
                for (id, leaving) in ids.iter().zip(&leaving) {
                    let slots = board.slots(id, SLOTS, now);
                    prop_assert!(slots <= SLOTS);
                    prop_assert!(!*leaving || slots == 0);
                }
            }
            Ok(())
        })
        .unwrap();
}
