//! The host's copy of one area of the store, from which other hosts can pull changes.

use std::collections::BTreeMap;
use std::ops::Range;

use foxtail_types::prelude::*;

use crate::ports::{Fact, Facts, StoreVersion};

/// The maximum number of tombstones: removed rows that are kept so that other hosts learn of the
/// removal.
const MAX_TOMBSTONES: usize = 4_096;

/// A copy of one area of the store.
///
/// Versions are those of the store, which numbers all changes with one counter. A host at a version
/// has every change up to it, whether it read the store or pulled from another host. A host with a
/// higher version therefore has all that a host with a lower one lacks, and no host has to be asked
/// twice.
#[derive(Debug, Default)]
pub(crate) struct AreaReplica {
    /// The version of the newest change.
    version: u64,
    /// The version up to which the store was read; it also rises with changes in other areas.
    read_version: u64,
    /// The rows and tombstones, by [`row_key`].
    rows: BTreeMap<String, Row>,
    /// Tombstones up to this version may be missing.
    pruned_version: u64,
    /// The versions that the last reading of all rows skipped. Rows that came and went in between
    /// left no tombstones here, but a host at one of these versions may have them.
    skipped_versions: Range<u64>,
}

#[derive(Clone, Debug)]
struct Row {
    version: u64,
    learned_at: Millis,
    fact: Fact,
}

impl AreaReplica {
    /// Returns the version of the newest known change; 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the version up to which this copy is complete, after which changes are requested.
    pub(crate) fn read_version(&self) -> u64 {
        self.read_version.max(self.version)
    }

    /// Applies `facts` and returns the changes, or `None` if they are older than the known version.
    ///
    /// If `facts` are all rows of the area, rows that did not change keep their versions, so that
    /// other hosts do not pull them again, and other rows are removed; `lapsed` says that
    /// registrations among them may have lapsed during a store outage.
    ///
    /// The rows of a store that was restored from an older copy lack what was written since, until it
    /// is written again. Rows that are older than what is known do not apply, and nothing that is
    /// missing counts as removed at once.
    pub(crate) fn apply(&mut self, facts: Facts, lapsed: bool, now: Millis) -> Option<Vec<Fact>> {
        let complete_to = facts.version.max(facts.read_version);
        if complete_to < self.version {
            return None;
        }
        let restored = facts.whole && self.is_restored_at(facts.version);
        if facts.whole {
            self.skip_versions(facts.version);
        }
        self.read_version = self.read_version.max(complete_to);
        if !facts.whole && facts.facts.is_empty() {
            return Some(Vec::new());
        }
        let mut changed =
            if facts.whole { self.removals(&facts, lapsed || restored) } else { Vec::new() };
        if restored {
            changed.retain(|fact| matches!(fact, Fact::UpstreamGone { .. }));
        }
        changed.extend(facts.facts.into_iter().filter(|fact| {
            !facts.whole || !(self.holds(fact) || (restored && self.holds_newer(fact)))
        }));
        self.version = self.version.max(facts.version);
        for fact in &changed {
            let row = Row { version: facts.version, learned_at: now, fact: fact.clone() };
            if let Some(key) = row_key(fact) {
                self.rows.insert(key, row);
            }
        }
        self.prune_tombstones();
        Some(changed)
    }

    /// Returns the changes after `version`, or all rows if `version` is 0 or not all tombstones
    /// after it are known.
    pub(crate) fn changes_since(&self, version: u64, now: Millis) -> Facts {
        let whole = self.must_send_all(version);
        let facts = self.rows_since(version).map(|row| row.fact_at(now)).collect();
        Facts { version: self.version, read_version: self.read_version(), facts, whole }
    }

    /// Returns the size of [`AreaReplica::changes_since`], in rows.
    pub(crate) fn size_since(&self, version: u64) -> usize {
        self.rows_since(version).map(|row| row.fact.rows()).sum()
    }

    fn rows_since(&self, version: u64) -> impl Iterator<Item = &Row> {
        let whole = self.must_send_all(version);
        self.rows.values().filter(move |row| match whole {
            true => !is_tombstone(&row.fact),
            false => row.version > version,
        })
    }

    fn must_send_all(&self, version: u64) -> bool {
        version == 0 || version < self.pruned_version || self.skipped_versions.contains(&version)
    }

    /// Records that the changes up to `version` are not all known, since all rows were read instead.
    fn skip_versions(&mut self, version: u64) {
        let first = self.read_version() + 1;
        if first < version {
            self.pruned_version = self.pruned_version.max(self.skipped_versions.end);
            self.skipped_versions = first..version;
        }
    }

    /// Returns whether the store was restored between the known version and `version`.
    pub(crate) fn is_restored_at(&self, version: u64) -> bool {
        let restorations = |version| StoreVersion::from_number(version).restorations;
        self.version > 0 && restorations(version) > restorations(self.version)
    }

    /// Returns whether the known row of `fact` was written later than `fact`, which comes from an
    /// older copy of the store.
    fn holds_newer(&self, fact: &Fact) -> bool {
        let Some(row) = row_key(fact).and_then(|key| self.rows.get(&key)) else { return false };
        match (&row.fact, fact) {
            (Fact::Config(known), Fact::Config(cfg)) => known.version > cfg.version,
            (Fact::Evacuation { on: known, .. }, Fact::Evacuation { on, .. }) => known != on,
            (Fact::Upstream(known), Fact::Upstream(up)) => {
                known.started > up.started
                    || (known.started == up.started && known.draining && !up.draining)
            }
            (Fact::UpstreamGone { .. }, Fact::Upstream(_)) => true,
            _ => false,
        }
    }

    /// Returns whether the row of `fact` is known as it is.
    fn holds(&self, fact: &Fact) -> bool {
        let row = row_key(fact).and_then(|key| self.rows.get(&key));
        row.is_some_and(|row| row.fact.is_same(fact))
    }

    /// Returns tombstones for all rows that are not in `facts`.
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
    /// Returns the fact as of `now`: the remaining warm-up time of an upstream decreases meanwhile.
    fn fact_at(&self, now: Millis) -> Fact {
        let mut fact = self.fact.clone();
        if let Fact::Upstream(up) = &mut fact {
            up.cold_for = up.cold_for - now.since(self.learned_at);
        }
        fact
    }
}

/// Returns the key in [`AreaReplica::rows`] of the row that `fact` describes; not the store's key.
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

/// Returns the fact that removes the row of `fact`, if removal has an effect. A configuration that
/// is missing in the store stays in force.
fn tombstone(fact: &Fact, lapsed: bool) -> Option<Fact> {
    match fact {
        Fact::Evacuation { zone, on: true } => {
            Some(Fact::Evacuation { zone: zone.clone(), on: false })
        }
        Fact::Upstream(up) => Some(Fact::UpstreamGone { id: up.id.clone(), lapsed }),
        _ => None,
    }
}
