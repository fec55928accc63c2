//! Callers: they ask for entry hosts, follow the answer's weights and TTL, and check every answer.

mod call;
mod directory;
mod generator;
mod record;

pub use call::{Call, Method};
pub use generator::{Options, run};
pub use record::{Ending, Record, ServiceRecord};
