//! The data of the store: rows with one version counter for all, the history of their changes, and
//! objects.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use super::endpoint::Access;

/// The most rows in one answer.
const MAX_PAGE_ROWS: usize = 500;

/// The most preconditions, puts and deletes together in one transaction.
const MAX_TRANSACTION_ENTRIES: usize = 100;

/// The full key of a row: its table, part and key.
type RowKey = (String, String, String);

/// The rows and objects of the platform, in memory.
pub struct Store {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    started: Instant,
}

#[derive(Clone, Default)]
struct State {
    /// How often the store was restored from a copy.
    restorations: u64,
    version: u64,
    rows: BTreeMap<RowKey, (u64, String)>,
    /// The version and the row of each change, the oldest first.
    history: VecDeque<(u64, RowKey)>,
    /// Changes up to and including this version are no longer in the history.
    dropped_version: u64,
    objects: BTreeMap<String, Vec<u8>>,
}

/// A copy of the store's contents.
pub struct StoreCopy(State);

/// A row in an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct RowEntry {
    table: String,
    part: String,
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    row_version: u64,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    deleted: bool,
}

/// An answer to a read, a feed call or a transaction.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Page {
    /// `None` if a transaction was applied.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) rows: Option<Vec<RowEntry>>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(super) has_more: bool,
    /// The current version of the store.
    pub(super) row_version: u64,
    /// The age of the store in seconds.
    pub(super) now_s: f64,
}

/// A transaction: preconditions, and changes that are applied if all of them hold.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Transaction {
    #[serde(default)]
    expect: Vec<Expected>,
    #[serde(default)]
    puts: Vec<Put>,
    #[serde(default)]
    deletes: Vec<Key>,
}

#[derive(Clone, Debug, Deserialize)]
struct Expected {
    #[serde(flatten)]
    key: Key,
    row_version: u64,
}

#[derive(Clone, Debug, Deserialize)]
struct Put {
    #[serde(flatten)]
    key: Key,
    value: String,
}

#[derive(Clone, Debug, Deserialize)]
struct Key {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
}

/// Why a transaction was not applied.
#[derive(Clone, Debug)]
pub(super) enum TransactionError {
    /// A row did not have the expected version. Holds the current rows of all preconditions.
    Conflict(Page),
    /// It has too many entries, or changes rows of more than one part.
    Malformed,
    /// It changes a table that hosts may not write.
    Forbidden,
}

impl Default for Store {
    fn default() -> Self {
        Self { state: Mutex::default(), changed: watch::Sender::new(0), started: Instant::now() }
    }
}

