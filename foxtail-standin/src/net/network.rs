//! Places, ways between them and the switches.

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

/// Where a process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its region.
    pub region: RegionId,
    /// Its zone, or `None` for a client outside of the zones, near the region.
    pub zone: Option<ZoneId>,
}

/// One direction between two regions.
#[derive(Clone, Debug)]
pub struct LinkSpec {
    /// The sending region.
    pub from: RegionId,
    /// The receiving region.
    pub to: RegionId,
    /// Its one-way delay.
    pub delay: Millis,
    /// Its rate, shared by all connections, in Mbit/s.
    pub mbit_per_s: u32,
}

/// The delays within a region.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// There and back between two zones of a region.
    pub zone_round_trip: Millis,
    /// There and back between a client and its region.
    pub client_round_trip: Millis,
}

/// How a direction between two regions is cut.
#[id]
pub enum Cut {
    /// Nothing arrives; what was sent arrives after the cut.
    Blackhole,
    /// Connections break, and new ones are refused.
    Reset,
}

/// The network.
pub struct Network {
    options: Options,
    links: HashMap<(RegionId, RegionId), Arc<Link>>,
    delays: HashMap<(RegionId, RegionId), Duration>,
    locations: RwLock<HashMap<SocketAddr, Location>>,
    byte_counters: RwLock<HashMap<SocketAddr, Arc<AtomicU64>>>,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
}

/// One direction between two places.
#[derive(Clone)]
pub(crate) struct OneWayPath {
    pub(crate) delay: Duration,
    pub(crate) link: Option<Arc<Link>>,
    pub(crate) byte_count: Arc<AtomicU64>,
}

impl Location {
    /// A process in a zone.
    pub fn zone(region: &RegionId, zone: &ZoneId) -> Self {
        Self { region: region.clone(), zone: Some(zone.clone()) }
    }

    /// A client near a region.
    pub fn client(region: &RegionId) -> Self {
        Self { region: region.clone(), zone: None }
    }
}

impl Network {
    /// A network with `routes` between regions.
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
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        })
    }

    /// States where the server at `addr` runs. A server that was never registered counts as being
    /// where its client is.
    pub fn register(&self, addr: SocketAddr, location: Location) {
        self.locations.write().insert(addr, location);
    }

    /// The bytes sent so far in both directions on connections to `addr`.
    pub fn bytes_to(&self, addr: SocketAddr) -> u64 {
        self.byte_counters
            .read()
            .get(&addr)
            .map_or(0, |byte_count| byte_count.load(Ordering::Relaxed))
    }

    /// Connections from `place`.
    pub fn dial_from(self: &Arc<Self>, location: Location) -> Arc<dyn Dial> {
        Arc::new(LocationDial::new(Arc::clone(self), location))
    }

    /// Cuts one direction between two regions, or heals it.
    pub fn set_cut(&self, from: &RegionId, to: &RegionId, cut: Option<Cut>) {
        if let Some(link) = self.links.get(&(from.clone(), to.clone())) {
            link.set_cut(cut);
        }
    }

    /// Cuts a region off from all others in both directions, or heals that.
    pub fn set_region_cut(&self, region: &RegionId, cut: Option<Cut>) {
        for ((from, to), link) in &self.links {
            if from == region || to == region {
                link.set_cut(cut);
            }
        }
    }

    /// What went from one region to another.
    pub fn traffic(&self, from: &RegionId, to: &RegionId) -> Traffic {
        let link = self.links.get(&(from.clone(), to.clone()));
        link.map(|link| link.traffic()).unwrap_or_default()
    }

    /// Breaks all connections and waits for their tasks.
    pub async fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    pub(crate) fn byte_counter(&self, addr: SocketAddr) -> Arc<AtomicU64> {
        Arc::clone(self.byte_counters.write().entry(addr).or_default())
    }

    pub(crate) fn location_of(&self, addr: SocketAddr) -> Option<Location> {
        self.locations.read().get(&addr).cloned()
    }

    pub(crate) fn path(
        &self,
        from: &Location,
        to: &Location,
        byte_count: Arc<AtomicU64>,
    ) -> OneWayPath {
        let ends = (from.region.clone(), to.region.clone());
        let region_delay = self.delays.get(&ends).copied().unwrap_or_default();
        let local_round_trip = match (&from.zone, &to.zone) {
            (Some(a), Some(b)) if a == b || from.region != to.region => Millis::ZERO,
            (Some(_), Some(_)) => self.options.zone_round_trip,
            _ => self.options.client_round_trip,
        };
        let link = self.links.get(&ends).cloned();
        OneWayPath { delay: region_delay + local_round_trip.duration() / 2, link, byte_count }
    }
}
