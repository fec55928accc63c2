//! Whether an attempt that ended without an answer is followed by another.

use foxtail_types::prelude::*;

/// An attempt that ended without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// How the attempt ended.
    pub ended: Ended,
    /// How many attempts there were, this one included.
    pub attempts: u32,
    /// Whether any byte of an answer was passed on to the caller.
    pub passed_on: bool,
    /// Whether every pool that could take a retry is known to have no free slot.
    pub overloaded: bool,
    /// The time.
    pub now: Millis,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// How long an attempt usually takes.
    pub service_time: Millis,
    /// For the jitter; any well-mixed number.
    pub seed: u64,
}

/// How an attempt ended without an answer.
#[id]
pub enum Ended {
    /// No connection: it did not run.
    Unreachable,
    /// The upstream refused it before running it, because it is full.
    Shed,
    /// The upstream refused it before running it, because it is leaving.
    Leaving,
    /// The connection broke after the request was sent: it may have run.
    Broken,
    /// The attempt's share of the deadline passed.
    TimedOut,
}

/// Bounds of retrying.
#[id]
pub struct Options {
    /// The most attempts for one request.
    pub attempts_max: u32,
    /// The longest pause before the first retry; it doubles with each further one.
    pub backoff: Millis,
    /// The longest pause.
    pub backoff_max: Millis,
}

/// What follows.
#[id]
pub enum Next {
    /// Another attempt on another upstream, after a pause.
    Retry {
        /// The pause.
        after: Millis,
        /// Whether it needs a token of the service's budget. One on an upstream that took no work
        /// adds no load, and needs none.
        budgeted: bool,
    },
    /// No further attempt.
    Stop(Stop),
}

/// Why there is no further attempt.
#[id]
#[serde(rename_all = "kebab-case")]
pub enum Stop {
    /// It may have run and must not run twice.
    MayHaveRun,
    /// The caller has part of an answer.
    PassedOn,
    /// There were enough attempts.
    Attempts,
    /// The deadline leaves no time.
    Deadline,
    /// The pools are full, and a retry would add to that.
    Overloaded,
}

impl Default for Options {
    fn default() -> Self {
        Self { attempts_max: 3, backoff: Millis(20), backoff_max: Millis(200) }
    }
}

impl Ended {
    /// Whether it is proved that the attempt did not run.
    pub const fn proves_not_run(self) -> bool {
        matches!(self, Ended::Unreachable | Ended::Shed | Ended::Leaving)
    }
}

/// Decides what follows `attempt`.
///
/// A `Retry` that is `budgeted` may only be made with a token from
/// [`Budgets::take`](crate::Budgets::take).
pub fn next(attempt: &Attempt, options: &Options) -> Next {
    if attempt.passed_on {
        return Next::Stop(Stop::PassedOn);
    }
    let not_run = attempt.ended.proves_not_run();
    if !not_run && attempt.repeat != Repeat::Safe {
        return Next::Stop(Stop::MayHaveRun);
    }
    if attempt.attempts >= options.attempts_max {
        return Next::Stop(Stop::Attempts);
    }
    if attempt.overloaded {
        return Next::Stop(Stop::Overloaded);
    }
    let took_no_work = matches!(attempt.ended, Ended::Unreachable | Ended::Leaving);
    let after = if took_no_work { Millis::ZERO } else { backoff(attempt, options) };
    if attempt.now + after + attempt.service_time >= attempt.deadline {
        return Next::Stop(Stop::Deadline);
    }
    Next::Retry { after, budgeted: !took_no_work }
}

/// A random pause below a bound that doubles with each attempt.
fn backoff(attempt: &Attempt, options: &Options) -> Millis {
    let doublings = attempt.attempts.saturating_sub(1).min(16);
    let bound = (options.backoff * (1 << doublings)).min(options.backoff_max);
    Millis(attempt.seed % (bound.0 + 1))
}
