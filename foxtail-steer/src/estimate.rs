//! How long requests take at upstreams, learned from answers.

use foxtail_types::prelude::*;

/// How much one answer moves an estimate.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Before any answer, work on an object that is not cached is taken for this many objectives.
const INITIAL_COLD_OBJECTIVES: f64 = 1.2;

/// Before any answer, work on a cached object is taken for this many objectives.
const INITIAL_WARM_OBJECTIVES: f64 = 0.4;

/// Answers outside of these multiples of the nearer estimate tell of a slow upstream or a short
/// error, not of the kind of work, and do not move it.
const PLAUSIBLE_RATIOS: std::ops::Range<f64> = 0.3..2.5;

/// Upstreams whose pace is within these bounds tell how long work takes.
const USUAL_SLOWDOWNS: std::ops::Range<f64> = 0.6..1.6;

/// The work of one kind of request: those with one objective at one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkTimes {
    /// At an upstream that has the object cached, in milliseconds.
    pub(crate) warm_ms: f64,
    /// At an upstream that has not.
    pub(crate) cold_ms: f64,
    /// Over all answers.
    pub(crate) mean_ms: f64,
}

impl WorkTimes {
    /// What is assumed before any answer.
    pub(crate) fn new(objective: Millis) -> Self {
        let objective_ms = objective.0 as f64;
        Self {
            warm_ms: objective_ms * INITIAL_WARM_OBJECTIVES,
            cold_ms: objective_ms * INITIAL_COLD_OBJECTIVES,
            mean_ms: objective_ms * INITIAL_COLD_OBJECTIVES,
        }
    }

    /// Whether work of `took_ms` is more like work on an object that was not cached.
    pub(crate) fn is_likely_cold(&self, took_ms: f64) -> bool {
        took_ms * took_ms > self.warm_ms * self.cold_ms
    }

    /// Learns from an answer of an upstream that takes `pace` times as long as others. One that is
    /// far from usual says nothing about the work.
    pub(crate) fn update(&mut self, took_ms: f64, slowdown: f64) {
        if !USUAL_SLOWDOWNS.contains(&slowdown) {
            return;
        }
        let took_ms = took_ms / slowdown;
        let cold = self.is_likely_cold(took_ms);
        let nearer = if cold { &mut self.cold_ms } else { &mut self.warm_ms };
        if PLAUSIBLE_RATIOS.contains(&(took_ms / nearer.max(1.0))) {
            *nearer += SMOOTHING_FACTOR * (took_ms - *nearer);
            self.mean_ms += SMOOTHING_FACTOR * (took_ms - self.mean_ms);
        }
    }
}

/// How many objects an upstream of a service keeps cached, of those that one host sends it.
///
/// Nobody tells the size, and other hosts' objects share the cache, so that it is learned from
/// whether an answer was as fast as one from the cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheSize(f64);

/// The size that is assumed before any answer.
const INITIAL_CACHE_OBJECTS: f64 = 16.0;

/// The bounds of a learned size.
const CACHE_OBJECTS_BOUNDS: (f64, f64) = (2.0, 120.0);

/// How much one answer that the size does not explain moves it.
const CACHE_SMOOTHING_FACTOR: f64 = 0.03;

impl Default for CacheSize {
    fn default() -> Self {
        Self(INITIAL_CACHE_OBJECTS)
    }
}

impl CacheSize {
    /// The belief that an object is cached, after `distance` other ones of this host.
    pub(crate) fn hit_probability(self, reuse_distance: usize) -> f64 {
        let relative_distance = reuse_distance as f64 / self.0;
        (1.4 - relative_distance * 0.8).clamp(0.05, 0.95)
    }

    /// Learns from an answer about an object that was last handled `distance` objects before.
    pub(crate) fn update(&mut self, reuse_distance: usize, cold: bool) {
        let reuse_distance = reuse_distance as f64;
        let (min, max) = CACHE_OBJECTS_BOUNDS;
        if cold && reuse_distance < self.0 {
            self.0 -= CACHE_SMOOTHING_FACTOR * (self.0 - reuse_distance);
        } else if !cold && reuse_distance > self.0 * 0.5 {
            self.0 += CACHE_SMOOTHING_FACTOR * (reuse_distance + 1.0);
        }
        self.0 = self.0.clamp(min, max);
    }
}
