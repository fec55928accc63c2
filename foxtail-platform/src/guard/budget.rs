//! Limits the rate of a host's calls to its share of the table service's rate.

use foxtail_types::prelude::*;

use crate::table::Priority;

/// Milli-tokens per call in the token bucket.
const MILLI_TOKENS_PER_CALL: u64 = 1_000;

/// Percentage of the current rate that remains after the table service refuses a call for its rate
/// limit.
const SHRINK_TO_PERCENT: u64 = 70;

/// Minimum percentage of the rate that remains after refusals.
const MIN_RATE_PERCENT: u64 = 10;

/// Percentage points of the rate that are regained per second.
const GROW_PERCENT_PER_S: u64 = 10;

/// Maximum percentage of the rate after an outage.
const RESTART_RATE_PERCENT: u64 = 25;

/// Minimum time between two refusals that shrink the rate, so that one burst of refusals counts
/// once.
const SHRINK_INTERVAL: Millis = Millis(250);

/// Rate and burst of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Calls per second.
    pub per_s: u32,
    /// Number of calls that may start at once after an idle time.
    pub burst: u32,
}

/// A token bucket whose rate shrinks when the table service refuses calls and grows back over time.
#[derive(Clone, Debug)]
pub struct CallBudget {
    rate: Rate,
    tokens_milli: u64,
    refilled_at: Millis,
    rate_percent: u64,
    rate_percent_updated_at: Millis,
    shrunk_at: Millis,
}

impl CallBudget {
    /// Creates a full bucket.
    pub fn new(rate: Rate, now: Millis) -> Self {
        let tokens_milli = u64::from(rate.burst) * MILLI_TOKENS_PER_CALL;
        Self {
            rate,
            tokens_milli,
            refilled_at: now,
            rate_percent: 100,
            rate_percent_updated_at: now,
            shrunk_at: Millis::ZERO,
        }
    }

    /// Sets the rate and burst.
    pub fn set_rate(&mut self, rate: Rate, now: Millis) {
        self.refill(now);
        self.rate = rate;
        self.tokens_milli = self.tokens_milli.min(self.capacity_milli());
    }

    /// Takes the token for one call of `priority`.
    ///
    /// # Errors
    ///
    /// Returns how long to wait before trying again.
    pub fn try_acquire(&mut self, priority: Priority, now: Millis) -> Result<(), Millis> {
        match self.wait_time(priority, now) {
            Millis::ZERO => {
                self.tokens_milli -= MILLI_TOKENS_PER_CALL;
                Ok(())
            }
            wait => Err(wait),
        }
    }

    /// Returns how long a call of `priority` has to wait.
    pub fn wait_time(&mut self, priority: Priority, now: Millis) -> Millis {
        self.refill(now);
        let needed_milli =
            (MILLI_TOKENS_PER_CALL + self.reserved_milli(priority)).min(self.capacity_milli());
        let lacking_milli = needed_milli.saturating_sub(self.tokens_milli);
        Millis(lacking_milli.div_ceil(self.allowed_per_s()))
    }

    /// Shrinks the rate after the table service refused a call for its rate limit.
    pub fn shrink(&mut self, now: Millis) {
        self.refill(now);
        if self.shrunk_at + SHRINK_INTERVAL > now && self.shrunk_at > Millis::ZERO {
            return;
        }
        self.shrunk_at = now;
        self.rate_percent = (self.rate_percent * SHRINK_TO_PERCENT / 100).max(MIN_RATE_PERCENT);
    }

    /// Reduces the rate and the tokens after an outage, so that the hosts do not return all at
    /// once.
    pub fn restart_after_outage(&mut self, now: Millis) {
        self.refill(now);
        self.rate_percent = self.rate_percent.min(RESTART_RATE_PERCENT);
        self.tokens_milli = self
            .tokens_milli
            .min(self.capacity_milli() * RESTART_RATE_PERCENT / 100)
            .max(MILLI_TOKENS_PER_CALL);
    }

    /// Returns the number of calls per second that are allowed now.
    pub fn allowed_per_s(&self) -> u64 {
        (u64::from(self.rate.per_s) * self.rate_percent / 100).max(1)
    }

    /// Returns the milli-tokens that a call of `priority` must leave for more important calls.
    fn reserved_milli(&self, priority: Priority) -> u64 {
        let percent = match priority {
            Priority::Lease => 0,
            Priority::Claim => 20,
            Priority::Config => 40,
            Priority::Housekeeping => 60,
        };
        self.capacity_milli() * percent / 100
    }

    fn capacity_milli(&self) -> u64 {
        u64::from(self.rate.burst.max(1)) * MILLI_TOKENS_PER_CALL
    }

    fn refill(&mut self, now: Millis) {
        let gained_milli = now.since(self.refilled_at).0.saturating_mul(self.allowed_per_s());
        self.tokens_milli =
            self.tokens_milli.saturating_add(gained_milli).min(self.capacity_milli());
        self.refilled_at = self.refilled_at.max(now);
        let grown_percent = now.since(self.rate_percent_updated_at).0 * GROW_PERCENT_PER_S / 1_000;
        if grown_percent > 0 {
            self.rate_percent = (self.rate_percent + grown_percent).min(100);
            self.rate_percent_updated_at = now;
        }
    }
}
