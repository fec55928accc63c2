//! A simulated upstream with slots, a short queue and a small cache.

use std::collections::VecDeque;

use super::setup::UpstreamSetup;
use crate::spec::{SLOTS_PER_UPSTREAM, WARM_WORK_SHARE};
use foxtail_steer::upstream::Load;

/// The most requests that wait for a slot; further ones are refused.
const MAX_QUEUED_REQUESTS: usize = 9;

/// A simulated upstream; requests and objects are numbers.
pub(super) struct Upstream {
    pub(super) setup: UpstreamSetup,
    running: u32,
    waiting: VecDeque<usize>,
    cached_objects: VecDeque<u64>,
    cache_capacity: usize,
}

/// What an upstream does with a request that arrives.
pub(super) enum Admission {
    /// It runs the request in a free slot.
    Runs,
    /// It queues the request.
    Waits,
    /// It refuses the request and does not run it.
    Shed,
}

impl Upstream {
    pub(super) fn new(setup: UpstreamSetup, cache_capacity: usize) -> Self {
        Self {
            setup,
            running: 0,
            waiting: VecDeque::new(),
            cached_objects: VecDeque::new(),
            cache_capacity,
        }
    }

    pub(super) fn admit(&mut self, request: usize) -> Admission {
        if self.running < SLOTS_PER_UPSTREAM {
            self.running += 1;
            return Admission::Runs;
        }
        if self.waiting.len() >= MAX_QUEUED_REQUESTS {
            return Admission::Shed;
        }
        self.waiting.push_back(request);
        Admission::Waits
    }

    /// Ends a request and returns the queued request that gets its slot, if there is one.
    pub(super) fn finish(&mut self) -> Option<usize> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// Returns the work on `object` as a share of uncached work, and puts it into the cache.
    pub(super) fn use_object(&mut self, object: u64) -> f64 {
        let warm = self.has_cached(object);
        self.cached_objects.retain(|cached| *cached != object);
        self.cached_objects.push_back(object);
        if self.cached_objects.len() > self.cache_capacity {
            self.cached_objects.pop_front();
        }
        if warm { WARM_WORK_SHARE } else { 1.0 }
    }

    pub(super) fn has_cached(&self, object: u64) -> bool {
        self.cached_objects.contains(&object)
    }

    pub(super) fn in_flight(&self) -> usize {
        self.running as usize + self.waiting.len()
    }

    pub(super) fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: SLOTS_PER_UPSTREAM,
        }
    }
}
