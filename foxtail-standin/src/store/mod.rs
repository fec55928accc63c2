//! The platform's store as hosts meet it: rows, their feed and objects, over HTTP.
//!
//! A [`Store`] holds the data. Each [`StoreEndpoint`] is an address under which it is reached, with faults of
//! its own, so that some hosts may be turned away while others are served.

mod config;
mod endpoint;
mod rows;

pub use config::config;
pub use endpoint::{CallCounts, Fault, RateLimits, StoreEndpoint};
pub use rows::Store;
