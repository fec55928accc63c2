//! Test doubles for the systems around a host: the platform's store, upstreams, callers and the
//! network. Tests and experiments inject faults through them.

pub mod caller;
pub mod listener;
pub mod net;
pub mod platform;
pub mod store;
mod token_bucket;
pub mod upstream;
