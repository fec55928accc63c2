//! The look-up table for IPv4: one chunk per /8.

use std::net::Ipv4Addr;
use std::sync::Arc;

use foxtail_types::prelude::*;

use crate::map::LocationIndex;
use crate::ranges::{Range, clip, overlay};

/// The number of chunks: one for each value of an address's first byte.
const CHUNK_COUNT: usize = 256;
/// The number of address bits within a chunk.
const BITS_BELOW_CHUNK: u32 = 24;
/// The number of values of an address's second byte.
const SECOND_BYTE_COUNT: usize = 256;

/// The table of all IPv4 addresses.
#[value]
pub(crate) struct V4Table {
    chunks: Vec<Arc<Chunk>>,
}

/// The addresses of one /8.
#[value]
struct Chunk {
    /// For each value of the second byte, the index in `ranges` of its first range. The last entry
    /// is the length of `ranges`.
    index: Vec<u32>,
    /// The lower 16 bits of the start of each range, next to its location so that a look-up reads
    /// both from one place in memory. The first start of each second byte is zero.
    ranges: Vec<(u16, LocationIndex)>,
}

impl V4Table {
    /// Compiles `ranges`, which cover all addresses.
    pub(crate) fn build(ranges: &[Range]) -> Self {
        let chunk =
            |index| Arc::new(Chunk::from_ranges(clip(ranges, first_addr(index), last_addr(index))));
        Self { chunks: (0..CHUNK_COUNT).map(chunk).collect() }
    }

    /// Returns the table with `changes` applied. Chunks without a change are shared.
    pub(crate) fn with_changes(&self, changes: &[Range]) -> Self {
        let chunk = |(index, old): (usize, &Arc<Chunk>)| {
            let mut changes = clip(changes, first_addr(index), last_addr(index)).peekable();
            if changes.peek().is_none() {
                return Arc::clone(old);
            }
            Arc::new(Chunk::from_ranges(
                overlay(old.ranges(first_addr(index)), changes).into_iter(),
            ))
        };
        Self { chunks: self.chunks.iter().enumerate().map(chunk).collect() }
    }

    pub(crate) fn find(&self, addr: Ipv4Addr) -> LocationIndex {
        let [chunk, second, ..] = addr.octets();
        self.chunks[usize::from(chunk)].find(second, addr.to_bits() as u16)
    }

    pub(crate) fn range_count(&self) -> usize {
        self.chunks.iter().map(|chunk| chunk.ranges.len()).sum()
    }

    pub(crate) fn memory_bytes(&self) -> usize {
        let chunk_bytes = |chunk: &Arc<Chunk>| {
            size_of::<Chunk>()
                + chunk.index.capacity() * size_of::<u32>()
                + chunk.ranges.capacity() * size_of::<(u16, LocationIndex)>()
        };
        self.chunks.iter().map(chunk_bytes).sum()
    }

    /// Returns whether a deserialized table is consistent, so that every look-up finds a range.
    pub(crate) fn is_valid(&self) -> bool {
        self.chunks.len() == CHUNK_COUNT && self.chunks.iter().all(|chunk| chunk.is_valid())
    }
}

impl Chunk {
    fn from_ranges(ranges: impl Iterator<Item = Range>) -> Self {
        let mut out = Self { index: Vec::with_capacity(SECOND_BYTE_COUNT + 1), ranges: Vec::new() };
        ranges.for_each(|range| out.push(range));
        out.index.push(out.ranges.len() as u32);
        out.ranges.shrink_to_fit();
        out
    }

    /// Appends a range, split at each second byte that it extends into.
    fn push(&mut self, range: Range) {
        let second_byte = |addr: u64| (addr >> 16) as u8;
        for second in second_byte(range.start)..=second_byte(range.end) {
            let is_first_range = self.index.len() == usize::from(second);
            if is_first_range {
                self.index.push(self.ranges.len() as u32);
            } else if self.ranges.last().is_some_and(|(_, location)| *location == range.location) {
                continue;
            }
            let starts_here = second == second_byte(range.start);
            self.ranges.push((if starts_here { range.start as u16 } else { 0 }, range.location));
        }
    }

    fn find(&self, second: u8, lower: u16) -> LocationIndex {
        let from = self.index[usize::from(second)] as usize;
        let to = self.index[usize::from(second) + 1] as usize;
        let ranges = &self.ranges[from..to];
        ranges[ranges.partition_point(|&(start, _)| start <= lower) - 1].1
    }

    /// Returns the ranges of the chunk, whose first address is `first`.
    fn ranges(&self, first: u64) -> impl Iterator<Item = Range> + '_ {
        (0..SECOND_BYTE_COUNT).flat_map(move |second| {
            let from = self.index[second] as usize;
            let to = self.index[second + 1] as usize;
            (from..to).map(move |index| {
                let base = first + ((second as u64) << 16);
                let (lower, location) = self.ranges[index];
                let next =
                    if index + 1 < to { u64::from(self.ranges[index + 1].0) } else { 1 << 16 };
                Range { start: base + u64::from(lower), end: base + next - 1, location }
            })
        })
    }

    fn is_valid(&self) -> bool {
        let is_complete = self.index.len() == SECOND_BYTE_COUNT + 1
            && self.index.last() == Some(&(self.ranges.len() as u32));
        is_complete
            && self.index.windows(2).all(|pair| pair[0] < pair[1])
            && self.index[..SECOND_BYTE_COUNT]
                .iter()
                .all(|&start| self.ranges[start as usize].0 == 0)
    }
}

fn first_addr(chunk: usize) -> u64 {
    (chunk as u64) << BITS_BELOW_CHUNK
}

fn last_addr(chunk: usize) -> u64 {
    first_addr(chunk + 1) - 1
}
