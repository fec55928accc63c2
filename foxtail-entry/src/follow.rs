//! Follows the platform's store: configuration, evacuations and upstreams.

use std::collections::BTreeMap;
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

/// Registrations that vanished while the store was out are kept for this long after its return:
/// upstreams that live are registered again by then.
const KEEP_AFTER_OUTAGE: Millis = Millis(2_200);

/// A follower of one area.
struct Follower {
    cx: Arc<Cx>,
    area: Area,
    /// The newest version that was read.
    version: u64,
    /// Since when the store fails, if it does.
    failing: Option<Millis>,
    pause: Millis,
    /// Until when vanished registrations are kept.
    lenient_until: Millis,
    /// Upstreams that vanished, and when they are taken for gone.
    vanished: BTreeMap<UpstreamId, Millis>,
}

/// Follows `area` until the host ends.
pub(crate) async fn follow(cx: Arc<Cx>, area: Area) {
    let ended = cx.life.ended.clone();
    let follower = Follower {
        cx,
        area,
        version: 0,
        failing: None,
        pause: PAUSE_FIRST,
        lenient_until: Millis::ZERO,
        vanished: BTreeMap::new(),
    };
    tokio::select! {
        () = follower.run() => {}
        () = ended.cancelled() => {}
    }
}

impl Follower {
    async fn run(mut self) {
        loop {
            self.read_all().await;
            while self.read_changes().await {}
        }
    }

    /// Reads the whole area, until it succeeds.
    async fn read_all(&mut self) {
        loop {
            let since = self.cx.now();
            let read = self.cx.store.read(self.area).await;
            self.count("read", &read, since);
            match read {
                Ok(facts) if facts.version < self.version => {
                    // A copy of the store that lags behind what was read before.
                    tracing::info!(event = "store_lags", area = ?self.area,
                        version = facts.version, held = self.version);
                    self.rest().await;
                }
                Ok(facts) => {
                    self.reached();
                    self.version = facts.version;
                    self.apply_all(facts);
                    return;
                }
                Err(e) => self.failed(&e).await,
            }
        }
    }

    /// Waits for changes and applies them. Tells whether the history goes on.
    async fn read_changes(&mut self) -> bool {
        let next_due = self.vanished.values().min().copied();
        let wait = next_due.map_or(WAIT, |due| due.since(self.cx.now()).max(Millis(1)).min(WAIT));
        let since = self.cx.now();
        let changes = self.cx.store.changes(self.area, self.version, wait).await;
        self.count("changes", &changes, since);
        match changes {
            Ok(facts) => {
                self.reached();
                let any = !facts.facts.is_empty();
                self.version = self.version.max(facts.version);
                for fact in facts.facts {
                    self.apply(fact);
                }
                self.expire();
                if any {
                    tokio::time::sleep(GATHER.duration()).await;
                }
                true
            }
            Err(Error::Forgotten) => {
                tracing::info!(event = "store_history_lost", area = ?self.area,
                    version = self.version);
                false
            }
            Err(e) => {
                self.failed(&e).await;
                true
            }
        }
    }

    fn apply_all(&mut self, facts: Facts) {
        let now = self.cx.now();
        let mut upstreams = Vec::new();
        let mut zones = Vec::new();
        for fact in facts.facts {
            match fact {
                Fact::Upstream(up) => upstreams.push(up),
                Fact::Evacuation { zone, on: true } => zones.push(zone),
                fact => self.apply(fact),
            }
        }
        match self.area {
            Area::Upstreams => {
                tracing::info!(
                    event = "upstreams_read",
                    count = upstreams.len(),
                    version = self.version
                );
                self.set_upstreams(upstreams, now);
                if self.cx.life.read_upstreams() {
                    self.cx.ready();
                }
            }
            Area::Operators => {
                let mut steering = self.cx.steering.lock();
                let ended: Vec<ZoneId> =
                    steering.evacuated().filter(|zone| !zones.contains(zone)).cloned().collect();
                for zone in &ended {
                    steering.end_evacuation(zone, now);
                }
                for zone in zones {
                    steering.evacuate(zone, now);
                }
                let configured = steering.config().is_some();
                drop(steering);
                if configured && self.cx.life.read_operators() {
                    self.cx.ready();
                }
            }
            Area::Hosts => {}
        }
    }

