//! Randomised runs of a fleet under faults, with the limits checked at every step.
//!
//! `FOXTAIL_SEED` and `FOXTAIL_CASES` choose other and longer runs:
//! `FOXTAIL_SEED=7 FOXTAIL_CASES=500 cargo test --release -p foxtail-limit --test model`

mod common;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use world::{HOSTS, KIN, World};

const SEED: u64 = 20_261_203;
const CASES: u32 = 10;
/// A healthy fleet gives out all slots again within this time, in milliseconds.
const HEALED_WITHIN: u64 = 25_000;

/// A fault, or time that passes.
#[derive(Clone, Debug)]
enum Step {
    Run(u64),
    Kill(usize),
    Start(usize),
    Pause(usize),
    Wake(usize),
    Stop(usize),
    Part(usize, bool),
    CutStore(usize, bool),
    StoreDown(bool),
    Lossy(bool),
}

/// The faults need no reference: what must hold is checked by the fleet.
struct Faults;

impl ReferenceStateMachine for Faults {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (10_u64..4_000).prop_map(Step::Run),
            1 => (0..HOSTS).prop_map(Step::Kill),
            2 => (0..HOSTS).prop_map(Step::Start),
            2 => (0..HOSTS).prop_map(Step::Pause),
            2 => (0..HOSTS).prop_map(Step::Wake),
            1 => (0..KIN).prop_map(Step::Stop),
            2 => (0..HOSTS, any::<bool>()).prop_map(|(at, side)| Step::Part(at, side)),
            2 => (0..KIN, any::<bool>()).prop_map(|(at, cut)| Step::CutStore(at, cut)),
            2 => any::<bool>().prop_map(Step::StoreDown),
            1 => any::<bool>().prop_map(Step::Lossy),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

/// The fleet under test.
struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Faults;

    fn init_test(seed: &u64) -> World {
        let mut world = World::new(*seed);
        world.run(3_000);
        world
    }

    fn apply(mut world: World, _: &u64, step: Step) -> World {
        apply(&mut world, &step);
        world
    }

    fn teardown(mut world: World) {
        world.heal();
        world.run(HEALED_WITHIN);
        world.peak = 0;
        world.run(3_000);
        let slots = world::UPSTREAMS * common::SLOTS as usize;
        assert_eq!(world.peak, slots, "not all slots are in use after all faults have ended");
    }
}

fn apply(world: &mut World, step: &Step) {
    match *step {
        Step::Run(span) => world.run(span),
        Step::Kill(at) => world.kill(at),
        Step::Start(at) => world.start(at),
        Step::Pause(at) => world.pause(at, true),
        Step::Wake(at) => world.pause(at, false),
        Step::Stop(at) => world.stop(at),
        Step::Part(at, side) => world.part(at, side),
        Step::CutStore(at, cut) => world.cut_store(at, cut),
        Step::StoreDown(down) => world.store_down = down,
        Step::Lossy(lossy) => world.lossy = lossy,
    }
}

fn env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn config() -> Config {
    Config {
        cases: env("FOXTAIL_CASES", u64::from(CASES)) as u32,
        rng_seed: RngSeed::Fixed(env("FOXTAIL_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: 40,
        ..Config::default()
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn limits_hold_under_faults(sequential 20..60 => Fleet);
}

/// The checks can fail: an owner that trusts in the lapse of the former owner's lease breaks them.
#[test]
#[should_panic(expected = "usable tickets of")]
fn the_model_finds_owners_that_forget_tickets() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.forgetful = true;
        for round in 0..20 {
            world.run(1_500);
            world.pause(round % KIN, true);
            world.run(8_000);
            world.pause(round % KIN, false);
        }
    }
}
