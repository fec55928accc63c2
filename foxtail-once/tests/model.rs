//! Random histories of claim, send, answer and record, with crashes, pauses and store faults.
//!
//! A longer run: `FOXTAIL_CASES=5000 FOXTAIL_SEED=7 cargo test -p foxtail-once --test model`.

mod support;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::SeqCst;

use foxtail_standin::platform::Outage;
use parking_lot::Mutex;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use support::world::{Step, TALLY, World};

/// Steps in one history.
const STEPS: usize = 120;

/// How often an invariant inside a task broke.
static BROKEN: AtomicUsize = AtomicUsize::new(0);

/// What can happen does not depend on what happened: steps that do not fit do nothing.
struct Anything;

impl ReferenceStateMachine for Anything {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let n = 0..8usize;
        prop_oneof![
            8 => (n.clone(), n.clone(), 20..4_000u64)
                .prop_map(|(host, key, wait)| Step::Ask { host, key, wait }),
            8 => n.clone().prop_map(|nth| Step::Send { nth }),
            6 => n.clone().prop_map(|nth| Step::Run { nth }),
            1 => n.clone().prop_map(|nth| Step::Refuse { nth }),
            5 => n.clone().prop_map(|nth| Step::Answer { nth }),
            1 => n.clone().prop_map(|nth| Step::LoseAnswer { nth }),
            3 => n.clone().prop_map(|nth| Step::Release { nth }),
            2 => n.clone().prop_map(|host| Step::Crash { host }),
            3 => (n, any::<bool>()).prop_map(|(host, on)| Step::Pause { host, on }),
            3 => prop_oneof![
                Just(None),
                Just(Some(Outage::Refuse)),
                Just(Some(Outage::Hang))
            ]
            .prop_map(|how| Step::Down { how }),
            2 => (0..4u32).prop_map(|n| Step::LoseReplies { n }),
            1 => prop_oneof![Just(0), 1..1_500u64].prop_map(|by| Step::Slow { by }),
            8 => prop_oneof![0..50u64, 50..3_000u64, 3_000..30_000u64]
                .prop_map(|ms| Step::Pass { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Claims;
struct Naive;

impl StateMachineTest for Claims {
    type SystemUnderTest = World;
    type Reference = Anything;

    fn init_test((): &()) -> World {
        World::new(false)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(step);
        world
    }

    fn teardown(mut world: World) {
        world.finish();
    }
}

impl StateMachineTest for Naive {
    type SystemUnderTest = World;
    type Reference = Anything;

    fn init_test((): &()) -> World {
        World::new(true)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(step);
        world
    }
}

fn setting(name: &str, default: u32) -> u32 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn config() -> Config {
    Config {
        cases: setting("FOXTAIL_CASES", 100),
        rng_seed: RngSeed::Fixed(u64::from(setting("FOXTAIL_SEED", 1))),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}

/// Runs `each` over the histories.
fn histories(mut each: impl FnMut(Vec<Step>, Option<Arc<AtomicUsize>>)) {
    let strategy = Anything::sequential_strategy(STEPS);
    let each = Mutex::new(&mut each);
    let done = TestRunner::new(config()).run(&strategy, |((), steps, seen)| {
        (each.lock())(steps, seen);
        Ok(())
    });
    if let Err(e) = done {
        panic!("{e}");
    }
}

#[test]
fn at_most_once_and_definite() {
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        BROKEN.fetch_add(usize::from(info.to_string().contains("proved unsent")), SeqCst);
        before(info);
    }));
    histories(|steps, seen| Claims::test_sequential(config(), (), steps, seen));
    assert_eq!(BROKEN.load(SeqCst), 0, "an invariant inside a task broke");
    let tally = TALLY.lock().clone();
    eprintln!("{tally:?}");
    let common = [tally.run, tally.replay, tally.not_run, tally.unknown];
    assert!(common.iter().all(|n| *n > u64::from(config().cases) / 4), "{tally:?}");
}

/// The histories tell a wrong gate from a right one.
#[test]
fn a_naive_gate_is_caught() {
    let mut caught = 0;
    histories(|steps, _| {
        let run = || Naive::test_sequential(config(), (), steps, None);
        caught += u32::from(catch_unwind(AssertUnwindSafe(run)).is_err());
    });
    eprintln!("the naive gate is caught in {caught} of {} histories", config().cases);
    assert!(caught > config().cases / 20, "caught in {caught} histories only");
}
