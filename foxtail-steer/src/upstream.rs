//! Upstreams as they register themselves.

use std::net::SocketAddr;

use foxtail_types::prelude::*;

/// One registered upstream.
#[value]
pub struct Upstream {
    /// Its identifier. Mostly each start has a new one.
    pub id: UpstreamId,
    /// The service it runs.
    pub service: ServiceId,
    /// Where it is reached. Addresses change hands.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: ZoneId,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it leaves and takes no new work.
    pub draining: bool,
    /// How much longer it stays cold.
    pub cold_for: Millis,
    /// When this incarnation started, since the Unix epoch, if it says so.
    pub started: Option<Millis>,
}

/// Load as an upstream reports it with an answer.
#[id]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Its slots.
    pub slots: u32,
}
