//! At-most-once execution: claims, outcomes and their records.
//!
//! Before a request that must not run twice is sent, a claim row for its key is committed in the
//! platform's table under the precondition that the key is free. A claim is never taken over, so
//! that no key is ever sent by two attempts. See `docs/design/at-most-once.md`.
//!
//! How a host uses this crate:
//!
//! 1. [`GroupCommitter::start`] over the host's guarded table, and [`RelayClient`] over the
//!    committer if hosts gather the writes of their peers. [`RelayClient::set_target`] is called
//!    whenever the live hosts change (see [`relay::choose_relay`]), and
//!    [`GroupCommitter::set_txn_rate`] with the host's share of the budget. A message of a peer is
//!    answered by [`relay::commit_for_peer`].
//! 2. [`Claims::start`] over these. For each request with a key: [`AtMostOnce::begin`]; if it
//!    returns [`BeginOutcome::Run`], [`AtMostOnce::may_send`] right before the first byte goes to
//!    the upstream, then exactly one of [`AtMostOnce::record_answer`], [`AtMostOnce::release`] and
//!    [`AtMostOnce::mark_lost`].
//! 3. [`Collector::run`] in a task of its own.
//! 4. On shutdown, after the last request: [`Claims::stop`], then [`GroupCommitter::stop`].

mod at_most_once;
pub mod claims;
pub mod collect;
pub mod commit;
mod jitter;
pub mod record;
pub mod relay;

pub use at_most_once::{Answer, AtMostOnce, Attempt, BeginOutcome, ClaimRequest, Fingerprint};
pub use claims::Claims;
pub use collect::Collector;
pub use commit::{Commit, GroupCommitter};
pub use relay::RelayClient;
