//! What a caller is told about its request.

use foxtail_macro::{id, value};
use foxtail_time::Millis;

/// The outcome of a request that ended without an upstream's answer.
#[value]
pub enum Outcome {
    /// The request did not run, and this is proved. It may be sent again after `retry_after`.
    NotRun {
        /// Why it did not run.
        reason: Reason,
        /// When to come back.
        retry_after: Millis,
    },
    /// The request may have run. Asking again with the same key gets the recorded outcome.
    Unknown {
        /// Why nothing is known.
        reason: Reason,
        /// When to ask again.
        retry_after: Millis,
    },
    /// The request is wrong or not allowed, did not run, and will not run if sent again unchanged.
    Refused {
        /// Why it was refused.
        reason: Reason,
    },
}

/// Why a request ended the way it did. The names are part of the interface to callers.
#[id]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A header is missing or malformed.
    BadRequest,
    /// The headers or the body are larger than allowed.
    TooLarge,
    /// No such workspace or service.
    UnknownService,
    /// The deadline had passed, or would have before an answer could come.
    DeadlinePassed,
    /// Every slot is taken and the queue is full or too slow for the deadline.
    Overloaded,
    /// The link to the other region, or the shift cap, has no room.
    NoHeadroom,
    /// No upstream may take new work.
    NoUpstream,
    /// The upstream did not take the connection, shed the request or was leaving.
    UpstreamUnavailable,
    /// The upstream took the request, and the connection broke before a whole answer.
    AnswerLost,
    /// The request must not be repeated and carries no valid key.
    KeyRequired,
    /// The key is older than the records are kept.
    KeyExpired,
    /// The key was used for a different request.
    KeyReused,
    /// The same key is being run now.
    KeyInFlight,
    /// The request ran, and its answer was too large to be kept for replay.
    AnswerNotKept,
    /// The platform's store did not answer in time.
    StoreUnavailable,
    /// The request crashed upstreams before.
    Convicted,
    /// The host is stopping.
    Stopping,
    /// The host has no configuration yet.
    NotReady,
}

impl Reason {
    /// The name in headers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::BadRequest => "bad-request",
            Reason::TooLarge => "too-large",
            Reason::UnknownService => "unknown-service",
            Reason::DeadlinePassed => "deadline-passed",
            Reason::Overloaded => "overloaded",
            Reason::NoHeadroom => "no-headroom",
            Reason::NoUpstream => "no-upstream",
            Reason::UpstreamUnavailable => "upstream-unavailable",
            Reason::AnswerLost => "answer-lost",
            Reason::KeyRequired => "key-required",
            Reason::KeyExpired => "key-expired",
            Reason::KeyReused => "key-reused",
            Reason::KeyInFlight => "key-in-flight",
            Reason::AnswerNotKept => "answer-not-kept",
            Reason::StoreUnavailable => "store-unavailable",
            Reason::Convicted => "convicted",
            Reason::Stopping => "stopping",
            Reason::NotReady => "not-ready",
        }
    }
}
