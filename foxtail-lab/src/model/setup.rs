//! The input of a simulation: the site and its load.

use std::f64::consts::TAU;

use foxtail_steer::Route;
use foxtail_types::prelude::*;

use crate::spec::{SLOTS_PER_UPSTREAM, SiteSpec};

/// The period of the waves of the request rate.
const WAVE_PERIOD: Millis = Millis::secs(36);

/// The number of upstreams of a service in each zone of the first, second and third region of today's
/// sites. Demand is spread evenly over the regions, slots are not.
const UPSTREAMS_PER_ZONE_BY_REGION: [usize; 3] = [1, 2, 3];

/// The site, load and seed of a simulation.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The site, of which the regions, zones, workspace and caller round-trip time are used.
    pub site: SiteSpec,
    /// The mean request rate as a share of the capacity of all slots with nothing cached.
    pub load: f64,
    /// The amplitude of the rate of each region as a share of its mean. The waves of the regions
    /// are a third of a period apart.
    pub swing: f64,
    /// The work on an object that is not cached, as a share of the route's latency objective.
    pub uncached_work: f64,
    /// The number of objects of each service that callers of a region request.
    pub objects_per_region: u64,
    /// The number of objects that an upstream caches.
    pub cached_objects: usize,
    /// The time during which requests arrive.
    pub duration: Millis,
    /// The number of upstreams of a service in each zone of the first, second and third region.
    pub upstreams_per_zone: [usize; 3],
    /// The number of entry hosts that callers use in each region.
    pub hosts_per_region: usize,
    /// The seed of arrival times, objects and work times.
    pub seed: u64,
}

/// The request rate of one route in one region.
#[derive(Clone, Debug)]
pub(super) struct RouteDemand {
    pub(super) region: RegionId,
    pub(super) route: Route,
    pub(super) requests_per_s: f64,
}

/// A simulated upstream and where it runs.
#[derive(Clone, Debug)]
pub(super) struct UpstreamSetup {
    pub(super) id: UpstreamId,
    pub(super) service: ServiceId,
    pub(super) zone: ZoneId,
    pub(super) region: RegionId,
}

impl Setup {
    /// Returns a steady `load` of `site` for one minute with the properties of the customers'
    /// platform: work on an object that is not cached takes a whole latency objective, and an
    /// upstream caches about as many objects as the callers of one region request.
    pub fn new(site: SiteSpec, load: f64, seed: u64) -> Self {
        Self {
            site,
            load,
            swing: 0.0,
            uncached_work: 1.0,
            objects_per_region: 24,
            cached_objects: 25,
            duration: Millis::secs(60),
            upstreams_per_zone: UPSTREAMS_PER_ZONE_BY_REGION,
            hosts_per_region: 2,
            seed,
        }
    }

    /// Returns the same mean load in waves with the amplitude `swing`.
    #[must_use]
    pub fn with_swing(mut self, swing: f64) -> Self {
        self.swing = swing;
        self
    }

    /// Returns the request rates: each service's share of the load, spread evenly over its routes
    /// and the regions.
    pub(super) fn demand(&self) -> Vec<RouteDemand> {
        let workspace = self.site.workspace_config();
        let upstreams = self.upstreams();
        let mut all = Vec::new();
        for service in &workspace.services {
            let of_service = |route: &&Route| route.parts[0].service == service.name;
            let routes: Vec<&Route> = workspace.routes.iter().filter(of_service).collect();
            let ups = upstreams.iter().filter(|up| up.service == service.name).count();
            let slots = (ups * SLOTS_PER_UPSTREAM as usize) as f64;
            for region in &self.site.regions {
                for route in &routes {
                    let work_s = route.objective.as_secs_f64() * self.uncached_work;
                    let share = 1.0 / (routes.len() * self.site.regions.len()) as f64;
                    let requests_per_s = slots / work_s * self.load * share;
                    all.push(RouteDemand {
                        region: region.clone(),
                        route: (*route).clone(),
                        requests_per_s,
                    });
                }
            }
        }
        all
    }

    pub(super) fn upstreams(&self) -> Vec<UpstreamSetup> {
        let mut all = Vec::new();
        for service in self.site.workspace_config().services {
            for (zone, region) in &self.site.zones {
                let region_index =
                    self.site.regions.iter().position(|known| known == region).unwrap_or(0);
                for n in 0..self.upstreams_per_zone[region_index % self.upstreams_per_zone.len()] {
                    let id = format!("{}-{zone}-{n}", service.name);
                    all.push(UpstreamSetup {
                        id: id.parse().expect("the names are valid"),
                        service: service.name.clone(),
                        zone: zone.clone(),
                        region: region.clone(),
                    });
                }
            }
        }
        all
    }

    /// Returns the request rate of a region at `now` as a multiple of its mean.
    pub(super) fn rate_factor(&self, region: &RegionId, now: Millis) -> f64 {
        let regions = &self.site.regions;
        let region_index = regions.iter().position(|known| known == region).unwrap_or(0);
        let phase = region_index as f64 / regions.len() as f64;
        1.0 + self.swing * (TAU * (now.as_secs_f64() / WAVE_PERIOD.as_secs_f64() + phase)).sin()
    }
}
