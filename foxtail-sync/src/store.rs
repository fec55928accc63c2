//! Reading configuration from the table.

use std::collections::BTreeMap;
use std::sync::Arc;

use foxtail_config::Snapshot;
use foxtail_platform::table::{Error as TableError, Options, Priority, Row, Table};
use foxtail_types::prelude::*;
use serde::de::DeserializeOwned;

use crate::core::applied;
use crate::msg::{Change, Item};
use crate::rows::{self, DrainsRow, Head, NetworkRow, WorkspaceRow};

const CALL_TIMEOUT: Millis = Millis(1_000);
const SCAN_ROWS: usize = 200;
/// A load that changes overtake so often is given up and tried again later.
const LOAD_ROUNDS: usize = 8;

/// All rows of the configuration in force, at one version.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// The version.
    pub version: Version,
    /// The table's own version of the head row, to compare and set on; `None` if there is no row.
    pub head_row: Option<u64>,
    /// The network, once there is one.
    pub network: Option<NetworkRow>,
    /// The drains.
    pub drains: DrainsRow,
    /// The workspaces.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceRow>,
}

/// Why configuration could not be read.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The table could not be used.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A row is not as written by this program.
    #[error(transparent)]
    Malformed(#[from] rows::Malformed),
    /// Changes came faster than they could be read.
    #[error("changes came faster than they could be read")]
    Overtaken,
}

impl Loaded {
    /// The configuration as hosts use it; `None` without a network.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let network = Arc::clone(&self.network.as_ref()?.network);
        let workspaces = self.workspaces.values().map(|row| Arc::clone(&row.workspace)).collect();
        let drains = self.drains.drains.clone();
        Some(Snapshot { version: self.version, network, workspaces, drains })
    }

    /// The configuration with `change` on top; `None` without a network.
    pub fn with(&self, change: &Change) -> Option<Snapshot> {
        let first = match &change.item {
            Item::Network(network) => Some(Snapshot {
                version: change.version,
                network: Arc::clone(network),
                workspaces: Vec::new(),
                drains: Vec::new(),
            }),
            _ => None,
        };
        self.snapshot().or(first).map(|snapshot| applied(&snapshot, change))
    }

    fn newest_row(&self) -> Version {
        let network = self.network.as_ref().map_or(Version(0), |row| row.version);
        let workspaces = self.workspaces.values().map(|row| row.version).max();
        network.max(self.drains.version).max(workspaces.unwrap_or_default())
    }
}

/// Reads the head: the newest version and the table's own version of its row.
///
/// # Errors
///
/// [`Error`] if the table could not be read.
pub async fn head(table: &dyn Table) -> Result<(Version, Option<u64>), Error> {
    let rows = table.read(&[rows::HEAD.to_owned()], options()).await?;
    match rows.first().and_then(Option::as_ref) {
        None => Ok((Version(0), None)),
        Some(row) => Ok((rows::decode::<Head>(rows::HEAD, row)?.version, Some(row.version))),
    }
}

/// Reads the changes after `held`, in order, at most `limit`.
///
/// # Errors
///
/// [`Error`] if the table could not be read.
pub async fn changes(table: &dyn Table, held: Version, limit: usize) -> Result<Vec<Change>, Error> {
    let after = rows::change_key(held);
    let found = table.scan(rows::CHANGES, &after, limit, options()).await?;
    let changes: Result<Vec<Change>, _> =
        found.iter().map(|(key, row)| rows::decode(key, row)).collect();
    Ok(changes?)
}

/// Reads all configuration at one version: the rows, unless a change was accepted meanwhile.
///
/// # Errors
///
/// [`Error`] if the table could not be read.
pub async fn load(table: &dyn Table) -> Result<Loaded, Error> {
    for _ in 0..LOAD_ROUNDS {
        let (version, head_row) = head(table).await?;
        let loaded = load_rows(table, version, head_row).await?;
        let after = head(table).await?;
        if after == (version, head_row) {
            assert!(loaded.newest_row() <= version, "no row is newer than the head");
            return Ok(loaded);
        }
    }
    Err(Error::Overtaken)
}

/// Reads one row.
///
/// # Errors
///
/// [`Error`] if the table could not be read.
pub async fn read_one<T: DeserializeOwned>(
    table: &dyn Table,
    key: &str,
) -> Result<Option<T>, Error> {
    let found = table.read(&[key.to_owned()], options()).await?;
    Ok(decode_one(key, found.first().and_then(Option::as_ref))?)
}

/// Reads every row whose key starts with `prefix`.
///
/// # Errors
///
/// [`Error`] if the table could not be read.
pub async fn read_all<T: DeserializeOwned>(
    table: &dyn Table,
    prefix: &str,
) -> Result<Vec<T>, Error> {
    let mut all = Vec::new();
    let mut after = String::new();
    loop {
        let found = table.scan(prefix, &after, SCAN_ROWS, options()).await?;
        for (key, row) in &found {
            all.push(rows::decode(key, row)?);
        }
        match found.last() {
            Some((key, _)) if found.len() == SCAN_ROWS => after.clone_from(key),
            _ => return Ok(all),
        }
    }
}

/// How configuration calls the table.
pub fn options() -> Options {
    Options { priority: Priority::Config, timeout: CALL_TIMEOUT }
}

async fn load_rows(
    table: &dyn Table,
    version: Version,
    head_row: Option<u64>,
) -> Result<Loaded, Error> {
    let keys = [rows::NETWORK.to_owned(), rows::DRAINS.to_owned()];
    let fixed = table.read(&keys, options()).await?;
    let row = |i: usize| fixed.get(i).and_then(Option::as_ref);
    let network = decode_one(rows::NETWORK, row(0))?;
    let drains = decode_one(rows::DRAINS, row(1))?.unwrap_or_default();
    let workspaces: Vec<WorkspaceRow> = read_all(table, rows::WORKSPACES).await?;
    let workspaces = workspaces.into_iter().map(|row| (row.workspace.id.clone(), row)).collect();
    Ok(Loaded { version, head_row, network, drains, workspaces })
}

fn decode_one<T: DeserializeOwned>(
    key: &str,
    row: Option<&Row>,
) -> Result<Option<T>, rows::Malformed> {
    row.map(|row| rows::decode(key, row)).transpose()
}

impl Change {
    /// The key of the row that the change sets.
    pub fn row_key(&self) -> String {
        match &self.item {
            Item::Network(_) => rows::NETWORK.to_owned(),
            Item::Drains(_) => rows::DRAINS.to_owned(),
            Item::Workspace(workspace) => rows::workspace_key(&workspace.id),
        }
    }
}
