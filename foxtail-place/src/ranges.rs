//! Flattens nested blocks to a sorted list of ranges.

use crate::map::SiteIndex;

/// The addresses `start..=end` and their site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Range {
    pub(crate) start: u64,
    pub(crate) end: u64,
    pub(crate) site: SiteIndex,
}

/// Flattens `blocks`, any two of which are nested or disjoint; the innermost takes precedence.
///
/// The result covers all addresses from zero to `last`: [`SiteIndex::NONE`] fills the gaps.
/// Adjacent ranges of the same site are merged.
pub(crate) fn flatten(mut blocks: Vec<Range>, last: u64) -> Vec<Range> {
    blocks.sort_by_key(|block| (block.start, std::cmp::Reverse(block.end)));
    let mut out = RangeBuilder::default();
    let mut enclosing: Vec<Range> = vec![Range { start: 0, end: last, site: SiteIndex::NONE }];
    let mut position = 0;
    for block in blocks {
        while let Some(outer) = enclosing.pop_if(|outer| outer.end < block.start) {
            out.append(position, outer.end, outer.site);
            position = position.max(outer.end + 1);
        }
        if let Some(outer) = enclosing.last().filter(|_| position < block.start) {
            out.append(position, block.start - 1, outer.site);
        }
        position = block.start;
        enclosing.push(block);
    }
    let mut done = false;
    while let Some(outer) = enclosing.pop().filter(|_| !done) {
        out.append(position, outer.end, outer.site);
        done = outer.end == last;
        position = position.max(outer.end.saturating_add(1));
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
    let mut position = 0;
    for range in ranges {
        position = range.start.max(position);
        while let Some(change) = changes.peek().copied().filter(|change| change.start <= range.end)
        {
            if position < change.start {
                out.append(position, change.start - 1, range.site);
            }
            out.append(change.start, change.end, change.site);
            changes.next();
            let Some(next) = change.end.checked_add(1) else { return out.ranges };
            position = next;
        }
        if position <= range.end {
            out.append(position, range.end, range.site);
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

/// Builds a sorted list of ranges and merges adjacent ranges of the same site.
#[derive(Debug, Default)]
struct RangeBuilder {
    ranges: Vec<Range>,
}

impl RangeBuilder {
    fn append(&mut self, start: u64, end: u64, site: SiteIndex) {
        if start > end {
            return;
        }
        match self.ranges.last_mut().filter(|last| last.site == site) {
            Some(last) => last.end = end,
            None => self.ranges.push(Range { start, end, site }),
        }
    }
}
