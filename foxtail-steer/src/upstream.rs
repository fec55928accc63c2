//! Registrations and load reports of upstreams.

use std::net::SocketAddr;

use foxtail_types::prelude::*;

/// The most slots that an upstream can have, and requests that can run or wait there. It is hundreds of
/// times those of usual upstreams, and more than the connections that one accepts, each of which carries
/// one request. Larger numbers are faults.
pub const MAX_SLOTS: u32 = 4_096;

/// A registered upstream.
#[value]
pub struct Upstream {
    /// Its identifier. Usually each start has a new one.
    pub id: UpstreamId,
    /// The service that it runs.
    pub service: ServiceId,
    /// Its address. Another upstream may use the same address later.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub draining: bool,
    /// Remaining time for which it stays cold.
    pub cold_for: Millis,
    /// When this incarnation started, since the Unix epoch, if reported.
    pub started: Option<Millis>,
}

/// The load that an upstream reports.
#[id]
pub struct Load {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that are waiting for a slot.
    pub waiting: u32,
    /// Its number of slots.
    pub slots: u32,
}

impl Load {
    /// Returns whether an upstream can have this load.
    pub fn is_plausible(&self) -> bool {
        [self.running, self.waiting, self.slots].iter().all(|count| *count <= MAX_SLOTS)
    }
}
