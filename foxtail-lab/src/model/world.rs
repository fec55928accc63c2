//! The events of a run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use foxtail_steer::fleet::{HostRecord, Phase};
use foxtail_steer::steering::{AttemptReport, Options, Outcome, Placement, Request as Wanted};
use foxtail_steer::{Fleet, Route, Steering, Upstream as Registered, retry};
use foxtail_types::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::setup::Demand;
use super::upstream::{Taken, Upstream};
use super::{Figures, Policy, Setup};
use crate::shape::{SLOTS, WARM_SHARE};

/// There and back between regions, and within one.
const FAR: Millis = Millis(70);
const NEAR: Millis = Millis(1);

/// How often hosts of a region tell each other of loads, where they do.
const SHARE_EVERY: Millis = Millis(30);

/// How far work scatters around its mean, as a share.
const WORK_SPREAD: f64 = 0.15;

/// How often a caller comes back after a refusal.
const RETURNS_MOST: u32 = 2;

/// Callers are refused where the answer is expected later than this many objectives.
const REFUSE_FACTOR: f64 = 1.4;

/// Callers are told to come back after at least this long.
const COME_BACK: Millis = Millis(50);

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next request of a demand comes.
    Next(usize),
    /// A request reaches its host.
    AtHost(usize),
    /// A request reaches its upstream.
    AtUpstream(usize),
    /// An upstream is done with a request.
    Done(usize),
    /// An upstream's answer or refusal reaches the host.
    Back(usize, bool),
    /// Hosts tell each other of loads.
    Share,
}

struct Request {
    demand: usize,
    object: u64,
    host: usize,
    /// When the caller sent it first, and this time.
    first: Millis,
    sent: Millis,
    returns: u32,
    tried: Vec<UpstreamId>,
    /// Where it is, when it was sent there, and how long it was expected to wait.
    at: usize,
    left: Millis,
    wait_ms: f64,
}

struct Host {
    region: RegionId,
    steering: Steering,
    fleet: Fleet,
}

struct World<'a> {
    setup: &'a Setup,
    policy: Policy,
    demand: Vec<Demand>,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    ids: Vec<UpstreamId>,
    /// How many requests are on their way to each upstream.
    on_way: Vec<usize>,
    requests: Vec<Request>,
    /// Requests that wait for a slot where one queue deals them out.
    queue: Vec<usize>,
    events: BinaryHeap<Reverse<(Millis, usize, Event)>>,
    happened: usize,
    now: Millis,
    rng: SmallRng,
    figures: Figures,
}

/// Plays `setup` under `policy`, and tells what callers got.
pub fn run(setup: &Setup, policy: Policy) -> Figures {
    let mut world = World::new(setup, policy);
    for demand in 0..world.demand.len() {
        world.next(demand);
    }
    if policy == Policy::SharedLoad {
        world.at(SHARE_EVERY, Event::Share);
    }
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        world.happen(event);
    }
    world.figures
}

impl<'a> World<'a> {
    fn new(setup: &'a Setup, policy: Policy) -> Self {
        let shape = &setup.shape;
        let upstreams: Vec<Upstream> =
            setup.upstreams().into_iter().map(|up| Upstream::new(up, setup.cached)).collect();
        let ids = upstreams.iter().map(|up| up.setup.id.clone()).collect();
        let on_way = vec![0; upstreams.len()];
        let mut world = Self {
            setup,
            policy,
            demand: setup.demand(),
            hosts: Vec::new(),
            upstreams,
            ids,
            on_way,
            requests: Vec::new(),
            queue: Vec::new(),
            events: BinaryHeap::new(),
            happened: 0,
            now: Millis::ZERO,
            rng: SmallRng::seed_from_u64(setup.seed),
            figures: Figures::default(),
        };
        for region in &shape.regions {
            for n in 0..setup.hosts {
                let host = world.host(region, n);
                world.hosts.push(host);
            }
        }
        world
    }

