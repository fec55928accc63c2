//! Tracks the state of upstreams, learned from registrations, load reports and the outcomes of this
//! host's own requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use foxtail_types::prelude::*;

use crate::estimate::{CacheSize, WorkTimes};
use crate::notice::UnregisteredUpstreams;
use crate::room::HostCounts;
use crate::shift::ShiftLimiter;
use crate::upstream::{Load, Upstream};
use crate::upstream_state::UpstreamState;
use crate::{Config, Fleet, RetryBudget, Route, Split, TokenBucket, retry};

pub use crate::placement::{Estimate, Placement, Request};

/// Share of a cold upstream's allowed rate that its sender uses. Two hosts may both consider
/// themselves the sender for a moment, and together must not overload the upstream.
const COLD_RATE_SHARE: f64 = 0.8;

/// Largest number of requests that a cold upstream is sent in one burst.
const COLD_BURST_REQUESTS: f64 = 2.0;

/// Added to the remaining cold time that an upstream reports, to cover the delay of the report.
const COLD_MARGIN: Millis = Millis(300);

/// Time for which an upstream is backed off after a failed connection. It doubles with each
/// consecutive failure. An upstream that is backed off gets requests only if no other one is
/// eligible.
const MIN_BACKOFF: Millis = Millis(300);

/// Longest time for which an upstream is backed off after a failed connection.
const MAX_BACKOFF: Millis = Millis(3_000);

/// Number of consecutive lost answers after which an upstream is backed off for [`MIN_BACKOFF`].
const MAX_LOST_ANSWERS: u32 = 3;

/// Interval at which the slots of each region are counted.
const CAPACITY_INTERVAL: Millis = Millis(250);

/// Assumed round trip within the region before the first connection, in milliseconds.
const DEFAULT_IN_REGION_RTT_MS: f64 = 1.0;

/// Assumed round trip to another region before the first connection, in milliseconds.
const DEFAULT_CROSS_REGION_RTT_MS: f64 = 70.0;

/// Weight of a connect time that is longer than the estimated round trip.
const RTT_RISE_FACTOR: f64 = 0.01;

/// The identity of this host and the parameters of its decisions.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of this host.
    pub host: HostId,
    /// The region of this host.
    pub region: RegionId,
    /// The region of each zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// The retry budget of the whole fleet.
    pub retry: retry::Options,
    /// Number of latency objectives after which an answer is too late. If slots are scarce,
    /// requests whose answer is expected later are refused.
    pub refuse_factor: f64,
    /// Largest share of a region's requests that may move to other regions within two seconds.
    pub shift_cap: f64,
}

/// Upstream state and the decisions based on it.
#[derive(Debug)]
pub struct Steering {
    pub(crate) options: Options,
    /// All regions without duplicates.
    pub(crate) regions: Vec<RegionId>,
    pub(crate) cfg: Option<Arc<Config>>,
    pub(crate) upstreams: Vec<UpstreamState>,
    pub(crate) index_by_id: HashMap<UpstreamId, usize>,
    pub(crate) indices_by_service: HashMap<ServiceId, Vec<usize>>,
    /// The work times at each service for each latency objective.
    pub(crate) work_times: HashMap<ServiceId, Vec<(Millis, WorkTimes)>>,
    pub(crate) cache_sizes: HashMap<ServiceId, CacheSize>,
    pub(crate) evacuated_zones: BTreeSet<ZoneId>,
    pub(crate) rtt_ms: HashMap<ZoneId, f64>,
    pub(crate) shift_limiter: ShiftLimiter,
    capacity_counted_at: Millis,
    /// The live hosts of each region.
    pub(crate) host_counts: HostCounts,
    split: Split,
    retry_budget: RetryBudget,
    /// The upstream from which the next digest reports limits on.
    pub(crate) next_shared_limit: usize,
    pub(crate) unregistered: UnregisteredUpstreams,
    /// The upstream from which the next digest reports leaving ones on.
    pub(crate) next_shared_leaving: usize,
}

