//! A fleet of hosts in virtual time, of which some are cut off from all upstreams while callers and
//! other hosts reach them.

use std::collections::{BTreeMap, BTreeSet};

use foxtail_steer::fleet::{DIGEST_INTERVAL, Digest, Fleet, HostRecord, Phase};
use foxtail_steer::reachability::{PROBE_TIMEOUT, ProbeOutcome, ProbeReasons, Reachability};
use foxtail_steer::relay::MAX_RELAY_OFFERS;
use foxtail_steer::steering::{Outcome, Placement, Request as PlacementRequest};
use foxtail_steer::{Route, Steering};
use foxtail_types::prelude::*;

use crate::common::{config, options, record, record_outcome, route, service, upstream};

const ZONES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];
const STEP: Millis = Millis(10);
const WORK: Millis = Millis(80);
const NETWORK_DELAY: Millis = Millis(20);
const CONNECT_TIMEOUT: Millis = Millis(400);
const MAX_UPSTREAMS_PER_REQUEST: usize = 4;
/// How long callers keep the answer of a look-up.
const LOOKUP_TTL: Millis = Millis(3_000);
/// From this long after a cut began on, hosts that are cut off have to serve their callers.
const SETTLING_TIME: Millis = Millis(4_000);

/// How connections to upstreams fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Manner {
    /// No connection is accepted, and open ones deliver nothing.
    Hang,
    /// Connections are refused, and open ones are reset.
    Reset,
    /// New connections are refused, and open ones work.
    RefuseNew,
}

/// Hosts that are cut off from all upstreams, from one time to another.
#[derive(Clone, Copy)]
pub(crate) struct Cut {
    pub(crate) from: Millis,
    pub(crate) to: Millis,
    pub(crate) manner: Manner,
    /// Tells for each host whether it is cut off.
    pub(crate) affects: fn(usize) -> bool,
}

#[derive(Clone)]
pub(crate) struct Scenario {
    pub(crate) hosts: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) length: Millis,
    pub(crate) cuts: Vec<Cut>,
    /// Hosts that start again at some time without what they knew.
    pub(crate) restarts: Vec<(Millis, usize)>,
    pub(crate) homes: Vec<&'static str>,
    pub(crate) seed: u64,
}

/// Requests that callers sent to hosts which were cut off, and to others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) cut_off: usize,
    pub(crate) cut_off_served: usize,
    pub(crate) others: usize,
    pub(crate) others_served: usize,
}

struct Host {
    fleet: Fleet,
    reachability: Reachability,
    steering: Steering,
    next_tick: Millis,
    /// Upstreams to which connections are open.
    open: BTreeSet<UpstreamId>,
}

#[derive(Clone)]
struct Request {
    object: u64,
    sent_at: Millis,
    /// Whether the first host is cut off, for long enough to count.
    counts_as_cut_off: bool,
    counts: bool,
    first_host: usize,
    /// The hosts that the request passed, in order.
    passed: Vec<usize>,
    refused_by: Vec<HostId>,
    attempted: Vec<UpstreamId>,
}

enum Event {
    Digest(usize, Box<Digest>),
    Arrives(usize, Request),
    AttemptEnds(usize, Request, UpstreamId, Outcome),
    ProbesEnd(usize, Vec<ProbeOutcome>),
}

