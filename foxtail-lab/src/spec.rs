//! The two customers' workspaces with the regions, services and demand of their sites.

use std::collections::BTreeMap;

use foxtail_config::{Limit, Params, Template, WorkspaceConfig, compile};
use foxtail_standin::net::LinkSpec;
use foxtail_steer::Config;
use foxtail_types::prelude::*;

/// The suffixes of the names of a region's zones.
const ZONE_SUFFIXES: [&str; 2] = ["a", "b"];

/// The number of upstreams of a service in a zone.
const UPSTREAMS_PER_ZONE: usize = 2;

/// The number of requests that an upstream runs at a time.
pub const SLOTS_PER_UPSTREAM: u32 = 3;

/// The round-trip time between two zones of a region.
pub const ZONE_ROUND_TRIP: Millis = Millis(1);

/// The one-way delay between two regions.
const INTER_REGION_DELAY: Millis = Millis(35);

/// The number of objects of each service that callers of a region request.
pub const OBJECTS_PER_REGION: u64 = 24;

/// The number of objects that an upstream caches.
pub const CACHED_OBJECTS: usize = 25;

/// The work on a cached object as a share of the work on one that is not cached.
pub const WARM_WORK_SHARE: f64 = 0.3;

/// A customer's workspace and the site that serves it.
#[derive(Clone, Debug)]
pub struct SiteSpec {
    /// The template of the workspace.
    pub template: Template,
    /// The parameters of the workspace.
    pub params: Params,
    /// The regions of the site.
    pub regions: Vec<RegionId>,
    /// The region of each zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// The number of hosts in each zone.
    pub hosts_per_zone: usize,
    /// The round-trip time between a caller and its region.
    pub caller_round_trip: Millis,
    /// The rate of the links between regions, in Mbit/s.
    pub link_mbit_per_s: u32,
}

/// One upstream of a site.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// Its identifier.
    pub id: String,
    /// The service that it runs requests of.
    pub service: String,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The time that it works on an object that is not cached.
    pub work: Millis,
}

/// The request rate of one route in one region.
#[derive(Clone, Debug)]
pub struct RouteDemand {
    /// The region whose hosts receive the requests.
    pub region: RegionId,
    /// The route.
    pub route: foxtail_steer::Route,
    /// Requests per second.
    pub requests_per_s: f64,
}

/// Returns the site of Yayasan Tali Selamat Malaysia with the services certificates, bookings,
/// timetables and assessments.
pub fn tali_selamat() -> SiteSpec {
    SiteSpec::new(
        include_str!("../../templates/tali-selamat.template.json"),
        include_str!("../../templates/tali-selamat.params.json"),
        ["peninsula", "sabah", "sarawak"],
        (Millis(16), 4_000),
    )
}

/// Returns the site of Fondo Nacional de Restauración Patrimonial with the services grant rules,
/// treasury, archive and inspections.
pub fn fondo() -> SiteSpec {
    SiteSpec::new(
        include_str!("../../templates/fondo.template.json"),
        include_str!("../../templates/fondo.params.json"),
        ["pampeana", "cuyo", "noa"],
        (Millis(2), 300),
    )
}

impl SiteSpec {
    fn new(
        template: &str,
        params: &str,
        regions: [&str; 3],
        (caller_round_trip, link_mbit_per_s): (Millis, u32),
    ) -> Self {
        let name = |text: &str| text.parse().expect("the names are valid");
        let zone = |region: &str, zone: &str| {
            let id = format!("{region}-{zone}").parse().expect("the names are valid");
            (id, region.parse().expect("the names are valid"))
        };
        let zones =
            regions.iter().flat_map(|region| ZONE_SUFFIXES.map(|z| zone(region, z))).collect();
        Self {
            template: serde_json::from_str(template).expect("a template"),
            params: serde_json::from_str(params).expect("parameters"),
            regions: regions.into_iter().map(name).collect(),
            zones,
            hosts_per_zone: 3,
            caller_round_trip,
            link_mbit_per_s,
        }
    }

    /// Returns the links between all pairs of regions, one for each direction.
    pub fn links(&self) -> Vec<LinkSpec> {
        let pairs = self.regions.iter().flat_map(|a| self.regions.iter().map(move |b| (a, b)));
        let link = |(from, to): (&RegionId, &RegionId)| LinkSpec {
            from: from.clone(),
            to: to.clone(),
            delay: INTER_REGION_DELAY,
            mbit_per_s: self.link_mbit_per_s,
        };
        pairs.filter(|(a, b)| a != b).map(link).collect()
    }

    /// Returns the workspace's part of the configuration, compiled from template and parameters.
    pub fn workspace_config(&self) -> WorkspaceConfig {
        let zones = self.zones.clone();
        let site = foxtail_config::Site { zones, ..foxtail_config::Site::default() };
        compile(&self.template, &self.params, &site).expect("the shipped files are accepted")
    }

    /// Returns a configuration that holds this workspace only.
    pub fn config(&self) -> Config {
        self.workspace_config().apply_to(&Config::default(), &self.params.workspace, Version(1))
    }

    /// Returns the upstreams, ordered by service and zone.
    pub fn upstreams(&self) -> Vec<UpstreamSpec> {
        let mut upstreams = Vec::new();
        for (service, spec) in &self.template.services {
            let work = Millis(spec.limits[&Limit::ServiceMs].default);
            for zone in self.zones.keys() {
                for n in 1..=UPSTREAMS_PER_ZONE {
                    let id = format!("{service}-{zone}-{n}");
                    let (service, zone) = (service.clone(), zone.clone());
                    upstreams.push(UpstreamSpec { id, service, zone, work });
                }
            }
        }
        upstreams
    }

    /// Returns the request rate of each route in each region. The rates of a service add up to the
    /// share `load` of the capacity of its slots with nothing cached; they are spread over the
    /// regions as the parameters expect, and evenly over the routes of the service.
    pub fn demand(&self, load: f64) -> Vec<RouteDemand> {
        let workspace = self.workspace_config();
        let mut all = Vec::new();
        for service_demand in &workspace.demand {
            let routes: Vec<_> = workspace
                .routes
                .iter()
                .filter(|route| {
                    route.parts.iter().any(|part| part.service == service_demand.service)
                })
                .collect();
            let slots = self.zones.len() * UPSTREAMS_PER_ZONE * SLOTS_PER_UPSTREAM as usize;
            let capacity_per_s = slots as f64 * 1_000.0 / service_demand.service_ms as f64;
            let total_per_s: u64 = service_demand.per_s.values().sum();
            for (region, per_s) in &service_demand.per_s {
                let share = *per_s as f64 / total_per_s as f64 / routes.len() as f64;
                for route in &routes {
                    all.push(RouteDemand {
                        region: region.clone(),
                        route: (*route).clone(),
                        requests_per_s: capacity_per_s * load * share,
                    });
                }
            }
        }
        all
    }
}
