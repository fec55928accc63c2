//! Reads the platform's store, for this host and for others of its region.
//!
//! Few hosts of a region read the store; the others hear from them that there is something new and
//! ask them for it. A host that reads by itself does so because it is chosen, or because nobody else
//! tells it anything.

use std::sync::Arc;

use foxtail_types::prelude::*;
use rand::Rng;

use crate::cx::Cx;
use crate::ports::{Area, Error, Fact, Facts};

/// How long one call waits for a change.
const WAIT: Millis = Millis::secs(20);

/// After a change, more changes are gathered for this long before the next call.
const GATHER: Millis = Millis(400);

/// The first pause after a failed call; it doubles up to [`PAUSE_MOST`].
const PAUSE_FIRST: Millis = Millis(100);

/// The longest pause between two calls to a store that fails.
const PAUSE_MOST: Millis = Millis(1_000);

/// Registrations that vanish this soon after an outage of the store may have lapsed during it.
const LAPSED_AFTER_OUTAGE: Millis = Millis(2_200);

/// How long a host that starts listens to others before it decides whether to read the store.
const LISTEN_FIRST: Millis = Millis(400);

/// A host that was told nothing for this long after its start reads the store itself.
const TOLD_NOTHING: Millis = Millis(1_200);

/// How often a host that leaves reading to others looks whether it still may.
const LOOK_EVERY: Millis = Millis(300);

/// A follower of one area.
struct Follower {
    cx: Arc<Cx>,
    area: Area,
    started: Millis,
    /// Whether changes can't be followed and everything has to be read.
    read_all: bool,
    /// Since when the store fails, if it does.
    failing: Option<Millis>,
    pause: Millis,
    /// Until when registrations that vanish may have lapsed.
    lenient_until: Millis,
}

/// Follows `area` until the host ends.
pub(crate) async fn follow(cx: Arc<Cx>, area: Area) {
    let ended = cx.life.ended.clone();
    let started = cx.now();
    let follower = Follower {
        cx,
        area,
        started,
        read_all: false,
        failing: None,
        pause: PAUSE_FIRST,
        lenient_until: Millis::ZERO,
    };
    ended.run_until_cancelled(follower.run()).await;
}

impl Follower {
    async fn run(mut self) {
        tokio::time::sleep(LISTEN_FIRST.duration()).await;
        let mut reading = false;
        loop {
            let reads = self.reads();
            if reads != reading {
                tracing::info!(event = "reads_store", area = ?self.area, reads);
                reading = reads;
            }
            if !reads {
                tokio::time::sleep(LOOK_EVERY.duration()).await;
            } else if self.read_all || self.cx.version(self.area) == 0 {
                self.read_all().await;
            } else {
                self.read_changes().await;
            }
        }
    }

    /// Whether this host reads the store.
    fn reads(&self) -> bool {
        let now = self.cx.now();
        let told = self.cx.version(self.area) > 0;
        self.cx.fleet.lock().is_reader(now) || (!told && now.since(self.started) > TOLD_NOTHING)
    }

    /// Reads the whole area.
    async fn read_all(&mut self) {
        let since = self.cx.now();
        let read = self.cx.store.read(self.area).await;
        self.count("read", &read, since);
        match read {
            Ok(facts) => {
                self.reached();
                let lapsed = self.cx.now() < self.lenient_until;
                if self.cx.learn(self.area, facts, lapsed, "store") {
                    self.read_all = false;
                    self.cx.news.notify_one();
                } else {
                    // A copy of the store that lags behind what was read before.
                    self.rest().await;
                }
            }
            Err(e) => self.failed(&e).await,
        }
    }

    /// Waits for changes and takes them in.
    async fn read_changes(&mut self) {
        let since = self.cx.now();
        let version = self.cx.version_read(self.area);
        let changes = self.cx.store.changes(self.area, version, WAIT).await;
        self.count("changes", &changes, since);
        match changes {
            Ok(mut facts) => {
                self.reached();
                let any = !facts.facts.is_empty();
                if self.cx.now() < self.lenient_until {
                    facts.facts.iter_mut().for_each(mark_lapsed);
                }
                self.cx.learn(self.area, facts, false, "store");
                if any {
                    self.cx.news.notify_one();
                    tokio::time::sleep(GATHER.duration()).await;
                }
            }
            Err(Error::Forgotten) => {
                tracing::info!(event = "store_history_lost", area = ?self.area, version);
                self.read_all = true;
                self.read_all().await;
            }
            Err(e) => self.failed(&e).await,
        }
    }

    fn reached(&mut self) {
        self.pause = PAUSE_FIRST;
        if let Some(since) = self.failing.take() {
            let now = self.cx.now();
            self.lenient_until = now + LAPSED_AFTER_OUTAGE;
            self.cx.fleet.lock().set_store_lost(false);
            tracing::info!(event = "store_regained", area = ?self.area,
                lost_ms = now.since(since).0);
        }
    }

    async fn failed(&mut self, e: &Error) {
        if self.failing.is_none() {
            tracing::warn!(event = "store_lost", area = ?self.area, error = %e,
                version = self.cx.version(self.area));
            self.failing = Some(self.cx.now());
            self.cx.fleet.lock().set_store_lost(true);
        }
        self.rest().await;
    }

    /// Pauses before the next call, longer each time, and not in step with other hosts.
    async fn rest(&mut self) {
        let most = self.pause.0;
        let pause = Millis(rand::rng().random_range(most / 2..=most));
        self.pause = (self.pause * 2).min(PAUSE_MOST);
        tokio::time::sleep(pause.duration()).await;
    }

    fn count(&self, call: &'static str, result: &Result<Facts, Error>, since: Millis) {
        let (outcome, facts) = match result {
            Ok(facts) => ("done", facts.facts.len()),
            Err(Error::Unavailable(_)) => ("unavailable", 0),
            Err(Error::Throttled) => ("throttled", 0),
            Err(Error::Unreachable(_)) => ("unreachable", 0),
            Err(Error::NoAnswer(_)) => ("no-answer", 0),
            Err(Error::Forgotten) => ("forgotten", 0),
            Err(Error::Malformed(_)) => ("malformed", 0),
        };
        self.cx.metrics.store_call(call, outcome, facts, self.cx.now().since(since));
    }
}

fn mark_lapsed(fact: &mut Fact) {
    if let Fact::UpstreamGone { lapsed, .. } = fact {
        *lapsed = true;
    }
}
