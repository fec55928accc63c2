//! Commits single writes, many of them in one transaction.

mod batch;
mod fence;
mod group;
mod scheduler;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_trait::async_trait;
use foxtail_platform::table::{Error, Row, Write};
use foxtail_types::prelude::*;

pub use fence::{FENCE_ROW_KEY, Fence};
pub use group::{GroupCommitter, Options};
pub use scheduler::TxnRate;

/// Commits single writes.
///
/// Every value written this way is unique to its writer. A write whose outcome is unknown is
/// therefore resolved by comparing the row with its value, and committing it twice is harmless.
#[async_trait]
pub trait Commit: Send + Sync {
    /// Commits the write of `req`. If the caller stops waiting, a write that has not started is
    /// dropped; one that has started may still take effect.
    async fn commit(&self, req: WriteRequest) -> CommitOutcome;
}

/// A write to commit.
#[derive(Clone, Debug)]
pub struct WriteRequest {
    /// The write. It puts a value under a precondition.
    pub write: Write,
    /// For a claim: the creation time of its key. The claim fails once keys of that age are
    /// collected.
    pub key_created_at: Option<Millis>,
    /// Whether the write may wait to share a transaction.
    pub urgency: Urgency,
    /// Set while the write may have taken effect.
    pub possibly_applied: PossiblyApplied,
}

/// Whether a write may wait to share a transaction with others.
#[id]
pub enum Urgency {
    /// A caller waits for the outcome: the write starts as soon as the rate allows.
    Now,
    /// The write may wait for a short time to share a transaction with others.
    Soon,
}

/// Tells a writer that stopped waiting whether its write may have taken effect or may still do so.
#[derive(Clone, Debug, Default)]
pub struct PossiblyApplied(Arc<AtomicBool>);

/// Outcome of a write.
#[value]
pub enum CommitOutcome {
    /// The write took effect; the row's version.
    Committed(u64),
    /// The precondition did not hold; the row as found.
    Conflict(Option<Row>),
    /// The fence excludes the key: rows of keys of its age are collected.
    Expired,
    /// The write did not take effect and will not.
    Failed(Error),
}

impl PossiblyApplied {
    /// Returns whether the write may have taken effect or may still do so.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    pub(crate) fn set(&self, possibly_applied: bool) {
        self.0.store(possibly_applied, Ordering::SeqCst);
    }
}
