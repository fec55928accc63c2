//! Tests random histories of claims, sends, answers and records, with crashes, pauses and store
//! faults.
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
use support::simulation::{OUTCOME_COUNTS, Simulation, Step};

/// Number of steps in one history.
const STEPS_PER_HISTORY: usize = 120;

/// Number of invariants that were broken inside a background task, where a panic does not fail the
/// test.
static BROKEN_INVARIANTS: AtomicUsize = AtomicUsize::new(0);

/// Generates steps at random. The steps do not depend on earlier ones: a step that does not apply
/// does nothing.
struct RandomSteps;

impl ReferenceStateMachine for RandomSteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let n = 0..8usize;
        prop_oneof![
            8 => (n.clone(), n.clone(), 20..4_000u64)
                .prop_map(|(host, key, wait_ms)| Step::Submit { host, key, wait_ms }),
            8 => n.clone().prop_map(|nth| Step::Send { nth }),
            6 => n.clone().prop_map(|nth| Step::Run { nth }),
            1 => n.clone().prop_map(|nth| Step::Refuse { nth }),
            5 => n.clone().prop_map(|nth| Step::Answer { nth }),
            1 => n.clone().prop_map(|nth| Step::LoseAnswer { nth }),
            3 => n.clone().prop_map(|nth| Step::Release { nth }),
            2 => n.clone().prop_map(|host| Step::Crash { host }),
            3 => (n, any::<bool>()).prop_map(|(host, paused)| Step::Pause { host, paused }),
            3 => prop_oneof![
                Just(None),
                Just(Some(Outage::Refuse)),
                Just(Some(Outage::Hang))
            ]
            .prop_map(|how| Step::Outage { how }),
            2 => (0..4u32).prop_map(|n| Step::LoseReplies { n }),
            1 => prop_oneof![Just(0), 1..1_500u64].prop_map(|by_ms| Step::Slow { by_ms }),
            8 => prop_oneof![0..50u64, 50..3_000u64, 3_000..30_000u64]
                .prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct ClaimsTest;
struct NaiveTest;

impl StateMachineTest for ClaimsTest {
    type SystemUnderTest = Simulation;
    type Reference = RandomSteps;

    fn init_test((): &()) -> Simulation {
        Simulation::new(false)
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        simulation.apply(step);
        simulation
    }

    fn teardown(mut simulation: Simulation) {
        simulation.finish_and_check();
    }
}

impl StateMachineTest for NaiveTest {
    type SystemUnderTest = Simulation;
    type Reference = RandomSteps;

    fn init_test((): &()) -> Simulation {
        Simulation::new(true)
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        simulation.apply(step);
        simulation
    }
}

fn env_u32(name: &str, default: u32) -> u32 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn config() -> Config {
    Config {
        cases: env_u32("FOXTAIL_CASES", 100),
        rng_seed: RngSeed::Fixed(u64::from(env_u32("FOXTAIL_SEED", 1))),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}

/// Runs `run_history` over each generated history.
fn for_each_history(mut run_history: impl FnMut(Vec<Step>, Option<Arc<AtomicUsize>>)) {
    let strategy = RandomSteps::sequential_strategy(STEPS_PER_HISTORY);
    let run_history = Mutex::new(&mut run_history);
    let result = TestRunner::new(config()).run(&strategy, |((), steps, seen)| {
        (run_history.lock())(steps, seen);
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

#[test]
fn every_key_runs_at_most_once_and_ends_definite() {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        BROKEN_INVARIANTS
            .fetch_add(usize::from(info.to_string().contains("proved unsent")), SeqCst);
        previous_hook(info);
    }));
    for_each_history(|steps, seen| ClaimsTest::test_sequential(config(), (), steps, seen));
    assert_eq!(BROKEN_INVARIANTS.load(SeqCst), 0, "an invariant was broken inside a task");
    let counts = OUTCOME_COUNTS.lock().clone();
    eprintln!("{counts:?}");
    let common = [counts.run, counts.replay, counts.not_run, counts.unknown];
    assert!(common.iter().all(|n| *n > u64::from(config().cases) / 4), "{counts:?}");
}

/// Checks that the histories detect faults: an implementation with known mistakes breaks an
/// invariant in more than 1 of 20 histories.
#[test]
fn naive_implementation_breaks_an_invariant() {
    let mut caught = 0;
    for_each_history(|steps, _| {
        let run = || NaiveTest::test_sequential(config(), (), steps, None);
        caught += u32::from(catch_unwind(AssertUnwindSafe(run)).is_err());
    });
    eprintln!(
        "the naive implementation breaks an invariant in {caught} of {} histories",
        config().cases
    );
    assert!(caught > config().cases / 20, "an invariant broke in only {caught} histories");
}
