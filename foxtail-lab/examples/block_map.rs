//! Prints the memory of the block map and its look-ups a second, by the number of blocks, with the
//! fit: `cargo run --release --example block_map`.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

use foxtail_place::delta::{Change, Delta};
use foxtail_place::{Block, BlockMap, Site, SiteIndex};
use foxtail_types::prelude::*;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The numbers of blocks.
const BLOCKS: [usize; 3] = [100_000, 500_000, 1_900_000];
/// Sites and regions at the target size.
const SITES: usize = 730;
const REGIONS: usize = 20;
/// Addresses that are looked up in turn.
const ADDRS: usize = 1 << 18;
/// Rounds over all addresses; the median round counts.
const ROUNDS: usize = 9;
/// One block in so many is IPv6.
const V6_EVERY: usize = 5;
/// Changes of one delta.
const CHANGES: usize = 100;

/// What was measured at one size.
struct Row {
    blocks: usize,
    ranges: usize,
    memory_bytes: usize,
    object_bytes: usize,
    look_up_ns: f64,
    delta_ms: f64,
}

#[allow(clippy::print_stdout, reason = "the table is this program's output")]
fn main() -> anyhow::Result<()> {
    println!("   blocks    ranges  memory MB  object MB  ns a look-up  M look-ups/s  delta ms");
    let mut rows = Vec::new();
    for blocks in BLOCKS {
        let row = measure(blocks)?;
        println!(
            "{:>9} {:>9} {:>10.2} {:>10.2} {:>13.1} {:>13.2} {:>9.1}",
            row.blocks,
            row.ranges,
            mega(row.memory_bytes),
            mega(row.object_bytes),
            row.look_up_ns,
            1_000.0 / row.look_up_ns,
            row.delta_ms,
        );
        rows.push(row);
    }
    let memory = fit(&rows, |row| row.memory_bytes as f64);
    println!("memory = {:.0} bytes + {:.2} bytes a block", memory.0, memory.1);
    let delta = fit(&rows, |row| row.delta_ms * 1e6);
    println!("a delta = {:.2} ms + {:.2} ns a block", delta.0 / 1e6, delta.1);
    Ok(())
}

fn measure(count: usize) -> anyhow::Result<Row> {
    let mut rng = SmallRng::seed_from_u64(1);
    let list = blocks(&mut rng, count);
    let map = BlockMap::build(Version(1), sites()?, &list)?;
    let addrs: Vec<IpAddr> = (0..ADDRS).map(|_| inside(&mut rng, &list)).collect();
    let mut rounds: Vec<f64> = (0..ROUNDS).map(|_| round(&map, &addrs)).collect();
    rounds.sort_by(f64::total_cmp);
    Ok(Row {
        blocks: count,
        ranges: map.ranges(),
        memory_bytes: map.memory_bytes(),
        object_bytes: map.to_bytes().len(),
        look_up_ns: rounds[ROUNDS / 2],
        delta_ms: delta_ms(&mut rng, &map, &list)?,
    })
}

fn sites() -> anyhow::Result<Vec<Site>> {
    let site = |at: usize| {
        let region = RegionId::new(&format!("region-{}", at % REGIONS))?;
        Ok(Site { region, zone: None })
    };
    (0..SITES).map(site).collect()
}

/// Blocks spread over the address space with gaps between many of them.
fn blocks(rng: &mut SmallRng, count: usize) -> Vec<Block> {
    let step = (1 << 24) / count;
    let block = |at: usize| {
        let net = if at.is_multiple_of(V6_EVERY) {
            let bits = u128::from(0x2000_0000_0000_u64 + 3 * at as u64) << 80;
            IpNet::V6(Ipv6Net::new_assert(bits.into(), 48))
        } else {
            let bits = ((at * step + rng.random_range(0..step)) as u32) << 8;
            IpNet::V4(Ipv4Net::new_assert(Ipv4Addr::from_bits(bits), 24))
        };
        Block { net, site: SiteIndex(rng.random_range(0..SITES) as u16) }
    };
    (0..count).map(block).collect()
}

fn inside(rng: &mut SmallRng, list: &[Block]) -> IpAddr {
    match list[rng.random_range(0..list.len())].net {
        IpNet::V4(net) => Ipv4Addr::from_bits(net.network().to_bits() + 9).into(),
        IpNet::V6(net) => IpAddr::V6((net.network().to_bits() + 9).into()),
    }
}

/// Nanoseconds a look-up over all of `addrs`.
fn round(map: &BlockMap, addrs: &[IpAddr]) -> f64 {
    let start = Instant::now();
    let found = addrs.iter().filter(|addr| map.find(black_box(**addr)).is_some()).count();
    let took = start.elapsed();
    assert_eq!(black_box(found), addrs.len(), "each address is in a block");
    took.as_nanos() as f64 / addrs.len() as f64
}

fn delta_ms(rng: &mut SmallRng, map: &BlockMap, list: &[Block]) -> anyhow::Result<f64> {
    let change = |_| {
        let net = list[rng.random_range(0..list.len())].net;
        Change { net, site: Some(SiteIndex(0)) }
    };
    let changes = (0..CHANGES).map(change).collect();
    let delta = Delta { base: map.version(), next: map.version().next(), changes };
    let start = Instant::now();
    black_box(delta.apply(map)?);
    Ok(start.elapsed().as_secs_f64() * 1e3)
}

/// The straight line through the rows, by least squares: its start and its slope a block.
fn fit(rows: &[Row], value: impl Fn(&Row) -> f64) -> (f64, f64) {
    let n = rows.len() as f64;
    let mean_x = rows.iter().map(|row| row.blocks as f64).sum::<f64>() / n;
    let mean_y = rows.iter().map(&value).sum::<f64>() / n;
    let above = |row: &Row| (row.blocks as f64 - mean_x) * (value(row) - mean_y);
    let below = |row: &Row| (row.blocks as f64 - mean_x).powi(2);
    let slope = rows.iter().map(above).sum::<f64>() / rows.iter().map(below).sum::<f64>();
    (mean_y - slope * mean_x, slope)
}

fn mega(bytes: usize) -> f64 {
    bytes as f64 / 1e6
}
