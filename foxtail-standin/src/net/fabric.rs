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
use super::dial::PlaceDial;
use super::link::Link;

/// Where a process runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its region.
    pub region: RegionId,
    /// Its zone, or `None` for a client outside of the zones, near the region.
    pub zone: Option<ZoneId>,
}

/// One direction between two regions.
#[derive(Clone, Debug)]
pub struct Route {
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
pub struct Fabric {
    options: Options,
    links: HashMap<(RegionId, RegionId), Arc<Link>>,
    delays: HashMap<(RegionId, RegionId), Duration>,
    places: RwLock<HashMap<SocketAddr, Place>>,
    counted: RwLock<HashMap<SocketAddr, Arc<AtomicU64>>>,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
}

/// One direction between two places.
#[derive(Clone)]
pub(crate) struct Way {
    pub(crate) delay: Duration,
    pub(crate) link: Option<Arc<Link>>,
    pub(crate) bytes: Arc<AtomicU64>,
}

impl Place {
    /// A process in a zone.
    pub fn zone(region: &RegionId, zone: &ZoneId) -> Self {
        Self { region: region.clone(), zone: Some(zone.clone()) }
    }

    /// A client near a region.
    pub fn client(region: &RegionId) -> Self {
        Self { region: region.clone(), zone: None }
    }
}

impl Fabric {
    /// A network with `routes` between regions.
    pub fn new(routes: &[Route], options: Options) -> Arc<Self> {
        let mut links = HashMap::new();
        let mut delays = HashMap::new();
        for route in routes {
            let ends = (route.from.clone(), route.to.clone());
            links.insert(ends.clone(), Arc::new(Link::new(route.mbit_per_s)));
            delays.insert(ends, route.delay.duration());
        }
        Arc::new(Self {
            options,
            links,
            delays,
            places: RwLock::default(),
            counted: RwLock::default(),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        })
    }

    /// States where the server at `addr` runs. A server that was never registered counts as being
    /// where its client is.
    pub fn register(&self, addr: SocketAddr, place: Place) {
        self.places.write().insert(addr, place);
    }

    /// The bytes sent so far in both directions on connections to `addr`.
    pub fn bytes_to(&self, addr: SocketAddr) -> u64 {
        self.counted.read().get(&addr).map_or(0, |bytes| bytes.load(Ordering::Relaxed))
    }

    /// Connections from `place`.
    pub fn dial_from(self: &Arc<Self>, place: Place) -> Arc<dyn Dial> {
        Arc::new(PlaceDial::new(Arc::clone(self), place))
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

    pub(crate) fn counter(&self, addr: SocketAddr) -> Arc<AtomicU64> {
        Arc::clone(self.counted.write().entry(addr).or_default())
    }

    pub(crate) fn place_of(&self, addr: SocketAddr) -> Option<Place> {
        self.places.read().get(&addr).cloned()
    }

    pub(crate) fn way(&self, from: &Place, to: &Place, bytes: Arc<AtomicU64>) -> Way {
        let ends = (from.region.clone(), to.region.clone());
        let between_regions = self.delays.get(&ends).copied().unwrap_or_default();
        let near = match (&from.zone, &to.zone) {
            (Some(a), Some(b)) if a == b || from.region != to.region => Millis::ZERO,
            (Some(_), Some(_)) => self.options.zone_round_trip,
            _ => self.options.client_round_trip,
        };
        let link = self.links.get(&ends).cloned();
        Way { delay: between_regions + near.duration() / 2, link, bytes }
    }
}
