//! Many hosts, callers that send again everywhere at once, late and lost messages: one request
//! brings down at most two upstreams, and those that shared them are answered.

mod fleet;
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use fleet::{Faults, Fleet, fp};
use foxtail_retry::msg::Ended;
use foxtail_retry::record::{Evidence, Standing};
use foxtail_retry::watch::Case;
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

/// What runs on the upstreams.
const POISON: u64 = 0;
/// Upstreams that run the requests.
const UPSTREAMS: usize = 8;
/// How long an upstream that crashed stays away.
const RESTART: Millis = Millis::secs(1);

/// Servers that crash under the poisoned request.
struct Upstreams {
    /// How often each has crashed; requests in flight see it change.
    crashes: Vec<AtomicU32>,
    down_until: Vec<parking_lot::Mutex<Millis>>,
    poisoned: AtomicU32,
}

impl Upstreams {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            crashes: (0..UPSTREAMS).map(|_| AtomicU32::new(0)).collect(),
            down_until: (0..UPSTREAMS).map(|_| Default::default()).collect(),
            poisoned: AtomicU32::new(0),
        })
    }

    async fn run(&self, request: u64, at: usize, time: Millis, clock: &dyn Clock) -> Ended {
        if clock.now() < *self.down_until[at].lock() {
            return Ended::Nothing;
        }
        let before = self.crashes[at].load(Ordering::SeqCst);
        tokio::time::sleep(time.duration()).await;
        if self.crashes[at].load(Ordering::SeqCst) > before {
            return Ended::Broke(Evidence::Crash);
        }
        if request != POISON {
            return Ended::Answered;
        }
        self.poisoned.fetch_add(1, Ordering::SeqCst);
        self.crashes[at].fetch_add(1, Ordering::SeqCst);
        *self.down_until[at].lock() = clock.now() + RESTART;
        Ended::Broke(Evidence::Crash)
    }
}

/// A caller that sends `request` again to any host until it is answered, `sends` times at most.
async fn call(
    fleet: Arc<Fleet>,
    upstreams: Arc<Upstreams>,
    request: u64,
    sends: u32,
    seed: u64,
) -> bool {
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..sends {
        let host = rng.random_range(0..fleet.hosts.len());
        let deadline = fleet.clock.now() + Millis::secs(2);
        match fleet.admit(host, fp(request), deadline).await {
            Ok(permit) => {
                let at = rng.random_range(0..UPSTREAMS);
                let time = Millis(rng.random_range(1..60));
                let ended = upstreams.run(request, at, time, fleet.clock.as_ref()).await;
                fleet.hosts[host].finish(permit, ended).await;
                if ended == Ended::Answered {
                    return true;
                }
            }
            Err(_) => tokio::time::sleep(Millis(rng.random_range(1..200)).duration()).await,
        }
    }
    false
}

#[derive(Clone, Debug)]
struct World {
    seed: u64,
    poisoned_callers: u32,
    innocents: u64,
    faults: Faults,
}

fn worlds() -> impl Strategy<Value = World> {
    let faults = (1u64..60, 0u8..30, 0u8..10, 1u64..40).prop_map(
        |(delay_max, lost_percent, store_percent, store_delay_max)| Faults {
            delay_max,
            lost_percent,
            store_percent,
            store_delay_max,
            ..Faults::default()
        },
    );
    (any::<u64>(), 1u32..8, 0u64..12, faults).prop_map(
        |(seed, poisoned_callers, innocents, faults)| World {
            seed,
            poisoned_callers,
            innocents,
            faults,
        },
    )
}

/// Plays `world`. Returns how many upstreams the poisoned request brought down.
async fn play(world: &World) -> Result<u32, TestCaseError> {
    let fleet = Fleet::new(6, world.faults, world.seed);
    let upstreams = Upstreams::new();
    let mut poisoned = JoinSet::new();
    let mut innocent = JoinSet::new();
    for n in 0..u64::from(world.poisoned_callers) {
        let seed = world.seed.wrapping_add(n);
        poisoned.spawn(call(Arc::clone(&fleet), Arc::clone(&upstreams), POISON, 12, seed));
    }
    for n in 0..world.innocents * 3 {
        // Three callers each, so that some requests are proven and in flight more than once.
        let seed = world.seed.wrapping_add(1_000 + n);
        let request = 1 + n % world.innocents;
        innocent.spawn(call(Arc::clone(&fleet), Arc::clone(&upstreams), request, 60, seed));
    }
    let poisoned = poisoned.join_all().await;
    let innocent = innocent.join_all().await;
    prop_assert!(poisoned.iter().all(|answered| !answered));
    let down = upstreams.poisoned.load(Ordering::SeqCst);
    if world.faults.unheard_percent > 0 {
        return Ok(down);
    }
    for request in 1..=world.innocents {
        let convicted =
            |host: &Arc<foxtail_retry::Watch>| host.standing(fp(request)) == Standing::Convicted;
        prop_assert!(!fleet.hosts.iter().any(convicted), "request {request} is convicted");
    }
    prop_assert!(innocent.iter().all(|answered| *answered), "innocents {innocent:?}");
    Ok(down)
}

