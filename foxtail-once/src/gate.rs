//! The port through which requests that may never be repeated pass.

use async_trait::async_trait;
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;

/// Decides whether a request with a key may run, and records how it ended.
#[async_trait]
pub trait Gate: Send + Sync {
    /// Claims `key` for one attempt, or tells what is known of an earlier one.
    ///
    /// Returns by `deadline`. After [`Begin::Run`] the caller must end the attempt with one of the
    /// other calls; an attempt that is dropped counts as possibly run.
    async fn begin(
        &self,
        workspace: &WorkspaceId,
        key: Key,
        print: Fingerprint,
        deadline: Millis,
    ) -> Begin;

    /// Ends the attempt with the upstream's answer. Returns when it is recorded or the time for
    /// that has run out; recording goes on in the background until it is done.
    async fn answered(&self, attempt: Attempt, answer: Answer);

    /// Ends the attempt with proof that no upstream ran it.
    async fn released(&self, attempt: Attempt);

    /// Ends the attempt without knowledge: it may have run.
    async fn lost(&self, attempt: Attempt);

    /// Whether the attempt may still be sent now: its host was not paused past what it may rely on.
    fn may_send(&self, attempt: &Attempt) -> bool;
}

/// What identifies a request besides its key: workspace, service, method, path and body.
#[id]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 32]);

/// How a request with a key goes on.
#[value]
pub enum Begin {
    /// The claim is committed: send it, once.
    Run(Attempt),
    /// It ran before: this was its answer.
    Replay(Answer),
    /// It did not run for this caller and is proved not to; the reason and when to come back.
    NotRun(Reason, Millis),
    /// An earlier attempt may have run, or is running; when to ask again.
    Unknown(Reason, Millis),
    /// It will never run as it stands.
    Refused(Reason),
}

/// The right to send a request once.
#[value]
pub struct Attempt {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub key: Key,
    /// This attempt's own token.
    pub token: u64,
    /// The version of the claim's row.
    pub row: u64,
    /// When the caller stops waiting.
    pub deadline: Millis,
}

/// An upstream's whole answer.
#[value]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body; `None` if it was too large to be kept.
    pub body: Option<Vec<u8>>,
    /// SHA-256 of the body.
    pub digest: [u8; 32],
    /// The size of the body, in bytes.
    pub size: u64,
}
