//! Flattens nested blocks to a sorted list of ranges.

use crate::map::LocationIndex;

/// The addresses `start..=end` and their location. IPv6 addresses are given by their upper 64 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Range {
    pub(crate) start: u64,
    pub(crate) end: u64,
    pub(crate) location: LocationIndex,
}

/// Flattens `blocks`, any two of which are nested or disjoint; the innermost takes precedence.
///
/// The result covers all addresses from zero to `last`: [`LocationIndex::NONE`] fills the gaps.
/// Adjacent ranges of the same location are merged.
pub(crate) fn flatten(mut blocks: Vec<Range>, last: u64) -> Vec<Range> {
    blocks.sort_by_key(|block| (block.start, std::cmp::Reverse(block.end)));
    let mut out = RangeBuilder::default();
    let mut enclosing: Vec<Range> =
        vec![Range { start: 0, end: last, location: LocationIndex::NONE }];
    // The first address that no range of the result covers yet.
    let mut next_start = 0;
    for block in blocks {
        while let Some(outer) = enclosing.pop_if(|outer| outer.end < block.start) {
            out.append(next_start, outer.end, outer.location);
            next_start = next_start.max(outer.end + 1);
        }
        if let Some(outer) = enclosing.last().filter(|_| next_start < block.start) {
            out.append(next_start, block.start - 1, outer.location);
        }
        next_start = block.start;
        enclosing.push(block);
    }
    // If `last` is `u64::MAX`, `next_start` can't exceed it, so `done` ends the loop instead.
    let mut done = false;
    while let Some(outer) = enclosing.pop().filter(|_| !done) {
        out.append(next_start, outer.end, outer.location);
        done = outer.end == last;
        next_start = next_start.max(outer.end.saturating_add(1));
    }
    out.ranges
}

/// Replaces the parts of `ranges` that `changes` cover. Both are sorted; `ranges` have no gaps, and
/// `changes` are disjoint.
pub(crate) fn overlay(
    ranges: impl Iterator<Item = Range>,
    changes: impl Iterator<Item = Range>,
) -> Vec<Range> {
    let mut out = RangeBuilder::default();
    let mut changes = changes.peekable();
    let mut next_start = 0;
    for range in ranges {
        next_start = range.start.max(next_start);
        while let Some(change) = changes.peek().copied().filter(|change| change.start <= range.end)
        {
            if next_start < change.start {
                out.append(next_start, change.start - 1, range.location);
            }
            out.append(change.start, change.end, change.location);
            changes.next();
            let Some(next) = change.end.checked_add(1) else { return out.ranges };
            next_start = next;
        }
        if next_start <= range.end {
            out.append(next_start, range.end, range.location);
        }
    }
    out.ranges
}

/// Returns the parts of the sorted `ranges` that lie within `first..=last`.
pub(crate) fn clip(ranges: &[Range], first: u64, last: u64) -> impl Iterator<Item = Range> + '_ {
    let from = ranges.partition_point(|range| range.end < first);
    let to = ranges.partition_point(|range| range.start <= last);
    ranges[from..to.max(from)].iter().map(move |range| Range {
        start: range.start.max(first),
        end: range.end.min(last),
        ..*range
    })
}

/// Builds a sorted list of ranges and merges adjacent ranges of the same location.
#[derive(Debug, Default)]
struct RangeBuilder {
    ranges: Vec<Range>,
}

impl RangeBuilder {
    fn append(&mut self, start: u64, end: u64, location: LocationIndex) {
        if start > end {
            return;
        }
        match self.ranges.last_mut().filter(|last| last.location == location) {
            Some(last) => last.end = end,
            None => self.ranges.push(Range { start, end, location }),
        }
    }
}
