//! An in-memory table and object store behind the traits of `foxtail_platform`, with faults.
//!
//! It runs in the process of the test, so that tests can use virtual time. [`crate::store`] stands
//! in for the same store over HTTP.

mod faults;
mod local_store;
mod memory;
mod store;

pub use faults::{Counts, Faults, Outage, RateLimits};
pub use local_store::LocalStore;
pub use memory::{OperationError, Options, Platform};
