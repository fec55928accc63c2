//! What hosts serve, played in virtual time: callers that come in waves and come back when they are
//! refused, upstreams with few slots, short queues and small caches, and delays between regions.
//!
//! [`run`] plays one [`Setup`] under one [`Policy`], so that policies are compared on the same
//! arrivals in seconds. Everything that fails is left out: the model answers what load does, the
//! tests and the soak answer what faults do.

mod policy;
mod results;
mod setup;
mod simulation;
mod upstream;

pub use policy::Policy;
pub use results::Results;
pub use setup::Setup;
pub use simulation::run;
