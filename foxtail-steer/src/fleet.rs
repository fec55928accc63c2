//! Tracks the other hosts of the fleet through a gossip protocol.
//!
//! Each host increments a heartbeat counter. Digests carry the highest counter that the sender has
//! seen of every host, so that a heartbeat reaches all hosts within a few rounds, whichever path
//! the digests take. A host whose counter has not risen for a timeout is considered dead.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use foxtail_macro::{id, value};
use foxtail_types::prelude::*;

use crate::demand::Demand;
use crate::rendezvous;
use crate::suspects::{ClearingAnswer, Fingerprint, Strike, TrialTurn};
use crate::view_age::ViewAges;

/// Interval at which a host sends digests.
pub const DIGEST_INTERVAL: Millis = Millis(400);

/// Time without a new heartbeat after which a host of the same region is considered dead. It spans
/// several rounds of digests, since each digest may be lost.
pub const LIVENESS_TIMEOUT: Millis = Millis(2_500);

/// Time without a new heartbeat after which a host of another region is considered dead. It is
/// longer because few hosts exchange digests between regions. Late detection matters less there,
/// since those hosts serve only callers whose own region has none left.
pub const CROSS_REGION_LIVENESS_TIMEOUT: Millis = Millis(6_000);

/// Time since its last heartbeat up to which a host of another region is asked to serve a request if
/// no host is alive that could. Heartbeats of large regions take some seconds to reach all hosts of
/// others, so that such a host often is alive.
const REMOTE_MEMORY: Millis = Millis::secs(30);

/// Number of hosts in each region that read the store for the others. A host that learns of a newer
/// version fetches it from the host that announced it. Hosts with access to the store miss a change
/// only if all readers of all regions fail.
const READERS_PER_REGION: usize = 2;

/// Time without a heartbeat after which a host's registration is removed. It is longer than usual
/// repairs and network partitions.
pub const HOST_REMOVAL_TIMEOUT: Millis = Millis::secs(3_600);

/// Time since a host's last heartbeat up to which it counts as a part of its region when a host
/// checks whether it is in contact with it. It is longer than restarts and usual partitions, and
/// short enough that upstreams with limits are used again after hosts were lost for good.
const MEMBERSHIP_TIMEOUT: Millis = Millis::secs(300);

/// Number of hosts that a host assumes to share budgets with before it has read how many there are,
/// as after a start while the store is out.
const ASSUMED_HOSTS: usize = 1_000;

/// Age up to which a heartbeat of this host in another host's digest shows that this host is heard.
/// It spans the rounds of digests that a heartbeat needs to reach most of a region and return.
const ECHO_TIMEOUT: Millis = Millis(5_000);

/// The number of hosts of its own region that a starting host asks for their digests. Any of them may have
/// failed since it was registered.
const JOIN_TARGETS: usize = 4;

/// The number of hosts of other regions that it asks, in case its own region has none left.
const REMOTE_JOIN_TARGETS: usize = 2;

/// One in this many digests covers the hosts of all regions, as do replies. The others cover only the
/// sender's region.
const DIGESTS_PER_FULL_DIGEST: u64 = 4;

/// Requests per second that one entry host takes before callers are directed to another one.
const HOST_REQUESTS_PER_S: f64 = 70.0;

/// Fewest entry hosts that callers of a region are given, so that one of them may fail.
const MIN_ENTRY_HOSTS: usize = 2;

/// The largest share of a region's hosts that are entry hosts for requests that nobody has counted. Fleets
/// bear the loss of many hosts, so the usual rate needs only a part of them.
const MAX_PREPARED_SHARE: f64 = 0.5;

/// Most entry hosts in one look-up answer.
const MAX_ENTRY_HOSTS: usize = 64;

/// The registration of a host.
#[value]
pub struct HostRecord {
    /// The name of the host.
    pub id: HostId,
    /// Its region.
    pub region: RegionId,
    /// Its zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Address for operators, if the host offers one.
    pub operator: Option<SocketAddr>,
}

/// The stage of a host's life cycle.
#[id]
pub enum Phase {
    /// The host has no configuration yet.
    Starting,
    /// The host serves callers.
    Serving,
    /// The host is shutting down.
    Leaving,
}

