//! The port through which requests that may never be repeated pass.

use async_trait::async_trait;
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;

/// Decides whether a request with a key may run, and records how it ended.
#[async_trait]
pub trait AtMostOnce: Send + Sync {
    /// Claims `key` for one attempt, or tells what is known of an earlier one.
    ///
    /// Returns by the deadline. After [`BeginOutcome::Run`] the caller must end the attempt with one of the
    /// other calls; an attempt that is dropped counts as possibly run.
    async fn begin(&self, req: ClaimRequest<'_>) -> BeginOutcome;

    /// Ends the attempt with the upstream's answer. It is recorded in the background, so that the
    /// answer can be passed on at once.
    async fn record_answer(&self, attempt: Attempt, answer: Answer);

    /// Ends the attempt with proof that no upstream ran it.
    async fn release(&self, attempt: Attempt);

    /// Ends the attempt without knowledge: it may have run.
    async fn mark_lost(&self, attempt: Attempt);

    /// Whether the attempt may still be sent now: its deadline has not passed, also while the host
    /// was paused, and it has not been ended. To be asked right before sending.
    fn may_send(&self, attempt: &Attempt) -> bool;
}

/// A request that may not be repeated, as it asks to run.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// The workspace.
    pub workspace: &'a WorkspaceId,
    /// The caller's key.
    pub key: Key,
    /// What the request is.
    pub fingerprint: Fingerprint,
    /// Whether the caller says that it sent this key before. With the store out of reach, such a
    /// request is unknown rather than not run: its earlier sending may have run.
    pub resent: bool,
    /// When the caller stops waiting, by the boot clock.
    pub deadline: Millis,
}

/// What identifies a request besides its key: workspace, service, method, path and body.
#[id]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 32]);

/// How a request with a key goes on.
#[value]
pub enum BeginOutcome {
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

impl BeginOutcome {
    /// The name in logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            BeginOutcome::Run(_) => "run",
            BeginOutcome::Replay(_) => "replay",
            BeginOutcome::NotRun(..) => "not-run",
            BeginOutcome::Unknown(..) => "unknown",
            BeginOutcome::Refused(_) => "refused",
        }
    }

    /// Why the request may not run now.
    pub const fn reason(&self) -> Option<Reason> {
        match self {
            BeginOutcome::Run(_) | BeginOutcome::Replay(_) => None,
            BeginOutcome::NotRun(reason, _)
            | BeginOutcome::Unknown(reason, _)
            | BeginOutcome::Refused(reason) => Some(*reason),
        }
    }
}

/// The right to send a request once.
#[value]
pub struct Attempt {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub key: Key,
    /// What the request is.
    pub fingerprint: Fingerprint,
    /// This attempt's own token.
    pub token: u64,
    /// The version of the claim's row.
    pub row_version: u64,
    /// When the caller stops waiting, by the boot clock.
    pub deadline: Millis,
    /// When the attempt is over whatever happens, by the wall clock.
    pub ends: Millis,
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
