//! What a host knows of the store, in a form that it can pass on to other hosts.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;

use crate::ports::{Fact, Facts};

/// How many rows that are gone are remembered, so that hosts which knew them learn of it.
const MAX_TOMBSTONES: usize = 4_096;

/// One area of the store as a host knows it.
///
/// Versions are the store's, which counts all changes with one counter. A host that knows a version
/// knows everything up to it, whether it read the store or heard it from another host, so that the
/// highest version wins and no host has to be asked twice.
#[derive(Debug, Default)]
pub(crate) struct AreaReplica {
    /// Of the newest change.
    version: u64,
    /// Up to which the store was read: its counter goes on while nothing changes here.
    read_version: u64,
    rows: BTreeMap<String, Row>,
    /// Rows that were gone up to this version are forgotten.
    pruned_version: u64,
}

#[derive(Clone, Debug)]
struct Row {
    version: u64,
    learned_at: Millis,
    fact: Fact,
}

impl AreaReplica {
    /// The newest version that is known; 0 if nothing is.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// The version after which the store is to be asked for changes.
    pub(crate) fn read_version(&self) -> u64 {
        self.read_version.max(self.version)
    }

    /// Takes in facts and returns what they change, or `None` if they are older. Registrations that
    /// are missing in `facts` may have `lapsed` while the store was out.
    pub(crate) fn apply(&mut self, facts: Facts, lapsed: bool, now: Millis) -> Option<Vec<Fact>> {
        if facts.version < self.version {
            return None;
        }
        self.read_version = self.read_version.max(facts.version);
        if !facts.whole && facts.facts.is_empty() {
            return Some(Vec::new());
        }
        let mut changed = if facts.whole { self.removals(&facts, lapsed) } else { Vec::new() };
        changed.extend(facts.facts);
        self.version = facts.version;
        for fact in &changed {
            let row = Row { version: facts.version, learned_at: now, fact: fact.clone() };
            if let Some(key) = row_key(fact) {
                self.rows.insert(key, row);
            }
        }
        self.prune_tombstones();
        Some(changed)
    }

    /// What is known beyond `version`; everything if that is not kept any more.
    pub(crate) fn changes_since(&self, version: u64, now: Millis) -> Facts {
        let whole = version == 0 || version < self.pruned_version;
        let include = |row: &&Row| match whole {
            true => !is_tombstone(&row.fact),
            false => row.version > version,
        };
        let facts = self.rows.values().filter(include).map(|row| row.fact_at(now)).collect();
        Facts { version: self.version, facts, whole }
    }

    /// Facts that rows which are not in `facts` are gone.
    fn removals(&self, facts: &Facts, lapsed: bool) -> Vec<Fact> {
        let present: std::collections::BTreeSet<String> =
            facts.facts.iter().filter_map(row_key).collect();
        let missing = self.rows.iter().filter(|(key, _)| !present.contains(*key));
        missing.filter_map(|(_, row)| tombstone(&row.fact, lapsed)).collect()
    }

    fn prune_tombstones(&mut self) {
        let mut gone: Vec<(u64, String)> = self
            .rows
            .iter()
            .filter(|(_, row)| is_tombstone(&row.fact))
            .map(|(key, row)| (row.version, key.clone()))
            .collect();
        if gone.len() <= MAX_TOMBSTONES {
            return;
        }
        gone.sort();
        let surplus = gone.len() - MAX_TOMBSTONES;
        for (version, key) in gone.into_iter().take(surplus) {
            self.pruned_version = self.pruned_version.max(version);
            self.rows.remove(&key);
        }
    }
}

impl Row {
    /// The fact as it is now: warming up goes on while it is passed on.
    fn fact_at(&self, now: Millis) -> Fact {
        let mut fact = self.fact.clone();
        if let Fact::Upstream(up) = &mut fact {
            up.cold_for = up.cold_for - now.since(self.learned_at);
        }
        fact
    }
}

/// Which row a fact is about.
fn row_key(fact: &Fact) -> Option<String> {
    match fact {
        Fact::Config(_) => Some("config".to_owned()),
        Fact::Evacuation { zone, .. } => Some(format!("evacuation/{zone}")),
        Fact::Upstream(up) => Some(format!("upstream/{}", up.id)),
        Fact::UpstreamGone { id, .. } => Some(format!("upstream/{id}")),
        Fact::Host(_) | Fact::Unreadable { .. } => None,
    }
}

fn is_tombstone(fact: &Fact) -> bool {
    matches!(fact, Fact::UpstreamGone { .. } | Fact::Evacuation { on: false, .. })
}

/// That the row of `fact` is gone, if there is something to tell. A configuration that is missing
/// in the store stays in force.
fn tombstone(fact: &Fact, lapsed: bool) -> Option<Fact> {
    match fact {
        Fact::Evacuation { zone, on: true } => {
            Some(Fact::Evacuation { zone: zone.clone(), on: false })
        }
        Fact::Upstream(up) => Some(Fact::UpstreamGone { id: up.id.clone(), lapsed }),
        _ => None,
    }
}
