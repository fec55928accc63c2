//! The faults of the in-memory platform, its rate limits, and the counts of its operations.

use foxtail_types::prelude::*;

/// The faults in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// The outage, if the platform is down.
    pub down: Option<Outage>,
    /// The delay before each operation, and again before its reply.
    pub added_delay: Millis,
    /// The mean number of commits in 1,000 that take effect but lose their reply.
    pub lose_replies_per_mille: u32,
    /// The number of next commits that take effect but lose their reply.
    pub lose_next_replies: u32,
}

/// How the platform behaves while it is down.
#[id]
pub enum Outage {
    /// It refuses each operation at once.
    Refuse,
    /// It does not answer. Commits sent meanwhile take effect when the outage ends.
    Hang,
}

/// The rates above which operations are refused.
#[id]
pub struct RateLimits {
    /// Write operations per second.
    pub writes_per_s: u32,
    /// Read operations per second.
    pub reads_per_s: u32,
    /// Whether each row of an operation counts as one operation.
    pub by_rows: bool,
}

/// Counts of operations that took effect and of refusals.
#[value]
#[derive(Copy, Default)]
pub struct Counts {
    /// Transactions committed.
    pub commits: u64,
    /// Rows written by committed transactions.
    pub rows_written: u64,
    /// Transactions refused by a precondition.
    pub conflicts: u64,
    /// Calls that read rows by key.
    pub reads: u64,
    /// Calls that read a range of rows.
    pub scans: u64,
    /// Objects stored.
    pub puts: u64,
    /// Objects read.
    pub gets: u64,
    /// Operations refused because of the rates.
    pub throttled: u64,
    /// Operations refused because the platform was down.
    pub down: u64,
    /// Commits that took effect and lost their reply.
    pub replies_lost: u64,
}

impl Counts {
    /// Returns the counts since `earlier`.
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
