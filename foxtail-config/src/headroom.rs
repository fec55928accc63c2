//! What a site leaves free of its slots under the expected load.
//!
//! Each region serves its own load first; what does not fit goes to the regions with most room that
//! may serve it.

use std::collections::{BTreeMap, BTreeSet};

use foxtail_steer::Config;
use foxtail_types::prelude::*;

use crate::Site;

/// The part of the slots that plans count on, in thousandths; above it queues grow too long.
pub const USABLE_SLOTS_PER_MILLE: u64 = 900;

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
    pub pools: Vec<PoolUsage>,
    /// Load that finds no slots.
    pub overloads: Vec<Overload>,
}

/// The slots of a service in a region.
#[value]
pub struct PoolUsage {
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
        assess_service(cfg, demand, site, &mut out);
    }
    out
}

fn assess_service(cfg: &Config, demand: &Demand, site: &Site, out: &mut Headroom) {
    let allowed = allowed_regions(cfg, &demand.service, site);
    let pool = |region: &RegionId| PoolUsage {
        service: demand.service.clone(),
        region: region.clone(),
        slots: site.usable_slots(&demand.service, region),
        used_milli: 0,
    };
    let mut pools: Vec<PoolUsage> = site.regions().into_iter().map(pool).collect();
    let mut overflow: Vec<(RegionId, u64)> = Vec::new();
    for pool in &mut pools {
        let need = demand.per_s.get(&pool.region).copied().unwrap_or(0) * demand.service_ms;
        let own = if allowed.contains(&pool.region) { need.min(pool.free_milli()) } else { 0 };
        pool.used_milli += own;
        overflow.push((pool.region.clone(), need - own));
    }
    for (region, mut missing_milli) in overflow.into_iter().filter(|(_, milli)| *milli > 0) {
        let mut others: Vec<&mut PoolUsage> =
            pools.iter_mut().filter(|pool| allowed.contains(&pool.region)).collect();
        others.sort_by_key(|pool| std::cmp::Reverse(pool.free_milli()));
        for pool in others {
            let moved = missing_milli.min(pool.free_milli());
            pool.used_milli += moved;
            missing_milli -= moved;
        }
        if missing_milli > 0 {
            let service = demand.service.clone();
            out.overloads.push(Overload { service, region, missing_milli });
        }
    }
    out.pools.extend(pools);
}

/// The regions that may serve all requests of `service`.
fn allowed_regions(cfg: &Config, service: &ServiceId, site: &Site) -> BTreeSet<RegionId> {
    let mut regions: BTreeSet<RegionId> = site.regions().into_iter().cloned().collect();
    for route in cfg.routes().iter().filter(|route| !route.homes.is_empty()) {
        if route.parts.iter().any(|part| part.service == *service) {
            regions.retain(|region| route.homes.contains(region));
        }
    }
    regions
}

impl PoolUsage {
    fn free_milli(&self) -> u64 {
        (u64::from(self.slots) * USABLE_SLOTS_PER_MILLE).saturating_sub(self.used_milli)
    }
}

/// Thousandths of slots with one decimal.
pub fn format_slots(milli: u64) -> String {
    format!("{}.{}", milli / 1_000, milli % 1_000 / 100)
}
