//! The tables for IPv4: one chunk for each /8.

use std::net::Ipv4Addr;
use std::sync::Arc;

use foxtail_types::prelude::*;

use crate::map::SiteIndex;
use crate::ranges::{Range, clip, overlay};

/// Chunks, one for each upper byte of an address.
const CHUNKS: usize = 256;
/// The bits of an address below its chunk.
const CHUNK_BITS: u32 = 24;
/// Second bytes of an address.
const SECONDS: usize = 256;

/// All IPv4 addresses.
#[value]
pub(crate) struct V4 {
    chunks: Vec<Arc<Chunk>>,
}

/// The addresses of one /8.
#[value]
struct Chunk {
    /// For each second byte, where its ranges begin; one more entry for the end.
    index: Vec<u32>,
    /// The lower halves of the starts, each with its site beside it, so that a look-up touches one
    /// piece of memory. The first of each second byte is zero.
    ranges: Vec<(u16, SiteIndex)>,
}

impl V4 {
    /// Compiles `ranges`, which cover the whole space.
    pub(crate) fn build(ranges: &[Range]) -> Self {
        let chunk = |at| Arc::new(Chunk::collect(clip(ranges, first(at), last(at))));
        Self { chunks: (0..CHUNKS).map(chunk).collect() }
    }

    /// The tables with `changes` laid over them. Chunks without a change are shared.
    pub(crate) fn with(&self, changes: &[Range]) -> Self {
        let chunk = |(at, old): (usize, &Arc<Chunk>)| {
            let mut changes = clip(changes, first(at), last(at)).peekable();
            if changes.peek().is_none() {
                return Arc::clone(old);
            }
            Arc::new(Chunk::collect(overlay(old.ranges(first(at)), changes).into_iter()))
        };
        Self { chunks: self.chunks.iter().enumerate().map(chunk).collect() }
    }

    pub(crate) fn find(&self, addr: Ipv4Addr) -> SiteIndex {
        let [chunk, second, ..] = addr.octets();
        self.chunks[usize::from(chunk)].find(second, addr.to_bits() as u16)
    }

    pub(crate) fn ranges(&self) -> usize {
        self.chunks.iter().map(|chunk| chunk.ranges.len()).sum()
    }

    pub(crate) fn memory_bytes(&self) -> usize {
        let chunk = |it: &Arc<Chunk>| {
            size_of::<Chunk>()
                + it.index.capacity() * size_of::<u32>()
                + it.ranges.capacity() * size_of::<(u16, SiteIndex)>()
        };
        self.chunks.iter().map(chunk).sum()
    }

    /// Whether look-ups will find their way through tables that were read.
    pub(crate) fn is_sound(&self) -> bool {
        self.chunks.len() == CHUNKS && self.chunks.iter().all(|chunk| chunk.is_sound())
    }
}

impl Chunk {
    fn collect(ranges: impl Iterator<Item = Range>) -> Self {
        let mut out = Self { index: Vec::with_capacity(SECONDS + 1), ranges: Vec::new() };
        ranges.for_each(|range| out.push(range));
        out.index.push(out.ranges.len() as u32);
        out.ranges.shrink_to_fit();
        out
    }

    /// Adds a range at the end, once more for each further second byte that it reaches into.
    fn push(&mut self, range: Range) {
        let second = |addr: u64| (addr >> 16) as u8;
        for at in second(range.start)..=second(range.end) {
            let opens = self.index.len() == usize::from(at);
            if opens {
                self.index.push(self.ranges.len() as u32);
            } else if self.ranges.last().is_some_and(|(_, site)| *site == range.site) {
                continue;
            }
            let begins = at == second(range.start);
            self.ranges.push((if begins { range.start as u16 } else { 0 }, range.site));
        }
    }

    fn find(&self, second: u8, lower: u16) -> SiteIndex {
        let from = self.index[usize::from(second)] as usize;
        let to = self.index[usize::from(second) + 1] as usize;
        let ranges = &self.ranges[from..to];
        ranges[ranges.partition_point(|&(start, _)| start <= lower) - 1].1
    }

    fn ranges(&self, first: u64) -> impl Iterator<Item = Range> + '_ {
        (0..SECONDS).flat_map(move |second| {
            let from = self.index[second] as usize;
            let to = self.index[second + 1] as usize;
            (from..to).map(move |at| {
                let base = first + ((second as u64) << 16);
                let (lower, site) = self.ranges[at];
                let next = if at + 1 < to { u64::from(self.ranges[at + 1].0) } else { 1 << 16 };
                Range { start: base + u64::from(lower), end: base + next - 1, site }
            })
        })
    }

    fn is_sound(&self) -> bool {
        let whole = self.index.len() == SECONDS + 1
            && self.index.last() == Some(&(self.ranges.len() as u32));
        whole
            && self.index.windows(2).all(|pair| pair[0] < pair[1])
            && self.index[..SECONDS].iter().all(|&at| self.ranges[at as usize].0 == 0)
    }
}

fn first(chunk: usize) -> u64 {
    (chunk as u64) << CHUNK_BITS
}

fn last(chunk: usize) -> u64 {
    first(chunk + 1) - 1
}
