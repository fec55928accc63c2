//! What a host believes of the other hosts, from digests that hosts send each other.
//!
//! Each host counts a beat up. Digests carry the highest beat that the sender has seen of every
//! host, so that a beat reaches all within a few rounds however the digests travel; a host whose
//! beat has not risen for a while is taken for dead.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use foxtail_macro::{id, value};
use foxtail_types::prelude::*;

use crate::rendezvous;
use crate::suspects::Strike;

/// How often a host sends digests.
pub const DIGEST_INTERVAL: Millis = Millis(400);

/// A host whose beat has not risen for this long is taken for dead: several rounds of digests, each
/// of which may be lost.
pub const LIVENESS_TIMEOUT: Millis = Millis(2_500);

/// The same for hosts of other regions, whose digests come by few ways. What they are needed for,
/// callers whose own region has no host left, can wait.
pub const REMOTE_LIVENESS_TIMEOUT: Millis = Millis(6_000);

/// How many hosts of a region read the store for the others. Any host that hears of a newer version
/// gets it from the one that told, so that all readers of all regions have to fail before hosts that
/// reach the store miss a change.
const READERS_PER_REGION: usize = 2;

/// A host that nobody heard of for this long is taken for gone for good, and its registration is taken
/// out: longer than hosts are cut off or down for repair on an ordinary day.
pub const HOST_REMOVAL_TIMEOUT: Millis = Millis::secs(3_600);

/// One in this many digests tells of the hosts of all regions, the others of the own region's only.
const FULL_DIGEST_EVERY: u64 = 4;

/// How many requests a second one entry host is given before callers are sent to one more.
const HOST_REQUESTS_PER_S: f64 = 70.0;

/// The fewest entry hosts that callers of a region are told to use, so that one may die.
const MIN_ENTRY_HOSTS: usize = 2;

/// The most entry hosts in one answer.
const MAX_ENTRY_HOSTS: usize = 64;

/// One host, as it registers itself.
#[value]
pub struct HostRecord {
    /// The host.
    pub id: HostId,
    /// Its region.
    pub region: RegionId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where other hosts reach it.
    pub peer: SocketAddr,
    /// Where operators reach it, if anywhere.
    pub operator: Option<SocketAddr>,
}

/// How far a host is in its life.
#[id]
pub enum Phase {
    /// It has no configuration yet.
    Starting,
    /// It serves callers.
    Serving,
    /// It was told to stop.
    Leaving,
}

/// What a digest says of one host.
#[value]
pub struct Heartbeat {
    /// A digest of the host's name.
    pub host: u32,
    /// Rises as long as the host lives, also over its restarts.
    pub beat: u64,
    /// How far it is.
    pub phase: Phase,
    /// Callers' requests a second.
    pub rate: u16,
    /// Whether the store fails it.
    pub store_lost: bool,
}

/// The newest versions of the store's areas that a host knows.
#[id]
#[derive(Default)]
pub struct Versions {
    /// Of what operators write.
    pub operators: u64,
    /// Of the upstreams' registrations.
    pub upstreams: u64,
}

/// What hosts send each other.
#[value]
pub struct Digest {
    /// The sender.
    pub from: HostRecord,
    /// What it knows of the store.
    pub versions: Versions,
    /// What it knows of hosts, itself first.
    pub beats: Vec<Heartbeat>,
    /// Requests that broke connections to upstreams lately.
    pub strikes: Vec<Strike>,
    /// Whether the receiver should send its own at once.
    pub reply: bool,
}

/// A host and what is believed of it.
#[derive(Clone, Debug)]
struct Peer {
    record: HostRecord,
    beat: u64,
    /// When its registration was first read.
    registered_at: Millis,
    heard_at: Option<Millis>,
    phase: Phase,
    rate: u16,
    store_lost: bool,
}

/// What a host believes of the fleet.
#[derive(Debug)]
pub struct Fleet {
    own_id: HostId,
    peers: BTreeMap<u32, Peer>,
    /// The hosts of each region.
    regions: BTreeMap<RegionId, BTreeSet<u32>>,
    /// Beat minus local time, fixed at the start.
    beat_offset: u64,
    versions: Versions,
    digests_sent: u64,
}

