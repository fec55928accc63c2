//! Selects the upstream for a request, or refuses the request.
//!
//! Upstreams have few slots and small caches. Work on a cached object takes a third of the time,
//! and an answer after the latency objective is worth little. Under heavy load the number of
//! answers in time therefore depends on how much slot time goes to cached objects. Always picking
//! the upstream with the earliest expected answer lowers that share: each request that avoids a
//! queue makes another upstream load the object and evict a different one, until few objects are
//! cached where they are requested.
//!
//! Each object therefore has designated upstreams, which are the same on every host: one in the
//! host's own region and one elsewhere for the load that the region cannot carry. Every eligible
//! upstream gets a utility: the expected value of the answer minus its costs, mainly the slot time
//! that the request takes from other requests, which is free while slots are free. The upstream
//! with the highest utility gets the request. If slots are scarce and the highest utility is
//! negative, every eligible upstream is busy with requests that will be answered in time, and the
//! request is refused at once.

use foxtail_types::prelude::*;

use crate::estimate::WorkTimes;
use crate::fleet::Senders;
use crate::rendezvous;
use crate::room;
use crate::steering::Steering;
use crate::upstream::Upstream;
use crate::{Fleet, Route};

/// Factor by which a cold upstream is slower than a warm one.
const COLD_SLOWDOWN: f64 = 2.0;

/// Probability that the first designated upstream of an object has it cached, if the upstream's
/// tracked recent objects do not include it.
const FIRST_DESIGNATED_HIT_PROBABILITY: f64 = 0.9;

/// Probability that the second designated upstream of an object has it cached, if the upstream's
/// tracked recent objects do not include it.
const SECOND_DESIGNATED_HIT_PROBABILITY: f64 = 0.2;

/// Value of a late answer, where an answer in time has the value 1.
const LATE_ANSWER_VALUE: f64 = 0.2;

/// Cost of the expected delay, for each latency objective that it lasts. It applies to answers in
/// time and late answers alike.
const DELAY_COST_PER_OBJECTIVE: f64 = 0.05;

/// Cost of loading an object into the cache of an upstream that is not designated for it.
const EVICTION_COST: f64 = 1.0;

/// Cost of sending a request to another region, since all traffic shares the links between regions.
const CROSS_REGION_COST: f64 = 0.03;

/// Cost of the slot time of one request for a cached object at an upstream without free slots, as
/// the number of answers in time that the request displaces.
const BUSY_COST: f64 = 0.4;

/// Utilization above which slot time has a cost. The cost rises linearly and reaches [`BUSY_COST`]
/// at 1.
const BUSY_UTILIZATION: f64 = 0.6;

/// Upper bound on the utilization that the cost accounts for. Values above 1 mean that requests are
/// queued.
const MAX_UTILIZATION: f64 = 1.5;

/// Spread (standard deviation) of the work time, as a share of its expected value.
const WORK_SPREAD_RATIO: f64 = 0.15;

/// Spread of the waiting time, as a share of its expected value. It is larger than that of the work
/// time because waiting depends on other requests.
const WAIT_SPREAD_RATIO: f64 = 0.4;

/// Spread of all other parts of the latency, in milliseconds.
const OTHER_SPREAD_MS: f64 = 8.0;

/// Assumed network time between callers and this host, in milliseconds. The latency objective
/// includes it.
const CALLER_NETWORK_MS: f64 = 15.0;

/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Millis = Millis(50);

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The route that the request matched.
    pub route: &'a Route,
    /// The service that handles the request.
    pub service: &'a ServiceId,
    /// The object that the request is about, if known.
    pub object: Option<u64>,
    /// Time since the request arrived at this host.
    pub age: Millis,
    /// Upstreams that the request was already sent to. They are not selected again.
    pub tried: &'a [UpstreamId],
}

/// The decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// Send the request to an upstream.
    Send {
        /// The selected upstream.
        up: Upstream,
        /// The estimate that the selection is based on.
        estimate: Estimate,
    },
    /// Refuse the request: its answer would be too late, or would displace more valuable ones.
    Overloaded {
        /// Time after which the caller may retry.
        retry_after: Millis,
        /// The upstream with the highest utility.
        best: UpstreamId,
        /// The estimate for that upstream.
        estimate: Estimate,
    },
    /// Refuse the request: all upstreams that could take it are at the limits that they name.
    Limited {
        /// Time after which the caller may retry.
        retry_after: Millis,
        /// The number of these upstreams.
        upstreams: usize,
    },
    /// Refuse the request: all upstreams that could take it asked for a pause.
    Paused {
        /// Time until the first pause ends.
        retry_after: Millis,
        /// The number of these upstreams.
        upstreams: usize,
    },
    /// Refuse the request: no upstream is eligible for it.
    NoUpstream,
}

