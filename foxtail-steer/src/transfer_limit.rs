//! Limits the store facts that a host sends to other hosts at the same time.
//!
//! It answers the load of a change that all hosts of a region fetch at once: without a limit, the
//! host that they ask sends one copy to each of them over its own link, none is complete in time,
//! and its answers to callers, drains and digests wait behind the copies.

/// Rows from which a transfer is large. Smaller ones are drains and other changes that must not
/// wait for large ones.
pub const LARGE_TRANSFER_ROWS: usize = 64;

/// Rows in flight in each class. Some 60 bytes each, they take a link of 10 Mbit/s 0.15 s, so that
/// both classes together delay other messages by less than the 0.5 s after which a host counts as
/// choked.
const MAX_ROWS_IN_FLIGHT: usize = 3_000;

/// The least that a transfer counts: connection and headers take as many bytes as this many rows.
const MIN_ROWS: usize = 8;

/// The transfers that a host is sending.
#[derive(Debug, Default)]
pub struct TransferLimit {
    small: Class,
    large: Class,
}

/// The transfers of one class.
#[derive(Debug, Default)]
struct Class {
    rows: usize,
}

impl TransferLimit {
    /// Returns whether a transfer of `rows` may start now. If so, it counts until
    /// [`TransferLimit::finish`] is called with the same number of rows.
    ///
    /// A transfer that exceeds the limit by itself starts when no other one of its class is in
    /// flight.
    pub fn start(&mut self, rows: usize) -> bool {
        let class = self.class(rows);
        let rows = rows.max(MIN_ROWS);
        let admitted = class.rows == 0 || class.rows + rows <= MAX_ROWS_IN_FLIGHT;
        if admitted {
            class.rows += rows;
        }
        admitted
    }

    /// Records the end of a transfer of `rows`.
    pub fn finish(&mut self, rows: usize) {
        let class = self.class(rows);
        class.rows = class.rows.saturating_sub(rows.max(MIN_ROWS));
    }

    fn class(&mut self, rows: usize) -> &mut Class {
        if rows < LARGE_TRANSFER_ROWS { &mut self.small } else { &mut self.large }
    }
}
