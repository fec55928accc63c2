//! A table behind this host's share of the store's budget and a circuit breaker.
//!
//! Two buckets, for writes and for reads, hold the host's share. A call whose bucket is low waits,
//! and the less important it is, the more must be left before it may go. When the store says that
//! its rate is exceeded, the share shrinks, and grows back slowly. After failures in a row the
//! store is left alone; then one call probes it, at a time that differs from host to host, and the
//! share starts small and grows, so that the hosts do not come back all at once.

mod breaker;
mod budget;

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use rand::Rng;

pub use breaker::{CallPermit, CircuitBreaker};
pub use budget::{CallBudget, Rate};

use crate::table::{Error, Options as CallOptions, Outcome, Priority, Row, Table, Txn};

/// This host's share of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Transactions.
    pub writes: Rate,
    /// Reads and scans.
    pub reads: Rate,
}

/// A table behind a budget and a breaker.
pub struct GuardedTable {
    inner: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

struct State {
    writes: CallBudget,
    reads: CallBudget,
    breaker: CircuitBreaker,
}

/// How a call ended, as far as the guard is concerned.
enum CallEnd {
    Answered,
    Throttled,
    Failed,
}

#[derive(Clone, Copy)]
enum CallKind {
    Write,
    Read,
}

impl Default for Options {
    fn default() -> Self {
        Self { writes: Rate { per_s: 20, burst: 20 }, reads: Rate { per_s: 100, burst: 100 } }
    }
}

impl GuardedTable {
    /// A guard of `inner`.
    pub fn new(inner: Arc<dyn Table>, clock: Arc<dyn Clock>, options: Options) -> Arc<Self> {
        let now = clock.now();
        let state = State {
            writes: CallBudget::new(options.writes, now),
            reads: CallBudget::new(options.reads, now),
            breaker: CircuitBreaker::new(),
        };
        Arc::new(Self { inner, clock, state: Mutex::new(state) })
    }

    /// Sets the share, when the number of live hosts changes.
    pub fn set_share(&self, options: Options) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.writes.set_rate(options.writes, now);
        state.reads.set_rate(options.reads, now);
    }

    /// Whether recent calls failed, so that the store is left alone.
    pub fn is_circuit_open(&self) -> bool {
        self.state.lock().breaker.is_open()
    }

    /// Waits until the call may go; then its pass and how much of its time is left.
    async fn admit(
        &self,
        kind: CallKind,
        options: CallOptions,
    ) -> Result<(CallPermit, CallOptions), Error> {
        let start = self.clock.now();
        loop {
            let now = self.clock.now();
            let elapsed = now.since(start);
            let wait = {
                let mut state = self.state.lock();
                if !state.breaker.allows_call(now) {
                    return Err(Error::CircuitOpen);
                }
                match state.budget(kind).try_acquire(options.priority, now) {
                    Ok(()) => {
                        let permit = state.breaker.begin_call(now);
                        return Ok((
                            permit,
                            CallOptions { timeout: options.timeout - elapsed, ..options },
                        ));
                    }
                    Err(wait) => wait,
                }
            };
            if elapsed + wait >= options.timeout {
                return Err(Error::BudgetSpent);
            }
            tokio::time::sleep(wait.duration()).await;
        }
    }

    fn end_call(&self, kind: CallKind, permit: CallPermit, end: CallEnd) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        match end {
            CallEnd::Answered => {
                if state.breaker.record_success(permit) {
                    state.writes.restart_after_outage(now);
                    state.reads.restart_after_outage(now);
                }
            }
            CallEnd::Throttled => {
                state.breaker.record_success(permit);
                state.budget(kind).shrink(now);
            }
            CallEnd::Failed => {
                let jitter = rand::rng().random_range(500..=1_000);
                if state.breaker.record_failure(permit, now, jitter) {
                    tracing::warn!(event = "store_circuit_open");
                }
            }
        }
    }
}

impl State {
    fn budget(&mut self, kind: CallKind) -> &mut CallBudget {
        match kind {
            CallKind::Write => &mut self.writes,
            CallKind::Read => &mut self.reads,
        }
    }
}

#[async_trait]
impl Table for GuardedTable {
    async fn commit(&self, txn: &Txn, options: CallOptions) -> Outcome {
        let (permit, options) = match self.admit(CallKind::Write, options).await {
            Ok(admitted) => admitted,
            Err(e) => return Outcome::Failed(e),
        };
        let outcome = self.inner.commit(txn, options).await;
        let end = match &outcome {
            Outcome::Committed(_) | Outcome::Conflict { .. } => CallEnd::Answered,
            Outcome::Failed(e) | Outcome::Ambiguous(e) => error_call_end(e),
        };
        self.end_call(CallKind::Write, permit, end);
        outcome
    }

    async fn read(&self, keys: &[String], options: CallOptions) -> Result<Vec<Option<Row>>, Error> {
        let (permit, options) = self.admit(CallKind::Read, options).await?;
        let rows = self.inner.read(keys, options).await;
        self.end_call(
            CallKind::Read,
            permit,
            rows.as_ref().map_or_else(error_call_end, |_| CallEnd::Answered),
        );
        rows
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        options: CallOptions,
    ) -> Result<Vec<(String, Row)>, Error> {
        let (permit, options) = self.admit(CallKind::Read, options).await?;
        let rows = self.inner.scan(prefix, after, limit, options).await;
        self.end_call(
            CallKind::Read,
            permit,
            rows.as_ref().map_or_else(error_call_end, |_| CallEnd::Answered),
        );
        rows
    }

    fn commit_wait(&self, priority: Priority) -> Millis {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if state.breaker.is_open() {
            return Millis::ZERO;
        }
        state.writes.wait_time(priority, now)
    }
}

fn error_call_end(e: &Error) -> CallEnd {
    match e {
        Error::Throttled => CallEnd::Throttled,
        _ => CallEnd::Failed,
    }
}
