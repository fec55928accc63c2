//! Many hosts in one process, in virtual time: pulls are carried at once, or lost.

use std::collections::{BTreeMap, BTreeSet};

use foxtail_member::members::{Members, PULL_EVERY};
use foxtail_member::msg::{Identity, Phase, Status};
use foxtail_member::view::View;
use foxtail_platform::{HostEntry, HostState};
use foxtail_types::prelude::*;

/// The hosts and what works between them.
pub(crate) struct Fleet {
    pub(crate) now: Millis,
    pub(crate) hosts: BTreeMap<HostId, Members>,
    pub(crate) list: Vec<HostEntry>,
    /// Hosts that neither send nor answer.
    pub(crate) down: BTreeSet<HostId>,
    /// Zones that nothing enters or leaves.
    pub(crate) cut: BTreeSet<ZoneId>,
    zones: BTreeMap<HostId, ZoneId>,
    /// Entries carried, for measuring.
    pub(crate) entries: usize,
    /// Pulls carried.
    pub(crate) pulls: usize,
}

impl Fleet {
    /// `regions` regions of two zones with `per_zone` hosts each, all serving.
    pub(crate) fn new(regions: usize, per_zone: usize) -> Self {
        let now = Millis(1_000);
        let mut fleet = Fleet {
            now,
            hosts: BTreeMap::new(),
            list: Vec::new(),
            down: BTreeSet::new(),
            cut: BTreeSet::new(),
            zones: BTreeMap::new(),
            entries: 0,
            pulls: 0,
        };
        for zone in 0..regions * 2 {
            for host in 0..per_zone {
                fleet.add(&format!("h{zone}-{host}"), zone);
            }
        }
        fleet
    }

    /// Starts a host in the zone number `zone`.
    pub(crate) fn add(&mut self, name: &str, zone: usize) -> HostId {
        let identity = identity(name, zone, 1);
        let id = identity.id.clone();
        self.zones.insert(id.clone(), identity.zone.clone());
        self.list.push(listed(&identity, HostState::Live));
        self.hosts.insert(id.clone(), Members::new(identity, self.now));
        id
    }

    /// Runs one period: statuses, pulls and answers.
    pub(crate) fn period(&mut self) {
        self.now = self.now + PULL_EVERY;
        for id in &self.up() {
            let status = Status { phase: Phase::Serving, version: Version(1), busy_permille: 0 };
            let members = self.hosts.get_mut(id).unwrap();
            members.list(&self.list, self.now);
            members.set_status(status, self.now);
            for task in members.pulls(self.now) {
                self.carry(id, task);
            }
        }
    }

    /// Runs periods for `span`.
    pub(crate) fn run(&mut self, span: Millis) {
        for _ in 0..span.0.div_ceil(PULL_EVERY.0) {
            self.period();
        }
    }

    /// The fleet as `id` sees it.
    pub(crate) fn view(&self, id: &HostId) -> View {
        self.hosts[id].view(self.now)
    }

    /// The hosts that are up.
    pub(crate) fn up(&self) -> Vec<HostId> {
        self.hosts.keys().filter(|id| !self.down.contains(*id)).cloned().collect()
    }

    fn carry(&mut self, from: &HostId, task: foxtail_member::members::Task) {
        let reachable = self.reaches(from, &task.to);
        if !reachable {
            self.hosts.get_mut(from).unwrap().pull_failed(&task.to, self.now);
            return;
        }
        let delta = self.hosts.get_mut(&task.to).unwrap().answer(&task.pull, self.now);
        self.pulls += 1;
        self.entries += delta.entries.len();
        self.hosts.get_mut(from).unwrap().merge(task.pull.scope, &delta, self.now);
    }

    fn reaches(&self, from: &HostId, to: &HostId) -> bool {
        let (a, b) = (&self.zones[from], &self.zones[to]);
        let parted = a != b && (self.cut.contains(a) || self.cut.contains(b));
        !self.down.contains(to) && self.hosts.contains_key(to) && !parted
    }
}

/// A host in the zone number `zone`.
pub(crate) fn identity(name: &str, zone: usize, incarnation: u64) -> Identity {
    let addr = ([127, 0, 0, 1], 1).into();
    Identity {
        id: name.parse().unwrap(),
        incarnation,
        region: format!("r{}", zone / 2).parse().unwrap(),
        zone: format!("r{}-z{}", zone / 2, zone % 2).parse().unwrap(),
        caller: addr,
        peer: addr,
        operator: addr,
    }
}

/// The platform's word on a host.
pub(crate) fn listed(identity: &Identity, state: HostState) -> HostEntry {
    let Identity { id, incarnation, region, zone, caller, peer, operator } = identity.clone();
    HostEntry { id, incarnation, region, zone, caller, peer, operator, state }
}
