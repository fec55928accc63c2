//! Locations, the paths between them, and the cuts of links.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use foxtail_net::Dial;
use foxtail_types::prelude::*;
use parking_lot::RwLock;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Traffic;
use super::dial::LocationDial;
use super::link::Link;

/// The region and zone where a process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The region.
    pub region: RegionId,
    /// The zone, or `None` for a client outside of the zones, near the region.
    pub zone: Option<ZoneId>,
}

/// One direction of the link between two regions.
#[derive(Clone, Debug)]
pub struct LinkSpec {
    /// The sending region.
    pub from: RegionId,
    /// The receiving region.
    pub to: RegionId,
    /// The one-way delay.
    pub delay: Millis,
    /// The rate in Mbit/s, shared by all connections.
    pub mbit_per_s: u32,
}

/// The delays within a region.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The round-trip time between two zones of a region.
    pub zone_round_trip: Millis,
    /// The round-trip time between a client and its region.
    pub client_round_trip: Millis,
}

/// How one direction between two regions is cut.
#[id]
pub enum Cut {
    /// No bytes arrive; those sent meanwhile arrive when the cut ends.
    Blackhole,
    /// Connections are reset, and new ones are refused.
    Reset,
}

/// A simulated network between locations.
pub struct Network {
    options: Options,
    links: HashMap<(RegionId, RegionId), Arc<Link>>,
    delays: HashMap<(RegionId, RegionId), Duration>,
    locations: RwLock<HashMap<SocketAddr, Location>>,
    byte_counters: RwLock<HashMap<SocketAddr, Arc<AtomicU64>>>,
    uplinks: RwLock<HashMap<SocketAddr, Arc<Link>>>,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
}

/// One direction between two locations, with the counter of bytes to and from the server's address.
#[derive(Clone)]
pub(crate) struct OneWayPath {
    pub(crate) delay: Duration,
    pub(crate) link: Option<Arc<Link>>,
    /// The sender's own link, if its rate is limited.
    pub(crate) uplink: Option<Arc<Link>>,
    pub(crate) byte_counter: Arc<AtomicU64>,
}

impl Location {
    /// Returns the location of a process in a zone.
    pub fn zone(region: &RegionId, zone: &ZoneId) -> Self {
        Self { region: region.clone(), zone: Some(zone.clone()) }
    }

    /// Returns the location of a client near a region.
    pub fn client(region: &RegionId) -> Self {
        Self { region: region.clone(), zone: None }
    }
}

impl Network {
    /// Returns a network with the given links between regions.
    pub fn new(link_specs: &[LinkSpec], options: Options) -> Arc<Self> {
        let mut links = HashMap::new();
        let mut delays = HashMap::new();
        for spec in link_specs {
            let ends = (spec.from.clone(), spec.to.clone());
            links.insert(ends.clone(), Arc::new(Link::new(spec.mbit_per_s)));
            delays.insert(ends, spec.delay.duration());
        }
        Arc::new(Self {
            options,
            links,
            delays,
            locations: RwLock::default(),
            byte_counters: RwLock::default(),
            uplinks: RwLock::default(),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        })
    }

    /// Registers the location of the server at `addr`. A server that is not registered has the
    /// location of its client.
    pub fn register(&self, addr: SocketAddr, location: Location) {
        self.locations.write().insert(addr, location);
    }

    /// Limits the rate at which the server at `addr` sends, over all its connections together.
    pub fn limit_uplink(&self, addr: SocketAddr, mbit_per_s: u32) {
        self.uplinks.write().insert(addr, Arc::new(Link::new(mbit_per_s)));
    }

    /// Returns the number of bytes sent so far on connections to `addr`, both directions together.
    pub fn bytes_to(&self, addr: SocketAddr) -> u64 {
        self.byte_counters
            .read()
            .get(&addr)
            .map_or(0, |byte_counter| byte_counter.load(Ordering::Relaxed))
    }

    /// Returns a dialer for clients at `location`.
    pub fn dial_from(self: &Arc<Self>, location: Location) -> Arc<dyn Dial> {
        Arc::new(LocationDial::new(Arc::clone(self), location))
    }

    /// Returns the traffic that the server at `addr` sent so far over its limited uplink.
    pub fn uplink_traffic(&self, addr: SocketAddr) -> Traffic {
        self.uplink(addr).map(|link| link.traffic()).unwrap_or_default()
    }

    /// Cuts one direction between two regions, or restores it if `cut` is `None`.
    pub fn set_cut(&self, from: &RegionId, to: &RegionId, cut: Option<Cut>) {
        if let Some(link) = self.links.get(&(from.clone(), to.clone())) {
            link.set_cut(cut);
        }
    }

    /// Cuts both directions between a region and all others, or restores them if `cut` is `None`.
    pub fn set_region_cut(&self, region: &RegionId, cut: Option<Cut>) {
        for ((from, to), link) in &self.links {
            if from == region || to == region {
                link.set_cut(cut);
            }
        }
    }

    /// Returns the traffic from one region to another so far.
    pub fn traffic(&self, from: &RegionId, to: &RegionId) -> Traffic {
        let link = self.links.get(&(from.clone(), to.clone()));
        link.map(|link| link.traffic()).unwrap_or_default()
    }

    /// Drops all connections and waits until their tasks have ended.
    pub async fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    pub(crate) fn byte_counter(&self, addr: SocketAddr) -> Arc<AtomicU64> {
        Arc::clone(self.byte_counters.write().entry(addr).or_default())
    }

    pub(crate) fn uplink(&self, addr: SocketAddr) -> Option<Arc<Link>> {
        self.uplinks.read().get(&addr).cloned()
    }

    pub(crate) fn location_of(&self, addr: SocketAddr) -> Option<Location> {
        self.locations.read().get(&addr).cloned()
    }

    pub(crate) fn path(
        &self,
        from: &Location,
        to: &Location,
        byte_counter: Arc<AtomicU64>,
    ) -> OneWayPath {
        let ends = (from.region.clone(), to.region.clone());
        let region_delay = self.delays.get(&ends).copied().unwrap_or_default();
        let local_round_trip = match (&from.zone, &to.zone) {
            (Some(a), Some(b)) if a == b || from.region != to.region => Millis::ZERO,
            (Some(_), Some(_)) => self.options.zone_round_trip,
            _ => self.options.client_round_trip,
        };
        let link = self.links.get(&ends).cloned();
        let delay = region_delay + local_round_trip.duration() / 2;
        OneWayPath { delay, link, uplink: None, byte_counter }
    }
}