#[test]
fn one_request_brings_down_at_most_two_upstreams() {
    support::runner(100)
        .run(&worlds(), |world| {
            let down = fleet::paused().block_on(play(&world))?;
            prop_assert!(down <= 2, "{down} upstreams brought down");
            Ok(())
        })
        .unwrap();
}

/// With guards that often can't be reached, two of them may each let a copy run.
#[test]
fn unreachable_guards_cost_one_more_at_most() {
    support::runner(100)
        .run(&(worlds(), 1u8..30), |(mut world, unheard_percent)| {
            world.faults.unheard_percent = unheard_percent;
            let down = fleet::paused().block_on(play(&world))?;
            prop_assert!(down <= 3, "{down} upstreams brought down");
            Ok(())
        })
        .unwrap();
}

#[tokio::test(start_paused = true)]
async fn the_second_crash_convicts_on_every_host() {
    let fleet = Fleet::new(4, Faults::default(), 1);
    let deadline = Millis::secs(60);
    for expected in ["first", "trial"] {
        let permit = fleet.admit(0, fp(POISON), deadline).await.unwrap();
        assert_eq!(permit.way(), expected);
        fleet.hosts[0].finish(permit, Ended::Broke(Evidence::Crash)).await;
    }
    tokio::time::sleep(Millis::secs(1).duration()).await;
    let refused = Outcome::Refused { reason: Reason::Convicted };
    for host in 0..4 {
        assert_eq!(fleet.admit(host, fp(POISON), deadline).await.unwrap_err(), refused);
    }
}

#[tokio::test(start_paused = true)]
async fn a_suspect_does_not_run_without_the_table() {
    let fleet = Fleet::new(2, Faults { store_down: true, ..Faults::default() }, 1);
    let deadline = Millis::secs(60);
    let permit = fleet.admit(0, fp(1), deadline).await.unwrap();
    fleet.hosts[0].finish(permit, Ended::Broke(Evidence::Break)).await;
    let refused = fleet.admit(1, fp(1), deadline).await.unwrap_err();
    let retry_after = Millis::secs(1);
    assert_eq!(refused, Outcome::NotRun { reason: Reason::StoreUnavailable, retry_after });
}

/// A host is lost in the middle of a run, with what it knew: the request is a suspect. A host is
/// lost in the middle of a trial: another may begin one only after the first must have ended.
#[tokio::test(start_paused = true)]
async fn lost_runs_count_as_broken() {
    let fleet = Fleet::new(3, Faults::default(), 1);
    let soon = || fleet.clock.now() + Millis::secs(2);
    for expected in ["first", "trial", "trial"] {
        let begun = fleet.clock.now();
        let permit = loop {
            if let Ok(permit) = fleet.admit(0, fp(1), soon()).await {
                break permit;
            }
            assert!(fleet.clock.now() < begun + Millis::secs(30), "never admitted again");
        };
        assert_eq!(permit.way(), expected);
        let waited = fleet.clock.now().since(begun);
        assert!(begun == Millis::ZERO || waited >= Millis::secs(2), "only {waited}");
        drop(permit);
    }
    while fleet.clock.now() < Millis::secs(60) {
        assert!(fleet.admit(1, fp(1), soon()).await.is_err(), "a third loss convicts");
        tokio::time::sleep(Millis(100).duration()).await;
    }
    assert_eq!(fleet.hosts[1].standing(fp(1)), Standing::Convicted);
}

#[tokio::test(start_paused = true)]
async fn a_proven_request_asks_nobody() {
    let fleet = Fleet::new(3, Faults::default(), 1);
    let deadline = Millis::secs(60);
    let permit = fleet.admit(0, fp(1), deadline).await.unwrap();
    fleet.hosts[0].finish(permit, Ended::Answered).await;
    let before = fleet.clock.now();
    let (one, two) = (fleet.admit(0, fp(1), deadline).await, fleet.admit(0, fp(1), deadline).await);
    assert_eq!([one.unwrap().way(), two.unwrap().way()], ["proven", "proven"]);
    assert_eq!(fleet.clock.now(), before);
}

#[tokio::test(start_paused = true)]
async fn copies_wait_for_the_first_one() {
    let fleet = Fleet::new(3, Faults::default(), 1);
    let first = fleet.admit(0, fp(1), Millis::secs(60)).await.unwrap();
    let case = Case { deadline: fleet.clock.now() + Millis(500), ..fleet.case(fp(1)) };
    assert!(fleet.hosts[1].admit(&case).await.is_err(), "it still runs");
    fleet.hosts[0].finish(first, Ended::Answered).await;
    let later = fleet.clock.now() + Millis(500);
    assert!(fleet.admit(1, fp(1), later).await.is_ok());
}
