//! The hosts that can be listed in look-up answers, grouped by region.

use std::net::SocketAddr;
use std::ops::Range;

use foxtail_config::Network;
use foxtail_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// What the answering host knows of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostView {
    /// The host.
    pub id: HostId,
    /// Its region.
    pub region: RegionId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Its headroom, if it is known and fresh.
    pub headroom: Option<Headroom>,
    /// How long it has been ready to serve.
    pub ready_for: Millis,
    /// Whether it is leaving: told to stop, drained, or its zone or region is.
    pub leaving: bool,
    /// Whether peers have not heard from it for too long.
    pub silent: bool,
}

/// What a host can still take, by its own report.
#[id]
pub struct Headroom {
    /// The free share of its capacity, in thousandths.
    pub free_permille: u16,
    /// How old the report is.
    pub age: Millis,
}

/// The hosts, compiled for look-ups.
#[derive(Clone, Debug)]
pub struct Directory {
    own: Hosts,
    regions: Vec<Group>,
}

/// The hosts of one region.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) region: RegionId,
    /// Its hosts, by [`Tier`].
    tiers: [Hosts; 3],
    /// The other regions' places in the directory, the nearest first.
    pub(crate) nearest: Vec<usize>,
}

/// Hosts sorted by zone, with what the choice among them looks at in tables of its own.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hosts {
    pub(crate) listed: Vec<Listed>,
    /// The hashes of the hosts' ids, for rendezvous hashing.
    pub(crate) hashes: Vec<u64>,
    /// Each zone, and where its hosts begin and end.
    zones: Vec<(ZoneId, Range<usize>)>,
}

/// How good hosts are to be listed. One of a later tier is listed only when there is none of an
/// earlier tier anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tier {
    /// Neither leaving nor silent.
    Live,
    /// Not heard from, which may be the answering host's own fault.
    Silent,
    /// Leaving.
    Leaving,
}

/// A host as it is listed.
#[derive(Clone, Debug)]
pub(crate) struct Listed {
    pub(crate) host: HostView,
    /// Its weight by headroom and warm-up, from 1 to [`WEIGHT_MAX`].
    pub(crate) weight: u32,
}

/// The weight of a warm host with all its capacity free.
pub const WEIGHT_MAX: u32 = 1_000;
/// The least weight of a live host.
const WEIGHT_MIN: u32 = 20;
/// A report of headroom older than this counts as unknown.
const HEADROOM_MAX_AGE: Millis = Millis::secs(5);
/// A host is warm after so long.
const WARM_UP: Millis = Millis::secs(30);
/// The share of its weight that a host starts with, in thousandths.
const WARM_UP_FROM_PERMILLE: u64 = 100;

impl Directory {
    /// Compiles `hosts`. `own` is the answering host, listed when nothing else is known.
    pub fn new(own: HostView, hosts: &[HostView], network: &Network) -> Self {
        let mut regions: Vec<Group> = network.regions.iter().map(|it| Group::new(&it.id)).collect();
        let mut tiers: Vec<[Vec<Listed>; 3]> = Vec::new();
        for host in hosts {
            let known = regions.iter().position(|group| group.region == host.region);
            let at = known.unwrap_or_else(|| {
                regions.push(Group::new(&host.region));
                regions.len() - 1
            });
            tiers.resize_with(regions.len(), Default::default);
            tiers[at][Tier::of(host) as usize].push(Listed::new(host));
        }
        for (group, tiers) in regions.iter_mut().zip(tiers) {
            group.tiers = tiers.map(Hosts::new);
        }
        let nearest: Vec<_> = regions.iter().map(|it| nearest(&regions, it, network)).collect();
        for (group, nearest) in regions.iter_mut().zip(nearest) {
            group.nearest = nearest;
        }
        Self { own: Hosts::new(vec![Listed::new(&own)]), regions }
    }

    /// The answering host.
    pub fn own(&self) -> &HostView {
        &self.own.listed[0].host
    }

    pub(crate) fn own_alone(&self) -> &Hosts {
        &self.own
    }

    pub(crate) fn group(&self, region: &RegionId) -> Option<&Group> {
        self.regions.iter().find(|group| group.region == *region)
    }

