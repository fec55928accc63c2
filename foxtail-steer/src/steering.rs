//! What a host believes of the upstreams, and what it learns from the requests that it sends.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use foxtail_types::prelude::*;

use crate::estimate::{CacheSize, WorkTimes};
use crate::shift::ShiftLimiter;
use crate::upstream::{Load, Upstream};
use crate::{Config, RetryBudget, Route, Split, TokenBucket, retry};

pub use crate::placement::{Estimate, Placement, Request};

/// The share of the allowed rate that a cold upstream is given, so that two hosts which both take
/// themselves for its sender for a moment stay within what it bears.
const COLD_RATE_SHARE: f64 = 0.8;

/// How many requests a cold upstream may be sent at once.
const COLD_BURST_REQUESTS: f64 = 2.0;

/// Added to the time that an upstream says it stays cold, for the way of its word.
const COLD_MARGIN: Millis = Millis(300);

/// How many objects are remembered for each upstream.
const MAX_RECENT_OBJECTS: usize = 128;

/// How much one answer moves the pace and the error rate of an upstream.
const SMOOTHING_FACTOR: f64 = 0.3;

/// An upstream that could not be reached is left alone for this long, doubled each time.
const MIN_BACKOFF: Millis = Millis(300);

/// The longest an upstream is left alone between two tries.
const MAX_BACKOFF: Millis = Millis(3_000);

/// Consecutive lost answers after which an upstream is left alone for a moment.
const MAX_LOST_ANSWERS: u32 = 3;

/// An upstream that fails a larger share of its requests stands back for others.
const UNHEALTHY_ERROR_RATE: f64 = 0.5;

/// An upstream that takes more times as long as expected stands back for others.
const UNHEALTHY_SLOWDOWN: f64 = 2.0;

/// A reported load of others fades to its average over this many milliseconds.
const REPORT_DECAY_MS: f64 = 300.0;

/// How much one report moves the utilization of an upstream.
const UTILIZATION_SMOOTHING_FACTOR: f64 = 0.2;

/// A utilization fades over this many milliseconds without reports, so that an upstream which was
/// busy is tried again.
const UTILIZATION_DECAY_MS: f64 = 2_000.0;

/// A bad pace or error rate fades over this many milliseconds, so that the upstream is tried again.
const HEALTH_DECAY_MS: f64 = 4_000.0;

/// How often the slots of each region are counted.
const CAPACITY_INTERVAL: Millis = Millis(250);

/// The round trip within a region before any connection was made, in milliseconds.
const DEFAULT_NEAR_RTT_MS: f64 = 1.0;

/// The round trip to another region before any connection was made there, in milliseconds.
const DEFAULT_FAR_RTT_MS: f64 = 70.0;

/// How much one connection that took longer than the known round trip raises it.
const RTT_RISE_FACTOR: f64 = 0.01;

/// Who this host is and how it decides.
#[derive(Clone, Debug)]
pub struct Options {
    /// This host.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
    /// The region of each zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// The fleet's retry budget.
    pub retry: retry::Options,
    /// A request is refused if all slots are taken and its answer is expected later than this many
    /// latency objectives.
    pub refuse_factor: f64,
    /// The share of a region's requests that may change their region within two seconds.
    pub shift_cap: f64,
}

/// What a host believes of the upstreams.
#[derive(Debug)]
pub struct Steering {
    pub(crate) options: Options,
    /// All regions, each once.
    pub(crate) regions: Vec<RegionId>,
    pub(crate) cfg: Option<Arc<Config>>,
    pub(crate) upstreams: Vec<UpstreamState>,
    pub(crate) index_by_id: HashMap<UpstreamId, usize>,
    pub(crate) indices_by_service: HashMap<ServiceId, Vec<usize>>,
    pub(crate) work_times: HashMap<ServiceId, Vec<(Millis, WorkTimes)>>,
    pub(crate) cache_sizes: HashMap<ServiceId, CacheSize>,
    pub(crate) evacuated_zones: BTreeSet<ZoneId>,
    pub(crate) rtt_ms: HashMap<ZoneId, f64>,
    pub(crate) shift: ShiftLimiter,
    capacity_counted_at: Millis,
    split: Split,
    retries: RetryBudget,
}

