//! The state machine of membership at one host.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use foxtail_platform::{HostEntry, HostState};
use foxtail_types::prelude::*;

use crate::msg::{Cursor, Delta, Entry, Identity, Phase, Pull, Scope, Status};
use crate::record::Record;
use crate::relay;
use crate::view::{Member, View};

/// How often a host pulls.
pub const PULL_EVERY: Millis = Millis(500);
/// How long a relay waits for a host's word before it suspects it.
pub const SUSPECT_AFTER: Millis = Millis(3_000);
/// How long the hosts of a zone of the own region count as live after one of the zone's relays last
/// vouched for them.
pub const VOUCHED_FOR: Millis = Millis(5_000);
/// The same for zones of other regions, of which word comes more slowly.
pub const VOUCHED_FOR_ELSEWHERE: Millis = Millis(8_000);
/// How long a host that did not answer is not asked again.
pub const AVOID_FOR: Millis = Millis(3_000);
/// How long a suspect that is gone from the platform's list is remembered.
pub const FORGET_AFTER: Millis = Millis(60_000);
/// Other regions are asked once in so many periods.
const REGIONS_EVERY: u64 = 4;
/// A change of load smaller than this is not worth passing on, in thousandths.
const BUSY_STEP_PERMILLE: u16 = 50;

/// Membership at one host.
pub struct Members {
    me: HostId,
    records: BTreeMap<HostId, Record>,
    cursors: HashMap<(HostId, Scope), Cursor>,
    vouched: HashMap<ZoneId, Millis>,
    avoid: HashMap<HostId, Millis>,
    revision: u64,
    period: u64,
}

/// A pull to be sent.
#[derive(Clone, Debug)]
pub struct Task {
    /// The host to ask.
    pub to: HostId,
    /// Its address.
    pub peer: SocketAddr,
    /// What to ask.
    pub pull: Pull,
}

impl Members {
    /// The state of a host that has just started and knows only itself.
    pub fn new(me: Identity, now: Millis) -> Self {
        let status =
            Status { phase: Phase::Starting, version: Version::default(), busy_permille: 0 };
        let id = me.id.clone();
        let mut record =
            Record::new(Entry { identity: me, status, seq: 1, suspect: false }, 1, now);
        record.direct = Some(now);
        Self {
            me: id.clone(),
            records: BTreeMap::from([(id, record)]),
            cursors: HashMap::new(),
            vouched: HashMap::new(),
            avoid: HashMap::new(),
            revision: 1,
            period: 0,
        }
    }

    /// Sets this host's word on itself.
    pub fn set_status(&mut self, status: Status, now: Millis) {
        let mut entry = self.own().clone();
        let before = entry.status;
        entry.status = status;
        entry.seq += 1;
        let notable = before.phase != status.phase
            || before.version != status.version
            || before.busy_permille.abs_diff(status.busy_permille) >= BUSY_STEP_PERMILLE;
        if !notable {
            entry.status.busy_permille = before.busy_permille;
        }
        self.take(&entry, now);
    }

    /// Takes the platform's list. An empty list is taken for a fault and ignored.
    pub fn list(&mut self, hosts: &[HostEntry], now: Millis) {
        for host in hosts {
            self.list_one(host, now);
        }
    }

    /// The pulls of this period.
    pub fn pulls(&mut self, now: Millis) -> Vec<Task> {
        self.period += 1;
        self.expire(now);
        let targets = self.targets(now);
        targets.into_iter().filter_map(|(to, scope)| self.task(&to, scope)).collect()
    }

    /// A pull to a host known by address alone, for a start without the platform.
    pub fn seed_pull(&self) -> Pull {
        Pull { from: self.own().clone(), since: Cursor::default(), scope: Scope::World }
    }

    /// Answers another host's pull.
    pub fn answer(&mut self, pull: &Pull, now: Millis) -> Delta {
        self.hear(&pull.from, now);
        self.note_direct(&pull.from, now);
        let own = self.own().clone();
        let since = match pull.since.incarnation == own.identity.incarnation {
            true => pull.since.revision,
            false => 0,
        };
        let in_scope = |identity: &Identity| covers(pull.scope, &own.identity, identity);
        let entries = self
            .records
            .values()
            .filter(|record| record.revision > since && in_scope(&record.entry.identity))
            .filter(|record| record.entry.identity.id != pull.from.identity.id)
            .map(|record| record.entry.clone())
            .collect();
        let zones = self.zones_in(pull.scope, &own.identity, now);
        let cursor = Cursor { incarnation: own.identity.incarnation, revision: self.revision };
        Delta { from: own, cursor, entries, zones }
    }

