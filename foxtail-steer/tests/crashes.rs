//! Fleets of 18 and 142 hosts in virtual time, to whose hosts a caller sends a request that crashes
//! each upstream which runs it.

use foxtail_steer::NewsPacer;
use foxtail_steer::news::NEWS_TARGETS;
use foxtail_steer::suspects::{Fingerprint, Fingerprints, MAX_STRIKES, Suspects, TrialTurn};
use foxtail_types::prelude::*;

const FLEET_SIZES: [usize; 2] = [18, 142];
const REGIONS: usize = 3;
const READERS_PER_REGION: usize = 2;
const DIGEST_INTERVAL: Millis = Millis(400);
const STEP: Millis = Millis(100);
/// Time between two requests of the caller.
const CALLER_INTERVAL: Millis = Millis(300);
/// Retries count from this long after the third crash on.
const SETTLING_TIME: Millis = Millis::secs(4);
const ALLOWED_LATE_RETRIES: usize = 3;
/// By when requests that strikes barred by mistake have to be served again.
const RECOVERY_LIMIT: Millis = Millis::secs(15);

/// Something that happens to a host.
#[derive(Clone, Copy)]
enum Event {
    /// The connections under this many other requests break.
    Resets(usize),
    /// The host starts again without its memory.
    Restart,
}

struct Fleet {
    hosts: Vec<Suspects>,
    pacers: Vec<NewsPacer>,
    events: Vec<(Millis, usize, Event)>,
    crashes: Vec<Millis>,
    broken: u64,
    random: u64,
    /// The number of callers that send the request which crashes upstreams.
    callers: usize,
    /// The number of upstreams that each sending crashes, one after the other.
    attempts: u64,
    /// The number of copies that callers send at the same moment, each to another host.
    copies: usize,
    /// Time between two requests of the callers.
    interval: Millis,
    /// How many hosts run an earlier version, which counts strikes for each caller alone.
    earlier: usize,
}

impl Fleet {
    fn new(hosts: usize, events: Vec<(Millis, usize, Event)>, seed: u64) -> Self {
        let pacers = (0..hosts).map(|_| NewsPacer::default()).collect();
        let hosts = (0..hosts).map(|_| Suspects::default()).collect();
        let random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        Self {
            hosts,
            pacers,
            events,
            crashes: Vec::new(),
            broken: 0,
            random,
            callers: 1,
            attempts: 1,
            copies: 1,
            interval: CALLER_INTERVAL,
            earlier: 0,
        }
    }

    /// Lets `callers` callers in turn send the request which crashes upstreams.
    fn with_callers(self, callers: usize) -> Self {
        Self { callers, ..self }
    }

    fn with_earlier_hosts(self, earlier: usize) -> Self {
        Self { earlier, ..self }
    }

    /// Plays until `end`, and returns the number of retries that reached an upstream later than
    /// [`SETTLING_TIME`] after the third crash.
    fn late_retries(mut self, end: Millis) -> usize {
        let mut now = Millis::ZERO;
        while now < end {
            for (at, host, event) in self.events.clone() {
                if at == now {
                    self.apply(host, event, now);
                }
            }
            if now.0.is_multiple_of(DIGEST_INTERVAL.0) {
                (0..self.hosts.len()).for_each(|host| self.send_digests(host, now));
            }
            self.tell_news(now);
            if now.0.is_multiple_of(self.interval.0) {
                let first = self.below(self.hosts.len());
                for copy in 0..self.copies {
                    self.send_faulty_request((first + copy) % self.hosts.len(), now);
                }
            }
            now = now + STEP;
        }
        let counted_from = self.crashes.get(MAX_STRIKES - 1).map(|third| *third + SETTLING_TIME);
        self.crashes.iter().filter(|at| counted_from.is_some_and(|from| **at > from)).count()
    }

    fn apply(&mut self, host: usize, event: Event, now: Millis) {
        match event {
            Event::Resets(count) => {
                for _ in 0..count {
                    self.broken += 1;
                    let path = format!("/healthy/{}", self.broken);
                    let upstream = upstream_id(self.broken % 48);
                    for request in self.fingerprints_at(host, 0, &path) {
                        self.hosts[host].record_strike(request, &upstream, None, now);
                    }
                }
            }
            Event::Restart => {
                self.hosts[host] = Suspects::default();
                // All hosts reply to the digest of a host that starts.
                for other in (0..self.hosts.len()).filter(|other| *other != host) {
                    self.send_digest(other, host, now);
                }
            }
        }
    }

