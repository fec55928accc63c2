//! What the entry host needs from an adapter to the platform.

use std::net::SocketAddr;

use async_trait::async_trait;
use foxtail_steer::fleet::Record;
use foxtail_steer::upstream::Load;
use foxtail_steer::{Config, Upstream};
use foxtail_types::prelude::*;
use hyper::http::{HeaderMap, StatusCode, Uri};
use serde::{Deserialize, Serialize};

/// How callers, upstreams and the platform's checks are spoken to.
pub trait Protocol: Send + Sync {
    /// Reads what a caller's request says of itself.
    ///
    /// # Errors
    ///
    /// What is missing or malformed.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestInfo, String>;

    /// Writes onto a request what an upstream is told with it.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &DispatchInfo<'_>);

    /// Reads what an upstream's answer says of itself.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseInfo;

    /// Reads a look-up, if `uri` is one.
    fn parse_lookup(&self, uri: &Uri) -> Option<Lookup>;

    /// The body of a look-up's answer, in JSON.
    fn lookup_body(&self, addrs: &[SocketAddr], ttl: Millis) -> Vec<u8>;

    /// Whether `uri` asks if the host is ready.
    fn is_health_check(&self, uri: &Uri) -> bool;
}

/// What a caller's request says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// The identifier of this sending of the request.
    pub id: String,
    /// The object that it is about, as a stable number.
    pub object: Option<u64>,
    /// How long the caller waits, from the sending on.
    pub timeout: Option<Millis>,
}

/// What an upstream is told with a request.
#[derive(Clone, Copy, Debug)]
pub struct DispatchInfo<'a> {
    /// The only upstream that may run it.
    pub upstream: &'a UpstreamId,
    /// How long its answer is waited for.
    pub time_left: Millis,
}

/// What an upstream's answer says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The request that it answers.
    pub id: Option<String>,
    /// Whether it proves that the upstream did not run the request.
    pub not_run: bool,
    /// Whether another upstream has the address.
    pub moved: bool,
    /// The upstream's load.
    pub load: Option<Load>,
    /// How long the upstream keeps an idle connection.
    pub idle_timeout: Option<Millis>,
}

/// A caller's question which hosts to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The caller's region, if it says so.
    pub region: Option<RegionId>,
    /// The caller's zone, if it says so.
    pub zone: Option<ZoneId>,
}

/// The platform's store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Everything that `area` holds now.
    ///
    /// # Errors
    ///
    /// [`Error`] if it could not be read.
    async fn read(&self, area: Area) -> Result<Facts, Error>;

    /// What changed in `area` after `version`, as soon as there is something, or after `wait`.
    ///
    /// # Errors
    ///
    /// [`Error::Forgotten`] if the store does not know any more; then everything is read anew.
    async fn changes(&self, area: Area, version: u64, wait: Millis) -> Result<Facts, Error>;

    /// Registers a host.
    ///
    /// # Errors
    ///
    /// [`Error`]; the host may be registered all the same, and registering again is harmless.
    async fn register(&self, record: &Record) -> Result<(), Error>;

    /// Takes a host's registration out.
    ///
    /// # Errors
    ///
    /// [`Error`]; the registration may be gone all the same.
    async fn unregister(&self, host: &HostId) -> Result<(), Error>;
}

/// A part of the store.
#[id]
pub enum Area {
    /// What operators write.
    Operators,
    /// The upstreams' registrations.
    Upstreams,
    /// The hosts' registrations.
    Hosts,
}

/// What the store says, at one version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Facts {
    /// The version; changes are asked for after it.
    pub version: u64,
    /// The facts, the oldest first.
    pub facts: Vec<Fact>,
    /// Whether they are all that the area holds, rather than changes.
    pub whole: bool,
}

/// One row of the store, decoded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Fact {
    /// The configuration.
    Config(Box<Config>),
    /// A zone is evacuated, or taken back into use.
    Evacuation {
        /// The zone.
        zone: ZoneId,
        /// Whether it is evacuated.
        on: bool,
    },
    /// An upstream is registered.
    Upstream(Upstream),
    /// An upstream's registration is gone.
    UpstreamGone {
        /// The upstream.
        id: UpstreamId,
        /// Whether it may have lapsed while the store was out, and come back soon.
        lapsed: bool,
    },
    /// A host is registered.
    Host(Record),
    /// A row that can't be read; it names nothing.
    Unreadable {
        /// The row's key.
        key: String,
        /// What is wrong with it.
        why: String,
    },
}

/// Why the store could not be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store can't now; nothing was done.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The rate of calls is exceeded; nothing was done.
    #[error("the store's rate of calls is exceeded")]
    Throttled,
    /// No connection could be made; nothing was done.
    #[error("the store could not be reached: {0}")]
    Unreachable(String),
    /// No answer; what was asked may have been done.
    #[error("the store did not answer: {0}")]
    NoAnswer(String),
    /// The asked history is not kept any more.
    #[error("the store forgot the changes that were asked for")]
    Forgotten,
    /// The answer is not in a known form.
    #[error("the store's answer can't be read: {0}")]
    Malformed(String),
}
