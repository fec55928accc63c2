//! What is played.

use std::f64::consts::TAU;

use foxtail_steer::Route;
use foxtail_types::prelude::*;

use crate::spec::{SLOTS_PER_UPSTREAM, SiteSpec};

/// How long one wave of requests takes.
const WAVE_PERIOD: Millis = Millis::secs(36);

/// Upstreams of a service in each zone of the first, the second and the third region: callers are
/// spread evenly, slots are not.
const UPSTREAMS_PER_ZONE_BY_REGION: [usize; 3] = [1, 2, 3];

/// What is played.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The user.
    pub site: SiteSpec,
    /// The load, as a share of the capacity of all slots where nothing is cached.
    pub load: f64,
    /// How far the rate of each region swings around its mean, as a share; regions follow each
    /// other by a third of a wave.
    pub swing: f64,
    /// Work on an object that is not cached, as a share of the route's latency objective.
    pub uncached_work: f64,
    /// Objects that callers of a region ask for, of each service.
    pub objects_per_region: u64,
    /// Objects that an upstream keeps cached.
    pub cached_objects: usize,
    /// For how long requests come.
    pub duration: Millis,
    /// Entry hosts that callers use in each region.
    pub hosts_per_region: usize,
    /// The seed of times, objects and work.
    pub seed: u64,
}

/// Requests of one route that enter in one region.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    pub(super) region: RegionId,
    pub(super) route: Route,
    pub(super) requests_per_s: f64,
}

/// An upstream that is played.
#[derive(Clone, Debug)]
pub(super) struct UpstreamSetup {
    pub(super) id: UpstreamId,
    pub(super) service: ServiceId,
    pub(super) zone: ZoneId,
    pub(super) region: RegionId,
}

impl Setup {
    /// A steady `load` of `shape` for a minute, as the users' platform has it: work on what is not
    /// cached takes a whole objective, and an upstream caches about what one region asks for.
    pub fn new(site: SiteSpec, load: f64, seed: u64) -> Self {
        Self {
            site,
            load,
            swing: 0.0,
            uncached_work: 1.0,
            objects_per_region: 24,
            cached_objects: 25,
            duration: Millis::secs(60),
            hosts_per_region: 2,
            seed,
        }
    }

    /// The same load in waves.
    #[must_use]
    pub fn with_swing(mut self, swing: f64) -> Self {
        self.swing = swing;
        self
    }

    /// Each service is asked for its share of the load, by all its routes and regions alike.
    pub(super) fn demand(&self) -> Vec<Demand> {
        let part = self.site.config_part();
        let upstreams = self.upstreams();
        let mut all = Vec::new();
        for service in &part.services {
            let of_service = |route: &&Route| route.parts[0].service == service.name;
            let routes: Vec<&Route> = part.routes.iter().filter(of_service).collect();
            let ups = upstreams.iter().filter(|up| up.service == service.name).count();
            let slots = (ups * SLOTS_PER_UPSTREAM as usize) as f64;
            for region in &self.site.regions {
                for route in &routes {
                    let work_s = route.objective.as_secs_f64() * self.uncached_work;
                    let share = 1.0 / (routes.len() * self.site.regions.len()) as f64;
                    let requests_per_s = slots / work_s * self.load * share;
                    all.push(Demand {
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
        for service in self.site.config_part().services {
            for (zone, region) in &self.site.zones {
                let region_index =
                    self.site.regions.iter().position(|known| known == region).unwrap_or(0);
                for n in 0..UPSTREAMS_PER_ZONE_BY_REGION
                    [region_index % UPSTREAMS_PER_ZONE_BY_REGION.len()]
                {
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

    /// The rate of a region's requests at `now`, against its mean.
    pub(super) fn rate_factor(&self, region: &RegionId, now: Millis) -> f64 {
        let regions = &self.site.regions;
        let region_index = regions.iter().position(|known| known == region).unwrap_or(0);
        let phase = region_index as f64 / regions.len() as f64;
        1.0 + self.swing * (TAU * (now.as_secs_f64() / WAVE_PERIOD.as_secs_f64() + phase)).sin()
    }
}
