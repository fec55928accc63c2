//! A whole site in one process over loopback: store, upstreams, network and hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use foxtail_adapter::{Applied, HttpStore, Operators, Wire};
use foxtail_entry::{Node, Ports, Settings};
use foxtail_net::{Dial, TcpDial};
use foxtail_standin::caller;
use foxtail_standin::net::{Location, Network, Options};
use foxtail_standin::store::{Store, StoreEndpoint};
use foxtail_standin::upstream::{UpstreamServer, WorkTimes};
use foxtail_time::BootClock;
use foxtail_types::prelude::*;
use parking_lot::Mutex;

use crate::spec::{
    CACHED_OBJECTS, SLOTS_PER_UPSTREAM, SiteSpec, UpstreamSpec, WARM_WORK_SHARE, ZONE_ROUND_TRIP,
};

/// The longest that a site may take until every host serves.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// How often that is looked at.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The time that hosts have for a stop, in seconds.
const STOP_TIMEOUT_S: f64 = 6.0;

/// A whole site.
pub struct Site {
    spec: SiteSpec,
    network: Arc<Network>,
    store: Arc<Store>,
    hosts_endpoint: StoreEndpoint,
    operators_endpoint: StoreEndpoint,
    upstreams: Vec<RunningUpstream>,
    hosts: Mutex<BTreeMap<HostId, Node>>,
}

/// An upstream and where it runs.
pub struct RunningUpstream {
    /// What it is.
    pub spec: UpstreamSpec,
    /// The process.
    pub server: UpstreamServer,
}

impl Site {
    /// Starts everything and waits until every host serves.
    ///
    /// # Errors
    ///
    /// Whatever part does not start.
    pub async fn start(spec: SiteSpec) -> Result<Self> {
        let delays =
            Options { zone_round_trip: ZONE_ROUND_TRIP, client_round_trip: spec.caller_round_trip };
        let network = Network::new(&spec.links(), delays);
        let store = Store::new();
        let hosts_endpoint = StoreEndpoint::open(&store).await?;
        let operators_endpoint = StoreEndpoint::open_to_operators(&store).await?;
        let (zone, region) = spec.zones.first_key_value().context("there is no zone")?;
        network.register(hosts_endpoint.addr(), Location::zone(region, zone));
        let hosts = Mutex::default();
        let mut site = Self {
            spec,
            network,
            store,
            hosts_endpoint,
            operators_endpoint,
            upstreams: Vec::new(),
            hosts,
        };
        for spec in site.spec.upstreams() {
            site.start_upstream(spec).await?;
        }
        site.configure().await?;
        let zones: Vec<(ZoneId, RegionId)> =
            site.spec.zones.iter().map(|(z, r)| (z.clone(), r.clone())).collect();
        for (zone, region) in zones {
            for n in 1..=site.spec.hosts_per_zone {
                site.start_host(&format!("{zone}-{n}"), &zone, &region).await?;
            }
        }
        site.wait_until_ready().await?;
        Ok(site)
    }

    /// The shape.
    pub fn spec(&self) -> &SiteSpec {
        &self.spec
    }

    /// The upstreams.
    pub fn upstreams(&self) -> &[RunningUpstream] {
        &self.upstreams
    }

    /// The store as operators reach it.
    pub fn store_addr(&self) -> SocketAddr {
        self.operators_endpoint.addr()
    }

    /// Where hosts that were not stopped answer look-ups.
    pub fn lookup_addrs(&self) -> Vec<SocketAddr> {
        self.hosts.lock().values().map(|node| node.settings().lookup).collect()
    }

    /// Connections of callers in `region`.
    pub fn dial_from_callers(&self, region: &RegionId) -> Arc<dyn Dial> {
        self.network.dial_from(Location::client(region))
    }

    /// The region of the host whose callers send to `addr`.
    pub fn region_of(&self, addr: SocketAddr) -> Option<RegionId> {
        let hosts = self.hosts.lock();
        let node = hosts.values().find(|node| node.settings().caller == addr)?;
        Some(node.settings().region.clone())
    }

