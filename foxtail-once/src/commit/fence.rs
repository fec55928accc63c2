//! The fence: the creation time below which the rows of keys are collected, and the row that stores
//! it.

use foxtail_platform::table::{Change, Expect, Row, Write};
use foxtail_types::prelude::*;

/// Key of the row that stores the fence.
pub const FENCE_ROW_KEY: &str = "once-fence";

/// The fence as last read. Every transaction with a claim checks that the fence has not moved, so
/// that a key whose row was collected is never claimed again, even by a host whose wall clock is
/// wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    version: Option<u64>,
    below: Millis,
}

impl Fence {
    /// Returns the fence before the first collection, when its row does not exist.
    pub const fn initial() -> Self {
        Self { version: None, below: Millis::ZERO }
    }

    /// Returns the fence that `row` stores.
    pub fn from_row(row: Option<&Row>) -> Self {
        let below = row.and_then(|row| std::str::from_utf8(&row.value).ok()?.parse().ok());
        Self { version: row.map(|row| row.version), below: Millis(below.unwrap_or(0)) }
    }

    /// Returns whether the row of a key created at `key_created_at` may have been collected.
    pub fn excludes(&self, key_created_at: Millis) -> bool {
        key_created_at < self.below
    }

    /// Returns the creation time below which keys are collected.
    pub fn below(&self) -> Millis {
        self.below
    }

    /// Returns a write that changes nothing and fails if the fence has moved.
    pub(crate) fn check_write(&self) -> Write {
        self.write(Change::Keep)
    }

    /// Returns the write that moves the fence to `below`.
    pub(crate) fn raise_write(&self, below: Millis) -> Write {
        assert!(below >= self.below, "the fence must not move to an earlier creation time");
        self.write(Change::Put(below.0.to_string().into_bytes()))
    }

    fn write(&self, change: Change) -> Write {
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        Write { key: FENCE_ROW_KEY.to_owned(), expect, change }
    }
}
