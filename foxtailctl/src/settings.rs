//! Where the platform's store is and who calls.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Context;
use foxtail_macro::value;

use crate::failure::Failure;
use crate::flags::Foxtailctl;

const SETTINGS_ENV_VAR: &str = "FOXTAIL_SETTINGS";

/// The settings of a call.
pub(crate) struct Settings {
    /// The platform's store.
    pub(crate) store: SocketAddr,
    /// Who calls, for the history.
    pub(crate) operator: String,
}

#[value]
#[derive(Default)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    #[serde(default)]
    store: Option<SocketAddr>,
    #[serde(default)]
    operator: Option<String>,
}

impl Settings {
    /// Takes flags first, then the settings file.
    pub(crate) fn load(flags: &Foxtailctl) -> Result<Self, Failure> {
        let path = flags
            .settings
            .clone()
            .or_else(|| std::env::var(SETTINGS_ENV_VAR).ok().map(PathBuf::from));
        let file = path.map(|path| read_file(&path)).transpose()?.unwrap_or_default();
        let store = flags.store.or(file.store).ok_or_else(|| {
            let text = "name the store: --store IP:PORT, or `store` in the settings";
            Failure::Usage(text.to_owned())
        })?;
        Ok(Self { store, operator: file.operator.unwrap_or_else(|| "unnamed".to_owned()) })
    }
}

fn read_file(path: &Path) -> Result<SettingsFile, Failure> {
    let read = || {
        let text = std::fs::read_to_string(path).context("can't be read")?;
        anyhow::Ok(serde_json::from_str(&text)?)
    };
    read().map_err(|e| Failure::Usage(format!("settings {}: {e:#}", path.display())))
}
