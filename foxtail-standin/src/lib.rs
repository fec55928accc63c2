//! Stand-ins for the platform, upstreams and network, for tests and experiments.

pub mod platform;