/// The state of one host in a digest.
#[value]
pub struct Heartbeat {
    /// A hash of the host's name.
    pub host: u32,
    /// Heartbeat counter, which rises while the host is alive and also over restarts.
    pub beat: u64,
    /// The stage of the host's life cycle.
    pub phase: Phase,
    /// Requests per second that the host receives from callers.
    pub rate: u16,
    /// Whether the host cannot reach the store.
    pub store_lost: bool,
}

/// Whether a host reaches upstreams.
#[id]
#[derive(Default)]
pub enum UpstreamAccess {
    /// The host does not say, as hosts of earlier versions.
    #[default]
    Unknown,
    /// The host reaches upstreams, as far as it knows.
    Available,
    /// The host reaches no upstream.
    Lost,
}

/// How far another host is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region.
    OtherRegion,
}

/// Another host to which messages are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its address for other hosts.
    pub addr: SocketAddr,
    /// How far it is away.
    pub distance: Distance,
}

/// The newest versions of the store's areas that a host knows.
#[id]
#[derive(Default)]
pub struct Versions {
    /// Version of the operators' area: configuration and evacuations.
    pub operators: u64,
    /// Version of the upstreams' registrations.
    pub upstreams: u64,
}

/// The message that hosts send to each other.
#[value]
pub struct Digest {
    /// The sender.
    pub from: HostRecord,
    /// Versions of the store's areas that the sender knows.
    pub versions: Versions,
    /// How old its view of them is, or `None` from a host of an earlier version; encoded as `access` is.
    #[serde(skip)]
    pub ages: Option<ViewAges>,
    /// Heartbeats of the hosts that the sender knows, its own first.
    pub beats: Vec<Heartbeat>,
    /// Whether these hosts reach upstreams, in the order of `beats`. It is encoded behind the digest,
    /// since hosts of earlier versions do not expect it in here.
    #[serde(skip)]
    pub access: Vec<UpstreamAccess>,
    /// Recent strikes against requests that broke connections to upstreams.
    pub strikes: Vec<Strike>,
    /// Answers that cleared such requests, encoded as `access` is.
    #[serde(skip)]
    pub answers: Vec<ClearingAnswer>,
    /// Whether the receiver should send its own digest at once.
    pub reply: bool,
}

/// A host's registration and its state from its newest heartbeat.
#[derive(Clone, Debug)]
struct Peer {
    record: HostRecord,
    beat: u64,
    /// When the registration was first read.
    registered_at: Millis,
    /// When the newest heartbeat was received, or `None` before the first one.
    heartbeat_at: Option<Millis>,
    phase: Phase,
    rate: u16,
    store_lost: bool,
    access: UpstreamAccess,
    /// Whether it tells of notices of upstreams in its answers to relayed requests; hosts of earlier
    /// versions do not.
    knows_notices: bool,
}

/// The hosts of the fleet as this host knows them.
#[derive(Debug)]
pub struct Fleet {
    own_id: HostId,
    /// All known hosts, including this one, by the hash of their names.
    peers: BTreeMap<u32, Peer>,
    /// The keys in `peers` of the hosts of each region.
    keys_by_region: BTreeMap<RegionId, BTreeSet<u32>>,
    /// Difference between the heartbeat counter and the local time in milliseconds, fixed at the
    /// start.
    beat_offset: u64,
    versions: Versions,
    /// When this host's view of each area was last known to lack nothing.
    confirmed_at: ViewAges,
    digests_sent: u64,
    /// The newest heartbeat of this host in another host's digest.
    echoed_beat: u64,
    /// Whether the registrations of all hosts were read from the store.
    registrations_read: bool,
    demand: Demand,
}

/// Determines the hosts that send to cold upstreams and to upstreams with limits, and the entry
/// hosts of each region only once.
#[derive(Debug)]
pub struct Senders<'f> {
    fleet: &'f Fleet,
    now: Millis,
    in_contact: Option<bool>,
    by_region: BTreeMap<RegionId, Vec<&'f HostId>>,
}

impl Fleet {
    /// Creates a fleet that contains only this host, at local time `now` and wall time `wall`.
    ///
    /// The heartbeat counter starts from the wall clock, so that it rises over a restart as well.
    pub fn new(record: HostRecord, now: Millis, wall: Millis) -> Self {
        let beat_offset = wall.since(now).0;
        let id = record.id.clone();
        let keys_by_region =
            BTreeMap::from([(record.region.clone(), BTreeSet::from([host_key(&id)]))]);
        let own = Peer {
            record,
            beat: beat_offset + now.0,
            registered_at: now,
            heartbeat_at: Some(now),
            phase: Phase::Starting,
            rate: 0,
            store_lost: false,
            access: UpstreamAccess::Available,
            knows_notices: true,
        };
        Self {
            own_id: id.clone(),
            peers: BTreeMap::from([(host_key(&id), own)]),
            keys_by_region,
            beat_offset,
            versions: Versions::default(),
            confirmed_at: ViewAges::default(),
            digests_sent: 0,
            echoed_beat: 0,
            registrations_read: false,
            demand: Demand::default(),
        }
    }

