//! What a caller is told about a request that got no upstream's answer.

use foxtail_macro::id;

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
    /// The platform's store did not answer in time.
    StoreUnavailable,
    /// The request crashed upstreams before.
    CrashedUpstreams,
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
            Reason::NoUpstream => "no-upstream",
            Reason::UpstreamUnavailable => "upstream-unavailable",
            Reason::AnswerLost => "answer-lost",
            Reason::KeyRequired => "key-required",
            Reason::KeyExpired => "key-expired",
            Reason::KeyReused => "key-reused",
            Reason::KeyInFlight => "key-in-flight",
            Reason::StoreUnavailable => "store-unavailable",
            Reason::CrashedUpstreams => "crashed-upstreams",
            Reason::NotReady => "not-ready",
        }
    }
}
