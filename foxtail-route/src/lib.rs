//! Routing: which region serves a request.
//!
//! A pure function over borrowed views and a passed-in time. An entry host calls [`plan::plan`]
//! once for each attempt and tries the pools in the plan's order: it asks the limiter for a slot of
//! each until one is granted. The decision is logged with [`plan::Plan::explain`]. The choice of
//! an upstream within a pool is its owner's, as only the owner knows the free slots.

pub mod plan;

pub use plan::{Plan, PoolView, Query, plan};
