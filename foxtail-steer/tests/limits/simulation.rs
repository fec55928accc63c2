//! A fleet of hosts in virtual time. Some upstreams name limits, and faults separate, stop or
//! confuse the hosts.

use std::collections::BTreeMap;

use foxtail_steer::fleet::{DIGEST_INTERVAL, Digest, Fleet, HostRecord, Phase};
use foxtail_steer::named_limit::{LimitChange, LimitReport};
use foxtail_steer::steering::Outcome;
use foxtail_steer::{RateLimit, Steering};
use foxtail_types::prelude::*;

use crate::common::{config, options, record, record_outcome, route, send, upstream};

const ZONES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];
const STEP: Millis = Millis(20);
const WORK: Millis = Millis(100);
const NETWORK_DELAY: Millis = Millis(20);
/// The window in which a platform counts the requests of a limited upstream.
const WINDOW: Millis = Millis(4_000);
/// Time within which hosts that start together know each other.
const JOIN_TIME: Millis = Millis(1_000);
/// Requests of a host count from this time on after it forwarded an answer with the limit.
const TOLD_DELAY: Millis = Millis(500);

/// A fault of the fleet, from one time to another.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    pub(crate) from: Millis,
    pub(crate) to: Millis,
    pub(crate) kind: FaultKind,
}

#[derive(Clone, Debug)]
pub(crate) enum FaultKind {
    /// Hosts reach only those of the same group; the function of a host's index gives its group.
    Partition(fn(usize) -> usize),
    /// Nothing that this host sends reaches other hosts.
    Mute(usize),
    /// The host stands still, and keeps what it knows.
    Freeze(usize),
    /// The host is down, and starts again with nothing but the registrations of hosts.
    Restart(usize),
    /// The host reaches no upstream by new connections, notices it with its next digest, and relays
    /// requests from then on. Before, it sends on open connections.
    LoseUpstreams(usize),
    /// Digests are lost with this probability in percent.
    Loss(u64),
}

/// A limit that the upstream with the given index names from one time to another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    pub(crate) upstream: usize,
    pub(crate) per_s: f64,
    pub(crate) from: Millis,
    pub(crate) to: Millis,
}

#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) hosts: usize,
    pub(crate) upstreams: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) length: Millis,
    pub(crate) limits: Vec<Limit>,
    pub(crate) faults: Vec<Fault>,
    pub(crate) seed: u64,
}

/// A request that reached an upstream.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Millis,
    upstream: usize,
    host: usize,
}

enum Message {
    Digest(Box<Digest>, Vec<LimitReport>),
    Answer { upstream: usize, sent_at: Millis, object: u64 },
}

struct Host {
    fleet: Fleet,
    steering: Steering,
    next_tick: Millis,
    is_down: bool,
    has_lost_upstreams: bool,
    inbox: Vec<(Millis, Message)>,
}

