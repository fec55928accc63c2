//! What a site leaves free of its slots under the expected load.
//!
//! Each region serves its own load first; what does not fit goes to the regions with most room that
//! may serve it.

use std::collections::{BTreeMap, BTreeSet};

use foxtail_steer::Config;
use foxtail_types::prelude::*;

use crate::Site;

/// The part of the slots that plans count on, in thousandths; above it queues grow too long.
pub const USABLE_PER_MILLE: u64 = 900;

/// The expected load of a service.
#[value]
pub struct Demand {
    /// The service.
    pub service: ServiceId,
    /// How long a request holds a slot, in milliseconds.
    pub service_ms: u64,
    /// Requests a second, by the region where they enter.
    pub per_s: BTreeMap<RegionId, u64>,
}

/// What is used and what there is.
#[value]
#[derive(Default)]
pub struct Headroom {
    /// Slots, by service and region.
    pub pools: Vec<Room>,
    /// Load that finds no slots.
    pub overloads: Vec<Overload>,
}

/// The slots of a service in a region.
#[value]
pub struct Room {
    /// The service.
    pub service: ServiceId,
    /// The region.
    pub region: RegionId,
    /// Slots that take work.
    pub slots: u32,
    /// Slots in use under the expected load, in thousandths.
    pub used_milli: u64,
}

/// Load of a region that finds no slots.
#[value]
pub struct Overload {
    /// The service.
    pub service: ServiceId,
    /// The region where it enters.
    pub region: RegionId,
    /// The slots that are missing, in thousandths.
    pub missing_milli: u64,
}

/// Works out what `site` leaves free under `demand`, served as `cfg` says.
pub fn assess(cfg: &Config, demand: &[Demand], site: &Site) -> Headroom {
    let mut out = Headroom::default();
    for demand in demand {
        service(cfg, demand, site, &mut out);
    }
    out
}

fn service(cfg: &Config, demand: &Demand, site: &Site, out: &mut Headroom) {
    let allowed = homes(cfg, &demand.service, site);
    let room = |region: &RegionId| Room {
        service: demand.service.clone(),
        region: region.clone(),
        slots: site.slots(&demand.service, region),
        used_milli: 0,
    };
    let mut rooms: Vec<Room> = site.regions().into_iter().map(room).collect();
    let mut over: Vec<(RegionId, u64)> = Vec::new();
    for room in &mut rooms {
        let need = demand.per_s.get(&room.region).copied().unwrap_or(0) * demand.service_ms;
        let own = if allowed.contains(&room.region) { need.min(room.free_milli()) } else { 0 };
        room.used_milli += own;
        over.push((room.region.clone(), need - own));
    }
    for (region, mut missing_milli) in over.into_iter().filter(|(_, milli)| *milli > 0) {
        let mut others: Vec<&mut Room> =
            rooms.iter_mut().filter(|room| allowed.contains(&room.region)).collect();
        others.sort_by_key(|room| std::cmp::Reverse(room.free_milli()));
        for room in others {
            let moved = missing_milli.min(room.free_milli());
            room.used_milli += moved;
            missing_milli -= moved;
        }
        if missing_milli > 0 {
            let service = demand.service.clone();
            out.overloads.push(Overload { service, region, missing_milli });
        }
    }
    out.pools.extend(rooms);
}

/// The regions that may serve all requests of `service`.
fn homes(cfg: &Config, service: &ServiceId, site: &Site) -> BTreeSet<RegionId> {
    let mut regions: BTreeSet<RegionId> = site.regions().into_iter().cloned().collect();
    for route in cfg.routes().iter().filter(|route| !route.homes.is_empty()) {
        if route.parts.iter().any(|part| part.service == *service) {
            regions.retain(|region| route.homes.contains(region));
        }
    }
    regions
}

impl Room {
    fn free_milli(&self) -> u64 {
        (u64::from(self.slots) * USABLE_PER_MILLE).saturating_sub(self.used_milli)
    }
}

/// Thousandths of slots with one decimal.
pub fn slots_text(milli: u64) -> String {
    format!("{}.{}", milli / 1_000, milli % 1_000 / 100)
}