    /// Returns this host's own registration.
    pub fn own_record(&self) -> &HostRecord {
        &self.peers[&host_key(&self.own_id)].record
    }

    /// Returns the stage of this host's life cycle.
    pub fn phase(&self) -> Phase {
        self.peers[&host_key(&self.own_id)].phase
    }

    /// Sets the stage of this host's life cycle.
    pub fn set_phase(&mut self, phase: Phase) {
        self.own_peer().phase = phase;
    }

    /// Sets how many requests per second this host receives.
    pub fn set_request_rate(&mut self, per_s: f64) {
        self.own_peer().rate = per_s.clamp(0.0, f64::from(u16::MAX)) as u16;
    }

    /// Adds a host or updates its registration. A new host counts as alive after its first
    /// heartbeat.
    pub fn add_host(&mut self, record: HostRecord, now: Millis) {
        let key = host_key(&record.id);
        let region = record.region.clone();
        match self.peers.get_mut(&key) {
            Some(peer) if record.id != self.own_id => {
                let old_region = std::mem::replace(&mut peer.record, record).region;
                if old_region != region {
                    self.keys_by_region.entry(old_region).or_default().remove(&key);
                }
            }
            Some(_) => return,
            None => {
                let peer = Peer {
                    record,
                    beat: 0,
                    registered_at: now,
                    heartbeat_at: None,
                    phase: Phase::Starting,
                    rate: 0,
                    store_lost: false,
                    access: UpstreamAccess::Unknown,
                    knows_notices: false,
                };
                self.peers.insert(key, peer);
            }
        }
        self.keys_by_region.entry(region).or_default().insert(key);
    }

    /// Removes the hosts of this region that sent no heartbeat for [`HOST_REMOVAL_TIMEOUT`], and
    /// returns them, so that the caller can delete their registrations.
    ///
    /// Removes none while at least half of the region is silent, since then this host itself is
    /// probably cut off.
    pub fn remove_expired_hosts(&mut self, now: Millis) -> Vec<HostId> {
        let own_region = self.own_record().region.clone();
        let local = || {
            let keys = self.keys_by_region.get(&own_region).into_iter().flatten();
            keys.map(|key| (*key, &self.peers[key]))
        };
        let is_silent = |peer: &Peer| !is_alive(peer, &own_region, now);
        let (total, silent_count) =
            (local().count(), local().filter(|(_, peer)| is_silent(peer)).count());
        if silent_count * 2 >= total {
            return Vec::new();
        }
        let is_expired = |peer: &Peer| {
            now.since(peer.heartbeat_at.unwrap_or(peer.registered_at)) > HOST_REMOVAL_TIMEOUT
        };
        let keys: Vec<u32> =
            local().filter(|(_, peer)| is_expired(peer)).map(|(key, _)| key).collect();
        if let Some(region) = self.keys_by_region.get_mut(&own_region) {
            region.retain(|key| !keys.contains(key));
        }
        keys.iter().filter_map(|key| self.peers.remove(key)).map(|peer| peer.record.id).collect()
    }

    /// Applies a digest, and returns the hosts that became alive or changed their phase.
    pub fn receive(&mut self, digest: &Digest, now: Millis) -> Vec<(HostId, Phase)> {
        let mut changed = Vec::new();
        let region = self.own_record().region.clone();
        self.add_host(digest.from.clone(), now);
        for (index, heartbeat) in digest.beats.iter().enumerate() {
            let Some(peer) = self.peers.get_mut(&heartbeat.host) else { continue };
            if peer.record.id == self.own_id {
                self.echoed_beat = self.echoed_beat.max(heartbeat.beat);
                continue;
            }
            if heartbeat.beat <= peer.beat {
                continue;
            }
            let was_alive = is_alive(peer, &region, now);
            if !was_alive || peer.phase != heartbeat.phase {
                changed.push((peer.record.id.clone(), heartbeat.phase));
            }
            peer.beat = heartbeat.beat;
            peer.heartbeat_at = Some(now);
            peer.phase = heartbeat.phase;
            peer.rate = heartbeat.rate;
            peer.store_lost = heartbeat.store_lost;
            peer.access = digest.access.get(index).copied().unwrap_or_default();
        }
        changed
    }

