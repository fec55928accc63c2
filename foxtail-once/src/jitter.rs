//! Random waits.

use std::time::Duration;

use foxtail_types::prelude::*;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A source of random waits, so that hosts do not come back in step.
pub(crate) struct Jitter {
    rng: Mutex<SmallRng>,
}

impl Jitter {
    /// A source with `seed`, or one that differs from run to run.
    pub(crate) fn new(seed: Option<u64>) -> Self {
        let rng = seed.map_or_else(SmallRng::from_os_rng, SmallRng::seed_from_u64);
        Self { rng: Mutex::new(rng) }
    }

    /// A wait from zero to `span`.
    pub(crate) fn up_to(&self, span: Millis) -> Duration {
        let micros = span.0.saturating_mul(1_000);
        Duration::from_micros(self.rng.lock().random_range(0..=micros))
    }
}
