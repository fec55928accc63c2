//! Committing single writes, many to a transaction.

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
/// Every value written this way is unique to its writer, so that a write whose fate is unknown is
/// settled by finding its value in the row, and committing it twice is harmless.
#[async_trait]
pub trait Commit: Send + Sync {
    /// Commits the write of `req`. A caller that stops waiting gives the write up: it is not
    /// begun any more, but may take effect if it was.
    async fn commit(&self, req: WriteRequest) -> CommitOutcome;
}

/// One write to commit.
#[derive(Clone, Debug)]
pub struct WriteRequest {
    /// The write. It puts a value and has a precondition.
    pub write: Write,
    /// For a claim: the birth of its key. The claim fails once such keys are collected.
    pub born: Option<Millis>,
    /// Whether it may wait for company.
    pub urgency: Urgency,
    /// Whether it may have taken effect.
    pub possibly_applied: PossiblyApplied,
}

/// Whether a write may wait for company.
#[id]
pub enum Urgency {
    /// A caller waits.
    Now,
    /// It may wait a while, to share the transaction of others.
    Soon,
}

/// Tells a writer that gave up whether its write may have taken effect, or may yet.
#[derive(Clone, Debug, Default)]
pub struct PossiblyApplied(Arc<AtomicBool>);

/// How a write ended.
#[value]
pub enum CommitOutcome {
    /// It took effect; the row's version.
    Committed(u64),
    /// Its precondition did not hold; the row as found.
    Conflict(Option<Row>),
    /// Keys as old as this one are collected.
    Expired,
    /// It did not take effect and will not.
    Failed(Error),
}

impl PossiblyApplied {
    /// Whether the write may have taken effect, or may yet.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    pub(crate) fn set(&self, possibly_applied: bool) {
        self.0.store(possibly_applied, Ordering::SeqCst);
    }
}