/// The expected result of sending a request to one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Expected time until the answer, in milliseconds.
    pub expected_ms: f64,
    /// Expected time until the answer if the upstream does not have the object cached, in milliseconds.
    pub uncached_ms: f64,
    /// The part of `expected_ms` spent waiting for a slot, in milliseconds.
    pub wait_ms: f64,
    /// Estimated number of requests at the upstream, running and waiting.
    pub load: f64,
    /// Age of the upstream's last load report, or `None` if it has sent none.
    pub report_age: Option<Millis>,
    /// Number of eligible upstreams that are not backed off.
    pub candidates: usize,
    /// Number of upstreams that were left out because of the limits that they name.
    pub limited: usize,
    /// Smoothed share of the upstream's slots that are taken. Values above 1 mean that requests are
    /// queued.
    pub utilization: f64,
    /// Probability of an answer within the latency objective.
    pub in_time_probability: f64,
    /// Expected value of the answer minus the costs of the request, where an answer in time has the
    /// value 1.
    pub utility: f64,
    /// Whether the upstream is backed off and was considered only because no other one is eligible.
    pub last_resort: bool,
}

/// An eligible upstream and the estimate for it.
struct Candidate {
    index: usize,
    estimate: Estimate,
}

fn is_better(candidate: &Candidate, best: Option<&Candidate>) -> bool {
    best.is_none_or(|best| candidate.estimate.utility > best.estimate.utility)
}

/// The relation between a request's object and an upstream's cache.
#[derive(Clone, Copy)]
struct CacheState {
    /// Probability that the upstream has the object cached.
    hit_probability: f64,
    /// Whether the upstream is designated for the object.
    designated: bool,
    /// Cost of loading the object into the upstream's cache.
    eviction_cost: f64,
}

impl Steering {
    /// Selects an upstream for `req`, or refuses it.
    ///
    /// Upstreams of regions that reached the limit on shifts are selected only if no other one is
    /// eligible, and upstreams that are backed off only if there is none of those either.
    pub fn place(&mut self, req: &Request<'_>, fleet: &Fleet, now: Millis) -> Placement {
        let work = *self.work_times(req.service, req.route.objective);
        let Some(indices) = self.indices_by_service.get(req.service) else {
            return Placement::NoUpstream;
        };
        let indices = indices.clone();
        self.update_capacity(fleet, now);
        let designated = self.designated_upstreams(&indices, req, now);
        let mut capped_regions = self.regions.clone();
        capped_regions.retain(|region| !self.shift_limiter.allows(region, now));
        let mut senders = fleet.senders(now);
        let mut best: Option<Candidate> = None;
        let mut best_capped: Option<Candidate> = None;
        let mut best_backed_off: Option<Candidate> = None;
        let mut candidates = 0;
        let mut limited = Vec::new();
        let mut paused = Vec::new();
        for index in indices {
            if !self.is_eligible(index, req) {
                continue;
            }
            if let Some(until) = self.upstreams[index].notices.paused_until(now) {
                paused.push(until.since(now));
                continue;
            }
            if !self.warm_up_allows(index, &mut senders, now) {
                continue;
            }
            if !self.limit_allows(index, now) {
                limited.push(index);
                continue;
            }
            let cache_state = self.cache_state(index, &designated, req);
            let candidate = self.evaluate(index, cache_state, &work, req, now);
            let state = &self.upstreams[index];
            let is_backed_off = state.backoff_until > now;
            let current_best = match (is_backed_off, capped_regions.contains(&state.region)) {
                (true, _) => &mut best_backed_off,
                (false, true) => &mut best_capped,
                (false, false) => &mut best,
            };
            candidates += usize::from(!is_backed_off);
            if is_better(&candidate, current_best.as_ref()) {
                *current_best = Some(candidate);
            }
        }
        let best = best.or(best_capped);
        let last_resort = best.is_none();
        let Some(mut selected) = best.or(best_backed_off) else {
            return self.refuse_without_candidate(&limited, &paused);
        };
        selected.estimate.candidates = candidates;
        selected.estimate.limited = limited.len();
        selected.estimate.last_resort = last_resort;
        self.admit(&selected, req)
    }

    /// Refuses a request that only the upstreams `limited` could take, which are at their limits, and
    /// those that asked for the pauses `paused`.
    fn refuse_without_candidate(&self, limited: &[usize], paused: &[Millis]) -> Placement {
        let first_end = paused.iter().min().copied();
        if limited.is_empty() {
            return first_end.map_or(Placement::NoUpstream, |retry_after| Placement::Paused {
                retry_after,
                upstreams: paused.len(),
            });
        }
        let retry_after = self.limited_retry_after(limited);
        let retry_after = first_end.map_or(retry_after, |first_end| first_end.min(retry_after));
        Placement::Limited { retry_after, upstreams: limited.len() }
    }