    /// Sets the versions of the store's areas that this host knows, and when it was last known that they
    /// were the newest.
    pub fn set_view(&mut self, versions: Versions, confirmed_at: ViewAges) {
        (self.versions, self.confirmed_at) = (versions, confirmed_at);
    }

    /// Sets whether this host cannot reach the store.
    pub fn set_store_lost(&mut self, lost: bool) {
        self.own_peer().store_lost = lost;
    }

    /// Returns whether this host or another one of its region can't reach the store, as far as they say.
    pub fn store_may_be_out(&self, now: Millis) -> bool {
        let region = &self.own_record().region;
        let mut local = self.peers.values().filter(|peer| peer.record.region == *region);
        local.any(|peer| peer.store_lost && is_alive(peer, region, now))
    }

    /// Returns whether this host cannot reach the store.
    pub fn store_lost(&self) -> bool {
        self.peers[&host_key(&self.own_id)].store_lost
    }

    /// Sets whether this host has lost its links to all upstreams.
    pub fn set_upstreams_lost(&mut self, lost: bool) {
        self.own_peer().access =
            if lost { UpstreamAccess::Lost } else { UpstreamAccess::Available };
    }

    /// Records that another host has said that it reaches no upstream. Its next heartbeat tells whether
    /// that still holds.
    pub fn record_upstreams_lost(&mut self, host: &HostId) {
        if let Some(peer) = self.peers.get_mut(&host_key(host)) {
            peer.access = UpstreamAccess::Lost;
        }
    }

    /// Records whether another host knows notices of upstreams, which its messages show.
    pub fn record_notice_support(&mut self, host: &HostId, knows_notices: bool) {
        if let Some(peer) = self.peers.get_mut(&host_key(host)) {
            peer.knows_notices = knows_notices;
        }
    }

    pub(crate) fn knows_notices(&self, host: &HostId) -> bool {
        self.peers.get(&host_key(host)).is_some_and(|peer| peer.knows_notices)
    }

    /// Returns whether other hosts of this region are known to have lost their upstreams.
    pub fn others_lost_upstreams(&self, now: Millis) -> bool {
        let region = &self.own_record().region;
        let mut lost = self.serving_hosts(UpstreamAccess::Lost, now);
        lost.any(|record| record.region == *region && record.id != self.own_id)
    }

    /// Returns the hosts that serve callers and say `access` of themselves.
    pub(crate) fn serving_hosts(
        &self,
        access: UpstreamAccess,
        now: Millis,
    ) -> impl Iterator<Item = &HostRecord> {
        let own_region = &self.own_record().region;
        let serving = move |peer: &&Peer| {
            peer.access == access && peer.phase == Phase::Serving && is_alive(peer, own_region, now)
        };
        self.peers.values().filter(serving).map(|peer| &peer.record)
    }