/// The outcome of sending a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered, with any status.
    Answered,
    /// The upstream reported that it did not run the request.
    Shed,
    /// A different upstream instance answered at the address.
    WrongInstance,
    /// No connection was made, and nothing was sent.
    Unreachable,
    /// The request could no longer be sent when the connection was made, and nothing was sent.
    Withdrawn,
    /// The connection broke, or the received data was not an answer to the request.
    Broken,
    /// The upstream's host went silent: it acknowledged nothing for a while.
    Silent,
    /// No answer arrived in time.
    TimedOut,
    /// The caller disconnected.
    Cancelled,
}

/// The outcome of one attempt at an upstream, with its measurements.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport<'a> {
    /// The upstream that the request was sent to.
    pub id: &'a UpstreamId,
    /// The service that the request was for.
    pub service: &'a ServiceId,
    /// The latency objective of its route.
    pub objective: Millis,
    /// The object that the request was about, if known.
    pub object: Option<u64>,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from sending the request to receiving the head of the answer.
    pub took: Millis,
    /// The part of `took` that was expected to be spent waiting for a slot, in milliseconds.
    pub wait_ms: f64,
    /// The load that the upstream reported with its answer.
    pub load: Option<Load>,
}

impl Steering {
    /// Creates the state of a host without configuration and upstreams.
    pub fn new(options: Options) -> Self {
        let retry_budget = RetryBudget::new(options.retry);
        let shift_limiter = ShiftLimiter::new(options.shift_cap);
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
            shift_limiter,
            capacity_counted_at: Millis::ZERO,
            host_counts: HostCounts::new(),
            split: Split::default(),
            retry_budget,
            next_shared_limit: 0,
            unregistered: UnregisteredUpstreams::default(),
            next_shared_leaving: 0,
        }
    }

    /// Replaces the options. They apply to all later decisions.
    pub fn set_options(&mut self, options: Options) {
        self.shift_limiter.set_cap(options.shift_cap);
        self.retry_budget.set_options(options.retry);
        self.regions = regions(&options);
        self.options = options;
        for state in &mut self.upstreams {
            state.set_region(&self.options);
        }
    }

    /// Returns the active configuration.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.cfg.as_ref()
    }

    /// Activates `cfg` if it is newer than the active configuration, and returns whether it was.
    pub fn set_config(&mut self, cfg: Config) -> bool {
        if self.cfg.as_ref().is_some_and(|current| current.version >= cfg.version) {
            return false;
        }
        self.split.retain(|name| cfg.routes().iter().any(|route| route.name == name));
        for by_objective in self.work_times.values_mut() {
            by_objective.retain(|(objective, _)| {
                cfg.routes().iter().any(|route| route.objective == *objective)
            });
        }
        self.cfg = Some(Arc::new(cfg));
        true
    }

    /// Adds an upstream or updates its registration. Registrations of earlier incarnations are
    /// ignored.
    pub fn set_upstream(&mut self, up: Upstream, now: Millis) {
        self.upsert(up, now);
    }

    /// Removes an upstream. Its state is kept until its last request of this host has ended.
    pub fn remove_upstream(&mut self, id: &UpstreamId, now: Millis) {
        if let Some(&index) = self.index_by_id.get(id) {
            self.upstreams[index].removed = true;
            self.remove_if_idle(index, now);
        }
    }

    /// Stops sending requests to the upstreams of `zone`.
    pub fn evacuate(&mut self, zone: ZoneId) {
        self.evacuated_zones.insert(zone);
    }

    /// Resumes sending to the upstreams of `zone`, which are treated as cold.
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

    /// Returns the evacuated zones.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.evacuated_zones.iter()
    }

    /// Selects the service for the next request of `route` by the weights of its split.
    pub fn next_service<'r>(&mut self, route: &'r Route) -> Option<&'r ServiceId> {
        self.split.next_service(route)
    }

    /// Records a caller's request for `service`, which adds to the retry budget. `hosts` is the
    /// number of hosts that share the budget.
    pub fn record_request(&mut self, service: &ServiceId, hosts: usize, now: Millis) {
        self.retry_budget.record_request(service, hosts, now);
    }

    /// Takes one retry for `service` from the budget, and returns whether one was available.
    pub fn try_take_retry(&mut self, service: &ServiceId, hosts: usize, now: Millis) -> bool {
        self.retry_budget.try_take(service, hosts, now)
    }

    /// Records that a request is being sent to `id`.
    pub fn record_sent(&mut self, id: &UpstreamId, now: Millis) {
        if let Some(&index) = self.index_by_id.get(id) {
            let state = &mut self.upstreams[index];
            state.own_requests += 1;
            self.shift_limiter.record_placement(&state.region, now);
            if state.cold_until > now {
                state.warm_up_tokens.try_take(now);
            }
            if state.named_limit.limit().is_some() {
                state.limited_sending.take(now);
            }
        }
    }

    /// Updates the state of an upstream from the outcome of an attempt.
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
                    let is_miss = work.is_likely_miss(took_ms / slowdown.max(0.1));
                    self.cache_size(report.service).update(reuse_distance, is_miss);
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
            Outcome::Broken | Outcome::Silent => {
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
            Outcome::Withdrawn | Outcome::Cancelled => {}
        }
        if self.upstreams[index].removed {
            self.remove_if_idle(index, now);
        }
    }

    /// Records a load report of an upstream that arrived other than with an answer to this host.
    pub fn record_load(&mut self, id: &UpstreamId, load: Load, now: Millis) {
        if let Some(&index) = self.index_by_id.get(id) {
            self.upstreams[index].record_load(load, now);
        }
    }

    /// Updates the round trip to a zone from the duration of a connect, in milliseconds.
    pub fn record_connect_time(&mut self, zone: &ZoneId, took_ms: f64) {
        let rtt_ms = self.rtt_ms.entry(zone.clone()).or_insert(took_ms);
        // The shortest connect time is the network round trip; longer ones include queues at the
        // upstream or on a link. The estimate rises slowly, so that it also follows a longer route.
        *rtt_ms = if took_ms < *rtt_ms {
            took_ms
        } else {
            *rtt_ms + RTT_RISE_FACTOR * (took_ms - *rtt_ms)
        };
    }

    /// Returns the registration of `id`.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.index_by_id.get(id).map(|&index| &self.upstreams[index].up)
    }

    /// Returns the number of registered upstreams.
    pub fn upstream_count(&self) -> usize {
        self.upstreams.iter().filter(|state| !state.removed).count()
    }

    /// Returns the work times of requests with `objective` at `service`, or the initial estimates
    /// before any answer.
    pub(crate) fn work_times(&mut self, service: &ServiceId, objective: Millis) -> &mut WorkTimes {
        if !self.work_times.contains_key(service) {
            self.work_times.insert(service.clone(), Vec::new());
        }
        let by_objective = self.work_times.get_mut(service).expect("inserted above");
        let index =
            by_objective.iter().position(|(other, _)| *other == objective).unwrap_or_else(|| {
                by_objective.push((objective, WorkTimes::new(objective)));
                by_objective.len() - 1
            });
        &mut by_objective[index].1
    }

    /// Counts the slots of each region, at most once per [`CAPACITY_INTERVAL`].
    pub(crate) fn update_capacity(&mut self, fleet: &Fleet, now: Millis) {
        if now.since(self.capacity_counted_at) < CAPACITY_INTERVAL {
            return;
        }
        self.capacity_counted_at = now;
        self.host_counts = fleet.alive_by_region(now);
        let mut slots: BTreeMap<RegionId, f64> =
            self.options.zones.values().map(|region| (region.clone(), 0.0)).collect();
        for state in &self.upstreams {
            // Requests go only to services of the configuration; others are not capacity.
            let in_use =
                self.cfg.as_ref().is_some_and(|cfg| cfg.service(&state.up.service).is_some());
            let usable = in_use && self.is_available(state) && state.backoff_until <= now;
            if usable && let Some(total) = slots.get_mut(&state.region) {
                *total += f64::from(state.up.slots);
            }
        }
        self.shift_limiter.update_capacity(slots, &self.options.region, now);
    }

    /// Returns whether the upstream is registered, not leaving and not in an evacuated zone. Of a zone
    /// that the settings do not list it is not known which region's requests it may serve and which
    /// host may send to it while it is cold.
    pub(crate) fn is_available(&self, state: &UpstreamState) -> bool {
        let leaving = state.up.draining || state.notices.leaving;
        !state.removed
            && !leaving
            && state.zone_listed
            && !self.evacuated_zones.contains(&state.up.zone)
    }

    /// Returns the estimated cache size of the upstreams of `service`.
    pub(crate) fn cache_size(&mut self, service: &ServiceId) -> &mut CacheSize {
        if !self.cache_sizes.contains_key(service) {
            self.cache_sizes.insert(service.clone(), CacheSize::default());
        }
        self.cache_sizes.get_mut(service).expect("inserted above")
    }

    /// Returns the estimated round trip to `zone` of `region`, in milliseconds.
    pub(crate) fn rtt_ms_to(&self, zone: &ZoneId, region: &RegionId) -> f64 {
        let cross_region = *region != self.options.region;
        self.rtt_ms.get(zone).copied().unwrap_or(if cross_region {
            DEFAULT_CROSS_REGION_RTT_MS
        } else {
            DEFAULT_IN_REGION_RTT_MS
        })
    }

    fn warm_up(&self, service: &ServiceId) -> Millis {
        let service = self.cfg.as_ref().and_then(|cfg| cfg.service(service));
        service.map_or(Millis::ZERO, |service| service.warm_up)
    }

    fn upsert(&mut self, up: Upstream, now: Millis) {
        let cold_for = up.cold_for;
        let index = match self.index_by_id.get(&up.id) {
            Some(&index) => {
                let state = &mut self.upstreams[index];
                if state.up.started.is_some() && up.started < state.up.started {
                    // A delayed registration of an earlier incarnation.
                    return;
                }
                let restarted = state.up.started.is_some() && state.up.started != up.started;
                if restarted || state.up.addr != up.addr {
                    state.reset();
                }
                if restarted {
                    state.notices = self.unregistered.take(&up, now).1;
                }
                if state.up.service != up.service {
                    let indices =
                        self.indices_by_service.entry(state.up.service.clone()).or_default();
                    indices.retain(|&other| other != index);
                    self.indices_by_service.entry(up.service.clone()).or_default().push(index);
                }
                state.removed = false;
                state.up = up;
                state.set_region(&self.options);
                index
            }
            None => {
                let index = self.upstreams.len();
                self.index_by_id.insert(up.id.clone(), index);
                self.indices_by_service.entry(up.service.clone()).or_default().push(index);
                let (named_limit, notices) = self.unregistered.take(&up, now);
                let mut state = UpstreamState::new(up, &self.options, now);
                (state.named_limit, state.notices) = (named_limit, notices);
                self.upstreams.push(state);
                index
            }
        };
        if cold_for > Millis::ZERO {
            self.mark_cold(index, now + cold_for + COLD_MARGIN, now);
        }
    }

    /// Treats an upstream as cold until `until`.
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

    /// Drops the state of a removed upstream that has no requests of this host.
    fn remove_if_idle(&mut self, index: usize, now: Millis) {
        if self.upstreams[index].own_requests > 0 {
            return;
        }
        let state = self.upstreams.swap_remove(index);
        self.index_by_id.remove(&state.up.id);
        self.unregistered.keep(&state.up, state.named_limit, state.notices, now);
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

fn regions(options: &Options) -> Vec<RegionId> {
    let regions: BTreeSet<&RegionId> = options.zones.values().collect();
    regions.into_iter().cloned().collect()
}
