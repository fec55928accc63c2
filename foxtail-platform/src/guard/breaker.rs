//! Leaves the store alone after failures.

use foxtail_types::prelude::*;

/// How many failures in a row open the breaker.
const FAILURES_TO_OPEN: u32 = 5;

/// The first and the longest time it stays open before a probe.
const OPEN_TIME: (Millis, Millis) = (Millis(250), Millis(2_000));

/// How long a probe may stay without a result before another may go.
const PROBE_TIMEOUT: Millis = Millis(5_000);

/// A circuit breaker.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: State,
    /// Raised by every change between closed and open, so that late results do not count.
    generation: u64,
}

/// The right to one call, to be ended by [`CircuitBreaker::record_success`] or [`CircuitBreaker::record_failure`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPermit {
    generation: u64,
}

#[derive(Clone, Debug)]
enum State {
    Closed { failures: u32 },
    Open { probe_at: Millis, wait: Millis },
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self::new()
    }
}

impl CircuitBreaker {
    /// A closed breaker.
    pub fn new() -> Self {
        Self { state: State::Closed { failures: 0 }, generation: 0 }
    }

    /// Whether the store is left alone.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open { .. })
    }

    /// Whether a call may go now.
    pub fn allows_call(&self, now: Millis) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { probe_at, .. } => now >= probe_at,
        }
    }

    /// Lets a call go. With an open breaker it is the probe, and no other goes until it has ended.
    pub fn begin_call(&mut self, now: Millis) -> CallPermit {
        assert!(self.allows_call(now), "an open breaker lets no call pass");
        if let State::Open { probe_at, .. } = &mut self.state {
            *probe_at = now + PROBE_TIMEOUT;
        }
        CallPermit { generation: self.generation }
    }

    /// The call was answered; whether this closed the breaker.
    pub fn record_success(&mut self, permit: CallPermit) -> bool {
        if permit.generation != self.generation {
            return false;
        }
        let was_open = self.is_open();
        self.state = State::Closed { failures: 0 };
        self.generation += u64::from(was_open);
        was_open
    }

    /// The call failed; whether this opened the breaker. `jitter` is in thousandths of the time
    /// that it stays open.
    pub fn record_failure(&mut self, permit: CallPermit, now: Millis, jitter: u64) -> bool {
        if permit.generation != self.generation {
            return false;
        }
        match &mut self.state {
            State::Closed { failures } => {
                *failures += 1;
                if *failures < FAILURES_TO_OPEN {
                    return false;
                }
                self.generation += 1;
                self.set_open(OPEN_TIME.0, now, jitter);
                true
            }
            State::Open { wait, .. } => {
                let longer = (*wait * 2).min(OPEN_TIME.1);
                self.set_open(longer, now, jitter);
                false
            }
        }
    }

    fn set_open(&mut self, wait: Millis, now: Millis, jitter: u64) {
        let probe_at = now + Millis(wait.0 * jitter / 1_000);
        self.state = State::Open { probe_at, wait };
    }
}
