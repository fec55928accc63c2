//! Tools to load and to try the system.
//!
//! - [`site::Site`] is a whole site in one process over loopback, with delays and link rates;
//!   [`load`] sends it requests, [`report`] judges what callers and upstreams saw.
//! - [`model`] plays the decisions of hosts in virtual time, to compare policies in seconds.

pub mod load;
pub mod model;
pub mod report;
pub mod site;
pub mod spec;
