//! What operators can ask of a running host, over JSON-RPC.
//!
//! Hosts only answer questions here. What operators change they write to the platform's store, which
//! hosts follow.

use foxtail_macro::value;
use foxtail_steer::fleet::Phase;
use foxtail_types::prelude::*;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

/// What operators can ask of a host.
#[rpc(server, client)]
pub trait Operator {
    /// How the host is, and what it believes.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;
}

/// How a host is, and what it believes.
#[value]
pub struct Status {
    /// The host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// How far it is in its life.
    pub phase: Phase,
    /// The configuration in force, if there is one.
    pub version: Option<Version>,
    /// The zones that it takes for evacuated.
    pub evacuated: Vec<ZoneId>,
    /// How many hosts it takes for alive, itself included.
    pub hosts_alive: usize,
    /// How many upstreams it knows.
    pub upstreams: usize,
    /// Callers' requests since its start.
    pub requests: u64,
    /// Whether it reads the store for its region.
    pub reads_store: bool,
    /// Whether the store fails it.
    pub store_lost: bool,
    /// The versions of the store that it knows: what operators wrote, and upstreams' registrations.
    pub store_versions: (u64, u64),
}
