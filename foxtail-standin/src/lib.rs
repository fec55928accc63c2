//! Stand-ins for the platform, upstreams, callers and the network, for tests and experiments.

pub mod caller;
pub mod listener;
pub mod net;
pub mod platform;
pub mod store;
mod token_bucket;
pub mod upstream;
