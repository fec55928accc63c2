//! Tests the call budget and the circuit breaker as state machines.

use foxtail_platform::guard::{CallBudget, CircuitBreaker, Rate};
use foxtail_platform::table::Priority;
use foxtail_types::prelude::*;

const RATE: Rate = Rate { per_s: 100, burst: 10 };

fn acquire_all(budget: &mut CallBudget, priority: Priority, now: Millis) -> usize {
    (0..1_000).take_while(|_| budget.try_acquire(priority, now).is_ok()).count()
}

#[test]
fn lower_priority_calls_leave_a_reserve() {
    let mut budget = CallBudget::new(RATE, Millis(0));
    assert_eq!(acquire_all(&mut budget, Priority::Housekeeping, Millis(0)), 4);
    assert_eq!(acquire_all(&mut budget, Priority::Config, Millis(0)), 2);
    assert_eq!(acquire_all(&mut budget, Priority::Claim, Millis(0)), 2);
    assert_eq!(acquire_all(&mut budget, Priority::Lease, Millis(0)), 2);
    assert_eq!(budget.try_acquire(Priority::Lease, Millis(0)), Err(Millis(10)));
    assert_eq!(budget.try_acquire(Priority::Lease, Millis(10)), Ok(()));
}

#[test]
fn one_second_admits_at_most_rate_plus_burst() {
    let mut budget = CallBudget::new(RATE, Millis(0));
    let calls: usize =
        (0..1_000).map(|ms| acquire_all(&mut budget, Priority::Lease, Millis(ms))).sum();
    assert!((100..=110).contains(&calls), "{calls}");
}

#[test]
fn budget_shrinks_when_throttled_and_recovers() {
    let mut budget = CallBudget::new(RATE, Millis(0));
    budget.shrink(Millis(1));
    budget.shrink(Millis(2));
    assert_eq!(budget.allowed_per_s(), 70, "one burst of refusals counts once");
    for i in 1..100 {
        budget.shrink(Millis(i * 300));
    }
    assert!(budget.allowed_per_s() >= 10);
    acquire_all(&mut budget, Priority::Lease, Millis(60_000));
    assert_eq!(budget.allowed_per_s(), 100);
    budget.restart_after_outage(Millis(60_000));
    assert_eq!(budget.allowed_per_s(), 25);
}

#[test]
fn breaker_opens_probes_and_closes() {
    let mut breaker = CircuitBreaker::new();
    let earlier_permit = breaker.begin_call(Millis(0));
    for i in 0..5 {
        let permit = breaker.begin_call(Millis(0));
        assert_eq!(breaker.record_failure(permit, Millis(0), 1_000), i == 4);
    }
    assert!(!breaker.allows_call(Millis(249)) && breaker.allows_call(Millis(250)));
    let probe = breaker.begin_call(Millis(250));
    assert!(!breaker.allows_call(Millis(251)), "one probe at a time");
    assert!(
        !breaker.record_success(earlier_permit),
        "the result of a call from before the opening does not close it"
    );
    assert!(!breaker.record_failure(probe, Millis(300), 500));
    assert!(!breaker.allows_call(Millis(549)) && breaker.allows_call(Millis(550)));
    let probe = breaker.begin_call(Millis(550));
    assert!(breaker.record_success(probe) && !breaker.is_open());
}
