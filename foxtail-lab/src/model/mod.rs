//! An event-driven model of callers, hosts and upstreams in virtual time.
//!
//! All policies see the same arrivals with the same service times, drawn from one seed. A run has
//! no other source of chance than that seed.

mod figures;
pub mod policy;
mod time;
mod workload;
mod world;

pub use figures::Figures;
pub use time::Micros;
pub use workload::{Arrival, Health, Workload};
pub use world::{Attempt, Policy, Request, World, run};
