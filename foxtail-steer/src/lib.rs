//! Decisions of an entry host, without I/O: which upstream a request goes to, which requests are
//! refused, what is sent again, how fast a cold upstream warms up, which hosts are alive and which
//! of them callers are told to use.
//!
//! Everything takes the time as an argument and returns what to do. [`Steering`] holds what the host
//! believes of the upstreams, [`Fleet`] what it believes of the other hosts.

pub mod config;
mod estimate;
pub mod fleet;
mod placement;
mod pull_queue;
pub mod rendezvous;
pub mod retry;
mod shift;
mod split;
pub mod steering;
pub mod suspects;
mod token_bucket;
pub mod upstream;

pub use config::{Config, Route};
pub use fleet::Fleet;
pub use pull_queue::PullQueue;
pub use retry::RetryBudget;
pub use split::Split;
pub use steering::Steering;
pub use suspects::Suspects;
pub use token_bucket::TokenBucket;
pub use upstream::Upstream;
