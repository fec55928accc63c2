//! Routing: which region and upstream serve a request.
//!
//! Everything here is a pure function or a state machine over borrowed views and a passed-in time.
//!
//! - An entry host calls [`plan::plan`] once for each attempt and tries the pools in the plan's
//!   order: it asks the limiter for a slot of each until one is granted. The decision is logged
//!   with [`plan::Plan::explain`].
//! - The owner of a pool keeps one [`health::Board`] for it, feeds it with every released ticket
//!   and every load report, and gives slots only up to [`health::Board::slots`]. Every second it
//!   asks [`health::Board::probes`] which upstreams to ask for their load.
//! - Among the upstreams with a free slot the owner chooses by a [`pick::Picker`].

pub mod health;
pub mod pick;
pub mod plan;
pub mod warm;

pub use health::{Board, Standing};
pub use pick::{Picker, ZoneFirst};
pub use plan::{Plan, PoolView, Query, plan};