    /// The other groups, the nearest first; all of them if the region is unknown.
    pub(crate) fn others<'a>(
        &'a self,
        from: Option<&'a Group>,
    ) -> impl Iterator<Item = &'a Group> + 'a {
        let nearest = from.map(|group| group.nearest.iter().map(|&at| &self.regions[at]));
        let all = from.is_none().then(|| self.regions.iter());
        nearest.into_iter().flatten().chain(all.into_iter().flatten())
    }
}

impl Group {
    fn new(region: &RegionId) -> Self {
        Self { region: region.clone(), tiers: Default::default(), nearest: Vec::new() }
    }

    pub(crate) fn hosts(&self, tier: Tier) -> &Hosts {
        &self.tiers[tier as usize]
    }
}

impl Hosts {
    fn new(mut listed: Vec<Listed>) -> Self {
        fill_unknown(&mut listed);
        listed.sort_by(|a, b| (&a.host.zone, &a.host.id).cmp(&(&b.host.zone, &b.host.id)));
        let hashes = listed.iter().map(|it| xxh3_64(it.host.id.as_str().as_bytes())).collect();
        let mut zones: Vec<(ZoneId, Range<usize>)> = Vec::new();
        for (at, it) in listed.iter().enumerate() {
            match zones.last_mut().filter(|(zone, _)| *zone == it.host.zone) {
                Some((_, hosts)) => hosts.end = at + 1,
                None => zones.push((it.host.zone.clone(), at..at + 1)),
            }
        }
        Self { listed, hashes, zones }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Where the hosts of `zone` begin and end.
    pub(crate) fn zone(&self, zone: Option<&ZoneId>) -> Range<usize> {
        let found = zone.and_then(|zone| self.zones.iter().find(|(id, _)| id == zone));
        found.map_or(0..0, |(_, hosts)| hosts.clone())
    }
}

impl Tier {
    pub(crate) const ALL: [Tier; 3] = [Tier::Live, Tier::Silent, Tier::Leaving];

    fn of(host: &HostView) -> Self {
        match (host.leaving, host.silent) {
            (true, _) => Tier::Leaving,
            (false, true) => Tier::Silent,
            (false, false) => Tier::Live,
        }
    }
}

impl Listed {
    fn new(host: &HostView) -> Self {
        let weight = host.headroom.map_or(0, |headroom| weight(headroom, host.ready_for));
        Self { host: host.clone(), weight }
    }
}

/// The weight by headroom and warm-up; zero if the headroom counts as unknown.
fn weight(headroom: Headroom, ready_for: Millis) -> u32 {
    if headroom.age > HEADROOM_MAX_AGE {
        return 0;
    }
    ramp(u32::from(headroom.free_permille).clamp(WEIGHT_MIN, WEIGHT_MAX), ready_for)
}

/// Gives hosts of unknown headroom the mean weight of the others, or all the same.
fn fill_unknown(hosts: &mut [Listed]) {
    let known: Vec<u32> = hosts.iter().map(|it| it.weight).filter(|&weight| weight > 0).collect();
    let mean = known.iter().sum::<u32>().checked_div(known.len() as u32).unwrap_or(WEIGHT_MAX);
    for it in hosts.iter_mut().filter(|it| it.weight == 0) {
        it.weight = ramp(mean, it.host.ready_for);
    }
}

/// Scales `weight` by how far the host has warmed up.
fn ramp(weight: u32, ready_for: Millis) -> u32 {
    if ready_for >= WARM_UP {
        return weight.max(1);
    }
    let rest = 1_000 - WARM_UP_FROM_PERMILLE;
    let permille = WARM_UP_FROM_PERMILLE + rest * ready_for.0 / WARM_UP.0;
    ((u64::from(weight) * permille / 1_000) as u32).max(1)
}

fn nearest(regions: &[Group], from: &Group, network: &Network) -> Vec<usize> {
    let delay = |at: usize| {
        let link = network.link(&from.region, &regions[at].region);
        link.map_or(Millis::MAX, |link| link.delay)
    };
    let mut others: Vec<usize> =
        (0..regions.len()).filter(|&at| regions[at].region != from.region).collect();
    others.sort_by_key(|&at| (delay(at), at));
    others
}
