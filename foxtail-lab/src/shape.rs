//! The users' workspaces at their real shape: regions, services, demand and limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use foxtail_config::params::NetworkParams;
use foxtail_config::{Limit, Network, Params, Snapshot, Template, Workspace, compile};
use foxtail_types::prelude::*;

/// Regions of each user.
pub const REGIONS: usize = 3;
/// Zones of a region.
pub const ZONES_PER_REGION: usize = 2;
/// Upstreams of a service in a zone.
pub const UPSTREAMS_PER_ZONE: usize = 2;
/// Upstreams of a service.
pub const UPSTREAMS_PER_SERVICE: usize = REGIONS * ZONES_PER_REGION * UPSTREAMS_PER_ZONE;
/// Slots of an upstream.
pub const SLOTS_PER_UPSTREAM: u32 = 3;
/// There and back between two zones of a region.
pub const ZONE_ROUND_TRIP: Millis = Millis(1);
/// The standard deviation of the logarithm of service times.
pub const SERVICE_SIGMA: f64 = 0.5;

/// A user's workspace and the network it runs on.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The template of the workspace.
    pub template: Template,
    /// The parameters; the servers' addresses are filled in for each run.
    pub params: Params,
    /// The parameters of the network.
    pub network_params: NetworkParams,
    /// Regions, zones and links.
    pub network: Network,
    /// Hosts of the system in each zone.
    pub hosts_per_zone: usize,
    /// There and back between a client and its region.
    pub client_round_trip: Millis,
    /// The services, by name.
    pub services: Vec<ServiceShape>,
}

/// A service of a workspace.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// Its name.
    pub name: String,
    /// The mean time that a request runs.
    pub mean: Millis,
    /// The class of its requests.
    pub class: Class,
    /// How long a caller waits.
    pub deadline: Millis,
    /// The size of an answer.
    pub answer_bytes: u64,
    /// The most requests that wait for a slot in one region.
    pub queue_max: usize,
    /// The shares of the demand by region; they add up to one.
    pub demand: [f64; REGIONS],
    /// The path below which its `POST` requests may never be repeated, if there is one.
    pub once: Option<String>,
}

/// A host of the system.
#[derive(Clone, Debug)]
pub struct HostShape {
    /// Its name.
    pub id: HostId,
    /// Its region.
    pub region: RegionId,
    /// Its zone.
    pub zone: ZoneId,
}

/// The files of a workspace as its operators have them.
struct Files {
    template: &'static str,
    params: &'static str,
    network: &'static str,
}

/// Yayasan Tali Selamat Malaysia: certificates, bookings, timetables, assessments.
pub fn tali_selamat() -> Shape {
    let files = Files {
        template: include_str!("../../templates/tali-selamat.template.json"),
        params: include_str!("../../templates/tali-selamat.params.json"),
        network: include_str!("../../templates/tali-selamat.network.json"),
    };
    Shape::from_files(&files, Millis(16))
}

/// Fondo Nacional de Restauración Patrimonial: grant rules, treasury, archive, inspections.
pub fn fondo() -> Shape {
    let files = Files {
        template: include_str!("../../templates/fondo.template.json"),
        params: include_str!("../../templates/fondo.params.json"),
        network: include_str!("../../templates/fondo.network.json"),
    };
    Shape::from_files(&files, Millis(2))
}

impl Shape {
    fn from_files(files: &Files, client_round_trip: Millis) -> Self {
        let template: Template = parse(files.template);
        let params: Params = parse(files.params);
        let network_params: NetworkParams = parse(files.network);
        let network = compile::network(&network_params).expect("the network is accepted");
        assert_eq!(network.regions.len(), REGIONS, "each user has as many regions");
        let shape = |name: &String| service(&template, &params, &network, name);
        let services = params.services.keys().map(shape).collect();
        Self {
            template,
            params,
            network_params,
            network,
            hosts_per_zone: 3,
            client_round_trip,
            services,
        }
    }

