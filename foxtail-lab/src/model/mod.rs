//! What hosts serve, played in virtual time: callers that come in waves and come back when they are
//! refused, upstreams with few slots, short queues and small caches, and delays between regions.
//!
//! [`run`] plays one [`Setup`] under one [`Policy`], so that policies are compared on the same
//! arrivals in seconds. Everything that fails is left out: the model answers what load does, the
//! tests and the soak answer what faults do.

mod figures;
mod policy;
mod setup;
mod upstream;
mod world;

pub use figures::Figures;
pub use policy::Policy;
pub use setup::Setup;
pub use world::run;
