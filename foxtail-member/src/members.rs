//! The state machine of membership at one host.

use std::collections::HashMap;
use std::net::SocketAddr;

use foxtail_platform::{HostEntry, HostState};
use foxtail_types::prelude::*;

use crate::book::Book;
use crate::msg::{Cursor, Delta, Entry, From, Identity, Phase, Pull, Scope, Status};
use crate::record::Record;
use crate::relay;
use crate::view::{Member, View};

/// The length of one period.
pub const PULL_EVERY: Millis = Millis(500);
/// How long a relay waits for a host's word before it suspects it.
pub const SUSPECT_AFTER: Millis = Millis(3_000);
/// How long the hosts of a zone of the own region count as live after one of the zone's relays last
/// vouched for them.
pub const VOUCHED_FOR: Millis = Millis(5_000);
/// How long a host that did not answer is not asked again.
pub const AVOID_FOR: Millis = Millis(3_000);
/// How long a suspect that is gone from the platform's list is remembered.
pub const FORGET_AFTER: Millis = Millis(60_000);
/// How many hosts in a row may pass on word of another region, each with its own delay.
const FRESH_HOPS: u64 = 3;
/// A change of load smaller than this is not worth passing on, in thousandths.
const BUSY_STEP_PERMILLE: u16 = 50;

/// Membership at one host.
pub struct Members {
    pub(crate) me: Identity,
    pub(crate) book: Book,
    pub(crate) avoid: HashMap<HostId, Millis>,
    pub(crate) period: u64,
    cursors: HashMap<(HostId, Scope), Cursor>,
    vouched: HashMap<ZoneId, Millis>,
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
        let entry = Entry { identity: me.clone(), status, seq: 1, suspect: false };
        let mut book = Book::default();
        book.insert(Record::new(entry, now));
        Self {
            me,
            book,
            avoid: HashMap::new(),
            period: 0,
            cursors: HashMap::new(),
            vouched: HashMap::new(),
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

    /// Takes the platform's list. An empty list is taken for a fault and changes nothing.
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
        let from = From::Whole(self.own().clone());
        Pull { from, since: Cursor::default(), scope: Scope::World }
    }

    /// Answers another host's pull.
    pub fn answer(&mut self, pull: &Pull, now: Millis) -> Delta {
        let (asking, known) = self.hear_pull(&pull.from, now);
        let own = self.own().clone();
        let since = match pull.since.incarnation == own.identity.incarnation && known {
            true => pull.since.revision,
            false => 0,
        };
        let wanted = |record: &&Record| {
            let identity = &record.entry.identity;
            identity.id != asking && covers(pull.scope, &self.me, identity)
        };
        let entries =
            self.book.since(since).filter(wanted).map(|record| record.entry.clone()).collect();
        let cursor = Cursor {
            incarnation: own.identity.incarnation,
            revision: if known { self.book.revision() } else { 0 },
        };
        Delta { from: own, cursor, entries, zones: self.zones_in(pull.scope, now) }
    }

    /// Takes the answer to a pull of `scope`.
    pub fn merge(&mut self, scope: Scope, delta: &Delta, now: Millis) {
        self.hear(&delta.from, now);
        let from = delta.from.identity.id.clone();
        self.avoid.remove(&from);
        if let Some(record) = self.book.get_mut(&from) {
            record.failing = None;
        }
        for entry in &delta.entries {
            if entry.identity.id != self.me.id {
                self.take(entry, now);
            }
        }
        self.vouch(scope, delta, now);
        self.cursors.insert((from, scope), delta.cursor);
    }

    /// Notes that `host` did not answer.
    pub fn pull_failed(&mut self, host: &HostId, now: Millis) {
        self.avoid.insert(host.clone(), now + AVOID_FOR);
        if let Some(record) = self.book.get_mut(host) {
            record.failing.get_or_insert(now);
        }
    }

    /// The fleet as this host sees it now.
    pub fn view(&self, now: Millis) -> View {
        let hosts = self.book.all().map(|record| self.member(record, now)).collect();
        View { me: self.me.id.clone(), hosts }
    }

