//! Stand-ins for the platform, upstreams, callers and the network, for tests and experiments.

pub mod caller;
pub mod listener;
pub mod net;
pub mod platform;
mod rate;
pub mod service;
pub mod store;
