//! The port to the transactional table service.

use async_trait::async_trait;
use foxtail_types::prelude::*;

/// The table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Applies all writes of `txn`, or none if one of its preconditions does not hold.
    async fn commit(&self, txn: &Txn, options: Options) -> Outcome;

    /// Reads the rows of `keys`, in their order.
    ///
    /// # Errors
    ///
    /// [`Error`] if the service did not answer, or the caller's share of its budget is spent.
    async fn read(&self, keys: &[String], options: Options) -> Result<Vec<Option<Row>>, Error>;

    /// Reads up to `limit` rows whose keys start with `prefix` and come after `after`, in order.
    ///
    /// # Errors
    ///
    /// [`Error`] if the service did not answer, or the caller's share of its budget is spent.
    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        options: Options,
    ) -> Result<Vec<(String, Row)>, Error>;

    /// How long a commit of `priority` would wait in this host for its share of the service. Who
    /// gathers writes gathers them for this long, rather than queue transactions already formed.
    fn commit_wait(&self, _priority: Priority) -> Millis {
        Millis::ZERO
    }
}

/// A row of the table.
#[value]
pub struct Row {
    /// Raised by every write of the row.
    pub version: u64,
    /// The value.
    #[serde(with = "crate::base64_bytes")]
    pub value: Vec<u8>,
}

/// Writes that take effect together.
#[value]
#[derive(Default)]
pub struct Txn {
    /// The writes; no key stands twice.
    pub writes: Vec<Write>,
}

/// One write of a transaction.
#[value]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// What must hold for the row before.
    pub expect: Expect,
    /// The new value, or `None` to delete the row. A check alone is [`Change::Keep`].
    pub change: Change,
}

/// A precondition on a row.
#[id]
pub enum Expect {
    /// Anything.
    Any,
    /// No such row.
    Absent,
    /// The row is at this version.
    At(u64),
}

/// What a write does.
#[value]
pub enum Change {
    /// Leaves the row as it is: only the precondition counts.
    Keep,
    /// Sets the value.
    Put(#[serde(with = "crate::base64_bytes")] Vec<u8>),
    /// Deletes the row.
    Delete,
}

/// How the transaction ended.
#[value]
pub enum Outcome {
    /// All writes took effect; the versions of the written rows, in order (0 where deleted).
    Committed(Vec<u64>),
    /// A precondition did not hold; nothing was written.
    Conflict {
        /// The index of the write whose precondition failed.
        at: usize,
        /// The row as found.
        found: Option<Row>,
    },
    /// Nothing was written.
    Failed(Error),
    /// The writes may have taken effect; read back to know.
    Ambiguous(Error),
}

/// Why the service could not be used.
#[value]
#[derive(thiserror::Error)]
pub enum Error {
    /// The service answered that it can't now.
    #[error("the table service is unavailable: {0}")]
    Unavailable(String),
    /// The service answered that its rate is exceeded; nothing was done.
    #[error("the table service's rate is exceeded")]
    Throttled,
    /// No answer in time.
    #[error("the table service did not answer in time")]
    TimedOut,
    /// Not sent: this host's share of the service's budget is spent.
    #[error("this host's budget for the table service is spent")]
    BudgetSpent,
    /// Not sent: recent calls failed, and the service is left alone for a while.
    #[error("the table service is left alone after failures")]
    CircuitOpen,
}

/// How a call is made.
#[id]
pub struct Options {
    /// Who goes first when the budget is short.
    pub priority: Priority,
    /// The longest the caller waits, queueing included.
    pub timeout: Millis,
}

/// Who goes first when the budget for the service is short.
#[id]
pub enum Priority {
    /// Leases: without them nothing moves.
    Lease,
    /// Claims of requests that callers wait for.
    Claim,
    /// Configuration and operators.
    Config,
    /// Clean-up, which can wait.
    Housekeeping,
}
