//! The order of pools.

mod support;

use foxtail_route::plan::{Headroom, Options, Report, State, Verdict};
use foxtail_route::{Plan, PoolView, Query, plan};
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use proptest::prelude::*;

const NOW: Millis = Millis(100_000);

fn regions(n: usize) -> Vec<RegionId> {
    (0..n).map(|at| RegionId::new(&format!("region-{at}")).unwrap()).collect()
}

fn pool(region: &RegionId) -> PoolView<'_> {
    let state = State::Open;
    PoolView { region, state, delay: Millis(35), report: None, link: None, shift: None }
}

fn report(free: u32, wait: u64) -> Option<Report> {
    Some(Report { at: NOW, free, wait: Millis(wait) })
}

fn left(left: u64) -> Option<Headroom> {
    Some(Headroom { at: NOW, left })
}

fn query<'a>(home: &'a RegionId, pools: &'a [PoolView<'a>]) -> Query<'a> {
    Query {
        home,
        class: Class::Interactive,
        now: NOW,
        deadline: NOW + Millis::secs(2),
        service_time: Millis(10),
        link_bytes: 1_000,
        seed: 7,
        pools,
    }
}

fn decide(query: &Query<'_>) -> Plan {
    plan(query, &Options::default())
}

fn order(plan: &Plan) -> Vec<usize> {
    plan.order().collect()
}

/// Home with `wait` and no free slot, and a far region with free slots.
fn home_waits(names: &[RegionId], wait: u64) -> [PoolView<'_>; 2] {
    let home = PoolView { delay: Millis::ZERO, report: report(0, wait), ..pool(&names[0]) };
    [home, PoolView { report: report(5, 0), ..pool(&names[1]) }]
}

#[test]
fn home_first_until_another_region_is_sooner_by_a_margin() {
    let names = regions(2);
    let at = |wait| order(&decide(&query(&names[0], &home_waits(&names, wait))));
    assert_eq!(at(0), [0, 1], "the other region is a backup");
    assert_eq!(at(90), [0, 1], "70 ms there and back and 20 ms of margin");
    assert_eq!(at(91), [1, 0]);
    assert_eq!(at(5_000), [1, 0], "home can't meet the deadline");
}

#[test]
fn an_aged_report_moves_no_traffic() {
    let names = regions(2);
    let mut pools = home_waits(&names, 5_000);
    for pool in &mut pools {
        pool.report = pool.report.map(|it| Report { at: NOW - Millis(1_001), ..it });
    }
    let plan = decide(&query(&names[0], &pools));
    assert_eq!(order(&plan), [0]);
    assert_eq!(plan.verdict(1), Verdict::NotNeeded);
}

#[test]
fn archive_stays_at_home_while_home_is_open() {
    let names = regions(2);
    let mut pools = home_waits(&names, 1_500);
    let archive = |pools: &[PoolView<'_>]| {
        order(&decide(&Query { class: Class::Archive, ..query(&names[0], pools) }))
    };
    assert_eq!(archive(&pools), [0]);
    pools[0].state = State::Draining;
    assert_eq!(archive(&pools), [1]);
}

#[test]
fn a_drained_home_moves_within_the_headroom() {
    let names = regions(3);
    let mut pools: Vec<PoolView<'_>> = names.iter().map(pool).collect();
    pools[0].state = State::Draining;
    pools[1].shift = left(0);
    pools[2].link = left(999);
    let plan = decide(&query(&names[0], &pools));
    assert_eq!(plan.refusal(), Some(Reason::NoHeadroom));
    let verdicts = [Verdict::Draining, Verdict::NoShift, Verdict::NoLink];
    assert_eq!([0, 1, 2].map(|at| plan.verdict(at)), verdicts);
    pools[2].link = left(1_000);
    assert_eq!(order(&decide(&query(&names[0], &pools))), [2]);
}

#[test]
fn silent_regions_are_the_last_resort() {
    let names = regions(3);
    let mut pools: Vec<PoolView<'_>> = names.iter().map(pool).collect();
    pools.iter_mut().for_each(|pool| pool.state = State::Silent);
    pools[0].delay = Millis::ZERO;
    assert_eq!(order(&decide(&query(&names[0], &pools)))[0], 0, "nothing is heard at all");
    pools[2].state = State::Open;
    let plan = decide(&query(&names[0], &pools));
    assert_eq!(order(&plan), [2]);
    assert_eq!(plan.verdict(0), Verdict::Silent);
}

#[test]
fn the_log_shows_each_region_with_its_verdict() {
    let names = regions(2);
    let pools = home_waits(&names, 91);
    let query = query(&names[0], &pools);
    let line = decide(&query).explain(&query).to_string();
    let expected = "region-0:home/free=0/wait=91ms/age=0ms,region-1:sooner/free=5/wait=0ms/age=0ms";
    assert_eq!(line, expected);
}

#[derive(Clone, Debug)]
struct Known {
    state: State,
    delay: u64,
    report: Option<(u64, u32, u64)>,
    link: Option<(u64, u64)>,
    shift: Option<(u64, u64)>,
}

fn known() -> impl Strategy<Value = Known> {
    let state = prop_oneof![
        4 => Just(State::Open),
        1 => Just(State::Draining),
        1 => Just(State::Silent),
        1 => Just(State::Empty),
    ];
    let age = 0u64..2_000;
    let report = prop::option::of((age.clone(), 0u32..3, 0u64..3_000));
    let room = prop::option::of((age, 0u64..2_000));
    (state, 0u64..100, report, room.clone(), room)
        .prop_map(|(state, delay, report, link, shift)| Known { state, delay, report, link, shift })
}

#[test]
fn never_drained_never_without_headroom_never_empty_without_a_reason() {
    let input = (prop::collection::vec(known(), 1..20), any::<u64>(), 0u64..3_000);
    support::runner(4_000)
        .run(&input, |(known, seed, until)| {
            let names = regions(known.len());
            let at = |age| NOW - Millis(age);
            let view = |(region, it): (_, &Known)| PoolView {
                region,
                state: it.state,
                delay: Millis(it.delay),
                report: it.report.map(|(age, free, wait)| Report {
                    at: at(age),
                    free,
                    wait: Millis(wait),
                }),
                link: it.link.map(|(age, left)| Headroom { at: at(age), left }),
                shift: it.shift.map(|(age, left)| Headroom { at: at(age), left }),
            };
            let pools: Vec<PoolView<'_>> = names.iter().zip(&known).map(view).collect();
            let deadline = NOW + Millis(until);
            let query = Query { seed, deadline, ..query(&names[0], &pools) };
            let plan = decide(&query);
            let order = order(&plan);
            prop_assert_eq!(plan.refusal().is_some(), order.is_empty());
            for &at in &order {
                let pool = &pools[at];
                prop_assert!(matches!(pool.state, State::Open | State::Silent));
                let fresh = |it: &Headroom| NOW.since(it.at) <= Millis::secs(1);
                if at > 0 && pool.state == State::Open {
                    prop_assert!(pool.shift.filter(fresh).is_none_or(|it| it.left >= 1));
                    prop_assert!(pool.link.filter(fresh).is_none_or(|it| it.left >= 1_000));
                }
                prop_assert!(NOW + pool.delay * 2 + Millis(10) <= deadline);
            }
            let usable = |pool: &PoolView<'_>| {
                pool.state == State::Open
                    && pool.report.is_none()
                    && pool.link.is_none()
                    && pool.shift.is_none()
                    && NOW + pool.delay * 2 + Millis(10) <= deadline
            };
            prop_assert!(!pools.iter().any(usable) || !order.is_empty());
            Ok(())
        })
        .unwrap();
}
