//! The events of a simulation in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use foxtail_steer::fleet::{HostRecord, Phase};
use foxtail_steer::steering::{
    AttemptReport, Options, Outcome, Placement, Request as PlacementRequest,
};
use foxtail_steer::{Fleet, Route, Steering, Upstream as Registered, retry};
use foxtail_types::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::setup::RouteDemand;
use super::upstream::{Admission, Upstream};
use super::{Policy, Results, Setup};
use crate::spec::{SLOTS_PER_UPSTREAM, WARM_WORK_SHARE};

/// The round-trip times between regions and within one.
const INTER_REGION_ROUND_TRIP: Millis = Millis(70);
const INTRA_REGION_ROUND_TRIP: Millis = Millis(1);

/// How often hosts hear that others are alive.
const BEAT_INTERVAL: Millis = Millis(400);

/// The interval at which the hosts of a region learn loads under [`Policy::SharedLoad`].
const LOAD_SHARE_INTERVAL: Millis = Millis(30);

/// The standard deviation of work times as a share of their mean. They are distributed uniformly.
const WORK_STD_DEV: f64 = 0.15;

/// The most times that a caller sends a request again after a refusal.
const MAX_RESENDS: u32 = 2;

/// A request is refused if its answer is expected later than this many latency objectives.
const REFUSE_FACTOR: f64 = 1.4;

/// The retry time of refusals for which `foxtail_steer` computes none.
const DEFAULT_RETRY_AFTER: Millis = Millis(50);

/// An event of the simulation. Demands and requests are given by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends the next request of a demand.
    NextArrival(usize),
    /// A request arrives at its host.
    AtHost(usize),
    /// A request arrives at its upstream.
    AtUpstream(usize),
    /// An upstream finishes the work on a request.
    WorkDone(usize),
    /// An upstream's answer (true) or refusal (false) to a request arrives at the host.
    AnswerAtHost(usize, bool),
    /// The hosts of each region learn the loads of its upstreams.
    ShareLoads,
    /// All hosts learn that the others are alive.
    ShareBeats,
}

struct Request {
    demand: usize,
    object: u64,
    host: usize,
    /// When the caller sent it the first time, and the last time.
    first_sent: Millis,
    last_sent: Millis,
    resends: u32,
    tried: Vec<UpstreamId>,
    /// The upstream it was last sent to, when that was, and the expected wait there in
    /// milliseconds.
    upstream: usize,
    forwarded_at: Millis,
    wait_ms: f64,
}

struct Host {
    region: RegionId,
    steering: Steering,
    fleet: Fleet,
}

struct Simulation<'a> {
    setup: &'a Setup,
    policy: Policy,
    demand: Vec<RouteDemand>,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    upstream_ids: Vec<UpstreamId>,
    /// The number of requests in transit to each upstream.
    in_transit: Vec<usize>,
    requests: Vec<Request>,
    /// The requests that wait in the central queue for a free slot.
    queue: Vec<usize>,
    events: BinaryHeap<Reverse<(Millis, usize, Event)>>,
    scheduled_count: usize,
    now: Millis,
    rng: SmallRng,
    results: Results,
}