    /// Makes all regions send as much as each other.
    #[must_use]
    pub fn with_even_demand(mut self) -> Self {
        for service in &mut self.services {
            service.demand = [1.0 / REGIONS as f64; REGIONS];
        }
        self
    }

    /// Sets the shift cap.
    #[must_use]
    pub fn with_shift_per_s(mut self, shift_per_s: u64) -> Self {
        self.params.shift_per_s = Some(shift_per_s);
        self
    }

    /// The workspace's name.
    pub fn workspace_id(&self) -> &WorkspaceId {
        &self.params.workspace
    }

    /// The region number `region`.
    pub fn region(&self, region: usize) -> &RegionId {
        &self.network.regions[region].id
    }

    /// The zone number `zone` of the region number `region`.
    pub fn zone(&self, region: usize, zone: usize) -> &ZoneId {
        &self.network.regions[region].zones[zone]
    }

    /// The numbers of all zones, as region and zone within it.
    pub fn zones() -> impl Iterator<Item = (usize, usize)> {
        (0..REGIONS).flat_map(|region| (0..ZONES_PER_REGION).map(move |zone| (region, zone)))
    }

    /// The hosts, zone by zone.
    pub fn hosts(&self) -> Vec<HostShape> {
        let mut hosts = Vec::new();
        for (region, zone) in Self::zones() {
            for n in 1..=self.hosts_per_zone {
                let zone = self.zone(region, zone).clone();
                let id = HostId::new(&format!("{zone}-{n}")).expect("the hosts' names are valid");
                hosts.push(HostShape { id, region: self.region(region).clone(), zone });
            }
        }
        hosts
    }

    /// The slots of a service in all regions.
    pub fn slots_per_service(&self) -> u32 {
        UPSTREAMS_PER_SERVICE as u32 * SLOTS_PER_UPSTREAM
    }

    /// The parameters with the servers at these addresses: by service, then zone by zone.
    pub fn params_with(&self, addrs: &[Vec<SocketAddr>]) -> Params {
        let mut params = self.params.clone();
        for (service, addrs) in params.services.values_mut().zip(addrs) {
            let zones = Self::zones().map(|(region, zone)| self.zone(region, zone).to_string());
            let servers = addrs.chunks(UPSTREAMS_PER_ZONE).map(<[SocketAddr]>::to_vec);
            service.servers = zones.zip(servers).collect::<BTreeMap<_, _>>();
        }
        params
    }

    /// The workspace as hosts use it.
    pub fn workspace(&self, addrs: &[Vec<SocketAddr>]) -> Workspace {
        let params = self.params_with(addrs);
        let compiled = compile::workspace(&self.template, &params, &self.network);
        Workspace { version: Version(1), ..compiled.expect("the workspace is accepted") }
    }

    /// The whole configuration.
    pub fn snapshot(&self, addrs: &[Vec<SocketAddr>]) -> Snapshot {
        Snapshot {
            version: Version(1),
            network: Arc::new(self.network.clone()),
            workspaces: vec![Arc::new(self.workspace(addrs))],
            drains: Vec::new(),
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).expect("the file has the right shape")
}

fn service(template: &Template, params: &Params, network: &Network, name: &str) -> ServiceShape {
    let spec = &template.services[name];
    let given = &params.services[name];
    let limit =
        |limit: Limit| given.limits.get(&limit).copied().unwrap_or(spec.limits[&limit].default);
    let expected: Vec<u64> =
        network.regions.iter().map(|region| given.expected_per_s[region.id.as_str()]).collect();
    let total: u64 = expected.iter().sum();
    ServiceShape {
        name: name.to_owned(),
        mean: Millis(limit(Limit::ServiceMs)),
        class: spec.class,
        deadline: Millis(limit(Limit::DeadlineMs)),
        answer_bytes: limit(Limit::AnswerBytes),
        queue_max: limit(Limit::QueueMax) as usize,
        demand: std::array::from_fn(|region| expected[region] as f64 / total as f64),
        once: spec.never_repeat.first().map(|rule| rule.path.clone()),
    }
}
