//! The bounded queue that the baselines share.

use std::collections::VecDeque;

use crate::model::{Micros, World};

/// Requests that wait for one of a fixed number of slots, in order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: VecDeque<usize>,
}

impl Queue {
    /// Takes a request in, or tells the caller that it did not run if `slots` slots would not get
    /// through the queue before its deadline.
    pub(crate) fn push<M>(&mut self, world: &mut World<'_, M>, req: usize, slots: usize) {
        let request = world.requests[req];
        let mean = Micros::from(world.shape.services[request.arrival.service].mean);
        let wait = mean.0 * (self.waiting.len() as u64 + 1) / slots.max(1) as u64;
        if slots == 0 || world.now + Micros(wait) + runs_within(mean) > request.deadline {
            world.not_run(req);
        } else {
            self.waiting.push_back(req);
        }
    }

    /// The next request whose deadline leaves time to run it; those before it did not run.
    pub(crate) fn pop<M>(&mut self, world: &mut World<'_, M>) -> Option<usize> {
        while let Some(req) = self.waiting.pop_front() {
            let request = world.requests[req];
            let mean = Micros::from(world.shape.services[request.arrival.service].mean);
            if world.now + runs_within(mean) <= request.deadline {
                return Some(req);
            }
            world.not_run(req);
        }
        None
    }
}

/// The time that nearly every request of this mean runs within.
fn runs_within(mean: Micros) -> Micros {
    Micros(mean.0 * 3)
}
