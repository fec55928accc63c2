//! Which limits a host may enforce while a new version spreads.
//!
//! A host that takes up a version lowers limits at once. It raises one, or takes up a server that
//! is new, only when every live host holds the version. It takes up a server that moved between
//! pools only when the old pool's tickets are gone as well. So old and new never add up to more
//! than the cap.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use foxtail_types::prelude::*;

use crate::{Snapshot, Workspace};

/// How far a version has got, over all live hosts.
#[id]
pub enum Reach {
    /// Some host may not hold it.
    Seen,
    /// Every live host holds it, or its lease has lapsed.
    Held,
    /// Moreover no ticket granted under an older version is in use.
    Settled,
}

/// Follows versions from acceptance to full effect on one host.
#[derive(Clone, Debug)]
pub struct Stager {
    target: Arc<Snapshot>,
    in_force: Arc<Snapshot>,
    reach: Reach,
    /// Where each server was granted since the last version that settled.
    places: Places,
}

#[derive(Clone, Debug)]
struct Place {
    workspace: WorkspaceId,
    service: ServiceId,
    region: RegionId,
    slots: u32,
    /// A later version has it in another pool, where hosts may grant it as soon as that version
    /// settles for them.
    moved: bool,
}

type Places = BTreeMap<SocketAddr, Place>;

impl Place {
    fn is_pool(&self, workspace: &WorkspaceId, service: &ServiceId, region: &RegionId) -> bool {
        self.workspace == *workspace && self.service == *service && self.region == *region
    }
}

impl Stager {
    /// Starts on `first` with no knowledge of older versions: nothing is granted of any limit
    /// until `first` is held everywhere.
    pub fn new(first: Arc<Snapshot>) -> Self {
        let none = Snapshot { workspaces: Vec::new(), ..(*first).clone() };
        let in_force = Arc::new(closed(&none, &first));
        Self { target: first, in_force, reach: Reach::Seen, places: Places::new() }
    }

    /// Starts on `first` where another host has got as far as `in_force`.
    pub fn resume(first: Arc<Snapshot>, in_force: Arc<Snapshot>) -> Self {
        let mut places = Places::new();
        note_places(&mut places, &in_force);
        places.values_mut().for_each(|place| place.moved = place.slots == 0);
        let in_force = Arc::new(limited(&places, &in_force, &first, Reach::Seen));
        Self { target: first, in_force, reach: Reach::Seen, places }
    }

    /// Takes up a newer version. A version that is not newer changes nothing.
    pub fn offer(&mut self, new: Arc<Snapshot>) {
        if new.version <= self.target.version {
            return;
        }
        note_places(&mut self.places, &self.in_force);
        note_moves(&mut self.places, &new);
        self.in_force = Arc::new(limited(&self.places, &self.in_force, &new, Reach::Seen));
        self.target = new;
        self.reach = Reach::Seen;
    }

    /// Takes in how far `version` has got.
    pub fn reached(&mut self, version: Version, reach: Reach) {
        if version < self.target.version || reach <= self.reach {
            return;
        }
        self.reach = reach;
        if reach == Reach::Settled {
            self.in_force = Arc::clone(&self.target);
            self.places.clear();
        } else {
            let limited = limited(&self.places, &self.in_force, &self.target, reach);
            self.in_force = Arc::new(limited);
        }
    }

    /// The newest version known.
    pub fn target(&self) -> &Arc<Snapshot> {
        &self.target
    }

    /// What to enforce now.
    pub fn in_force(&self) -> &Arc<Snapshot> {
        &self.in_force
    }

    /// How far the newest version has got.
    pub fn reach(&self) -> Reach {
        self.reach
    }
}

/// `new` with every limit that is not yet sure held back to what `old` enforces.
fn limited(places: &Places, old: &Snapshot, new: &Snapshot, reach: Reach) -> Snapshot {
    let mut out = new.clone();
    for workspace in &mut out.workspaces {
        let was = old.workspace(&workspace.id).cloned();
        limit_workspace(Arc::make_mut(workspace), was.as_deref(), places, reach);
    }
    if reach == Reach::Seen {
        limit_links(&mut out, old);
    }
    out
}

/// Adds the places of `snapshot`; of a server that is noted already, the first pool counts.
fn note_places(places: &mut Places, snapshot: &Snapshot) {
    for workspace in &snapshot.workspaces {
        for service in &workspace.services {
            for upstream in &service.upstreams {
                let place = Place {
                    workspace: workspace.id.clone(),
                    service: service.id.clone(),
                    region: upstream.region.clone(),
                    slots: upstream.slots,
                    moved: false,
                };
                let noted = places.entry(upstream.addr).or_insert(place);
                noted.slots = noted.slots.min(upstream.slots);
            }
        }
    }
}

fn note_moves(places: &mut Places, snapshot: &Snapshot) {
    for workspace in &snapshot.workspaces {
        for service in &workspace.services {
            for upstream in &service.upstreams {
                if let Some(place) = places.get_mut(&upstream.addr) {
                    place.moved |= !place.is_pool(&workspace.id, &service.id, &upstream.region);
                }
            }
        }
    }
}

fn limit_workspace(new: &mut Workspace, old: Option<&Workspace>, places: &Places, reach: Reach) {
    if let Some(old) = old.filter(|_| reach == Reach::Seen) {
        new.shift_per_s = new.shift_per_s.min(old.shift_per_s);
    }
    for service in &mut new.services {
        for upstream in &mut service.upstreams {
            let place = places.get(&upstream.addr);
            let stayed = |place: &Place| {
                !place.moved && place.is_pool(&new.id, &service.id, &upstream.region)
            };
            upstream.slots = match (place, reach) {
                (Some(place), _) if !stayed(place) => 0,
                (Some(place), Reach::Seen) => upstream.slots.min(place.slots),
                (None, Reach::Seen) => 0,
                (_, Reach::Held | Reach::Settled) => upstream.slots,
            };
        }
    }
}

fn limit_links(new: &mut Snapshot, old: &Snapshot) {
    let network = Arc::make_mut(&mut new.network);
    for link in &mut network.links {
        if let Some(was) = old.network.link(&link.id.from, &link.id.to) {
            link.mbit_per_s = link.mbit_per_s.min(was.mbit_per_s);
            link.archive_mbit_per_s = link.archive_mbit_per_s.min(was.archive_mbit_per_s);
        }
    }
}

/// `new` with nothing to grant.
fn closed(none: &Snapshot, new: &Snapshot) -> Snapshot {
    let mut out = Snapshot { workspaces: new.workspaces.clone(), ..none.clone() };
    for workspace in &mut out.workspaces {
        let workspace = Arc::make_mut(workspace);
        workspace.shift_per_s = 0;
        for service in &mut workspace.services {
            service.upstreams.iter_mut().for_each(|upstream| upstream.slots = 0);
        }
    }
    out
}
