//! Limits: owners, tickets, link bytes, shift budgets and admission.

pub mod drift;
pub mod driver;
pub mod fixed;
pub mod holder;
pub mod hosted;
pub mod lease;
mod limiter;
pub mod link;
pub mod msg;
mod notes;
pub mod owner;
mod peers;
mod shard;
pub mod shared;
pub mod shift;
pub mod station;

pub use limiter::{Acquire, Limiter, Load, Refusal, Seen, Ticket, Verdict};
pub use peers::{Peers, Unreachable};
pub use shard::ShardId;
pub use shared::{Me, SharedLimiter};
