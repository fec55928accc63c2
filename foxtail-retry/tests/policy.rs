//! Retries and their budget.

mod support;

use foxtail_retry::Budgets;
use foxtail_retry::policy::{Attempt, Ended, Next, Options, Stop, next};
use foxtail_types::prelude::*;
use proptest::prelude::*;

fn attempt(ended: Ended) -> Attempt {
    Attempt {
        repeat: Repeat::Safe,
        ended,
        attempts: 1,
        passed_on: false,
        overloaded: false,
        now: Millis(1_000),
        deadline: Millis(3_000),
        service_time: Millis(20),
        seed: 5,
    }
}

fn decide(attempt: &Attempt) -> Next {
    next(attempt, &Options::default())
}

#[test]
fn what_may_have_run_is_repeated_only_if_it_may_be() {
    let once = Repeat::Once(Key::fresh());
    let broken = attempt(Ended::Broken);
    assert_eq!(decide(&broken), Next::Retry { after: Millis(5), budgeted: true });
    assert_eq!(decide(&Attempt { repeat: once, ..broken }), Next::Stop(Stop::MayHaveRun));
    let unreachable = Attempt { repeat: once, ..attempt(Ended::Unreachable) };
    assert_eq!(decide(&unreachable), Next::Retry { after: Millis::ZERO, budgeted: false });
}

#[test]
fn never_after_a_byte_nor_past_the_deadline_nor_into_an_overload() {
    let ended = prop_oneof![
        Just(Ended::Unreachable),
        Just(Ended::Shed),
        Just(Ended::Leaving),
        Just(Ended::Broken),
        Just(Ended::TimedOut),
    ];
    let input = (ended, any::<(bool, bool, u64)>(), 1u32..5, 0u64..400);
    support::runner(5_000)
        .run(&input, |(ended, (passed_on, overloaded, seed), attempts, left)| {
            let deadline = Millis(1_000 + left);
            let it = Attempt { passed_on, overloaded, seed, attempts, deadline, ..attempt(ended) };
            if let Next::Retry { after, budgeted } = decide(&it) {
                prop_assert!(!passed_on && !overloaded && attempts < 3);
                prop_assert!(it.now + after + it.service_time < deadline);
                prop_assert!(after <= Millis(200));
                prop_assert!(budgeted || ended.proves_not_run());
            }
            Ok(())
        })
        .unwrap();
}

/// Ten thousand failures in a row get no more retries than the burst and the trickle.
#[test]
fn the_budget_is_a_share_of_successes() {
    let budgets = Budgets::new(Default::default());
    let workspace = WorkspaceId::new("tali-selamat").unwrap();
    let service = ServiceId::new("certificates").unwrap();
    let take = |now| budgets.take(&workspace, &service, now);
    let retries = (0..10_000).filter(|n| take(Millis(*n))).count();
    assert!((20..=25).contains(&retries), "{retries} in ten seconds of failures");
    for _ in 0..100 {
        budgets.succeeded(&workspace, &service, Millis(10_000));
    }
    let retries = (0..100).filter(|_| take(Millis(10_000))).count();
    // A tenth of a hundred successes, and what was left of one retry.
    assert!((10..=11).contains(&retries), "{retries} after a hundred successes");
}
