//! Computes how many slots of a site stay free under the expected load.
//!
//! Each region first serves the load that enters there. Load that does not fit goes to the allowed
//! regions, those with the most free slots first.

use std::collections::{BTreeMap, BTreeSet};

use foxtail_steer::Config;
use foxtail_types::prelude::*;

use crate::Site;

/// The share of the slots that plans may use, in thousandths. Above it, queues grow too long.
pub const USABLE_SLOTS_PER_MILLE: u64 = 900;

/// The expected load of a service.
#[value]
pub struct Demand {
    /// The service.
    pub service: ServiceId,
    /// The time that a request holds a slot, in milliseconds.
    pub service_ms: u64,
    /// Requests per second, by the region where they enter.
    pub per_s: BTreeMap<RegionId, u64>,
}

/// The used and available slots of a site.
#[value]
#[derive(Default)]
pub struct Headroom {
    /// The slots of each service in each region.
    pub pools: Vec<PoolUsage>,
    /// The load that exceeds the usable slots.
    pub overloads: Vec<Overload>,
}

/// The slots of one service in one region.
#[value]
pub struct PoolUsage {
    /// The service.
    pub service: ServiceId,
    /// The region.
    pub region: RegionId,
    /// The slots of upstreams that accept new requests.
    pub slots: u32,
    /// The slots in use under the expected load, in thousandths of a slot.
    pub used_milli: u64,
}

/// Load of one service that exceeds the usable slots of all regions that may serve it.
#[value]
pub struct Overload {
    /// The service.
    pub service: ServiceId,
    /// The region where the load enters.
    pub region: RegionId,
    /// The missing slots, in thousandths of a slot.
    pub missing_milli: u64,
}

/// Computes the slots of `site` that `demand` uses with the routes of `cfg`.
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
    let mut overflow_milli: Vec<(RegionId, u64)> = Vec::new();
    for pool in &mut pools {
        // Requests per second times milliseconds per request are thousandths of a busy slot.
        let need_milli = demand.per_s.get(&pool.region).copied().unwrap_or(0) * demand.service_ms;
        let own_milli =
            if allowed.contains(&pool.region) { need_milli.min(pool.free_milli()) } else { 0 };
        pool.used_milli += own_milli;
        overflow_milli.push((pool.region.clone(), need_milli - own_milli));
    }
    for (region, mut missing_milli) in overflow_milli.into_iter().filter(|(_, milli)| *milli > 0) {
        let mut allowed_pools: Vec<&mut PoolUsage> =
            pools.iter_mut().filter(|pool| allowed.contains(&pool.region)).collect();
        allowed_pools.sort_by_key(|pool| std::cmp::Reverse(pool.free_milli()));
        for pool in allowed_pools {
            let moved_milli = missing_milli.min(pool.free_milli());
            pool.used_milli += moved_milli;
            missing_milli -= moved_milli;
        }
        if missing_milli > 0 {
            let service = demand.service.clone();
            out.overloads.push(Overload { service, region, missing_milli });
        }
    }
    out.pools.extend(pools);
}

/// Returns the regions that every route to `service` allows.
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
    /// Returns the unused part of the slots that plans may use, in thousandths of a slot.
    fn free_milli(&self) -> u64 {
        (u64::from(self.slots) * USABLE_SLOTS_PER_MILLE).saturating_sub(self.used_milli)
    }
}

/// Formats thousandths of a slot as slots with one decimal, cut off rather than rounded.
pub fn format_slots(milli: u64) -> String {
    format!("{}.{}", milli / 1_000, milli % 1_000 / 100)
}