    /// Takes the answer to a pull of `scope`.
    pub fn merge(&mut self, scope: Scope, delta: &Delta, now: Millis) {
        self.hear(&delta.from, now);
        let from = delta.from.identity.id.clone();
        self.avoid.remove(&from);
        self.records.entry(from.clone()).and_modify(|record| record.failing = None);
        for entry in &delta.entries {
            if entry.identity.id != self.me {
                self.take(entry, now);
            }
        }
        for (zone, age) in &delta.zones {
            let at = now.since(*age);
            let known = self.vouched.entry(zone.clone()).or_insert(at);
            *known = at.max(*known);
        }
        self.cursors.insert((from, scope), delta.cursor);
    }

    /// Notes that `host` did not answer.
    pub fn pull_failed(&mut self, host: &HostId, now: Millis) {
        self.avoid.insert(host.clone(), now + AVOID_FOR);
        if let Some(record) = self.records.get_mut(host) {
            record.failing.get_or_insert(now);
        }
    }

    /// The fleet as this host sees it now.
    pub fn view(&self, now: Millis) -> View {
        let hosts = self.records.values().map(|record| self.member(record, now)).collect();
        View { me: self.me.clone(), hosts }
    }

    fn own(&self) -> &Entry {
        &self.records[&self.me].entry
    }

    fn member(&self, record: &Record, now: Millis) -> Member {
        let Entry { identity, status, suspect, .. } = record.entry.clone();
        let suspect = suspect || (identity.id != self.me && !self.is_vouched(&identity, now));
        Member {
            leaving: record.listed_leaving || status.phase == Phase::Leaving,
            serving_since: record.serving_since,
            identity,
            status,
            suspect,
        }
    }

    fn is_vouched(&self, identity: &Identity, now: Millis) -> bool {
        let near = identity.region == self.own().identity.region;
        let span = if near { VOUCHED_FOR } else { VOUCHED_FOR_ELSEWHERE };
        self.vouched.get(&identity.zone).is_some_and(|at| now.since(*at) <= span)
    }

    fn list_one(&mut self, host: &HostEntry, now: Millis) {
        self.revision += 1;
        let fresh = Record::from_list(host, self.revision, now);
        let record = self.records.entry(host.id.clone()).or_insert_with(|| fresh.clone());
        if host.incarnation > record.entry.identity.incarnation && host.id != self.me {
            *record = fresh;
        }
        record.listed = now;
        let leaving = host.state == HostState::Leaving;
        if host.incarnation == record.entry.identity.incarnation && leaving {
            record.listed_leaving = true;
        }
    }

    /// Takes the word of a host on itself.
    fn hear(&mut self, entry: &Entry, now: Millis) {
        if entry.identity.id == self.me {
            return;
        }
        let entry = Entry { suspect: false, ..entry.clone() };
        self.take(&entry, now);
        if entry.identity.zone == self.own().identity.zone {
            self.vouched.insert(entry.identity.zone, now);
        }
    }

    /// Notes that a host of the own zone, which pulls from this one, is there.
    fn note_direct(&mut self, entry: &Entry, now: Millis) {
        if entry.identity.zone != self.own().identity.zone {
            return;
        }
        if let Some(record) = self.records.get_mut(&entry.identity.id) {
            record.direct = Some(now);
            record.failing = None;
        }
    }

    /// Takes a word on any host, from whomever. Only a change worth passing on raises the revision,
    /// and so does a suspicion that this host knows better than.
    fn take(&mut self, entry: &Entry, now: Millis) {
        let next = self.revision + 1;
        match self.records.get_mut(&entry.identity.id) {
            None => {
                self.records
                    .insert(entry.identity.id.clone(), Record::new(entry.clone(), next, now));
                self.revision = next;
            }
            Some(record) => {
                let before =
                    (record.entry.identity.incarnation, record.entry.status, record.entry.suspect);
                if !record.merge(entry, now) {
                    if entry.suspect && !record.entry.suspect {
                        record.revision = next;
                        self.revision = next;
                    }
                    return;
                }
                let after =
                    (record.entry.identity.incarnation, record.entry.status, record.entry.suspect);
                if before != after {
                    record.revision = next;
                    self.revision = next;
                }
            }
        }
    }

    /// As a relay, suspects hosts of the own zone that fell silent; forgets hosts long gone.
    ///
    /// Only relays suspect, because a wrong suspicion comes to the notice of the other relays, who
    /// know better and say so.
    fn expire(&mut self, now: Millis) {
        let me = self.me.clone();
        if self.relays(&self.own().identity.zone, now).contains(&me) {
            self.suspect_silent(now);
        }
        self.avoid.retain(|_, until| *until > now);
        self.records.retain(|id, record| {
            let gone = record.entry.suspect || record.entry.status.phase == Phase::Leaving;
            *id == me || !(gone && now.since(record.listed) > FORGET_AFTER)
        });
    }

    fn suspect_silent(&mut self, now: Millis) {
        let zone = self.own().identity.zone.clone();
        let near = self.records.values_mut().filter(|record| record.entry.identity.zone == zone);
        for record in near.filter(|record| record.entry.identity.id != self.me) {
            let long_ago = |at: Option<Millis>| at.is_some_and(|at| now.since(at) > SUSPECT_AFTER);
            let silent = long_ago(record.direct) || long_ago(record.failing);
            if silent && !record.entry.suspect {
                self.revision += 1;
                record.entry.suspect = true;
                record.revision = self.revision;
                (record.direct, record.failing) = (None, None);
            }
        }
    }

