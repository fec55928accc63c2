//! Follows the platform's store, for this host and for others of its region.
//!
//! A few hosts of each region read the store; the others learn from digests that there are changes
//! and pull them from these hosts. The first of them confirms at short intervals that there is nothing
//! new. A host reads the store if it is one of the chosen readers, or if it still has no facts of the area
//! some time after its start, and asks it once if its view is too old.

use std::sync::Arc;

use foxtail_steer::view_age::{Asking, Confirmation};
use foxtail_types::prelude::*;
use rand::Rng;

use crate::context::HostContext;
use crate::knowledge::STORE;
use crate::ports::{Area, Error, Fact, Facts};

/// How long a call waits for a change in the store if another reader confirms the view. If that one fails,
/// the end of the call confirms it before the store counts as out.
const LONG_POLL_TIMEOUT: Millis = Millis(1_500);

/// How long a call of the reader that confirms the view waits for a change.
const CONFIRM_INTERVAL: Millis = Millis(600);

/// How long a call waits for a change while the store fails, or if this host only asks once. It is short,
/// so that the end of an outage is noticed when the store returns, and not with the next change.
const SHORT_POLL_TIMEOUT: Millis = Millis(10);

/// The pause after a change, so that the next call returns several changes at once.
const BATCH_DELAY: Millis = Millis(400);

/// The first pause after a failed call; it doubles up to [`MAX_RETRY_PAUSE`].
const INITIAL_RETRY_PAUSE: Millis = Millis(100);

/// The maximum pause between two calls while the store fails.
const MAX_RETRY_PAUSE: Millis = Millis(1_000);

/// How long after the store was restored from an older copy all rows are read once more. By then
/// what was lost is written again, and registrations of upstreams that are gone have lapsed.
const RESTORED_READ_DELAY: Millis = Millis(6_000);

/// How long a starting host waits for digests before it decides whether to read the store.
const INITIAL_LISTEN: Millis = Millis(400);

/// A host that still has no facts of an area this long after its start reads the store itself.
const NO_UPDATE_TIMEOUT: Millis = Millis(1_200);

/// How often a host that does not read the store checks whether it has to.
const READER_CHECK_INTERVAL: Millis = Millis(300);

/// Follows one area of the store.
struct Follower {
    cx: Arc<HostContext>,
    area: Area,
    started: Millis,
    /// Whether all rows must be read because the store no longer has the changes.
    must_read_all: bool,
    /// When calls to the store began to fail; `None` while they succeed.
    failing_since: Option<Millis>,
    /// When the last call before the present one ended.
    last_call: Millis,
    /// The pause after the next failed call, before jitter.
    pause: Millis,
    /// When all rows are read once more after the store was restored.
    read_again_at: Option<Millis>,
}

/// Follows `area` of the store until the host ends.
pub(crate) async fn follow(cx: Arc<HostContext>, area: Area) {
    let ended = cx.lifecycle.ended.clone();
    let started = cx.now();
    let follower = Follower {
        cx,
        area,
        started,
        must_read_all: false,
        failing_since: None,
        last_call: started,
        pause: INITIAL_RETRY_PAUSE,
        read_again_at: None,
    };
    ended.run_until_cancelled(follower.run()).await;
}

impl Follower {
    async fn run(mut self) {
        tokio::time::sleep(INITIAL_LISTEN.duration()).await;
        let mut reading = false;
        loop {
            let rank = self.reader_rank();
            let reads = rank.is_some();
            if reads != reading {
                tracing::info!(event = "reads_store", area = ?self.area, reads);
                reading = reads;
                self.forget_failures();
            }
            if !reads && !self.asks_once() {
                self.wait_to_ask().await;
            } else if self.must_read_all
                || self.cx.known_version(self.area) == 0
                || self.read_again_at.is_some_and(|at| at <= self.cx.now())
            {
                self.read_all().await;
            } else {
                self.read_changes(rank).await;
            }
        }
    }

    /// Returns this host's place among the readers of the store, or `None` if it should not read it.
    fn reader_rank(&self) -> Option<usize> {
        let now = self.cx.now();
        let rank = self.cx.fleet.lock().reader_rank(now);
        let has_version = self.cx.known_version(self.area) > 0;
        let is_unserved = !has_version && now.since(self.started) > NO_UPDATE_TIMEOUT;
        rank.or(is_unserved.then_some(0))
    }

    /// Forgets that calls failed. A host that no longer reads does not know whether they still would.
    fn forget_failures(&mut self) {
        self.pause = INITIAL_RETRY_PAUSE;
        if self.failing_since.take().is_some() {
            self.cx.fleet.lock().set_store_lost(false);
        }
    }

    /// Returns whether this host, which does not read the store, asks it now, since its view is too old.
    fn asks_once(&self) -> bool {
        let now = self.cx.now();
        let store_may_be_out = self.cx.store_may_be_out(now);
        let hosts = self.cx.fleet.lock().alive_targets(now).len() + 1;
        let asking = Asking { hosts, draw: rand::rng().random(), store_may_be_out };
        let asks = self.cx.store_replica.lock().asks(self.area, &asking, now);
        if asks {
            tracing::info!(event = "view_old", area = ?self.area,
                age_ms = self.cx.view_age(self.area).0, version = self.cx.known_version(self.area));
        }
        asks
    }

    /// Waits until it is time to decide anew whether to ask the store.
    async fn wait_to_ask(&mut self) {
        if !self.cx.is_view_old(self.area) {
            self.forget_failures();
        }
        tokio::select! {
            () = tokio::time::sleep(READER_CHECK_INTERVAL.duration()) => {}
            () = self.cx.view_old.notified() => {}
        }
    }