/// One upstream and what is believed of it.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) up: Upstream,
    pub(crate) region: RegionId,
    /// Its registration is gone, or another upstream answered at its address.
    pub(crate) removed: bool,
    pub(crate) cold_until: Millis,
    pub(crate) warm_up_tokens: TokenBucket,
    /// Requests of this host that it has.
    pub(crate) own_requests: u32,
    /// Requests of others at the last report, and their average over all reports.
    pub(crate) other_requests: f64,
    pub(crate) other_requests_avg: f64,
    pub(crate) reported_at: Option<Millis>,
    utilization: f64,
    /// How long its work takes against what was expected.
    pub(crate) slowdown: f64,
    /// The share of requests that it failed or shed.
    pub(crate) error_rate: f64,
    pub(crate) health_updated_at: Millis,
    pub(crate) backoff_until: Millis,
    connect_failures: u32,
    lost_answers: u32,
    pub(crate) recent_objects: RecentObjects,
}

/// The objects that an upstream handled last.
#[derive(Debug, Default)]
pub(crate) struct RecentObjects {
    order: VecDeque<u64>,
}

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It gave its own answer, good or bad.
    Answered,
    /// It said that it did not run the request.
    Shed,
    /// Another upstream has the address.
    WrongInstance,
    /// No connection could be made, and nothing was sent.
    Unreachable,
    /// The connection broke, or what came was no answer to the request.
    Broken,
    /// No answer in time.
    TimedOut,
    /// The caller left.
    Cancelled,
}

/// What is known when a request has ended at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport<'a> {
    /// The upstream.
    pub id: &'a UpstreamId,
    /// The request's service and objective.
    pub service: &'a ServiceId,
    /// The latency objective of its route.
    pub objective: Millis,
    /// The object that it was about.
    pub object: Option<u64>,
    /// How it ended.
    pub outcome: Outcome,
    /// From sending to the head of the answer.
    pub took: Millis,
    /// How much of it was expected to be waiting for a slot, in milliseconds.
    pub wait_ms: f64,
    /// The load that the upstream reported.
    pub load: Option<Load>,
}

impl Steering {
    /// A host that knows nothing yet.
    pub fn new(options: Options) -> Self {
        let retries = RetryBudget::new(options.retry);
        let shift = ShiftLimiter::new(options.shift_cap);
        let regions = regions(&options);
        Self {
            options,
            regions,
            cfg: None,
            upstreams: Vec::new(),
            index_by_id: HashMap::new(),
            indices_by_service: HashMap::new(),
            work_times: HashMap::new(),
            cache_sizes: HashMap::new(),
            evacuated_zones: BTreeSet::new(),
            rtt_ms: HashMap::new(),
            shift,
            capacity_counted_at: Millis::ZERO,
            split: Split::default(),
            retries,
        }
    }

    /// Decides by `options` from now on.
    pub fn set_options(&mut self, options: Options) {
        self.shift.set_cap(options.shift_cap);
        self.retries.set_options(options.retry);
        self.regions = regions(&options);
        self.options = options;
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.cfg.as_ref()
    }

    /// Puts `cfg` in force if it is newer, and tells whether it was.
    pub fn set_config(&mut self, cfg: Config) -> bool {
        if self.cfg.as_ref().is_some_and(|current| current.version >= cfg.version) {
            return false;
        }
        self.split.retain(|name| cfg.routes().iter().any(|route| route.name == name));
        for by_objective in self.work_times.values_mut() {
            by_objective
                .retain(|(kind, _)| cfg.routes().iter().any(|route| route.objective == *kind));
        }
        self.cfg = Some(Arc::new(cfg));
        true
    }

    /// Takes in a registration, new or changed.
    pub fn set_upstream(&mut self, up: Upstream, now: Millis) {
        // The settings name all zones; an upstream in another one is taken for near.
        let region = self.options.zones.get(&up.zone).unwrap_or(&self.options.region).clone();
        self.upsert(up, region, now);
    }