    /// Drains a zone, or takes it back into use; returns once that is acknowledged.
    ///
    /// # Errors
    ///
    /// If the store can't be written.
    pub async fn drain(&self, zone: &ZoneId, on: bool) -> Result<()> {
        let applied = self.operators().evacuate(zone, on).await?;
        ensure!(applied == Applied::Done, "somebody else changed the same thing");
        Ok(())
    }

    /// Stops the host `id` gracefully.
    ///
    /// # Errors
    ///
    /// If no such host runs.
    pub async fn stop_host(&self, id: &HostId) -> Result<()> {
        let node = self.hosts.lock().remove(id).with_context(|| format!("no host {id} runs"))?;
        node.stop().await;
        Ok(())
    }

    /// Stops everything.
    pub async fn stop(self) {
        let nodes = std::mem::take(&mut *self.hosts.lock());
        futures::future::join_all(nodes.into_values().map(Node::stop)).await;
        let upstreams = self.upstreams.into_iter().map(|up| up.server.crash());
        futures::future::join_all(upstreams).await;
        self.hosts_endpoint.close().await;
        self.operators_endpoint.close().await;
        self.network.close().await;
    }

    fn operators(&self) -> Operators {
        Operators::new(Arc::new(TcpDial), self.operators_endpoint.addr())
    }

    async fn configure(&self) -> Result<()> {
        let operators = self.operators();
        let state = operators.read().await?;
        let applied = operators.apply(&state, &self.spec.config(), &[]).await?;
        ensure!(applied == Applied::Done, "there is a configuration already");
        Ok(())
    }

    async fn start_upstream(&mut self, spec: UpstreamSpec) -> Result<()> {
        let server = UpstreamServer::start(&spec.id, SLOTS_PER_UPSTREAM).await?;
        let cold = spec.work.duration();
        let warm = cold.mul_f64(WARM_WORK_SHARE);
        server.set_work_times(WorkTimes { cold, warm, cache_capacity: CACHED_OBJECTS });
        let region = &self.spec.zones[&spec.zone];
        self.network.register(server.addr(), Location::zone(region, &spec.zone));
        let row = server.registration(&spec.service, spec.zone.as_str(), "ready", 0.0);
        self.store.put("servers", &spec.id, &row);
        self.upstreams.push(RunningUpstream { spec, server });
        Ok(())
    }

    async fn start_host(&self, name: &str, zone: &ZoneId, region: &RegionId) -> Result<()> {
        let location = Location::zone(region, zone);
        let dial = self.network.dial_from(location.clone());
        let any = "127.0.0.1:0";
        let settings = serde_json::json!({
            "host": name, "region": region, "zone": zone, "zones": self.spec.zones,
            "caller": any, "lookup": any, "health": any, "peer": any, "metrics": null,
            "operator": any, "store": self.hosts_endpoint.addr(), "stop_s": STOP_TIMEOUT_S,
            "lookup_ttl_s": 1.0, "shift_cap": 0.15,
            "retry": {"ratio": 0.2, "slack": 100.0, "window_s": 10.0},
        });
        let settings = Settings::parse(&settings.to_string())?;
        let id = settings.host.clone();
        let ports = Ports {
            dial: Arc::clone(&dial),
            clock: Arc::new(BootClock),
            dialect: Arc::new(Wire),
            store: Arc::new(HttpStore::new(dial, self.hosts_endpoint.addr())),
        };
        let node = Node::start(settings, ports).await?;
        let settings = node.settings();
        for addr in [settings.caller, settings.lookup, settings.peer] {
            self.network.register(addr, location.clone());
        }
        self.hosts.lock().insert(id, node);
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let addrs: Vec<SocketAddr> =
            self.hosts.lock().values().map(|node| node.settings().health).collect();
        for addr in addrs {
            while !caller::is_ready(addr).await {
                ensure!(
                    Instant::now() < deadline,
                    "not every host serves within {READY_TIMEOUT:?}"
                );
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}
