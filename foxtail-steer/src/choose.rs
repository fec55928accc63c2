//! Which upstream a request goes to, or why none.
//!
//! The load it answers: upstreams have few slots, an answer after the objective is worth little, and
//! an upstream works much faster on an object that it handled lately. Each object has a preferred
//! upstream in each region, the same on every host, so that few upstreams have to learn it. Requests
//! go where the answer is expected first: the way, the wait for a slot and the work on the object.
//! When slots are taken everywhere and the answer would come far too late, the request is refused
//! at once, so that the ones that can make it are not behind it.

use foxtail_types::prelude::*;

use crate::rendezvous;
use crate::steering::{Known, Steering};
use crate::upstream::Upstream;
use crate::{Fleet, Route};

/// A cold upstream works this much slower.
const COLD_PACE: f64 = 2.0;

/// How sure it is that the preferred upstream of an object in its region has it cached.
const PREFERRED_WARM: f64 = 0.95;

/// The same for the next one, which takes what the preferred one has no slots for.
const SECOND_WARM: f64 = 0.5;

/// Milliseconds by which a busier upstream is put behind an idle one with the same expectation, for
/// each of its slots taken.
const BUSY_MS: f64 = 2.0;

/// Milliseconds that a crossing between regions is put behind, for the bytes on links that all
/// traffic shares.
const CROSSING_MS: f64 = 10.0;

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
        /// What was expected of the best upstream.
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
    /// How old its last report of load is.
    pub report_age: Millis,
    /// How many upstreams could take the request.
    pub candidates: usize,
    /// Whether it is sent to an upstream that was left alone, since nothing else is there.
    pub last_resort: bool,
}

/// The two upstreams with the highest rendezvous weights.
type TopTwo = [Option<(u64, usize)>; 2];

/// One upstream under consideration.
struct Candidate {
    at: usize,
    score: f64,
    why: Why,
}

impl Steering {
    /// Decides where `req` goes.
    pub fn place(&mut self, req: &Request<'_>, fleet: &Fleet, now: Millis) -> Placement {
        let work = *self.work_of(req.service, req.route.objective);
        let Some(all) = self.by_service.get(req.service) else { return Placement::NoUpstream };
        let all = all.clone();
        let preferred = self.preferred(&all, req);
        self.survey(now);
        let regions: Vec<RegionId> = self.options.zones.values().cloned().collect();
        let mut capped = regions;
        capped.sort();
        capped.dedup();
        capped.retain(|region| !self.shift.allows(region, now));
        let mut best: Option<Candidate> = None;
        let mut held_back: Option<Candidate> = None;
        let mut resort: Option<Candidate> = None;
        let mut candidates = 0;
        for at in all {
            if !self.allowed(at, req) || !self.may_warm(at, fleet, now) {
                continue;
            }
            let known = &self.table[at];
            let rank = preferred.iter().position(|two| two.contains(&Some(at)));
            let warm = match (req.object, rank) {
                (None, _) => 0.0,
                (Some(object), _) if known.objects.holds(object) => 1.0,
                (Some(_), Some(0)) => PREFERRED_WARM,
                (Some(_), Some(_)) => SECOND_WARM,
                (Some(_), None) => 0.0,
            };
            let work_ms = work.cold_ms - warm * (work.cold_ms - work.warm_ms);
            let candidate = self.expect(at, known, work_ms, work.mean_ms, req, now);
            let down = known.down_until > now;
            let held = match (down, capped.contains(&known.region)) {
                (true, _) => &mut resort,
                (false, true) => &mut held_back,
                (false, false) => &mut best,
            };
            candidates += usize::from(!down);
            if held.as_ref().is_none_or(|other| candidate.score < other.score) {
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

    fn admit(&self, found: &Candidate, req: &Request<'_>) -> Placement {
        let why = found.why;
        let bound = req.route.objective.0 as f64 * self.options.refuse_factor;
        let expected = req.age.0 as f64 + why.expected_ms;
        // A kind of request is always tried where slots are free, whatever the estimate says.
        if why.wait_ms > 0.0 && expected > bound {
            let retry_after = Millis(why.wait_ms as u64).max(COME_BACK_LEAST);
            return Placement::Overloaded { retry_after, why };
        }
        Placement::Send { up: self.table[found.at].up.clone(), why }
    }

    /// What is expected of one upstream.
    fn expect(
        &self,
        at: usize,
        known: &Known,
        work_ms: f64,
        mean_ms: f64,
        req: &Request<'_>,
        now: Millis,
    ) -> Candidate {
        let rtt_ms = self.rtt_ms_to(&known.up.zone, &known.region);
        let cold = if known.cold_until > now { COLD_PACE } else { 1.0 };
        let wait_ms = known.waits(now, mean_ms) * cold;
        let load = known.load(now);
        let expected_ms = rtt_ms + wait_ms + work_ms * known.pace_at(now) * cold;
        let crossing = if known.region == self.options.region { 0.0 } else { CROSSING_MS };
        let failing = known.errors_at(now) * req.route.objective.0 as f64;
        let score = expected_ms + failing + crossing + load * BUSY_MS;
        let report_age = now.since(known.reported);
        let why = Why { expected_ms, wait_ms, load, report_age, candidates: 0, last_resort: false };
        Candidate { at, score, why }
    }

    fn allowed(&self, at: usize, req: &Request<'_>) -> bool {
        let known = &self.table[at];
        let homes = &req.route.homes;
        !known.gone
            && !known.up.draining
            && !self.evacuated.contains_key(&known.up.zone)
            && (homes.is_empty() || homes.contains(&known.region))
            && !req.tried.contains(&known.up.id)
    }

    /// Whether this host may send to an upstream now as far as warming up goes: a cold one has a
    /// single sender, which keeps to its rate.
    fn may_warm(&mut self, at: usize, fleet: &Fleet, now: Millis) -> bool {
        if self.table[at].cold_until <= now {
            return true;
        }
        let known = &self.table[at];
        let sender = fleet.sender(&known.region, known.up.id.as_str(), now);
        sender == Some(&self.options.host) && self.table[at].cold.ready(now)
    }

    /// The preferred upstreams of the request's object: first those that come first in their region,
    /// then those that come second.
    fn preferred(&self, all: &[usize], req: &Request<'_>) -> [Vec<Option<usize>>; 2] {
        let Some(object) = req.object else { return Default::default() };
        let mut regions: Vec<(&RegionId, TopTwo)> = Vec::new();
        for &at in all {
            let known = &self.table[at];
            if known.gone || known.up.draining || self.evacuated.contains_key(&known.up.zone) {
                continue;
            }
            let weighed = Some((rendezvous::weight(object, known.up.id.as_str()), at));
            let found = match regions.iter().position(|(region, _)| **region == known.region) {
                Some(found) => found,
                None => {
                    regions.push((&known.region, [None; 2]));
                    regions.len() - 1
                }
            };
            let two = &mut regions[found].1;
            if weighed > two[0] {
                *two = [weighed, two[0]];
            } else if weighed > two[1] {
                two[1] = weighed;
            }
        }
        [0, 1].map(|rank| regions.iter().map(|(_, two)| two[rank].map(|(_, at)| at)).collect())
    }
}
