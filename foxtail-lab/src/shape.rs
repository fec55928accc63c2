//! The users' workspaces at their real shape: regions, services, demand and limits.

use std::net::SocketAddr;
use std::sync::Arc;

use foxtail_config::spec::{
    Link, Network, OnceRule, Region, Service, Snapshot, Upstream, Workspace,
};
use foxtail_types::prelude::*;

/// Zones of a region.
pub const ZONES_PER_REGION: usize = 2;
/// Upstreams of a service.
pub const UPSTREAMS_PER_SERVICE: usize = 12;
/// Slots of an upstream.
pub const SLOTS_PER_UPSTREAM: u32 = 3;
/// There and back between two zones of a region.
pub const ZONE_ROUND_TRIP: Millis = Millis(1);

/// One way between two regions.
pub const REGION_DELAY: Millis = Millis(35);
const OWNER_SHARDS: u16 = 6;

/// A user's workspace and the network it runs on.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The workspace's name.
    pub workspace: &'static str,
    /// The regions' names.
    pub regions: [&'static str; 3],
    /// Hosts of the system in each zone.
    pub hosts_per_zone: usize,
    /// There and back between a client and its region.
    pub client_round_trip: Millis,
    /// The rate of each direction between two regions.
    pub link_mbit_per_s: u32,
    /// What archive traffic always gets of it.
    pub archive_mbit_per_s: u32,
    /// The most requests a second that one region may send to other regions.
    pub shift_per_s: u32,
    /// The services.
    pub services: Vec<ServiceShape>,
}

/// A service of a workspace.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// Its name.
    pub name: &'static str,
    /// The mean time that a request runs.
    pub mean: Millis,
    /// The standard deviation of the logarithm of that time.
    pub sigma: f64,
    /// The class of its requests.
    pub class: Class,
    /// How long a caller waits.
    pub deadline: Millis,
    /// The size of an answer.
    pub answer_bytes: u64,
    /// The shares of the demand by region; they add up to one.
    pub demand: [f64; 3],
    /// Whether its `POST` requests may never be repeated.
    pub once: bool,
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

const EVEN: [f64; 3] = [1.0 / 3.0, 1.0 / 3.0, 1.0 / 3.0];
const INTERACTIVE_DEADLINE: Millis = Millis(1_000);
const ARCHIVE_DEADLINE: Millis = Millis(10_000);

/// Yayasan Tali Selamat Malaysia: certificates, bookings, timetables, assessments.
pub fn tali_selamat() -> Shape {
    Shape {
        workspace: "tali-selamat",
        regions: ["peninsula", "sabah", "sarawak"],
        hosts_per_zone: 3,
        client_round_trip: Millis(16),
        link_mbit_per_s: 4_000,
        archive_mbit_per_s: 200,
        shift_per_s: 600,
        services: vec![
            interactive("certificates", 20, 2_000, false),
            interactive("bookings", 40, 4_000, true),
            interactive("timetables", 25, 20_000, false),
            interactive("assessments", 60, 3_000, true),
        ],
    }
}

/// Fondo Nacional de Restauración Patrimonial: grant rules, treasury, archive, inspections.
pub fn fondo() -> Shape {
    Shape {
        workspace: "fondo",
        regions: ["pampeana", "cuyo", "noa"],
        hosts_per_zone: 3,
        client_round_trip: Millis(2),
        link_mbit_per_s: 300,
        archive_mbit_per_s: 30,
        shift_per_s: 600,
        services: vec![
            interactive("grant-rules", 20, 8_000, false),
            interactive("treasury", 50, 3_000, true),
            archive("archive", 80, 200_000, [0.5, 0.25, 0.25]),
            interactive("inspections", 40, 6_000, true),
        ],
    }
}

fn interactive(name: &'static str, mean_ms: u64, answer_bytes: u64, once: bool) -> ServiceShape {
    ServiceShape {
        name,
        mean: Millis(mean_ms),
        sigma: 0.5,
        class: Class::Interactive,
        deadline: INTERACTIVE_DEADLINE,
        answer_bytes,
        demand: EVEN,
        once,
    }
}

fn archive(name: &'static str, mean_ms: u64, answer_bytes: u64, demand: [f64; 3]) -> ServiceShape {
    ServiceShape {
        class: Class::Archive,
        deadline: ARCHIVE_DEADLINE,
        demand,
        ..interactive(name, mean_ms, answer_bytes, false)
    }
}

