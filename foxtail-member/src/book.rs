//! What one host knows of all others, with the indexes that keep each step short.

use std::collections::{BTreeMap, BTreeSet};

use foxtail_types::prelude::*;

use crate::msg::{Entry, Identity};
use crate::record::Record;

/// The records of all hosts, by host, by zone and by revision.
#[derive(Debug, Default)]
pub(crate) struct Book {
    records: BTreeMap<HostId, Record>,
    zones: BTreeMap<ZoneId, BTreeSet<HostId>>,
    regions: BTreeMap<RegionId, BTreeSet<ZoneId>>,
    revisions: BTreeMap<u64, HostId>,
    revision: u64,
}

impl Book {
    /// The revision of the last change worth passing on.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn get(&self, id: &HostId) -> Option<&Record> {
        self.records.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &HostId) -> Option<&mut Record> {
        self.records.get_mut(id)
    }

    /// All records, sorted by host.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The records of the hosts of `zone`.
    pub(crate) fn in_zone(&self, zone: &ZoneId) -> impl Iterator<Item = &Record> {
        self.zones.get(zone).into_iter().flatten().filter_map(|id| self.records.get(id))
    }

    /// The known regions with their zones.
    pub(crate) fn regions(&self) -> &BTreeMap<RegionId, BTreeSet<ZoneId>> {
        &self.regions
    }

    /// The records that changed after `revision`.
    pub(crate) fn since(&self, revision: u64) -> impl Iterator<Item = &Record> {
        let changed = self.revisions.range(revision + 1..);
        changed.filter_map(|(_, id)| self.records.get(id))
    }

    /// Adds a record, in place of any that there is for its host.
    pub(crate) fn insert(&mut self, record: Record) {
        let Identity { id, region, zone, .. } = record.entry.identity.clone();
        self.remove(&id);
        self.zones.entry(zone.clone()).or_default().insert(id.clone());
        self.regions.entry(region).or_default().insert(zone);
        self.records.insert(id.clone(), record);
        self.touch(&id);
    }

    /// Marks the record of `id` as changed now.
    pub(crate) fn touch(&mut self, id: &HostId) {
        let Some(record) = self.records.get_mut(id) else { return };
        self.revision += 1;
        self.revisions.remove(&record.revision);
        record.revision = self.revision;
        self.revisions.insert(self.revision, id.clone());
    }

    /// Forgets a host.
    pub(crate) fn remove(&mut self, id: &HostId) {
        let Some(record) = self.records.remove(id) else { return };
        self.revisions.remove(&record.revision);
        let Entry { identity, .. } = record.entry;
        let Some(hosts) = self.zones.get_mut(&identity.zone) else { return };
        hosts.remove(id);
        if !hosts.is_empty() {
            return;
        }
        self.zones.remove(&identity.zone);
        if let Some(zones) = self.regions.get_mut(&identity.region) {
            zones.remove(&identity.zone);
            if zones.is_empty() {
                self.regions.remove(&identity.region);
            }
        }
    }
}
