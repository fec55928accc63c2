//! The one time type of the project.

use std::fmt;
use std::ops::{Add, Mul, Sub};
use std::time::Duration;

use foxtail_macro::id;

/// A point in time or a span, in milliseconds.
///
/// As a point it counts from the start of the clock that gave it. Arithmetic saturates, so that a
/// deadline far in the future or a report older than the clock never wraps.
#[id]
#[derive(Default)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The zero span, and the start of every clock.
    pub const ZERO: Millis = Millis(0);
    /// The point that never comes.
    pub const MAX: Millis = Millis(u64::MAX);

    /// A span of whole seconds.
    pub const fn secs(secs: u64) -> Self {
        Millis(secs.saturating_mul(1_000))
    }

    /// The span from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// The same span for the standard library.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// The span in seconds, for reports.
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
