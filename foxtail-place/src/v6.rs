//! The look-up table for IPv6: chunks of adjacent ranges of the upper 64 bits of an address.

use std::net::Ipv6Addr;
use std::sync::Arc;

use foxtail_types::prelude::*;

use crate::map::LocationIndex;
use crate::ranges::{Range, clip, overlay};

/// The maximum number of ranges in a chunk.
const MAX_CHUNK_RANGES: usize = 256;

/// The table of all IPv6 addresses.
#[value]
pub(crate) struct V6Table {
    /// The start of the first range of each chunk.
    firsts: Vec<u64>,
    chunks: Vec<Arc<Chunk>>,
}

/// Adjacent ranges: their starts and their locations.
#[value]
struct Chunk {
    starts: Vec<u64>,
    locations: Vec<LocationIndex>,
}

impl V6Table {
    /// Compiles `ranges`, which cover all addresses.
    pub(crate) fn build(ranges: &[Range]) -> Self {
        let mut out = Self { firsts: Vec::new(), chunks: Vec::new() };
        out.push_chunks(ranges);
        out
    }

    /// Returns the table with `changes` applied. Chunks without a change are shared.
    pub(crate) fn with_changes(&self, changes: &[Range]) -> Self {
        let mut out = Self { firsts: Vec::new(), chunks: Vec::new() };
        for (index, old) in self.chunks.iter().enumerate() {
            let last = self.firsts.get(index + 1).map_or(u64::MAX, |next| next - 1);
            let mut changes = clip(changes, self.firsts[index], last).peekable();
            if changes.peek().is_none() {
                out.firsts.push(self.firsts[index]);
                out.chunks.push(Arc::clone(old));
            } else {
                out.push_chunks(&overlay(old.ranges(last), changes));
            }
        }
        out
    }

    pub(crate) fn find(&self, addr: Ipv6Addr) -> LocationIndex {
        let key = (addr.to_bits() >> 64) as u64;
        let chunk = self.firsts.partition_point(|&start| start <= key) - 1;
        self.chunks[chunk].find(key)
    }

    pub(crate) fn range_count(&self) -> usize {
        self.chunks.iter().map(|chunk| chunk.starts.len()).sum()
    }

    pub(crate) fn memory_bytes(&self) -> usize {
        let chunk_bytes = |chunk: &Arc<Chunk>| {
            size_of::<Chunk>()
                + chunk.starts.capacity() * size_of::<u64>()
                + chunk.locations.capacity() * size_of::<LocationIndex>()
        };
        let chunks: usize = self.chunks.iter().map(chunk_bytes).sum();
        chunks + self.firsts.capacity() * size_of::<u64>()
    }

    /// Returns whether a deserialized table is consistent, so that every look-up finds a range.
    pub(crate) fn is_valid(&self) -> bool {
        let firsts = self.chunks.iter().map(|chunk| chunk.starts.first().copied());
        let starts = self.chunks.iter().flat_map(|chunk| &chunk.starts);
        self.firsts.first() == Some(&0)
            && self.firsts.iter().map(|&first| Some(first)).eq(firsts)
            && self.chunks.iter().all(|chunk| chunk.starts.len() == chunk.locations.len())
            && starts.clone().zip(starts.skip(1)).all(|(a, b)| a < b)
    }

    fn push_chunks(&mut self, ranges: &[Range]) {
        for ranges in ranges.chunks(MAX_CHUNK_RANGES) {
            self.firsts.push(ranges[0].start);
            let starts = ranges.iter().map(|range| range.start).collect();
            let locations = ranges.iter().map(|range| range.location).collect();
            self.chunks.push(Arc::new(Chunk { starts, locations }));
        }
    }
}

impl Chunk {
    fn find(&self, key: u64) -> LocationIndex {
        self.locations[self.starts.partition_point(|&start| start <= key) - 1]
    }

    /// Returns the ranges of the chunk, whose last address is `last`.
    fn ranges(&self, last: u64) -> impl Iterator<Item = Range> + '_ {
        (0..self.starts.len()).map(move |index| {
            let end = self.starts.get(index + 1).map_or(last, |next| next - 1);
            Range { start: self.starts[index], end, location: self.locations[index] }
        })
    }
}