    /// Takes a registration out.
    pub fn remove_upstream(&mut self, id: &UpstreamId) {
        if let Some(&index) = self.index_by_id.get(id) {
            self.upstreams[index].removed = true;
            self.remove_if_idle(index);
        }
    }

    /// Sends nothing more to the upstreams of `zone`.
    pub fn evacuate(&mut self, zone: ZoneId) {
        self.evacuated_zones.insert(zone);
    }

    /// Takes `zone` back into use; its upstreams are taken for cold.
    pub fn end_evacuation(&mut self, zone: &ZoneId, now: Millis) {
        if !self.evacuated_zones.remove(zone) {
            return;
        }
        for index in 0..self.upstreams.len() {
            if self.upstreams[index].up.zone == *zone {
                let service = self.upstreams[index].up.service.clone();
                let warm_up = self.warm_up(&service);
                self.mark_cold(index, now + warm_up + COLD_MARGIN, now);
            }
        }
    }

    /// The zones in evacuation.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.evacuated_zones.iter()
    }

    /// The service that takes the next request of `route`.
    pub fn next_service<'r>(&mut self, route: &'r Route) -> Option<&'r ServiceId> {
        self.split.next_service(route)
    }

    /// Notes a caller's request for `service`, of which the retry budget is a share.
    pub fn record_request(&mut self, service: &ServiceId, hosts: usize, now: Millis) {
        self.retries.record_request(service, hosts, now);
    }

    /// Takes a retry for `service` out of the budget, if there is one.
    pub fn try_take_retry(&mut self, service: &ServiceId, hosts: usize, now: Millis) -> bool {
        self.retries.try_take(service, hosts, now)
    }

    /// Notes that a request is being sent to `id`.
    pub fn record_sent(&mut self, id: &UpstreamId, now: Millis) {
        if let Some(&index) = self.index_by_id.get(id) {
            let state = &mut self.upstreams[index];
            state.own_requests += 1;
            self.shift.record_placement(&state.region, now);
            if state.cold_until > now {
                state.warm_up_tokens.try_take(now);
            }
        }
    }

    /// Learns how a request ended.
    pub fn record_outcome(&mut self, report: &AttemptReport<'_>, now: Millis) {
        let Some(&index) = self.index_by_id.get(report.id) else { return };
        let rtt_ms = self.rtt_ms_to(&self.upstreams[index].up.zone, &self.upstreams[index].region);
        let work = *self.work_times(report.service, report.objective);
        let state = &mut self.upstreams[index];
        state.own_requests = state.own_requests.saturating_sub(1);
        if let Some(load) = report.load {
            state.record_load(load, now);
        }
        match report.outcome {
            Outcome::Answered => {
                let took_ms = (report.took.0 as f64 - rtt_ms - report.wait_ms).max(1.0);
                let reuse_distance =
                    report.object.and_then(|object| state.recent_objects.reuse_distance(object));
                state.record_answer(report.object, took_ms, &work, now);
                let slowdown = state.slowdown;
                if let Some(reuse_distance) = reuse_distance {
                    let cold = work.is_likely_cold(took_ms / slowdown.max(0.1));
                    self.cache_size(report.service).update(reuse_distance, cold);
                }
                self.work_times(report.service, report.objective).update(took_ms, slowdown);
            }
            Outcome::Shed => state.record_failure(now),
            Outcome::WrongInstance => state.removed = true,
            Outcome::Unreachable => {
                state.record_failure(now);
                state.connect_failures += 1;
                let doubled = MIN_BACKOFF * (1 << (state.connect_failures - 1).min(8));
                state.backoff_until = now + doubled.min(MAX_BACKOFF);
            }
            Outcome::Broken => {
                state.record_failure(now);
                state.lost_answers += 1;
                if state.lost_answers >= MAX_LOST_ANSWERS {
                    state.backoff_until = now + MIN_BACKOFF;
                }
            }
            Outcome::TimedOut => {
                state.record_failure(now);
                state.record_slowdown(report.took.0 as f64 / work.mean_ms.max(1.0), now);
            }
            Outcome::Cancelled => {}
        }
        if self.upstreams[index].removed {
            self.remove_if_idle(index);
        }
    }

    /// Takes in the load of an upstream that somebody else told.
    pub fn record_load(&mut self, id: &UpstreamId, load: Load, now: Millis) {
        if let Some(&index) = self.index_by_id.get(id) {
            self.upstreams[index].record_load(load, now);
        }
    }

    /// Learns the round trip to a zone from the time that a connection took.
    pub fn record_connect_time(&mut self, zone: &ZoneId, took_ms: f64) {
        let rtt_ms = self.rtt_ms.entry(zone.clone()).or_insert(took_ms);
        // The least is the way; more is the upstream's or a link's queue. It rises slowly, so that a
        // longer way is learned in time.
        *rtt_ms = if took_ms < *rtt_ms {
            took_ms
        } else {
            *rtt_ms + RTT_RISE_FACTOR * (took_ms - *rtt_ms)
        };
    }

    /// The registration of `id`.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.index_by_id.get(id).map(|&index| &self.upstreams[index].up)
    }

    /// How many upstreams are registered.
    pub fn upstream_count(&self) -> usize {
        self.upstreams.iter().filter(|state| !state.removed).count()
    }

    pub(crate) fn work_times(&mut self, service: &ServiceId, objective: Millis) -> &mut WorkTimes {
        if !self.work_times.contains_key(service) {
            self.work_times.insert(service.clone(), Vec::new());
        }
        let by_objective = self.work_times.get_mut(service).expect("inserted above");
        let index =
            by_objective.iter().position(|(kind, _)| *kind == objective).unwrap_or_else(|| {
                by_objective.push((objective, WorkTimes::new(objective)));
                by_objective.len() - 1
            });
        &mut by_objective[index].1
    }

    /// Looks how many slots each region has, now and then.
    pub(crate) fn update_capacity(&mut self, now: Millis) {
        if now.since(self.capacity_counted_at) < CAPACITY_INTERVAL {
            return;
        }
        self.capacity_counted_at = now;
        let mut slots: BTreeMap<RegionId, f64> =
            self.options.zones.values().map(|region| (region.clone(), 0.0)).collect();
        for state in &self.upstreams {
            let usable = self.in_use(state) && state.backoff_until <= now;
            if usable && let Some(total) = slots.get_mut(&state.region) {
                *total += f64::from(state.up.slots);
            }
        }
        self.shift.update_capacity(slots, &self.options.region, now);
    }

    /// Whether requests may go to the upstream as far as operators and its own word go.
    pub(crate) fn in_use(&self, state: &UpstreamState) -> bool {
        !state.removed && !state.up.draining && !self.evacuated_zones.contains(&state.up.zone)
    }

    pub(crate) fn cache_size(&mut self, service: &ServiceId) -> &mut CacheSize {
        if !self.cache_sizes.contains_key(service) {
            self.cache_sizes.insert(service.clone(), CacheSize::default());
        }
        self.cache_sizes.get_mut(service).expect("inserted above")
    }

    pub(crate) fn rtt_ms_to(&self, zone: &ZoneId, region: &RegionId) -> f64 {
        let far = *region != self.options.region;
        self.rtt_ms.get(zone).copied().unwrap_or(if far {
            DEFAULT_FAR_RTT_MS
        } else {
            DEFAULT_NEAR_RTT_MS
        })
    }

    fn warm_up(&self, service: &ServiceId) -> Millis {
        let service = self.cfg.as_ref().and_then(|cfg| cfg.service(service));
        service.map_or(Millis::ZERO, |service| service.warm_up)
    }

    fn upsert(&mut self, up: Upstream, region: RegionId, now: Millis) {
        let cold_for = up.cold_for;
        let index = match self.index_by_id.get(&up.id) {
            Some(&index) => {
                let state = &mut self.upstreams[index];
                if state.up.started.is_some() && up.started < state.up.started {
                    // A late word of an earlier incarnation.
                    return;
                }
                let restarted = state.up.started.is_some() && state.up.started != up.started;
                if restarted || state.up.addr != up.addr {
                    state.reset();
                }
                if state.up.service != up.service {
                    let indices =
                        self.indices_by_service.entry(state.up.service.clone()).or_default();
                    indices.retain(|&other| other != index);
                    self.indices_by_service.entry(up.service.clone()).or_default().push(index);
                }
                state.removed = false;
                state.region = region;
                state.up = up;
                index
            }
            None => {
                let index = self.upstreams.len();
                self.index_by_id.insert(up.id.clone(), index);
                self.indices_by_service.entry(up.service.clone()).or_default().push(index);
                self.upstreams.push(UpstreamState::new(up, region, now));
                index
            }
        };
        if cold_for > Millis::ZERO {
            self.mark_cold(index, now + cold_for + COLD_MARGIN, now);
        }
    }

    /// Takes an upstream for cold until `until`.
    fn mark_cold(&mut self, index: usize, until: Millis, now: Millis) {
        let service =
            self.cfg.as_ref().and_then(|cfg| cfg.service(&self.upstreams[index].up.service));
        let rate = service.map_or(1.0, |service| service.cold_rate) * COLD_RATE_SHARE;
        let state = &mut self.upstreams[index];
        if state.cold_until <= now {
            state.warm_up_tokens = TokenBucket::new(rate, COLD_BURST_REQUESTS, now);
        }
        state.cold_until = state.cold_until.max(until);
    }

    /// Drops a gone upstream that has no request of this host any more.
    fn remove_if_idle(&mut self, index: usize) {
        if self.upstreams[index].own_requests > 0 {
            return;
        }
        let state = self.upstreams.swap_remove(index);
        self.index_by_id.remove(&state.up.id);
        if let Some(indices) = self.indices_by_service.get_mut(&state.up.service) {
            indices.retain(|&other| other != index);
        }
        let old_index = self.upstreams.len();
        if let Some(relocated) = self.upstreams.get(index) {
            self.index_by_id.insert(relocated.up.id.clone(), index);
            for other in self.indices_by_service.entry(relocated.up.service.clone()).or_default() {
                if *other == old_index {
                    *other = index;
                }
            }
        }
    }
}

