//! A host's share of the store's rate.

use foxtail_types::prelude::*;

use crate::table::Priority;

/// Thousandths of a call, the unit of the bucket.
const MILLI: u64 = 1_000;

/// What is left of the share when the store says it is too much, and the least that is left.
const SHRINK_PERCENT: u64 = 70;
const MIN_PERCENT: u64 = 10;

/// How much of the share comes back each second.
const GROW_PERCENT_PER_S: u64 = 10;

/// The share with which a host comes back after an outage.
const RESTART_PERCENT: u64 = 25;

/// The wait between two refusals that count, so that one burst of refusals counts once.
const SHRINK_INTERVAL: Millis = Millis(250);

/// A rate of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Calls a second.
    pub per_s: u32,
    /// How many may go at once after a quiet time.
    pub burst: u32,
}

/// A token bucket whose rate gives way.
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
    /// A full bucket.
    pub fn new(rate: Rate, now: Millis) -> Self {
        let tokens_milli = u64::from(rate.burst) * MILLI;
        Self {
            rate,
            tokens_milli,
            refilled_at: now,
            rate_percent: 100,
            rate_percent_updated_at: now,
            shrunk_at: Millis::ZERO,
        }
    }

    /// Sets the rate.
    pub fn set_rate(&mut self, rate: Rate, now: Millis) {
        self.refill(now);
        self.rate = rate;
        self.tokens_milli = self.tokens_milli.min(self.capacity_milli());
    }

    /// Takes one call of `priority`.
    ///
    /// # Errors
    ///
    /// How long to wait before asking again.
    pub fn try_acquire(&mut self, priority: Priority, now: Millis) -> Result<(), Millis> {
        match self.wait_time(priority, now) {
            Millis::ZERO => {
                self.tokens_milli -= MILLI;
                Ok(())
            }
            wait => Err(wait),
        }
    }

    /// How long a call of `priority` has to wait.
    pub fn wait_time(&mut self, priority: Priority, now: Millis) -> Millis {
        self.refill(now);
        let needed_milli = (MILLI + self.reserved_milli(priority)).min(self.capacity_milli());
        let lacking_milli = needed_milli.saturating_sub(self.tokens_milli);
        Millis(lacking_milli.div_ceil(self.allowed_per_s()))
    }

    /// Gives way, as the store says that its rate is exceeded.
    pub fn shrink(&mut self, now: Millis) {
        self.refill(now);
        if self.shrunk_at + SHRINK_INTERVAL > now && self.shrunk_at > Millis::ZERO {
            return;
        }
        self.shrunk_at = now;
        self.rate_percent = (self.rate_percent * SHRINK_PERCENT / 100).max(MIN_PERCENT);
    }

    /// Starts small after an outage.
    pub fn restart_after_outage(&mut self, now: Millis) {
        self.refill(now);
        self.rate_percent = self.rate_percent.min(RESTART_PERCENT);
        self.tokens_milli =
            self.tokens_milli.min(self.capacity_milli() * RESTART_PERCENT / 100).max(MILLI);
    }

    /// Calls a second as they are allowed now.
    pub fn allowed_per_s(&self) -> u64 {
        (u64::from(self.rate.per_s) * self.rate_percent / 100).max(1)
    }

    /// What a call of `priority` must leave to more important ones.
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
        u64::from(self.rate.burst.max(1)) * MILLI
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
