//! An upstream: slots, a short queue, a small cache.

use std::collections::VecDeque;

use super::setup::UpstreamSetup;
use crate::spec::{SLOTS_PER_UPSTREAM, WARM_WORK_SHARE};
use foxtail_steer::upstream::Load;

/// Requests that wait for a slot; more are refused.
const MAX_QUEUED_REQUESTS: usize = 9;

/// An upstream.
pub(super) struct Upstream {
    pub(super) setup: UpstreamSetup,
    running: u32,
    waiting: VecDeque<usize>,
    cached_objects: VecDeque<u64>,
    cache_capacity: usize,
}

/// What becomes of a request that arrives.
pub(super) enum Admission {
    /// A slot is free.
    Runs,
    /// It waits.
    Waits,
    /// It is refused unrun.
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

    /// Ends a request, and gives its slot to the next that waits.
    pub(super) fn finish(&mut self) -> Option<usize> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// How much of the work on `object` is left; it is cached from then on.
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
