//! A stand-in for the platform's store: rows, a feed of their changes, and objects, over HTTP.
//!
//! A [`Store`] holds the data. Each [`StoreEndpoint`] serves it at an address of its own and has
//! its own faults, so that the store can fail for some hosts only.

mod config;
mod endpoint;
mod rows;

pub use config::config;
pub use endpoint::{CallCounts, Fault, RateLimits, StoreEndpoint};
pub use rows::{Store, StoreCopy};