/// Which hosts send to cold upstreams; looks up the hosts of each region once.
#[derive(Debug)]
pub struct ColdSenders<'f> {
    fleet: &'f Fleet,
    now: Millis,
    by_region: BTreeMap<RegionId, Vec<&'f HostId>>,
}

impl Fleet {
    /// A fleet of which only `me` is known, at local time `now` and wall time `wall`.
    ///
    /// Beats count on from the wall clock, so that they rise over a restart as well.
    pub fn new(record: HostRecord, now: Millis, wall: Millis) -> Self {
        let beat_offset = wall.since(now).0;
        let id = record.id.clone();
        let regions = BTreeMap::from([(record.region.clone(), BTreeSet::from([host_key(&id)]))]);
        let own = Peer {
            record,
            beat: beat_offset + now.0,
            registered_at: now,
            heard_at: Some(now),
            phase: Phase::Starting,
            rate: 0,
            store_lost: false,
        };
        Self {
            own_id: id.clone(),
            peers: BTreeMap::from([(host_key(&id), own)]),
            regions,
            beat_offset,
            versions: Versions::default(),
            digests_sent: 0,
        }
    }

    /// This host's own record.
    pub fn own_record(&self) -> &HostRecord {
        &self.peers[&host_key(&self.own_id)].record
    }

    /// How far this host is.
    pub fn phase(&self) -> Phase {
        self.peers[&host_key(&self.own_id)].phase
    }

    /// Moves this host on to `phase`.
    pub fn set_phase(&mut self, phase: Phase) {
        self.own_peer().phase = phase;
    }

    /// Sets how many requests a second this host gets.
    pub fn set_request_rate(&mut self, per_s: f64) {
        self.own_peer().rate = per_s.clamp(0.0, f64::from(u16::MAX)) as u16;
    }

    /// Learns of a host from its registration; it counts as alive once it is heard of.
    pub fn add_host(&mut self, record: HostRecord, now: Millis) {
        let key = host_key(&record.id);
        let region = record.region.clone();
        match self.peers.get_mut(&key) {
            Some(peer) if record.id != self.own_id => {
                let old_region = std::mem::replace(&mut peer.record, record).region;
                if old_region != region {
                    self.regions.entry(old_region).or_default().remove(&key);
                }
            }
            Some(_) => return,
            None => {
                let peer = Peer {
                    record,
                    beat: 0,
                    registered_at: now,
                    heard_at: None,
                    phase: Phase::Starting,
                    rate: 0,
                    store_lost: false,
                };
                self.peers.insert(key, peer);
            }
        }
        self.regions.entry(region).or_default().insert(key);
    }

    /// Forgets the hosts of this region that nobody heard of for so long that they are gone, and
    /// returns them, so that their registrations can be taken out.
    ///
    /// None are while most of the region is silent: then it is this host that is cut off.
    pub fn remove_expired_hosts(&mut self, now: Millis) -> Vec<HostId> {
        let own = self.own_record().region.clone();
        let local = || {
            let keys = self.regions.get(&own).into_iter().flatten();
            keys.map(|key| (*key, &self.peers[key]))
        };
        let silent = |peer: &Peer| !is_alive(peer, &own, now);
        let (total, silent_count) =
            (local().count(), local().filter(|(_, peer)| silent(peer)).count());
        if silent_count * 2 >= total {
            return Vec::new();
        }
        let gone = |peer: &Peer| {
            now.since(peer.heard_at.unwrap_or(peer.registered_at)) > HOST_REMOVAL_TIMEOUT
        };
        let keys: Vec<u32> = local().filter(|(_, peer)| gone(peer)).map(|(key, _)| key).collect();
        if let Some(region) = self.regions.get_mut(&own) {
            region.retain(|key| !keys.contains(key));
        }
        keys.iter().filter_map(|key| self.peers.remove(key)).map(|peer| peer.record.id).collect()
    }

