//! How long tickets are held: the observed service rate of a pool.

use foxtail_types::prelude::*;

/// The weight of one ticket in the mean is one in this many.
const MEAN_WEIGHT: f64 = 16.0;
/// The short end follows shorter tickets with this weight,
const SHORT_DOWN_WEIGHT: f64 = 4.0;
/// and longer ones with this.
const SHORT_UP_WEIGHT: f64 = 64.0;

/// Running estimates of the time that tickets are held.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HoldTimes {
    mean_ms: Option<f64>,
    short_ms: Option<f64>,
}

impl HoldTimes {
    /// Takes in a ticket that was held for `held`; `answered` if it ended with an answer.
    pub(super) fn add(&mut self, held: Millis, answered: bool) {
        let held_ms = held.0 as f64;
        let mean = self.mean_ms.get_or_insert(held_ms);
        *mean += (held_ms - *mean) / MEAN_WEIGHT;
        if answered {
            let short = self.short_ms.get_or_insert(held_ms);
            let weight = if held_ms < *short { SHORT_DOWN_WEIGHT } else { SHORT_UP_WEIGHT };
            *short += (held_ms - *short) / weight;
        }
    }

    /// The time in which even a quick request needs its ticket; zero if nothing is known.
    pub(super) fn short(&self) -> Millis {
        Millis(self.short_ms.unwrap_or_default() as u64)
    }

    /// The expected wait of one with `ahead` others before it, on `slots` busy slots.
    pub(super) fn wait(&self, ahead: usize, slots: u32) -> Millis {
        let turns = (ahead + 1) as f64 / f64::from(slots.max(1));
        Millis((self.mean_ms.unwrap_or_default() * turns) as u64)
    }
}
