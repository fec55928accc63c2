//! The record of a key in the table, and what it means for a request with that key.

use foxtail_platform::table::{Expect, Row};
use foxtail_types::prelude::*;

use crate::Fingerprint;

/// First byte of every encoded record.
const FORMAT_VERSION: u8 = 1;

/// State of a key, as stored in its row.
#[value]
pub struct Record {
    /// Identifies the request that the key belongs to.
    pub fingerprint: Fingerprint,
    /// Token of the attempt that wrote the claim; no two attempts share one.
    pub token: u64,
    /// Host that holds the claim.
    pub holder: HostId,
    /// Time after which the attempt counts as overdue, by the holder's wall clock.
    pub overdue_after: Millis,
    /// How far the attempt has come.
    pub state: State,
}

/// Progress of an attempt.
#[value]
pub enum State {
    /// The key is claimed: the holder may have sent the request, or may still send it.
    Claimed,
    /// The holder proved that the request did not run; the key is free.
    Released,
    /// The request ran and this is its answer.
    Answered(StoredAnswer),
    /// The request may have run. Its outcome stays unknown unless the holder still records it.
    Lost,
}

/// An answer as it is stored.
#[value]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are passed on to the caller.
    pub headers: Vec<(String, String)>,
    /// SHA-256 of the body.
    pub digest: [u8; 32],
    /// Size of the body, in bytes.
    pub size: u64,
    /// Where the body is stored.
    pub body: BodyLocation,
}

/// Where the body of a stored answer is.
#[value]
pub enum BodyLocation {
    /// In the row itself.
    Row(Vec<u8>),
    /// In the object store, under this name.
    Object(String),
    /// Nowhere: the body was too large, too many answers waited for their records, or storing it
    /// failed.
    Dropped,
}

/// What the row of a key means for a request with that key.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyStatus<'a> {
    /// The key is free: a claim may be written under this precondition.
    Free(Expect),
    /// Another attempt holds the key and may still end.
    InFlight,
    /// Another attempt holds the key, and its time has passed without a recorded end.
    Overdue,
    /// The request ran; this is its answer.
    Answered(&'a StoredAnswer),
    /// The request may have run.
    Lost,
    /// The key belongs to a different request.
    Reused,
}

/// The value of a row is not a record in a known format.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the row does not hold a record in the expected format")]
pub struct DecodeError;

impl Record {
    /// Encodes the record as the value of a row.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![FORMAT_VERSION])
            .expect("postcard can encode every field of a record")
    }

    /// Decodes the value of a row.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the value has another format.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        match value.split_first() {
            Some((&FORMAT_VERSION, rest)) => postcard::from_bytes(rest).map_err(|_| DecodeError),
            _ => Err(DecodeError),
        }
    }

    /// Returns a copy of the record with `state`.
    pub fn with_state(&self, state: State) -> Self {
        Self { state, ..self.clone() }
    }

    /// Returns what this record, stored at row version `version`, means for a request with
    /// `fingerprint` at wall time `wall`.
    pub fn key_status(
        &self,
        version: u64,
        fingerprint: Fingerprint,
        wall: Millis,
    ) -> KeyStatus<'_> {
        match &self.state {
            _ if self.fingerprint != fingerprint => KeyStatus::Reused,
            State::Released => KeyStatus::Free(Expect::At(version)),
            State::Answered(stored) => KeyStatus::Answered(stored),
            State::Lost => KeyStatus::Lost,
            State::Claimed if wall > self.overdue_after => KeyStatus::Overdue,
            State::Claimed => KeyStatus::InFlight,
        }
    }
}

/// Returns the key of the row for `key` in `workspace`. Rows sort by the creation time of their
/// idempotency keys.
pub fn row_key(workspace: &WorkspaceId, key: IdempotencyKey) -> String {
    format!("{ROW_PREFIX}{key}.{workspace}")
}

/// Returns the creation time of the idempotency key in `row_key`, or `None` if the row is of
/// another kind.
pub fn key_created_at(row_key: &str) -> Option<Millis> {
    let (key, _) = row_key.strip_prefix(ROW_PREFIX)?.split_once('.')?;
    key.parse().ok().map(IdempotencyKey::created_at)
}

/// Prefix of the keys of all rows that hold records.
pub const ROW_PREFIX: &str = "once/";

/// Decodes the record in `row`.
///
/// # Errors
///
/// Returns [`DecodeError`] if the value has another format.
pub fn decode_row(row: &Row) -> Result<Record, DecodeError> {
    Record::decode(&row.value)
}
