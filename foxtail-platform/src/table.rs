//! The port to the transactional table service.

use async_trait::async_trait;
use foxtail_types::prelude::*;

/// A transactional table of versioned rows.
#[async_trait]
pub trait Table: Send + Sync {
    /// Applies all writes of `txn`, or none of them if one of its preconditions does not hold.
    async fn commit(&self, txn: &Txn, options: Options) -> Outcome;

    /// Reads the rows of `keys`, in the order of `keys`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the service did not answer, or if the call was not sent because the
    /// caller's share of the rate is used up or the circuit breaker is open.
    async fn read(&self, keys: &[String], options: Options) -> Result<Vec<Option<Row>>, Error>;

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`, in order of
    /// their keys.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the service did not answer, or if the call was not sent because the
    /// caller's share of the rate is used up or the circuit breaker is open.
    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        options: Options,
    ) -> Result<Vec<(String, Row)>, Error>;

    /// Returns how long a commit of `priority` would wait in this host for its share of the
    /// service's rate. A caller that groups writes waits this long before it forms a transaction,
    /// rather than queue transactions already formed.
    fn commit_wait(&self, _priority: Priority) -> Millis {
        Millis::ZERO
    }
}

/// A row of the table.
#[value]
pub struct Row {
    /// Version, raised by every write of the row.
    pub version: u64,
    /// Value of the row.
    #[serde(with = "crate::base64_bytes")]
    pub value: Vec<u8>,
}

/// Writes that take effect together or not at all.
#[value]
#[derive(Default)]
pub struct Txn {
    /// The writes; no two of them have the same key.
    pub writes: Vec<Write>,
}

/// One write of a transaction.
#[value]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Precondition on the row before the write.
    pub expect: Expect,
    /// What the write does to the row; [`Change::Keep`] only checks the precondition.
    pub change: Change,
}

/// A precondition on a row.
#[id]
pub enum Expect {
    /// Always holds.
    Any,
    /// The row does not exist.
    Absent,
    /// The row has this version.
    At(u64),
}

/// What a write does to its row.
#[value]
pub enum Change {
    /// Leaves the row as it is, so that the write only checks its precondition.
    Keep,
    /// Sets the value.
    Put(#[serde(with = "crate::base64_bytes")] Vec<u8>),
    /// Deletes the row.
    Delete,
}

/// Outcome of a transaction.
#[value]
pub enum Outcome {
    /// All writes took effect; the versions of their rows, in order of the writes (0 for a deleted
    /// row).
    Committed(Vec<u64>),
    /// A precondition did not hold; nothing was written.
    Conflict {
        /// Index of the write whose precondition did not hold.
        at: usize,
        /// The row as found, or `None` if it does not exist.
        found: Option<Row>,
    },
    /// Nothing was written.
    Failed(Error),
    /// The writes may have taken effect; reading the rows back shows whether they did.
    Ambiguous(Error),
}

/// Why a call to the table service failed.
#[value]
#[derive(thiserror::Error)]
pub enum Error {
    /// The service answered that it is unavailable.
    #[error("the table service is unavailable: {0}")]
    Unavailable(String),
    /// The service refused the call because its rate limit is exceeded; nothing was done.
    #[error("the table service refused the call: its rate limit is exceeded")]
    Throttled,
    /// The service did not answer within the timeout.
    #[error("the table service did not answer within the timeout")]
    TimedOut,
    /// The call was not sent: this host's share of the service's rate is used up.
    #[error("not sent: this host's share of the table service's rate is used up")]
    BudgetSpent,
    /// The call was not sent: the circuit breaker is open after consecutive failures.
    #[error("not sent: the circuit breaker of the table service is open")]
    CircuitOpen,
}

/// Priority and timeout of a call.
#[id]
pub struct Options {
    /// Priority when this host's share of the service's rate is short.
    pub priority: Priority,
    /// Maximum time that the caller waits, including the wait for the host's share of the rate.
    pub timeout: Millis,
}

/// Priority of a call when this host's share of the service's rate is short, from the most to the
/// least important.
#[id]
pub enum Priority {
    /// Leases, without which nothing else makes progress.
    Lease,
    /// Claims of requests whose callers are waiting.
    Claim,
    /// Configuration and operators' requests.
    Config,
    /// Cleanup, which can be delayed.
    Housekeeping,
}
