//! Rows and objects in memory.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use foxtail_platform::table::{Change, Expect, Row, Txn};

/// The rows of the table and the objects, without faults.
#[derive(Default)]
pub(super) struct Store {
    rows: BTreeMap<String, Row>,
    objects: HashMap<String, Vec<u8>>,
    last_version: u64,
}

/// The first write whose precondition did not hold, and the row that was found.
pub(super) struct Conflict {
    pub(super) at: usize,
    pub(super) found: Option<Row>,
}

impl Store {
    pub(super) fn commit(&mut self, txn: &Txn) -> Result<Vec<u64>, Conflict> {
        for (at, write) in txn.writes.iter().enumerate() {
            let found = self.rows.get(&write.key);
            if !precondition_holds(write.expect, found) {
                return Err(Conflict { at, found: found.cloned() });
            }
        }
        Ok(txn.writes.iter().map(|write| self.apply(&write.key, &write.change)).collect())
    }

    /// Applies one change and returns the version of the row, or 0 if there is no row afterwards.
    /// Versions increase over the whole table, so that a row that is deleted and written again has
    /// a new one.
    fn apply(&mut self, key: &str, change: &Change) -> u64 {
        match change {
            Change::Keep => self.rows.get(key).map_or(0, |row| row.version),
            Change::Put(value) => {
                self.last_version += 1;
                let row = Row { version: self.last_version, value: value.clone() };
                self.rows.insert(key.to_owned(), row);
                self.last_version
            }
            Change::Delete => {
                self.rows.remove(key);
                0
            }
        }
    }

    pub(super) fn read(&self, keys: &[String]) -> Vec<Option<Row>> {
        keys.iter().map(|key| self.rows.get(key).cloned()).collect()
    }

    pub(super) fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<(String, Row)> {
        let from = if after < prefix {
            Bound::Included(prefix.to_owned())
        } else {
            Bound::Excluded(after.to_owned())
        };
        self.rows
            .range((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect()
    }

    pub(super) fn put(&mut self, name: &str, value: Vec<u8>) {
        self.objects.insert(name.to_owned(), value);
    }

    pub(super) fn get(&self, name: &str) -> Option<Vec<u8>> {
        self.objects.get(name).cloned()
    }
}

fn precondition_holds(expect: Expect, found: Option<&Row>) -> bool {
    match (expect, found) {
        (Expect::Any, _) => true,
        (Expect::Absent, row) => row.is_none(),
        (Expect::At(version), row) => row.is_some_and(|row| row.version == version),
    }
}
