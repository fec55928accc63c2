//! Compares look-ups in the compiled block map with a linear scan of the list of blocks.

mod support;

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use foxtail_place::delta::{Change, Delta};
use foxtail_place::map::Error;
use foxtail_place::{Block, BlockMap, Location, LocationIndex};
use foxtail_types::prelude::*;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use proptest::prelude::*;

const LOCATION_COUNT: u16 = 5;

fn locations() -> Vec<Location> {
    let region = |i| RegionId::new(&format!("region-{i}")).unwrap();
    (0..LOCATION_COUNT).map(|i| Location { region: region(i), zone: None }).collect()
}

/// Generates nets that are often nested or adjacent: few distinct addresses, many prefix lengths.
fn arbitrary_net() -> impl Strategy<Value = IpNet> {
    let v4 = (0u8..4, any::<u16>(), 0u8..=32).prop_map(|(a, b, len)| {
        let addr = Ipv4Addr::from([10, a, (b >> 8) as u8 & 3, b as u8]);
        IpNet::V4(Ipv4Net::new(addr, len).unwrap().trunc())
    });
    let v6 = (any::<u64>(), 0u8..=64).prop_map(|(bits, len)| {
        let bits = 0x2001_0db8_0000_0000 | (bits & 0x0003_00ff);
        let addr = Ipv6Addr::from_bits(u128::from(bits) << 64);
        IpNet::V6(Ipv6Net::new(addr, len).unwrap().trunc())
    });
    prop_oneof![v4, v6]
}

fn arbitrary_blocks() -> impl Strategy<Value = Vec<Block>> {
    prop::collection::btree_map(arbitrary_net(), 0..LOCATION_COUNT, 0..40).prop_map(|nets| {
        nets.into_iter()
            .map(|(net, location)| Block { net, location: LocationIndex(location) })
            .collect()
    })
}

/// Returns the first and last address of each net and their neighbours, where off-by-one errors
/// show.
fn edge_addresses(nets: impl Iterator<Item = IpNet>) -> Vec<IpAddr> {
    let mut out = vec![
        IpAddr::V4(Ipv4Addr::UNSPECIFIED),
        IpAddr::V4(Ipv4Addr::BROADCAST),
        IpAddr::V6(Ipv6Addr::UNSPECIFIED),
        IpAddr::V6(Ipv6Addr::from_bits(u128::MAX)),
    ];
    for net in nets {
        match (net.network(), net.broadcast()) {
            (IpAddr::V4(first), IpAddr::V4(last)) => {
                let (first, last) = (first.to_bits(), last.to_bits());
                let bits = [first.wrapping_sub(1), first, last, last.wrapping_add(1)];
                out.extend(bits.map(|bits| IpAddr::V4(Ipv4Addr::from_bits(bits))));
            }
            (IpAddr::V6(first), IpAddr::V6(last)) => {
                let (first, last) = (first.to_bits(), last.to_bits());
                let bits = [first.wrapping_sub(1), first, last, last.wrapping_add(1)];
                out.extend(bits.map(|bits| IpAddr::V6(Ipv6Addr::from_bits(bits))));
            }
            _ => unreachable!("a net has one family"),
        }
    }
    out.retain(|addr| !matches!(addr, IpAddr::V6(addr) if addr.to_ipv4_mapped().is_some()));
    out
}

fn linear_scan(blocks: &[Block], addr: IpAddr) -> Option<LocationIndex> {
    let hits = blocks.iter().filter(|block| block.net.contains(&addr));
    hits.max_by_key(|block| block.net.prefix_len()).map(|block| block.location)
}

fn location_index(map: &BlockMap, addr: IpAddr) -> Option<LocationIndex> {
    let found = map.find(addr)?;
    map.locations().iter().position(|location| location == found).map(|at| LocationIndex(at as u16))
}

#[test]
fn look_up_agrees_with_a_linear_scan() {
    support::test_runner(150)
        .run(&arbitrary_blocks(), |blocks| {
            let map = BlockMap::build(Version(1), locations(), &blocks).unwrap();
            let copy = BlockMap::from_bytes(&map.to_bytes()).unwrap();
            prop_assert_eq!(&copy, &map);
            for addr in edge_addresses(blocks.iter().map(|block| block.net)) {
                prop_assert_eq!(location_index(&map, addr), linear_scan(&blocks, addr), "{}", addr);
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn delta_changes_apply_in_order_to_whole_blocks() {
    let changes =
        prop::collection::vec((arbitrary_net(), prop::option::of(0..LOCATION_COUNT)), 0..20);
    support::test_runner(100)
        .run(&(arbitrary_blocks(), changes), |(blocks, changes)| {
            let map = BlockMap::build(Version(1), locations(), &blocks).unwrap();
            let changes: Vec<Change> = changes
                .into_iter()
                .map(|(net, location)| Change { net, location: location.map(LocationIndex) })
                .collect();
            let delta = Delta { base: Version(1), next: Version(2), changes };
            let next = delta.apply(&map).unwrap();
            let nets = blocks
                .iter()
                .map(|block| block.net)
                .chain(delta.changes.iter().map(|change| change.net));
            for addr in edge_addresses(nets) {
                let last = delta.changes.iter().rev().find(|change| change.net.contains(&addr));
                let expected =
                    last.map_or_else(|| linear_scan(&blocks, addr), |change| change.location);
                prop_assert_eq!(location_index(&next, addr), expected, "{}", addr);
            }
            prop_assert_eq!(BlockMap::from_bytes(&next.to_bytes()).unwrap(), next);
            Ok(())
        })
        .unwrap();
}

#[test]
fn flipped_or_truncated_bytes_are_refused() {
    let block = Block { net: "10.0.0.0/8".parse().unwrap(), location: LocationIndex(1) };
    let map = BlockMap::build(Version(1), locations(), &[block]).unwrap();
    let buf = map.to_bytes();
    // Damages and cuts the map at a sample of its bytes.
    for at in (0..buf.len()).step_by(9_973) {
        let mut damaged = buf.clone();
        damaged[at] ^= 1;
        assert_eq!(BlockMap::from_bytes(&damaged), Err(Error::Damaged), "byte {at}");
        assert_eq!(BlockMap::from_bytes(&buf[..at]), Err(Error::Damaged), "cut at {at}");
    }
}

#[test]
fn invalid_blocks_and_deltas_are_refused_with_the_cause() {
    let block = |net: &str, location| Block {
        net: net.parse().unwrap(),
        location: LocationIndex(location),
    };
    let build = |blocks: &[Block]| BlockMap::build(Version(1), locations(), blocks).unwrap_err();
    let unknown = block("10.0.0.0/8", LOCATION_COUNT);
    assert_eq!(build(&[unknown]), Error::NoSuchLocation(unknown.net));
    let small = block("2001:db8::/65", 0);
    assert_eq!(build(&[small]), Error::PrefixTooLong(small.net));
    let twice = block("10.0.0.0/8", 0);
    assert_eq!(build(&[twice, twice]), Error::DuplicateBlock(twice.net));
    let map = BlockMap::build(Version(3), locations(), &[]).unwrap();
    let delta = Delta { base: Version(2), next: Version(3), changes: vec![] };
    let other = Error::VersionMismatch { base: Version(2), have: Version(3) };
    assert_eq!(delta.apply(&map).unwrap_err(), other);
}
