//! The compiled configuration that every host holds: what templates and drains come down to.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use foxtail_types::prelude::*;
use ipnet::IpNet;

/// All configuration at one version.
#[value]
pub struct Snapshot {
    /// The global version: each accepted change of anything raises it by one.
    pub version: Version,
    /// Regions, zones and links.
    pub network: Arc<Network>,
    /// The workspaces, sorted by name.
    pub workspaces: Vec<Arc<Workspace>>,
    /// The drains in force.
    pub drains: Vec<Drain>,
}

/// Regions, zones and the links between regions.
#[value]
pub struct Network {
    /// The regions.
    pub regions: Vec<Region>,
    /// One entry for each direction between two regions.
    pub links: Vec<Link>,
    /// Into how many shards the limits of one region are split; each shard has one owner host.
    pub owner_shards: u16,
    /// Where clients are, by their addresses.
    pub blocks: Vec<ClientBlock>,
}

/// A block of client addresses, and where its clients are.
#[value]
#[serde(deny_unknown_fields)]
pub struct ClientBlock {
    /// The addresses. An inner block goes before one that encloses it.
    pub net: IpNet,
    /// The region whose hosts its clients are sent to.
    pub region: RegionId,
    /// The zone, if they are nearer to one than to the others.
    #[serde(default)]
    pub zone: Option<ZoneId>,
}

/// A region and its availability zones.
#[value]
pub struct Region {
    /// The region.
    pub id: RegionId,
    /// Its availability zones.
    pub zones: Vec<ZoneId>,
}

/// One direction of a link between two regions.
#[value]
pub struct Link {
    /// The direction.
    pub id: LinkId,
    /// Its capacity in Mbit/s, shared by all traffic.
    pub mbit_per_s: u32,
    /// Its one-way delay.
    pub delay: Millis,
    /// What archive traffic always gets of it, in Mbit/s.
    pub archive_mbit_per_s: u32,
}

/// A workspace as hosts use it.
#[value]
pub struct Workspace {
    /// The workspace.
    pub id: WorkspaceId,
    /// Its own version.
    pub version: Version,
    /// Its services, sorted by name.
    pub services: Vec<Service>,
    /// The most requests a second that one region may send to other regions.
    pub shift_per_s: u32,
}

/// A service of a workspace.
#[value]
pub struct Service {
    /// The service.
    pub id: ServiceId,
    /// Its servers.
    pub upstreams: Vec<Upstream>,
    /// The class of a request that names none.
    pub class: Class,
    /// The deadline of a request that names none.
    pub deadline: Millis,
    /// The longest deadline a request may name.
    pub deadline_max: Millis,
    /// The largest request body, in bytes.
    pub body_max_bytes: u64,
    /// The expected size of an answer, in bytes, until better is known.
    pub answer_bytes: u64,
    /// The most requests that wait for a slot in one region.
    pub queue_max: u32,
    /// What may never be repeated.
    pub once: Vec<OnceRule>,
}

/// Requests that may never be repeated: those of this method below this path.
#[value]
#[serde(deny_unknown_fields)]
pub struct OnceRule {
    /// The method, for example `POST`.
    pub method: String,
    /// The start of the path, for example `/records`.
    pub path: String,
}

/// One server of a service.
#[value]
pub struct Upstream {
    /// The server.
    pub id: UpstreamId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its zone.
    pub zone: ZoneId,
    /// How many requests it runs at a time.
    pub slots: u32,
}

/// A planned drain.
#[value]
pub struct Drain {
    /// What is drained.
    pub target: DrainTarget,
    /// When it was started, since the Unix epoch.
    pub started: Millis,
}

/// What can be drained.
#[value]
#[derive(Hash, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum DrainTarget {
    /// One server.
    Upstream(UpstreamId),
    /// All servers and hosts of a zone.
    Zone(ZoneId),
    /// All servers and hosts of a region.
    Region(RegionId),
    /// One host of the system.
    Host(HostId),
}

impl fmt::Display for DrainTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DrainTarget::Upstream(id) => write!(f, "upstream {id}"),
            DrainTarget::Zone(id) => write!(f, "zone {id}"),
            DrainTarget::Region(id) => write!(f, "region {id}"),
            DrainTarget::Host(id) => write!(f, "host {id}"),
        }
    }
}

impl Snapshot {
    /// The workspace named `id`.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Arc<Workspace>> {
        self.workspaces.iter().find(|workspace| workspace.id == *id)
    }

    /// Whether the operator drains `upstream`, its zone or its region.
    pub fn drains_upstream(&self, upstream: &Upstream) -> bool {
        self.drains.iter().any(|drain| match &drain.target {
            DrainTarget::Upstream(id) => *id == upstream.id,
            DrainTarget::Zone(id) => *id == upstream.zone,
            DrainTarget::Region(id) => *id == upstream.region,
            DrainTarget::Host(_) => false,
        })
    }

    /// Whether the operator drains the host `id` in `zone` of `region`.
    pub fn drains_host(&self, id: &HostId, zone: &ZoneId, region: &RegionId) -> bool {
        self.drains.iter().any(|drain| match &drain.target {
            DrainTarget::Host(host) => host == id,
            DrainTarget::Zone(drained) => drained == zone,
            DrainTarget::Region(drained) => drained == region,
            DrainTarget::Upstream(_) => false,
        })
    }
}

impl Network {
    /// The link from `from` to `to`.
    pub fn link(&self, from: &RegionId, to: &RegionId) -> Option<&Link> {
        self.links.iter().find(|link| link.id.from == *from && link.id.to == *to)
    }
}

impl Workspace {
    /// The service named `id`.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id == *id)
    }
}

impl Service {
    /// Whether the template says that a request of `method` for `path` may never be repeated.
    pub fn once(&self, method: &str, path: &str) -> bool {
        self.once.iter().any(|rule| rule.method == method && path.starts_with(&rule.path))
    }

    /// The servers in `region`.
    pub fn upstreams_in<'a>(&'a self, region: &'a RegionId) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.iter().filter(move |upstream| upstream.region == *region)
    }
}
