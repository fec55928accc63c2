//! What the table keeps of a key, and what follows from it.

use foxtail_platform::table::{Expect, Row};
use foxtail_types::prelude::*;

use crate::Fingerprint;

/// The first byte of every encoded record.
const FORMAT_VERSION: u8 = 1;

/// What is known of a key.
#[value]
pub struct Record {
    /// What the request is.
    pub fingerprint: Fingerprint,
    /// The token of the attempt that wrote the claim; no two attempts share one.
    pub token: u64,
    /// The host that holds the claim.
    pub holder: HostId,
    /// When the attempt is over whatever happens, by the holder's wall clock.
    pub ends: Millis,
    /// How far the attempt has come.
    pub state: State,
}

/// How far an attempt has come.
#[value]
pub enum State {
    /// The holder may have sent the request, or may yet.
    Claimed,
    /// The holder proved that it did not run; the key is free.
    Released,
    /// The request ran, and this was its answer.
    Answered(StoredAnswer),
    /// The request may have run, and nothing more will be known unless its holder comes back.
    Lost,
}

/// An answer as it is kept.
#[value]
pub struct StoredAnswer {
    /// The status code.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// SHA-256 of the body.
    pub digest: [u8; 32],
    /// The size of the body, in bytes.
    pub size: u64,
    /// Where the body is.
    pub body: BodyLocation,
}

/// Where the body of a kept answer is.
#[value]
pub enum BodyLocation {
    /// In the row.
    Row(Vec<u8>),
    /// In the object store, under this name.
    Object(String),
    /// Nowhere: it was too large.
    Dropped,
}

/// What a row means for a request with its key.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyStatus<'a> {
    /// The key is free: a claim may be written under this precondition.
    Free(Expect),
    /// Another attempt is under way.
    InFlight,
    /// Another attempt never said how it ended, and its time is over.
    Overdue,
    /// It ran; this is the answer.
    Answered(&'a StoredAnswer),
    /// It may have run.
    Lost,
    /// The key belongs to a different request.
    Reused,
}

/// A row that is no record of this version.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the row of a key is not readable")]
pub struct DecodeError;

impl Record {
    /// The record as a row's value.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![FORMAT_VERSION]).expect("records are plain data")
    }

    /// The record in a row's value.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it was written in another format.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        match value.split_first() {
            Some((&FORMAT_VERSION, rest)) => postcard::from_bytes(rest).map_err(|_| DecodeError),
            _ => Err(DecodeError),
        }
    }

    /// The same attempt, further on.
    pub fn with_state(&self, state: State) -> Self {
        Self { state, ..self.clone() }
    }

    /// What this record, at `version`, means for a request `fingerprint` at `wall` time.
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
            State::Claimed if wall > self.ends => KeyStatus::Overdue,
            State::Claimed => KeyStatus::InFlight,
        }
    }
}

/// The key of the row for `key` in `workspace`; rows sort by the birth of their keys.
pub fn row_key(workspace: &WorkspaceId, key: Key) -> String {
    format!("{ROW_PREFIX}{key}.{workspace}")
}

/// The birth of the key in a row's key, or `None` if the row is of another kind.
pub fn row_born(row: &str) -> Option<Millis> {
    let (key, _) = row.strip_prefix(ROW_PREFIX)?.split_once('.')?;
    key.parse().ok().map(Key::born)
}

/// What the rows of keys start with.
pub const ROW_PREFIX: &str = "once/";

/// Reads the record of `row`.
///
/// # Errors
///
/// [`DecodeError`] if it was written in another format.
pub fn decode_row(row: &Row) -> Result<Record, DecodeError> {
    Record::decode(&row.value)
}