    /// Returns the hosts of other regions that served callers and reached their upstreams when they
    /// were last heard, within [`REMOTE_MEMORY`].
    pub(crate) fn remote_hosts_heard_earlier(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = &HostRecord> {
        let own_region = &self.own_record().region;
        let is_candidate = move |peer: &&Peer| {
            peer.record.region != *own_region
                && peer.access == UpstreamAccess::Available
                && peer.phase == Phase::Serving
                && peer.heartbeat_at.is_some_and(|at| now.since(at) <= REMOTE_MEMORY)
        };
        self.peers.values().filter(is_candidate).map(|peer| &peer.record)
    }

    /// Returns whether this host reads the store for its region.
    pub fn is_reader(&self, now: Millis) -> bool {
        self.reader_rank(now).is_some()
    }

    /// Returns this host's place among the hosts that read the store for its region, from 0 on, or `None`
    /// if it is none of them.
    pub fn reader_rank(&self, now: Millis) -> Option<usize> {
        let region = &self.own_record().region;
        let is_candidate = |peer: &&Peer| {
            let is_self = peer.record.id == self.own_id;
            let available = !peer.store_lost && peer.phase != Phase::Leaving;
            peer.record.region == *region && (is_self || available) && is_alive(peer, region, now)
        };
        let key = rendezvous::hash("readers");
        let weight = |peer: &Peer| rendezvous::weight(key, peer.record.id.as_str());
        let own = &self.peers[&host_key(&self.own_id)];
        let higher_ranked =
            self.peers.values().filter(is_candidate).filter(|peer| weight(peer) > weight(own));
        Some(higher_ranked.count()).filter(|rank| *rank < READERS_PER_REGION)
    }

    /// Returns this host's digest at `now` for a host of its own region.
    pub fn digest(&mut self, now: Millis) -> Digest {
        self.digests_sent += 1;
        let all_regions = self.digests_sent.is_multiple_of(DIGESTS_PER_FULL_DIGEST);
        let region = self.own_record().region.clone();
        self.build_digest(now, |peer| all_regions || peer.record.region == region)
    }

    /// Returns a digest that covers only this host and requests one in return.
    pub fn join_request(&mut self, now: Millis) -> Digest {
        Digest { reply: true, ..self.own_digest(now) }
    }

    /// Returns a digest for a host that asked for one. It covers all regions: a starting host may need
    /// hosts of other ones at once.
    pub fn reply(&mut self, now: Millis) -> Digest {
        self.build_digest(now, |_| true)
    }

    /// Returns a digest that covers only the hosts of this region, for a host of another region.
    pub fn regional_digest(&mut self, now: Millis) -> Digest {
        let region = self.own_record().region.clone();
        self.build_digest(now, |peer| peer.record.region == region)
    }

    /// Returns a digest that covers only this host.
    pub fn own_digest(&mut self, now: Millis) -> Digest {
        self.build_digest(now, |_| false)
    }

    /// Raises this host's own heartbeat. A host without others to send digests to stays alive by it.
    pub fn beat(&mut self, now: Millis) {
        let beat = self.beat_offset + now.0;
        let own = self.own_peer();
        own.beat = own.beat.max(beat);
        own.heartbeat_at = Some(now);
        let regions: Vec<RegionId> = self.keys_by_region.keys().cloned().collect();
        for region in regions {
            let counted = self.counted_rate(&region, now);
            self.demand.record(&region, counted, now);
        }
    }

    /// Returns a digest of this host and of those others that are alive and `included`.
    fn build_digest(&mut self, now: Millis, included: impl Fn(&Peer) -> bool) -> Digest {
        self.beat(now);
        let from = self.own_record().clone();
        let own_key = host_key(&from.id);
        let others = self.peers.iter().filter(|(key, peer)| {
            **key != own_key && included(peer) && is_alive(peer, &from.region, now)
        });
        let own = self.peers.get_key_value(&own_key);
        let (beats, access) = own
            .into_iter()
            .chain(others)
            .map(|(key, peer)| {
                let Peer { beat, phase, rate, store_lost, access, .. } = *peer;
                (Heartbeat { host: *key, beat, phase, rate, store_lost }, access)
            })
            .unzip();
        let age = |confirmed_at: Option<Millis>| confirmed_at.map(|at| now.since(at));
        let ages = ViewAges {
            operators: age(self.confirmed_at.operators),
            upstreams: age(self.confirmed_at.upstreams),
        };
        Digest {
            from,
            versions: self.versions,
            ages: Some(ages),
            beats,
            access,
            strikes: Vec::new(),
            answers: Vec::new(),
            reply: false,
        }
    }

    /// Returns all other hosts: those of this region, and those of other regions.
    pub fn digest_targets(&self) -> (Vec<Target>, Vec<Target>) {
        let others = self.peers.values().filter(|peer| peer.record.id != self.own_id);
        let targets = others.map(|peer| self.target(&peer.record));
        targets.partition(|target| target.distance != Distance::OtherRegion)
    }

    /// Returns the hosts that this one asks for their digests when it starts, and those that it only tells
    /// of itself.
    ///
    /// The load that this answers: hosts that start all at once or one after the other, each of which
    /// would get a digest from each other host. It asks a few, of its own zone first; each knows the
    /// fleet. Those of other regions answer if its own has none left.
    pub fn join_targets(&self) -> (Vec<&HostRecord>, Vec<&HostRecord>) {
        let own = self.own_record();
        let key = rendezvous::hash(own.id.as_str());
        let others = self.peers.values().map(|peer| &peer.record);
        let mut others: Vec<&HostRecord> = others.filter(|record| record.id != own.id).collect();
        others.sort_by_cached_key(|record| {
            (self.distance_to(record), rendezvous::weight(key, record.id.as_str()))
        });
        let first_remote =
            others.partition_point(|record| self.distance_to(record) != Distance::OtherRegion);
        let mut told = others.split_off(first_remote);
        let told_locally = others.split_off(others.len().min(JOIN_TARGETS));
        let remote = told.drain(..told.len().min(REMOTE_JOIN_TARGETS));
        others.extend(remote);
        told.extend(told_locally);
        (others, told)
    }

    /// Returns where to send messages to the host that `record` describes.
    pub fn target(&self, record: &HostRecord) -> Target {
        Target { addr: record.peer, distance: self.distance_to(record) }
    }

    /// Returns the other hosts of this region that are alive.
    pub fn alive_targets(&self, now: Millis) -> Vec<Target> {
        let region = &self.own_record().region;
        let keys = self.keys_by_region.get(region).into_iter().flatten();
        let alive = keys
            .map(|key| &self.peers[key])
            .filter(|peer| peer.record.id != self.own_id && is_alive(peer, region, now));
        alive.map(|peer| self.target(&peer.record)).collect()
    }

    /// Returns how far the host at the address `ip` is away.
    pub fn distance_to_address(&self, ip: IpAddr) -> Option<Distance> {
        let peer = self.peers.values().find(|peer| peer.record.peer.ip() == ip)?;
        Some(self.distance_to(&peer.record))
    }

    fn distance_to(&self, record: &HostRecord) -> Distance {
        let own = self.own_record();
        match record.region == own.region {
            true if record.zone == own.zone => Distance::Zone,
            true => Distance::Region,
            false => Distance::OtherRegion,
        }
    }

    /// Returns whether store changes that the host at `from` announced should be relayed to this
    /// region at once. A host of another region announces them to one host only, and the region's
    /// own readers may not know them.
    pub fn should_relay(&self, from: SocketAddr) -> bool {
        let region = &self.own_record().region;
        let is_local = |peer: &Peer| peer.record.peer == from && peer.record.region == *region;
        !self.peers.values().any(is_local)
    }

    /// Returns whether a known host has the address `ip`.
    pub fn is_host_address(&self, ip: IpAddr) -> bool {
        self.peers.values().any(|peer| {
            let record = &peer.record;
            record.id != self.own_id && (record.caller.ip() == ip || record.peer.ip() == ip)
        })
    }

    /// Returns the number of known hosts, dead or alive.
    pub fn host_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of hosts among which budgets of the fleet are divided: all known hosts, or
    /// [`ASSUMED_HOSTS`] if more before the registrations were read.
    pub fn hosts_sharing_budgets(&self) -> usize {
        let assumed = if self.registrations_read { 0 } else { ASSUMED_HOSTS };
        self.host_count().max(assumed)
    }

    /// Returns the number of hosts that are alive.
    pub fn alive_count(&self, now: Millis) -> usize {
        let region = &self.own_record().region;
        self.peers.values().filter(|peer| is_alive(peer, region, now)).count()
    }

    /// Returns the number of hosts of each region that are alive.
    pub(crate) fn alive_by_region(&self, now: Millis) -> BTreeMap<RegionId, usize> {
        let own_region = &self.own_record().region;
        let mut counts = BTreeMap::new();
        for peer in self.peers.values().filter(|peer| is_alive(peer, own_region, now)) {
            *counts.entry(peer.record.region.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the hosts that callers in `region` are directed to, those in `zone` first. If the
    /// region has none, these are the entry hosts of all other regions.
    ///
    /// Callers are concentrated on as few hosts as can carry their request rate: a host that
    /// handles a larger share of the requests knows the upstreams' load better and needs fewer
    /// connections. The selected hosts are spread over zones, and every host selects the same ones.
    pub fn entry_hosts(&self, region: &RegionId, zone: &ZoneId, now: Millis) -> Vec<&HostRecord> {
        let hosts_in = |region| {
            let serving = self.hosts_serving_in(region, now).count();
            let bearable = serving as f64 * HOST_REQUESTS_PER_S * MAX_PREPARED_SHARE;
            let prepared = self.demand.rate(region).min(bearable);
            let rate = prepared.max(self.counted_rate(region, now));
            self.entry_hosts_in(region, rate, now)
        };
        let mut hosts = hosts_in(region);
        if hosts.is_empty() {
            hosts = self.keys_by_region.keys().flat_map(hosts_in).collect();
        }
        hosts.sort_by_key(|record| record.zone != *zone);
        hosts.truncate(MAX_ENTRY_HOSTS);
        hosts
    }

    /// Records that the registrations of all hosts were read from the store.
    pub fn mark_registrations_read(&mut self) {
        self.registrations_read = true;
    }

    /// Returns whether this host has heard of the fleet since its start: the registrations were read, and
    /// a host that may relay requests is alive unless no other one is registered.
    pub fn has_joined(&self, now: Millis) -> bool {
        let own_region = &self.own_record().region;
        let others = || self.peers.values().filter(|peer| peer.record.id != self.own_id);
        let can_relay =
            |peer: &Peer| peer.phase != Phase::Leaving && is_alive(peer, own_region, now);
        self.registrations_read && (others().next().is_none() || others().any(can_relay))
    }

    /// Returns whether this host is in contact with its region: it knows the region's hosts, hears
    /// more than half of them, and another host has recently heard it. Of the parts of a region that is
    /// split, at most one is in contact.
    ///
    /// If exactly half of the hosts are heard, the host with the lowest key decides.
    pub fn in_contact(&self, now: Millis) -> bool {
        let own_region = &self.own_record().region;
        let keys = self.keys_by_region.get(own_region).into_iter().flatten();
        let members = || {
            let members = keys.clone().map(|key| &self.peers[key]);
            members.filter(|peer| self.is_member(peer, now))
        };
        let alive = |peer: &&Peer| peer.record.id == self.own_id || is_alive(peer, own_region, now);
        let (total, alive_count) = (members().count(), members().filter(alive).count());
        let decides_tie = members().next().is_some_and(|peer| alive(&peer));
        let hears_most = alive_count * 2 > total || (alive_count * 2 == total && decides_tie);
        let beat = self.beat_offset + now.0;
        let is_heard = alive_count == 1 || beat.saturating_sub(self.echoed_beat) <= ECHO_TIMEOUT.0;
        self.registrations_read && hears_most && is_heard
    }

    /// Returns whether `peer` counts as a part of its region, dead or alive.
    fn is_member(&self, peer: &Peer, now: Millis) -> bool {
        let seen_at = peer.heartbeat_at.unwrap_or(peer.registered_at);
        let is_own = peer.record.id == self.own_id;
        is_own || (peer.phase != Phase::Leaving && now.since(seen_at) <= MEMBERSHIP_TIMEOUT)
    }

    /// Returns the selection of the hosts that send to cold upstreams and upstreams with limits at
    /// `now`.
    pub fn senders(&self, now: Millis) -> Senders<'_> {
        Senders { fleet: self, now, in_contact: None, by_region: BTreeMap::new() }
    }

    /// Returns this host's turn among the hosts that may try a request which is barred by strikes at
    /// the same moment, or `None` if it is none of them.
    pub fn trial_turn(&self, request: Fingerprint, now: Millis) -> Option<TrialTurn> {
        let name = request.to_string();
        let (own, mut senders) = (self.own_record(), self.senders(now));
        if !senders.in_contact() || senders.select(&own.region, &name, 1) != [&own.id] {
            return None;
        }
        let key = rendezvous::hash(&name);
        let rank = |region: &RegionId| rendezvous::weight(key, region.as_str());
        let before = |region: &&RegionId| rank(region) > rank(&own.region);
        let index = self.keys_by_region.keys().filter(before).count();
        Some(TrialTurn { index, regions: self.keys_by_region.len() })
    }

    /// Returns the hosts of `region` that serve callers.
    fn hosts_serving_in(&self, region: &RegionId, now: Millis) -> impl Iterator<Item = &Peer> {
        let own_region = &self.own_record().region;
        let keys = self.keys_by_region.get(region).into_iter().flatten();
        let serving =
            move |peer: &&Peer| peer.phase == Phase::Serving && is_alive(peer, own_region, now);
        keys.map(|key| &self.peers[key]).filter(serving)
    }

    /// Returns the requests per second that the hosts of `region` count.
    fn counted_rate(&self, region: &RegionId, now: Millis) -> f64 {
        self.hosts_serving_in(region, now).map(|peer| f64::from(peer.rate)).sum()
    }

    /// Returns the entry hosts in `region` at a rate of `rate` requests per second: the hosts of the region that
    /// callers are directed to. Hosts that lost their upstreams are among them only if all of the region did.
    fn entry_hosts_in(&self, region: &RegionId, rate: f64, now: Millis) -> Vec<&HostRecord> {
        let mut hosts: Vec<&Peer> = self.hosts_serving_in(region, now).collect();
        if hosts.iter().any(|peer| peer.access != UpstreamAccess::Lost) {
            hosts.retain(|peer| peer.access != UpstreamAccess::Lost);
        }
        let count = ((rate / HOST_REQUESTS_PER_S).ceil() as usize).max(MIN_ENTRY_HOSTS);
        let key = rendezvous::hash(region.as_str());
        hosts.sort_by_key(|peer| {
            std::cmp::Reverse(rendezvous::weight(key, peer.record.id.as_str()))
        });
        spread_over_zones(hosts, count)
    }

    fn own_peer(&mut self) -> &mut Peer {
        self.peers.get_mut(&host_key(&self.own_id)).expect("`peers` always contains this host")
    }
}

impl<'f> Senders<'f> {
    /// Returns whether this host is in contact with its region; only then it sends to cold upstreams
    /// and upstreams with limits.
    pub fn in_contact(&mut self) -> bool {
        *self.in_contact.get_or_insert_with(|| self.fleet.in_contact(self.now))
    }

    /// Returns the hosts that send to the upstream `name` of `region`, at most `count`: entry hosts
    /// of the region or, if no host belongs to it, of the same other region in every host's view.
    ///
    /// Hosts of other regions do not take over from a region whose hosts are silent, since these may
    /// only be cut off.
    pub fn select(&mut self, region: &RegionId, name: &str, count: usize) -> Vec<&'f HostId> {
        let Some(region) = self.region_with_hosts(region) else { return Vec::new() };
        let key = rendezvous::hash(name);
        let mut hosts = self.entry_hosts(region).to_vec();
        hosts.sort_by_key(|id| std::cmp::Reverse(rendezvous::weight(key, id.as_str())));
        hosts.truncate(count);
        hosts
    }

    /// Returns `region` if hosts belong to it, or else the region with hosts that stands in for it.
    fn region_with_hosts(&self, region: &RegionId) -> Option<&'f RegionId> {
        let (fleet, now) = (self.fleet, self.now);
        let has_hosts =
            |keys: &BTreeSet<u32>| keys.iter().any(|key| fleet.is_member(&fleet.peers[key], now));
        let regions = fleet.keys_by_region.iter().filter(|(_, keys)| has_hosts(keys));
        let key = rendezvous::hash(region.as_str());
        regions
            .map(|(other, _)| other)
            .max_by_key(|other| (*other == region, rendezvous::weight(key, other.as_str())))
    }

    fn entry_hosts(&mut self, region: &RegionId) -> &[&'f HostId] {
        if !self.by_region.contains_key(region) {
            // Hosts have to agree on these, so only what they tell each other counts.
            let rate = self.fleet.counted_rate(region, self.now);
            let hosts = self.fleet.entry_hosts_in(region, rate, self.now);
            let ids = hosts.into_iter().map(|record| &record.id).collect();
            self.by_region.insert(region.clone(), ids);
        }
        &self.by_region[region]
    }
}

/// Selects the first `count` hosts, taking one from each zone before a second from any.
fn spread_over_zones(hosts: Vec<&Peer>, count: usize) -> Vec<&HostRecord> {
    let mut zone_rounds: BTreeMap<&ZoneId, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, usize, &HostRecord)> = Vec::new();
    for (rank, peer) in hosts.into_iter().enumerate() {
        let round = zone_rounds.entry(&peer.record.zone).or_default();
        ranked.push((*round, rank, &peer.record));
        *round += 1;
    }
    ranked.sort_by_key(|&(round, rank, _)| (round, rank));
    ranked.into_iter().take(count).map(|(_, _, record)| record).collect()
}

/// Returns whether a host of region `own_region` considers `peer` alive.
fn is_alive(peer: &Peer, own_region: &RegionId, now: Millis) -> bool {
    let timeout = if peer.record.region == *own_region {
        LIVENESS_TIMEOUT
    } else {
        CROSS_REGION_LIVENESS_TIMEOUT
    };
    peer.heartbeat_at.is_some_and(|heartbeat_at| now.since(heartbeat_at) <= timeout)
}

/// Returns the key of a host in `peers` and in digests.
fn host_key(id: &HostId) -> u32 {
    rendezvous::hash(id.as_str()) as u32
}
