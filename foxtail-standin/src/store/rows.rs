//! The data of the store: rows with one counter of versions, their history, and objects.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use super::door::Access;

/// The most rows of one answer.
const PAGE_ROWS: usize = 500;

/// The most entries of one transaction.
const TRANSACTION_ENTRIES: usize = 100;

/// The key of a row: table, part and key.
type Place = (String, String, String);

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    started: Instant,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<Place, (u64, String)>,
    /// Changes, the oldest first: the version and the place of each.
    history: VecDeque<(u64, Place)>,
    /// Changes up to this version are not kept any more.
    forgotten: u64,
    objects: BTreeMap<String, Vec<u8>>,
}

/// A row as it is shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Shown {
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
    pub(super) rows: Option<Vec<Shown>>,
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
pub(super) enum Refused {
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
        let place = (table.to_owned(), String::new(), key.to_owned());
        self.write(vec![(place, Some(BASE64_STANDARD.encode(value)))])
    }

    /// Drops a row as an operator or an upstream does.
    pub fn drop_row(&self, table: &str, key: &str) -> u64 {
        let place = (table.to_owned(), String::new(), key.to_owned());
        self.write(vec![(place, None)])
    }

    /// The value of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock();
        let (_, value) = state.rows.get(&(table.to_owned(), String::new(), key.to_owned()))?;
        BASE64_STANDARD.decode(value).ok()
    }

    /// Forgets the history up to now.
    pub fn forget(&self) {
        let mut state = self.state.lock();
        state.history.clear();
        state.forgotten = state.version;
        // Calls that wait learn of it at once.
        self.changed.send_replace(state.version);
    }

    pub(super) fn transact(&self, tx: Transaction, access: Access) -> Result<Page, Refused> {
        let entries = tx.expect.len() + tx.puts.len() + tx.deletes.len();
        let keys = || tx.puts.iter().map(|put| &put.key).chain(&tx.deletes);
        let parts: std::collections::BTreeSet<&str> = keys().map(|key| key.part.as_str()).collect();
        if entries > TRANSACTION_ENTRIES || parts.len() > 1 {
            return Err(Refused::Malformed);
        }
        let own = |key: &Key| !matches!(key.table.as_str(), "op" | "servers");
        if access == Access::Hosts && !keys().all(own) {
            return Err(Refused::Forbidden);
        }
        let mut state = self.state.lock();
        let version_of = |state: &State, key: &Key| {
            let row = state.rows.get(&key.place());
            row.map_or(0, |(version, _)| *version)
        };
        if tx.expect.iter().any(|e| version_of(&state, &e.key) != e.row_version) {
            let rows = tx.expect.iter().map(|e| state.show(&e.key.place())).collect();
            return Err(Refused::Conflict(self.page(&state, Some(rows), false)));
        }
        let puts = tx.puts.into_iter().map(|put| (put.key.place(), Some(put.value)));
        let deletes = tx.deletes.into_iter().map(|key| (key.place(), None));
        state.apply(puts.chain(deletes).collect());
        self.changed.send_replace(state.version);
        Ok(self.page(&state, None, false))
    }

    /// The rows of `table` with keys from the first one on and before the second one; an empty
    /// second one is no bound.
    pub(super) fn range(
        &self,
        table: &str,
        part: &str,
        (from, to): (&str, &str),
        limit: usize,
    ) -> Page {
        let state = self.state.lock();
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        let mut places: Vec<Place> = state
            .rows
            .range(start..)
            .take_while(|((t, p, key), _)| {
                t == table && p == part && (to.is_empty() || key.as_str() < to)
            })
            .map(|(place, _)| place.clone())
            .take(limit.min(PAGE_ROWS) + 1)
            .collect();
        let has_more = places.len() > limit.min(PAGE_ROWS);
        places.truncate(limit.min(PAGE_ROWS));
        let rows = places.iter().map(|place| state.show(place)).collect();
        self.page(&state, Some(rows), has_more)
    }

    /// The changes of `table` after `after`; `None` if they are not all kept.
    pub(super) fn feed(&self, table: &str, after: u64) -> Option<Page> {
        let state = self.state.lock();
        if after < state.forgotten {
            return None;
        }
        let mut places: Vec<Place> = Vec::new();
        for (version, place) in &state.history {
            if *version > after && place.0 == table {
                places.retain(|other| other != place);
                places.push(place.clone());
            }
        }
        let rows = places.iter().map(|place| state.show(place)).collect();
        Some(self.page(&state, Some(rows), false))
    }

    pub(super) fn changes(&self) -> watch::Receiver<u64> {
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

    pub(super) fn drop_object(&self, name: &str) {
        self.state.lock().objects.remove(name);
    }

    fn write(&self, changes: Vec<(Place, Option<String>)>) -> u64 {
        let mut state = self.state.lock();
        state.apply(changes);
        self.changed.send_replace(state.version);
        state.version
    }

    fn page(&self, state: &State, rows: Option<Vec<Shown>>, has_more: bool) -> Page {
        let now_s = self.started.elapsed().as_secs_f64();
        Page { rows, has_more, row_version: state.version, now_s }
    }
}

impl State {
    fn apply(&mut self, changes: Vec<(Place, Option<String>)>) {
        self.version += 1;
        for (place, value) in changes {
            match value {
                Some(value) => self.rows.insert(place.clone(), (self.version, value)),
                None => self.rows.remove(&place),
            };
            self.history.push_back((self.version, place));
        }
    }

    fn show(&self, place: &Place) -> Shown {
        let row = self.rows.get(place);
        let (table, part, key) = place.clone();
        Shown {
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
    fn place(&self) -> Place {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}
