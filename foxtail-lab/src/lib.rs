//! Tools that run hosts under load, and a model that compares placement policies.
//!
//! - [`site::Site`] runs all parts of a site in one process over loopback, with delays and link
//!   rates; [`load`] sends it requests, and [`report`] checks what callers and upstreams recorded.
//! - [`model`] simulates the decisions of hosts in virtual time.

pub mod load;
pub mod model;
pub mod report;
pub mod site;
pub mod spec;
