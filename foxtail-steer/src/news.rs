//! Spreads news over the hosts of a region with a bounded number of messages.
//!
//! The load that this answers: links or upstreams break many connections at once, and each of hundreds
//! of strikes is news to all hosts. Were each host to pass each of them on to all others, N hosts would
//! send N x N messages for each. Here a host tells a few others at once, and at most once in each
//! interval; what comes in between goes along with the next message. Each host passes an item on when
//! it hears of it first, so that it reaches a region in a number of rounds that grows with the logarithm
//! of its size. Hosts that no message reached hear of it from periodic digests.

use foxtail_types::prelude::*;

/// Number of hosts that a host tells news at a time.
pub const NEWS_TARGETS: usize = 4;

/// Shortest time between two times at which a host tells news: 10 messages a second.
pub const NEWS_INTERVAL: Millis = Millis(400);

/// When a host tells others of news.
#[derive(Debug, Default)]
pub struct NewsPacer {
    /// Whether there are news that were not told.
    pending: bool,
    /// When news were last told.
    told_at: Option<Millis>,
}

impl NewsPacer {
    /// Records that there are news.
    pub fn add(&mut self) {
        self.pending = true;
    }

    /// Returns the time until news are due, or `None` if there are none.
    pub fn due_in(&self, now: Millis) -> Option<Millis> {
        let due_at = self.told_at.map_or(now, |at| at + NEWS_INTERVAL);
        self.pending.then(|| due_at.since(now))
    }

    /// Returns whether news are due, and records that they are told.
    pub fn take(&mut self, now: Millis) -> bool {
        let is_due = self.due_in(now) == Some(Millis::ZERO);
        if is_due {
            self.pending = false;
            self.told_at = Some(now);
        }
        is_due
    }
}
