//! Stand-ins for the platform, upstreams and network, for tests and experiments.

pub mod members;
pub mod net;
pub mod platform;
pub mod service;
pub mod store;
pub mod upstream;