    pub(crate) fn own(&self) -> &Entry {
        &self.book.get(&self.me.id).expect("a host knows itself").entry
    }

    fn member(&self, record: &Record, now: Millis) -> Member {
        let Entry { identity, status, suspect, .. } = record.entry.clone();
        let suspect = suspect || (identity.id != self.me.id && !self.is_vouched(&identity, now));
        Member {
            leaving: record.listed_leaving || status.phase == Phase::Leaving,
            serving_since: record.serving_since,
            identity,
            status,
            suspect,
        }
    }

    /// Takes over which zones were vouched for, and when.
    fn vouch(&mut self, scope: Scope, delta: &Delta, now: Millis) {
        let fresh = now.since(self.fresh());
        if scope == Scope::World {
            let others = self.book.regions().iter().filter(|(id, _)| **id != self.me.region);
            let zones = others.flat_map(|(_, zones)| zones);
            for zone in zones.filter(|zone| !delta.zones.iter().any(|(listed, _)| listed == *zone))
            {
                let known = self.vouched.entry(zone.clone()).or_insert(fresh);
                *known = fresh.max(*known);
            }
        }
        for (zone, age) in &delta.zones {
            let at = now.since(*age);
            let known = self.vouched.entry(zone.clone()).or_insert(at);
            *known = at.max(*known);
        }
    }

    /// The age up to which zones of other regions are left out of answers about the whole fleet.
    fn fresh(&self) -> Millis {
        PULL_EVERY * self.regions_every()
    }

    fn is_vouched(&self, identity: &Identity, now: Millis) -> bool {
        let span = match identity.region == self.me.region {
            true => VOUCHED_FOR,
            false => VOUCHED_FOR + self.fresh() * FRESH_HOPS,
        };
        self.vouched.get(&identity.zone).is_some_and(|at| now.since(*at) <= span)
    }

    fn list_one(&mut self, host: &HostEntry, now: Millis) {
        let known = self.book.get(&host.id).map(|record| record.entry.identity.incarnation);
        let newer = known.is_none_or(|known| host.incarnation > known && host.id != self.me.id);
        if newer {
            self.book.insert(Record::from_list(host, now));
        }
        let Some(record) = self.book.get_mut(&host.id) else { return };
        record.listed = now;
        let same = host.incarnation == record.entry.identity.incarnation;
        if same && host.state == HostState::Leaving {
            record.listed_leaving = true;
        }
    }

    /// Takes the word of a host that pulls. Tells who it is, and whether that is known here.
    fn hear_pull(&mut self, from: &From, now: Millis) -> (HostId, bool) {
        let entry = match from {
            From::Whole(entry) => entry.clone(),
            From::Again { id, incarnation, seq, status } => {
                let known = self.book.get(id).map(|record| &record.entry.identity);
                match known.filter(|identity| identity.incarnation == *incarnation) {
                    None => return (id.clone(), false),
                    Some(identity) => Entry {
                        identity: identity.clone(),
                        status: *status,
                        seq: *seq,
                        suspect: false,
                    },
                }
            }
        };
        self.hear(&entry, now);
        if let Some(record) = self.book.get_mut(&entry.identity.id) {
            record.direct = Some(now);
            record.failing = None;
        }
        (entry.identity.id, true)
    }

    /// Takes the word of a host on itself.
    fn hear(&mut self, entry: &Entry, now: Millis) {
        if entry.identity.id == self.me.id {
            return;
        }
        self.take(&Entry { suspect: false, ..entry.clone() }, now);
        if entry.identity.zone == self.me.zone {
            self.vouched.insert(entry.identity.zone.clone(), now);
        }
    }

    /// Takes a word on any host, from whomever. Only a change worth passing on raises the revision,
    /// and so does a suspicion that this host knows better than.
    fn take(&mut self, entry: &Entry, now: Millis) {
        let id = &entry.identity.id;
        let Some(record) = self.book.get_mut(id) else {
            self.book.insert(Record::new(entry.clone(), now));
            return;
        };
        let before = record.notable();
        let refuted = !record.merge(entry, now) && entry.suspect && !record.entry.suspect;
        if refuted || before != record.notable() {
            self.book.touch(id);
        }
    }

