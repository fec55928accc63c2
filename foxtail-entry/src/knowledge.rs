//! The host's copy of the store. Applies facts to steering and fleet, whether this host read them
//! from the store or pulled them from another host.

use foxtail_steer::fleet::Versions;
use foxtail_steer::pull_queue::Step;
use foxtail_steer::view_age::{Asking, Confirmation, NEWS_STEP, Patience, ViewAges};
use foxtail_steer::{LapsedUpstreams, PullQueue, ViewAge};
use foxtail_types::prelude::*;

use crate::context::HostContext;
use crate::ports::{Area, Fact, Facts};
use crate::replica::AreaReplica;

/// The source of facts that this host read itself.
pub(crate) const STORE: &str = "store";

/// The host's copy of the store's areas.
#[derive(Debug)]
pub(crate) struct StoreReplica {
    operators: AreaReplica,
    upstreams: AreaReplica,
    operator_pulls: PullQueue,
    upstream_pulls: PullQueue,
    operator_view: ViewAge,
    upstream_view: ViewAge,
    /// The newest confirmation of the upstreams that other hosts were told of as news; that of the
    /// operators' area goes along.
    told: Option<Millis>,
    lapsed: LapsedUpstreams,
}

impl StoreReplica {
    /// Creates the empty copy of the host called `own`, which starts at `now`.
    pub(crate) fn new(own: &HostId, now: Millis) -> Self {
        Self {
            operators: AreaReplica::default(),
            upstreams: AreaReplica::default(),
            operator_pulls: PullQueue::new(own),
            upstream_pulls: PullQueue::new(own),
            operator_view: ViewAge::new(Patience::OPERATORS, now),
            upstream_view: ViewAge::new(Patience::UPSTREAMS, now),
            told: None,
            lapsed: LapsedUpstreams::default(),
        }
    }

    /// Returns the copy of `area`; hosts' registrations have none.
    pub(crate) fn area(&mut self, area: Area) -> Option<&mut AreaReplica> {
        match area {
            Area::Operators => Some(&mut self.operators),
            Area::Upstreams => Some(&mut self.upstreams),
            Area::Hosts => None,
        }
    }

    /// Calls `next` with the state of pulls of `area` from other hosts and the version up to which
    /// this host's copy is complete, and returns the step that it returns.
    pub(crate) fn next_pull(
        &mut self,
        area: Area,
        next: impl FnOnce(&mut PullQueue, u64) -> Step,
    ) -> Step {
        match area {
            Area::Operators => next(&mut self.operator_pulls, self.operators.read_version()),
            Area::Upstreams => next(&mut self.upstream_pulls, self.upstreams.read_version()),
            Area::Hosts => Step::Idle,
        }
    }

    /// Records that this host knows `area` up to its present version, which the store itself told if it is
    /// the `source`. Returns for how long the host lacked a change that other hosts had, if it has all of
    /// them now.
    fn catch_up(&mut self, area: Area, source: &str, now: Millis) -> Option<Millis> {
        let (pulls, held) = match area {
            Area::Operators => (&mut self.operator_pulls, self.operators.read_version()),
            Area::Upstreams => (&mut self.upstream_pulls, self.upstreams.read_version()),
            Area::Hosts => return None,
        };
        pulls.catch_up(held, source == STORE, now)
    }

    /// Returns how current the copy of `area` is.
    pub(crate) fn view(&mut self, area: Area) -> Option<&mut ViewAge> {
        match area {
            Area::Operators => Some(&mut self.operator_view),
            Area::Upstreams => Some(&mut self.upstream_view),
            Area::Hosts => None,
        }
    }

    /// Returns whether this host asks the store for changes of `area` now, since its copy is too old.
    pub(crate) fn asks(&mut self, area: Area, asking: &Asking, now: Millis) -> bool {
        let behind_since = match area {
            Area::Operators => self.operator_pulls.behind_since(),
            Area::Upstreams => self.upstream_pulls.behind_since(),
            Area::Hosts => None,
        };
        self.view(area).is_some_and(|view| view.asks(behind_since, asking, now))
    }

    fn confirmed_at(&self) -> ViewAges {
        ViewAges {
            operators: self.operator_view.confirmed_at(),
            upstreams: self.upstream_view.confirmed_at(),
        }
    }

