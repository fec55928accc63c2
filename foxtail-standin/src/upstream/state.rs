//! The server's slots, counters and switches.

use std::sync::Arc;

use foxtail_time::BootClock;
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio_util::sync::CancellationToken;

use super::{Audit, Options, Report};

/// What a server has seen so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests taken in.
    pub taken: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused because the queue was full or their deadline passed while they waited.
    pub shed: u64,
    /// Requests refused because they came later than the grace after the server began to leave.
    pub refused_leaving: u64,
    /// Requests that arrived while every slot was taken: the sender exceeded the slots.
    pub over_slots: u64,
    /// The most requests inside at a time, running or waiting.
    pub inside_max: u32,
    /// Requests given up while they ran: cancelled, past their deadline or lost in a crash.
    pub given_up: u64,
    /// Crashes.
    pub crashes: u64,
    /// The time that slots were in use, added up.
    pub busy: Millis,
    /// Connections accepted.
    pub connections: u64,
}

/// What the server last refreshed its report with.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sample {
    pub(crate) busy: u32,
    pub(crate) queued: u32,
}

/// Everything that the server's tasks share.
pub(crate) struct State {
    pub(crate) options: Options,
    pub(crate) audit: Arc<Audit>,
    pub(crate) slots: Semaphore,
    inner: Mutex<Inner>,
}

struct Inner {
    stats: Stats,
    inside: u32,
    busy: u32,
    rng: SmallRng,
    since_start: u32,
    crash: CancellationToken,
    report: Report,
    sample: Sample,
    sampled: Millis,
    leaving: Option<Millis>,
}

/// A request inside the server, running or waiting.
pub(crate) struct Inside<'a> {
    state: &'a State,
}

/// A request in a slot.
pub(crate) struct Running<'a> {
    state: &'a State,
    began: Millis,
    done: bool,
    _permit: SemaphorePermit<'a>,
}

/// Why a request is not taken in.
pub(crate) enum Refused {
    Shed,
    Leaving,
}

impl State {
    pub(crate) fn new(options: Options, audit: Arc<Audit>) -> Self {
        let slots = Semaphore::new(options.slots as usize);
        let inner = Inner {
            stats: Stats::default(),
            inside: 0,
            busy: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            since_start: options.cold.requests,
            crash: CancellationToken::new(),
            report: Report::default(),
            sample: Sample::default(),
            sampled: Millis::ZERO,
            leaving: None,
        };
        Self { options, audit, slots, inner: Mutex::new(inner) }
    }

    /// Takes a request in, or tells why not.
    pub(crate) fn enter(&self) -> Result<Inside<'_>, Refused> {
        let mut inner = self.inner.lock();
        if inner.leaving.is_some_and(|at| BootClock.now().since(at) > self.options.drain_grace) {
            inner.stats.refused_leaving += 1;
            return Err(Refused::Leaving);
        }
        if inner.inside >= self.options.slots {
            inner.stats.over_slots += 1;
        }
        if inner.inside >= self.options.slots + self.options.queue_max {
            inner.stats.shed += 1;
            return Err(Refused::Shed);
        }
        inner.stats.taken += 1;
        inner.inside += 1;
        inner.stats.inside_max = inner.stats.inside_max.max(inner.inside);
        Ok(Inside { state: self })
    }

    /// Marks the start of a run in the slot of `permit`, and draws its service time in
    /// milliseconds.
    pub(crate) fn start<'a>(&'a self, permit: SemaphorePermit<'a>) -> (Running<'a>, f64) {
        let mut inner = self.inner.lock();
        inner.busy += 1;
        let cold = self.options.cold.factor_at(inner.since_start);
        inner.since_start += 1;
        let took_ms = self.options.service_time.sample(&mut inner.rng) * cold;
        let began = BootClock.now();
        (Running { state: self, began, done: false, _permit: permit }, took_ms)
    }

    /// Counts a request that was refused after it had waited.
    pub(crate) fn shed_late(&self) {
        self.inner.lock().stats.shed += 1;
    }

    /// The load as the server reports it now, or nothing if it is silent.
    pub(crate) fn report(&self) -> Option<Sample> {
        let mut inner = self.inner.lock();
        let now = BootClock.now();
        if now.since(inner.sampled) >= self.options.report_lag {
            inner.sampled = now;
            inner.sample = Sample { busy: inner.busy, queued: inner.inside - inner.busy };
        }
        match inner.report {
            Report::Lagging => Some(inner.sample),
            Report::Idle => Some(Sample::default()),
            Report::Silent => None,
        }
    }

    pub(crate) fn set_report(&self, report: Report) {
        self.inner.lock().report = report;
    }

    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.inner.lock().leaving = leaving.then(|| BootClock.now());
    }

    pub(crate) fn leaving(&self) -> bool {
        self.inner.lock().leaving.is_some()
    }

    /// Breaks every connection; the server task restarts the server.
    pub(crate) fn crash(&self) {
        let mut inner = self.inner.lock();
        inner.stats.crashes += 1;
        inner.crash.cancel();
    }

    /// The token that a crash of the present run of the server cancels.
    pub(crate) fn crash_token(&self) -> CancellationToken {
        self.inner.lock().crash.clone()
    }

    /// Starts again after a crash: cold.
    pub(crate) fn restart(&self) {
        let mut inner = self.inner.lock();
        inner.crash = CancellationToken::new();
        inner.since_start = 0;
    }

    pub(crate) fn count_connection(&self) {
        self.inner.lock().stats.connections += 1;
    }

    pub(crate) fn stats(&self) -> Stats {
        self.inner.lock().stats
    }
}

impl Running<'_> {
    /// Ends the run with a whole answer.
    pub(crate) fn finish(mut self) {
        self.done = true;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut inner = self.state.inner.lock();
        inner.busy -= 1;
        inner.stats.busy = inner.stats.busy + BootClock.now().since(self.began);
        if self.done {
            inner.stats.answered += 1;
        } else {
            inner.stats.given_up += 1;
        }
    }
}

impl Drop for Inside<'_> {
    fn drop(&mut self) {
        self.state.inner.lock().inside -= 1;
    }
}
