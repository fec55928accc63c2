//! The answer to a caller that asks which entry hosts to use.

use std::net::IpAddr;
use std::ops::Range;

use foxtail_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::directory::{Directory, HostView, Hosts, Tier};
use crate::map::BlockMap;

/// The most hosts in an answer.
pub const HOSTS_MAX: usize = 6;
/// How many hosts of other zones stand in an answer, so that it outlives its zone.
const OTHER_ZONES_MIN: usize = 2;
/// How much more weight hosts in the caller's own zone get.
const OWN_ZONE_FACTOR: u32 = 4;

/// How long callers may use an answer from the caller's own region.
pub const TTL: Millis = Millis::secs(5);
/// How long callers may use an answer that sends them to another region.
pub const TTL_ELSEWHERE: Millis = Millis::secs(2);
/// How long callers may use an answer that was made without live hosts.
pub const TTL_BLIND: Millis = Millis::secs(1);

/// Who asks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Caller<'a> {
    /// The caller's address.
    pub addr: Option<IpAddr>,
    /// The region it says it is in; goes before its address.
    pub region: Option<&'a RegionId>,
    /// The zone it says it is in.
    pub zone: Option<&'a ZoneId>,
}

/// How an answer came about.
#[id]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    /// Live hosts of the caller's region.
    OwnRegion,
    /// The caller's region is unknown, so it got the answering host's.
    UnknownRegion,
    /// The caller's region has no live host, so it got the nearest that has.
    OtherRegion,
    /// No host is known to be live, so it got those last known.
    NotLive,
    /// No host is known, so it got the answering host.
    OnlySelf,
}

/// An answer. All its hosts are in one region, so that a caller that sends a request again to
/// another of them stays in that region.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    hosts: [Option<Entry<'a>>; HOSTS_MAX],
    /// How long the caller may use it.
    pub ttl: Millis,
    /// How it came about.
    pub why: Why,
}

/// A host in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// The host.
    pub host: &'a HostView,
    /// Its share of the caller's requests, against the other hosts' weights.
    pub weight: u32,
}

/// The hosts chosen so far, the best first, with their scores.
struct Chosen {
    scores: [u64; HOSTS_MAX],
    hosts: [usize; HOSTS_MAX],
    len: usize,
}

impl<'a> Answer<'a> {
    /// The hosts, at least one.
    pub fn hosts(&self) -> impl Iterator<Item = &Entry<'a>> {
        self.hosts.iter().flatten()
    }
}

impl Why {
    /// The name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Why::OwnRegion => "own-region",
            Why::UnknownRegion => "unknown-region",
            Why::OtherRegion => "other-region",
            Why::NotLive => "not-live",
            Why::OnlySelf => "only-self",
        }
    }
}

/// Answers `caller`. Never empty, allocates nothing and takes no lock.
///
/// Each caller gets a subset of the region's hosts by rendezvous hashing of its block, so that
/// callers spread, and the subset changes little when a host comes or goes.
pub fn lookup<'a>(directory: &'a Directory, map: &BlockMap, caller: &Caller<'_>) -> Answer<'a> {
    let site = caller.addr.and_then(|addr| map.find(addr));
    let region = caller.region.or(site.map(|site| &site.region));
    let zone = caller.zone.or(site.and_then(|site| site.zone.as_ref()));
    let block = block_hash(caller);
    let known = region.and_then(|region| directory.group(region));
    let home = known.or_else(|| directory.group(&directory.own().region));
    for tier in Tier::ALL {
        let near = home.filter(|group| !group.hosts(tier).is_empty());
        let far = || directory.others(home).find(|group| !group.hosts(tier).is_empty());
        if let Some(group) = near.or_else(far) {
            let (ttl, why) = match (tier, near.is_some(), known.is_some()) {
                (Tier::Silent | Tier::Leaving, ..) => (TTL_BLIND, Why::NotLive),
                (Tier::Live, false, _) => (TTL_ELSEWHERE, Why::OtherRegion),
                (Tier::Live, true, false) => (TTL, Why::UnknownRegion),
                (Tier::Live, true, true) => (TTL, Why::OwnRegion),
            };
            return answer(group.hosts(tier), zone, block, ttl, why);
        }
    }
    answer(directory.own_alone(), None, block, TTL_BLIND, Why::OnlySelf)
}

/// A hash that is the same for all callers of one /24 or /56.
fn block_hash(caller: &Caller<'_>) -> u64 {
    match caller.addr {
        Some(IpAddr::V4(addr)) => xxh3_64(&addr.octets()[..3]),
        Some(IpAddr::V6(addr)) => xxh3_64(&addr.octets()[..7]),
        None => 0,
    }
}

fn answer<'a>(
    from: &'a Hosts,
    zone: Option<&ZoneId>,
    block: u64,
    ttl: Millis,
    why: Why,
) -> Answer<'a> {
    let own_zone = from.zone(zone);
    let others = from.listed.len() - own_zone.len();
    let mut chosen = Chosen { scores: [0; HOSTS_MAX], hosts: [0; HOSTS_MAX], len: 0 };
    chosen.take(from, own_zone.clone(), block, 0..HOSTS_MAX - others.min(OTHER_ZONES_MIN));
    let places = chosen.len..HOSTS_MAX;
    chosen.take(from, 0..own_zone.start, block, places.clone());
    chosen.take(from, own_zone.end..from.listed.len(), block, places);
    let mut hosts = [None; HOSTS_MAX];
    for (entry, &at) in hosts.iter_mut().zip(&chosen.hosts[..chosen.len]) {
        let listed = &from.listed[at];
        let factor = if own_zone.contains(&at) { OWN_ZONE_FACTOR } else { 1 };
        *entry = Some(Entry { host: &listed.host, weight: listed.weight.max(1) * factor });
    }
    Answer { hosts, ttl, why }
}

impl Chosen {
    /// Lets `hosts` compete for `places`, by their scores for the caller's block.
    fn take(&mut self, from: &Hosts, hosts: Range<usize>, block: u64, places: Range<usize>) {
        let (kept, limit) = (places.start, places.end);
        let salt = block.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let worst = |it: &Self| if it.len == limit { it.scores[limit - 1] } else { 0 };
        for (at, hash) in hosts.clone().zip(&from.hashes[hosts]) {
            let score = score(hash ^ salt);
            if score <= worst(self) {
                continue;
            }
            let place = kept + self.scores[kept..self.len].partition_point(|&it| it >= score);
            self.len = (self.len + 1).min(limit);
            self.scores[place..self.len].rotate_right(1);
            self.hosts[place..self.len].rotate_right(1);
            self.scores[place] = score;
            self.hosts[place] = at;
        }
    }
}

/// The rendezvous score for a host's hash mixed with a caller's block.
fn score(x: u64) -> u64 {
    let x = (x ^ (x >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    x ^ (x >> 32)
}
