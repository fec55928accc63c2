//! The settings file of an entry host, in JSON.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use anyhow::Context;
use foxtail_place::{Block, BlockMap, Location, LocationIndex, map};
use foxtail_steer::fleet::HostRecord;
use foxtail_steer::memory::MIN_GRANT_BYTES;
use foxtail_steer::{retry, steering};
use foxtail_types::prelude::*;
use garde::Validate;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};

/// Bytes in the unit of [`Settings::memory_mb`].
const MEGABYTE: f64 = 1_000_000.0;

/// The least memory with which the program serves callers, in megabytes.
const MIN_MEMORY_MB: f64 = MIN_GRANT_BYTES as f64 / MEGABYTE;

/// The settings of one entry host. Unknown fields are errors.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name.
    #[garde(skip)]
    pub host: HostId,
    /// The host's region.
    #[garde(skip)]
    pub region: RegionId,
    /// The host's availability zone.
    #[garde(custom(is_known_zone(&self.zones)))]
    pub zone: ZoneId,
    /// The region of each zone.
    #[garde(length(min = 1, max = 1_024))]
    pub zones: BTreeMap<ZoneId, RegionId>,
    /// The address for callers' requests.
    #[garde(skip)]
    pub caller: SocketAddr,
    /// The address for callers' look-ups.
    #[garde(skip)]
    pub lookup: SocketAddr,
    /// The address for the platform's health checks.
    #[garde(skip)]
    pub health: SocketAddr,
    /// The address for other hosts: digests over UDP, pulls of store facts over TCP.
    #[garde(skip)]
    pub peer: SocketAddr,
    /// The address that serves metrics in text format, if any.
    #[garde(skip)]
    pub metrics: Option<SocketAddr>,
    /// The address of the operators' status interface, if any.
    #[garde(skip)]
    #[serde(default)]
    pub operator: Option<SocketAddr>,
    /// The address of the platform's store.
    #[garde(skip)]
    pub store: SocketAddr,
    /// How long the process may take to stop, in seconds.
    #[garde(range(min = 1.0, max = 600.0))]
    pub stop_s: f64,
    /// How long callers may cache the response to a look-up, in seconds.
    #[garde(range(min = 0.1, max = 60.0))]
    pub lookup_ttl_s: f64,
    /// The retry budget of each service.
    #[garde(dive)]
    pub retry: RetryBudget,
    /// A request is refused if all slots are taken and its response is expected later than this
    /// many times the latency objective.
    #[garde(range(min = 0.5, max = 100.0))]
    #[serde(default = "default_refuse_factor")]
    pub refuse_factor: f64,
    /// The locations of callers that send no region in a look-up, by address. The innermost block
    /// takes precedence.
    #[garde(length(max = 10_000))]
    #[serde(default)]
    pub blocks: Vec<CallerBlock>,
    /// The maximum share of a region's requests that may shift to another region within two
    /// seconds.
    #[garde(range(min = 0.01, max = 1.0))]
    pub shift_cap: f64,
    /// The memory that the platform grants the process, in megabytes of 1,000,000 bytes.
    #[garde(range(min = MIN_MEMORY_MB, max = 1_000_000.0))]
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

/// A block of callers' addresses and their location.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
#[serde(deny_unknown_fields)]
pub struct CallerBlock {
    /// The addresses.
    pub net: IpNet,
    /// The callers' region.
    pub region: RegionId,
    /// The callers' zone, if one is nearer to them than the others.
    #[serde(default)]
    pub zone: Option<ZoneId>,
}

/// The limit of retries for each service, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// The number of retries allowed per request.
    #[garde(range(min = 0.0, max = 10.0))]
    pub ratio: f64,
    /// The number of retries allowed in each window in addition to the ratio, over all hosts.
    #[garde(range(min = 0.0, max = 1_000_000.0))]
    pub slack: f64,
    /// The window, in seconds.
    #[garde(range(min = 0.1, max = 3_600.0))]
    pub window_s: f64,
}

/// Returns 1.4: a response within this many times the objective is worth more to a caller than a
/// refusal; see docs/design/steering.md.
fn default_refuse_factor() -> f64 {
    1.4
}

/// Returns the memory of the smallest hosts in use.
fn default_memory_mb() -> f64 {
    112.0
}

fn is_known_zone(
    zones: &BTreeMap<ZoneId, RegionId>,
) -> impl FnOnce(&ZoneId, &()) -> garde::Result + '_ {
    move |zone, ()| {
        if zones.contains_key(zone) {
            return Ok(());
        }
        Err(garde::Error::new(format!("zone `{zone}` is missing in `zones`")))
    }
}

impl Settings {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, is not JSON of this form, or a value is out of
    /// its bounds; the error then names the field.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("can't read settings `{}`", path.display()))?;
        Self::parse(&text).with_context(|| format!("settings `{}`", path.display()))
    }

    /// Parses and validates settings in JSON.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Settings::load`], except for reading the file.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.validate()?;
        settings.block_map().context("blocks")?;
        Ok(settings)
    }

    /// Returns the host's registration.
    pub fn record(&self) -> HostRecord {
        HostRecord {
            id: self.host.clone(),
            region: self.region.clone(),
            zone: self.zone.clone(),
            caller: self.caller,
            peer: self.peer,
            operator: self.operator,
        }
    }

    /// Returns the options of the steering.
    pub fn steering_options(&self) -> steering::Options {
        steering::Options {
            host: self.host.clone(),
            region: self.region.clone(),
            zones: self.zones.clone(),
            retry: retry::Options {
                ratio: self.retry.ratio,
                slack: self.retry.slack,
                window: millis(self.retry.window_s),
            },
            refuse_factor: self.refuse_factor,
            shift_cap: self.shift_cap,
        }
    }

    /// Builds the map from callers' addresses to locations.
    ///
    /// # Errors
    ///
    /// Returns [`map::Error`] if there are too many locations or a block is invalid; the error then
    /// names the block.
    pub fn block_map(&self) -> Result<BlockMap, map::Error> {
        let mut locations: Vec<Location> = Vec::new();
        let mut location_indices: BTreeMap<(&RegionId, &Option<ZoneId>), usize> = BTreeMap::new();
        let mut blocks = Vec::with_capacity(self.blocks.len());
        for CallerBlock { net, region, zone } in &self.blocks {
            let index = *location_indices.entry((region, zone)).or_insert_with(|| {
                locations.push(Location { region: region.clone(), zone: zone.clone() });
                locations.len() - 1
            });
            let location =
                u16::try_from(index).map_err(|_| map::Error::TooManyLocations(locations.len()))?;
            blocks.push(Block { net: *net, location: LocationIndex(location) });
        }
        BlockMap::build(Version::default(), locations, &blocks)
    }

    /// Returns how long the process may take to stop.
    pub fn stop_timeout(&self) -> Millis {
        millis(self.stop_s)
    }

    /// Returns the memory that the platform grants the process, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        (self.memory_mb * MEGABYTE) as u64
    }

    /// Returns how long callers may cache the response to a look-up.
    pub fn lookup_ttl(&self) -> Millis {
        millis(self.lookup_ttl_s)
    }
}

fn millis(secs: f64) -> Millis {
    Millis((secs * 1_000.0).max(0.0) as u64)
}
