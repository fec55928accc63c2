//! Confirmations of the store's versions spread over regions in virtual time, while readers get no answers
//! and messages are lost.

use foxtail_steer::fleet::DIGEST_INTERVAL;
use foxtail_steer::news::NEWS_TARGETS;
use foxtail_steer::view_age::{Asking, Confirmation, MESSAGE_DELAY, NEWS_STEP, Patience};
use foxtail_steer::{NewsPacer, ViewAge};
use foxtail_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The hosts of a region of the sites with 18, 142 and 195 hosts, and of the target.
const REGION_SIZES: [usize; 4] = [6, 47, 65, 285];
const REGIONS: usize = 3;
const READERS_PER_REGION: usize = 2;
const STEP: Millis = Millis(50);
/// How often the first reader of a region asks the store for changes.
const CONFIRM_INTERVAL: Millis = Millis(600);
/// How often a host decides whether to ask the store.
const CHECK_INTERVAL: Millis = Millis(300);
/// By when all hosts have to know of a change: the drain bound of small sites, less a request's way.
const KNOWN_WITHIN: Millis = Millis(2_300);

/// By when hosts that can't reach the store have said so.
const OUT_IS_KNOWN_AFTER: Millis = Millis(3_000);

struct Host {
    view: ViewAge,
    held: u64,
    behind_since: Option<Millis>,
    /// The confirmation that others were told of last.
    told: Option<Millis>,
    pacer: NewsPacer,
    store_calls: usize,
}

/// What the store, the readers and the links do.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// The number of regions whose readers get no answers from the store, and do not notice.
    blind_regions: usize,
    /// Whether only those calls are lost that these readers wait for.
    swallowed: bool,
    /// The share of messages that are lost.
    loss: f64,
    /// Whether hosts can pull changes from each other.
    pulls: bool,
    /// Whether the store answers nobody.
    store_out: bool,
}

const NO_FAULTS: Faults =
    Faults { blind_regions: 0, swallowed: false, loss: 0.02, pulls: true, store_out: false };

struct World {
    size: usize,
    hosts: Vec<Host>,
    faults: Faults,
    /// The version of the store.
    version: u64,
    rng: SmallRng,
    now: Millis,
}

impl World {
    fn new(size: usize, faults: Faults, seed: u64) -> Self {
        let host = |_| Host {
            view: ViewAge::new(Patience::UPSTREAMS, Millis::ZERO),
            held: 1,
            behind_since: None,
            told: None,
            pacer: NewsPacer::default(),
            store_calls: 0,
        };
        let hosts = (0..size * REGIONS).map(host).collect();
        Self {
            size,
            hosts,
            faults,
            version: 1,
            rng: SmallRng::seed_from_u64(seed),
            now: Millis::ZERO,
        }
    }

    fn run_until(&mut self, end: Millis) {
        while self.now < end {
            self.now = self.now + STEP;
            for host in 0..self.hosts.len() {
                self.read_store(host);
                self.send_messages(host);
            }
        }
    }

    /// Whether `interval` has passed for `host`; hosts act at different times.
    fn is_time(&self, host: usize, interval: Millis) -> bool {
        (self.now.0 + STEP.0 * host as u64).is_multiple_of(interval.0)
    }

    fn read_store(&mut self, host: usize) {
        let (place, now) = (host % self.size, self.now);
        let is_blind = host / self.size < self.faults.blind_regions;
        let is_blind = is_blind && place < READERS_PER_REGION;
        if is_blind && !self.faults.swallowed {
            return;
        }
        let reads = match place {
            _ if is_blind => false,
            0 => self.is_time(host, CONFIRM_INTERVAL),
            // The other reader's call is answered when there is a change.
            1 => self.hosts[host].held < self.version,
            _ => false,
        };
        let asks = !reads && self.is_time(host, CHECK_INTERVAL) && {
            let store_may_be_out = self.faults.store_out && now > OUT_IS_KNOWN_AFTER;
            let asking = Asking { hosts: self.size, draw: self.rng.random(), store_may_be_out };
            let Host { view, behind_since, .. } = &mut self.hosts[host];
            view.asks(*behind_since, &asking, now)
        };
        if !reads && !asks {
            return;
        }
        self.hosts[host].store_calls += 1;
        if self.faults.store_out {
            return;
        }
        let is_news = self.hosts[host].held < self.version;
        self.hold(host, self.version);
        self.confirm(host, Confirmation { version: self.version, at: now });
        if is_news {
            let region = host - place;
            (region..region + self.size).for_each(|to| self.send(host, to));
        }
    }

    fn hold(&mut self, host: usize, version: u64) {
        let host = &mut self.hosts[host];
        host.held = host.held.max(version);
        host.view.hold(host.held);
        host.behind_since = None;
    }

