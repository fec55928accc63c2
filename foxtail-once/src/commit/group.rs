//! Group commit: one task gathers writes, and further tasks commit them in transactions.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_platform::table::{Error, Priority, Table};
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};

use super::batch::{Batch, PendingWrite};
use super::scheduler::BatchScheduler;
use super::{Commit, CommitOutcome, Fence, TxnRate, WriteRequest};
use crate::jitter::Jitter;

/// Number of writes that may wait in the channel to the worker.
const MAX_QUEUED_WRITES: usize = 8_192;

/// Base and maximum of the random wait before writes without an outcome are tried again, together
/// with others. The wait is at most the base, doubled for each try without an outcome.
const BACKOFF: (Millis, Millis) = (Millis(5), Millis(1_000));

/// Maximum number of doublings of the base.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// How writes are grouped into transactions.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Rate at which transactions start.
    pub txn_rate: TxnRate,
    /// Maximum number of writes in one transaction.
    pub max_rows: usize,
    /// Maximum number of transactions in flight.
    pub max_in_flight: usize,
    /// How long a write that is not urgent waits for others to share its transaction.
    pub gather_delay: Millis,
    /// Timeout of one try, after which its outcome is ambiguous.
    pub timeout: Millis,
    /// Seed of the random waits; `None` takes a different seed in each run.
    pub seed: Option<u64>,
}

/// Commits single writes, many of them in one transaction. [`GroupCommitter::stop`] ends it.
pub struct GroupCommitter {
    tx: mpsc::Sender<PendingWrite>,
    txn_rate: watch::Sender<TxnRate>,
    task: Mutex<Option<JoinHandle<()>>>,
    stopping: watch::Sender<bool>,
}

struct Worker {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    fence: Arc<Mutex<Fence>>,
    jitter: Jitter,
    options: Options,
    scheduler: BatchScheduler,
    running: JoinSet<Vec<PendingWrite>>,
    /// Writes that wait to be tried again.
    backing_off: JoinSet<Vec<PendingWrite>>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            txn_rate: TxnRate { per_s: 120, burst: 8 },
            max_rows: 128,
            max_in_flight: 16,
            gather_delay: Millis(100),
            timeout: Millis(2_000),
            seed: None,
        }
    }
}

impl GroupCommitter {
    /// Creates a committer over `table` and starts its worker task.
    pub fn start(table: Arc<dyn Table>, clock: Arc<dyn Clock>, options: Options) -> Arc<Self> {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_WRITES);
        let txn_rate = watch::Sender::new(options.txn_rate);
        let stopping = watch::Sender::new(false);
        let worker = Worker {
            scheduler: BatchScheduler::new(options, clock.now()),
            fence: Arc::new(Mutex::new(Fence::initial())),
            jitter: Jitter::new(options.seed),
            running: JoinSet::new(),
            backing_off: JoinSet::new(),
            table,
            clock,
            options,
        };
        let task = tokio::spawn(worker.run(rx, txn_rate.subscribe(), stopping.subscribe()));
        Arc::new(Self { tx, txn_rate, task: Mutex::new(Some(task)), stopping })
    }

    /// Sets the transaction rate: this host's share of the store's budget.
    pub fn set_txn_rate(&self, txn_rate: TxnRate) {
        self.txn_rate.send_if_modified(|current| {
            let changed = (current.per_s, current.burst) != (txn_rate.per_s, txn_rate.burst);
            *current = txn_rate;
            changed
        });
    }

    /// Commits the waiting writes, then ends the worker. Later writes fail.
    pub async fn stop(&self) {
        self.stopping.send_replace(true);
        let task = self.task.lock().take();
        if let Some(task) = task {
            let _ = task.await;
        }
    }
}

impl Drop for GroupCommitter {
    fn drop(&mut self) {
        if let Some(task) = self.task.lock().take() {
            task.abort();
        }
    }
}