    /// Returns for how long the next call of the reader with this `rank` waits for a change.
    fn poll_timeout(&self, rank: Option<usize>, now: Millis) -> Millis {
        let confirms = rank == Some(0) || self.cx.is_view_old(self.area);
        let wait = if rank.is_none() || self.failing_since.is_some() {
            SHORT_POLL_TIMEOUT
        } else if confirms {
            CONFIRM_INTERVAL
        } else {
            LONG_POLL_TIMEOUT
        };
        self.read_again_at.map_or(wait, |at| wait.min(at.since(now)))
    }

    /// Reads all rows of the area.
    async fn read_all(&mut self) {
        let call_started = self.cx.now();
        let read = self.cx.store.read(self.area).await;
        self.record_call("read", &read, call_started);
        match read {
            Ok(facts) => {
                self.record_success();
                let now = self.cx.now();
                let lapsed = self.cx.store_news.lock().may_have_lapsed(now);
                self.read_again_at = self.read_again_at.filter(|at| *at > now);
                if self.cx.is_restored_at(self.area, facts.version) {
                    tracing::warn!(event = "store_restored", area = ?self.area,
                        version = facts.version, known = self.cx.known_version(self.area));
                    self.read_again_at = Some(now + RESTORED_READ_DELAY);
                }
                if self.cx.apply_facts(self.area, facts, lapsed, STORE) {
                    self.must_read_all = false;
                    self.cx.notify_peers.notify_one();
                } else {
                    // The rows came from a replica of the store that lags behind the known version.
                    self.back_off().await;
                }
            }
            Err(e) => self.handle_failure(&e).await,
        }
    }

    /// Waits for changes and applies them.
    async fn read_changes(&mut self, rank: Option<usize>) {
        let call_started = self.cx.now();
        let version = self.cx.read_version(self.area);
        let wait = self.poll_timeout(rank, call_started);
        let changes = self.cx.store.changes(self.area, version, wait).await;
        self.record_call("changes", &changes, call_started);
        match changes {
            Ok(mut facts) => {
                self.record_success();
                let any_changes = !facts.facts.is_empty();
                if self.cx.store_news.lock().may_have_lapsed(self.cx.now()) {
                    facts.facts.iter_mut().for_each(mark_lapsed);
                }
                let is_current = self.cx.apply_facts(self.area, facts, false, STORE);
                let waited_in_vain = !any_changes && self.cx.now().since(call_started) >= wait;
                let at = if waited_in_vain { call_started + wait } else { call_started };
                let version = self.cx.known_version(self.area);
                // An answer from before what this host knows comes from a replica that lags behind.
                if is_current {
                    self.cx.confirm_view(self.area, Confirmation { version, at }, true);
                }
                if any_changes {
                    self.cx.notify_peers.notify_one();
                    tokio::time::sleep(BATCH_DELAY.duration()).await;
                }
            }
            Err(Error::Forgotten) => {
                tracing::info!(event = "store_history_lost", area = ?self.area, version);
                self.must_read_all = true;
                self.read_all().await;
            }
            Err(e) => self.handle_failure(&e).await,
        }
    }

    /// Resets the backoff, and records the end of a store outage.
    fn record_success(&mut self) {
        self.pause = INITIAL_RETRY_PAUSE;
        let now = self.cx.now();
        let silence = self.cx.store_news.lock().silence(now);
        if self.area == Area::Upstreams {
            self.cx.store_news.lock().record(now);
        }
        if let Some(failing_since) = self.failing_since.take() {
            self.cx.fleet.lock().set_store_lost(false);
            let for_all = self.cx.store_news.lock().may_have_lapsed(now);
            tracing::info!(event = "store_regained", area = ?self.area, for_all,
                lost_ms = now.since(failing_since).0, silence_ms = silence.0,
                unasked_ms = now.since(self.last_call).0);
        }
        self.last_call = now;
    }

    /// Records the start of a store outage, and waits before the next call.
    async fn handle_failure(&mut self, e: &Error) {
        if self.failing_since.is_none() {
            tracing::warn!(event = "store_lost", area = ?self.area, error = %e,
                version = self.cx.known_version(self.area));
            self.failing_since = Some(self.cx.now());
            self.cx.fleet.lock().set_store_lost(true);
        }
        self.last_call = self.cx.now();
        self.back_off().await;
    }

    /// Waits before the next call: exponential backoff with jitter, so that hosts do not retry in
    /// step.
    async fn back_off(&mut self) {
        let max_ms = self.pause.0;
        let pause = Millis(rand::rng().random_range(max_ms / 2..=max_ms));
        self.pause = (self.pause * 2).min(MAX_RETRY_PAUSE);
        tokio::time::sleep(pause.duration()).await;
    }

    fn record_call(&self, call: &'static str, result: &Result<Facts, Error>, call_started: Millis) {
        let (outcome, facts) = match result {
            Ok(facts) => ("done", facts.facts.len()),
            Err(Error::Unavailable(_)) => ("unavailable", 0),
            Err(Error::Throttled) => ("throttled", 0),
            Err(Error::Unreachable(_)) => ("unreachable", 0),
            Err(Error::NoAnswer(_)) => ("no-answer", 0),
            Err(Error::Forgotten) => ("forgotten", 0),
            Err(Error::Malformed(_)) => ("malformed", 0),
        };
        self.cx.metrics.record_store_call(call, outcome, facts, self.cx.now().since(call_started));
    }
}

fn mark_lapsed(fact: &mut Fact) {
    if let Fact::UpstreamGone { lapsed, .. } = fact {
        *lapsed = true;
    }
}