impl Store {
    /// Returns an empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Writes a row with an empty part, as operators and upstreams do, and returns its version.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        self.write(vec![(row_key, Some(BASE64_STANDARD.encode(value)))])
    }

    /// Deletes a row with an empty part, as operators and upstreams do; returns the new version.
    pub fn delete_row(&self, table: &str, key: &str) -> u64 {
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        self.write(vec![(row_key, None)])
    }

    /// Returns the value of a row with an empty part.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock();
        let (_, value) = state.rows.get(&(table.to_owned(), String::new(), key.to_owned()))?;
        BASE64_STANDARD.decode(value).ok()
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().clone())
    }

    /// Restores the contents of `copy`. Versions given out since are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.lock();
        let restorations = state.restorations + 1;
        *state = State { restorations, ..copy.0 };
        // Wakes the feed calls that wait.
        self.changed.send_replace(state.version);
    }

    /// Returns how often the store was restored.
    pub(super) fn restorations(&self) -> u64 {
        self.state.lock().restorations
    }

    /// Drops the history, so that a feed call from an earlier version is answered with status 410.
    pub fn clear_history(&self) {
        let mut state = self.state.lock();
        state.history.clear();
        state.dropped_version = state.version;
        // Wakes the feed calls that wait.
        self.changed.send_replace(state.version);
    }

    pub(super) fn transact(
        &self,
        tx: Transaction,
        access: Access,
    ) -> Result<Page, TransactionError> {
        let entries = tx.expect.len() + tx.puts.len() + tx.deletes.len();
        let keys = || tx.puts.iter().map(|put| &put.key).chain(&tx.deletes);
        let parts: std::collections::BTreeSet<&str> = keys().map(|key| key.part.as_str()).collect();
        if entries > MAX_TRANSACTION_ENTRIES || parts.len() > 1 {
            return Err(TransactionError::Malformed);
        }
        let may_write = |key: &Key| !matches!(key.table.as_str(), "op" | "servers");
        if access == Access::Hosts && !keys().all(may_write) {
            return Err(TransactionError::Forbidden);
        }
        let mut state = self.state.lock();
        let version_of = |state: &State, key: &Key| {
            let row = state.rows.get(&key.row_key());
            row.map_or(0, |(version, _)| *version)
        };
        if tx.expect.iter().any(|e| version_of(&state, &e.key) != e.row_version) {
            let rows = tx.expect.iter().map(|e| state.entry(&e.key.row_key())).collect();
            return Err(TransactionError::Conflict(self.page(&state, Some(rows), false)));
        }
        let puts = tx.puts.into_iter().map(|put| (put.key.row_key(), Some(put.value)));
        let deletes = tx.deletes.into_iter().map(|key| (key.row_key(), None));
        state.apply(puts.chain(deletes).collect());
        self.changed.send_replace(state.version);
        Ok(self.page(&state, None, false))
    }

    /// Returns up to `limit` rows of `table` and `part` with keys from `from` on and before `to`;
    /// an empty `to` is no bound.
    pub(super) fn read_range(
        &self,
        table: &str,
        part: &str,
        (from, to): (&str, &str),
        limit: usize,
    ) -> Page {
        let state = self.state.lock();
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        let mut row_keys: Vec<RowKey> = state
            .rows
            .range(start..)
            .take_while(|((t, p, key), _)| {
                t == table && p == part && (to.is_empty() || key.as_str() < to)
            })
            .map(|(row_key, _)| row_key.clone())
            .take(limit.min(MAX_PAGE_ROWS) + 1)
            .collect();
        let has_more = row_keys.len() > limit.min(MAX_PAGE_ROWS);
        row_keys.truncate(limit.min(MAX_PAGE_ROWS));
        let rows = row_keys.iter().map(|row_key| state.entry(row_key)).collect();
        self.page(&state, Some(rows), has_more)
    }

    /// Returns the rows of `table` that changed after version `after`, or `None` if the history no
    /// longer has all of these changes.
    pub(super) fn read_feed(&self, table: &str, after: u64) -> Option<Page> {
        let state = self.state.lock();
        if after < state.dropped_version || after > state.version {
            return None;
        }
        let mut row_keys: Vec<RowKey> = Vec::new();
        for (version, row_key) in &state.history {
            if *version > after && row_key.0 == table {
                row_keys.retain(|other| other != row_key);
                row_keys.push(row_key.clone());
            }
        }
        let rows = row_keys.iter().map(|row_key| state.entry(row_key)).collect();
        Some(self.page(&state, Some(rows), false))
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    pub(super) fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.state.lock().objects.get(name).cloned()
    }

    pub(super) fn put_object(&self, name: &str, value: Vec<u8>, only_new: bool) -> bool {
        let mut state = self.state.lock();
        if only_new && state.objects.contains_key(name) {
            return false;
        }
        state.objects.insert(name.to_owned(), value);
        true
    }

    pub(super) fn delete_object(&self, name: &str) {
        self.state.lock().objects.remove(name);
    }

    fn write(&self, changes: Vec<(RowKey, Option<String>)>) -> u64 {
        let mut state = self.state.lock();
        state.apply(changes);
        self.changed.send_replace(state.version);
        state.version
    }

    fn page(&self, state: &State, rows: Option<Vec<RowEntry>>, has_more: bool) -> Page {
        let now_s = self.started.elapsed().as_secs_f64();
        Page { rows, has_more, row_version: state.version, now_s }
    }
}

impl State {
    fn apply(&mut self, changes: Vec<(RowKey, Option<String>)>) {
        self.version += 1;
        for (row_key, value) in changes {
            match value {
                Some(value) => self.rows.insert(row_key.clone(), (self.version, value)),
                None => self.rows.remove(&row_key),
            };
            self.history.push_back((self.version, row_key));
        }
    }

    /// Returns the row as it is now. A row that does not exist is marked as deleted and has the
    /// current version of the store.
    fn entry(&self, row_key: &RowKey) -> RowEntry {
        let row = self.rows.get(row_key);
        let (table, part, key) = row_key.clone();
        RowEntry {
            table,
            part,
            key,
            value: row.map(|(_, value)| value.clone()),
            row_version: row.map_or(self.version, |(version, _)| *version),
            deleted: row.is_none(),
        }
    }
}

impl Key {
    fn row_key(&self) -> RowKey {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}
