//! At-most-once execution: claims, outcomes and their records.

mod gate;

pub use gate::{Answer, Attempt, Begin, Fingerprint, Gate};