/// Simulates `setup` under `policy` and returns the answers that callers got.
pub fn run(setup: &Setup, policy: Policy) -> Results {
    let mut simulation = Simulation::new(setup, policy);
    for demand in 0..simulation.demand.len() {
        simulation.schedule_arrival(demand);
    }
    simulation.share_beats();
    if policy == Policy::SharedLoad {
        simulation.schedule(LOAD_SHARE_INTERVAL, Event::ShareLoads);
    }
    while let Some(Reverse((time, _, event))) = simulation.events.pop() {
        simulation.now = time;
        simulation.handle(event);
    }
    simulation.results
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup, policy: Policy) -> Self {
        let site = &setup.site;
        let upstreams: Vec<Upstream> = setup
            .upstreams()
            .into_iter()
            .map(|up| Upstream::new(up, setup.cached_objects))
            .collect();
        let upstream_ids = upstreams.iter().map(|up| up.setup.id.clone()).collect();
        let in_transit = vec![0; upstreams.len()];
        let mut simulation = Self {
            setup,
            policy,
            demand: setup.demand(),
            hosts: Vec::new(),
            upstreams,
            upstream_ids,
            in_transit,
            requests: Vec::new(),
            queue: Vec::new(),
            events: BinaryHeap::new(),
            scheduled_count: 0,
            now: Millis::ZERO,
            rng: SmallRng::seed_from_u64(setup.seed),
            results: Results::default(),
        };
        for region in &site.regions {
            for n in 0..setup.hosts_per_region {
                let host = simulation.new_host(region, n);
                simulation.hosts.push(host);
            }
        }
        simulation
    }

    /// Returns the host `n` of `region`, which serves and knows all upstreams.
    fn new_host(&self, region: &RegionId, n: usize) -> Host {
        let zones = &self.setup.site.zones;
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
        steering.set_config(self.setup.site.config());
        let unused_addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        for (up, id) in self.upstreams.iter().zip(&self.upstream_ids) {
            let registered = Registered {
                id: id.clone(),
                service: up.setup.service.clone(),
                addr: unused_addr,
                zone: up.setup.zone.clone(),
                slots: SLOTS_PER_UPSTREAM,
                draining: false,
                cold_for: Millis::ZERO,
                started: None,
            };
            steering.set_upstream(registered, Millis::ZERO);
        }
        let (caller, peer) = (unused_addr, unused_addr);
        let (zone, region) = (zone.clone(), region.clone());
        let record = HostRecord { id, region: region.clone(), zone, caller, peer, operator: None };
        let mut fleet = Fleet::new(record, Millis::ZERO, Millis::secs(1));
        fleet.set_phase(Phase::Serving);
        Host { region, steering, fleet }
    }

    fn schedule(&mut self, after: Millis, event: Event) {
        self.scheduled_count += 1;
        self.events.push(Reverse((self.now + after, self.scheduled_count, event)));
    }

    /// Schedules the next request of `demand` at a random time, unless the load ends before.
    fn schedule_arrival(&mut self, demand: usize) {
        let RouteDemand { region, requests_per_s, .. } = &self.demand[demand];
        // The current rate is used, since it changes little until the next request. The factor has
        // a lower bound, since it is zero or negative in the troughs of a swing of 1 or more.
        let requests_per_s = requests_per_s * self.setup.rate_factor(region, self.now).max(0.05);
        let secs = -(1.0 - self.rng.random::<f64>()).ln() / requests_per_s;
        let after = Millis((secs * 1_000.0).ceil() as u64);
        if self.now + after < self.setup.duration {
            self.schedule(after, Event::NextArrival(demand));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NextArrival(demand) => {
                self.arrive(demand);
                self.schedule_arrival(demand);
            }
            Event::AtHost(request) => self.place_request(request),
            Event::AtUpstream(request) => self.arrive_at_upstream(request),
            Event::WorkDone(request) => self.finish_work(request),
            Event::AnswerAtHost(request, ran) => self.handle_answer(request, ran),
            Event::ShareLoads => self.share_loads(),
            Event::ShareBeats => self.share_beats(),
        }
    }

    /// Lets each host hear of all others, as digests do.
    fn share_beats(&mut self) {
        let now = self.now;
        let digests: Vec<_> =
            self.hosts.iter_mut().map(|host| host.fleet.own_digest(now)).collect();
        for host in &mut self.hosts {
            for digest in &digests {
                host.fleet.receive(digest, now);
            }
        }
        if now + BEAT_INTERVAL < self.setup.duration {
            self.schedule(BEAT_INTERVAL, Event::ShareBeats);
        }
    }

    fn arrive(&mut self, demand: usize) {
        let region = &self.demand[demand].region;
        self.results.count_request(region, &self.demand[demand].route.name);
        let local_hosts: Vec<usize> =
            (0..self.hosts.len()).filter(|host| self.hosts[*host].region == *region).collect();
        let host = *local_hosts.choose(&mut self.rng).expect("a region has hosts");
        let regions = &self.setup.site.regions;
        let region_index = regions.iter().position(|known| known == region).unwrap_or(0) as u64;
        let object = self.rng.random_range(0..self.setup.objects_per_region)
            + self.setup.objects_per_region * region_index;
        self.requests.push(Request {
            demand,
            object,
            host,
            first_sent: self.now,
            last_sent: self.now,
            resends: 0,
            tried: Vec::new(),
            upstream: 0,
            forwarded_at: Millis::ZERO,
            wait_ms: 0.0,
        });
        self.schedule(self.caller_one_way(), Event::AtHost(self.requests.len() - 1));
    }

    fn caller_one_way(&self) -> Millis {
        Millis(self.setup.site.caller_round_trip.0 / 2)
    }

    fn route(&self, request: usize) -> &Route {
        &self.demand[self.requests[request].demand].route
    }

    fn place_request(&mut self, request: usize) {
        let service = self.route(request).parts[0].service.clone();
        let host = self.requests[request].host;
        let host_count = self.hosts.len();
        self.hosts[host].steering.record_request(&service, host_count, self.now);
        match self.policy {
            Policy::OwnedSlots | Policy::Ideal => {
                self.queue.push(request);
                self.dispatch_queue();
            }
            Policy::Random => {
                let upstreams = self.local_upstreams(host, &service);
                match upstreams.choose(&mut self.rng) {
                    Some(upstream) => self.send(request, *upstream, 0.0),
                    None => self.refuse(request, DEFAULT_RETRY_AFTER),
                }
            }
            Policy::Earliest => self.place_earliest(request, &service),
            Policy::Steering | Policy::SharedLoad => self.place_steering(request, &service),
        }
    }

    fn local_upstreams(&self, host: usize, service: &ServiceId) -> Vec<usize> {
        let region = &self.hosts[host].region;
        let fits = |upstream: &usize| {
            let up = &self.upstreams[*upstream];
            up.setup.region == *region && up.setup.service == *service
        };
        (0..self.upstreams.len()).filter(fits).collect()
    }

    fn place_earliest(&mut self, request: usize, service: &ServiceId) {
        let host = self.requests[request].host;
        let tried = &self.requests[request].tried;
        let work_ms = self.uncached_work_ms(request);
        let expected = |upstream: usize| {
            let up = &self.upstreams[upstream];
            // The expected wait for a slot, as a multiple of the time of work.
            let waits = (up.in_flight() + 1).saturating_sub(SLOTS_PER_UPSTREAM as usize) as f64
                / f64::from(SLOTS_PER_UPSTREAM);
            self.round_trip(host, upstream).0 as f64 + work_ms * (1.0 + waits)
        };
        let fits = |upstream: &usize| {
            let up = &self.upstreams[*upstream];
            up.setup.service == *service && !tried.contains(&self.upstream_ids[*upstream])
        };
        let best = (0..self.upstreams.len())
            .filter(fits)
            .map(|upstream| (upstream, expected(upstream)))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        let bound = self.route(request).objective.0 as f64 * REFUSE_FACTOR;
        match best {
            Some((upstream, expected)) if expected <= bound => self.send(request, upstream, 0.0),
            _ => self.refuse(request, DEFAULT_RETRY_AFTER),
        }
    }

    fn place_steering(&mut self, request: usize, service: &ServiceId) {
        let Request { host, object, last_sent, ref tried, demand, .. } = self.requests[request];
        let route = &self.demand[demand].route;
        let age = self.now.since(last_sent);
        let placement_request =
            PlacementRequest { route, service, object: Some(object), age, tried };
        let Host { steering, fleet, .. } = &mut self.hosts[host];
        match steering.place(&placement_request, fleet, self.now) {
            Placement::Send { up, estimate } => {
                let upstream = self
                    .upstream_ids
                    .iter()
                    .position(|id| *id == up.id)
                    .expect("the upstream is known");
                self.send(request, upstream, estimate.wait_ms);
            }
            Placement::Overloaded { retry_after, .. } => self.refuse(request, retry_after),
            Placement::Limited { retry_after, .. } | Placement::Paused { retry_after, .. } => {
                self.refuse(request, retry_after)
            }
            Placement::NoUpstream => self.refuse(request, DEFAULT_RETRY_AFTER),
        }
    }

    fn round_trip(&self, host: usize, upstream: usize) -> Millis {
        let near = self.hosts[host].region == self.upstreams[upstream].setup.region;
        match (near, self.policy) {
            (_, Policy::Ideal) => Millis::ZERO,
            (true, _) => INTRA_REGION_ROUND_TRIP,
            (false, _) => INTER_REGION_ROUND_TRIP,
        }
    }

    fn send(&mut self, request: usize, upstream: usize, wait_ms: f64) {
        let host = self.requests[request].host;
        self.hosts[host].steering.record_sent(&self.upstream_ids[upstream], self.now);
        let now = self.now;
        let req = &mut self.requests[request];
        (req.upstream, req.forwarded_at, req.wait_ms) = (upstream, now, wait_ms);
        req.tried.push(self.upstream_ids[upstream].clone());
        self.in_transit[upstream] += 1;
        let delay = Millis(self.round_trip(host, upstream).0.div_ceil(2));
        self.schedule(delay, Event::AtUpstream(request));
    }

    /// Sends queued requests to upstreams with free slots, the one with the earliest latency
    /// objective first. Those that get no slot and are past their objective are refused.
    fn dispatch_queue(&mut self) {
        let mut waiting = std::mem::take(&mut self.queue);
        waiting.sort_by_key(|request| {
            self.requests[*request].last_sent + self.route(*request).objective
        });
        let is_free = |upstream: &usize| {
            self.in_transit[*upstream] + self.upstreams[*upstream].in_flight()
                < SLOTS_PER_UPSTREAM as usize
        };
        let mut free: Vec<usize> = (0..self.upstreams.len()).filter(is_free).collect();
        for request in waiting {
            match self.best_free_upstream(&free, request) {
                Some(upstream) => {
                    self.send(request, upstream, 0.0);
                    // Requests in transit to an upstream take a slot as well.
                    if self.in_transit[upstream] + self.upstreams[upstream].in_flight()
                        >= SLOTS_PER_UPSTREAM as usize
                    {
                        free.retain(|other| *other != upstream);
                    }
                }
                None if self.is_past_objective(request) => {
                    self.refuse(request, DEFAULT_RETRY_AFTER)
                }
                None => self.queue.push(request),
            }
        }
    }

    /// Returns a free upstream, if possible one that has the object cached.
    fn best_free_upstream(&self, free: &[usize], request: usize) -> Option<usize> {
        let Request { host, object, .. } = self.requests[request];
        let service = &self.route(request).parts[0].service;
        let fits = |upstream: &usize| {
            let up = &self.upstreams[*upstream].setup;
            let far = up.region != self.hosts[host].region;
            up.service == *service && (self.policy == Policy::Ideal || !far)
        };
        let cold = |upstream: &usize| !self.upstreams[*upstream].has_cached(object);
        free.iter().copied().filter(fits).min_by_key(cold)
    }

    /// Returns the time of work on an object that is not cached, in milliseconds.
    fn uncached_work_ms(&self, request: usize) -> f64 {
        self.route(request).objective.0 as f64 * self.setup.uncached_work
    }

    fn is_past_objective(&self, request: usize) -> bool {
        let waited = self.now.since(self.requests[request].last_sent);
        waited.0 as f64 > self.route(request).objective.0 as f64
    }

    fn arrive_at_upstream(&mut self, request: usize) {
        let upstream = self.requests[request].upstream;
        self.in_transit[upstream] -= 1;
        match self.upstreams[upstream].admit(request) {
            Admission::Runs => self.start_work(request),
            Admission::Waits => {}
            Admission::Shed => {
                self.results.shed += 1;
                let round_trip = self.round_trip(self.requests[request].host, upstream);
                self.schedule(Millis(round_trip.0 / 2), Event::AnswerAtHost(request, false));
            }
        }
    }

    fn start_work(&mut self, request: usize) {
        let Request { upstream, object, .. } = self.requests[request];
        let factor = 1.0 + WORK_STD_DEV * (self.rng.random::<f64>() * 2.0 - 1.0) * 3f64.sqrt();
        let share = self.upstreams[upstream].use_object(object);
        let share = if self.policy == Policy::Ideal { WARM_WORK_SHARE } else { share };
        let work_ms = self.uncached_work_ms(request) * share * factor;
        self.schedule(Millis(work_ms.max(1.0) as u64), Event::WorkDone(request));
    }

    fn finish_work(&mut self, request: usize) {
        let upstream = self.requests[request].upstream;
        if let Some(next) = self.upstreams[upstream].finish() {
            self.start_work(next);
        }
        let round_trip = self.round_trip(self.requests[request].host, upstream);
        self.schedule(Millis(round_trip.0 / 2), Event::AnswerAtHost(request, true));
        if self.policy.uses_central_queue() {
            self.dispatch_queue();
        }
    }

    fn handle_answer(&mut self, request: usize, ran: bool) {
        let Request { host, object, upstream, forwarded_at, wait_ms, first_sent, .. } =
            self.requests[request];
        let route = self.route(request).clone();
        let service = &route.parts[0].service;
        let report = AttemptReport {
            id: &self.upstream_ids[upstream],
            service,
            objective: route.objective,
            object: Some(object),
            outcome: if ran { Outcome::Answered } else { Outcome::Shed },
            took: self.now.since(forwarded_at),
            wait_ms,
            load: Some(self.upstreams[upstream].load()),
        };
        self.hosts[host].steering.record_outcome(&report, self.now);
        if ran {
            let latency = self.now.since(first_sent) + self.caller_one_way();
            let region = &self.hosts[host].region;
            let answered = (region, route.name.as_str());
            self.results.count_answer(answered, latency, route.objective);
            let crossed = *region != self.upstreams[upstream].setup.region;
            self.results.cross_region += usize::from(crossed);
            return;
        }
        let host_count = self.hosts.len();
        let again = (self.requests[request].tried.len() as u32) < route.max_attempts
            && self.hosts[host].steering.try_take_retry(service, host_count, self.now);
        if again {
            self.place_request(request);
        } else {
            self.refuse(request, DEFAULT_RETRY_AFTER);
        }
    }

    /// Refuses a request. The caller sends it again `after` the refusal, unless its timeout ends
    /// before or it has sent the request again [`MAX_RESENDS`] times already.
    fn refuse(&mut self, request: usize, after: Millis) {
        let deadline = self.requests[request].first_sent + self.route(request).timeout;
        let resend_at_host = self.now + after + self.setup.site.caller_round_trip;
        let req = &mut self.requests[request];
        if req.resends < MAX_RESENDS && resend_at_host < deadline {
            req.resends += 1;
            req.tried.clear();
            req.last_sent = self.now + after + Millis(self.setup.site.caller_round_trip.0 / 2);
            self.schedule(after + self.setup.site.caller_round_trip, Event::AtHost(request));
        }
    }

    /// Gives the hosts of each region the exact loads of its upstreams, as if hosts shared what
    /// they know at once.
    fn share_loads(&mut self) {
        let loads: BTreeMap<usize, _> =
            self.upstreams.iter().enumerate().map(|(upstream, up)| (upstream, up.load())).collect();
        for host in &mut self.hosts {
            for (upstream, load) in &loads {
                if self.upstreams[*upstream].setup.region == host.region {
                    host.steering.record_load(&self.upstream_ids[*upstream], *load, self.now);
                }
            }
        }
        if self.now < self.setup.duration {
            self.schedule(LOAD_SHARE_INTERVAL, Event::ShareLoads);
        }
    }
}
