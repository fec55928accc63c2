//! Which upstream a request goes to, or why none.
//!
//! The load it answers: upstreams have few slots and small caches. Work on an object that an upstream
//! has cached takes a third of the time, and an answer after the objective is worth little, so that
//! what decides on a heavy day is how much of the slots' time goes to objects that are cached. Taking
//! the upstream that answers first spoils that: each request that evades a queue makes one more
//! upstream load its object and drop another one, until nothing is cached where it is needed.
//!
//! So each object has designated upstreams, the same on every host: one in the region of its callers
//! and one elsewhere for what the region can't carry. For each upstream the chance of an answer in
//! time is set against the slot time that the request takes from others there, which costs nothing
//! while slots are free. The best one gets the request; if it is worth less than nothing, all that
//! could take it are busy with requests that will be in time, and it is refused at once.

use foxtail_types::prelude::*;

use crate::estimate::WorkTimes;
use crate::fleet::ColdSenders;
use crate::rendezvous;
use crate::steering::Steering;
use crate::upstream::Upstream;
use crate::{Fleet, Route};

/// A cold upstream works this much slower.
const COLD_SLOWDOWN: f64 = 2.0;

/// How sure it is that the first designated upstream of an object has it cached, before this host
/// has seen it answer.
const FIRST_DESIGNATED_HIT_PROBABILITY: f64 = 0.9;

/// The same for the other designated ones.
const OTHER_DESIGNATED_HIT_PROBABILITY: f64 = 0.2;

/// What a late answer is worth against one in time.
const LATE_ANSWER_VALUE: f64 = 0.2;

/// What an answer's delay costs, in late or early answers alike, for each objective that it takes.
const DELAY_COST_PER_OBJECTIVE: f64 = 0.05;

/// What it costs to load an object into the cache of an upstream that is not designated for it.
const EVICTION_COST: f64 = 1.0;

/// What crossing between regions costs, for the bytes on links that all traffic shares.
const CROSS_REGION_COST: f64 = 0.03;

/// What the slot time of one request on a cached object costs at an upstream without free slots, in
/// answers in time that it displaces.
const BUSY_COST: f64 = 0.4;

/// The utilization from which slot time costs something; it rises to the full cost at 1.
const BUSY_UTILIZATION: f64 = 0.6;

/// The utilization beyond 1 that counts, for queues.
const MAX_UTILIZATION: f64 = 1.5;

/// How far work scatters around what is expected, as a share of it.
const WORK_SPREAD_RATIO: f64 = 0.15;

/// The same for waiting, which depends on requests of others.
const WAIT_SPREAD_RATIO: f64 = 0.4;

/// How far everything else scatters, in milliseconds.
const OTHER_SPREAD_MS: f64 = 8.0;

/// The way between callers and this host, in milliseconds: it counts in the objective as well.
const CALLER_NETWORK_MS: f64 = 15.0;

/// The shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Millis = Millis(50);

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its route.
    pub route: &'a Route,
    /// The service that takes it.
    pub service: &'a ServiceId,
    /// The object that it is about.
    pub object: Option<u64>,
    /// How long ago it arrived.
    pub age: Millis,
    /// Upstreams that had it before.
    pub tried: &'a [UpstreamId],
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// To this upstream.
    Send {
        /// The upstream.
        up: Upstream,
        /// Why.
        estimate: Estimate,
    },
    /// Nowhere: the answer would come far too late.
    Overloaded {
        /// When to come back.
        retry_after: Millis,
        /// The upstream that would have been best.
        best: UpstreamId,
        /// What was expected of it.
        estimate: Estimate,
    },
    /// Nowhere: no upstream may take it.
    NoUpstream,
}

/// What a placement rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// When the answer is expected, in milliseconds from now.
    pub expected_ms: f64,
    /// Of which waiting for a slot.
    pub wait_ms: f64,
    /// Requests that the upstream is believed to have.
    pub load: f64,
    /// How old its last report of load is, if it made one.
    pub report_age: Option<Millis>,
    /// How many upstreams could take the request.
    pub candidates: usize,
    /// The share of the upstream's slots that is taken, averaged.
    pub utilization: f64,
    /// The chance of an answer within the objective.
    pub in_time_probability: f64,
    /// What sending it is worth against the slot time that it takes.
    pub utility: f64,
    /// Whether it is sent to an upstream that was left alone, since nothing else is there.
    pub last_resort: bool,
}

/// One upstream under consideration.
struct Candidate {
    index: usize,
    estimate: Estimate,
}

fn is_better(candidate: &Candidate, best: Option<&Candidate>) -> bool {
    best.is_none_or(|best| candidate.estimate.utility > best.estimate.utility)
}

