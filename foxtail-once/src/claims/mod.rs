//! The gate over the table: claims and the records of their ends.

mod begin;
mod end;
mod live;
mod replay;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use async_trait::async_trait;
use foxtail_platform::table::{self, Priority, Row, Table};
use foxtail_platform::{Objects, objects};
use foxtail_types::prelude::*;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::live::{Live, Phase};
use crate::jitter::Jitter;
use crate::record::State;
use crate::{Answer, Ask, Attempt, Begin, Commit, Gate};

/// How often attempts are looked through for overdue ones.
const SWEEP: Millis = Millis(1_000);

/// How claims are kept.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How old a key may be.
    pub retention: Millis,
    /// How far ahead of this host's wall clock a key's birth may be.
    pub ahead_max: Millis,
    /// How long after its deadline an attempt may still end.
    pub grace: Millis,
    /// The largest body kept in the row, in bytes.
    pub row_body_max: usize,
    /// The largest body kept in the object store, in bytes.
    pub object_body_max: usize,
    /// How many bytes of answers may wait for their record.
    pub pending_max_bytes: u64,
    /// The first and the longest wait between two looks at another attempt's row.
    pub poll: (Millis, Millis),
    /// The seed of random waits; each run has its own if there is none.
    pub seed: Option<u64>,
}

/// What the claims of a host work with.
#[derive(Clone)]
pub struct Ports {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The table, for reads.
    pub table: Arc<dyn Table>,
    /// The object store, for large answers.
    pub objects: Arc<dyn Objects>,
    /// The committer, for writes.
    pub commit: Arc<dyn Commit>,
}

/// The gate over the table.
pub struct Claims {
    inner: Arc<Inner>,
}

struct Inner {
    me: HostId,
    ports: Ports,
    options: Options,
    live: Live,
    jitter: Jitter,
    pending_bytes: AtomicU64,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: Millis::secs(24 * 3_600),
            ahead_max: Millis::secs(300),
            grace: Millis::secs(5),
            row_body_max: 16 << 10,
            object_body_max: 1 << 20,
            pending_max_bytes: 8 << 20,
            poll: (Millis(50), Millis(1_000)),
            seed: None,
        }
    }
}

impl Claims {
    /// Starts the claims of the host `me`.
    pub fn start(me: HostId, ports: Ports, options: Options) -> Arc<Self> {
        let inner = Arc::new(Inner {
            me,
            ports,
            options,
            live: Live::new(),
            jitter: Jitter::new(options.seed),
            pending_bytes: AtomicU64::new(0),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        });
        let sweeper = Arc::clone(&inner);
        inner.spawn(async move { sweeper.sweep().await });
        Arc::new(Self { inner })
    }

    /// How many records are still to be written.
    pub fn pending(&self) -> usize {
        self.inner.tasks.len().saturating_sub(1)
    }

    /// Waits up to `wait` for the last records, then ends. Nothing may begin any more.
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
impl Gate for Claims {
    async fn begin(&self, ask: Ask<'_>) -> Begin {
        let begin = self.inner.begin(ask).await;
        tracing::info!(
            event = "once_begin",
            workspace = %ask.workspace,
            key = %ask.key,
            outcome = begin.as_str(),
            reason = begin.reason().map_or("", |reason| reason.as_str()),
        );
        begin
    }

    async fn answered(&self, attempt: Attempt, answer: Answer) {
        self.inner.answered(attempt, answer);
    }

    async fn released(&self, attempt: Attempt) {
        self.inner.end(&attempt, State::Released);
    }

    async fn lost(&self, attempt: Attempt) {
        self.inner.end(&attempt, State::Lost);
    }

    fn may_send(&self, attempt: &Attempt) -> bool {
        let id = (attempt.workspace.clone(), attempt.key);
        let open = matches!(self.inner.live.phase(&id, attempt.token), Some(Phase::Open(_)));
        open && self.inner.ports.clock.now() < attempt.deadline
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

    async fn read(&self, row: &str, timeout: Millis) -> Result<Option<Row>, table::Error> {
        let options = table::Options { priority: Priority::Claim, timeout };
        let rows = self.ports.table.read(&[row.to_owned()], options).await?;
        Ok(rows.into_iter().next().flatten())
    }

    async fn read_object(
        &self,
        name: &str,
        timeout: Millis,
    ) -> Result<Option<Vec<u8>>, objects::Error> {
        self.ports.objects.get(name, timeout).await
    }

    async fn sweep(self: &Arc<Self>) {
        loop {
            tokio::time::sleep(SWEEP.duration()).await;
            let by = self.now() - self.options.grace;
            for (id, attempt) in self.live.overdue(by) {
                tracing::warn!(event = "once_overdue", workspace = %id.0, key = %id.1);
                self.end(&attempt, State::Lost);
            }
        }
    }
}
