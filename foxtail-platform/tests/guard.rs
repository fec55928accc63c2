//! The budget and the breaker as state machines.

use foxtail_platform::guard::{Breaker, Budget, Rate};
use foxtail_platform::table::Priority;
use foxtail_types::prelude::*;

const RATE: Rate = Rate { per_s: 100, burst: 10 };

fn taken(budget: &mut Budget, priority: Priority, now: Millis) -> usize {
    (0..1_000).take_while(|_| budget.take(priority, now).is_ok()).count()
}

#[test]
fn less_important_calls_leave_more() {
    let mut budget = Budget::new(RATE, Millis(0));
    assert_eq!(taken(&mut budget, Priority::Housekeeping, Millis(0)), 4);
    assert_eq!(taken(&mut budget, Priority::Config, Millis(0)), 2);
    assert_eq!(taken(&mut budget, Priority::Claim, Millis(0)), 2);
    assert_eq!(taken(&mut budget, Priority::Lease, Millis(0)), 2);
    assert_eq!(budget.take(Priority::Lease, Millis(0)), Err(Millis(10)));
    assert_eq!(budget.take(Priority::Lease, Millis(10)), Ok(()));
}

#[test]
fn over_any_second_no_more_than_rate_and_burst() {
    let mut budget = Budget::new(RATE, Millis(0));
    let calls: usize = (0..1_000).map(|ms| taken(&mut budget, Priority::Lease, Millis(ms))).sum();
    assert!((100..=110).contains(&calls), "{calls}");
}

#[test]
fn it_gives_way_and_comes_back() {
    let mut budget = Budget::new(RATE, Millis(0));
    budget.shrink(Millis(1));
    budget.shrink(Millis(2));
    assert_eq!(budget.per_s(), 70, "one burst of refusals counts once");
    for i in 1..100 {
        budget.shrink(Millis(i * 300));
    }
    assert!(budget.per_s() >= 10);
    taken(&mut budget, Priority::Lease, Millis(60_000));
    assert_eq!(budget.per_s(), 100);
    budget.restart(Millis(60_000));
    assert_eq!(budget.per_s(), 25);
}

#[test]
fn the_breaker_opens_probes_and_closes() {
    let mut breaker = Breaker::new();
    let late = breaker.pass(Millis(0));
    for i in 0..5 {
        let pass = breaker.pass(Millis(0));
        assert_eq!(breaker.failed(pass, Millis(0), 1_000), i == 4);
    }
    assert!(!breaker.may_pass(Millis(249)) && breaker.may_pass(Millis(250)));
    let probe = breaker.pass(Millis(250));
    assert!(!breaker.may_pass(Millis(251)), "one probe at a time");
    assert!(!breaker.succeeded(late), "a call from before does not close it");
    assert!(!breaker.failed(probe, Millis(300), 500));
    assert!(!breaker.may_pass(Millis(549)) && breaker.may_pass(Millis(550)));
    let probe = breaker.pass(Millis(550));
    assert!(breaker.succeeded(probe) && !breaker.is_open());
}