    /// Takes in all registrations; while the store has just returned, missing ones are kept.
    fn set_upstreams(&mut self, mut upstreams: Vec<foxtail_steer::Upstream>, now: Millis) {
        let mut steering = self.cx.steering.lock();
        if now < self.lenient_until {
            let held = steering.registered();
            for up in held {
                if !upstreams.iter().any(|other| other.id == up.id) {
                    self.vanished.entry(up.id.clone()).or_insert(self.lenient_until);
                    upstreams.push(up);
                }
            }
        }
        steering.set_upstreams(upstreams, now);
    }

    fn apply(&mut self, fact: Fact) {
        let now = self.cx.now();
        let cx = Arc::clone(&self.cx);
        let mut steering = cx.steering.lock();
        match fact {
            Fact::Config(cfg) => {
                let version = cfg.version;
                let routes = cfg.routes().len();
                let newer = steering.set_config(*cfg);
                drop(steering);
                tracing::info!(event = "config", %version, routes, in_force = newer);
                if cx.life.read_operators() {
                    cx.ready();
                }
            }
            Fact::Evacuation { zone, on } => {
                tracing::info!(event = "evacuation", %zone, on, version = self.version);
                if on {
                    steering.evacuate(zone, now);
                } else {
                    steering.end_evacuation(&zone, now);
                }
            }
            Fact::Upstream(up) => {
                tracing::info!(event = "upstream", upstream = %up.id, service = %up.service,
                    zone = %up.zone, draining = up.draining, cold_ms = up.cold_for.0,
                    version = self.version);
                self.vanished.remove(&up.id);
                steering.set_upstream(up, now);
            }
            Fact::UpstreamGone(id) => {
                let lenient = now < self.lenient_until;
                tracing::info!(event = "upstream_gone", upstream = %id, kept = lenient,
                    version = self.version);
                if lenient {
                    self.vanished.insert(id, self.lenient_until);
                } else {
                    steering.remove_upstream(&id);
                    cx.pool.retain(|known| *known != id);
                }
            }
            Fact::Host(record) => cx.fleet.lock().learn(record),
            Fact::Unreadable { key, why } => {
                tracing::warn!(event = "row_unreadable", area = ?self.area, key, why);
            }
        }
    }

    /// Takes those registrations for gone that did not come back after an outage.
    fn expire(&mut self) {
        let now = self.cx.now();
        let due: Vec<UpstreamId> = self
            .vanished
            .iter()
            .filter(|&(_, due)| *due <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            tracing::info!(event = "upstream_gone", upstream = %id, kept = false,
                version = self.version);
            self.vanished.remove(&id);
            self.cx.steering.lock().remove_upstream(&id);
            self.cx.pool.retain(|known| *known != id);
        }
    }

    fn reached(&mut self) {
        self.pause = PAUSE_FIRST;
        if let Some(since) = self.failing.take() {
            let now = self.cx.now();
            self.lenient_until = now + KEEP_AFTER_OUTAGE;
            tracing::info!(event = "store_regained", area = ?self.area,
                lost_ms = now.since(since).0);
        }
    }

    async fn failed(&mut self, e: &Error) {
        if self.failing.is_none() {
            tracing::warn!(event = "store_lost", area = ?self.area, error = %e,
                version = self.version);
            self.failing = Some(self.cx.now());
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
            Err(Error::NoAnswer(_)) => ("no-answer", 0),
            Err(Error::Forgotten) => ("forgotten", 0),
            Err(Error::Malformed(_)) => ("malformed", 0),
        };
        self.cx.metrics.store_call(call, outcome, facts, self.cx.now().since(since));
    }
}
