//! The reasons given to a caller whose request got no upstream's answer.

use foxtail_macro::id;

/// Why a request ended without an upstream's answer. The names are part of the interface to
/// callers.
#[id]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A header is missing or malformed, or the body could not be read.
    BadRequest,
    /// The headers or the body are larger than allowed.
    TooLarge,
    /// No route matches the request's host and path.
    UnknownService,
    /// The deadline had passed, or would have passed before an answer could arrive.
    DeadlinePassed,
    /// All slots are in use, and the queue is full or too slow for the deadline.
    Overloaded,
    /// The host has no memory for the request now.
    OutOfMemory,
    /// The upstreams that accept requests are at the limits that they named.
    UpstreamLimited,
    /// The upstreams that accept requests asked this host to send nothing for a while.
    UpstreamsPaused,
    /// No upstream accepts new requests.
    NoUpstream,
    /// The host reaches no upstream, and no other host could serve the request.
    UpstreamsLost,
    /// The upstream did not accept the connection, refused the request or was shutting down.
    UpstreamUnavailable,
    /// The upstream received the request, but a complete answer did not arrive.
    AnswerLost,
    /// The request is not idempotent and has no valid idempotency key.
    KeyRequired,
    /// The key is older than the time for which records of keys are kept.
    KeyExpired,
    /// The key was used for a different request.
    KeyReused,
    /// Another request with the same key is running.
    KeyInFlight,
    /// The platform's store did not answer before the timeout.
    StoreUnavailable,
    /// Upstreams crashed when they ran this request earlier.
    CrashedUpstreams,
    /// The host has no configuration yet.
    NotReady,
    /// The host stops before it could finish the request.
    Stopping,
}

impl Reason {
    /// Returns the name used in headers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::BadRequest => "bad-request",
            Reason::TooLarge => "too-large",
            Reason::UnknownService => "unknown-service",
            Reason::DeadlinePassed => "deadline-passed",
            Reason::Overloaded => "overloaded",
            Reason::OutOfMemory => "out-of-memory",
            Reason::UpstreamLimited => "upstream-limited",
            Reason::UpstreamsPaused => "upstreams-paused",
            Reason::NoUpstream => "no-upstream",
            Reason::UpstreamsLost => "upstreams-lost",
            Reason::UpstreamUnavailable => "upstream-unavailable",
            Reason::AnswerLost => "answer-lost",
            Reason::KeyRequired => "key-required",
            Reason::KeyExpired => "key-expired",
            Reason::KeyReused => "key-reused",
            Reason::KeyInFlight => "key-in-flight",
            Reason::StoreUnavailable => "store-unavailable",
            Reason::CrashedUpstreams => "crashed-upstreams",
            Reason::NotReady => "not-ready",
            Reason::Stopping => "stopping",
        }
    }
}
