//! A host's share of the store's rate.

use foxtail_types::prelude::*;

use crate::table::Priority;

/// Thousandths of a call, the unit of the bucket.
const MILLI: u64 = 1_000;

/// What is left of the share when the store says it is too much, and the least that is left.
const SHRINK_PERCENT: u64 = 70;
const LEAST_PERCENT: u64 = 10;

/// How much of the share comes back each second.
const GROW_PERCENT_PER_S: u64 = 10;

/// The share with which a host comes back after an outage.
const RESTART_PERCENT: u64 = 25;

/// The wait between two refusals that count, so that one burst of refusals counts once.
const SHRINK_EVERY: Millis = Millis(250);

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
pub struct Budget {
    rate: Rate,
    left_milli: u64,
    filled: Millis,
    percent: u64,
    percent_at: Millis,
    shrunk: Millis,
}

impl Budget {
    /// A full bucket.
    pub fn new(rate: Rate, now: Millis) -> Self {
        let left_milli = u64::from(rate.burst) * MILLI;
        Self { rate, left_milli, filled: now, percent: 100, percent_at: now, shrunk: Millis::ZERO }
    }

    /// Sets the rate.
    pub fn set_rate(&mut self, rate: Rate, now: Millis) {
        self.fill(now);
        self.rate = rate;
        self.left_milli = self.left_milli.min(self.full_milli());
    }

    /// Takes one call of `priority`.
    ///
    /// # Errors
    ///
    /// How long to wait before asking again.
    pub fn take(&mut self, priority: Priority, now: Millis) -> Result<(), Millis> {
        match self.wait(priority, now) {
            Millis::ZERO => {
                self.left_milli -= MILLI;
                Ok(())
            }
            wait => Err(wait),
        }
    }

    /// How long a call of `priority` has to wait.
    pub fn wait(&mut self, priority: Priority, now: Millis) -> Millis {
        self.fill(now);
        let needed = (MILLI + self.reserved_milli(priority)).min(self.full_milli());
        let lacking = needed.saturating_sub(self.left_milli);
        Millis(lacking.div_ceil(self.per_s()))
    }

    /// Gives way, as the store says that its rate is exceeded.
    pub fn shrink(&mut self, now: Millis) {
        self.fill(now);
        if self.shrunk + SHRINK_EVERY > now && self.shrunk > Millis::ZERO {
            return;
        }
        self.shrunk = now;
        self.percent = (self.percent * SHRINK_PERCENT / 100).max(LEAST_PERCENT);
    }

    /// Starts small after an outage.
    pub fn restart(&mut self, now: Millis) {
        self.fill(now);
        self.percent = self.percent.min(RESTART_PERCENT);
        self.left_milli = self.left_milli.min(self.full_milli() * RESTART_PERCENT / 100).max(MILLI);
    }

    /// Calls a second as they are allowed now.
    pub fn per_s(&self) -> u64 {
        (u64::from(self.rate.per_s) * self.percent / 100).max(1)
    }

    /// What a call of `priority` must leave to more important ones.
    fn reserved_milli(&self, priority: Priority) -> u64 {
        let percent = match priority {
            Priority::Lease => 0,
            Priority::Claim => 20,
            Priority::Config => 40,
            Priority::Housekeeping => 60,
        };
        self.full_milli() * percent / 100
    }

    fn full_milli(&self) -> u64 {
        u64::from(self.rate.burst.max(1)) * MILLI
    }

    fn fill(&mut self, now: Millis) {
        let gained = now.since(self.filled).0.saturating_mul(self.per_s());
        self.left_milli = self.left_milli.saturating_add(gained).min(self.full_milli());
        self.filled = self.filled.max(now);
        let grown = now.since(self.percent_at).0 * GROW_PERCENT_PER_S / 1_000;
        if grown > 0 {
            self.percent = (self.percent + grown).min(100);
            self.percent_at = now;
        }
    }
}