    /// Returns whether the request is worth sending: the answer is expected within the refusal
    /// bound and its utility is not negative. While slots are free every request is sent, whatever
    /// the estimate, so that slow kinds of requests are measured again.
    fn should_admit(&self, selected: &Candidate, req: &Request<'_>) -> bool {
        if selected.estimate.wait_ms <= 0.0 && selected.estimate.utilization < BUSY_UTILIZATION {
            return true;
        }
        let bound_ms = req.route.objective.0 as f64 * self.options.refuse_factor;
        let expected_ms = req.age.0 as f64 + selected.estimate.expected_ms;
        expected_ms <= bound_ms && selected.estimate.utility >= 0.0
    }

    /// Decides to send the request to `selected`, or to refuse it if it is not worth sending.
    fn admit(&self, selected: &Candidate, req: &Request<'_>) -> Placement {
        let estimate = selected.estimate;
        if !self.should_admit(selected, req) {
            let retry_after = Millis(estimate.wait_ms as u64).max(MIN_RETRY_AFTER);
            let best = self.upstreams[selected.index].up.id.clone();
            return Placement::Overloaded { retry_after, best, estimate };
        }
        Placement::Send { up: self.upstreams[selected.index].up.clone(), estimate }
    }

    /// Returns the relation between the request's object and the cache of the upstream at `index`.
    fn cache_state(
        &mut self,
        index: usize,
        designated: &[Option<usize>; 2],
        req: &Request<'_>,
    ) -> CacheState {
        let Some(object) = req.object else {
            return CacheState { hit_probability: 0.0, designated: true, eviction_cost: 0.0 };
        };
        let cache = *self.cache_size(req.service);
        let rank = designated.iter().position(|other| *other == Some(index));
        let reuse_distance = self.upstreams[index].recent_objects.reuse_distance(object);
        let hit_probability = match (reuse_distance, rank) {
            (Some(reuse_distance), _) => cache.hit_probability(reuse_distance),
            (None, Some(0)) => FIRST_DESIGNATED_HIT_PROBABILITY,
            (None, Some(_)) => SECOND_DESIGNATED_HIT_PROBABILITY,
            (None, None) => 0.0,
        };
        let miss_probability = if rank.is_some() { 0.0 } else { 1.0 - hit_probability };
        let eviction_cost = miss_probability * EVICTION_COST;
        CacheState { hit_probability, designated: rank.is_some(), eviction_cost }
    }

    /// Estimates the result of sending the request to the upstream at `index`.
    fn evaluate(
        &self,
        index: usize,
        cache_state: CacheState,
        work: &WorkTimes,
        req: &Request<'_>,
        now: Millis,
    ) -> Candidate {
        let state = &self.upstreams[index];
        let slowdown =
            state.slowdown_at(now) * if state.cold_until > now { COLD_SLOWDOWN } else { 1.0 };
        let work_ms =
            (work.miss_ms - cache_state.hit_probability * (work.miss_ms - work.hit_ms)) * slowdown;
        let wait_ms = state.expected_wait_ms(now, work.mean_ms);
        let rtt_ms = self.rtt_ms_to(&state.up.zone, &state.region);
        let expected_ms = rtt_ms + wait_ms + work_ms;
        let objective_ms = req.route.objective.0 as f64;
        let remaining_ms = objective_ms - req.age.0 as f64 - CALLER_NETWORK_MS;
        let spread_ms = WORK_SPREAD_RATIO * work_ms + WAIT_SPREAD_RATIO * wait_ms + OTHER_SPREAD_MS;
        let in_time_probability = probability_below((remaining_ms - expected_ms) / spread_ms);
        let answer_value = in_time_probability + LATE_ANSWER_VALUE * (1.0 - in_time_probability);
        let utilization = state.utilization(now).min(MAX_UTILIZATION);
        let busy_share = ((utilization - BUSY_UTILIZATION) / (1.0 - BUSY_UTILIZATION)).max(0.0);
        // Loading an object into the cache of a designated upstream is not counted as slot time:
        // the next requests for the object need it there.
        let slot_ms = if cache_state.designated { work.hit_ms * slowdown } else { work_ms };
        let cross_region_cost =
            if state.region == self.options.region { 0.0 } else { CROSS_REGION_COST };
        let utility = answer_value * (1.0 - state.error_rate_at(now))
            - BUSY_COST * busy_share * slot_ms / work.hit_ms.max(1.0)
            - DELAY_COST_PER_OBJECTIVE * expected_ms / objective_ms
            - cross_region_cost
            - cache_state.eviction_cost;
        let estimate = Estimate {
            expected_ms,
            uncached_ms: rtt_ms + wait_ms + work.miss_ms * slowdown,
            wait_ms,
            load: state.load(now),
            report_age: state.reported_at.map(|reported_at| now.since(reported_at)),
            utilization,
            in_time_probability,
            utility,
            candidates: 0,
            limited: 0,
            last_resort: false,
        };
        Candidate { index, estimate }
    }

