//! Random waits, which keep hosts from retrying at the same moment.

use std::time::Duration;

use foxtail_types::prelude::*;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Source of random waits, so that hosts do not retry at the same moment.
pub(crate) struct Jitter {
    rng: Mutex<SmallRng>,
}

impl Jitter {
    /// Creates a source with `seed`, or with a different seed in each run.
    pub(crate) fn new(seed: Option<u64>) -> Self {
        let rng = seed.map_or_else(SmallRng::from_os_rng, SmallRng::seed_from_u64);
        Self { rng: Mutex::new(rng) }
    }

    /// Returns a random wait between zero and `span`, both included.
    pub(crate) fn up_to(&self, span: Millis) -> Duration {
        let micros = span.0.saturating_mul(1_000);
        Duration::from_micros(self.rng.lock().random_range(0..=micros))
    }
}