impl UpstreamState {
    fn new(up: Upstream, region: RegionId, now: Millis) -> Self {
        Self {
            up,
            region,
            removed: false,
            cold_until: Millis::ZERO,
            warm_up_tokens: TokenBucket::new(1.0, 1.0, now),
            own_requests: 0,
            other_requests: 0.0,
            other_requests_avg: 0.0,
            reported_at: None,
            utilization: 0.0,
            slowdown: 1.0,
            error_rate: 0.0,
            health_updated_at: Millis::ZERO,
            backoff_until: Millis::ZERO,
            connect_failures: 0,
            lost_answers: 0,
            recent_objects: RecentObjects::default(),
        }
    }

    /// Forgets what belonged to an earlier incarnation.
    fn reset(&mut self) {
        self.other_requests = 0.0;
        self.other_requests_avg = 0.0;
        self.slowdown = 1.0;
        self.error_rate = 0.0;
        self.backoff_until = Millis::ZERO;
        self.connect_failures = 0;
        self.lost_answers = 0;
        self.recent_objects = RecentObjects::default();
    }

    /// Requests that it is believed to have, of this host and of others.
    pub(crate) fn load(&self, now: Millis) -> f64 {
        let age = self.report_age_ms(now);
        let other_requests = self.other_requests_avg
            + (self.other_requests - self.other_requests_avg) * decay(age, REPORT_DECAY_MS);
        f64::from(self.own_requests) + other_requests
    }

