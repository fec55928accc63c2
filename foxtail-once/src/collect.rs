//! Deletes the rows of keys that are too old to be sent again.

use std::sync::Arc;

use foxtail_platform::table::{
    Change, Error, Expect, Options as TableOptions, Outcome, Priority, Table, Txn, Write,
};
use foxtail_types::prelude::*;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::commit::{FENCE_ROW_KEY, Fence};
use crate::record::{ROW_PREFIX, key_created_at};

/// Age limit, batch size and waits of the collection.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum age of a key; the same as
    /// [`claims::Options::retention`](crate::claims::Options::retention).
    pub retention: Millis,
    /// How much longer the row of a key is retained, since wall clocks of hosts differ.
    pub clock_margin: Millis,
    /// Minimum distance by which a round moves the fence. The wait between two rounds is random,
    /// from half of this up to all of it.
    pub fence_step: Millis,
    /// Maximum number of rows that one transaction deletes.
    pub rows_per_txn: usize,
    /// Wait between two transactions.
    pub txn_pause: Millis,
    /// Timeout of one call to the table.
    pub timeout: Millis,
}

/// Deletes old rows. Any host may run a collector: the host that moves the fence first deletes the
/// rows below it.
pub struct Collector {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    options: Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: Millis::secs(24 * 3_600),
            clock_margin: Millis::secs(3_600),
            fence_step: Millis::secs(600),
            rows_per_txn: 200,
            txn_pause: Millis(500),
            timeout: Millis(5_000),
        }
    }
}

impl Collector {
    /// Creates a collector over `table`.
    pub fn new(table: Arc<dyn Table>, clock: Arc<dyn Clock>, options: Options) -> Self {
        Self { table, clock, options }
    }

    /// Runs collection rounds until `stop` is cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        let step = self.options.fence_step.0;
        loop {
            let wait = Millis(rand::rng().random_range(step / 2..=step));
            let slept = stop.run_until_cancelled(tokio::time::sleep(wait.duration())).await;
            if slept.is_none() {
                return;
            }
            match stop.run_until_cancelled(self.run_round()).await {
                None => return,
                Some(Ok(rows)) => tracing::info!(event = "once_collected", rows),
                Some(Err(e)) => tracing::warn!(event = "once_collect_failed", error = %e),
            }
        }
    }

    /// Moves the fence if it lags by at least `fence_step`, and deletes the rows below it. Returns
    /// the number of deleted rows.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] of the table. Remaining rows are deleted in a later round.
    pub async fn run_round(&self) -> Result<usize, Error> {
        let found = self.table.read(&[FENCE_ROW_KEY.to_owned()], self.call_options()).await?;
        let fence = Fence::from_row(found.first().and_then(Option::as_ref));
        let below = self.clock.wall() - self.options.retention - self.options.clock_margin;
        if below < fence.below() + self.options.fence_step {
            return Ok(0);
        }
        let raise = Txn { writes: vec![fence.raise_write(below)] };
        match self.table.commit(&raise, self.call_options()).await {
            Outcome::Committed(_) => self.delete_below(below).await,
            Outcome::Conflict { .. } => Ok(0),
            Outcome::Failed(e) | Outcome::Ambiguous(e) => Err(e),
        }
    }

    /// Deletes the rows of keys created before `below`, which the committed fence excludes.
    async fn delete_below(&self, below: Millis) -> Result<usize, Error> {
        let mut deleted = 0;
        let mut after = String::new();
        loop {
            let rows = self
                .table
                .scan(ROW_PREFIX, &after, self.options.rows_per_txn, self.call_options())
                .await?;
            let Some((last, _)) = rows.last() else { return Ok(deleted) };
            after = last.clone();
            let is_old = |row_key: &str| {
                key_created_at(row_key).is_some_and(|created_at| created_at < below)
            };
            let writes =
                rows.iter().filter(|(key, _)| is_old(key)).map(|(key, _)| delete_write(key));
            let writes: Vec<_> = writes.collect();
            let is_young = |row_key: &str| {
                key_created_at(row_key).is_some_and(|created_at| created_at >= below)
            };
            let reached_young_rows = rows.iter().any(|(key, _)| is_young(key));
            deleted += self.commit_deletes(writes).await?;
            if reached_young_rows {
                return Ok(deleted);
            }
            tokio::time::sleep(self.options.txn_pause.duration()).await;
        }
    }

    async fn commit_deletes(&self, writes: Vec<Write>) -> Result<usize, Error> {
        let rows = writes.len();
        if rows == 0 {
            return Ok(0);
        }
        match self.table.commit(&Txn { writes }, self.call_options()).await {
            Outcome::Committed(_) => Ok(rows),
            Outcome::Conflict { .. } => Ok(0),
            Outcome::Failed(e) | Outcome::Ambiguous(e) => Err(e),
        }
    }

    fn call_options(&self) -> TableOptions {
        TableOptions { priority: Priority::Housekeeping, timeout: self.options.timeout }
    }
}

fn delete_write(key: &str) -> Write {
    Write { key: key.to_owned(), expect: Expect::Any, change: Change::Delete }
}
