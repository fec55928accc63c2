//! Points in time and durations in milliseconds.

use std::fmt;
use std::ops::{Add, Mul, Sub};
use std::time::Duration;

use foxtail_macro::id;

/// A point in time or a duration, in milliseconds.
///
/// A point in time counts from the start of the clock that returned it. Arithmetic saturates, so
/// that a deadline far in the future or a report from before the start of the clock does not wrap.
#[id]
#[derive(Default)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The duration zero, and the start of every clock.
    pub const ZERO: Millis = Millis(0);
    /// The largest value; as a deadline it never passes.
    pub const MAX: Millis = Millis(u64::MAX);

    /// Returns a duration of whole seconds.
    pub const fn secs(secs: u64) -> Self {
        Millis(secs.saturating_mul(1_000))
    }

    /// Returns the duration from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Converts the duration to the type of the standard library.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}

impl Mul<u64> for Millis {
    type Output = Millis;

    fn mul(self, by: u64) -> Millis {
        Millis(self.0.saturating_mul(by))
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
