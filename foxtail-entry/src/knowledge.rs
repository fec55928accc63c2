//! Puts facts of the store in force, whether this host read them or another one told them.

use std::collections::BTreeMap;

use foxtail_steer::PullQueue;
use foxtail_steer::fleet::Versions;
use foxtail_types::prelude::*;

use crate::cx::Cx;
use crate::ledger::Ledger;
use crate::ports::{Area, Fact, Facts};

/// Registrations that vanished while the store was out are kept for this long after its return:
/// upstreams that live are registered again by then.
const KEEP_LAPSED: Millis = Millis(2_200);

/// What the host knows of the store.
#[derive(Debug, Default)]
pub(crate) struct Knowledge {
    operators: Ledger,
    upstreams: Ledger,
    operators_told: PullQueue,
    upstreams_told: PullQueue,
    /// Upstreams whose registration may have lapsed, and when they are taken for gone.
    lapsed: BTreeMap<UpstreamId, Millis>,
}

impl Knowledge {
    /// The ledger of `area`; hosts' registrations have none.
    pub(crate) fn ledger(&mut self, area: Area) -> Option<&mut Ledger> {
        match area {
            Area::Operators => Some(&mut self.operators),
            Area::Upstreams => Some(&mut self.upstreams),
            Area::Hosts => None,
        }
    }

    /// What other hosts told of `area`, and the version that this one knows.
    pub(crate) fn pulls(&mut self, area: Area) -> Option<(&mut PullQueue, u64)> {
        match area {
            Area::Operators => Some((&mut self.operators_told, self.operators.version())),
            Area::Upstreams => Some((&mut self.upstreams_told, self.upstreams.version())),
            Area::Hosts => None,
        }
    }

    fn versions(&self) -> Versions {
        Versions { operators: self.operators.version(), upstreams: self.upstreams.version() }
    }

    fn take_due(&mut self, now: Millis) -> Vec<UpstreamId> {
        let due: Vec<UpstreamId> =
            self.lapsed.iter().filter(|&(_, due)| *due <= now).map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.lapsed.remove(id);
        }
        due
    }
}

impl Cx {
    /// The newest version of `area` that the host knows.
    pub(crate) fn version(&self, area: Area) -> u64 {
        self.knowledge.lock().ledger(area).map_or(0, |ledger| ledger.version())
    }

    /// The version of `area` after which the store is to be asked for changes.
    pub(crate) fn version_read(&self, area: Area) -> u64 {
        self.knowledge.lock().ledger(area).map_or(0, |ledger| ledger.read())
    }

    /// Takes in facts that `source` told. Tells whether they were not older than what is known.
    pub(crate) fn learn(&self, area: Area, facts: Facts, lapsed: bool, source: &str) -> bool {
        let now = self.now();
        let version = facts.version;
        let (changed, versions) = {
            let mut knowledge = self.knowledge.lock();
            let Some(ledger) = knowledge.ledger(area) else { return true };
            let Some(changed) = ledger.take(facts, lapsed, now) else {
                tracing::info!(
                    event = "facts_older",
                    ?area,
                    source,
                    version,
                    held = ledger.version()
                );
                return false;
            };
            (changed, knowledge.versions())
        };
        self.fleet.lock().set_versions(versions);
        if !changed.is_empty() {
            tracing::info!(event = "facts", ?area, source, version, count = changed.len());
        }
        for fact in changed {
            self.put_in_force(fact, version, now);
        }
        let complete = match area {
            Area::Operators => {
                self.steering.lock().config().is_some() && self.life.read_operators()
            }
            Area::Upstreams => self.life.read_upstreams(),
            Area::Hosts => false,
        };
        if complete {
            self.ready();
        }
        true
    }

    /// Takes those upstreams for gone whose registration did not come back after an outage.
    pub(crate) fn drop_lapsed(&self) {
        let now = self.now();
        let due = self.knowledge.lock().take_due(now);
        for id in due {
            tracing::info!(event = "upstream_gone", upstream = %id, lapsed = true);
            self.drop_upstream(&id);
        }
    }

    fn put_in_force(&self, fact: Fact, version: u64, now: Millis) {
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
                self.knowledge.lock().lapsed.remove(&up.id);
                self.steering.lock().set_upstream(up, now);
            }
            Fact::UpstreamGone { id, lapsed } => {
                tracing::info!(event = "upstream_gone", upstream = %id, kept = lapsed, version);
                if lapsed {
                    self.knowledge.lock().lapsed.insert(id, now + KEEP_LAPSED);
                } else {
                    self.drop_upstream(&id);
                }
            }
            Fact::Host(record) => self.fleet.lock().add_host(record, now),
            Fact::Unreadable { key, why } => {
                tracing::warn!(event = "row_unreadable", key, why, version);
            }
        }
    }

    fn drop_upstream(&self, id: &UpstreamId) {
        self.steering.lock().remove_upstream(id);
        self.pool.retain(|known| known != id);
    }
}
