//! Files that operators give, and what is kept of them in the store.

use std::path::Path;

use foxtail_adapter::check_config;
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
    /// The version of the workspace that it was made from; 0 for a new one.
    pub(crate) base: Version,
    /// The template.
    pub(crate) template: Template,
    /// The parameters.
    pub(crate) params: Params,
}

/// One version of a workspace, as it is kept.
#[value]
pub(crate) struct StoredVersion {
    /// The version of the workspace.
    pub(crate) version: Version,
    /// The version of the configuration that has it.
    pub(crate) config: Version,
    /// When it was made, since the Unix epoch.
    pub(crate) at: Millis,
    /// Who made it.
    pub(crate) operator: String,
    /// What for.
    pub(crate) note: String,
    /// The template.
    pub(crate) template: Template,
    /// The parameters.
    pub(crate) params: Params,
}

impl StoredVersion {
    /// What it is kept under: the newest one, and each version.
    pub(crate) fn row_keys(&self) -> [String; 2] {
        let name = &self.params.workspace;
        [newest_version_key(name), format!("{}{:08}", history_prefix(name), self.version.0)]
    }

    /// The load that is expected of it on `site`; none if the site lacks what it needs by now.
    pub(crate) fn demand(&self, site: &Site) -> Vec<Demand> {
        compile(&self.template, &self.params, site).map(|part| part.demand).unwrap_or_default()
    }
}

/// Where the newest version of a workspace is kept.
pub(crate) fn newest_version_key(name: &WorkspaceId) -> String {
    format!("{NEWEST_VERSION_PREFIX}{name}")
}

/// Where the names of all versions of a workspace begin.
pub(crate) fn history_prefix(name: &WorkspaceId) -> String {
    format!("history/{name}/")
}

/// Where the names of the newest versions of all workspaces begin.
pub(crate) const NEWEST_VERSION_PREFIX: &str = "workspace/";

/// Reads a JSON file.
pub(crate) fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Failure> {
    let error = |e: String| Failure::Usage(format!("{}: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| error(e.to_string()))
}

/// Checks a configuration as the platform's store holds it.
pub(crate) fn check_config_file(path: &Path, out: &Output) -> Result<(), Failure> {
    let error = |e: String| Failure::Usage(format!("{}: {e}", path.display()));
    let text = std::fs::read(path).map_err(|e| error(e.to_string()))?;
    let cfg = check_config(&text).map_err(error)?;
    out.print_checked(&cfg);
    Ok(())
}
