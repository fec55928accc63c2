//! The settings: the address of the platform's store and the operator's name.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Context;
use foxtail_macro::value;

use crate::failure::Failure;
use crate::flags::Foxtailctl;

const SETTINGS_ENV_VAR: &str = "FOXTAIL_SETTINGS";

/// The settings of one run of the program.
pub(crate) struct Settings {
    /// The address of the platform's store.
    pub(crate) store: SocketAddr,
    /// The operator's name, for the history.
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
    /// Reads the settings file, if one is given. Flags take precedence over it.
    pub(crate) fn load(flags: &Foxtailctl) -> Result<Self, Failure> {
        let path = flags
            .settings
            .clone()
            .or_else(|| std::env::var(SETTINGS_ENV_VAR).ok().map(PathBuf::from));
        let file = path.map(|path| read_file(&path)).transpose()?.unwrap_or_default();
        let store = flags.store.or(file.store).ok_or_else(|| {
            let text =
                "no store address; expected --store IP:PORT, or `store` in the settings file";
            Failure::Usage(text.to_owned())
        })?;
        Ok(Self { store, operator: file.operator.unwrap_or_else(|| "unnamed".to_owned()) })
    }
}

fn read_file(path: &Path) -> Result<SettingsFile, Failure> {
    let read = || {
        let text = std::fs::read_to_string(path).context("can't read the file")?;
        anyhow::Ok(serde_json::from_str(&text)?)
    };
    read().map_err(|e| Failure::Usage(format!("can't load settings `{}`: {e:#}", path.display())))
}
