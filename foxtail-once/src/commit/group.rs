//! Group commit: one task gathers writes, others commit them.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_platform::table::{Error, Priority, Table};
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};

use super::batch::{Batch, Item};
use super::former::Former;
use super::{Commit, Done, Entry, Fence, Pace};
use crate::jitter::Jitter;

/// How many writes may wait to be gathered.
const QUEUE: usize = 8_192;

/// The first and the longest wait before writes without an answer are tried again, with others.
const BACKOFF: (Millis, Millis) = (Millis(5), Millis(1_000));

/// How often the first wait is doubled at most.
const DOUBLINGS: u32 = 8;

/// How writes are put together.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The pace at which transactions start.
    pub pace: Pace,
    /// The most writes in one transaction.
    pub rows_max: usize,
    /// The most transactions under way.
    pub in_flight_max: usize,
    /// How long a write that is not urgent waits for others.
    pub company: Millis,
    /// How long one try may take before it counts as ambiguous.
    pub timeout: Millis,
    /// The seed of random waits; each run has its own if there is none.
    pub seed: Option<u64>,
}

/// Commits single writes, many to a transaction. Stop it with [`Group::stop`].
pub struct Group {
    tx: mpsc::Sender<Item>,
    pace: watch::Sender<Pace>,
    task: Mutex<Option<JoinHandle<()>>>,
    stopping: watch::Sender<bool>,
}

struct Worker {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    fence: Arc<Mutex<Fence>>,
    jitter: Jitter,
    options: Options,
    former: Former,
    running: JoinSet<Vec<Item>>,
    /// Writes that wait to be tried again.
    resting: JoinSet<Vec<Item>>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            pace: Pace { per_s: 120, burst: 8 },
            rows_max: 128,
            in_flight_max: 16,
            company: Millis(100),
            timeout: Millis(2_000),
            seed: None,
        }
    }
}

impl Group {
    /// Starts committing to `table`.
    pub fn start(table: Arc<dyn Table>, clock: Arc<dyn Clock>, options: Options) -> Arc<Self> {
        let (tx, rx) = mpsc::channel(QUEUE);
        let pace = watch::Sender::new(options.pace);
        let stopping = watch::Sender::new(false);
        let worker = Worker {
            former: Former::new(options, clock.now()),
            fence: Arc::new(Mutex::new(Fence::start())),
            jitter: Jitter::new(options.seed),
            running: JoinSet::new(),
            resting: JoinSet::new(),
            table,
            clock,
            options,
        };
        let task = tokio::spawn(worker.run(rx, pace.subscribe(), stopping.subscribe()));
        Arc::new(Self { tx, pace, task: Mutex::new(Some(task)), stopping })
    }

    /// Changes the pace: this host's share of the store's budget.
    pub fn set_pace(&self, pace: Pace) {
        self.pace.send_if_modified(|known| {
            let changed = (known.per_s, known.burst) != (pace.per_s, pace.burst);
            *known = pace;
            changed
        });
    }

    /// Commits what waits, then ends. Writes that come later fail.
    pub async fn stop(&self) {
        self.stopping.send_replace(true);
        let task = self.task.lock().take();
        if let Some(task) = task {
            let _ = task.await;
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        if let Some(task) = self.task.lock().take() {
            task.abort();
        }
    }
}

#[async_trait]
impl Commit for Group {
    async fn commit(&self, entry: Entry) -> Done {
        let (reply, done) = oneshot::channel();
        let sent = entry.sent.clone();
        let item = Item { entry, reply, doubtful: sent.get(), tries: 0 };
        if self.tx.try_send(item).is_err() {
            return Done::Failed(Error::BudgetSpent);
        }
        match done.await {
            Ok(done) => done,
            Err(_) => Done::Failed(Error::Unavailable("stopped".to_owned())),
        }
    }
}

impl Worker {
    async fn run(
        mut self,
        mut rx: mpsc::Receiver<Item>,
        mut pace: watch::Receiver<Pace>,
        mut stopping: watch::Receiver<bool>,
    ) {
        let mut draining = false;
        while !(draining && self.is_idle()) {
            let due = self.due(draining);
            let now = self.clock.now();
            tokio::select! {
                biased;
                Some(item) = rx.recv() => self.receive(item, &mut rx),
                () = sleep_until(due, now) => {}
                Some(Ok(left)) = self.running.join_next() => self.rest(left),
                Some(Ok(left)) = self.resting.join_next() => self.gather(left),
                Ok(()) = pace.changed() => {
                    let changed = *pace.borrow_and_update();
                    self.former.set_pace(changed, now);
                }
                _ = stopping.wait_for(|stopping| *stopping), if !draining => {
                    draining = true;
                    rx.close();
                }
            }
            self.start_due(draining);
        }
    }

    /// When to look again, unless something happens before.
    fn due(&self, draining: bool) -> Option<Millis> {
        let room = self.running.len() < self.options.in_flight_max;
        let due = self.former.due(draining).filter(|_| room)?;
        Some(due.max(self.clock.now() + self.commit_wait()))
    }

    fn is_idle(&self) -> bool {
        self.former.is_empty() && self.running.is_empty() && self.resting.is_empty()
    }

    fn receive(&mut self, first: Item, rx: &mut mpsc::Receiver<Item>) {
        let more = std::iter::from_fn(|| rx.try_recv().ok());
        self.gather(std::iter::once(first).chain(more));
    }

    fn gather(&mut self, items: impl IntoIterator<Item = Item>) {
        let now = self.clock.now();
        for item in items {
            self.former.push(item, now);
        }
    }

    /// Has writes without an answer wait; they go on in company of others.
    fn rest(&mut self, items: Vec<Item>) {
        let Some(tries) = items.iter().map(|item| item.tries).max() else { return };
        let longest = (BACKOFF.0 * (1 << tries.min(DOUBLINGS))).min(BACKOFF.1);
        let wait = self.jitter.up_to(longest);
        self.resting.spawn(async move {
            tokio::time::sleep(wait).await;
            items
        });
    }

    /// How long the table would keep a transaction waiting.
    fn commit_wait(&self) -> Millis {
        self.table.commit_wait(Priority::Claim)
    }

    fn start_due(&mut self, draining: bool) {
        while self.running.len() < self.options.in_flight_max && self.commit_wait() == Millis::ZERO
        {
            let Some(items) = self.former.take(self.clock.now(), draining) else { return };
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

async fn sleep_until(due: Option<Millis>, now: Millis) {
    match due {
        Some(due) => tokio::time::sleep(due.since(now).duration()).await,
        None => std::future::pending().await,
    }
}
