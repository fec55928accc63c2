//! The data of the store: rows with one counter of versions, their history, and objects.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use super::endpoint::Access;

/// The most rows of one answer.
const MAX_PAGE_ROWS: usize = 500;

/// The most entries of one transaction.
const MAX_TRANSACTION_ENTRIES: usize = 100;

/// The key of a row: table, part and key.
type RowKey = (String, String, String);

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    started: Instant,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowKey, (u64, String)>,
    /// Changes, the oldest first: the version and the place of each.
    history: VecDeque<(u64, RowKey)>,
    /// Changes up to this version are not kept any more.
    dropped_version: u64,
    objects: BTreeMap<String, Vec<u8>>,
}

/// A row as it is shown.
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

/// An answer with rows.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Page {
    /// Left out where a transaction was applied.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) rows: Option<Vec<RowEntry>>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(super) has_more: bool,
    pub(super) row_version: u64,
    pub(super) now_s: f64,
}

/// A transaction.
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

/// Why a transaction was not done.
#[derive(Clone, Debug)]
pub(super) enum TransactionError {
    /// A row was not at the expected version; the rows as they are.
    Conflict(Page),
    /// It is malformed or too large.
    Malformed,
    /// It writes a table that hosts may not write.
    Forbidden,
}

impl Default for Store {
    fn default() -> Self {
        Self { state: Mutex::default(), changed: watch::Sender::new(0), started: Instant::now() }
    }
}

impl Store {
    /// An empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Writes a row as an operator or an upstream does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        self.write(vec![(row_key, Some(BASE64_STANDARD.encode(value)))])
    }

    /// Drops a row as an operator or an upstream does.
    pub fn delete_row(&self, table: &str, key: &str) -> u64 {
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        self.write(vec![(row_key, None)])
    }

    /// The value of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock();
        let (_, value) = state.rows.get(&(table.to_owned(), String::new(), key.to_owned()))?;
        BASE64_STANDARD.decode(value).ok()
    }

    /// Forgets the history up to now.
    pub fn clear_history(&self) {
        let mut state = self.state.lock();
        state.history.clear();
        state.dropped_version = state.version;
        // Calls that wait learn of it at once.
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

    /// The rows of `table` with keys from the first one on and before the second one; an empty
    /// second one is no bound.
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

    /// The changes of `table` after `after`; `None` if they are not all kept.
    pub(super) fn read_feed(&self, table: &str, after: u64) -> Option<Page> {
        let state = self.state.lock();
        if after < state.dropped_version {
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
