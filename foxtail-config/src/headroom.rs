//! What a configuration leaves free of slots, links and shift caps under the expected load.
//!
//! Each region serves its own load first. What does not fit goes to the nearest region with room,
//! and its answers use the link back.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;

use crate::{Drain, DrainTarget, Network, Service, Upstream, Workspace};

/// The part of the slots that plans count on, in thousandths; above it queues grow too long.
pub const USABLE_PER_MILLE: u64 = 900;

/// All that a plan looks at.
#[derive(Clone, Debug)]
pub struct Site<'a> {
    /// Regions and links.
    pub network: &'a Network,
    /// The workspaces with their expected load.
    pub loads: Vec<Load<'a>>,
    /// The drains.
    pub drains: &'a [Drain],
}

/// A workspace with its expected load.
#[derive(Clone, Copy, Debug)]
pub struct Load<'a> {
    /// The workspace.
    pub workspace: &'a Workspace,
    /// Its expected load.
    pub demand: &'a [Demand],
}

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
    /// Slots, by pool.
    pub pools: Vec<PoolRoom>,
    /// Links, by direction.
    pub links: Vec<LinkRoom>,
    /// What does not fit.
    pub overloads: Vec<Overload>,
}

/// The slots of a pool.
#[value]
pub struct PoolRoom {
    /// The pool.
    pub pool: PoolId,
    /// Slots that are not drained.
    pub slots: u32,
    /// Slots in use under the expected load, in thousandths.
    pub used_milli: u64,
}

/// The capacity of a link direction.
#[value]
pub struct LinkRoom {
    /// The direction.
    pub link: LinkId,
    /// Its capacity.
    pub mbit_per_s: u32,
    /// What the expected load uses, in kbit/s.
    pub used_kbit_per_s: u64,
}

/// A limit that the expected load, or a cap, exceeds.
#[value]
pub struct Overload {
    /// What is overloaded.
    pub what: String,
    /// By how much, in the unit of `reason`; to compare two configurations.
    pub excess: u64,
    /// The whole matter in words.
    pub reason: String,
    /// What would be accepted in place of it, where one number decides.
    pub accepted: Option<String>,
}

/// Works out the headroom of `site`.
pub fn assess(site: &Site<'_>) -> Headroom {
    let mut work = Assessment { site, used_kbit: BTreeMap::new(), out: Headroom::default() };
    for load in &site.loads {
        work.workspace(load);
    }
    work.finish()
}

struct Assessment<'a> {
    site: &'a Site<'a>,
    used_kbit: BTreeMap<LinkId, u64>,
    out: Headroom,
}