    /// Takes in a digest, and tells whether a host came up or changed its phase.
    pub fn receive(&mut self, digest: &Digest, now: Millis) -> Vec<(HostId, Phase)> {
        let mut changed = Vec::new();
        let region = self.own_record().region.clone();
        self.add_host(digest.from.clone(), now);
        for beat in &digest.beats {
            let Some(peer) = self.peers.get_mut(&beat.host) else { continue };
            if peer.record.id == self.own_id || beat.beat <= peer.beat {
                continue;
            }
            let was_alive = is_alive(peer, &region, now);
            if !was_alive || peer.phase != beat.phase {
                changed.push((peer.record.id.clone(), beat.phase));
            }
            peer.beat = beat.beat;
            peer.heard_at = Some(now);
            peer.phase = beat.phase;
            peer.rate = beat.rate;
            peer.store_lost = beat.store_lost;
        }
        changed
    }

    /// Sets what this host knows of the store.
    pub fn set_versions(&mut self, versions: Versions) {
        self.versions = versions;
    }

    /// Sets whether the store fails this host.
    pub fn set_store_lost(&mut self, lost: bool) {
        self.own_peer().store_lost = lost;
    }

    /// Whether the store fails this host.
    pub fn store_lost(&self) -> bool {
        self.peers[&host_key(&self.own_id)].store_lost
    }

    /// Whether this host reads the store for its region.
    pub fn is_reader(&self, now: Millis) -> bool {
        let region = &self.own_record().region;
        let is_candidate = |peer: &&Peer| {
            let is_self = peer.record.id == self.own_id;
            let available = !peer.store_lost && peer.phase != Phase::Leaving;
            peer.record.region == *region && (is_self || available) && is_alive(peer, region, now)
        };
        let key = rendezvous::hash("readers");
        let weight = |peer: &Peer| rendezvous::weight(key, peer.record.id.as_str());
        let own = &self.peers[&host_key(&self.own_id)];
        let ahead =
            self.peers.values().filter(is_candidate).filter(|peer| weight(peer) > weight(own));
        ahead.count() < READERS_PER_REGION
    }

    /// This host's digest at `now`, for a host of its own region.
    pub fn digest(&mut self, now: Millis, reply: bool) -> Digest {
        self.digests_sent += 1;
        let remote = reply || self.digests_sent.is_multiple_of(FULL_DIGEST_EVERY);
        self.build_digest(now, reply, remote)
    }

    /// A digest that tells of the hosts of the own region only, for hosts of others.
    pub fn regional_digest(&mut self, now: Millis) -> Digest {
        self.build_digest(now, false, false)
    }

    /// A digest that tells of this host only.
    pub fn own_digest(&mut self, now: Millis) -> Digest {
        let mut digest = self.build_digest(now, false, false);
        digest.beats.truncate(1);
        digest
    }

    fn build_digest(&mut self, now: Millis, reply: bool, remote: bool) -> Digest {
        let beat = self.beat_offset + now.0;
        let own = self.own_peer();
        own.beat = own.beat.max(beat);
        own.heard_at = Some(now);
        let from = own.record.clone();
        let first = host_key(&from.id);
        let others = self.peers.iter().filter(|(key, peer)| {
            let included = remote || peer.record.region == from.region;
            **key != first && included && is_alive(peer, &from.region, now)
        });
        let is_self = self.peers.get_key_value(&first);
        let beats = is_self
            .into_iter()
            .chain(others)
            .map(|(key, peer)| {
                let Peer { beat, phase, rate, store_lost, .. } = *peer;
                Heartbeat { host: *key, beat, phase, rate, store_lost }
            })
            .collect();
        Digest { from, versions: self.versions, beats, strikes: Vec::new(), reply }
    }

    /// Where digests may be sent: all hosts but this one, those of its region first.
    pub fn digest_targets(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let region = &self.own_record().region;
        let others = self.peers.values().filter(|peer| peer.record.id != self.own_id);
        let (local, remote): (Vec<_>, Vec<_>) =
            others.partition(|peer| peer.record.region == *region);
        let addrs = |peers: Vec<&Peer>| peers.iter().map(|peer| peer.record.peer).collect();
        (addrs(local), addrs(remote))
    }

    /// Whether news of the store that the host at `from` told are to be told to this region at once:
    /// a host of another region told only this one, and the region's own readers may not know them.
    pub fn should_relay(&self, from: SocketAddr) -> bool {
        let region = &self.own_record().region;
        let local = |peer: &Peer| peer.record.peer == from && peer.record.region == *region;
        !self.peers.values().any(local)
    }

    /// How many hosts are known, dead or alive.
    pub fn host_count(&self) -> usize {
        self.peers.len()
    }