/// How a request's object stands with an upstream.
#[derive(Clone, Copy)]
struct CacheState {
    /// How likely the upstream has it cached.
    hit_probability: f64,
    /// Whether the upstream is meant to have it.
    designated: bool,
    /// What loading it there costs.
    eviction_cost: f64,
}

impl Steering {
    /// Decides where `req` goes.
    pub fn place(&mut self, req: &Request<'_>, fleet: &Fleet, now: Millis) -> Placement {
        let work = *self.work_times(req.service, req.route.objective);
        let Some(all) = self.indices_by_service.get(req.service) else {
            return Placement::NoUpstream;
        };
        let all = all.clone();
        let designated = self.designated_upstreams(&all, req, now);
        self.update_capacity(now);
        let mut capped_regions = self.regions.clone();
        capped_regions.retain(|region| !self.shift.allows(region, now));
        let mut cold_senders = fleet.cold_senders(now);
        let mut best: Option<Candidate> = None;
        let mut best_capped: Option<Candidate> = None;
        let mut best_backed_off: Option<Candidate> = None;
        let mut candidates = 0;
        for index in all {
            if !self.is_eligible(index, req) || !self.warm_up_allows(index, &mut cold_senders, now)
            {
                continue;
            }
            let cached = self.cache_state(index, &designated, req);
            let candidate = self.evaluate(index, cached, &work, req, now);
            let state = &self.upstreams[index];
            let down = state.backoff_until > now;
            let slot = match (down, capped_regions.contains(&state.region)) {
                (true, _) => &mut best_backed_off,
                (false, true) => &mut best_capped,
                (false, false) => &mut best,
            };
            candidates += usize::from(!down);
            if is_better(&candidate, slot.as_ref()) {
                *slot = Some(candidate);
            }
        }
        let best = best.or(best_capped);
        let last_resort = best.is_none();
        let Some(mut found) = best.or(best_backed_off) else { return Placement::NoUpstream };
        found.estimate.candidates = candidates;
        found.estimate.last_resort = last_resort;
        self.admit(&found, req)
    }

    /// Whether the answer may be in time, or at least not far too late. A kind of request is always
    /// tried where slots are to spare, whatever the estimate says.
    fn should_admit(&self, found: &Candidate, req: &Request<'_>) -> bool {
        if found.estimate.wait_ms <= 0.0 && found.estimate.utilization < BUSY_UTILIZATION {
            return true;
        }
        let bound = req.route.objective.0 as f64 * self.options.refuse_factor;
        let expected = req.age.0 as f64 + found.estimate.expected_ms;
        expected <= bound && found.estimate.utility >= 0.0
    }

    fn admit(&self, found: &Candidate, req: &Request<'_>) -> Placement {
        let estimate = found.estimate;
        if !self.should_admit(found, req) {
            let retry_after = Millis(estimate.wait_ms as u64).max(MIN_RETRY_AFTER);
            let best = self.upstreams[found.index].up.id.clone();
            return Placement::Overloaded { retry_after, best, estimate };
        }
        Placement::Send { up: self.upstreams[found.index].up.clone(), estimate }
    }