pub(crate) struct Simulation {
    scenario: Scenario,
    hosts: Vec<Host>,
    arrivals: Vec<Arrival>,
    /// When each host first forwarded an answer with the limit of an upstream.
    told_at: BTreeMap<(usize, usize), Millis>,
    /// When each upstream first named its limit in an answer.
    named_at: BTreeMap<usize, Millis>,
    sent_count: usize,
    refused_count: usize,
    /// Periodic checks from [`JOIN_TIME`] on, and those in which the host was in contact.
    checks: usize,
    checks_in_contact: usize,
    random: u64,
    now: Millis,
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let random = scenario.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let hosts = (0..scenario.hosts).map(|n| new_host(n, &scenario, Millis::ZERO)).collect();
        let mut simulation = Self {
            scenario,
            hosts,
            arrivals: Vec::new(),
            told_at: BTreeMap::new(),
            named_at: BTreeMap::new(),
            sent_count: 0,
            refused_count: 0,
            checks: 0,
            checks_in_contact: 0,
            random,
            now: Millis::ZERO,
        };
        for n in 0..simulation.hosts.len() {
            simulation.hosts[n].next_tick = Millis(simulation.below(DIGEST_INTERVAL.0));
            simulation.join(n);
        }
        simulation
    }

    /// Plays the scenario to its end.
    pub(crate) fn play(mut self) -> Self {
        let step_s = STEP.as_secs_f64();
        let mut due = 0.0;
        while self.now < self.scenario.length {
            for n in 0..self.hosts.len() {
                self.run_host(n);
            }
            due += self.scenario.requests_per_s * step_s;
            while due >= 1.0 {
                due -= 1.0;
                self.request();
            }
            self.now = self.now + STEP;
        }
        self
    }

    /// Returns the largest number of requests within a window at the upstream of `limit`, from hosts
    /// that it had told, and the number that is allowed.
    pub(crate) fn busiest_window(&self, limit: &Limit) -> (usize, f64) {
        let allowed = 1.5 * WINDOW.as_secs_f64() * limit.per_s + 5.0;
        let Some(named_at) = self.named_at.get(&limit.upstream) else { return (0, allowed) };
        let was_told = |arrival: &Arrival| {
            self.told_at
                .get(&(arrival.host, arrival.upstream))
                .is_some_and(|told_at| *told_at + TOLD_DELAY <= arrival.at)
        };
        let times: Vec<Millis> = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.upstream == limit.upstream && was_told(arrival))
            .filter(|arrival| arrival.at >= *named_at && arrival.at < limit.to)
            .map(|arrival| arrival.at)
            .collect();
        let within = |from: &Millis| {
            times.iter().filter(|at| *at >= from && at.since(*from) < WINDOW).count()
        };
        (times.iter().map(within).max().unwrap_or(0), allowed)
    }

    /// Returns the requests per second at an upstream between two times, from all hosts.
    pub(crate) fn rate(&self, upstream: usize, from: Millis, to: Millis) -> f64 {
        let within =
            |arrival: &&Arrival| arrival.upstream == upstream && (from..to).contains(&arrival.at);
        self.arrivals.iter().filter(within).count() as f64 / to.since(from).as_secs_f64()
    }

    /// Returns the share of requests that were sent to an upstream.
    pub(crate) fn sent_share(&self) -> f64 {
        self.sent_count as f64 / (self.sent_count + self.refused_count).max(1) as f64
    }

    /// Returns the share of the periodic checks in which hosts were in contact.
    pub(crate) fn contact_share(&self) -> f64 {
        self.checks_in_contact as f64 / self.checks.max(1) as f64
    }

    fn run_host(&mut self, n: usize) {
        let faults = self.active_faults();
        let frozen =
            faults.iter().any(|kind| matches!(kind, FaultKind::Freeze(host) if *host == n));
        let down = faults.iter().any(|kind| matches!(kind, FaultKind::Restart(host) if *host == n));
        if frozen {
            return;
        }
        if down {
            self.hosts[n].is_down = true;
            self.hosts[n].inbox.clear();
            return;
        }
        if self.hosts[n].is_down {
            self.hosts[n] = new_host(n, &self.scenario, self.now);
            self.join(n);
        }
        let inbox = std::mem::take(&mut self.hosts[n].inbox);
        let (due, later) = inbox.into_iter().partition(|(at, _)| *at <= self.now);
        self.hosts[n].inbox = later;
        let due: Vec<(Millis, Message)> = due;
        for (_, message) in due {
            self.receive(n, message);
        }
        if self.hosts[n].next_tick <= self.now {
            self.hosts[n].next_tick = self.now + DIGEST_INTERVAL;
            self.tick(n);
        }
    }

    fn tick(&mut self, n: usize) {
        let now = self.now;
        let lost = self
            .active_faults()
            .iter()
            .any(|kind| matches!(kind, FaultKind::LoseUpstreams(host) if *host == n));
        let host = &mut self.hosts[n];
        host.fleet.set_upstreams_lost(lost);
        host.has_lost_upstreams = lost;
        let digest = host.fleet.digest(now);
        let limits = host.steering.limits_to_share(now);
        host.steering.update_limit_senders(&host.fleet, now);
        if now >= JOIN_TIME {
            self.checks += 1;
            self.checks_in_contact += usize::from(host.fleet.in_contact(now));
        }
        let is_reader = host.fleet.is_reader(now);
        let peer = self.random_peer(n, true);
        self.post(n, peer, digest, limits);
        if is_reader {
            let digest = self.hosts[n].fleet.regional_digest(now);
            let limits = self.hosts[n].steering.limits_to_share(now);
            let peer = self.random_peer(n, false);
            self.post(n, peer, digest, limits);
        }
    }

    /// Announces a host that has started, and lets those that it asks reply.
    fn join(&mut self, n: usize) {
        let fleet = &mut self.hosts[n].fleet;
        let (asked, told) = fleet.join_targets();
        let indices = |records: Vec<&HostRecord>| -> Vec<usize> {
            records.into_iter().map(|record| host_index(&record.id)).collect()
        };
        let (asked, told) = (indices(asked), indices(told));
        let (request, own) = (fleet.join_request(self.now), fleet.own_digest(self.now));
        for to in asked {
            self.post(n, to, request.clone(), Vec::new());
        }
        for to in told {
            self.post(n, to, own.clone(), Vec::new());
        }
    }

    fn receive(&mut self, n: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Digest(digest, limits) => {
                let from = host_index(&digest.from.id);
                let host = &mut self.hosts[n];
                host.fleet.receive(&digest, now);
                let changes = host.steering.merge_limits(&limits, now);
                if digest.reply {
                    let reply = host.fleet.reply(now);
                    let limits = host.steering.limits_to_share(now);
                    self.post(n, from, reply, limits);
                }
                if region_of(from) != region_of(n) {
                    self.notify(n, &changes);
                }
            }
            Message::Answer { upstream, sent_at, object } => {
                let limit = self.limit_at(upstream, now);
                let id = upstream_id(upstream);
                let steering = &mut self.hosts[n].steering;
                let took = now.since(sent_at);
                record_outcome(steering, &id, object, Outcome::Answered, took, now);
                let change = steering.record_limit(&id, limit, sent_at, now);
                if limit.is_some() {
                    self.told_at.entry((n, upstream)).or_insert(now);
                    self.named_at.entry(upstream).or_insert(now);
                }
                self.notify(n, change.as_slice());
            }
        }
    }

    /// Sends the limits that began or ended to the region of a host.
    fn notify(&mut self, n: usize, changes: &[LimitChange]) {
        if !changes.iter().any(LimitChange::is_start_or_end) {
            return;
        }
        let host = &mut self.hosts[n];
        let digest = host.fleet.own_digest(self.now);
        let limits = host.steering.changed_limits_to_share(self.now);
        for to in (0..self.hosts.len()).filter(|to| region_of(*to) == region_of(n)) {
            self.post(n, to, digest.clone(), limits.clone());
        }
    }

    fn post(&mut self, from: usize, to: usize, digest: Digest, limits: Vec<LimitReport>) {
        if from == to || !self.is_connected(from, to) {
            return;
        }
        let at = self.now + NETWORK_DELAY;
        self.hosts[to].inbox.push((at, Message::Digest(Box::new(digest), limits)));
    }

    fn is_connected(&mut self, from: usize, to: usize) -> bool {
        let lost = self.below(100);
        self.active_faults().iter().all(|kind| match kind {
            FaultKind::Partition(group_of) => group_of(from) == group_of(to),
            FaultKind::Mute(host) => *host != from,
            FaultKind::Loss(percent) => lost >= *percent,
            FaultKind::Freeze(_) | FaultKind::LoseUpstreams(_) => true,
            FaultKind::Restart(host) => *host != to,
        })
    }

    /// Sends a request of a random caller: mostly to an entry host of its region, sometimes to
    /// another host that an old look-up answer named.
    fn request(&mut self) {
        let directory = self.below(self.hosts.len() as u64) as usize;
        let n = if self.below(5) == 0 {
            directory
        } else {
            let zone: ZoneId = zone_of(directory).parse().unwrap();
            let region: RegionId = region_of(directory).parse().unwrap();
            let named = self.hosts[directory].fleet.entry_hosts(&region, &zone, self.now);
            let named: Vec<usize> = named.iter().map(|host| host_index(&host.id)).collect();
            match named.len() {
                0 => directory,
                count => named[self.below(count as u64) as usize],
            }
        };
        let unavailable = |kind: &FaultKind| matches!(kind, FaultKind::Freeze(host) | FaultKind::Restart(host) if *host == n);
        if self.active_faults().iter().any(unavailable) {
            return;
        }
        let object = self.below(24 * self.scenario.upstreams as u64 / 12);
        let n = match self.hosts[n].has_lost_upstreams {
            false => n,
            true => {
                let fleet = &self.hosts[n].fleet;
                let target = fleet.relay_target(&route("r"), object, &[], self.now);
                let Some(target) = target.map(|target| host_index(&target.id)) else { return };
                let refuses = self.hosts[target].has_lost_upstreams || self.hosts[target].is_down;
                if refuses || !self.is_connected(n, target) {
                    return;
                }
                target
            }
        };
        let host = &mut self.hosts[n];
        let route = route("r");
        let Some(up) = send(&mut host.steering, &host.fleet, &route, object, self.now) else {
            self.refused_count += 1;
            return;
        };
        self.sent_count += 1;
        let upstream = up.id.as_str()[1..].parse().unwrap();
        self.arrivals.push(Arrival { at: self.now, upstream, host: n });
        let answer = Message::Answer { upstream, sent_at: self.now, object };
        self.hosts[n].inbox.push((self.now + WORK, answer));
    }

    fn limit_at(&self, upstream: usize, at: Millis) -> Option<RateLimit> {
        let named =
            |limit: &&Limit| limit.upstream == upstream && (limit.from..limit.to).contains(&at);
        let limit = self.scenario.limits.iter().find(named)?;
        RateLimit::from_per_s(limit.per_s)
    }

    fn active_faults(&self) -> Vec<FaultKind> {
        let active = |fault: &&Fault| (fault.from..fault.to).contains(&self.now);
        self.scenario.faults.iter().filter(active).map(|fault| fault.kind.clone()).collect()
    }

    fn random_peer(&mut self, n: usize, same_region: bool) -> usize {
        loop {
            let peer = self.below(self.hosts.len() as u64) as usize;
            if peer != n && (region_of(peer) == region_of(n)) == same_region {
                return peer;
            }
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % bound.max(1)
    }
}