    /// How many hosts are alive.
    pub fn alive_count(&self, now: Millis) -> usize {
        let region = &self.own_record().region;
        self.peers.values().filter(|peer| is_alive(peer, region, now)).count()
    }

    /// The hosts that callers in `region` are told to use, with their requests' rate in mind.
    ///
    /// Callers are gathered on as few hosts as carry them: a host that sees more of the requests
    /// knows the upstreams' load better and makes fewer connections. The chosen ones differ in
    /// zone, and every host chooses the same.
    pub fn entry_hosts(&self, region: &RegionId, zone: &ZoneId, now: Millis) -> Vec<&HostRecord> {
        let mut found = self.active_hosts(region, now);
        if found.is_empty() {
            found = self.regions.keys().flat_map(|region| self.active_hosts(region, now)).collect();
        }
        found.sort_by_key(|record| record.zone != *zone);
        found.truncate(MAX_ENTRY_HOSTS);
        found
    }

    /// Which hosts send to cold upstreams at `now`.
    pub fn cold_senders(&self, now: Millis) -> ColdSenders<'_> {
        ColdSenders { fleet: self, now, by_region: BTreeMap::new() }
    }

    /// The hosts of `region` that callers use.
    fn active_hosts(&self, region: &RegionId, now: Millis) -> Vec<&HostRecord> {
        let own = &self.own_record().region;
        let serving = |peer: &&Peer| peer.phase == Phase::Serving && is_alive(peer, own, now);
        let keys = self.regions.get(region).into_iter().flatten();
        let mut hosts: Vec<&Peer> = keys.map(|key| &self.peers[key]).filter(serving).collect();
        let rate: f64 = hosts.iter().map(|peer| f64::from(peer.rate)).sum();
        let wanted = ((rate / HOST_REQUESTS_PER_S).ceil() as usize).max(MIN_ENTRY_HOSTS);
        let key = rendezvous::hash(region.as_str());
        hosts.sort_by_key(|peer| {
            std::cmp::Reverse(rendezvous::weight(key, peer.record.id.as_str()))
        });
        spread_over_zones(hosts, wanted)
    }

    fn own_peer(&mut self) -> &mut Peer {
        self.peers.get_mut(&host_key(&self.own_id)).expect("a host always knows itself")
    }
}

impl<'f> ColdSenders<'f> {
    /// The host that sends to the cold upstream `name` of `region`.
    pub fn sender_for(&mut self, region: &RegionId, name: &str) -> Option<&'f HostId> {
        let (fleet, now) = (self.fleet, self.now);
        if !self.by_region.contains_key(region) {
            let local = fleet.active_hosts(region, now);
            let hosts = if local.is_empty() {
                fleet.active_hosts(&fleet.own_record().region, now)
            } else {
                local
            };
            let ids = hosts.into_iter().map(|record| &record.id).collect();
            self.by_region.insert(region.clone(), ids);
        }
        let key = rendezvous::hash(name);
        let hosts = &self.by_region[region];
        hosts.iter().copied().max_by_key(|id| rendezvous::weight(key, id.as_str()))
    }
}

/// Takes `wanted` hosts in their order, one from each zone before a second from any.
fn spread_over_zones(hosts: Vec<&Peer>, wanted: usize) -> Vec<&HostRecord> {
    let mut taken: BTreeMap<&ZoneId, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, usize, &HostRecord)> = Vec::new();
    for (place, peer) in hosts.into_iter().enumerate() {
        let round = taken.entry(&peer.record.zone).or_default();
        ranked.push((*round, place, &peer.record));
        *round += 1;
    }
    ranked.sort_by_key(|&(round, place, _)| (round, place));
    ranked.into_iter().take(wanted).map(|(_, _, record)| record).collect()
}

/// Whether `peer` is taken for alive by a host of region `own`.
fn is_alive(peer: &Peer, own: &RegionId, now: Millis) -> bool {
    let timeout =
        if peer.record.region == *own { LIVENESS_TIMEOUT } else { REMOTE_LIVENESS_TIMEOUT };
    peer.heard_at.is_some_and(|heard_at| now.since(heard_at) <= timeout)
}

fn host_key(id: &HostId) -> u32 {
    rendezvous::hash(id.as_str()) as u32
}
