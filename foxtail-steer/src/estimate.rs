//! Estimates how long requests take at upstreams, from their answers.

use foxtail_types::prelude::*;

/// Weight of one answer in an estimate.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Initial estimate for work on an object that is not cached, in latency objectives.
const INITIAL_MISS_OBJECTIVES: f64 = 1.2;

/// Initial estimate for work on a cached object, in latency objectives.
const INITIAL_HIT_OBJECTIVES: f64 = 0.4;

/// Ratios of measured to estimated time at which an answer updates the nearer estimate. Answers
/// outside this range are caused by a slow upstream or a quick error rather than by the kind of
/// work.
const PLAUSIBLE_RATIOS: std::ops::Range<f64> = 0.3..2.5;

/// Slowdowns at which an upstream's answers update the estimates.
const USUAL_SLOWDOWNS: std::ops::Range<f64> = 0.6..1.6;

/// Estimated work times of the requests to one service that have the same latency objective.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkTimes {
    /// Time at an upstream that has the object cached, in milliseconds.
    pub(crate) hit_ms: f64,
    /// Time at an upstream that does not have the object cached, in milliseconds.
    pub(crate) miss_ms: f64,
    /// Smoothed mean over both kinds of answers, in milliseconds.
    pub(crate) mean_ms: f64,
}

impl WorkTimes {
    /// Creates the estimates that apply before any answer.
    pub(crate) fn new(objective: Millis) -> Self {
        let objective_ms = objective.0 as f64;
        Self {
            hit_ms: objective_ms * INITIAL_HIT_OBJECTIVES,
            miss_ms: objective_ms * INITIAL_MISS_OBJECTIVES,
            mean_ms: objective_ms * INITIAL_MISS_OBJECTIVES,
        }
    }

    /// Returns whether `took_ms` is closer, by ratio, to the time of a cache miss than to that of a
    /// cache hit.
    pub(crate) fn is_likely_miss(&self, took_ms: f64) -> bool {
        took_ms * took_ms > self.hit_ms * self.miss_ms
    }

    /// Updates the estimates from an answer after `took_ms`, by an upstream that takes `slowdown`
    /// times as long as expected. Answers of unusually fast or slow upstreams are ignored.
    pub(crate) fn update(&mut self, took_ms: f64, slowdown: f64) {
        if !USUAL_SLOWDOWNS.contains(&slowdown) {
            return;
        }
        let took_ms = took_ms / slowdown;
        let is_miss = self.is_likely_miss(took_ms);
        let nearer = if is_miss { &mut self.miss_ms } else { &mut self.hit_ms };
        if PLAUSIBLE_RATIOS.contains(&(took_ms / nearer.max(1.0))) {
            *nearer += SMOOTHING_FACTOR * (took_ms - *nearer);
            self.mean_ms += SMOOTHING_FACTOR * (took_ms - self.mean_ms);
        }
    }
}

/// Estimated number of objects requested by this host that an upstream of a service keeps cached.
///
/// Upstreams do not report the size of their cache, and objects requested by other hosts take up
/// part of it. The size is therefore estimated from whether answers were as fast as those for
/// cached objects.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheSize(f64);

/// The size that is assumed before any answer.
const INITIAL_CACHE_OBJECTS: f64 = 16.0;

/// Smallest and largest estimated size.
const CACHE_OBJECTS_BOUNDS: (f64, f64) = (2.0, 120.0);

/// Weight of an answer in the estimated size.
const CACHE_SMOOTHING_FACTOR: f64 = 0.03;

impl Default for CacheSize {
    fn default() -> Self {
        Self(INITIAL_CACHE_OBJECTS)
    }
}

impl CacheSize {
    /// Returns the probability that an object with `reuse_distance` is cached. It falls linearly
    /// with the distance, and is 0.6 at a distance equal to the estimated size.
    pub(crate) fn hit_probability(self, reuse_distance: usize) -> f64 {
        let relative_distance = reuse_distance as f64 / self.0;
        (1.4 - relative_distance * 0.8).clamp(0.05, 0.95)
    }

    /// Updates the size from an answer for an object with `reuse_distance`, which was not cached if
    /// `is_miss` is set. A miss at a distance below the size lowers the size, and a hit at a
    /// distance above half the size raises it.
    pub(crate) fn update(&mut self, reuse_distance: usize, is_miss: bool) {
        let reuse_distance = reuse_distance as f64;
        let (min, max) = CACHE_OBJECTS_BOUNDS;
        if is_miss && reuse_distance < self.0 {
            self.0 -= CACHE_SMOOTHING_FACTOR * (self.0 - reuse_distance);
        } else if !is_miss && reuse_distance > self.0 * 0.5 {
            self.0 += CACHE_SMOOTHING_FACTOR * (reuse_distance + 1.0);
        }
        self.0 = self.0.clamp(min, max);
    }
}
