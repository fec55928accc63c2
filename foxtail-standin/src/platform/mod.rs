//! A stand-in for the platform: table, object store and host list in memory, with faults.
//!
//! [`Platform`] can be used in process through [`Local`], or over HTTP through a
//! [`Server`]. Both apply the same [`Faults`] and count the same operations.

mod faults;
mod memory;
mod ports;
mod rate;
mod server;
mod store;

pub use faults::{Counts, Down, Faults, Rates};
pub use memory::{Options, Platform, Refusal};
pub use ports::Local;
pub use server::Server;
