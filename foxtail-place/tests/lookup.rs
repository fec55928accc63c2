//! Look-up answers.

mod support;

use std::collections::BTreeMap;
use std::net::IpAddr;

use foxtail_config::{Link, Network, Region};
use foxtail_place::directory::Headroom;
use foxtail_place::lookup::{HOSTS_MAX, TTL, TTL_BLIND, TTL_ELSEWHERE, Why};
use foxtail_place::{BlockMap, Caller, Directory, HostView, lookup};
use foxtail_types::prelude::*;
use proptest::prelude::*;

const REGIONS: [&str; 3] = ["peninsula", "sabah", "sarawak"];

fn region(at: usize) -> RegionId {
    RegionId::new(REGIONS[at]).unwrap()
}

fn zone(region: usize, zone: usize) -> ZoneId {
    ZoneId::new(&format!("{}-{zone}", REGIONS[region])).unwrap()
}

/// Sabah is nearer to Sarawak than the peninsula is.
fn network() -> Network {
    let regions = (0..3).map(|at| Region { id: region(at), zones: vec![zone(at, 0), zone(at, 1)] });
    let link = |from: usize, to: usize| Link {
        id: LinkId { from: region(from), to: region(to) },
        mbit_per_s: 4_000,
        delay: Millis(if from + to == 3 { 20 } else { 35 }),
        archive_mbit_per_s: 100,
    };
    let pairs = [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)];
    let links = pairs.map(|(from, to)| link(from, to)).to_vec();
    Network { regions: regions.collect(), links, owner_shards: 2, blocks: Vec::new() }
}

fn host(n: usize) -> HostView {
    let (region_at, zone_at) = (n % 3, n / 3 % 2);
    HostView {
        id: HostId::new(&format!("host-{n}")).unwrap(),
        region: region(region_at),
        zone: zone(region_at, zone_at),
        addr: format!("127.0.0.1:{}", 1_000 + n).parse().unwrap(),
        headroom: Some(Headroom { free_permille: 500, age: Millis::ZERO }),
        ready_for: Millis::secs(100),
        leaving: false,
        silent: false,
    }
}

fn map() -> BlockMap {
    BlockMap::build(Version(1), vec![], &[]).unwrap()
}

fn caller(region: &RegionId) -> Caller<'_> {
    Caller { addr: Some("10.1.2.3".parse().unwrap()), region: Some(region), zone: None }
}

