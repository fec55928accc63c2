//! A circuit breaker that stops calls to the table service after consecutive failures.

use foxtail_types::prelude::*;

/// Number of consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 5;

/// First and longest time that the breaker stays open before a probe.
const OPEN_TIME: (Millis, Millis) = (Millis(250), Millis(2_000));

/// Time after which a probe without a result no longer blocks the next probe.
const PROBE_TIMEOUT: Millis = Millis(5_000);

/// A circuit breaker. While it is open, single probe calls test whether the table service answers
/// again.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: State,
    /// Raised whenever the breaker opens or closes, so that results of calls from before the change
    /// are ignored.
    generation: u64,
}

/// Permission for one call. Its holder reports the result with [`CircuitBreaker::record_success`]
/// or [`CircuitBreaker::record_failure`].
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
    /// Creates a closed breaker.
    pub fn new() -> Self {
        Self { state: State::Closed { failures: 0 }, generation: 0 }
    }

    /// Returns whether the breaker is open.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open { .. })
    }

    /// Returns whether a call may start now.
    pub fn allows_call(&self, now: Millis) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { probe_at, .. } => now >= probe_at,
        }
    }

    /// Starts a call. While the breaker is open, the call is a probe, and no other call may start
    /// until it has ended or timed out.
    ///
    /// # Panics
    ///
    /// Panics if [`CircuitBreaker::allows_call`] is false.
    pub fn begin_call(&mut self, now: Millis) -> CallPermit {
        assert!(self.allows_call(now), "begin_call was called while the circuit breaker is open");
        if let State::Open { probe_at, .. } = &mut self.state {
            *probe_at = now + PROBE_TIMEOUT;
        }
        CallPermit { generation: self.generation }
    }

    /// Records that the call was answered. Returns whether this closed the breaker.
    pub fn record_success(&mut self, permit: CallPermit) -> bool {
        if permit.generation != self.generation {
            return false;
        }
        let was_open = self.is_open();
        self.state = State::Closed { failures: 0 };
        self.generation += u64::from(was_open);
        was_open
    }

    /// Records that the call failed. Returns whether this opened the breaker. `jitter_per_mille` is
    /// the part of the open time that applies, in thousandths.
    pub fn record_failure(
        &mut self,
        permit: CallPermit,
        now: Millis,
        jitter_per_mille: u64,
    ) -> bool {
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
                self.set_open(OPEN_TIME.0, now, jitter_per_mille);
                true
            }
            State::Open { wait, .. } => {
                let longer = (*wait * 2).min(OPEN_TIME.1);
                self.set_open(longer, now, jitter_per_mille);
                false
            }
        }
    }

    fn set_open(&mut self, wait: Millis, now: Millis, jitter_per_mille: u64) {
        let probe_at = now + Millis(wait.0 * jitter_per_mille / 1_000);
        self.state = State::Open { probe_at, wait };
    }
}
