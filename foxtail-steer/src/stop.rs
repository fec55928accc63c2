//! Decides which requests a stopping host still takes.
//!
//! The load that this answers: callers keep using a host that was told to stop, over connections that
//! are open. What it sends to an upstream and can't finish is lost, and what must not be repeated is
//! lost for good. A request that is refused at once is served by another host.

use foxtail_types::prelude::*;

use crate::steering::Estimate;

/// How much longer than estimated a request may take. The work time of single requests, and the wait at
/// an upstream that other hosts use too, vary by about half of it.
const FINISH_MARGIN: f64 = 1.5;

/// The plan of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// When the requests that are still under way are ended.
    pub cut_off_at: Millis,
}

impl Stop {
    /// Returns whether a request that was not sent yet is likely to reach its caller before the end, going by
    /// the estimate for its upstream and by how long passing on its response may take.
    pub fn can_finish(&self, estimate: &Estimate, delivery: Millis, now: Millis) -> bool {
        let takes_ms = estimate.uncached_ms + delivery.0 as f64;
        takes_ms * FINISH_MARGIN <= self.cut_off_at.since(now).0 as f64
    }
}
