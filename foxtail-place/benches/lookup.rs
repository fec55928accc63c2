//! Measures one look-up in the block map, at today's size and at the target size.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};

use criterion::Criterion;
use foxtail_place::{Block, BlockMap, Location, LocationIndex};
use foxtail_types::prelude::*;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};

/// The name of each size, with its numbers of blocks, locations and regions.
const SIZES: [(&str, usize, usize, usize); 2] =
    [("today", 3_000, 6, 3), ("target", 1_900_000, 730, 20)];
/// The number of addresses looked up in turn: too many for the processor's caches to hold them all.
const ADDRESS_COUNT: usize = 1 << 16;
/// One block out of this number is IPv6.
const BLOCKS_PER_V6_BLOCK: usize = 5;

/// Spreads `x` over all 64 bits with the finalizer of SplitMix64.
fn mix_bits(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

fn region(index: usize) -> RegionId {
    RegionId::new(&format!("region-{index}")).expect("a valid name")
}

fn zone(region: usize, index: usize) -> ZoneId {
    ZoneId::new(&format!("zone-{region}-{index}")).expect("a valid name")
}

fn block_net(index: usize, blocks: usize) -> IpNet {
    if index.is_multiple_of(BLOCKS_PER_V6_BLOCK) {
        let bits = u128::from(0x2000_0000_0000_u64 + 3 * index as u64) << 80;
        return Ipv6Net::new_assert(bits.into(), 48).into();
    }
    let step = (1_usize << 24) / blocks;
    Ipv4Net::new_assert(Ipv4Addr::from_bits(((index * step) as u32) << 8), 24).into()
}

fn build_map(blocks: usize, locations: usize, regions: usize) -> BlockMap {
    let location = |index: usize| Location {
        region: region(index % regions),
        zone: Some(zone(index % regions, 0)),
    };
    let locations: Vec<Location> = (0..locations).map(location).collect();
    let block = |index: usize| {
        let location = LocationIndex((mix_bits(index as u64) % locations.len() as u64) as u16);
        Block { net: block_net(index, blocks), location }
    };
    let blocks: Vec<Block> = (0..blocks).map(block).collect();
    BlockMap::build(Version(1), locations, &blocks).expect("the blocks are valid")
}

fn block_addresses(blocks: usize) -> Vec<IpAddr> {
    let addr = |n: usize| match block_net(mix_bits(n as u64) as usize % blocks, blocks) {
        IpNet::V4(net) => IpAddr::V4(Ipv4Addr::from_bits(net.network().to_bits() + 7)),
        IpNet::V6(net) => IpAddr::V6((net.network().to_bits() + 7).into()),
    };
    (0..ADDRESS_COUNT).map(addr).collect()
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let c = &mut criterion;
    // `cargo bench` passes `--bench`. Without it, as in `cargo test`, the maps are kept small.
    let testing = !std::env::args().any(|arg| arg == "--bench");
    for (name, blocks, locations, regions) in SIZES {
        let blocks = if testing { blocks.min(10_000) } else { blocks };
        let map = build_map(blocks, locations, regions);
        let addrs = block_addresses(blocks);
        let mut next = 0;
        let mut addr = move || {
            next = (next + 1) % ADDRESS_COUNT;
            addrs[next]
        };
        c.bench_function(&format!("block/{name}"), |b| {
            b.iter(|| black_box(map.find(black_box(addr()))).is_some());
        });
    }
    criterion.final_summary();
}
