//! Commits one transaction, and follows it until the outcome of each of its writes is known.

use std::sync::Arc;

use foxtail_platform::table::{self, Change, Error, Expect, Outcome, Priority, Row, Table, Txn};
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::{CommitOutcome, Fence, WriteRequest};

/// A write and the channel on which its caller waits.
pub(super) struct PendingWrite {
    pub(super) req: WriteRequest,
    pub(super) reply: oneshot::Sender<CommitOutcome>,
    /// Whether an earlier try may have taken effect.
    pub(super) ambiguous: bool,
    /// Number of tries without an outcome.
    pub(super) unanswered_tries: u32,
}

/// A set of writes to commit in one transaction.
pub(super) struct Batch {
    pub(super) table: Arc<dyn Table>,
    pub(super) fence: Arc<Mutex<Fence>>,
    pub(super) timeout: Millis,
    pub(super) items: Vec<PendingWrite>,
}

/// State of a write, as far as its row shows.
enum WriteStatus {
    /// The write took effect; the row's version.
    Applied(u64),
    /// The write did not take effect and no longer can.
    Rejected,
    /// The write has not taken effect but still can.
    Undecided,
}

impl PendingWrite {
    fn finish(self, outcome: CommitOutcome) {
        self.req.possibly_applied.set(matches!(outcome, CommitOutcome::Committed(_)));
        let _ = self.reply.send(outcome);
    }

    fn status(&self, found: Option<&Row>) -> WriteStatus {
        let write = &self.req.write;
        match (&write.change, found) {
            (Change::Put(value), Some(row)) if row.value == *value => {
                WriteStatus::Applied(row.version)
            }
            _ if precondition_holds(write.expect, found) => WriteStatus::Undecided,
            _ => WriteStatus::Rejected,
        }
    }
}

impl Batch {
    /// Commits the writes, and tries again at once after each conflict. Returns the writes whose
    /// outcome is still unknown, to be tried again later.
    pub(super) async fn run(mut self) -> Vec<PendingWrite> {
        while self.drop_abandoned() {
            let fence = *self.fence.lock();
            self.items.iter().for_each(|item| item.req.possibly_applied.set(true));
            match self.table.commit(&self.txn(&fence), self.call_options()).await {
                Outcome::Committed(versions) => {
                    self.finish_committed(&versions);
                    break;
                }
                Outcome::Conflict { at, found } => self.handle_conflict(at, found).await,
                Outcome::Failed(Error::Throttled) => {
                    self.reset_possibly_applied();
                    break;
                }
                Outcome::Failed(e) => {
                    self.finish_failed(&e);
                    break;
                }
                Outcome::Ambiguous(_) => {
                    self.items.iter_mut().for_each(|item| item.ambiguous = true);
                    break;
                }
            }
        }
        self.items.iter_mut().for_each(|item| item.unanswered_tries += 1);
        self.items
    }

    /// Drops writes whose caller has stopped waiting. Returns whether any writes are left.
    fn drop_abandoned(&mut self) -> bool {
        self.items.retain(|item| !item.reply.is_closed());
        !self.items.is_empty()
    }

    fn has_claims(&self) -> bool {
        self.items.iter().any(|item| item.req.key_created_at.is_some())
    }

    /// Returns the transaction of all writes and, after them, if there are claims, the check
    /// that the fence has not moved.
    fn txn(&self, fence: &Fence) -> Txn {
        let writes = self.items.iter().map(|item| item.req.write.clone());
        let check = self.has_claims().then(|| fence.check_write());
        Txn { writes: writes.chain(check).collect() }
    }

    fn call_options(&self) -> table::Options {
        table::Options { priority: Priority::Claim, timeout: self.timeout }
    }

    fn finish_committed(&mut self, versions: &[u64]) {
        for (item, version) in self.items.drain(..).zip(versions) {
            item.finish(CommitOutcome::Committed(*version));
        }
    }

    /// Fails the writes after a try that wrote nothing. Writes that an earlier try may have applied
    /// stay in the batch.
    fn finish_failed(&mut self, e: &Error) {
        let (ambiguous, unambiguous): (Vec<_>, Vec<_>) =
            self.items.drain(..).partition(|item| item.ambiguous);
        unambiguous.into_iter().for_each(|item| item.finish(CommitOutcome::Failed(e.clone())));
        self.items = ambiguous;
    }

    /// Resets the `possibly_applied` flags after a try that wrote nothing.
    fn reset_possibly_applied(&self) {
        self.items.iter().for_each(|item| item.req.possibly_applied.set(item.ambiguous));
    }

    async fn handle_conflict(&mut self, at: usize, found: Option<Row>) {
        self.reset_possibly_applied();
        if at >= self.items.len() {
            return self.handle_fence_moved(Fence::from_row(found.as_ref()));
        }
        let item = self.items.remove(at);
        self.items.extend(resolve(item, found));
        if self.items.len() > 1 {
            self.read_back().await;
        }
    }

    fn handle_fence_moved(&mut self, fence: Fence) {
        {
            let mut current = self.fence.lock();
            if fence.below() >= current.below() {
                *current = fence;
            }
        }
        let excluded = |item: &PendingWrite| {
            item.req.key_created_at.is_some_and(|created_at| fence.excludes(created_at))
        };
        for item in extract(&mut self.items, excluded) {
            item.finish(CommitOutcome::Expired);
        }
    }

    /// Reads the rows of all writes and finishes the writes whose outcome they show.
    async fn read_back(&mut self) {
        let keys: Vec<_> = self.items.iter().map(|item| item.req.write.key.clone()).collect();
        let Ok(rows) = self.table.read(&keys, self.call_options()).await else { return };
        let items = std::mem::take(&mut self.items);
        for (item, found) in items.into_iter().zip(rows) {
            if let Some(undecided) = resolve(item, found) {
                self.items.push(undecided);
            }
        }
    }
}

/// Finishes `item` if `found` shows its outcome, else returns it.
fn resolve(item: PendingWrite, found: Option<Row>) -> Option<PendingWrite> {
    match item.status(found.as_ref()) {
        WriteStatus::Applied(version) => item.finish(CommitOutcome::Committed(version)),
        WriteStatus::Rejected => item.finish(CommitOutcome::Conflict(found)),
        WriteStatus::Undecided => return Some(item),
    }
    None
}

fn precondition_holds(expect: Expect, found: Option<&Row>) -> bool {
    match expect {
        Expect::Any => true,
        Expect::Absent => found.is_none(),
        Expect::At(version) => found.is_some_and(|row| row.version == version),
    }
}

fn extract<T>(items: &mut Vec<T>, matches: impl Fn(&T) -> bool) -> Vec<T> {
    let (extracted, rest) = items.drain(..).partition(|item| matches(item));
    *items = rest;
    extracted
}
