//! One transaction, from the first try until the fate of each of its writes is known.

use std::sync::Arc;

use foxtail_platform::table::{self, Change, Error, Expect, Outcome, Priority, Row, Table, Txn};
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::{Done, Entry, Fence};

/// A write and who waits for it.
pub(super) struct Item {
    pub(super) entry: Entry,
    pub(super) reply: oneshot::Sender<Done>,
    /// Whether an earlier try may have taken effect.
    pub(super) doubtful: bool,
    /// How many tries had no answer.
    pub(super) tries: u32,
}

/// Commits a batch.
pub(super) struct Batch {
    pub(super) table: Arc<dyn Table>,
    pub(super) fence: Arc<Mutex<Fence>>,
    pub(super) timeout: Millis,
    pub(super) items: Vec<Item>,
}

/// What a row says about a write to it.
enum Fate {
    /// It took effect.
    Done(u64),
    /// It did not, and cannot any more.
    Broken,
    /// It has not, but could.
    Open,
}

impl Item {
    fn end(self, done: Done) {
        self.entry.sent.set(matches!(done, Done::Committed(_)));
        let _ = self.reply.send(done);
    }

    fn fate(&self, found: Option<&Row>) -> Fate {
        let write = &self.entry.write;
        match (&write.change, found) {
            (Change::Put(value), Some(row)) if row.value == *value => Fate::Done(row.version),
            _ if holds(write.expect, found) => Fate::Open,
            _ => Fate::Broken,
        }
    }
}

impl Batch {
    /// Tries until the store gives no answer; the writes to try again later.
    pub(super) async fn run(mut self) -> Vec<Item> {
        while self.drop_abandoned() {
            let fence = *self.fence.lock();
            self.items.iter().for_each(|item| item.entry.sent.set(true));
            match self.table.commit(&self.txn(&fence), self.options()).await {
                Outcome::Committed(versions) => {
                    self.committed(&versions);
                    break;
                }
                Outcome::Conflict { at, found } => self.conflict(at, found).await,
                Outcome::Failed(Error::Throttled) => {
                    self.undo();
                    break;
                }
                Outcome::Failed(e) => {
                    self.failed(&e);
                    break;
                }
                Outcome::Ambiguous(_) => {
                    self.items.iter_mut().for_each(|item| item.doubtful = true);
                    break;
                }
            }
        }
        self.items.iter_mut().for_each(|item| item.tries += 1);
        self.items
    }

    /// Drops writes nobody waits for; whether any are left.
    fn drop_abandoned(&mut self) -> bool {
        self.items.retain(|item| !item.reply.is_closed());
        !self.items.is_empty()
    }

    fn claims(&self) -> bool {
        self.items.iter().any(|item| item.entry.born.is_some())
    }

    /// The writes, and after them the check of the fence if there are claims.
    fn txn(&self, fence: &Fence) -> Txn {
        let writes = self.items.iter().map(|item| item.entry.write.clone());
        let check = self.claims().then(|| fence.check());
        Txn { writes: writes.chain(check).collect() }
    }

    fn options(&self) -> table::Options {
        table::Options { priority: Priority::Claim, timeout: self.timeout }
    }

    fn committed(&mut self, versions: &[u64]) {
        for (item, version) in self.items.drain(..).zip(versions) {
            item.end(Done::Committed(*version));
        }
    }

    /// Nothing was written by the last try; doubtful writes stay.
    fn failed(&mut self, e: &Error) {
        let (doubtful, clear): (Vec<_>, Vec<_>) =
            self.items.drain(..).partition(|item| item.doubtful);
        clear.into_iter().for_each(|item| item.end(Done::Failed(e.clone())));
        self.items = doubtful;
    }

    /// Nothing was written by the last try.
    fn undo(&self) {
        self.items.iter().for_each(|item| item.entry.sent.set(item.doubtful));
    }

    async fn conflict(&mut self, at: usize, found: Option<Row>) {
        self.undo();
        if at >= self.items.len() {
            return self.fence_moved(Fence::read(found.as_ref()));
        }
        let item = self.items.remove(at);
        self.items.extend(settle(item, found));
        if self.items.len() > 1 {
            self.read_back().await;
        }
    }

    fn fence_moved(&mut self, fence: Fence) {
        {
            let mut known = self.fence.lock();
            if fence.below() >= known.below() {
                *known = fence;
            }
        }
        let excluded = |item: &Item| item.entry.born.is_some_and(|born| fence.excludes(born));
        for item in extract(&mut self.items, excluded) {
            item.end(Done::Expired);
        }
    }

    /// Reads all rows and settles the writes whose fate they show.
    async fn read_back(&mut self) {
        let keys: Vec<_> = self.items.iter().map(|item| item.entry.write.key.clone()).collect();
        let Ok(rows) = self.table.read(&keys, self.options()).await else { return };
        let items = std::mem::take(&mut self.items);
        for (item, found) in items.into_iter().zip(rows) {
            if let Some(open) = settle(item, found) {
                self.items.push(open);
            }
        }
    }
}

/// Ends `item` if `found` shows its fate, else gives it back.
fn settle(item: Item, found: Option<Row>) -> Option<Item> {
    match item.fate(found.as_ref()) {
        Fate::Done(version) => item.end(Done::Committed(version)),
        Fate::Broken => item.end(Done::Conflict(found)),
        Fate::Open => return Some(item),
    }
    None
}

fn holds(expect: Expect, found: Option<&Row>) -> bool {
    match expect {
        Expect::Any => true,
        Expect::Absent => found.is_none(),
        Expect::At(version) => found.is_some_and(|row| row.version == version),
    }
}

fn extract<T>(from: &mut Vec<T>, which: impl Fn(&T) -> bool) -> Vec<T> {
    let (out, kept) = from.drain(..).partition(|item| which(item));
    *from = kept;
    out
}
