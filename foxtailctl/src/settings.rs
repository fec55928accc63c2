//! Where the hosts are and what proves who calls.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Context;
use foxtail_macro::value;

use crate::exit::Failure;
use crate::flags::Foxtailctl;

const SETTINGS_VAR: &str = "FOXTAIL_SETTINGS";
const TOKEN_VAR: &str = "FOXTAIL_TOKEN";

/// The settings of a call.
pub(crate) struct Settings {
    /// The operator addresses of hosts, in the order to try them.
    pub(crate) hosts: Vec<SocketAddr>,
    /// The credential.
    pub(crate) token: String,
}

#[value]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    hosts: Vec<SocketAddr>,
    #[serde(default)]
    token: Option<String>,
}

impl Settings {
    /// Takes flags first, then the environment, then the settings file.
    pub(crate) fn load(flags: &Foxtailctl) -> Result<Self, Failure> {
        let path =
            flags.settings.clone().or_else(|| std::env::var(SETTINGS_VAR).ok().map(PathBuf::from));
        let file = match path {
            Some(path) => read(&path)?,
            None => File { hosts: Vec::new(), token: None },
        };
        let hosts = if flags.host.is_empty() { file.hosts } else { flags.host.clone() };
        let token = std::env::var(TOKEN_VAR).ok().or(file.token);
        if hosts.is_empty() {
            return Err(Failure::Usage(
                "name a host: --host IP:PORT, or `hosts` in the settings".to_owned(),
            ));
        }
        let token = token.ok_or_else(|| {
            Failure::Usage(format!("set {TOKEN_VAR}, or `token` in the settings"))
        })?;
        Ok(Self { hosts, token })
    }
}

fn read(path: &Path) -> Result<File, Failure> {
    let read = || {
        let text = std::fs::read_to_string(path).context("can't be read")?;
        anyhow::Ok(serde_json::from_str(&text)?)
    };
    read().map_err(|e| Failure::Usage(format!("settings {}: {e:#}", path.display())))
}
