//! The graceful stop of a host.

use foxtail_member::members::PULL_EVERY;
use foxtail_place::lookup::TTL;
use foxtail_types::prelude::*;

/// How many rounds of pulls it takes until every host knows that this one leaves.
const ROUNDS_TO_SPREAD: u64 = 4;

/// How a stop is carried out.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long callers may still come by look-ups answered before.
    pub settle: Millis,
    /// How long requests in flight may take after that.
    pub finish: Millis,
}

/// How a stop went.
#[value]
pub struct Report {
    /// From the word to stop until the last request ended.
    pub took: Millis,
    /// Requests still in flight when the time to finish was over: they were cut off.
    pub cut_off: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { settle: TTL + PULL_EVERY * ROUNDS_TO_SPREAD, finish: Millis::secs(60) }
    }
}
