//! At-most-once execution: claims, outcomes and their records.
//!
//! Before a request that may not be repeated is sent, a claim row for its key is committed in the
//! platform's table under the precondition that the key is free. A claim is never taken over, so
//! that no key is ever sent by two attempts. See `docs/design/at-most-once.md`.
//!
//! How a host drives this crate:
//!
//! 1. [`Group::start`] over the host's guarded table, and [`Relay`] over it if peers gather writes;
//!    [`Relay::set_target`] whenever the live hosts change (see [`relay::choose`]), and
//!    [`Group::set_pace`] with the share of the budget. A peer's message is answered by
//!    [`relay::serve`].
//! 2. [`Claims::start`] over these. For each request with a key: [`Gate::begin`]; if it says run,
//!    [`Gate::may_send`] right before the first byte goes to the upstream, then exactly one of
//!    [`Gate::answered`], [`Gate::released`] and [`Gate::lost`].
//! 3. [`Collector::run`] in a task of its own.
//! 4. At a stop, after the last request: [`Claims::stop`], then [`Group::stop`].

pub mod claims;
pub mod collect;
pub mod commit;
mod gate;
mod jitter;
pub mod record;
pub mod relay;

pub use claims::Claims;
pub use collect::Collector;
pub use commit::{Commit, Group};
pub use gate::{Answer, Ask, Attempt, Begin, Fingerprint, Gate};
pub use relay::Relay;
