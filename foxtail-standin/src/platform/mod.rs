//! A stand-in for the table and the object store at their ports, in memory and in process, with
//! faults, so that tests can play them in virtual time. [`crate::store`] is the same over HTTP.

mod faults;
mod memory;
mod ports;
mod store;

pub use faults::{Counts, Down, Faults, Rates};
pub use memory::{Options, Platform, Refusal};
pub use ports::Local;
