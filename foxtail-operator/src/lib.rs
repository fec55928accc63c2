//! The JSON-RPC interface through which operators query a running host.
//!
//! It changes nothing. Operators write changes to the platform's store, from which hosts read them.

use foxtail_macro::value;
use foxtail_steer::fleet::Phase;
use foxtail_types::prelude::*;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

/// The queries that a host answers to operators.
#[rpc(server, client)]
pub trait Operator {
    /// Returns the host's phase and what it knows of the site.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;
}

/// The phase of a host and what it knows of the site.
#[value]
pub struct Status {
    /// The host that answers.
    pub host: HostId,
    /// The host's zone.
    pub zone: ZoneId,
    /// The host's phase between start and stop.
    pub phase: Phase,
    /// The version of the configuration in force, if there is one.
    pub version: Option<Version>,
    /// The zones that the host treats as evacuated.
    pub evacuated: Vec<ZoneId>,
    /// The number of hosts that the host considers alive, including itself.
    pub hosts_alive: usize,
    /// The number of upstreams that the host knows.
    pub upstreams: usize,
    /// The number of callers' requests since the host started.
    pub requests: u64,
    /// Whether the host reads the store on behalf of its region.
    pub reads_store: bool,
    /// Whether the host can't read the store.
    pub store_lost: bool,
    /// The versions of the store up to which the host knows the operators' rows and the upstreams'
    /// registrations, in this order.
    pub store_versions: (u64, u64),
}
