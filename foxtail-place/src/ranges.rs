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
    changes: &[Range],
    mut emit: impl FnMut(Range),
) {
    let mut changes = changes.iter().copied().peekable();
    let mut at = 0;
    for range in ranges {
        at = range.start.max(at);
        while let Some(change) = changes.peek().copied().filter(|it| it.start <= range.end) {
            if at < change.start {
                emit(Range { start: at, end: change.start - 1, site: range.site });
            }
            emit(change);
            changes.next();
            let Some(next) = change.end.checked_add(1) else { return };
            at = next;
        }
        if at <= range.end {
            emit(Range { start: at, end: range.end, site: range.site });
        }
    }
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
