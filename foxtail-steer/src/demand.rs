//! Estimates the request rate that the entry hosts of each region have to carry.
//!
//! The load that this answers: the first seconds of a day, or of a fleet that has lost power. No host has
//! counted requests yet, and callers keep the connections that they open then: if all are directed to two
//! hosts, these have most of the region's callers for long, and a host with a small share of a processor answers
//! them late.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;

/// The requests per second that a region is prepared for before any are counted. A fleet whose rate is
/// lower directs its callers to more hosts than it needs for a few seconds.
const UNKNOWN_RATE: f64 = 560.0;

/// The rate below which a region counts as one without callers, in requests per second.
const MIN_KNOWN_RATE: f64 = 1.0;

/// The time in which an estimate falls to a third of its distance from the counted rate. Callers whose host
/// is no longer named open new connections, so the estimate falls over a few times that a look-up is kept.
const DECAY_TIME: Millis = Millis::secs(4);

/// The estimated request rate of each region.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    by_region: BTreeMap<RegionId, Estimate>,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    per_s: f64,
    updated_at: Millis,
}

impl Demand {
    /// Records that the hosts of `region` count `counted` requests per second together. The estimate rises
    /// to it at once and falls to it slowly.
    pub(crate) fn record(&mut self, region: &RegionId, counted: f64, now: Millis) {
        let unknown = Estimate { per_s: UNKNOWN_RATE, updated_at: now };
        if !self.by_region.contains_key(region) {
            self.by_region.insert(region.clone(), unknown);
        }
        let estimate = self.by_region.get_mut(region).expect("inserted above");
        if counted < MIN_KNOWN_RATE {
            *estimate = unknown;
            return;
        }
        let elapsed = now.since(estimate.updated_at).as_secs_f64();
        let kept = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        let falling = counted + (estimate.per_s - counted) * kept;
        *estimate = Estimate { per_s: falling.max(counted), updated_at: now };
    }

    /// Returns the estimated requests per second of `region`.
    pub(crate) fn rate(&self, region: &RegionId) -> f64 {
        self.by_region.get(region).map_or(UNKNOWN_RATE, |estimate| estimate.per_s)
    }
}
