//! What can go wrong, and what was done.

use foxtail_types::prelude::*;

/// The faults in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Whether the platform is down.
    pub down: Option<Outage>,
    /// Added before each operation, and again before its reply.
    pub added_delay: Millis,
    /// Of 1,000 commits that took effect, how many lose their reply.
    pub lose_replies_per_mille: u32,
    /// How many of the next commits that take effect lose their reply.
    pub lose_next_replies: u32,
}

/// How the platform is down.
#[id]
pub enum Outage {
    /// It answers that it can't.
    Refuse,
    /// It does not answer. What was sent takes effect when it is back.
    Hang,
}

/// The rates above which operations are refused.
#[id]
pub struct RateLimits {
    /// Write operations a second.
    pub writes_per_s: u32,
    /// Read operations a second.
    pub reads_per_s: u32,
    /// Whether each row of a transaction counts, rather than the transaction.
    pub by_rows: bool,
}

/// Operations that took effect, by kind, and refusals.
#[value]
#[derive(Copy, Default)]
pub struct Counts {
    /// Transactions committed.
    pub commits: u64,
    /// Rows written by them.
    pub rows_written: u64,
    /// Transactions refused by a precondition.
    pub conflicts: u64,
    /// Reads of single rows, by call.
    pub reads: u64,
    /// Reads of ranges.
    pub scans: u64,
    /// Objects stored.
    pub puts: u64,
    /// Objects read.
    pub gets: u64,
    /// Operations refused because of the rates.
    pub throttled: u64,
    /// Operations refused because the platform was down.
    pub down: u64,
    /// Replies lost.
    pub replies_lost: u64,
}

impl Counts {
    /// What was done since `earlier`.
    pub fn since(&self, earlier: &Counts) -> Counts {
        Counts {
            commits: self.commits - earlier.commits,
            rows_written: self.rows_written - earlier.rows_written,
            conflicts: self.conflicts - earlier.conflicts,
            reads: self.reads - earlier.reads,
            scans: self.scans - earlier.scans,
            puts: self.puts - earlier.puts,
            gets: self.gets - earlier.gets,
            throttled: self.throttled - earlier.throttled,
            down: self.down - earlier.down,
            replies_lost: self.replies_lost - earlier.replies_lost,
        }
    }
}