#[async_trait]
impl Commit for GroupCommitter {
    async fn commit(&self, req: WriteRequest) -> CommitOutcome {
        let (reply, outcome) = oneshot::channel();
        let possibly_applied = req.possibly_applied.clone();
        let item =
            PendingWrite { req, reply, ambiguous: possibly_applied.get(), unanswered_tries: 0 };
        if self.tx.try_send(item).is_err() {
            return CommitOutcome::Failed(Error::BudgetSpent);
        }
        match outcome.await {
            Ok(outcome) => outcome,
            Err(_) => CommitOutcome::Failed(Error::Unavailable("stopped".to_owned())),
        }
    }
}

impl Worker {
    async fn run(
        mut self,
        mut rx: mpsc::Receiver<PendingWrite>,
        mut txn_rate: watch::Receiver<TxnRate>,
        mut stopping: watch::Receiver<bool>,
    ) {
        let mut draining = false;
        while !(draining && self.is_idle()) {
            let start_at = self.next_start(draining);
            let now = self.clock.now();
            tokio::select! {
                biased;
                Some(item) = rx.recv() => self.receive(item, &mut rx),
                () = sleep_until(start_at, now) => {}
                Some(Ok(unfinished)) = self.running.join_next() => self.back_off(unfinished),
                Some(Ok(unfinished)) = self.backing_off.join_next() => self.enqueue(unfinished),
                Ok(()) = txn_rate.changed() => {
                    let new_rate = *txn_rate.borrow_and_update();
                    self.scheduler.set_txn_rate(new_rate, now);
                }
                _ = stopping.wait_for(|stopping| *stopping), if !draining => {
                    draining = true;
                    rx.close();
                }
            }
            self.start_due(draining);
        }
    }

    /// Returns when to try to start the next transaction, unless an event comes first. Returns
    /// `None` if no write waits or no further transaction may be in flight.
    fn next_start(&self, draining: bool) -> Option<Millis> {
        let has_capacity = self.running.len() < self.options.max_in_flight;
        let start_at = self.scheduler.next_start(draining).filter(|_| has_capacity)?;
        Some(start_at.max(self.clock.now() + self.commit_wait()))
    }

    fn is_idle(&self) -> bool {
        self.scheduler.is_empty() && self.running.is_empty() && self.backing_off.is_empty()
    }

    fn receive(&mut self, first: PendingWrite, rx: &mut mpsc::Receiver<PendingWrite>) {
        let more = std::iter::from_fn(|| rx.try_recv().ok());
        self.enqueue(std::iter::once(first).chain(more));
    }

    fn enqueue(&mut self, items: impl IntoIterator<Item = PendingWrite>) {
        let now = self.clock.now();
        for item in items {
            self.scheduler.push(item, now);
        }
    }

    /// Puts writes without an outcome aside for a random wait, after which they share a transaction
    /// with other writes.
    fn back_off(&mut self, items: Vec<PendingWrite>) {
        let Some(unanswered_tries) = items.iter().map(|item| item.unanswered_tries).max() else {
            return;
        };
        let max_wait =
            (BACKOFF.0 * (1 << unanswered_tries.min(MAX_BACKOFF_DOUBLINGS))).min(BACKOFF.1);
        let wait = self.jitter.up_to(max_wait);
        self.backing_off.spawn(async move {
            tokio::time::sleep(wait).await;
            items
        });
    }

    /// Returns how long the table would delay a transaction.
    fn commit_wait(&self) -> Millis {
        self.table.commit_wait(Priority::Claim)
    }

    fn start_due(&mut self, draining: bool) {
        while self.running.len() < self.options.max_in_flight && self.commit_wait() == Millis::ZERO
        {
            let Some(items) = self.scheduler.take_batch(self.clock.now(), draining) else { return };
            let batch = Batch {
                table: Arc::clone(&self.table),
                fence: Arc::clone(&self.fence),
                timeout: self.options.timeout,
                items,
            };
            self.running.spawn(batch.run());
        }
    }
}

async fn sleep_until(start_at: Option<Millis>, now: Millis) {
    match start_at {
        Some(start_at) => tokio::time::sleep(start_at.since(now).duration()).await,
        None => std::future::pending().await,
    }
}
