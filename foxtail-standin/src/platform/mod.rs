//! A stand-in for the table and the object store at their ports, in memory and in process, with
//! faults, so that tests can play them in virtual time. [`crate::store`] is the same over HTTP.

mod faults;
mod local_store;
mod memory;
mod store;

pub use faults::{Counts, Faults, Outage, RateLimits};
pub use local_store::LocalStore;
pub use memory::{Options, Platform, Refusal};
