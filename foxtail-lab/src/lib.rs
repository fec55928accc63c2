//! Load and experiment tools over the stand-ins.
//!
//! [`shape`] holds the two users' workspaces as the brief gives them. [`model`] is an event-driven
//! model of callers, hosts and upstreams in virtual time that compares policies. [`scenario`] runs
//! scripts of failures against the decision code.

pub mod fleet;
pub mod load;
pub mod model;
pub mod operator;
pub mod report;
pub mod scenario;
pub mod shape;
