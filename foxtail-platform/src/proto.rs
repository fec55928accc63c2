//! The messages of the platform's HTTP/JSON interface.
//!
//! - `POST /table/commit` takes [`table::Txn`](crate::Txn), answers [`Committed`] or, with status
//!   409, [`Conflict`].
//! - `POST /table/read` takes [`Read`], answers `Vec<Option<Row>>`.
//! - `POST /table/scan` takes [`Scan`], answers `Vec<(String, Row)>`.
//! - `PUT` and `GET /objects/NAME` take and give the bytes; 404 if there is no such object.
//! - `GET /hosts` answers `Vec<HostEntry>`.
//!
//! Status 429 and 503 say that nothing was done.

use foxtail_types::prelude::*;

use crate::Row;

/// The answer to a commit whose preconditions all held.
#[value]
pub struct Committed {
    /// The versions of the rows, in the order of the writes; 0 where deleted.
    pub versions: Vec<u64>,
}

/// The answer to a commit with a precondition that did not hold.
#[value]
pub struct Conflict {
    /// The index of the write.
    pub at: usize,
    /// The row as found.
    pub found: Option<Row>,
}

/// A read of single rows.
#[value]
pub struct Read {
    /// The keys.
    pub keys: Vec<String>,
}

/// A read of a range of rows.
#[value]
pub struct Scan {
    /// What the keys start with.
    pub prefix: String,
    /// The keys come after this one.
    pub after: String,
    /// The most rows answered.
    pub limit: usize,
}
