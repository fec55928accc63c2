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

use crate::estimate::Work;
use crate::fleet::Senders;
use crate::rendezvous;
use crate::steering::Steering;
use crate::upstream::Upstream;
use crate::{Fleet, Route};

/// A cold upstream works this much slower.
const COLD_PACE: f64 = 2.0;

/// How sure it is that the first designated upstream of an object has it cached, before this host
/// has seen it answer.
const FIRST_WARM: f64 = 0.9;

/// The same for the other designated ones.
const OTHER_WARM: f64 = 0.2;

/// What a late answer is worth against one in time.
const LATE_WORTH: f64 = 0.2;

/// What an answer's delay costs, in late or early answers alike, for each objective that it takes.
const DELAY_COST: f64 = 0.05;

/// What it costs to load an object into the cache of an upstream that is not designated for it.
const EVICTION_COST: f64 = 1.0;

/// What crossing between regions costs, for the bytes on links that all traffic shares.
const CROSSING_COST: f64 = 0.03;

/// What the slot time of one request on a cached object costs at an upstream without free slots, in
/// answers in time that it displaces.
const BUSY_COST: f64 = 0.4;

/// The utilization from which slot time costs something; it rises to the full cost at 1.
const BUSY_FROM: f64 = 0.6;

/// The utilization beyond 1 that counts, for queues.
const BUSY_MOST: f64 = 1.5;

/// How far work scatters around what is expected, as a share of it.
const WORK_SPREAD: f64 = 0.15;

/// The same for waiting, which depends on requests of others.
const WAIT_SPREAD: f64 = 0.4;

/// How far everything else scatters, in milliseconds.
const OTHER_SPREAD_MS: f64 = 8.0;

/// The way between callers and this host, in milliseconds: it counts in the objective as well.
const CALLER_MS: f64 = 15.0;

/// The shortest time after which a refused caller is told to come back.
const COME_BACK_LEAST: Millis = Millis(50);

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
        why: Why,
    },
    /// Nowhere: the answer would come far too late.
    Overloaded {
        /// When to come back.
        retry_after: Millis,
        /// The upstream that would have been best.
        best: UpstreamId,
        /// What was expected of it.
        why: Why,
    },
    /// Nowhere: no upstream may take it.
    NoUpstream,
}

/// What a placement rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Why {
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
    pub in_time: f64,
    /// What sending it is worth against the slot time that it takes.
    pub utility: f64,
    /// Whether it is sent to an upstream that was left alone, since nothing else is there.
    pub last_resort: bool,
}

/// One upstream under consideration.
struct Candidate {
    at: usize,
    why: Why,
}

fn better(candidate: &Candidate, held: Option<&Candidate>) -> bool {
    held.is_none_or(|held| candidate.why.utility > held.why.utility)
}

/// How a request's object stands with an upstream.
#[derive(Clone, Copy)]
struct Cached {
    /// How likely the upstream has it cached.
    warm: f64,
    /// Whether the upstream is meant to have it.
    designated: bool,
    /// What loading it there costs.
    eviction: f64,
}

impl Steering {
    /// Decides where `req` goes.
    pub fn place(&mut self, req: &Request<'_>, fleet: &Fleet, now: Millis) -> Placement {
        let work = *self.work_of(req.service, req.route.objective);
        let Some(all) = self.by_service.get(req.service) else { return Placement::NoUpstream };
        let all = all.clone();
        let designated = self.designated(&all, req, now);
        self.survey(now);
        let mut capped = self.regions.clone();
        capped.retain(|region| !self.shift.allows(region, now));
        let mut senders = fleet.senders(now);
        let mut best: Option<Candidate> = None;
        let mut held_back: Option<Candidate> = None;
        let mut resort: Option<Candidate> = None;
        let mut candidates = 0;
        for at in all {
            if !self.allowed(at, req) || !self.may_warm(at, &mut senders, now) {
                continue;
            }
            let cached = self.cached(at, &designated, req);
            let candidate = self.weigh(at, cached, &work, req, now);
            let known = &self.table[at];
            let down = known.down_until > now;
            let held = match (down, capped.contains(&known.region)) {
                (true, _) => &mut resort,
                (false, true) => &mut held_back,
                (false, false) => &mut best,
            };
            candidates += usize::from(!down);
            if better(&candidate, held.as_ref()) {
                *held = Some(candidate);
            }
        }
        let best = best.or(held_back);
        let last_resort = best.is_none();
        let Some(mut found) = best.or(resort) else { return Placement::NoUpstream };
        found.why.candidates = candidates;
        found.why.last_resort = last_resort;
        self.admit(&found, req)
    }

    /// Whether the answer may be in time, or at least not far too late. A kind of request is always
    /// tried where slots are to spare, whatever the estimate says.
    fn is_worth_it(&self, found: &Candidate, req: &Request<'_>) -> bool {
        if found.why.wait_ms <= 0.0 && found.why.utilization < BUSY_FROM {
            return true;
        }
        let bound = req.route.objective.0 as f64 * self.options.refuse_factor;
        let expected = req.age.0 as f64 + found.why.expected_ms;
        expected <= bound && found.why.utility >= 0.0
    }

    fn admit(&self, found: &Candidate, req: &Request<'_>) -> Placement {
        let why = found.why;
        if !self.is_worth_it(found, req) {
            let retry_after = Millis(why.wait_ms as u64).max(COME_BACK_LEAST);
            let best = self.table[found.at].up.id.clone();
            return Placement::Overloaded { retry_after, best, why };
        }
        Placement::Send { up: self.table[found.at].up.clone(), why }
    }

