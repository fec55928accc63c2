//! The port to the platform's list of hosts, which lags.

use std::net::SocketAddr;

use async_trait::async_trait;
use foxtail_types::prelude::*;

/// The list of live and leaving hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// The hosts as the platform knows them.
    ///
    /// # Errors
    ///
    /// [`Error`] if the list could not be had; the last one known stays in use.
    async fn list(&self, timeout: Millis) -> Result<Vec<HostEntry>, Error>;
}

/// A host in the list.
#[value]
pub struct HostEntry {
    /// The host.
    pub id: HostId,
    /// Which start of the host this is: a replaced or restarted host has a higher one.
    pub incarnation: u64,
    /// Its region.
    pub region: RegionId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where other hosts reach it.
    pub peer: SocketAddr,
    /// Where operators reach it.
    pub operator: SocketAddr,
    /// Live or leaving.
    pub state: HostState,
}

/// The platform's word on a host.
#[id]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Takes part.
    Live,
    /// Told to stop.
    Leaving,
}

/// Why the list could not be had.
#[value]
#[derive(thiserror::Error)]
#[error("the host list could not be had: {0}")]
pub struct Error(pub String);
