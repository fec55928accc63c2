//! The interfaces that an adapter to the platform implements for the entry host.

use std::net::SocketAddr;

use async_trait::async_trait;
use foxtail_steer::fleet::HostRecord;
use foxtail_steer::upstream::Load;
use foxtail_steer::{Config, Notice, RateLimit, Upstream};
use foxtail_types::prelude::*;
use hyper::http::{HeaderMap, StatusCode, Uri};
use serde::{Deserialize, Serialize};

/// The HTTP conventions towards callers, upstreams and the platform's health checks.
pub trait Protocol: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a description of the header that is missing or malformed.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestInfo, String>;

    /// Writes the headers of a request to an upstream.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &DispatchInfo<'_>);

    /// Reads status and headers of an upstream's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseInfo;

    /// Parses `uri` as a look-up. Returns `None` if it is not a valid one.
    fn parse_lookup(&self, uri: &Uri) -> Option<Lookup>;

    /// Returns the JSON body of the response to a look-up: `addrs`, which callers may use for
    /// `ttl`.
    fn lookup_body(&self, addrs: &[SocketAddr], ttl: Millis) -> Vec<u8>;

    /// Whether `uri` is the platform's health check.
    fn is_health_check(&self, uri: &Uri) -> bool;
}

/// The metadata of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// The identifier that the caller chose; a caller that retries sends another one.
    pub id: String,
    /// A stable hash of the object that the request is about, for affinity.
    pub object: Option<u64>,
    /// How long the caller waits for the response, counted from when it sent the request.
    pub timeout: Option<Millis>,
}

/// The metadata sent to an upstream with a request.
#[derive(Clone, Copy, Debug)]
pub struct DispatchInfo<'a> {
    /// The only upstream that may run the request.
    pub upstream: &'a UpstreamId,
    /// How long the host waits for the response.
    pub time_left: Millis,
}

/// The metadata of an upstream's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The identifier of the request that it answers.
    pub id: Option<String>,
    /// Whether the response proves that the upstream did not run the request.
    pub not_run: bool,
    /// Whether the address now belongs to another upstream.
    pub moved: bool,
    /// The upstream's load, if reported.
    pub load: Option<Load>,
    /// The requests per second that the upstream takes from all hosts together, if it names a
    /// limit.
    pub limit: Option<RateLimit>,
    /// What the upstream says of itself.
    pub notice: Notice,
    /// The upstream that answers, if named; set in answers to health checks.
    pub instance: Option<UpstreamId>,
    /// How long the upstream keeps an idle connection open, if announced.
    pub idle_timeout: Option<Millis>,
}

/// A caller's look-up of the hosts to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The caller's region, if given.
    pub region: Option<RegionId>,
    /// The caller's zone, if given.
    pub zone: Option<ZoneId>,
}

/// The platform's store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads all rows of `area`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if they could not be read.
    async fn read(&self, area: Area) -> Result<Facts, Error>;

    /// Returns the changes in `area` after `version`. Waits up to `wait` for a change if there is
    /// none.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Forgotten`] if the store no longer has the changes, or was restored from an
    /// older copy; all rows must then be read again. Returns another [`Error`] if the call failed.
    async fn changes(&self, area: Area, version: u64, wait: Millis) -> Result<Facts, Error>;

    /// Registers a host, and returns the version at which it is registered.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the call failed. The host may be registered nevertheless; registering
    /// is idempotent.
    async fn register(&self, record: &HostRecord) -> Result<u64, Error>;

    /// Removes a host's registration.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the call failed. The registration may be removed nevertheless.
    async fn unregister(&self, host: &HostId) -> Result<(), Error>;
}

/// A version of the store. As a number it rises with every change, also when the store is restored
/// from an older copy and counts its changes anew from there.
#[id]
pub struct StoreVersion {
    /// How often the store was restored.
    pub restorations: u64,
    /// The store's counter of changes.
    pub counter: u64,
}

impl StoreVersion {
    /// Number of bits of the counter. It suffices for 1,000 changes a second over 34 years.
    const COUNTER_BITS: u32 = 40;

    /// Returns the version as a number.
    pub fn to_number(self) -> u64 {
        self.restorations << Self::COUNTER_BITS | self.counter
    }

    /// Returns the version that `number` stands for.
    pub fn from_number(number: u64) -> Self {
        let counter = number & ((1 << Self::COUNTER_BITS) - 1);
        Self { restorations: number >> Self::COUNTER_BITS, counter }
    }
}

/// A part of the store whose rows and changes are read separately.
#[id]
pub enum Area {
    /// The configuration and evacuations, written by operators.
    Operators,
    /// The upstreams' registrations.
    Upstreams,
    /// The hosts' registrations.
    Hosts,
}

/// Rows or changes of an area, up to one version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Facts {
    /// The version of the newest change among the facts, at which they are complete. It is the same
    /// for all hosts that read the same changes.
    pub version: u64,
    /// The version up to which the store was read, which also rises with changes in other areas. It
    /// is not sent to other hosts; 0 in facts from another host.
    #[serde(skip)]
    pub read_version: u64,
    /// The facts, oldest first.
    pub facts: Vec<Fact>,
    /// Whether the facts are all rows of the area, rather than changes.
    pub whole: bool,
}

/// A decoded row or change of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Fact {
    /// The configuration.
    Config(Box<Config>),
    /// The evacuation of a zone begins or ends.
    Evacuation {
        /// The zone.
        zone: ZoneId,
        /// Whether the zone is evacuated.
        on: bool,
    },
    /// An upstream is registered.
    Upstream(Upstream),
    /// An upstream's registration was removed.
    UpstreamGone {
        /// The upstream.
        id: UpstreamId,
        /// Whether the registration may have lapsed during a store outage and soon return.
        lapsed: bool,
    },
    /// A host is registered.
    Host(HostRecord),
    /// A row that could not be decoded; it has no effect.
    Unreadable {
        /// The row's key.
        key: String,
        /// Why it could not be decoded.
        why: String,
    },
}

impl Fact {
    /// Returns whether `other` describes the same row with the same content. Configurations of the
    /// same version are the same.
    pub(crate) fn is_same(&self, other: &Fact) -> bool {
        match (self, other) {
            (Fact::Config(a), Fact::Config(b)) => a.version == b.version,
            (Fact::Evacuation { zone: a, on: a_on }, Fact::Evacuation { zone: b, on: b_on }) => {
                (a, a_on) == (b, b_on)
            }
            (Fact::Upstream(a), Fact::Upstream(b)) => a == b,
            _ => false,
        }
    }

    /// Returns the size of the fact, in rows: a route of a configuration counts as one.
    pub fn rows(&self) -> usize {
        match self {
            Fact::Config(cfg) => cfg.routes().len(),
            _ => 1,
        }
    }
}

/// An error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store refused the call for now; nothing was done.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The rate limit is exceeded; nothing was done.
    #[error("the store's rate limit is exceeded")]
    Throttled,
    /// No connection was established; nothing was done.
    #[error("the store could not be reached: {0}")]
    Unreachable(String),
    /// No response arrived; the operation may have been performed.
    #[error("the store did not answer: {0}")]
    NoAnswer(String),
    /// The store no longer has the requested changes.
    #[error("the store no longer has the requested changes")]
    Forgotten,
    /// The response could not be decoded.
    #[error("the store's response is not of the expected form: {0}")]
    Malformed(String),
}