    /// How the request's object stands with the upstream at `at`.
    fn cached(&mut self, at: usize, designated: &[Option<usize>; 2], req: &Request<'_>) -> Cached {
        let Some(object) = req.object else {
            return Cached { warm: 0.0, designated: true, eviction: 0.0 };
        };
        let cache = *self.cache_of(req.service);
        let rank = designated.iter().position(|other| *other == Some(at));
        let seen = self.table[at].objects.distance(object);
        let warm = match (seen, rank) {
            (Some(distance), _) => cache.holds(distance),
            (None, Some(0)) => FIRST_WARM,
            (None, Some(_)) => OTHER_WARM,
            (None, None) => 0.0,
        };
        let loads = if rank.is_some() { 0.0 } else { 1.0 - warm };
        let eviction = loads * EVICTION_COST;
        Cached { warm, designated: rank.is_some(), eviction }
    }

    /// What is expected of one upstream.
    fn weigh(
        &self,
        at: usize,
        cached: Cached,
        work: &Work,
        req: &Request<'_>,
        now: Millis,
    ) -> Candidate {
        let known = &self.table[at];
        let pace = known.pace_at(now) * if known.cold_until > now { COLD_PACE } else { 1.0 };
        let work_ms = (work.cold_ms - cached.warm * (work.cold_ms - work.warm_ms)) * pace;
        let wait_ms = known.waits(now, work.mean_ms);
        let rtt_ms = self.rtt_ms_to(&known.up.zone, &known.region);
        let expected_ms = rtt_ms + wait_ms + work_ms;
        let objective = req.route.objective.0 as f64;
        let left = objective - req.age.0 as f64 - CALLER_MS;
        let spread = WORK_SPREAD * work_ms + WAIT_SPREAD * wait_ms + OTHER_SPREAD_MS;
        let in_time = chance((left - expected_ms) / spread);
        let worth = in_time + LATE_WORTH * (1.0 - in_time);
        let utilization = known.utilization(now).min(BUSY_MOST);
        let busy = ((utilization - BUSY_FROM) / (1.0 - BUSY_FROM)).max(0.0);
        // Loading an object where it belongs is no loss: the next requests need it there.
        let slot_ms = if cached.designated { work.warm_ms * pace } else { work_ms };
        let crossing = if known.region == self.options.region { 0.0 } else { CROSSING_COST };
        let utility = worth * (1.0 - known.errors_at(now))
            - BUSY_COST * busy * slot_ms / work.warm_ms.max(1.0)
            - DELAY_COST * expected_ms / objective
            - crossing
            - cached.eviction;
        let why = Why {
            expected_ms,
            wait_ms,
            load: known.load(now),
            report_age: known.reported.map(|at| now.since(at)),
            utilization,
            in_time,
            utility,
            candidates: 0,
            last_resort: false,
        };
        Candidate { at, why }
    }

    /// Whether the request may go to the upstream at `at`.
    fn allowed(&self, at: usize, req: &Request<'_>) -> bool {
        self.is_home(at, req.route) && !req.tried.contains(&self.table[at].up.id)
    }

    /// Whether the upstream at `at` is in use and in a region that may serve `route`.
    fn is_home(&self, at: usize, route: &Route) -> bool {
        let known = &self.table[at];
        self.in_use(known) && (route.homes.is_empty() || route.homes.contains(&known.region))
    }

    /// Whether this host may send to an upstream now as far as warming up goes: a cold one has a
    /// single sender, which keeps to its rate.
    fn may_warm(&mut self, at: usize, senders: &mut Senders<'_>, now: Millis) -> bool {
        if self.table[at].cold_until <= now {
            return true;
        }
        let known = &self.table[at];
        let sender = senders.of(&known.region, known.up.id.as_str());
        sender == Some(&self.options.host) && self.table[at].cold.ready(now)
    }

    /// The upstreams that are meant to have the request's object cached: one in this region, and one
    /// in the others, of which those with more slots get more objects. Without other regions it is
    /// the second one in this region. Upstreams that fail or are slow stand back for the next ones.
    fn designated(&self, all: &[usize], req: &Request<'_>, now: Millis) -> [Option<usize>; 2] {
        let Some(object) = req.object else { return [None; 2] };
        let well = |at: &usize| self.is_home(*at, req.route) && self.table[*at].is_well(now);
        let fit = || all.iter().copied().filter(well);
        let mut slots: Vec<(&RegionId, f64)> = Vec::new();
        for at in fit() {
            let known = &self.table[at];
            let more = f64::from(known.up.slots);
            match slots.iter_mut().find(|(region, _)| **region == known.region) {
                Some((_, sum)) => *sum += more,
                None => slots.push((&known.region, more)),
            }
        }
        let mut near: [Option<(u64, usize)>; 2] = [None; 2];
        let mut far: Option<(f64, usize)> = None;
        for at in fit() {
            let known = &self.table[at];
            let weight = rendezvous::weight(object, known.up.id.as_str());
            let weighed = Some((weight, at));
            if known.region != self.options.region {
                let found = slots.iter().find(|(region, _)| **region == known.region);
                let share = found.map_or(0.0, |(_, sum)| sum * sum);
                let weighed = rendezvous::weighted(weight, share);
                if far.is_none_or(|(most, _)| weighed > most) {
                    far = Some((weighed, at));
                }
            } else if weighed > near[0] {
                near = [weighed, near[0]];
            } else {
                near[1] = near[1].max(weighed);
            }
        }
        let first = near[0].map(|(_, at)| at);
        let second = far.map(|(_, at)| at).or(near[1].map(|(_, at)| at));
        [first, second]
    }
}

/// The chance that something which scatters around zero by one is less than `margin`.
fn chance(margin: f64) -> f64 {
    // The logistic function, scaled to come close to the normal distribution.
    1.0 / (1.0 + (-1.702 * margin).exp())
}