impl Assessment<'_> {
    fn workspace(&mut self, load: &Load<'_>) {
        let mut shifted = BTreeMap::new();
        for service in &load.workspace.services {
            self.service(load, service, &mut shifted);
        }
        let cap = u64::from(load.workspace.shift_per_s);
        for (region, per_s) in shifted.into_iter().filter(|(_, per_s)| *per_s > cap) {
            let id = &load.workspace.id;
            self.overload(
                format!("{id} shift from {region}"),
                per_s - cap,
                format!(
                    "{id} needs {per_s} requests/s shifted out of {region}, above shift_per_s {cap}"
                ),
                Some(format!("shift_per_s of {id} {per_s} or more")),
            );
        }
        self.shift_cap(load.workspace);
    }

    fn service(
        &mut self,
        load: &Load<'_>,
        service: &Service,
        shifted: &mut BTreeMap<RegionId, u64>,
    ) {
        let mut rooms = self.rooms(load.workspace, service);
        let total: u32 = rooms.iter().map(|room| room.slots).sum();
        if total == 0 {
            let what = format!("{}/{}", load.workspace.id, service.id);
            let reason = format!("{what} would have no server left that takes work");
            self.overload(what, 1, reason, None);
        }
        let demand = load.demand.iter().find(|demand| demand.service == service.id);
        if let Some(demand) = demand.filter(|demand| demand.service_ms > 0) {
            for (region, over_milli) in serve_locally(&mut rooms, demand) {
                let moved = self.spill(&mut rooms, service, demand, &region, over_milli);
                *shifted.entry(region).or_default() += moved;
            }
        }
        self.out.pools.extend(rooms);
    }

    fn rooms(&self, workspace: &Workspace, service: &Service) -> Vec<PoolRoom> {
        let room = |region: &RegionId| PoolRoom {
            pool: PoolId {
                workspace: workspace.id.clone(),
                service: service.id.clone(),
                region: region.clone(),
            },
            slots: service
                .upstreams_in(region)
                .filter(|upstream| !drained(self.site.drains, upstream))
                .map(|upstream| upstream.slots)
                .sum(),
            used_milli: 0,
        };
        self.site.network.regions.iter().map(|region| room(&region.id)).collect()
    }

    /// Places `over_milli` in other regions, nearest first; the requests a second that moved.
    fn spill(
        &mut self,
        rooms: &mut [PoolRoom],
        service: &Service,
        demand: &Demand,
        from: &RegionId,
        mut over_milli: u64,
    ) -> u64 {
        let need = over_milli;
        for to in nearest(self.site.network, from) {
            let room = rooms.iter_mut().find(|room| room.pool.region == to);
            let room = room.expect("every region has a room");
            let moved = over_milli.min(room.free_milli());
            room.used_milli += moved;
            over_milli -= moved;
            let kbit = moved * service.answer_bytes * 8 / demand.service_ms / 1_000;
            let answers = LinkId { from: to, to: from.clone() };
            *self.used_kbit.entry(answers).or_default() += kbit;
        }
        if over_milli > 0 {
            let what = format!("{}/{} in {from}", rooms[0].pool.workspace, service.id);
            let reason = format!(
                "{what}: {} slots of the expected load find no room in any region",
                slots_text(over_milli)
            );
            self.overload(what, over_milli, reason, None);
        }
        (need - over_milli).div_ceil(demand.service_ms)
    }

    /// The cap itself must not allow a shift that fills a link.
    fn shift_cap(&mut self, workspace: &Workspace) {
        let largest = workspace.services.iter().map(|service| service.answer_bytes).max();
        let largest = largest.unwrap_or(0);
        let kbit = u64::from(workspace.shift_per_s) * largest * 8 / 1_000;
        let links = self.site.network.links.iter().map(|link| link.mbit_per_s).min();
        let Some(narrowest) = links else { return };
        let room_kbit = u64::from(narrowest) * 1_000;
        if kbit > room_kbit {
            let id = &workspace.id;
            let reason = format!(
                "{id} may shift {} requests/s of up to {largest} bytes, {} Mbit/s on a link of \
                 {narrowest} Mbit/s",
                workspace.shift_per_s,
                kbit / 1_000
            );
            let accepted = format!("shift_per_s {} or less", room_kbit * 1_000 / (largest * 8));
            self.overload(format!("{id} shift cap"), kbit - room_kbit, reason, Some(accepted));
        }
    }

    fn overload(&mut self, what: String, excess: u64, reason: String, accepted: Option<String>) {
        self.out.overloads.push(Overload { what, excess, reason, accepted });
    }

    fn finish(mut self) -> Headroom {
        for link in &self.site.network.links {
            let used = self.used_kbit.get(&link.id).copied().unwrap_or(0);
            let room_kbit = u64::from(link.mbit_per_s - link.archive_mbit_per_s) * 1_000;
            if used > room_kbit {
                let reason = format!(
                    "link {} would carry {} Mbit/s, above {} (archive part aside)",
                    link.id,
                    used / 1_000,
                    room_kbit / 1_000
                );
                self.overload(format!("link {}", link.id), used - room_kbit, reason, None);
            }
            self.out.links.push(LinkRoom {
                link: link.id.clone(),
                mbit_per_s: link.mbit_per_s,
                used_kbit_per_s: used,
            });
        }
        self.out
    }
}

impl PoolRoom {
    fn free_milli(&self) -> u64 {
        (u64::from(self.slots) * USABLE_PER_MILLE).saturating_sub(self.used_milli)
    }
}

/// Thousandths of slots with one decimal.
pub fn slots_text(milli: u64) -> String {
    format!("{}.{}", milli / 1_000, milli % 1_000 / 100)
}

fn serve_locally(rooms: &mut [PoolRoom], demand: &Demand) -> Vec<(RegionId, u64)> {
    let mut over = Vec::new();
    for room in rooms {
        let per_s = demand.per_s.get(&room.pool.region).copied().unwrap_or(0);
        let need = per_s * demand.service_ms;
        let local = need.min(room.free_milli());
        room.used_milli += local;
        if need > local {
            over.push((room.pool.region.clone(), need - local));
        }
    }
    over
}

fn nearest(network: &Network, from: &RegionId) -> Vec<RegionId> {
    let mut links: Vec<_> = network.links.iter().filter(|link| link.id.from == *from).collect();
    links.sort_by(|a, b| (a.delay, &a.id.to).cmp(&(b.delay, &b.id.to)));
    links.into_iter().map(|link| link.id.to.clone()).collect()
}

fn drained(drains: &[Drain], upstream: &Upstream) -> bool {
    drains.iter().any(|drain| match &drain.target {
        DrainTarget::Upstream(id) => *id == upstream.id,
        DrainTarget::Zone(id) => *id == upstream.zone,
        DrainTarget::Region(id) => *id == upstream.region,
        DrainTarget::Host(_) => false,
    })
}
