//! The store, and the hosts registered in it.

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

use crate::exit::Failure;
use crate::input::{Kept, NEWEST};
use crate::settings::Settings;

/// The store answers a connection within a round trip between regions; one that takes several is not
/// there.
const DIAL: KeepaliveDial = KeepaliveDial {
    connect_timeout: Millis(1_000),
    unacknowledged_timeout: Millis(2_000),
    probe_interval: Millis(1_000),
};

/// The longest that a host is waited for.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a change is waited for if the command does not say.
const WAIT_DEFAULT: Duration = Duration::from_secs(10);

/// How often hosts are asked meanwhile.
const ASK_EVERY: Duration = Duration::from_millis(200);

/// The store, and the hosts registered in it.
pub(crate) struct Client {
    pub(crate) store: OperatorStore,
    pub(crate) settings: Settings,
}

/// What the store holds, decoded for plans.
pub(crate) struct View {
    pub(crate) found: StoreContents,
    pub(crate) cfg: Config,
    pub(crate) site: Site,
    /// The newest version of each workspace.
    pub(crate) kept: Vec<Kept>,
}

/// A host and its own word, if it gave one.
pub(crate) struct Host {
    pub(crate) record: HostRecord,
    pub(crate) status: Result<Status, String>,
}

impl Client {
    pub(crate) fn new(settings: Settings) -> Self {
        Self { store: OperatorStore::new(Arc::new(DIAL), settings.store), settings }
    }

    /// Reads the store.
    pub(crate) async fn view(&self) -> Result<View, Failure> {
        let found = self.store.read().await.map_err(Failure::Unavailable)?;
        let mut kept = Vec::new();
        for (name, value) in found.tool_records.iter().filter(|(name, _)| name.starts_with(NEWEST))
        {
            let one =
                serde_json::from_slice(value).with_context(|| format!("what is kept of {name}"))?;
            kept.push(one);
        }
        let zones: BTreeMap<ZoneId, RegionId> =
            found.hosts.iter().map(|host| (host.zone.clone(), host.region.clone())).collect();
        let (upstreams, evacuated) = (found.upstreams.clone(), found.evacuated.clone());
        let cfg = found.cfg.clone().unwrap_or_default();
        Ok(View { found, cfg, site: Site { zones, upstreams, evacuated }, kept })
    }

    /// Asks all registered hosts how they are.
    pub(crate) async fn hosts(&self, records: &[HostRecord]) -> Vec<Host> {
        join_all(
            records
                .iter()
                .map(|record| async { Host { record: record.clone(), status: ask(record).await } }),
        )
        .await
    }

    /// Waits until `holds` for all hosts that serve.
    pub(crate) async fn until_in_force(
        &self,
        records: &[HostRecord],
        version: Version,
        wait: Option<u64>,
        holds: impl Fn(&Status) -> bool,
    ) -> Result<usize, Failure> {
        let until = Instant::now() + wait.map_or(WAIT_DEFAULT, Duration::from_secs);
        loop {
            let hosts = self.hosts(records).await;
            let late = |host: &&Host| match &host.status {
                Ok(status) => status.phase != Phase::Leaving && !holds(status),
                Err(_) => true,
            };
            let late: Vec<HostId> =
                hosts.iter().filter(late).map(|host| host.record.id.clone()).collect();
            if late.is_empty() {
                return Ok(hosts.len());
            }
            if Instant::now() >= until {
                return Err(Failure::Late { version, hosts: late });
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
    }
}

impl View {
    /// The newest version of `workspace`.
    pub(crate) fn newest(&self, workspace: &WorkspaceId) -> Option<&Kept> {
        self.kept.iter().find(|kept| kept.params.workspace == *workspace)
    }

    /// The load that is expected of all workspaces but `without`.
    pub(crate) fn demand(&self, without: Option<&WorkspaceId>) -> Vec<Demand> {
        let counted = self.kept.iter().filter(|kept| Some(&kept.params.workspace) != without);
        counted.flat_map(|kept| kept.demand(&self.site)).collect()
    }

    /// What the site leaves free.
    pub(crate) fn headroom(&self) -> Headroom {
        headroom::assess(&self.cfg, &self.demand(None), &self.site)
    }
}

async fn ask(record: &HostRecord) -> Result<Status, String> {
    let addr = record.operator.ok_or("it has no address for operators")?;
    let client = HttpClientBuilder::default().request_timeout(HOST_TIMEOUT);
    let client = client.build(format!("http://{addr}")).map_err(|e| e.to_string())?;
    client.status().await.map_err(|e| e.to_string())
}
