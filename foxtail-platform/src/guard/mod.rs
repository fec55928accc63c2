//! Guards a table with this host's share of the table service's rate and a circuit breaker.
//!
//! Two token buckets, one for writes and one for reads, hold the host to its share. A call waits
//! while its bucket is low; the less important the call, the more tokens must remain before it may
//! start. When the service refuses a call for its rate limit, the share shrinks, and grows back
//! slowly. After consecutive failures the breaker opens and no calls are sent. Single probes then
//! test the service, at times that differ from host to host, and the share starts small and grows,
//! so that the hosts do not all return at once.

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

/// This host's share of the table service's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Rate of transactions.
    pub writes: Rate,
    /// Rate of reads and scans.
    pub reads: Rate,
}

/// A table behind rate limits and a circuit breaker.
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

/// Result of a call, as far as it matters to the guard.
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
    /// Creates a guard in front of `inner`.
    pub fn new(inner: Arc<dyn Table>, clock: Arc<dyn Clock>, options: Options) -> Arc<Self> {
        let now = clock.now();
        let state = State {
            writes: CallBudget::new(options.writes, now),
            reads: CallBudget::new(options.reads, now),
            breaker: CircuitBreaker::new(),
        };
        Arc::new(Self { inner, clock, state: Mutex::new(state) })
    }

    /// Sets the host's share, which changes with the number of live hosts.
    pub fn set_share(&self, options: Options) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.writes.set_rate(options.writes, now);
        state.reads.set_rate(options.reads, now);
    }

    /// Returns whether the circuit breaker is open after consecutive failures.
    pub fn is_circuit_open(&self) -> bool {
        self.state.lock().breaker.is_open()
    }

    /// Waits until the call may start. Returns its permit and its options with the remaining
    /// timeout.
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
                let jitter_per_mille = rand::rng().random_range(500..=1_000);
                if state.breaker.record_failure(permit, now, jitter_per_mille) {
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
