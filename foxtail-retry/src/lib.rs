//! Retries, hedges and crash suspects.
//!
//! - After an attempt that ended without an answer, the entry host asks [`policy::next`] whether
//!   another may follow, with a token of the service's [`Budgets`] where that is due. It calls
//!   [`Budgets::succeeded`] for each answer.
//! - Before each attempt it asks [`Watch::admit`] with the request's [`Fingerprint`], and after it
//!   calls [`Watch::finish`] with how the attempt ended, whatever happens. For a connection that
//!   broke before a whole answer, [`crash::Detector`] tells how strong the evidence of a crash is.
//! - The host carries [`watch::Peers`] and passes on what peers send: [`Watch::serve`],
//!   [`Watch::done`], [`Watch::receive`]. A host that joins asks a peer for [`Watch::news`] first.
//!
//! There are no hedges: slots are scarce and owned, and a second copy of a slow request takes one
//! from another caller.

pub mod budget;
pub mod crash;
pub mod fingerprint;
pub mod guard;
pub mod msg;
pub mod policy;
pub mod proven;
pub mod record;
pub mod suspect;
pub mod trial;
pub mod watch;

pub use budget::Budgets;
pub use fingerprint::Fingerprint;
pub use guard::Guard;
pub use record::Record;
pub use suspect::Suspects;
pub use watch::Watch;
