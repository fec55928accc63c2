//! Operators' input files, and the versions of workspaces that the store holds.

use std::path::Path;

use foxtail_adapter::decode_config;
use foxtail_config::headroom::Demand;
use foxtail_config::{Params, Site, Template, compile};
use foxtail_types::prelude::*;
use serde::de::DeserializeOwned;

use crate::failure::Failure;
use crate::output::Output;

/// An operator's input for a workspace.
#[value]
#[serde(deny_unknown_fields)]
pub(crate) struct Input {
    /// The version of the workspace that the input was made from; 0 for a new workspace.
    pub(crate) base: Version,
    /// The template.
    pub(crate) template: Template,
    /// The parameters.
    pub(crate) params: Params,
}

/// One version of a workspace, as the store holds it.
#[value]
pub(crate) struct StoredVersion {
    /// The version of the workspace.
    pub(crate) version: Version,
    /// The version of the configuration that it was first part of.
    pub(crate) config: Version,
    /// The time of the change, in milliseconds since the Unix epoch.
    pub(crate) at: Millis,
    /// The operator who made the change.
    pub(crate) operator: String,
    /// The operator's reason for the change.
    pub(crate) note: String,
    /// The template.
    pub(crate) template: Template,
    /// The parameters.
    pub(crate) params: Params,
}

impl StoredVersion {
    /// Returns the keys of the two rows that hold this version: that of the newest version and that
    /// of this version in the history. Its number is zero-padded, so that keys sort by version.
    pub(crate) fn row_keys(&self) -> [String; 2] {
        let name = &self.params.workspace;
        [newest_version_key(name), format!("{}{:08}", history_prefix(name), self.version.0)]
    }

    /// Returns the expected load of the workspace on `site`; empty if the input no longer compiles
    /// there, such as after the removal of a region.
    pub(crate) fn demand(&self, site: &Site) -> Vec<Demand> {
        compile(&self.template, &self.params, site).map(|cfg| cfg.demand).unwrap_or_default()
    }
}

/// Returns the key of the row that holds the newest version of a workspace.
pub(crate) fn newest_version_key(name: &WorkspaceId) -> String {
    format!("{NEWEST_VERSION_PREFIX}{name}")
}

/// Returns the prefix of the keys of all versions of a workspace.
pub(crate) fn history_prefix(name: &WorkspaceId) -> String {
    format!("history/{name}/")
}

/// The prefix of the keys of the newest versions of all workspaces.
pub(crate) const NEWEST_VERSION_PREFIX: &str = "workspace/";

/// Reads and decodes a JSON file.
pub(crate) fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Failure> {
    let error = |e: String| Failure::Usage(format!("can't load `{}`: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| error(e.to_string()))
}

/// Checks a configuration file in the format of the platform's store, and prints its version and
/// the numbers of its routes and services.
pub(crate) fn check_config_file(path: &Path, out: &Output) -> Result<(), Failure> {
    let error = |e: String| Failure::Usage(format!("can't load `{}`: {e}", path.display()));
    let text = std::fs::read(path).map_err(|e| error(e.to_string()))?;
    let cfg = decode_config(&text).map_err(error)?;
    out.print_checked(&cfg);
    Ok(())
}