    /// Whom to pull from in this period.
    fn targets(&self, now: Millis) -> Vec<(HostId, Scope)> {
        let own = &self.own().identity;
        let relays = self.relays(&own.zone, now);
        let rank = relays.iter().position(|id| *id == self.me);
        let mut targets = Vec::new();
        match rank {
            None => {
                let turns = relay::turns(&self.me, relays.iter());
                let turn = self.period as usize % turns.len().max(1);
                targets.extend(turns.get(turn).map(|id| ((*id).clone(), Scope::World)));
            }
            Some(rank) => {
                let others = relays.iter().filter(|id| **id != self.me);
                targets.extend(others.map(|id| (id.clone(), Scope::World)));
                if rank < relay::GATEWAYS {
                    self.gateway_targets(now, &mut targets);
                }
            }
        }
        targets
    }

    /// One relay of each other zone of the region, and now and then one of each other region.
    fn gateway_targets(&self, now: Millis, targets: &mut Vec<(HostId, Scope)>) {
        let own = &self.own().identity;
        let mut regions: BTreeMap<&RegionId, Vec<&ZoneId>> = BTreeMap::new();
        for record in self.records.values() {
            let Identity { region, zone, .. } = &record.entry.identity;
            let zones = regions.entry(region).or_default();
            if *zone != own.zone && !zones.contains(&zone) {
                zones.push(zone);
            }
        }
        for (region, zones) in regions {
            if *region == own.region {
                let relays = zones.iter().filter_map(|zone| self.turn_of(zone, now));
                targets.extend(relays.map(|id| (id, Scope::Zone)));
            } else if self.period.is_multiple_of(REGIONS_EVERY) && !zones.is_empty() {
                let turn = (self.period / REGIONS_EVERY) as usize % zones.len();
                targets.extend(self.turn_of(zones[turn], now).map(|id| (id, Scope::Region)));
            }
        }
    }

    /// The relay of `zone` whose turn it is.
    fn turn_of(&self, zone: &ZoneId, now: Millis) -> Option<HostId> {
        let relays = self.relays(zone, now);
        let turns = relay::turns(&self.me, relays.iter());
        turns.get(self.period as usize % turns.len().max(1)).map(|id| (*id).clone())
    }

    /// The relays of `zone`, as far as they can be reached; all of them if none can.
    fn relays(&self, zone: &ZoneId, now: Millis) -> Vec<HostId> {
        let in_zone = || self.records.values().filter(|r| r.entry.identity.zone == *zone);
        let reachable = |record: &&Record| {
            let id = &record.entry.identity.id;
            record.takes_part() && self.avoid.get(id).is_none_or(|until| *until <= now)
        };
        let mut candidates: Vec<_> =
            in_zone().filter(reachable).map(|record| &record.entry.identity.id).collect();
        if candidates.iter().all(|id| **id == self.me) {
            candidates = in_zone().map(|record| &record.entry.identity.id).collect();
        }
        relay::relays(zone, candidates.into_iter()).into_iter().cloned().collect()
    }

    fn task(&self, to: &HostId, scope: Scope) -> Option<Task> {
        let peer = self.records.get(to)?.entry.identity.peer;
        let since = self.cursors.get(&(to.clone(), scope)).copied().unwrap_or_default();
        let pull = Pull { from: self.own().clone(), since, scope };
        Some(Task { to: to.clone(), peer, pull })
    }

    /// How long ago `zone` was vouched for. A host that answers vouches for its own zone: it has
    /// marked the hosts there that fell silent.
    fn vouched_age(&self, zone: &ZoneId, own: &Identity, now: Millis) -> Option<Millis> {
        match *zone == own.zone {
            true => Some(Millis::ZERO),
            false => self.vouched.get(zone).map(|at| now.since(*at)),
        }
    }

    /// How long ago each zone in scope was vouched for.
    fn zones_in(&self, scope: Scope, own: &Identity, now: Millis) -> Vec<(ZoneId, Millis)> {
        let mut zones: BTreeMap<&ZoneId, &Identity> = BTreeMap::new();
        for record in self.records.values() {
            zones.entry(&record.entry.identity.zone).or_insert(&record.entry.identity);
        }
        zones
            .into_iter()
            .filter(|(_, identity)| covers(scope, own, identity))
            .filter_map(|(zone, _)| Some((zone.clone(), self.vouched_age(zone, own, now)?)))
            .collect()
    }
}

fn covers(scope: Scope, own: &Identity, other: &Identity) -> bool {
    match scope {
        Scope::Zone => own.zone == other.zone,
        Scope::Region => own.region == other.region,
        Scope::World => true,
    }
}
