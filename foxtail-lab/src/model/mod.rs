//! A simulation in virtual time of hosts that place requests on upstreams.
//!
//! The request rate varies in waves, callers retry after a refusal, upstreams have few slots, short
//! queues and small caches, and regions are a delay apart. [`run`] simulates one [`Setup`] under
//! one [`Policy`] within seconds, so that policies can be compared under the same load. The model
//! has no faults; the integration tests and the soak test cover them.

mod policy;
mod results;
mod setup;
mod simulation;
mod upstream;

pub use policy::Policy;
pub use results::Results;
pub use setup::Setup;
pub use simulation::run;