    fn confirm(&mut self, host: usize, confirmation: Confirmation) {
        let host = &mut self.hosts[host];
        host.view.confirm(confirmation, host.held);
        let at = host.view.confirmed_at();
        if at.is_some_and(|at| host.told.is_none_or(|told| at >= told + NEWS_STEP)) {
            host.told = at;
            host.pacer.add();
        }
    }

    fn send_messages(&mut self, from: usize) {
        let (place, size) = (from % self.size, self.size);
        let region = from - place;
        if self.hosts[from].pacer.take(self.now) {
            for _ in 0..NEWS_TARGETS {
                let to = region + self.rng.random_range(0..size);
                self.send(from, to);
            }
        }
        if self.is_time(from, DIGEST_INTERVAL) {
            let to = region + self.rng.random_range(0..size);
            self.send(from, to);
            if place < READERS_PER_REGION {
                let other = (region + size + self.rng.random_range(0..2 * size)) % (3 * size);
                self.send(from, other);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize) {
        if from == to || self.rng.random_bool(self.faults.loss) {
            return;
        }
        let (version, now) = (self.hosts[from].held, self.now);
        if version > self.hosts[to].held {
            self.hosts[to].behind_since.get_or_insert(now);
            if self.faults.pulls {
                self.hold(to, version);
            }
        }
        if let Some(at) = self.hosts[from].view.confirmed_at() {
            self.confirm(to, Confirmation { version, at: at - MESSAGE_DELAY });
        }
    }

    fn all_hold(&self, version: u64) -> bool {
        self.hosts.iter().all(|host| host.held >= version)
    }
}

/// Plays a change after a quiet time, and checks that all hosts know it in time.
fn assert_change_is_known_in_time(faults: Faults) {
    for size in REGION_SIZES {
        for seed in 0..8 {
            let mut world = World::new(size, faults, seed);
            world.run_until(Millis(9_950 + 50 * seed));
            world.version = 2;
            world.run_until(world.now + KNOWN_WITHIN);
            assert!(world.all_hold(2), "{faults:?}, {size} hosts a region, seed {seed}");
        }
    }
}

#[test]
fn change_is_known_in_time_though_the_readers_of_one_region_or_of_all_get_no_answers() {
    for blind_regions in 0..=REGIONS {
        for swallowed in [false, true] {
            assert_change_is_known_in_time(Faults { blind_regions, swallowed, ..NO_FAULTS });
        }
    }
}

#[test]
fn change_is_known_in_time_though_most_messages_are_lost() {
    assert_change_is_known_in_time(Faults { loss: 0.8, ..NO_FAULTS });
    assert_change_is_known_in_time(Faults { loss: 1.0, ..NO_FAULTS });
}

#[test]
fn change_is_known_in_time_though_no_host_can_pull_it_from_another_one() {
    assert_change_is_known_in_time(Faults { pulls: false, ..NO_FAULTS });
    let faults = Faults { pulls: false, blind_regions: 2, swallowed: true, ..NO_FAULTS };
    assert_change_is_known_in_time(faults);
}

#[test]
fn views_of_a_calm_day_stay_young_without_calls_of_other_hosts_than_readers() {
    for size in REGION_SIZES {
        let mut world = World::new(size, NO_FAULTS, 1);
        world.run_until(Millis(3_000));
        let (mut calls, mut old) = (0, 0);
        while world.now < Millis(33_000) {
            world.run_until(world.now + STEP);
            old += world.hosts.iter().filter(|host| host.view.is_old(world.now)).count();
        }
        for (index, host) in world.hosts.iter().enumerate() {
            if index % size >= READERS_PER_REGION {
                calls += host.store_calls;
            }
        }
        let moments = world.hosts.len() * 600;
        assert!(old * 1_000 <= moments, "{size} hosts a region: {old} of {moments} old");
        assert!(calls <= world.hosts.len() / 10 + 1, "{size} hosts a region: {calls} calls");
    }
}

#[test]
fn few_hosts_ask_a_store_that_is_out_for_all() {
    for size in REGION_SIZES {
        let mut world = World::new(size, Faults { store_out: true, ..NO_FAULTS }, 1);
        world.run_until(Millis(20_000));
        let before: usize = world.hosts.iter().map(|host| host.store_calls).sum();
        world.run_until(Millis(30_000));
        let after: usize = world.hosts.iter().map(|host| host.store_calls).sum();
        // Each region's readers, and two hosts in 0.3 s.
        let per_second = (after - before) as f64 / 10.0 / REGIONS as f64;
        assert!(per_second <= 2.0 / 0.3 + 3.0, "{size} hosts a region: {per_second} a second");
    }
}

/// A host of a region of `hosts` that is drawn last.
fn one_of(hosts: usize) -> Asking {
    Asking { hosts, draw: 1.0, store_may_be_out: true }
}

fn confirmed(at_ms: u64) -> ViewAge {
    let mut view = ViewAge::new(Patience::UPSTREAMS, Millis::ZERO);
    view.confirm(Confirmation { version: 5, at: Millis(at_ms) }, 5);
    view
}

#[test]
fn view_is_confirmed_only_once_it_holds_the_version() {
    let mut view = confirmed(1_000);
    view.confirm(Confirmation { version: 9, at: Millis(4_000) }, 5);
    assert!(view.is_old(Millis(4_000)));
    view.hold(8);
    assert!(view.is_old(Millis(4_000)));
    view.hold(9);
    assert_eq!(view.confirmed_at(), Some(Millis(4_000)));
    // An earlier confirmation that arrives later takes nothing back.
    view.confirm(Confirmation { version: 9, at: Millis(2_000) }, 9);
    assert_eq!(view.confirmed_at(), Some(Millis(4_000)));
}

#[test]
fn host_that_has_just_started_confirms_nothing() {
    let view = ViewAge::new(Patience::UPSTREAMS, Millis(7_000));
    assert_eq!(view.confirmed_at(), None);
    assert_eq!(view.age(Millis(7_500)), Millis(500));
}

#[test]
fn host_that_lacks_a_known_change_asks_the_store_whoever_else_does() {
    let mut view = confirmed(9_900);
    let since = Some(Millis(10_000));
    let asking = Asking { store_may_be_out: false, ..one_of(47) };
    assert!(!view.asks(since, &asking, Millis(10_000) + Patience::UPSTREAMS.max_behind));
    assert!(view.asks(since, &asking, Millis(10_001) + Patience::UPSTREAMS.max_behind));
    assert!(
        !view.asks(since, &asking, Millis(10_300) + Patience::UPSTREAMS.max_behind),
        "it asked just now"
    );
    assert!(view.asks(since, &asking, Millis(11_001) + Patience::UPSTREAMS.max_behind));
}

#[test]
fn host_that_hears_nobody_asks_as_soon_as_its_view_is_old() {
    let mut view = confirmed(0);
    assert!(!view.asks(None, &one_of(1), Patience::UPSTREAMS.max_age));
    assert!(view.asks(None, &one_of(1), Patience::UPSTREAMS.max_age + Millis(1)));
}

#[test]
fn host_asks_less_often_while_nothing_is_confirmed() {
    let mut view = confirmed(0);
    let asks = |view: &mut ViewAge, range: std::ops::Range<u64>| {
        range.step_by(100).filter(|at| view.asks(None, &one_of(1), Millis(*at))).count()
    };
    assert_eq!(asks(&mut view, 2_000..12_000), 4, "after 1, 2 and 4 s");
    view.confirm(Confirmation { version: 5, at: Millis(12_000) }, 5);
    assert_eq!(asks(&mut view, 14_000..16_000), 2);
}

#[test]
fn host_that_lacks_a_change_is_drawn_like_others_while_the_store_is_out() {
    let mut view = confirmed(0);
    assert!(!view.asks(Some(Millis(1_000)), &one_of(47), Millis(5_000)));
}

#[test]
fn requests_wait_briefly_for_the_view_after_a_suspension_and_never_for_a_store_that_is_out() {
    let mut view = confirmed(0);
    assert_eq!(view.hold_requests(false, Millis(1_900)), None);
    let resumed = Millis(5_000);
    assert_eq!(view.hold_requests(true, resumed), None);
    let wait = view.hold_requests(false, resumed).expect("the view is old");
    assert_eq!(view.hold_requests(false, resumed + wait), None, "no request waits longer");
    view.confirm(Confirmation { version: 5, at: resumed }, 5);
    // The next suspension holds requests anew, whether or not there were any in between.
    assert!(view.hold_requests(false, Millis(9_000)).is_some());
}

#[test]
fn suspended_host_asks_at_once_and_believes_no_ages_that_may_have_waited() {
    let mut view = confirmed(0);
    view.record_suspension(Millis(4_000));
    let told = Confirmation { version: 5, at: Millis(3_900) };
    view.confirm_told(told, 5, Millis(4_010));
    assert_eq!(view.confirmed_at(), Some(Millis(0)));
    assert!(view.asks(None, &one_of(285), Millis(4_010)));
    view.confirm(Confirmation { version: 5, at: Millis(4_010) }, 5);
    assert!(!view.asks(None, &one_of(285), Millis(5_200)), "once");
    view.confirm_told(Confirmation { version: 5, at: Millis(5_100) }, 5, Millis(5_200));
    assert_eq!(view.confirmed_at(), Some(Millis(5_100)));
}
