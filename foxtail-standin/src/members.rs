//! Membership of many hosts in one process, in virtual time: pulls are carried at once, or lost.

use std::collections::{BTreeMap, BTreeSet};

use foxtail_member::members::{Members, PULL_EVERY};
use foxtail_member::msg::{Identity, Phase, Status};
use foxtail_member::view::View;
use foxtail_platform::{HostEntry, HostState};
use foxtail_types::prelude::*;

/// Messages of one host, sent and answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Pulls sent.
    pub sent: u64,
    /// Pulls answered.
    pub answered: u64,
    /// Entries received.
    pub entries: u64,
    /// Encoded bytes of both directions.
    pub bytes: u64,
}

/// The hosts and what works between them.
pub struct Fleet {
    /// The time.
    pub now: Millis,
    /// The hosts.
    pub hosts: BTreeMap<HostId, Members>,
    /// The platform's list.
    pub list: Vec<HostEntry>,
    /// What each host says of itself; serving with version 1 unless set.
    pub statuses: BTreeMap<HostId, Status>,
    /// Hosts that neither send nor answer.
    pub down: BTreeSet<HostId>,
    /// Zones that nothing enters or leaves.
    pub cut: BTreeSet<ZoneId>,
    zones: BTreeMap<HostId, ZoneId>,
    /// What was carried for each host since the start or the last [`Fleet::reset`].
    pub traffic: BTreeMap<HostId, Traffic>,
}

impl Fleet {
    /// `regions` regions of two zones with `per_zone` hosts each, all serving.
    pub fn new(regions: usize, per_zone: usize) -> Self {
        let now = Millis(1_000);
        let mut fleet = Fleet {
            now,
            hosts: BTreeMap::new(),
            list: Vec::new(),
            down: BTreeSet::new(),
            cut: BTreeSet::new(),
            zones: BTreeMap::new(),
            traffic: BTreeMap::new(),
            statuses: BTreeMap::new(),
        };
        for zone in 0..regions * 2 {
            for host in 0..per_zone {
                fleet.add(&format!("h{zone}-{host}"), zone);
            }
        }
        fleet
    }

    /// Starts a host in the zone number `zone`.
    pub fn add(&mut self, name: &str, zone: usize) -> HostId {
        let identity = identity(name, zone, 1);
        let id = identity.id.clone();
        self.zones.insert(id.clone(), identity.zone.clone());
        self.list.push(listed(&identity, HostState::Live));
        self.hosts.insert(id.clone(), Members::new(identity, self.now));
        id
    }

    /// Forgets the traffic so far.
    pub fn reset(&mut self) {
        self.traffic.clear();
    }

    /// Entries received by all hosts.
    pub fn entries(&self) -> u64 {
        self.traffic.values().map(|traffic| traffic.entries).sum()
    }

    /// Runs one period: statuses, pulls and answers.
    pub fn period(&mut self) {
        self.now = self.now + PULL_EVERY;
        for id in &self.up() {
            let serving = Status { phase: Phase::Serving, version: Version(1), busy_permille: 0 };
            let status = self.statuses.get(id).copied().unwrap_or(serving);
            let members = self.hosts.get_mut(id).expect("a known host or a valid name");
            members.list(&self.list, self.now);
            members.set_status(status, self.now);
            for task in members.pulls(self.now) {
                self.carry(id, task);
            }
        }
    }

    /// Runs periods for `span`.
    pub fn run(&mut self, span: Millis) {
        for _ in 0..span.0.div_ceil(PULL_EVERY.0) {
            self.period();
        }
    }

    /// The fleet as `id` sees it.
    pub fn view(&self, id: &HostId) -> View {
        self.hosts[id].view(self.now)
    }

    /// The hosts that are up.
    pub fn up(&self) -> Vec<HostId> {
        self.hosts.keys().filter(|id| !self.down.contains(*id)).cloned().collect()
    }

    fn carry(&mut self, from: &HostId, task: foxtail_member::members::Task) {
        let reachable = self.reaches(from, &task.to);
        if !reachable {
            self.hosts
                .get_mut(from)
                .expect("a known host or a valid name")
                .pull_failed(&task.to, self.now);
            return;
        }
        let delta = self
            .hosts
            .get_mut(&task.to)
            .expect("a known host or a valid name")
            .answer(&task.pull, self.now);
        let bytes = encoded(&task.pull) + encoded(&delta);
        let asked = self.traffic.entry(from.clone()).or_default();
        asked.sent += 1;
        asked.entries += delta.entries.len() as u64;
        asked.bytes += bytes;
        let answered = self.traffic.entry(task.to.clone()).or_default();
        answered.answered += 1;
        answered.bytes += bytes;
        self.hosts.get_mut(from).expect("a known host or a valid name").merge(
            task.pull.scope,
            &delta,
            self.now,
        );
    }

    fn reaches(&self, from: &HostId, to: &HostId) -> bool {
        let (a, b) = (&self.zones[from], &self.zones[to]);
        let parted = a != b && (self.cut.contains(a) || self.cut.contains(b));
        !self.down.contains(to) && self.hosts.contains_key(to) && !parted
    }
}

fn encoded(message: &impl serde::Serialize) -> u64 {
    postcard::to_stdvec(message).map_or(0, |buf| buf.len() as u64)
}

/// A host in the zone number `zone`.
pub fn identity(name: &str, zone: usize, incarnation: u64) -> Identity {
    let addr = ([127, 0, 0, 1], 1).into();
    Identity {
        id: name.parse().expect("a known host or a valid name"),
        incarnation,
        region: format!("r{}", zone / 2).parse().expect("a known host or a valid name"),
        zone: format!("r{}-z{}", zone / 2, zone % 2).parse().expect("a known host or a valid name"),
        caller: addr,
        peer: addr,
        operator: addr,
    }
}

/// The platform's word on a host.
pub fn listed(identity: &Identity, state: HostState) -> HostEntry {
    let Identity { id, incarnation, region, zone, caller, peer, operator } = identity.clone();
    HostEntry { id, incarnation, region, zone, caller, peer, operator, state }
}