pub(crate) struct Simulation {
    scenario: Scenario,
    route: Route,
    hosts: Vec<Host>,
    events: BTreeMap<(Millis, u64), Event>,
    lookups: BTreeMap<u64, (Millis, Vec<usize>)>,
    pub(crate) counts: Counts,
    /// The most hosts that a request passed.
    pub(crate) most_passed: usize,
    /// The longest time until a request was served or refused, from [`SETTLING_TIME`] on.
    pub(crate) longest: Millis,
    pub(crate) left_homes: usize,
    pub(crate) relayed: usize,
    /// Rounds of probes of hosts while none is cut off.
    pub(crate) needless_probes: usize,
    random: u64,
    event_count: u64,
    now: Millis,
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let random = scenario.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut route = route("r");
        route.homes = scenario.homes.iter().map(|home| home.parse().unwrap()).collect();
        let hosts = (0..scenario.hosts).map(|n| new_host(n, &scenario, Millis::ZERO)).collect();
        let mut this = Self {
            scenario,
            route,
            hosts,
            events: BTreeMap::new(),
            lookups: BTreeMap::new(),
            counts: Counts::default(),
            most_passed: 0,
            longest: Millis::ZERO,
            left_homes: 0,
            relayed: 0,
            needless_probes: 0,
            random,
            event_count: 0,
            now: Millis::ZERO,
        };
        for n in 0..this.hosts.len() {
            this.hosts[n].next_tick = Millis(this.below(DIGEST_INTERVAL.0));
            this.join(n);
        }
        this
    }

    pub(crate) fn play(mut self) -> Self {
        let mut due = 0.0;
        while self.now < self.scenario.length {
            for (at, host) in self.scenario.restarts.clone() {
                if at == self.now {
                    self.hosts[host] = new_host(host, &self.scenario, self.now);
                    self.join(host);
                }
            }
            while let Some(entry) =
                self.events.first_entry().filter(|entry| entry.key().0 <= self.now)
            {
                let event = entry.remove();
                self.handle(event);
            }
            for n in 0..self.hosts.len() {
                if self.hosts[n].next_tick <= self.now {
                    self.hosts[n].next_tick = self.now + DIGEST_INTERVAL;
                    self.tick(n);
                }
                self.probe_if_due(n);
            }
            due += self.scenario.requests_per_s * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.send_request();
            }
            self.now = self.now + STEP;
        }
        self
    }

    fn schedule(&mut self, delay: Millis, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    fn cut(&self, host: usize) -> Option<Cut> {
        let active = |cut: &&Cut| (cut.from..cut.to).contains(&self.now) && (cut.affects)(host);
        self.scenario.cuts.iter().find(active).copied()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Digest(n, digest) => {
                let now = self.now;
                self.hosts[n].fleet.receive(&digest, now);
                if digest.reply {
                    let reply = self.hosts[n].fleet.reply(now);
                    self.post(host_index(&digest.from.id), reply);
                }
            }
            Event::Arrives(n, request) => self.serve(n, request),
            Event::AttemptEnds(n, request, id, outcome) => {
                self.end_attempt(n, request, &id, outcome);
            }
            Event::ProbesEnd(n, outcomes) => {
                let host = &mut self.hosts[n];
                if host.reachability.record_probes(&outcomes, self.now).is_some() {
                    let lost = host.reachability.is_lost();
                    host.fleet.set_upstreams_lost(lost);
                    if lost {
                        host.open.clear();
                    }
                    let notice = host.fleet.own_digest(self.now);
                    for to in (0..self.hosts.len()).filter(|to| region_of(*to) == region_of(n)) {
                        self.post(to, notice.clone());
                    }
                }
            }
        }
    }

    /// A caller sends a request to a host that its last look-up named.
    fn send_request(&mut self) {
        let caller = self.below(200);
        let location = caller as usize % ZONES.len();
        let lookup = self.lookups.get(&caller).filter(|(expires, _)| *expires > self.now);
        let named = match lookup {
            Some((_, named)) => named.clone(),
            None => {
                let directory = self.below(self.hosts.len() as u64) as usize;
                let zone: ZoneId = ZONES[location].parse().unwrap();
                let region: RegionId = ZONES[location][..1].parse().unwrap();
                let found = self.hosts[directory].fleet.entry_hosts(&region, &zone, self.now);
                let named: Vec<usize> = found.iter().map(|host| host_index(&host.id)).collect();
                self.lookups.insert(caller, (self.now + LOOKUP_TTL, named.clone()));
                named
            }
        };
        // Some callers can't look up, and use any host.
        let any = self.below(self.hosts.len() as u64) as usize;
        let first_host = match named.len() {
            0 => any,
            _ if self.below(5) == 0 => any,
            count => named[self.below(count as u64) as usize],
        };
        let cuts_begin = self.scenario.cuts.iter().map(|cut| cut.from + SETTLING_TIME);
        let settled = cuts_begin.min().is_some_and(|from| self.now >= from);
        let cut = self.cut(first_host);
        let request = Request {
            object: self.below(48),
            sent_at: self.now,
            counts_as_cut_off: cut.is_some(),
            counts: settled && cut.is_none_or(|cut| self.now >= cut.from + SETTLING_TIME),
            first_host,
            passed: Vec::new(),
            refused_by: Vec::new(),
            attempted: Vec::new(),
        };
        self.serve(first_host, request);
    }

    fn serve(&mut self, n: usize, mut request: Request) {
        if request.passed.last() != Some(&n) {
            request.passed.push(n);
        }
        if self.hosts[n].reachability.is_lost() {
            return self.relay_or_refuse(n, request);
        }
        let (service, now) = (service(), self.now);
        let placement = PlacementRequest {
            route: &self.route,
            service: &service,
            object: Some(request.object),
            age: now.since(request.sent_at),
            tried: &request.attempted,
        };
        let host = &mut self.hosts[n];
        let Placement::Send { up, .. } = host.steering.place(&placement, &host.fleet, now) else {
            if host.reachability.is_suspected(now) {
                return self.relay_or_refuse(n, request);
            }
            return self.end(&request, false);
        };
        host.steering.record_sent(&up.id, now);
        host.reachability.record_sent(now);
        let is_open = host.open.contains(&up.id);
        let (outcome, delay) = match self.cut(n).map(|cut| cut.manner) {
            None => (Outcome::Answered, WORK),
            Some(Manner::RefuseNew) if is_open => (Outcome::Answered, WORK),
            Some(Manner::Hang) => (Outcome::Unreachable, CONNECT_TIMEOUT),
            Some(Manner::Reset | Manner::RefuseNew) => (Outcome::Unreachable, STEP),
        };
        if outcome == Outcome::Answered && !self.is_home(up.zone.as_str()) {
            self.left_homes += 1;
        }
        self.schedule(delay, Event::AttemptEnds(n, request, up.id, outcome));
    }

    fn is_home(&self, zone: &str) -> bool {
        self.scenario.homes.is_empty() || self.scenario.homes.contains(&&zone[..1])
    }

    fn end_attempt(&mut self, n: usize, mut request: Request, id: &UpstreamId, outcome: Outcome) {
        let now = self.now;
        let host = &mut self.hosts[n];
        let answered = outcome == Outcome::Answered;
        record_outcome(&mut host.steering, id, request.object, outcome, WORK, now);
        host.reachability.record_ended(answered, now);
        if answered {
            if host.open.insert(id.clone()) {
                host.reachability.record_new_connection();
            }
            return self.end(&request, true);
        }
        host.reachability.record_failure(id, now);
        request.attempted.push(id.clone());
        let is_suspected = host.reachability.is_suspected(now);
        // A host that a request is relayed to passes on no doubts to the caller.
        if n != request.first_host || is_suspected {
            return self.relay_or_refuse(n, request);
        }
        if request.attempted.len() == MAX_UPSTREAMS_PER_REQUEST {
            return self.end(&request, false);
        }
        self.serve(n, request);
    }

    fn relay_or_refuse(&mut self, n: usize, mut request: Request) {
        if n != request.first_host {
            // Only the first host offers a request to others.
            request.refused_by.push(host_id(n));
            if self.hosts[n].reachability.is_lost() {
                self.hosts[request.first_host].fleet.record_upstreams_lost(&host_id(n));
            }
            request.attempted.clear();
            return self.relay_or_refuse(request.first_host, request);
        }
        let key = request.sent_at.0 ^ request.object << 32;
        let fleet = &self.hosts[n].fleet;
        let target = fleet.relay_target(&self.route, key, &request.refused_by, self.now);
        let Some(target) = target.filter(|_| request.refused_by.len() < MAX_RELAY_OFFERS) else {
            return self.end(&request, false);
        };
        let to = host_index(&target.id);
        if !self.is_home(zone_of(to)) {
            self.left_homes += 1;
        }
        self.relayed += 1;
        // Each host that the request is offered to gets it from the first one.
        request.passed.truncate(1);
        request.attempted.clear();
        self.schedule(NETWORK_DELAY, Event::Arrives(to, request));
    }

    fn end(&mut self, request: &Request, served: bool) {
        self.most_passed = self.most_passed.max(request.passed.len());
        if !request.counts {
            return;
        }
        self.longest = self.longest.max(self.now.since(request.sent_at));
        let counts = &mut self.counts;
        if request.counts_as_cut_off {
            counts.cut_off += 1;
            counts.cut_off_served += usize::from(served);
        } else {
            counts.others += 1;
            counts.others_served += usize::from(served);
        }
    }

    fn tick(&mut self, n: usize) {
        let digest = self.hosts[n].fleet.digest(self.now);
        let to = self.random_host(|to| to != n && region_of(to) == region_of(n));
        self.post(to, digest);
        if self.hosts[n].fleet.is_reader(self.now) {
            let digest = self.hosts[n].fleet.regional_digest(self.now);
            let to = self.random_host(|to| region_of(to) != region_of(n));
            self.post(to, digest);
        }
    }

    fn probe_if_due(&mut self, n: usize) {
        let now = self.now;
        let host = &mut self.hosts[n];
        let others_lost = host.fleet.others_lost_upstreams(now);
        let reasons = ProbeReasons { others_lost, unconfirmed_strikes: false };
        let Some(round) = host.reachability.begin_probes(reasons, now) else { return };
        let count = host.steering.upstreams_to_probe(round, now).len();
        let any_cut =
            self.scenario.cuts.iter().any(|cut| (cut.from..cut.to + SETTLING_TIME).contains(&now));
        self.needless_probes += usize::from(!any_cut);
        let (outcome, delay) = match self.cut(n).map(|cut| cut.manner) {
            None => (ProbeOutcome::Answered, WORK),
            Some(Manner::Hang) => (ProbeOutcome::Failed, PROBE_TIMEOUT),
            Some(Manner::Reset | Manner::RefuseNew) => (ProbeOutcome::Failed, STEP),
        };
        self.schedule(delay, Event::ProbesEnd(n, vec![outcome; count]));
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
            self.post(to, request.clone());
        }
        for to in told {
            self.post(to, own.clone());
        }
    }

    fn post(&mut self, to: usize, digest: Digest) {
        self.schedule(NETWORK_DELAY, Event::Digest(to, Box::new(digest)));
    }

    fn random_host(&mut self, is_candidate: impl Fn(usize) -> bool) -> usize {
        loop {
            let host = self.below(self.hosts.len() as u64) as usize;
            if is_candidate(host) {
                return host;
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
    let mut fleet = Fleet::new(record_of(n), now, Millis::secs(1_000_000) + now);
    for other in 0..scenario.hosts {
        fleet.add_host(record_of(other), now);
    }
    fleet.set_phase(Phase::Serving);
    fleet.mark_registrations_read();
    let mut steering = Steering::new(options(host_id(n).as_str(), region_of(n)));
    steering.set_config(config(1, 5.0));
    for u in 0..3 * scenario.hosts {
        steering.set_upstream(upstream(&format!("u{u}"), zone_of(u)), now);
    }
    let reachability = Reachability::default();
    Host { fleet, reachability, steering, next_tick: now, open: BTreeSet::new() }
}

fn record_of(n: usize) -> foxtail_steer::fleet::HostRecord {
    let mut record = record(host_id(n).as_str(), zone_of(n));
    record.peer = format!("127.0.0.1:{}", 10_000 + n).parse().unwrap();
    record
}

fn host_id(n: usize) -> HostId {
    format!("h{n}").parse().unwrap()
}

fn host_index(id: &HostId) -> usize {
    id.as_str()[1..].parse().unwrap()
}

pub(crate) fn zone_of(n: usize) -> &'static str {
    ZONES[n % ZONES.len()]
}

fn region_of(n: usize) -> &'static str {
    &zone_of(n)[..1]
}