#[test]
fn never_empty_one_region_and_the_best_tier_there_is() {
    let hosts = prop::collection::vec((any::<bool>(), any::<bool>(), 0u64..60_000), 0..24);
    let asked = (0usize..4, any::<u32>());
    support::runner(1_000)
        .run(&(hosts, asked), |(states, (at, addr))| {
            let mut hosts = Vec::new();
            for (n, (leaving, silent, ready)) in states.into_iter().enumerate() {
                hosts.push(HostView { leaving, silent, ready_for: Millis(ready), ..host(n) });
            }
            let directory = Directory::new(host(99), &hosts, &network());
            let region = (at < 3).then(|| region(at));
            let addr = Some(IpAddr::V4(addr.into()));
            let caller = Caller { addr, region: region.as_ref(), zone: None };
            let map = map();
            let answer = lookup(&directory, &map, &caller);
            let listed: Vec<&HostView> = answer.hosts().map(|entry| entry.host).collect();
            prop_assert!(!listed.is_empty() && listed.len() <= HOSTS_MAX);
            prop_assert!(answer.hosts().all(|entry| entry.weight > 0));
            prop_assert!(listed.iter().all(|it| it.region == listed[0].region));
            let tier = |it: &HostView| (it.leaving, it.silent && !it.leaving);
            if let Some(best) = hosts.iter().map(tier).min() {
                prop_assert!(listed.iter().all(|it| tier(it) == best));
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_region_without_live_hosts_spills_to_the_nearest() {
    let mut hosts: Vec<HostView> = (0..12).map(host).collect();
    let sabah = region(1);
    let map = map();
    let directory = Directory::new(host(0), &hosts, &network());
    let answer = lookup(&directory, &map, &caller(&sabah));
    assert_eq!((answer.why, answer.ttl), (Why::OwnRegion, TTL));
    for it in hosts.iter_mut().filter(|it| it.region == sabah) {
        it.silent = true;
    }
    let directory = Directory::new(host(0), &hosts, &network());
    let answer = lookup(&directory, &map, &caller(&sabah));
    assert_eq!((answer.why, answer.ttl), (Why::OtherRegion, TTL_ELSEWHERE));
    assert!(answer.hosts().all(|it| it.host.region == region(2)));
    let directory = Directory::new(host(0), &[], &network());
    let answer = lookup(&directory, &map, &caller(&sabah));
    assert_eq!((answer.why, answer.ttl), (Why::OnlySelf, TTL_BLIND));
    assert_eq!(answer.hosts().count(), 1);
}

#[test]
fn weights_follow_headroom_warm_up_and_zone() {
    let mut hosts: Vec<HostView> = (0..4).map(|n| host(n * 3)).collect();
    hosts[1].headroom = Some(Headroom { free_permille: 100, age: Millis::ZERO });
    hosts[2].ready_for = Millis::ZERO;
    hosts[3].headroom = Some(Headroom { free_permille: 0, age: Millis::secs(60) });
    let directory = Directory::new(host(0), &hosts, &network());
    let map = map();
    let peninsula = region(0);
    let weights = |zone: Option<&ZoneId>| -> BTreeMap<String, u32> {
        let answer = lookup(&directory, &map, &Caller { zone, ..caller(&peninsula) });
        answer.hosts().map(|it| (it.host.id.to_string(), it.weight)).collect()
    };
    let all = weights(None);
    assert_eq!(all["host-0"], 500);
    assert_eq!(all["host-3"], 100, "little headroom");
    assert_eq!(all["host-6"], 50, "just started");
    assert_eq!(all["host-9"], (500 + 100 + 50) / 3, "an aged report counts as unknown");
    let own_zone = weights(Some(&zone(0, 0)));
    assert!(own_zone["host-0"] > all["host-0"], "{own_zone:?}");
    assert_eq!(own_zone["host-3"], all["host-3"]);
}

#[test]
fn without_measurements_all_weigh_the_same() {
    let hosts: Vec<HostView> = (0..6).map(|n| HostView { headroom: None, ..host(n * 3) }).collect();
    let directory = Directory::new(host(0), &hosts, &network());
    let (map, peninsula) = (map(), region(0));
    let answer = lookup(&directory, &map, &caller(&peninsula));
    let weights: Vec<u32> = answer.hosts().map(|it| it.weight).collect();
    assert_eq!(weights.len(), HOSTS_MAX);
    assert!(weights.iter().all(|weight| *weight == weights[0]));
}

/// Each block gets a few hosts, blocks together use all of them evenly, and a host that goes
/// changes the answers of those blocks only that had it.
#[test]
fn blocks_spread_over_the_hosts_and_stay() {
    const BLOCKS: u32 = 2_000;
    let hosts: Vec<HostView> = (0..48).map(|n| host(n * 3)).collect();
    let (map, peninsula) = (map(), region(0));
    let without = Directory::new(host(0), &hosts[1..], &network());
    let directory = Directory::new(host(0), &hosts, &network());
    let mut uses: BTreeMap<String, u32> = BTreeMap::new();
    for block in 0..BLOCKS {
        let addr = Some(IpAddr::V4((block << 8).into()));
        let caller = Caller { addr, ..caller(&peninsula) };
        let ids = |directory| -> Vec<String> {
            let answer = lookup(directory, &map, &caller);
            answer.hosts().map(|it| it.host.id.to_string()).collect()
        };
        let before = ids(&directory);
        let after = ids(&without);
        let kept = before.iter().filter(|id| after.contains(id)).count();
        assert_eq!(kept, HOSTS_MAX - usize::from(before.contains(&"host-0".to_owned())));
        before.into_iter().for_each(|id| *uses.entry(id).or_default() += 1);
    }
    let mean = BLOCKS * HOSTS_MAX as u32 / 48;
    assert_eq!(uses.len(), 48);
    assert!(uses.values().all(|&n| n > mean / 2 && n < mean * 2), "{uses:?}");
}