impl Shape {
    /// The region number `region`.
    pub fn region(&self, region: usize) -> RegionId {
        RegionId::new(self.regions[region]).expect("the regions' names are valid")
    }

    /// The zone number `zone` of the region number `region`.
    pub fn zone(&self, region: usize, zone: usize) -> ZoneId {
        let letter = char::from(b'a' + zone as u8);
        let text = format!("{}-{letter}", self.regions[region]);
        ZoneId::new(&text).expect("the zones' names are valid")
    }

    /// The hosts, zone by zone.
    pub fn hosts(&self) -> Vec<HostShape> {
        let mut hosts = Vec::new();
        for (region, zone) in self.zones() {
            for n in 1..=self.hosts_per_zone {
                let zone = self.zone(region, zone);
                let id = HostId::new(&format!("{zone}-{n}")).expect("the hosts' names are valid");
                hosts.push(HostShape { id, region: self.region(region), zone });
            }
        }
        hosts
    }

    /// The slots of a service in all regions.
    pub fn slots_per_service(&self) -> u32 {
        UPSTREAMS_PER_SERVICE as u32 * SLOTS_PER_UPSTREAM
    }

    /// Regions, zones and links.
    pub fn network(&self) -> Network {
        let regions = (0..self.regions.len()).map(|region| Region {
            id: self.region(region),
            zones: (0..ZONES_PER_REGION).map(|zone| self.zone(region, zone)).collect(),
        });
        Network { regions: regions.collect(), links: self.links(), owner_shards: OWNER_SHARDS }
    }

    /// The workspace, with each upstream at the address that `addr` gives for it.
    pub fn workspace(&self, addr: &dyn Fn(&UpstreamId) -> SocketAddr) -> Workspace {
        let mut services: Vec<Service> =
            self.services.iter().map(|service| self.service(service, addr)).collect();
        services.sort_by(|a, b| a.id.cmp(&b.id));
        Workspace {
            id: WorkspaceId::new(self.workspace).expect("the workspace's name is valid"),
            version: Version(1),
            services,
            shift_per_s: self.shift_per_s,
        }
    }

    /// The whole configuration.
    pub fn snapshot(&self, addr: &dyn Fn(&UpstreamId) -> SocketAddr) -> Snapshot {
        Snapshot {
            version: Version(1),
            network: Arc::new(self.network()),
            workspaces: vec![Arc::new(self.workspace(addr))],
            drains: Vec::new(),
        }
    }

    fn zones(&self) -> impl Iterator<Item = (usize, usize)> + use<> {
        (0..self.regions.len()).flat_map(|region| (0..ZONES_PER_REGION).map(move |z| (region, z)))
    }

    fn links(&self) -> Vec<Link> {
        let mut links = Vec::new();
        for from in 0..self.regions.len() {
            for to in (0..self.regions.len()).filter(|to| *to != from) {
                links.push(Link {
                    id: LinkId { from: self.region(from), to: self.region(to) },
                    mbit_per_s: self.link_mbit_per_s,
                    delay: REGION_DELAY,
                    archive_mbit_per_s: self.archive_mbit_per_s,
                });
            }
        }
        links
    }

    fn service(&self, service: &ServiceShape, addr: &dyn Fn(&UpstreamId) -> SocketAddr) -> Service {
        let once = OnceRule { method: "POST".to_owned(), path: "/".to_owned() };
        Service {
            id: ServiceId::new(service.name).expect("the services' names are valid"),
            upstreams: self.upstreams(service.name, addr),
            class: service.class,
            deadline: service.deadline,
            deadline_max: service.deadline * 10,
            body_max_bytes: 1 << 20,
            answer_bytes: service.answer_bytes,
            queue_max: 400,
            once: if service.once { vec![once] } else { Vec::new() },
        }
    }

    fn upstreams(&self, service: &str, addr: &dyn Fn(&UpstreamId) -> SocketAddr) -> Vec<Upstream> {
        let per_zone = UPSTREAMS_PER_SERVICE / (self.regions.len() * ZONES_PER_REGION);
        let mut upstreams = Vec::new();
        for (region, zone) in self.zones() {
            for n in 1..=per_zone {
                let zone = self.zone(region, zone);
                let text = format!("{service}-{zone}-{n}");
                let id = UpstreamId::new(&text).expect("the upstreams' names are valid");
                upstreams.push(Upstream {
                    addr: addr(&id),
                    id,
                    region: self.region(region),
                    zone,
                    slots: SLOTS_PER_UPSTREAM,
                });
            }
        }
        upstreams
    }
}
