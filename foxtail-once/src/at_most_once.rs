//! The interface for requests that must not run more than once.

use async_trait::async_trait;
use foxtail_types::prelude::*;
use foxtail_types::reason::Reason;

/// Decides whether a request with a key may run, and records how its attempt ended.
#[async_trait]
pub trait AtMostOnce: Send + Sync {
    /// Claims the key of `req` for one attempt, or reports the state of an earlier attempt.
    ///
    /// Returns by the deadline. After [`BeginOutcome::Run`] the caller must end the attempt with
    /// one of the other methods; an attempt that is dropped counts as possibly run.
    async fn begin(&self, req: ClaimRequest<'_>) -> BeginOutcome;

    /// Ends the attempt with the upstream's answer. The record is written in the background, so
    /// that the answer can be passed on at once.
    async fn record_answer(&self, attempt: Attempt, answer: Answer);

    /// Ends the attempt with proof that no upstream ran it, which frees the key.
    async fn release(&self, attempt: Attempt);

    /// Ends the attempt with an unknown outcome: it may have run.
    async fn mark_lost(&self, attempt: Attempt);

    /// Returns whether the attempt may still be sent: it has not been ended and its deadline has
    /// not passed, which also covers a host that was paused. Call this right before sending.
    fn may_send(&self, attempt: &Attempt) -> bool;
}

/// A request that must not run more than once.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// Workspace of the request.
    pub workspace: &'a WorkspaceId,
    /// Key that the caller gave the request.
    pub key: IdempotencyKey,
    /// Identifies the request that the key belongs to.
    pub fingerprint: Fingerprint,
    /// Whether the caller states that it sent this key before. While the store is unavailable, the
    /// outcome of such a request is unknown rather than not run, as its earlier submission may have
    /// run.
    pub resent: bool,
    /// Time at which the caller stops waiting, by the boot clock.
    pub deadline: Millis,
}

/// Hash of what identifies a request besides its key: workspace, service, method, path and body.
#[id]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 32]);

/// Outcome of [`AtMostOnce::begin`].
#[value]
pub enum BeginOutcome {
    /// The claim is committed: the caller may send the request once.
    Run(Attempt),
    /// The request ran before; this is its answer.
    Replay(Answer),
    /// The request is proved not to have run for this caller; the reason, and the time after which
    /// to retry.
    NotRun(Reason, Millis),
    /// An earlier attempt may have run or is running; the reason, and the time after which to ask
    /// again.
    Unknown(Reason, Millis),
    /// The request will never run as it stands; the reason.
    Refused(Reason),
}

impl BeginOutcome {
    /// Returns the name of the outcome in log lines.
    pub const fn as_str(&self) -> &'static str {
        match self {
            BeginOutcome::Run(_) => "run",
            BeginOutcome::Replay(_) => "replay",
            BeginOutcome::NotRun(..) => "not-run",
            BeginOutcome::Unknown(..) => "unknown",
            BeginOutcome::Refused(_) => "refused",
        }
    }

    /// Returns why the request may not run now, or `None` if it runs or is replayed.
    pub const fn reason(&self) -> Option<Reason> {
        match self {
            BeginOutcome::Run(_) | BeginOutcome::Replay(_) => None,
            BeginOutcome::NotRun(reason, _)
            | BeginOutcome::Unknown(reason, _)
            | BeginOutcome::Refused(reason) => Some(*reason),
        }
    }
}

/// The right to send one request once.
#[value]
pub struct Attempt {
    /// Workspace of the request.
    pub workspace: WorkspaceId,
    /// Key that the caller gave the request.
    pub key: IdempotencyKey,
    /// Identifies the request that the key belongs to.
    pub fingerprint: Fingerprint,
    /// Token of this attempt; no two attempts share one.
    pub token: u64,
    /// Version of the row that holds the claim.
    pub row_version: u64,
    /// Time at which the caller stops waiting, by the boot clock.
    pub deadline: Millis,
    /// Time after which other hosts count the attempt as overdue, by the wall clock.
    pub overdue_after: Millis,
}

/// A complete answer of an upstream.
#[value]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are passed on to the caller.
    pub headers: Vec<(String, String)>,
    /// Body; `None` if it was too large to be stored.
    pub body: Option<Vec<u8>>,
    /// SHA-256 of the body.
    pub digest: [u8; 32],
    /// Size of the body, in bytes.
    pub size: u64,
}
