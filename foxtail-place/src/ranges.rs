//! Flattening of nested blocks into a sorted run of ranges.

use crate::map::SiteIndex;

/// The addresses `start..=end`, and where they belong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Range {
    pub(crate) start: u64,
    pub(crate) end: u64,
    pub(crate) site: SiteIndex,
}

/// Flattens `blocks`, in which two either nest or are apart, so that the innermost one wins.
///
/// The result covers the whole space up to `last` from zero on: [`SiteIndex::NONE`] fills the
/// gaps. Ranges that meet and belong to the same site become one.
pub(crate) fn flatten(mut blocks: Vec<Range>, last: u64) -> Vec<Range> {
    blocks.sort_by_key(|block| (block.start, std::cmp::Reverse(block.end)));
    let mut out = Sorted::default();
    let mut open: Vec<Range> = vec![Range { start: 0, end: last, site: SiteIndex::NONE }];
    let mut at = 0;
    for block in blocks {
        while let Some(top) = open.pop_if(|top| top.end < block.start) {
            out.cover(at, top.end, top.site);
            at = at.max(top.end + 1);
        }
        if let Some(top) = open.last().filter(|_| at < block.start) {
            out.cover(at, block.start - 1, top.site);
        }
        at = block.start;
        open.push(block);
    }
    let mut done = false;
    while let Some(top) = open.pop().filter(|_| !done) {
        out.cover(at, top.end, top.site);
        done = top.end == last;
        at = at.max(top.end.saturating_add(1));
    }
    out.ranges
}

/// Lays `changes`, sorted and apart, over `ranges`, sorted and without gaps.
pub(crate) fn overlay(
    ranges: impl Iterator<Item = Range>,
    changes: impl Iterator<Item = Range>,
) -> Vec<Range> {
    let mut out = Sorted::default();
    let mut changes = changes.peekable();
    let mut at = 0;
    for range in ranges {
        at = range.start.max(at);
        while let Some(change) = changes.peek().copied().filter(|it| it.start <= range.end) {
            if at < change.start {
                out.cover(at, change.start - 1, range.site);
            }
            out.cover(change.start, change.end, change.site);
            changes.next();
            let Some(next) = change.end.checked_add(1) else { return out.ranges };
            at = next;
        }
        if at <= range.end {
            out.cover(at, range.end, range.site);
        }
    }
    out.ranges
}

/// The part of sorted `ranges` that lies within `first..=last`.
pub(crate) fn clip(ranges: &[Range], first: u64, last: u64) -> impl Iterator<Item = Range> + '_ {
    let from = ranges.partition_point(|it| it.end < first);
    let to = ranges.partition_point(|it| it.start <= last);
    ranges[from..to.max(from)].iter().map(move |it| Range {
        start: it.start.max(first),
        end: it.end.min(last),
        ..*it
    })
}

/// A run of ranges that grows at its end.
#[derive(Debug, Default)]
struct Sorted {
    ranges: Vec<Range>,
}

impl Sorted {
    fn cover(&mut self, start: u64, end: u64, site: SiteIndex) {
        if start > end {
            return;
        }
        match self.ranges.last_mut().filter(|last| last.site == site) {
            Some(last) => last.end = end,
            None => self.ranges.push(Range { start, end, site }),
        }
    }
}
