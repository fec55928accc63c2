//! The operations of the in-memory platform, with faults and rate limits applied.

use std::sync::Arc;

use foxtail_platform::table::{Change, Outcome, Row, Txn};
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::faults::{Counts, Faults, Outage, RateLimits};
use super::store::{Conflict, Store};
use crate::token_bucket::TokenBucket;

/// The options of a [`Platform`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The rates above which operations are refused, if any.
    pub rates: Option<RateLimits>,
    /// The seed that decides which replies are lost.
    pub seed: u64,
}

/// A table and an object store in memory.
pub struct Platform {
    faults: watch::Sender<Faults>,
    state: Mutex<State>,
    tasks: TaskTracker,
}

/// Why an operation has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationError {
    /// The platform is down; the operation had no effect.
    Down,
    /// The operation was above the rate and had no effect.
    Throttled,
    /// The operation took effect, and its reply is lost.
    ReplyLost,
}

/// An operation with its number of rows, for the rate limits.
pub(super) enum Operation {
    Write(usize),
    Read(usize),
}

struct State {
    store: Store,
    counts: Counts,
    rng: SmallRng,
    write_bucket: Option<TokenBucket>,
    read_bucket: Option<TokenBucket>,
    by_rows: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { rates: None, seed: 1 }
    }
}

impl Platform {
    /// Returns an empty platform without faults.
    pub fn new(options: &Options) -> Arc<Self> {
        let state = State {
            store: Store::default(),
            counts: Counts::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            write_bucket: options.rates.map(|rates| TokenBucket::new(rates.writes_per_s)),
            read_bucket: options.rates.map(|rates| TokenBucket::new(rates.reads_per_s)),
            by_rows: options.rates.is_some_and(|rates| rates.by_rows),
        };
        let faults = watch::Sender::new(Faults::default());
        Arc::new(Self { faults, state: Mutex::new(state), tasks: TaskTracker::new() })
    }

    /// Changes the faults in force.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.faults.send_modify(change);
    }

    /// Returns the counts of operations so far.
    pub fn counts(&self) -> Counts {
        self.state.lock().counts
    }

    /// Returns all rows with keys that begin with `prefix`, regardless of faults, for checks by
    /// tests.
    pub fn rows(&self, prefix: &str) -> Vec<(String, Row)> {
        self.state.lock().store.scan(prefix, "", usize::MAX)
    }

    /// Ends an outage and waits until all commits have taken effect. No commit may be started
    /// afterwards.
    pub async fn stop(&self) {
        self.update_faults(|faults| faults.down = None);
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Commits in a task of its own, so that it takes effect even if the caller stops waiting.
    pub(super) async fn commit(self: &Arc<Self>, txn: Txn) -> Result<Outcome, OperationError> {
        let this = Arc::clone(self);
        let task = self.tasks.spawn(async move {
            this.begin(Operation::Write(txn.writes.len())).await?;
            let result = this.apply(&txn);
            this.delay_reply().await;
            result
        });
        task.await.expect("a commit does not panic")
    }

    pub(super) async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, OperationError> {
        self.begin(Operation::Read(keys.len())).await?;
        let rows = self.with_state(|state| {
            state.counts.reads += 1;
            state.store.read(keys)
        });
        self.delay_reply().await;
        Ok(rows)
    }

    pub(super) async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<(String, Row)>, OperationError> {
        self.begin(Operation::Read(1)).await?;
        let rows = self.with_state(|state| {
            state.counts.scans += 1;
            state.store.scan(prefix, after, limit)
        });
        self.delay_reply().await;
        Ok(rows)
    }

    pub(super) async fn put(&self, name: &str, value: Vec<u8>) -> Result<(), OperationError> {
        self.begin(Operation::Write(1)).await?;
        self.with_state(|state| {
            state.counts.puts += 1;
            state.store.put(name, value);
        });
        self.delay_reply().await;
        Ok(())
    }

    pub(super) async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, OperationError> {
        self.begin(Operation::Read(1)).await?;
        let value = self.with_state(|state| {
            state.counts.gets += 1;
            state.store.get(name)
        });
        self.delay_reply().await;
        Ok(value)
    }

    fn apply(&self, txn: &Txn) -> Result<Outcome, OperationError> {
        let mut state = self.state.lock();
        let versions = match state.store.commit(txn) {
            Ok(versions) => versions,
            Err(Conflict { at, found }) => {
                state.counts.conflicts += 1;
                return Ok(Outcome::Conflict { at, found });
            }
        };
        state.counts.commits += 1;
        state.counts.rows_written += rows_written(txn) as u64;
        if self.loses_reply(&mut state) {
            return Err(OperationError::ReplyLost);
        }
        Ok(Outcome::Committed(versions))
    }

    /// Returns whether the reply to the current commit is lost, and counts it if so.
    fn loses_reply(&self, state: &mut State) -> bool {
        let mut lost = false;
        self.faults.send_if_modified(|faults| {
            lost = faults.lose_next_replies > 0;
            faults.lose_next_replies = faults.lose_next_replies.saturating_sub(1);
            lost = lost || state.rng.random_range(0..1_000) < faults.lose_replies_per_mille;
            // Operations that wait for the end of an outage need not wake for this change.
            false
        });
        state.counts.replies_lost += u64::from(lost);
        lost
    }

    /// Refuses or delays an operation as the faults say, then counts it against the rates.
    async fn begin(&self, operation: Operation) -> Result<(), OperationError> {
        let mut faults = self.faults.subscribe();
        if faults.borrow().down == Some(Outage::Refuse) {
            self.with_state(|state| state.counts.down += 1);
            return Err(OperationError::Down);
        }
        let up = faults.wait_for(|faults| faults.down != Some(Outage::Hang)).await;
        let delay = up.expect("the sender lives as long as the platform").added_delay;
        sleep(delay).await;
        self.with_state(|state| match state.admits(&operation) {
            true => Ok(()),
            false => {
                state.counts.throttled += 1;
                Err(OperationError::Throttled)
            }
        })
    }

    async fn delay_reply(&self) {
        let delay = self.faults.borrow().added_delay;
        sleep(delay).await;
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock())
    }
}

impl State {
    fn admits(&mut self, operation: &Operation) -> bool {
        let by_rows = self.by_rows;
        let cost = |rows: usize| if by_rows { rows.max(1) } else { 1 };
        let (bucket, cost) = match operation {
            Operation::Write(rows) => (&mut self.write_bucket, cost(*rows)),
            Operation::Read(rows) => (&mut self.read_bucket, cost(*rows)),
        };
        bucket.as_mut().is_none_or(|bucket| bucket.try_take(cost))
    }
}

/// Returns the number of rows that `txn` changes, without those that it only checks.
fn rows_written(txn: &Txn) -> usize {
    txn.writes.iter().filter(|write| write.change != Change::Keep).count()
}

async fn sleep(span: Millis) {
    if span > Millis::ZERO {
        tokio::time::sleep(span.duration()).await;
    }
}
