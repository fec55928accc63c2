//! The client for the platform's store and for the hosts that are registered in it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use foxtail_adapter::{OperatorStore, StoreContents};
use foxtail_config::headroom::Demand;
use foxtail_config::{Headroom, Site, headroom};
use foxtail_net::KeepaliveDial;
use foxtail_operator::{OperatorClient, Status};
use foxtail_steer::Config;
use foxtail_steer::fleet::{HostRecord, Phase};
use foxtail_types::prelude::*;
use futures::future::join_all;
use jsonrpsee::http_client::HttpClientBuilder;

use crate::failure::Failure;
use crate::input::{NEWEST_VERSION_PREFIX, StoredVersion};
use crate::settings::Settings;

/// The timeouts of connections to the store. A store accepts a connection within one round trip
/// between regions; one that takes several round trips counts as unreachable.
const STORE_DIAL: KeepaliveDial = KeepaliveDial {
    connect_timeout: Millis(1_000),
    unacknowledged_timeout: Millis(2_000),
    probe_interval: Millis(1_000),
};

/// The timeout of a status request to a host.
const HOST_STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// The time to wait until a change is in force, if the command line sets none.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

/// The interval between status requests while a change is not yet in force on all hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A client for the store and for the hosts that are registered in it.
pub(crate) struct Client {
    pub(crate) store: OperatorStore,
    pub(crate) settings: Settings,
}

/// The content of the store, decoded for plans.
pub(crate) struct StoreView {
    /// The content of the store as it was read.
    pub(crate) stored: StoreContents,
    /// The configuration; empty if the store has none.
    pub(crate) cfg: Config,
    /// The zones of the registered hosts, with the upstreams and the evacuated zones.
    pub(crate) site: Site,
    /// The newest version of each workspace.
    pub(crate) workspaces: Vec<StoredVersion>,
}

/// A registered host and the status that it reported, or why it reported none.
pub(crate) struct HostStatus {
    pub(crate) record: HostRecord,
    pub(crate) status: Result<Status, String>,
}

impl Client {
    pub(crate) fn new(settings: Settings) -> Self {
        Self { store: OperatorStore::new(Arc::new(STORE_DIAL), settings.store), settings }
    }

    /// Reads and decodes the content of the store.
    pub(crate) async fn read_store(&self) -> Result<StoreView, Failure> {
        let stored = self.store.read().await.map_err(Failure::StoreUnavailable)?;
        let mut workspaces = Vec::new();
        for (key, value) in
            stored.tool_records.iter().filter(|(key, _)| key.starts_with(NEWEST_VERSION_PREFIX))
        {
            let version = serde_json::from_slice(value)
                .with_context(|| format!("can't decode the stored record `{key}`"))?;
            workspaces.push(version);
        }
        let zones: BTreeMap<ZoneId, RegionId> =
            stored.hosts.iter().map(|host| (host.zone.clone(), host.region.clone())).collect();
        let (upstreams, evacuated) = (stored.upstreams.clone(), stored.evacuated.clone());
        let cfg = stored.cfg.clone().unwrap_or_default();
        Ok(StoreView { stored, cfg, site: Site { zones, upstreams, evacuated }, workspaces })
    }

    /// Requests the status of each host in `records`, all at once.
    pub(crate) async fn host_statuses(&self, records: &[HostRecord]) -> Vec<HostStatus> {
        join_all(records.iter().map(|record| async {
            HostStatus { record: record.clone(), status: request_status(record).await }
        }))
        .await
    }

    /// Waits until every host has answered that it is leaving or that `is_in_force` holds, for
    /// `wait_s` seconds at most, or [`DEFAULT_WAIT`] if it is `None`. Returns the number of hosts.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotInForce`] with `version` and the hosts for which this does not hold in
    /// time.
    pub(crate) async fn wait_until_in_force(
        &self,
        records: &[HostRecord],
        version: Version,
        wait_s: Option<u64>,
        is_in_force: impl Fn(&Status) -> bool,
    ) -> Result<usize, Failure> {
        let deadline = Instant::now() + wait_s.map_or(DEFAULT_WAIT, Duration::from_secs);
        loop {
            let hosts = self.host_statuses(records).await;
            let lacks_change = |host: &&HostStatus| match &host.status {
                Ok(status) => status.phase != Phase::Leaving && !is_in_force(status),
                Err(_) => true,
            };
            let behind: Vec<HostId> =
                hosts.iter().filter(lacks_change).map(|host| host.record.id.clone()).collect();
            if behind.is_empty() {
                return Ok(hosts.len());
            }
            if Instant::now() >= deadline {
                return Err(Failure::NotInForce { version, hosts: behind });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl StoreView {
    /// Returns the newest version of `workspace`, or `None` if it does not exist.
    pub(crate) fn newest_version(&self, workspace: &WorkspaceId) -> Option<&StoredVersion> {
        self.workspaces.iter().find(|version| version.params.workspace == *workspace)
    }

    /// Returns the expected load of all workspaces except `excluded`.
    pub(crate) fn demand(&self, excluded: Option<&WorkspaceId>) -> Vec<Demand> {
        let counted =
            self.workspaces.iter().filter(|version| Some(&version.params.workspace) != excluded);
        counted.flat_map(|version| version.demand(&self.site)).collect()
    }

    /// Computes the headroom of the site under the expected load of all workspaces.
    pub(crate) fn headroom(&self) -> Headroom {
        headroom::assess(&self.cfg, &self.demand(None), &self.site)
    }
}

async fn request_status(record: &HostRecord) -> Result<Status, String> {
    let addr = record.operator.ok_or("its registration has no operator address")?;
    let client = HttpClientBuilder::default().request_timeout(HOST_STATUS_TIMEOUT);
    let client = client.build(format!("http://{addr}")).map_err(|e| e.to_string())?;
    client.status().await.map_err(|e| e.to_string())
}