    /// Returns whether the copy was confirmed anew, so that other hosts are told, and records that they are.
    fn has_news(&mut self) -> bool {
        let confirmed_at = self.upstream_view.confirmed_at();
        let is_news =
            confirmed_at.is_some_and(|at| self.told.is_none_or(|told| at >= told + NEWS_STEP));
        if is_news {
            self.told = confirmed_at;
        }
        is_news
    }

    fn versions(&self) -> Versions {
        Versions { operators: self.operators.version(), upstreams: self.upstreams.version() }
    }
}

impl HostContext {
    /// Returns the newest version of `area` that the host knows; 0 if none.
    pub(crate) fn known_version(&self, area: Area) -> u64 {
        self.store_replica.lock().area(area).map_or(0, |replica| replica.version())
    }

    /// Returns the version of `area` up to which this host's copy is complete, after which changes are
    /// requested.
    pub(crate) fn read_version(&self, area: Area) -> u64 {
        self.store_replica.lock().area(area).map_or(0, |replica| replica.read_version())
    }

    /// Returns how long ago the view of `area` was known to lack nothing.
    pub(crate) fn view_age(&self, area: Area) -> Millis {
        let now = self.now();
        self.store_replica.lock().view(area).map_or(Millis::ZERO, |view| view.age(now))
    }

    /// Returns whether the view of `area` is so old that it counts as unconfirmed.
    pub(crate) fn is_view_old(&self, area: Area) -> bool {
        let now = self.now();
        self.store_replica.lock().view(area).is_some_and(|view| view.is_old(now))
    }

    /// Returns whether the store was restored between the known version of `area` and `version`.
    pub(crate) fn is_restored_at(&self, area: Area, version: u64) -> bool {
        let mut store_replica = self.store_replica.lock();
        store_replica.area(area).is_some_and(|replica| replica.is_restored_at(version))
    }

    /// Applies facts received from `source`. Returns `false` if they are older than the known
    /// version.
    ///
    /// If `facts` are all rows of the area, `lapsed` says that registrations missing in them may
    /// have lapsed during a store outage.
    pub(crate) fn apply_facts(&self, area: Area, facts: Facts, lapsed: bool, source: &str) -> bool {
        let now = self.now();
        let version = facts.version;
        // Another host may take a fault of its own for an outage of the store.
        let may_have_lapsed = source == STORE
            || self.is_restored_at(area, version)
            || self.store_news.lock().may_have_lapsed(now);
        let (changed, is_news, behind) = {
            let mut store_replica = self.store_replica.lock();
            let Some(replica) = store_replica.area(area) else { return true };
            let Some(changed) = replica.apply(facts, lapsed, now) else {
                tracing::info!(
                    event = "facts_older",
                    ?area,
                    source,
                    version,
                    held = replica.version()
                );
                return false;
            };
            let held = replica.read_version();
            if let Some(view) = store_replica.view(area) {
                view.hold(held);
            }
            let behind = store_replica.catch_up(area, source, now);
            let (versions, confirmed_at) = (store_replica.versions(), store_replica.confirmed_at());
            self.fleet.lock().set_view(versions, confirmed_at);
            (changed, store_replica.has_news(), behind)
        };
        if is_news {
            self.tell_view_age();
        }
        if !changed.is_empty() {
            tracing::info!(
                event = "facts",
                ?area,
                source,
                version,
                count = changed.len(),
                behind_ms = behind.map(|behind| behind.0)
            );
        }
        for mut fact in changed {
            if let Fact::UpstreamGone { lapsed, .. } = &mut fact {
                *lapsed &= may_have_lapsed;
            }
            self.apply_fact(fact, version, now);
        }
        let complete = match area {
            Area::Operators => {
                self.steering.lock().config().is_some() && self.lifecycle.mark_operators_read()
            }
            Area::Upstreams => self.lifecycle.mark_upstreams_read(),
            Area::Hosts => false,
        };
        if complete {
            self.mark_ready();
        }
        true
    }

    /// Records that `area` had no change after the confirmed version at the confirmed time, as this host has
    /// `read` or another one told, and tells other hosts.
    pub(crate) fn confirm_view(&self, area: Area, confirmation: Confirmation, read: bool) {
        if area == Area::Upstreams {
            self.store_news.lock().record(confirmation.at);
        }
        let is_news = {
            let mut store_replica = self.store_replica.lock();
            let held = store_replica.area(area).map_or(0, |replica| replica.read_version());
            let Some(view) = store_replica.view(area) else { return };
            match read {
                true => view.confirm(confirmation, held),
                false => view.confirm_told(confirmation, held, self.now()),
            }
            let (versions, confirmed_at) = (store_replica.versions(), store_replica.confirmed_at());
            self.fleet.lock().set_view(versions, confirmed_at);
            store_replica.has_news()
        };
        if is_news {
            self.tell_view_age();
        }
    }

