//! The settings file of a host.

use std::net::SocketAddr;
use std::path::Path;

use foxtail_types::prelude::*;
use garde::Validate;

/// The settings of one host, from a JSON file. Unknown fields are errors.
#[value]
#[derive(Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name.
    #[garde(skip)]
    pub host: HostId,
    /// Which start of the host this is, if the platform counts them; else the time of the start.
    #[garde(skip)]
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Its region.
    #[garde(skip)]
    pub region: RegionId,
    /// Its availability zone.
    #[garde(skip)]
    pub zone: ZoneId,
    /// Where it listens for callers.
    #[garde(skip)]
    pub caller: SocketAddr,
    /// Where it listens for other hosts.
    #[garde(skip)]
    pub peer: SocketAddr,
    /// Where it listens for operators.
    #[garde(skip)]
    pub operator: SocketAddr,
    /// The platform's addresses, in the order to try them.
    #[garde(length(min = 1, max = 16))]
    pub platform: Vec<SocketAddr>,
    /// The region of the platform's store. One of its hosts gathers the writes of all hosts, on
    /// their way to the store; without it, one host in each region does.
    #[garde(skip)]
    #[serde(default)]
    pub store_region: Option<RegionId>,
    /// Peer addresses of other hosts, for a start while the platform is out.
    #[garde(length(max = 64))]
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The credentials of operators.
    #[garde(length(min = 1, max = 64), dive)]
    pub operators: Vec<Credential>,
    /// Bounds for callers.
    #[garde(dive)]
    #[serde(default)]
    pub callers: Callers,
    /// What one zone's hosts may carry together is split by this: requests in flight at one host.
    #[garde(range(min = 1, max = 1_000_000))]
    #[serde(default = "in_flight_default")]
    pub in_flight_max: u32,
}

/// An operator's credential.
#[value]
#[derive(Validate)]
#[serde(deny_unknown_fields)]
pub struct Credential {
    /// The operator's name, for the change history.
    #[garde(length(min = 1, max = 63))]
    pub name: String,
    /// The secret.
    #[garde(length(min = 16, max = 256))]
    pub token: String,
}

/// Bounds for callers, so that a slow or hostile one holds up no one.
#[value]
#[derive(Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Callers {
    /// The most connections at a time.
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections: u32,
    /// The most connections at a time from one address.
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections_per_address: u32,
    /// The largest header block, in bytes.
    #[garde(range(min = 8_192, max = 1_048_576))]
    pub header_bytes: u32,
    /// The longest time for the headers of a request to arrive, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    pub header_ms: u64,
    /// The longest time for the body of a request to arrive, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    pub body_ms: u64,
    /// The longest time a caller may take nothing of its answer, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    pub stall_ms: u64,
    /// The most memory for request bodies at a time, in bytes.
    #[garde(range(min = 1_048_576, max = 1_073_741_824))]
    pub body_bytes_total: u32,
}

/// Why a settings file was not taken.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("settings `{path}`: {source}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is no JSON of the right shape. The message names the field and what is accepted.
    #[error("settings: {0}")]
    Shape(#[from] serde_json::Error),
    /// A value is out of bounds. The message names the field and the bound.
    #[error("settings: {}", one_line(.0))]
    Bounds(garde::Report),
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            connections: 4_096,
            connections_per_address: 1_024,
            header_bytes: 32_768,
            header_ms: 10_000,
            body_ms: 30_000,
            stall_ms: 30_000,
            body_bytes_total: 64 << 20,
        }
    }
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// [`Error`], naming the field, the bound and what is accepted.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let read = std::fs::read_to_string(path);
        let text =
            read.map_err(|source| Error::Read { path: path.display().to_string(), source })?;
        Self::parse(&text)
    }

    /// Checks `text` as a settings file.
    ///
    /// # Errors
    ///
    /// [`Error`], naming the field, the bound and what is accepted.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.validate().map_err(Error::Bounds)?;
        Ok(settings)
    }
}

fn in_flight_default() -> u32 {
    512
}

fn one_line(report: &garde::Report) -> String {
    let items: Vec<_> = report.iter().map(|(path, error)| format!("`{path}`: {error}")).collect();
    items.join("; ")
}
