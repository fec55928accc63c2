//! The birth below which keys are collected, and its row.

use foxtail_platform::table::{Change, Expect, Row, Write};
use foxtail_types::prelude::*;

/// The key of the fence's row.
pub const FENCE_ROW_KEY: &str = "once-fence";

/// The fence as last seen. Every transaction with a claim checks that it has not moved, so that a
/// key whose row was collected is never claimed again, whatever the hosts' wall clocks say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    version: Option<u64>,
    below: Millis,
}

impl Fence {
    /// The fence before anything was collected.
    pub const fn initial() -> Self {
        Self { version: None, below: Millis::ZERO }
    }

    /// The fence in `row`.
    pub fn from_row(row: Option<&Row>) -> Self {
        let below = row.and_then(|row| std::str::from_utf8(&row.value).ok()?.parse().ok());
        Self { version: row.map(|row| row.version), below: Millis(below.unwrap_or(0)) }
    }

    /// Whether the row of a key born at `born` may have been collected.
    pub fn excludes(&self, born: Millis) -> bool {
        born < self.below
    }

    /// Keys born before this are collected.
    pub fn below(&self) -> Millis {
        self.below
    }

    /// The check that the fence has not moved.
    pub(crate) fn check_write(&self) -> Write {
        self.write(Change::Keep)
    }

    /// Moves the fence to `below`.
    pub(crate) fn raise_write(&self, below: Millis) -> Write {
        assert!(below >= self.below, "the fence only rises");
        self.write(Change::Put(below.0.to_string().into_bytes()))
    }

    fn write(&self, change: Change) -> Write {
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        Write { key: FENCE_ROW_KEY.to_owned(), expect, change }
    }
}
