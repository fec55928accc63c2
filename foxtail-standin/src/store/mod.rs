//! The platform's store as hosts meet it: rows, their feed and objects, over HTTP.
//!
//! A [`Store`] holds the data. Each [`Door`] is an address under which it is reached, with faults of
//! its own, so that some hosts may be turned away while others are served.

mod desired;
mod door;
mod rows;

pub use desired::config;
pub use door::{Counts, Door, Fault, Rates};
pub use rows::Store;
