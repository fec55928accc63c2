//! What a site has: regions, upstreams, and zones that are evacuated.

use std::collections::{BTreeMap, BTreeSet};

use foxtail_steer::Upstream;
use foxtail_types::prelude::*;

/// What a site has.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// The region of each zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// The registered upstreams.
    pub upstreams: Vec<Upstream>,
    /// The zones that are evacuated.
    pub evacuated: BTreeSet<ZoneId>,
}

impl Site {
    /// Whether there is such a region.
    pub fn has_region(&self, region: &RegionId) -> bool {
        self.zones.values().any(|known| known == region)
    }

    /// The regions, each once.
    pub fn regions(&self) -> BTreeSet<&RegionId> {
        self.zones.values().collect()
    }

    /// The slots of `service` in `region` that take work.
    pub fn usable_slots(&self, service: &ServiceId, region: &RegionId) -> u32 {
        let accepts_requests = |up: &&Upstream| {
            up.service == *service
                && !up.draining
                && !self.evacuated.contains(&up.zone)
                && self.zones.get(&up.zone) == Some(region)
        };
        self.upstreams.iter().filter(accepts_requests).map(|up| up.slots).sum()
    }

    /// The same site with `zone` evacuated.
    #[must_use]
    pub fn with_zone_evacuated(&self, zone: &ZoneId) -> Self {
        let mut site = self.clone();
        site.evacuated.insert(zone.clone());
        site
    }
}
