//! What is assumed of the hosts' clocks: only that their rates differ by little.

use foxtail_types::prelude::*;

/// Two hosts' boot clocks drift apart by at most one part in this many.
pub const DRIFT_DIV: u64 = 500;
/// Each reading is rounded down to a millisecond, on both sides.
const ROUNDING: Millis = Millis(2);

/// A span on the own clock that surely covers `span` on another host's clock.
pub fn covering(span: Millis) -> Millis {
    span + Millis(span.0.div_ceil(DRIFT_DIV)) + ROUNDING
}
