//! Implements [`AtMostOnce`] over the table: claims keys and records how their attempts ended.

mod begin;
mod end;
mod live_attempts;
mod replay;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use async_trait::async_trait;
use foxtail_platform::table::{self, Priority, Row, Table};
use foxtail_platform::{Objects, objects};
use foxtail_types::prelude::*;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::live_attempts::{LiveAttempts, Phase};
use crate::jitter::Jitter;
use crate::record::State;
use crate::{Answer, AtMostOnce, Attempt, BeginOutcome, ClaimRequest, Commit};

/// Interval between checks for overdue attempts.
const OVERDUE_CHECK_INTERVAL: Millis = Millis(1_000);

/// Limits and waits of [`Claims`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum age of a key, by its creation time.
    pub retention: Millis,
    /// How far a key's creation time may lie ahead of this host's wall clock.
    pub max_clock_skew: Millis,
    /// How long after its deadline an attempt may still end before this host marks it lost. Other
    /// hosts count it as overdue after twice this time.
    pub grace: Millis,
    /// Largest answer body that is stored in the row, in bytes.
    pub max_row_body_bytes: usize,
    /// Largest answer body that is stored in the object store, in bytes.
    pub max_object_body_bytes: usize,
    /// Total size of the answer bodies that wait for their record to be written, in bytes. The body
    /// of an answer beyond this limit is dropped.
    pub max_pending_bytes: u64,
    /// First and longest wait between two reads of the row of another attempt.
    pub poll_interval: (Millis, Millis),
    /// Seed of the random waits; `None` takes a different seed in each run.
    pub seed: Option<u64>,
}

/// Clock, stores and committer that [`Claims`] uses.
#[derive(Clone)]
pub struct Ports {
    /// Source of the monotonic and the wall time.
    pub clock: Arc<dyn Clock>,
    /// Table from which the rows of keys are read.
    pub table: Arc<dyn Table>,
    /// Object store for answer bodies too large for a row.
    pub objects: Arc<dyn Objects>,
    /// Committer for all writes to the table.
    pub commit: Arc<dyn Commit>,
}

/// Claims keys in the table on behalf of one host and records how their attempts ended.
pub struct Claims {
    inner: Arc<Inner>,
}

struct Inner {
    host_id: HostId,
    ports: Ports,
    options: Options,
    live_attempts: LiveAttempts,
    jitter: Jitter,
    pending_bytes: AtomicU64,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: Millis::secs(24 * 3_600),
            max_clock_skew: Millis::secs(300),
            grace: Millis::secs(5),
            max_row_body_bytes: 16 << 10,
            max_object_body_bytes: 1 << 20,
            max_pending_bytes: 8 << 20,
            poll_interval: (Millis(50), Millis(1_000)),
            seed: None,
        }
    }
}

impl Claims {
    /// Creates the claims of the host `host_id` and starts the task that ends overdue attempts.
    pub fn start(host_id: HostId, ports: Ports, options: Options) -> Arc<Self> {
        let inner = Arc::new(Inner {
            host_id,
            ports,
            options,
            live_attempts: LiveAttempts::new(),
            jitter: Jitter::new(options.seed),
            pending_bytes: AtomicU64::new(0),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        });
        let this = Arc::clone(&inner);
        inner.spawn(async move { this.mark_overdue_lost().await });
        Arc::new(Self { inner })
    }

    /// Returns the number of records that are still to be written. Each has a task; the task that
    /// ends overdue attempts is not counted.
    pub fn pending(&self) -> usize {
        self.inner.tasks.len().saturating_sub(1)
    }

    /// Waits up to `wait` for the pending records, then cancels all tasks. No attempt may begin
    /// after this call.
    pub async fn stop(&self, wait: Millis) {
        let start = tokio::time::Instant::now();
        while self.pending() > 0 && start.elapsed() < wait.duration() {
            tokio::time::sleep(Millis(5).duration()).await;
        }
        if self.pending() > 0 {
            tracing::warn!(event = "once_records_left", records = self.pending());
        }
        self.inner.stop.cancel();
        self.inner.tasks.close();
        self.inner.tasks.wait().await;
    }
}

impl Drop for Claims {
    fn drop(&mut self) {
        self.inner.stop.cancel();
    }
}

#[async_trait]
impl AtMostOnce for Claims {
    async fn begin(&self, req: ClaimRequest<'_>) -> BeginOutcome {
        let outcome = self.inner.begin(req).await;
        tracing::info!(
            event = "once_begin",
            workspace = %req.workspace,
            key = %req.key,
            outcome = outcome.as_str(),
            reason = outcome.reason().map_or("", |reason| reason.as_str()),
        );
        outcome
    }

    async fn record_answer(&self, attempt: Attempt, answer: Answer) {
        self.inner.record_answer(attempt, answer);
    }

    async fn release(&self, attempt: Attempt) {
        self.inner.end_unanswered(&attempt, State::Released);
    }

    async fn mark_lost(&self, attempt: Attempt) {
        self.inner.end_unanswered(&attempt, State::Lost);
    }

    fn may_send(&self, attempt: &Attempt) -> bool {
        let id = (attempt.workspace.clone(), attempt.key);
        let is_open =
            matches!(self.inner.live_attempts.phase(&id, attempt.token), Some(Phase::Open(_)));
        is_open && self.inner.ports.clock.now() < attempt.deadline
    }
}

impl Inner {
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            stop.run_until_cancelled(task).await;
        });
    }

    fn now(&self) -> Millis {
        self.ports.clock.now()
    }

    fn wall(&self) -> Millis {
        self.ports.clock.wall()
    }

    async fn read_row(&self, row_key: &str, timeout: Millis) -> Result<Option<Row>, table::Error> {
        let options = table::Options { priority: Priority::Claim, timeout };
        let rows = self.ports.table.read(&[row_key.to_owned()], options).await?;
        Ok(rows.into_iter().next().flatten())
    }

    async fn read_object(
        &self,
        name: &str,
        timeout: Millis,
    ) -> Result<Option<Vec<u8>>, objects::Error> {
        self.ports.objects.get(name, timeout).await
    }

    async fn mark_overdue_lost(self: &Arc<Self>) {
        loop {
            tokio::time::sleep(OVERDUE_CHECK_INTERVAL.duration()).await;
            let by = self.now() - self.options.grace;
            for (id, attempt) in self.live_attempts.overdue(by) {
                tracing::warn!(event = "once_overdue", workspace = %id.0, key = %id.1);
                self.end_unanswered(&attempt, State::Lost);
            }
        }
    }
}
