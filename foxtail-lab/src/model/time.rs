//! The model's time: finer than the product's, because ways inside a region take less than 1 ms.

use std::ops::Add;

use foxtail_types::prelude::*;

/// A point in virtual time or a span, in microseconds.
#[id]
#[derive(Default)]
pub struct Micros(pub u64);

impl Micros {
    /// A span of fractional milliseconds.
    pub fn from_ms(ms: f64) -> Self {
        Micros((ms * 1_000.0) as u64)
    }

    /// The span from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// In seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, other: Micros) -> Micros {
        Micros(self.0 + other.0)
    }
}

impl From<Millis> for Micros {
    fn from(span: Millis) -> Self {
        Micros(span.0 * 1_000)
    }
}

impl From<Micros> for Millis {
    fn from(span: Micros) -> Self {
        Millis(span.0 / 1_000)
    }
}