fn new_host(n: usize, scenario: &Scenario, now: Millis) -> Host {
    let own = record_of(n);
    let wall = Millis::secs(1_000_000) + now;
    let mut fleet = Fleet::new(own, now, wall);
    for other in 0..scenario.hosts {
        fleet.add_host(record_of(other), now);
    }
    fleet.set_phase(Phase::Serving);
    fleet.mark_registrations_read();
    let mut steering = Steering::new(options(&host_name(n), region_of(n)));
    steering.set_config(config(1, 5.0));
    for u in 0..scenario.upstreams {
        steering.set_upstream(upstream(upstream_id(u).as_str(), zone_of(u)), now);
    }
    Host {
        fleet,
        steering,
        next_tick: now,
        is_down: false,
        has_lost_upstreams: false,
        inbox: Vec::new(),
    }
}

fn record_of(n: usize) -> foxtail_steer::fleet::HostRecord {
    let mut record = record(&host_name(n), zone_of(n));
    record.peer = format!("127.0.0.1:{}", 10_000 + n).parse().unwrap();
    record
}

fn host_name(n: usize) -> String {
    format!("h{n}")
}

fn host_index(id: &HostId) -> usize {
    id.as_str()[1..].parse().unwrap()
}

fn upstream_id(u: usize) -> UpstreamId {
    format!("u{u}").parse().unwrap()
}

fn zone_of(n: usize) -> &'static str {
    ZONES[n % ZONES.len()]
}

fn region_of(n: usize) -> &'static str {
    &zone_of(n)[..1]
}