    /// Returns whether the request may be sent to the upstream at `index`.
    fn is_eligible(&self, index: usize, req: &Request<'_>) -> bool {
        self.can_serve(index, req.route) && !req.tried.contains(&self.upstreams[index].up.id)
    }

    /// Returns whether the upstream at `index` is available and in a region that may serve `route`.
    pub(crate) fn can_serve(&self, index: usize, route: &Route) -> bool {
        let state = &self.upstreams[index];
        self.is_available(state) && (route.homes.is_empty() || route.homes.contains(&state.region))
    }

    /// Returns whether warm-up allows sending to the upstream at `index` now. A cold upstream has a
    /// single sending host, which keeps to the upstream's rate limit.
    fn warm_up_allows(&mut self, index: usize, senders: &mut Senders<'_>, now: Millis) -> bool {
        if self.upstreams[index].cold_until <= now {
            return true;
        }
        let state = &self.upstreams[index];
        let sender = senders.select(&state.region, state.up.id.as_str(), 1);
        sender == [&self.options.host]
            && senders.in_contact()
            && self.upstreams[index].warm_up_tokens.has_token(now)
    }

    /// Selects the upstreams that should have the request's object cached: the first in this
    /// region, the second in another region. Without upstreams in other regions, the second is also
    /// in this region. Upstreams of other regions are weighted by the square of their region's
    /// total slots. Unhealthy upstreams and those that take no request now are passed over.
    fn designated_upstreams(
        &self,
        indices: &[usize],
        req: &Request<'_>,
        now: Millis,
    ) -> [Option<usize>; 2] {
        let Some(object) = req.object else { return [None; 2] };
        let is_healthy = |index: &usize| {
            self.can_serve(*index, req.route)
                && self.upstreams[*index].is_healthy(now)
                && self.upstreams[*index].notices.paused_until(now).is_none()
                && self.limit_allows(*index, now)
        };
        let candidates = || indices.iter().copied().filter(is_healthy);
        let mut slots_by_region: Vec<(&RegionId, f64)> = Vec::new();
        for index in candidates() {
            let state = &self.upstreams[index];
            let up_slots = f64::from(state.up.slots);
            match slots_by_region.iter_mut().find(|(region, _)| **region == state.region) {
                Some((_, sum)) => *sum += up_slots,
                None => slots_by_region.push((&state.region, up_slots)),
            }
        }
        let mut local: [Option<(u64, usize)>; 2] = [None; 2];
        let mut remote: Option<(f64, usize)> = None;
        for index in candidates() {
            let state = &self.upstreams[index];
            let weight = rendezvous::weight(object, state.up.id.as_str());
            let score = Some((weight, index));
            if state.region != self.options.region {
                let region_slots =
                    slots_by_region.iter().find(|(region, _)| **region == state.region);
                let share = region_slots.map_or(0.0, |(_, sum)| sum * sum);
                let score = rendezvous::weighted_score(weight, share);
                if remote.is_none_or(|(best_score, _)| score > best_score) {
                    remote = Some((score, index));
                }
            } else if score > local[0] {
                local = [score, local[0]];
            } else {
                local[1] = local[1].max(score);
            }
        }
        if let Some((_, remote)) = remote
            && !self.is_kept_in_region(object, indices, req.route)
        {
            return [Some(remote), None];
        }
        let first = local[0].map(|(_, index)| index);
        let second = remote.map(|(_, index)| index).or(local[1].map(|(_, index)| index));
        [first, second]
    }

    /// Returns whether the upstreams of this region should have `object` cached. Upstreams at `indices` count
    /// also while they are unhealthy, which hosts do not agree on.
    fn is_kept_in_region(&self, object: u64, indices: &[usize], route: &Route) -> bool {
        let (mut slots, mut all_slots) = (0.0, 0.0);
        for &index in indices.iter().filter(|index| self.can_serve(**index, route)) {
            let state = &self.upstreams[index];
            let up_slots = f64::from(state.up.slots);
            all_slots += up_slots;
            slots += if state.region == self.options.region { up_slots } else { 0.0 };
        }
        let share = room::kept_share(&self.host_counts, &self.options.region, slots, all_slots);
        room::is_kept(object, share)
    }
}

/// Returns the probability that a normally distributed variable with mean 0 and standard deviation
/// 1 is less than `margin`.
fn probability_below(margin: f64) -> f64 {
    // The scaled logistic function approximates the normal distribution.
    1.0 / (1.0 + (-1.702 * margin).exp())
}
