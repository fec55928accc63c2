//! The regions, upstreams and evacuated zones of a site.

use std::collections::{BTreeMap, BTreeSet};

use foxtail_steer::Upstream;
use foxtail_types::prelude::*;

/// The state of a site that plans depend on. A site is all hosts and upstreams that share one
/// store.
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
    /// Returns whether a zone of the site lies in `region`.
    pub fn has_region(&self, region: &RegionId) -> bool {
        self.zones.values().any(|known| known == region)
    }

    /// Returns the regions of the site.
    pub fn regions(&self) -> BTreeSet<&RegionId> {
        self.zones.values().collect()
    }

    /// Returns the number of slots of `service` in `region` on upstreams that are not draining and
    /// whose zone is not evacuated.
    pub fn usable_slots(&self, service: &ServiceId, region: &RegionId) -> u32 {
        let accepts_requests = |up: &&Upstream| {
            up.service == *service
                && !up.draining
                && !self.evacuated.contains(&up.zone)
                && self.zones.get(&up.zone) == Some(region)
        };
        self.upstreams.iter().filter(accepts_requests).map(|up| up.slots).sum()
    }

    /// Returns a copy of the site in which `zone` is evacuated.
    #[must_use]
    pub fn with_zone_evacuated(&self, zone: &ZoneId) -> Self {
        let mut site = self.clone();
        site.evacuated.insert(zone.clone());
        site
    }
}
