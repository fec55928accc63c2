//! What a host knows of the store, in a form that it can pass on to other hosts.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;

use crate::ports::{Fact, Facts};

/// How many rows that are gone are remembered, so that hosts which knew them learn of it.
const GONE_KEPT: usize = 4_096;

/// One area of the store as a host knows it.
///
/// Versions are the store's, which counts all changes with one counter. A host that knows a version
/// knows everything up to it, whether it read the store or heard it from another host, so that the
/// highest version wins and no host has to be asked twice.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// Of the newest change.
    version: u64,
    /// Up to which the store was read: its counter goes on while nothing changes here.
    read: u64,
    rows: BTreeMap<String, Row>,
    /// Rows that were gone up to this version are forgotten.
    forgotten: u64,
}

#[derive(Clone, Debug)]
struct Row {
    version: u64,
    learned: Millis,
    fact: Fact,
}

impl Ledger {
    /// The newest version that is known; 0 if nothing is.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// The version after which the store is to be asked for changes.
    pub(crate) fn read(&self) -> u64 {
        self.read.max(self.version)
    }

    /// Takes in facts and returns what they change, or `None` if they are older. Registrations that
    /// are missing in `facts` may have `lapsed` while the store was out.
    pub(crate) fn take(&mut self, facts: Facts, lapsed: bool, now: Millis) -> Option<Vec<Fact>> {
        if facts.version < self.version {
            return None;
        }
        self.read = self.read.max(facts.version);
        if !facts.whole && facts.facts.is_empty() {
            return Some(Vec::new());
        }
        let mut changed = if facts.whole { self.missing(&facts, lapsed) } else { Vec::new() };
        changed.extend(facts.facts);
        self.version = facts.version;
        for fact in &changed {
            let row = Row { version: facts.version, learned: now, fact: fact.clone() };
            if let Some(key) = key(fact) {
                self.rows.insert(key, row);
            }
        }
        self.prune();
        Some(changed)
    }

    /// What is known beyond `version`; everything if that is not kept any more.
    pub(crate) fn after(&self, version: u64, now: Millis) -> Facts {
        let whole = version == 0 || version < self.forgotten;
        let wanted = |row: &&Row| match whole {
            true => !is_gone(&row.fact),
            false => row.version > version,
        };
        let facts = self.rows.values().filter(wanted).map(|row| row.aged(now)).collect();
        Facts { version: self.version, facts, whole }
    }

    /// Facts that rows which are not in `facts` are gone.
    fn missing(&self, facts: &Facts, lapsed: bool) -> Vec<Fact> {
        let named: std::collections::BTreeSet<String> =
            facts.facts.iter().filter_map(key).collect();
        let missing = self.rows.iter().filter(|(key, _)| !named.contains(*key));
        missing.filter_map(|(_, row)| gone(&row.fact, lapsed)).collect()
    }

    fn prune(&mut self) {
        let mut gone: Vec<(u64, String)> = self
            .rows
            .iter()
            .filter(|(_, row)| is_gone(&row.fact))
            .map(|(key, row)| (row.version, key.clone()))
            .collect();
        if gone.len() <= GONE_KEPT {
            return;
        }
        gone.sort();
        let surplus = gone.len() - GONE_KEPT;
        for (version, key) in gone.into_iter().take(surplus) {
            self.forgotten = self.forgotten.max(version);
            self.rows.remove(&key);
        }
    }
}

impl Row {
    /// The fact as it is now: warming up goes on while it is passed on.
    fn aged(&self, now: Millis) -> Fact {
        let mut fact = self.fact.clone();
        if let Fact::Upstream(up) = &mut fact {
            up.cold_for = up.cold_for - now.since(self.learned);
        }
        fact
    }
}

/// Which row a fact is about.
fn key(fact: &Fact) -> Option<String> {
    match fact {
        Fact::Config(_) => Some("config".to_owned()),
        Fact::Evacuation { zone, .. } => Some(format!("evacuation/{zone}")),
        Fact::Upstream(up) => Some(format!("upstream/{}", up.id)),
        Fact::UpstreamGone { id, .. } => Some(format!("upstream/{id}")),
        Fact::Host(_) | Fact::Unreadable { .. } => None,
    }
}

fn is_gone(fact: &Fact) -> bool {
    matches!(fact, Fact::UpstreamGone { .. } | Fact::Evacuation { on: false, .. })
}

/// That the row of `fact` is gone, if there is something to tell. A configuration that is missing
/// in the store stays in force.
fn gone(fact: &Fact, lapsed: bool) -> Option<Fact> {
    match fact {
        Fact::Evacuation { zone, on: true } => {
            Some(Fact::Evacuation { zone: zone.clone(), on: false })
        }
        Fact::Upstream(up) => Some(Fact::UpstreamGone { id: up.id.clone(), lapsed }),
        _ => None,
    }
}