    fn host(&self, region: &RegionId, n: usize) -> Host {
        let zones = &self.setup.shape.zones;
        let (zone, _) = zones.iter().find(|(_, of)| *of == region).expect("a region has zones");
        let id: HostId = format!("{region}-{n}").parse().expect("the names are valid");
        let options = Options {
            host: id.clone(),
            region: region.clone(),
            zones: zones.clone(),
            retry: retry::Options { ratio: 0.2, slack: 100.0, window: Millis::secs(10) },
            refuse_factor: REFUSE_FACTOR,
            shift_cap: 0.15,
        };
        let mut steering = Steering::new(options);
        steering.set_config(self.setup.shape.config());
        let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        for (up, id) in self.upstreams.iter().zip(&self.ids) {
            let registered = Registered {
                id: id.clone(),
                service: up.setup.service.clone(),
                addr: nowhere,
                zone: up.setup.zone.clone(),
                slots: SLOTS,
                draining: false,
                cold_for: Millis::ZERO,
                started: None,
            };
            steering.set_upstream(registered, Millis::ZERO);
        }
        let (caller, peer) = (nowhere, nowhere);
        let (zone, region) = (zone.clone(), region.clone());
        let record = HostRecord { id, region: region.clone(), zone, caller, peer, operator: None };
        let mut fleet = Fleet::new(record, Millis::ZERO, Millis::secs(1));
        fleet.set_phase(Phase::Serving);
        Host { region, steering, fleet }
    }

    fn at(&mut self, after: Millis, event: Event) {
        self.happened += 1;
        self.events.push(Reverse((self.now + after, self.happened, event)));
    }

    /// Draws when the next request of `demand` comes.
    fn next(&mut self, demand: usize) {
        let Demand { region, per_s, .. } = &self.demand[demand];
        // The rate changes little between two requests.
        let per_s = per_s * self.setup.wave(region, self.now).max(0.05);
        let secs = -(1.0 - self.rng.random::<f64>()).ln() / per_s;
        let after = Millis((secs * 1_000.0).ceil() as u64);
        if self.now + after < self.setup.span {
            self.at(after, Event::Next(demand));
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Next(demand) => {
                self.arrive(demand);
                self.next(demand);
            }
            Event::AtHost(request) => self.place(request),
            Event::AtUpstream(request) => self.offer(request),
            Event::Done(request) => self.done(request),
            Event::Back(request, ran) => self.back(request, ran),
            Event::Share => self.share(),
        }
    }

    fn arrive(&mut self, demand: usize) {
        let region = &self.demand[demand].region;
        self.figures.request(&self.demand[demand].route.name);
        let near: Vec<usize> =
            (0..self.hosts.len()).filter(|at| self.hosts[*at].region == *region).collect();
        let host = *near.choose(&mut self.rng).expect("a region has hosts");
        let regions = &self.setup.shape.regions;
        let place = regions.iter().position(|known| known == region).unwrap_or(0) as u64;
        let object = self.rng.random_range(0..self.setup.objects) + self.setup.objects * place;
        self.requests.push(Request {
            demand,
            object,
            host,
            first: self.now,
            sent: self.now,
            returns: 0,
            tried: Vec::new(),
            at: 0,
            left: Millis::ZERO,
            wait_ms: 0.0,
        });
        self.at(self.caller_way(), Event::AtHost(self.requests.len() - 1));
    }

    fn caller_way(&self) -> Millis {
        Millis(self.setup.shape.caller_round_trip.0 / 2)
    }

    fn route(&self, request: usize) -> &Route {
        &self.demand[self.requests[request].demand].route
    }

    fn place(&mut self, request: usize) {
        let service = self.route(request).parts[0].service.clone();
        let host = self.requests[request].host;
        let hosts = self.hosts.len();
        self.hosts[host].steering.record_request(&service, hosts, self.now);
        match self.policy {
            Policy::OwnedSlots | Policy::Ideal => {
                self.queue.push(request);
                self.deal();
            }
            Policy::Random => {
                let near = self.near(host, &service);
                match near.choose(&mut self.rng) {
                    Some(at) => self.send(request, *at, 0.0),
                    None => self.refuse(request, COME_BACK),
                }
            }
            Policy::Earliest => self.place_earliest(request, &service),
            Policy::Steering | Policy::SharedLoad => self.place_steering(request, &service),
        }
    }

