//! Time in milliseconds: one type, a real clock and a test clock.

mod clock;
mod millis;

pub use clock::{BootClock, Clock, TestClock};
pub use millis::Millis;
