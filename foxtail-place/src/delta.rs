//! Changes between two versions of a block map.

use foxtail_types::prelude::*;
use ipnet::IpNet;

use crate::map::{BlockMap, Error, LocationIndex, checked_range};
use crate::ranges::Range;

/// The changes that turn one version of a map into the next.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delta {
    /// The version of the map that the delta applies to.
    pub base: Version,
    /// The version of the map after the delta.
    pub next: Version,
    /// The changes, applied in order.
    pub changes: Vec<Change>,
}

/// A change of a block: assigns all its addresses, those of inner blocks included, to a location.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Change {
    /// The addresses of the block.
    pub net: IpNet,
    /// The new location; `None` removes the addresses from the map.
    pub location: Option<LocationIndex>,
}

impl Delta {
    /// Returns the map after this delta. `map` does not change, since look-ups may still use it.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the delta applies to another version or a change is invalid.
    pub fn apply(&self, map: &BlockMap) -> Result<BlockMap, Error> {
        if self.base != map.version() {
            return Err(Error::VersionMismatch { base: self.base, have: map.version() });
        }
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for change in &self.changes {
            let range = checked_range(map.locations(), change.net, change.location)?;
            let family = if matches!(change.net, IpNet::V4(_)) { &mut v4 } else { &mut v6 };
            insert_change(family, range);
        }
        Ok(map.with_changes(self.next, &v4, &v6))
    }
}

/// Adds `range` to `changes`, which are sorted and disjoint, and replaces the parts that it covers.
///
/// Two blocks are nested or disjoint, so an earlier range that encloses `range` is split around it.
fn insert_change(changes: &mut Vec<Range>, range: Range) {
    let from = changes.partition_point(|change| change.end < range.start);
    let to = changes.partition_point(|change| change.start <= range.end);
    let mut replacement = Vec::with_capacity(3);
    if let Some(first) = changes.get(from).filter(|change| from < to && change.start < range.start)
    {
        replacement.push(Range { end: range.start - 1, ..*first });
    }
    replacement.push(range);
    if let Some(last) = changes[from..to].last().filter(|change| change.end > range.end) {
        replacement.push(Range { start: range.end + 1, ..*last });
    }
    changes.splice(from..to, replacement);
}
