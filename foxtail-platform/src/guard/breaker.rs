//! Leaves the store alone after failures.

use foxtail_types::prelude::*;

/// How many failures in a row open the breaker.
const FAILURES: u32 = 5;

/// The first and the longest time it stays open before a probe.
const OPEN: (Millis, Millis) = (Millis(250), Millis(2_000));

/// How long a probe may stay without a result before another may go.
const PROBE_TIMEOUT: Millis = Millis(5_000);

/// A circuit breaker.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    /// Raised by every change between closed and open, so that late results do not count.
    round: u64,
}

/// The right to one call, to be ended by [`Breaker::succeeded`] or [`Breaker::failed`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pass {
    round: u64,
}

#[derive(Clone, Debug)]
enum State {
    Closed { failures: u32 },
    Open { probe_at: Millis, wait: Millis },
}

impl Default for Breaker {
    fn default() -> Self {
        Self::new()
    }
}

impl Breaker {
    /// A closed breaker.
    pub fn new() -> Self {
        Self { state: State::Closed { failures: 0 }, round: 0 }
    }

    /// Whether the store is left alone.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open { .. })
    }

    /// Whether a call may go now.
    pub fn may_pass(&self, now: Millis) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { probe_at, .. } => now >= probe_at,
        }
    }

    /// Lets a call go. With an open breaker it is the probe, and no other goes until it has ended.
    pub fn pass(&mut self, now: Millis) -> Pass {
        assert!(self.may_pass(now), "an open breaker lets no call pass");
        if let State::Open { probe_at, .. } = &mut self.state {
            *probe_at = now + PROBE_TIMEOUT;
        }
        Pass { round: self.round }
    }

    /// The call was answered; whether this closed the breaker.
    pub fn succeeded(&mut self, pass: Pass) -> bool {
        if pass.round != self.round {
            return false;
        }
        let was_open = self.is_open();
        self.state = State::Closed { failures: 0 };
        self.round += u64::from(was_open);
        was_open
    }

    /// The call failed; whether this opened the breaker. `jitter` is in thousandths of the time
    /// that it stays open.
    pub fn failed(&mut self, pass: Pass, now: Millis, jitter: u64) -> bool {
        if pass.round != self.round {
            return false;
        }
        match &mut self.state {
            State::Closed { failures } => {
                *failures += 1;
                if *failures < FAILURES {
                    return false;
                }
                self.round += 1;
                self.open(OPEN.0, now, jitter);
                true
            }
            State::Open { wait, .. } => {
                let longer = (*wait * 2).min(OPEN.1);
                self.open(longer, now, jitter);
                false
            }
        }
    }

    fn open(&mut self, wait: Millis, now: Millis, jitter: u64) {
        let probe_at = now + Millis(wait.0 * jitter / 1_000);
        self.state = State::Open { probe_at, wait };
    }
}