    fn send_faulty_request(&mut self, host: usize, now: Millis) {
        let caller = self.below(self.callers);
        if self.is_barred(host, caller, "/faulty", now)
            && !self.begin_trial(host, caller, "/faulty", now)
        {
            return;
        }
        let request = self.fingerprints_at(host, caller, "/faulty");
        for attempt in 0..self.attempts {
            let now = now + Millis(20 * attempt);
            self.crashes.push(now);
            let upstream = upstream_id(1_000 + self.crashes.len() as u64);
            let strikes = request
                .iter()
                .filter_map(|one| self.hosts[host].record_strike(*one, &upstream, None, now))
                .max();
            if strikes >= Some(MAX_STRIKES - 1) {
                self.pacers[host].add();
            }
        }
    }

    fn is_barred(&self, host: usize, caller: usize, path: &str, now: Millis) -> bool {
        let Fingerprints { of_caller, of_any_caller } = fingerprints(caller, path);
        let suspects = &self.hosts[host];
        let for_all =
            host >= self.earlier && suspects.barred_for_any_caller(of_any_caller, now).is_some();
        for_all || suspects.barred_for(of_caller, now).is_some()
    }

    /// Returns whether a barred request is tried at `host`; one host of each region may, in turn.
    fn begin_trial(&mut self, host: usize, caller: usize, path: &str, now: Millis) -> bool {
        let Fingerprints { of_caller, of_any_caller } = fingerprints(caller, path);
        let suspects = &mut self.hosts[host];
        host < REGIONS
            && host >= self.earlier
            && suspects.barred_for_any_caller(of_any_caller, now).is_none()
            && suspects.begin_trial(of_caller, TrialTurn { index: host, regions: REGIONS }, now)
    }

    /// Returns the fingerprints that `host` knows a request by.
    fn fingerprints_at(&self, host: usize, caller: usize, path: &str) -> Vec<Fingerprint> {
        let fingerprints = fingerprints(caller, path);
        if host < self.earlier {
            vec![fingerprints.of_caller]
        } else {
            fingerprints.both().to_vec()
        }
    }

    fn send_digests(&mut self, from: usize, now: Millis) {
        let to = self.random_host(|to| to != from && region(to) == region(from));
        self.send_digest(from, to, now);
        if from / REGIONS < READERS_PER_REGION {
            let to = self.random_host(|to| region(to) != region(from));
            self.send_digest(from, to, now);
        }
    }

    fn send_digest(&mut self, from: usize, to: usize, now: Millis) {
        for answer in self.hosts[from].answers_to_share(now) {
            self.hosts[to].add_shared_answer(&answer, now);
        }
        for strike in self.hosts[from].strikes_to_share(now) {
            let strikes = self.hosts[to].add_shared_strike(&strike, now);
            if strikes >= Some(MAX_STRIKES - 1) {
                self.pacers[to].add();
            }
        }
    }

    /// Lets the hosts whose turn it is tell their news to a few others of their region.
    fn tell_news(&mut self, now: Millis) {
        for from in 0..self.hosts.len() {
            if self.pacers[from].take(now) {
                for _ in 0..NEWS_TARGETS {
                    let to = self.random_host(|to| to != from && region(to) == region(from));
                    self.send_digest(from, to, now);
                }
            }
        }
    }