    /// How the request's object stands with the upstream at `at`.
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
            (None, Some(_)) => OTHER_DESIGNATED_HIT_PROBABILITY,
            (None, None) => 0.0,
        };
        let miss_probability = if rank.is_some() { 0.0 } else { 1.0 - hit_probability };
        let eviction_cost = miss_probability * EVICTION_COST;
        CacheState { hit_probability, designated: rank.is_some(), eviction_cost }
    }

    /// What is expected of one upstream.
    fn evaluate(
        &self,
        index: usize,
        cached: CacheState,
        work: &WorkTimes,
        req: &Request<'_>,
        now: Millis,
    ) -> Candidate {
        let state = &self.upstreams[index];
        let slowdown =
            state.slowdown_at(now) * if state.cold_until > now { COLD_SLOWDOWN } else { 1.0 };
        let work_ms =
            (work.cold_ms - cached.hit_probability * (work.cold_ms - work.warm_ms)) * slowdown;
        let wait_ms = state.expected_wait_ms(now, work.mean_ms);
        let rtt_ms = self.rtt_ms_to(&state.up.zone, &state.region);
        let expected_ms = rtt_ms + wait_ms + work_ms;
        let objective = req.route.objective.0 as f64;
        let remaining_ms = objective - req.age.0 as f64 - CALLER_NETWORK_MS;
        let spread_ms = WORK_SPREAD_RATIO * work_ms + WAIT_SPREAD_RATIO * wait_ms + OTHER_SPREAD_MS;
        let in_time_probability = probability_below((remaining_ms - expected_ms) / spread_ms);
        let answer_value = in_time_probability + LATE_ANSWER_VALUE * (1.0 - in_time_probability);
        let utilization = state.utilization(now).min(MAX_UTILIZATION);
        let busy = ((utilization - BUSY_UTILIZATION) / (1.0 - BUSY_UTILIZATION)).max(0.0);
        // Loading an object where it belongs is no loss: the next requests need it there.
        let slot_ms = if cached.designated { work.warm_ms * slowdown } else { work_ms };
        let crossing_cost =
            if state.region == self.options.region { 0.0 } else { CROSS_REGION_COST };
        let utility = answer_value * (1.0 - state.error_rate_at(now))
            - BUSY_COST * busy * slot_ms / work.warm_ms.max(1.0)
            - DELAY_COST_PER_OBJECTIVE * expected_ms / objective
            - crossing_cost
            - cached.eviction_cost;
        let estimate = Estimate {
            expected_ms,
            wait_ms,
            load: state.load(now),
            report_age: state.reported_at.map(|reported_at| now.since(reported_at)),
            utilization,
            in_time_probability,
            utility,
            candidates: 0,
            last_resort: false,
        };
        Candidate { index, estimate }
    }

    /// Whether the request may go to the upstream at `at`.
    fn is_eligible(&self, index: usize, req: &Request<'_>) -> bool {
        self.can_serve(index, req.route) && !req.tried.contains(&self.upstreams[index].up.id)
    }

    /// Whether the upstream at `at` is in use and in a region that may serve `route`.
    fn can_serve(&self, index: usize, route: &Route) -> bool {
        let state = &self.upstreams[index];
        self.in_use(state) && (route.homes.is_empty() || route.homes.contains(&state.region))
    }

    /// Whether this host may send to an upstream now as far as warming up goes: a cold one has a
    /// single sender, which keeps to its rate.
    fn warm_up_allows(
        &mut self,
        index: usize,
        cold_senders: &mut ColdSenders<'_>,
        now: Millis,
    ) -> bool {
        if self.upstreams[index].cold_until <= now {
            return true;
        }
        let state = &self.upstreams[index];
        let sender = cold_senders.sender_for(&state.region, state.up.id.as_str());
        sender == Some(&self.options.host) && self.upstreams[index].warm_up_tokens.has_token(now)
    }

    /// The upstreams that are meant to have the request's object cached: one in this region, and one
    /// in the others, of which those with more slots get more objects. Without other regions it is
    /// the second one in this region. Upstreams that fail or are slow stand back for the next ones.
    fn designated_upstreams(
        &self,
        all: &[usize],
        req: &Request<'_>,
        now: Millis,
    ) -> [Option<usize>; 2] {
        let Some(object) = req.object else { return [None; 2] };
        let healthy = |index: &usize| {
            self.can_serve(*index, req.route) && self.upstreams[*index].is_healthy(now)
        };
        let candidates = || all.iter().copied().filter(healthy);
        let mut slots_by_region: Vec<(&RegionId, f64)> = Vec::new();
        for index in candidates() {
            let state = &self.upstreams[index];
            let up_slots = f64::from(state.up.slots);
            match slots_by_region.iter_mut().find(|(region, _)| **region == state.region) {
                Some((_, sum)) => *sum += up_slots,
                None => slots_by_region.push((&state.region, up_slots)),
            }
        }
        let mut near: [Option<(u64, usize)>; 2] = [None; 2];
        let mut far: Option<(f64, usize)> = None;
        for index in candidates() {
            let state = &self.upstreams[index];
            let weight = rendezvous::weight(object, state.up.id.as_str());
            let score = Some((weight, index));
            if state.region != self.options.region {
                let found = slots_by_region.iter().find(|(region, _)| **region == state.region);
                let share = found.map_or(0.0, |(_, sum)| sum * sum);
                let score = rendezvous::weighted_score(weight, share);
                if far.is_none_or(|(best_score, _)| score > best_score) {
                    far = Some((score, index));
                }
            } else if score > near[0] {
                near = [score, near[0]];
            } else {
                near[1] = near[1].max(score);
            }
        }
        let first = near[0].map(|(_, index)| index);
        let second = far.map(|(_, index)| index).or(near[1].map(|(_, index)| index));
        [first, second]
    }
}

/// The chance that something which scatters around zero by one is less than `margin`.
fn probability_below(margin: f64) -> f64 {
    // The logistic function, scaled to come close to the normal distribution.
    1.0 / (1.0 + (-1.702 * margin).exp())
}