    fn report_age_ms(&self, now: Millis) -> f64 {
        self.reported_at.map_or(f64::INFINITY, |reported_at| now.since(reported_at).0 as f64)
    }

    /// The share of its slots that is taken, over 1 where requests wait; averaged over reports.
    pub(crate) fn utilization(&self, now: Millis) -> f64 {
        let age = self.report_age_ms(now);
        let own_utilization = f64::from(self.own_requests) / f64::from(self.up.slots.max(1));
        (self.utilization * decay(age, UTILIZATION_DECAY_MS)).max(own_utilization)
    }

    /// How long one more request would wait for a slot.
    pub(crate) fn expected_wait_ms(&self, now: Millis, work_ms: f64) -> f64 {
        let slots = f64::from(self.up.slots.max(1));
        let excess = self.load(now) + 1.0 - slots;
        excess.max(0.0) / slots * work_ms * self.slowdown_at(now)
    }

    /// How much longer than expected its work takes; fades where nothing new is learned.
    pub(crate) fn slowdown_at(&self, now: Millis) -> f64 {
        1.0 + (self.slowdown - 1.0)
            * decay(now.since(self.health_updated_at).0 as f64, HEALTH_DECAY_MS)
    }

    /// Whether it is fit to be the one that has an object cached.
    pub(crate) fn is_healthy(&self, now: Millis) -> bool {
        self.backoff_until <= now
            && self.error_rate_at(now) < UNHEALTHY_ERROR_RATE
            && self.slowdown_at(now) < UNHEALTHY_SLOWDOWN
    }