    fn near(&self, host: usize, service: &ServiceId) -> Vec<usize> {
        let region = &self.hosts[host].region;
        let fits = |at: &usize| {
            let up = &self.upstreams[*at];
            up.setup.region == *region && up.setup.service == *service
        };
        (0..self.upstreams.len()).filter(fits).collect()
    }

    fn place_earliest(&mut self, request: usize, service: &ServiceId) {
        let host = self.requests[request].host;
        let tried = &self.requests[request].tried;
        let work = self.work_ms(request);
        let expected = |at: usize| {
            let up = &self.upstreams[at];
            let waits = (up.inside() + 1).saturating_sub(SLOTS as usize) as f64 / f64::from(SLOTS);
            self.way(host, at).0 as f64 + work * (1.0 + waits)
        };
        let fits = |at: &usize| {
            let up = &self.upstreams[*at];
            up.setup.service == *service && !tried.contains(&self.ids[*at])
        };
        let best = (0..self.upstreams.len())
            .filter(fits)
            .map(|at| (at, expected(at)))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        let bound = self.route(request).objective.0 as f64 * REFUSE_FACTOR;
        match best {
            Some((at, expected)) if expected <= bound => self.send(request, at, 0.0),
            _ => self.refuse(request, COME_BACK),
        }
    }

    fn place_steering(&mut self, request: usize, service: &ServiceId) {
        let Request { host, object, sent, ref tried, demand, .. } = self.requests[request];
        let route = &self.demand[demand].route;
        let age = self.now.since(sent);
        let wanted = Wanted { route, service, object: Some(object), age, tried };
        let Host { steering, fleet, .. } = &mut self.hosts[host];
        match steering.place(&wanted, fleet, self.now) {
            Placement::Send { up, estimate } => {
                let at = self.ids.iter().position(|id| *id == up.id).expect("it is known");
                self.send(request, at, estimate.wait_ms);
            }
            Placement::Overloaded { retry_after, .. } => self.refuse(request, retry_after),
            Placement::NoUpstream => self.refuse(request, COME_BACK),
        }
    }

    fn way(&self, host: usize, upstream: usize) -> Millis {
        let near = self.hosts[host].region == self.upstreams[upstream].setup.region;
        match (near, self.policy) {
            (_, Policy::Ideal) => Millis::ZERO,
            (true, _) => NEAR,
            (false, _) => FAR,
        }
    }

    fn send(&mut self, request: usize, at: usize, wait_ms: f64) {
        let host = self.requests[request].host;
        self.hosts[host].steering.record_sent(&self.ids[at], self.now);
        let now = self.now;
        let one = &mut self.requests[request];
        (one.at, one.left, one.wait_ms) = (at, now, wait_ms);
        one.tried.push(self.ids[at].clone());
        self.on_way[at] += 1;
        let way = Millis(self.way(host, at).0.div_ceil(2));
        self.at(way, Event::AtUpstream(request));
    }

    /// Deals free slots to the requests that wait, the one with the earliest deadline first; those
    /// that can't be in time any more are refused.
    fn deal(&mut self) {
        let mut waiting = std::mem::take(&mut self.queue);
        waiting
            .sort_by_key(|request| self.requests[*request].sent + self.route(*request).objective);
        let is_free = |at: &usize| self.on_way[*at] + self.upstreams[*at].inside() < SLOTS as usize;
        let mut free: Vec<usize> = (0..self.upstreams.len()).filter(is_free).collect();
        for request in waiting {
            match self.best_of(&free, request) {
                Some(at) => {
                    self.send(request, at, 0.0);
                    // What is on its way to an upstream takes a slot as well.
                    if self.on_way[at] + self.upstreams[at].inside() >= SLOTS as usize {
                        free.retain(|other| *other != at);
                    }
                }
                None if self.is_hopeless(request) => self.refuse(request, COME_BACK),
                None => self.queue.push(request),
            }
        }
    }

    /// A free upstream, one that has the object cached if there is one.
    fn best_of(&self, free: &[usize], request: usize) -> Option<usize> {
        let Request { host, object, .. } = self.requests[request];
        let service = &self.route(request).parts[0].service;
        let fits = |at: &usize| {
            let up = &self.upstreams[*at].setup;
            let far = up.region != self.hosts[host].region;
            up.service == *service && (self.policy == Policy::Ideal || !far)
        };
        let cold = |at: &usize| !self.upstreams[*at].has(object);
        free.iter().copied().filter(fits).min_by_key(cold)
    }

