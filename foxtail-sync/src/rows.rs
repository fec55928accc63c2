//! The rows that configuration lives in, all JSON.

use std::sync::Arc;

use foxtail_config::{Drain, Network, NetworkParams, Params, Template, Workspace};
use foxtail_platform::Row;
use foxtail_types::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The key of the row that every change is a compare-and-set on.
pub const HEAD: &str = "config/head";
/// The key of the network's row.
pub const NETWORK: &str = "config/network";
/// The key of the row of all drains.
pub const DRAINS: &str = "config/drains";
/// What the keys of workspaces start with.
pub const WORKSPACES: &str = "config/workspace/";
/// What the keys of changes start with.
pub const CHANGES: &str = "config/change/";
/// What the keys of former inputs start with.
pub const HISTORY: &str = "config/history/";

/// The head: the newest version.
#[value]
#[derive(Default)]
pub struct Head {
    /// The global version.
    pub version: Version,
}

/// The network with its input.
#[value]
pub struct NetworkRow {
    /// The global version that set it.
    pub version: Version,
    /// The input.
    pub params: NetworkParams,
    /// What it came down to.
    pub network: Arc<Network>,
}

/// All drains.
#[value]
#[derive(Default)]
pub struct DrainsRow {
    /// The global version that set them.
    pub version: Version,
    /// The drains.
    pub drains: Vec<Drain>,
}

/// A workspace with its input.
#[value]
pub struct WorkspaceRow {
    /// The global version that set it.
    pub version: Version,
    /// The template in the input.
    pub template: Template,
    /// The parameters in the input.
    pub params: Params,
    /// What they came down to.
    pub workspace: Arc<Workspace>,
}

/// A former input of a workspace.
#[value]
pub struct HistoryRow {
    /// The workspace's version.
    pub version: Version,
    /// The global version.
    pub global: Version,
    /// When it was accepted, since the Unix epoch.
    pub at: Millis,
    /// Who made it.
    pub operator: String,
    /// What it was for.
    pub note: String,
    /// The template.
    pub template: Template,
    /// The parameters.
    pub params: Params,
}

/// A row that is no JSON of the expected shape.
#[derive(Clone, Debug, thiserror::Error)]
#[error("row `{key}` can't be read: {reason}")]
pub struct Malformed {
    /// The key.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

/// The key of the change that made `version`.
pub fn change_key(version: Version) -> String {
    format!("{CHANGES}{:020}", version.0)
}

/// The key of a workspace.
pub fn workspace_key(id: &WorkspaceId) -> String {
    format!("{WORKSPACES}{id}")
}

/// What the keys of a workspace's former inputs start with.
pub fn history_prefix(id: &WorkspaceId) -> String {
    format!("{HISTORY}{id}/")
}

/// The key of a workspace's input at `version`.
pub fn history_key(id: &WorkspaceId, version: Version) -> String {
    format!("{}{:020}", history_prefix(id), version.0)
}

/// Writes a row's value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows are plain JSON")
}

/// Reads a row's value.
///
/// # Errors
///
/// [`Malformed`] if it is not of the expected shape.
pub fn decode<T: DeserializeOwned>(key: &str, row: &Row) -> Result<T, Malformed> {
    serde_json::from_slice(&row.value)
        .map_err(|e| Malformed { key: key.to_owned(), reason: e.to_string() })
}
