//! Scripted scenarios: the decision code of routing, limits and retries over small fakes, in
//! virtual time.
//!
//! A script is a list of commands ([`Scenario::command`]): it builds a world, brings about
//! failures, and runs for a while; `run` prints what callers got. While it runs, it asserts that no
//! upstream has more requests than slots, that no link carries more than its capacity in any one
//! second, and that no more requests than the cap are shifted in any one second.

mod command;
mod fault;
mod path;
mod report;
mod world;

pub use command::{Args, Error};
pub use world::Scenario;