    /// How long work on an object that is not cached takes.
    fn work_ms(&self, request: usize) -> f64 {
        self.route(request).objective.0 as f64 * self.setup.work
    }

    fn is_hopeless(&self, request: usize) -> bool {
        let waited = self.now.since(self.requests[request].sent);
        waited.0 as f64 > self.route(request).objective.0 as f64
    }

    fn offer(&mut self, request: usize) {
        let at = self.requests[request].at;
        self.on_way[at] -= 1;
        match self.upstreams[at].take(request) {
            Taken::Runs => self.work(request),
            Taken::Waits => {}
            Taken::Shed => {
                self.figures.shed += 1;
                let way = self.way(self.requests[request].host, at);
                self.at(Millis(way.0 / 2), Event::Back(request, false));
            }
        }
    }

    fn work(&mut self, request: usize) {
        let Request { at, object, .. } = self.requests[request];
        let spread = 1.0 + WORK_SPREAD * (self.rng.random::<f64>() * 2.0 - 1.0) * 3f64.sqrt();
        let left = self.upstreams[at].work_left(object);
        let left = if self.policy == Policy::Ideal { WARM_SHARE } else { left };
        let took = self.work_ms(request) * left * spread;
        self.at(Millis(took.max(1.0) as u64), Event::Done(request));
    }

    fn done(&mut self, request: usize) {
        let at = self.requests[request].at;
        if let Some(next) = self.upstreams[at].end() {
            self.work(next);
        }
        let way = self.way(self.requests[request].host, at);
        self.at(Millis(way.0 / 2), Event::Back(request, true));
        if self.policy.has_queue() {
            self.deal();
        }
    }

    fn back(&mut self, request: usize, ran: bool) {
        let Request { host, object, at, left, wait_ms, first, .. } = self.requests[request];
        let route = self.route(request).clone();
        let service = &route.parts[0].service;
        let report = AttemptReport {
            id: &self.ids[at],
            service,
            objective: route.objective,
            object: Some(object),
            outcome: if ran { Outcome::Answered } else { Outcome::Shed },
            took: self.now.since(left),
            wait_ms,
            load: Some(self.upstreams[at].load()),
        };
        self.hosts[host].steering.record_outcome(&report, self.now);
        if ran {
            let took = self.now.since(first) + self.caller_way();
            self.figures.answered(&route.name, took, route.objective);
            let crossed = self.hosts[host].region != self.upstreams[at].setup.region;
            self.figures.crossed += usize::from(crossed);
            return;
        }
        let hosts = self.hosts.len();
        let again = (self.requests[request].tried.len() as u32) < route.max_attempts
            && self.hosts[host].steering.try_take_retry(service, hosts, self.now);
        if again {
            self.place(request);
        } else {
            self.refuse(request, COME_BACK);
        }
    }

    /// Tells the caller to come back, which it does if it still waits then.
    fn refuse(&mut self, request: usize, after: Millis) {
        let until = self.requests[request].first + self.route(request).timeout;
        let back_at = self.now + after + self.setup.shape.caller_round_trip;
        let one = &mut self.requests[request];
        if one.returns < RETURNS_MOST && back_at < until {
            one.returns += 1;
            one.tried.clear();
            one.sent = self.now + after + Millis(self.setup.shape.caller_round_trip.0 / 2);
            self.at(after + self.setup.shape.caller_round_trip, Event::AtHost(request));
        }
    }

    /// The hosts of a region tell each other what each has under way, as one that sees all.
    fn share(&mut self) {
        let loads: BTreeMap<usize, _> =
            self.upstreams.iter().enumerate().map(|(at, up)| (at, up.load())).collect();
        for host in &mut self.hosts {
            for (at, load) in &loads {
                if self.upstreams[*at].setup.region == host.region {
                    host.steering.record_load(&self.ids[*at], *load, self.now);
                }
            }
        }
        if self.now < self.setup.span {
            self.at(SHARE_EVERY, Event::Share);
        }
    }
}