    /// Tells other hosts that the view was confirmed anew, and wakes the requests that wait for it.
    fn tell_view_age(&self) {
        self.view_confirmed.notify_waiters();
        self.view_news.lock().add();
        self.news_added.notify_one();
    }

    /// Records that this host did not run between `from` and `to`, and asks the store what it missed.
    pub(crate) fn record_suspension(&self, from: Millis, to: Millis) {
        tracing::warn!(event = "suspended", for_ms = to.since(from).0);
        self.store_news.lock().record_suspension(from, to);
        let mut store_replica = self.store_replica.lock();
        store_replica.operator_view.record_suspension(to);
        store_replica.upstream_view.record_suspension(to);
        self.view_old.notify_waiters();
    }

    /// Returns whether the store may be out: hosts say that they can't reach it, and nobody has told of an
    /// answer lately.
    pub(crate) fn store_may_be_out(&self, now: Millis) -> bool {
        let silence = self.store_news.lock().silence(now);
        silence > Patience::UPSTREAMS.max_age && self.fleet.lock().store_may_be_out(now)
    }

    /// Waits until the view of upstreams is current enough for a request to be sent to one of them, if it is
    /// not: this host may not have run for a while, and upstreams may have left meanwhile.
    pub(crate) async fn hold_for_view(&self) {
        loop {
            let confirmed = self.view_confirmed.notified();
            let now = self.now();
            let is_out = self.store_may_be_out(now);
            let Some(left) = self.store_replica.lock().upstream_view.hold_requests(is_out, now)
            else {
                return;
            };
            self.view_old.notify_waiters();
            tokio::select! {
                () = confirmed => {}
                () = tokio::time::sleep(left.duration()) => {}
            }
        }
    }

    /// Removes the upstreams whose registration did not return in time after an outage.
    pub(crate) fn remove_lapsed_upstreams(&self) {
        let now = self.now();
        let expired = self.store_replica.lock().lapsed.take_expired(now);
        for id in expired {
            tracing::info!(event = "upstream_gone", upstream = %id, lapsed = true);
            self.remove_upstream(&id);
        }
    }

    fn apply_fact(&self, fact: Fact, version: u64, now: Millis) {
        match fact {
            Fact::Config(cfg) => {
                let (config, routes) = (cfg.version, cfg.routes().len());
                let newer = self.steering.lock().set_config(*cfg);
                tracing::info!(event = "config", version = %config, routes, in_force = newer);
            }
            Fact::Evacuation { zone, on } => {
                tracing::info!(event = "evacuation", %zone, on, version);
                let mut steering = self.steering.lock();
                if on {
                    steering.evacuate(zone);
                } else {
                    steering.end_evacuation(&zone, now);
                }
            }
            Fact::Upstream(up) => {
                tracing::info!(event = "upstream", upstream = %up.id, service = %up.service,
                    zone = %up.zone, draining = up.draining, cold_ms = up.cold_for.0, version);
                self.store_replica.lock().lapsed.forget(&up.id);
                self.steering.lock().set_upstream(up, now);
            }
            Fact::UpstreamGone { id, lapsed } => {
                tracing::info!(event = "upstream_gone", upstream = %id, kept = lapsed, version);
                if lapsed {
                    // Without an outage, the store was restored from an older copy.
                    let outage_end = self.store_news.lock().recent_outage_end(now);
                    let returned_at = outage_end.unwrap_or(now);
                    self.store_replica.lock().lapsed.record(id, returned_at);
                } else {
                    self.store_replica.lock().lapsed.forget(&id);
                    self.remove_upstream(&id);
                }
            }
            Fact::Host(record) => self.fleet.lock().add_host(record, now),
            Fact::Unreadable { key, why } => {
                tracing::warn!(event = "row_unreadable", key, why, version);
            }
        }
    }

    fn remove_upstream(&self, id: &UpstreamId) {
        self.steering.lock().remove_upstream(id, self.now());
        self.pool.retain(|known| known != id);
    }
}