    /// As a relay, suspects hosts of the own zone that fell silent; forgets hosts long gone.
    ///
    /// Only relays suspect, because a wrong suspicion comes to the notice of the other relays, who
    /// know better and say so.
    fn expire(&mut self, now: Millis) {
        let relays = self.relays(&self.me.zone, now);
        if relays.contains(&self.me.id) {
            self.suspect_silent(&relays, now);
        }
        self.avoid.retain(|_, until| *until > now);
        let gone = |record: &&Record| {
            let left = record.entry.suspect || record.entry.status.phase == Phase::Leaving;
            left && now.since(record.listed) > FORGET_AFTER
        };
        let gone: Vec<_> =
            self.book.all().filter(gone).map(|it| it.entry.identity.id.clone()).collect();
        for id in gone.iter().filter(|id| **id != self.me.id) {
            self.book.remove(id);
        }
    }

    /// Suspects those that this relay should have heard of and did not.
    fn suspect_silent(&mut self, relays: &[HostId], now: Millis) {
        let mine = |id: &HostId| {
            relays.contains(id) || relay::turns(id, relays.iter()).first() == Some(&&self.me.id)
        };
        let near: Vec<_> =
            self.book.in_zone(&self.me.zone).map(|it| &it.entry.identity.id).collect();
        let near: Vec<_> = near.into_iter().map(|id| (id.clone(), mine(id))).collect();
        for (id, mine) in near.into_iter().filter(|(id, _)| *id != self.me.id) {
            let Some(record) = self.book.get_mut(&id) else { continue };
            record.expected = mine.then(|| record.expected.unwrap_or(now));
            if record.is_silent(now) && !record.entry.suspect {
                record.entry.suspect = true;
                (record.direct, record.failing) = (None, None);
                self.book.touch(&id);
            }
        }
    }

    fn task(&self, to: &HostId, scope: Scope) -> Option<Task> {
        let peer = self.book.get(to)?.entry.identity.peer;
        let since = self.cursors.get(&(to.clone(), scope)).copied().unwrap_or_default();
        let own = self.own();
        let from = match since == Cursor::default() {
            true => From::Whole(own.clone()),
            false => From::Again {
                id: own.identity.id.clone(),
                incarnation: own.identity.incarnation,
                seq: own.seq,
                status: own.status,
            },
        };
        Some(Task { to: to.clone(), peer, pull: Pull { from, since, scope } })
    }

    /// How long ago each zone in scope was vouched for. Zones of other regions are left out while
    /// that is not long, because there are many and it seldom is. A host that answers vouches for its own
    /// zone: it has marked the hosts there that fell silent.
    fn zones_in(&self, scope: Scope, now: Millis) -> Vec<(ZoneId, Millis)> {
        let all = self.book.regions().iter();
        let regions = all.filter(|(region, _)| scope == Scope::World || **region == self.me.region);
        let zones = regions.flat_map(|(_, zones)| zones);
        let wanted = zones.filter(|zone| scope != Scope::Zone || **zone == self.me.zone);
        let age = |zone: &ZoneId| match *zone == self.me.zone {
            true => Some(Millis::ZERO),
            false => self.vouched.get(zone).map(|at| now.since(*at)),
        };
        let near = self.book.regions().get(&self.me.region);
        let told = |zone: &ZoneId, age: Millis| {
            near.is_some_and(|near| near.contains(zone)) || age > self.fresh()
        };
        let aged = wanted.map(|zone| (zone, age(zone).unwrap_or(Millis::MAX)));
        aged.filter(|(zone, age)| told(zone, *age)).map(|(zone, age)| (zone.clone(), age)).collect()
    }
}

fn covers(scope: Scope, own: &Identity, other: &Identity) -> bool {
    match scope {
        Scope::Zone => own.zone == other.zone,
        Scope::Region => own.region == other.region,
        Scope::World => true,
    }
}