    fn random_host(&mut self, is_candidate: impl Fn(usize) -> bool) -> usize {
        loop {
            let host = self.below(self.hosts.len());
            if is_candidate(host) {
                return host;
            }
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        ((self.random >> 11) % bound as u64) as usize
    }
}

fn region(host: usize) -> usize {
    host % REGIONS
}

fn fingerprints(caller: usize, path: &str) -> Fingerprints {
    Fingerprints::new(&format!("127.0.0.{caller}"), "GET", "svc.example", path, [])
}

fn upstream_id(n: u64) -> UpstreamId {
    format!("u{n}").parse().unwrap()
}

#[test]
fn request_that_crashes_upstreams_is_barred_while_connections_of_other_requests_break() {
    for hosts in FLEET_SIZES {
        for seed in 0..20 {
            // A third of the hosts loses its connections three times, a second apart.
            let cut_off = (0..hosts).filter(|host| host % 3 == (host / 3) % 3);
            let resets = cut_off.flat_map(|host| {
                [0, 1, 2].map(|second| (Millis::secs(second), host, Event::Resets(20)))
            });
            let fleet = Fleet::new(hosts, resets.collect(), seed);
            let late = fleet.late_retries(Millis::secs(30));
            assert!(
                late <= ALLOWED_LATE_RETRIES,
                "{late} late retries, {hosts} hosts, seed {seed}"
            );
        }
    }
}

#[test]
fn request_that_crashes_upstreams_stays_barred_while_all_hosts_restart_in_turn() {
    for hosts in FLEET_SIZES {
        for seed in 0..20 {
            let restarts = (0..hosts).map(|n| {
                (Millis(20_000 + 100 * (n as u64 * 400 / hosts as u64)), n, Event::Restart)
            });
            let fleet = Fleet::new(hosts, restarts.collect(), seed);
            let late = fleet.late_retries(Millis::secs(80));
            assert!(
                late <= ALLOWED_LATE_RETRIES,
                "{late} late retries, {hosts} hosts, seed {seed}"
            );
        }
    }
}

#[test]
fn request_that_crashes_upstreams_stays_barred_after_connections_of_many_others_broke() {
    for hosts in FLEET_SIZES {
        let resets = (0..20).map(|second| {
            let at = Millis::secs(20 + second);
            (at, second as usize % hosts, Event::Resets(2_000))
        });
        let fleet = Fleet::new(hosts, resets.collect(), 1);
        let late = fleet.late_retries(Millis::secs(60));
        assert!(late <= ALLOWED_LATE_RETRIES, "{late} late retries, {hosts} hosts");
    }
}

#[test]
fn request_that_is_answered_in_between_is_not_barred_by_hosts_that_hear_of_its_strikes_only() {
    for hosts in FLEET_SIZES {
        for seed in 0..10 {
            let mut fleet = Fleet::new(hosts, Vec::new(), seed);
            let request = fingerprints(0, "/healthy").of_any_caller;
            let (mut sent, mut refused) = (0, 0);
            for step in 0..400 {
                let now = Millis(step * STEP.0);
                if now.0.is_multiple_of(DIGEST_INTERVAL.0) {
                    (0..hosts).for_each(|host| fleet.send_digests(host, now));
                }
                fleet.tell_news(now);
                if step == 200 {
                    fleet.apply(0, Event::Restart, now);
                }
                // Callers use four hosts, on which one in eight connections breaks.
                let host = fleet.below(4);
                sent += 1;
                if fleet.hosts[host].barred_for(request, now).is_some() {
                    refused += 1;
                } else if step % 8 == 0 {
                    let upstream = upstream_id(step);
                    let strikes = fleet.hosts[host].record_strike(request, &upstream, None, now);
                    if strikes >= Some(MAX_STRIKES - 1) {
                        fleet.pacers[host].add();
                    }
                } else {
                    fleet.hosts[host].clear(request, now);
                }
            }
            assert!(refused * 50 <= sent, "{refused} of {sent}, {hosts} hosts, seed {seed}");
        }
    }
}

#[test]
fn request_that_crashes_upstreams_is_barred_whichever_caller_sends_it_to_which_host() {
    for hosts in FLEET_SIZES {
        for seed in 0..20 {
            for attempts in [1, 2] {
                let fleet = Fleet::new(hosts, Vec::new(), seed).with_callers(100);
                let late = Fleet { attempts, ..fleet }.late_retries(Millis::secs(60));
                assert!(
                    late <= ALLOWED_LATE_RETRIES,
                    "{late} late retries, {hosts} hosts, {attempts} attempts, seed {seed}"
                );
            }
        }
    }
}

#[test]
fn request_of_one_caller_is_barred_while_hosts_are_replaced_by_those_of_a_later_version() {
    for hosts in FLEET_SIZES {
        for earlier in [hosts / 4, hosts / 2, hosts - hosts / 4] {
            for seed in 0..5 {
                let fleet = Fleet::new(hosts, Vec::new(), seed).with_earlier_hosts(earlier);
                let late = fleet.late_retries(Millis::secs(60));
                assert!(
                    late <= ALLOWED_LATE_RETRIES,
                    "{late} late retries, {earlier} of {hosts} hosts of the earlier version"
                );
            }
        }
    }
}

#[test]
fn popular_request_is_not_barred_by_connections_of_several_hosts_that_break_at_once() {
    for hosts in FLEET_SIZES {
        let mut fleet = Fleet::new(hosts, Vec::new(), 1);
        for second in 1..30 {
            let at = Millis::secs(second);
            // Two of three hosts have the request of a caller of their own under way.
            for host in (0..hosts).filter(|host| host % 3 > 0) {
                for request in fleet.fingerprints_at(host, host, "/popular") {
                    let upstream = upstream_id((second * 7 + host as u64) % 48);
                    fleet.hosts[host].record_strike(
                        request,
                        &upstream,
                        None,
                        at + Millis(host as u64 % 30),
                    );
                }
            }
            for round in 1..3 {
                let now = at + Millis(100 + round * 400);
                (0..hosts).for_each(|host| fleet.send_digests(host, now));
            }
            let now = at + Millis(950);
            for host in 0..hosts {
                assert!(!fleet.is_barred(host, 200, "/popular", now), "{hosts} hosts, host {host}");
                for request in fleet.fingerprints_at(host, 200, "/popular") {
                    fleet.hosts[host].clear(request, now);
                }
            }
        }
    }
}

#[test]
fn request_that_crashes_upstreams_is_barred_although_one_address_sends_copies_at_once() {
    for hosts in FLEET_SIZES {
        for interval in [Millis(300), Millis(900), Millis(2_100), Millis(3_000), Millis(5_000)] {
            for (seed, copies) in (0..6).zip([2, 3].into_iter().cycle()) {
                let fleet = Fleet { copies, interval, ..Fleet::new(hosts, Vec::new(), seed) };
                let late = fleet.late_retries(Millis::secs(120));
                assert!(
                    late <= ALLOWED_LATE_RETRIES,
                    "{late} late retries, {hosts} hosts, {copies} copies each {interval}, seed {seed}"
                );
            }
        }
    }
}

#[test]
fn request_of_one_address_is_served_again_after_connections_of_several_hosts_broke_at_once() {
    for hosts in FLEET_SIZES {
        let mut fleet = Fleet::new(hosts, Vec::new(), 1);
        for host in (0..hosts).filter(|host| host % 3 > 0) {
            for request in fleet.fingerprints_at(host, 0, "/popular") {
                let at = Millis(1_000 + host as u64 % 20);
                let upstream = upstream_id(host as u64 % 48);
                fleet.hosts[host].record_strike(request, &upstream, None, at);
            }
        }
        // All hosts hear of the strikes before the next request comes.
        let mut now = Millis(1_100);
        let mut refused = 0;
        while now < RECOVERY_LIMIT {
            if now.0.is_multiple_of(DIGEST_INTERVAL.0) {
                (0..hosts).for_each(|host| fleet.send_digests(host, now));
            }
            let host = fleet.below(hosts);
            if now >= Millis::secs(4) {
                let is_barred = fleet.is_barred(host, 0, "/popular", now);
                if is_barred && !fleet.begin_trial(host, 0, "/popular", now) {
                    refused += 1;
                } else {
                    for request in fleet.fingerprints_at(host, 0, "/popular") {
                        fleet.hosts[host].clear(request, now);
                    }
                }
            }
            now = now + Millis(20);
        }
        assert!(refused > 0, "{hosts} hosts: the strikes bar the request for a while");
        let still_barred =
            (0..hosts).filter(|host| fleet.is_barred(*host, 0, "/popular", now)).count();
        assert_eq!(still_barred, 0, "{hosts} hosts, {RECOVERY_LIMIT} after the start");
    }
}