    /// The share of requests that it is believed to fail.
    pub(crate) fn error_rate_at(&self, now: Millis) -> f64 {
        self.error_rate * decay(now.since(self.health_updated_at).0 as f64, HEALTH_DECAY_MS)
    }

    fn record_load(&mut self, load: Load, now: Millis) {
        let total = f64::from(load.running + load.waiting);
        self.other_requests = (total - f64::from(self.own_requests)).max(0.0);
        self.other_requests_avg +=
            SMOOTHING_FACTOR * (self.other_requests - self.other_requests_avg);
        let utilization = total / f64::from(load.slots.max(1));
        let current = self.utilization(now);
        self.utilization = current + UTILIZATION_SMOOTHING_FACTOR * (utilization - current);
        self.reported_at = Some(now);
        if load.slots > 0 {
            self.up.slots = load.slots;
        }
    }

    fn record_answer(&mut self, object: Option<u64>, took_ms: f64, work: &WorkTimes, now: Millis) {
        self.connect_failures = 0;
        self.lost_answers = 0;
        self.backoff_until = Millis::ZERO;
        self.error_rate = self.error_rate_at(now) * (1.0 - SMOOTHING_FACTOR);
        let expected = if work.is_likely_cold(took_ms) { work.cold_ms } else { work.warm_ms };
        self.record_slowdown(took_ms / expected.max(1.0), now);
        if let Some(object) = object {
            self.recent_objects.record(object);
        }
    }

    fn record_slowdown(&mut self, ratio: f64, now: Millis) {
        self.slowdown = (self.slowdown_at(now) * (1.0 - SMOOTHING_FACTOR)
            + ratio * SMOOTHING_FACTOR)
            .clamp(0.5, 20.0);
        self.health_updated_at = now;
    }

    fn record_failure(&mut self, now: Millis) {
        self.error_rate = self.error_rate_at(now) * (1.0 - SMOOTHING_FACTOR) + SMOOTHING_FACTOR;
        self.slowdown = self.slowdown_at(now);
        self.health_updated_at = now;
    }
}

impl RecentObjects {
    /// How many other objects the upstream handled since it handled `object` last.
    pub(crate) fn reuse_distance(&self, object: u64) -> Option<usize> {
        self.order.iter().rev().position(|&other| other == object)
    }

    fn record(&mut self, object: u64) {
        if self.order.back() == Some(&object) {
            return;
        }
        if let Some(index) = self.order.iter().position(|&other| other == object) {
            self.order.remove(index);
        } else if self.order.len() == MAX_RECENT_OBJECTS {
            self.order.pop_front();
        }
        self.order.push_back(object);
    }
}

fn regions(options: &Options) -> Vec<RegionId> {
    let regions: BTreeSet<&RegionId> = options.zones.values().collect();
    regions.into_iter().cloned().collect()
}

fn decay(age_ms: f64, time_constant_ms: f64) -> f64 {
    (-age_ms / time_constant_ms).exp()
}
