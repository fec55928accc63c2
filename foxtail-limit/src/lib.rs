//! Limits: owners, tickets, link bytes, shift budgets and admission.
//!
//! Every limited resource (the slots of a pool, the bytes of a link direction, a workspace's shift
//! budget) lies in a shard of a region, and each shard has one owner host at a time. The owner
//! queues requests and grants tickets; the entry host then dials the upstream itself.
//! `docs/design/limits.md` has the argument why grants never exceed a limit.
//!
//! # How a host drives this crate
//!
//! 1. Make a [`SharedLimiter`] with [`SharedLimiter::new`], and use it as `Arc<dyn Limiter>`.
//! 2. Spawn [`driver::run`] with the table port. Cancel its token when the requests in flight have
//!    ended; it returns when all shards are handed over.
//! 3. Implement [`Peers`] over the transport between hosts, and answer each incoming
//!    [`msg::Request`] with [`SharedLimiter::serve`]. It may wait as long as a request's deadline;
//!    drop the future when the asking host has gone.
//! 4. Call [`SharedLimiter::configure`] for each new configuration, and
//!    [`SharedLimiter::set_hosts`] for each change of the platform's list of hosts: the whole list,
//!    as a suspect that is left out could take over unasked. When the host begins to leave, call
//!    [`SharedLimiter::retire`] before it tells the others.
//! 5. For each [`Ticket`]: stop using it before `expires`, send the upstream no later deadline than
//!    that, and give it to [`Limiter::release`] exactly once.

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
