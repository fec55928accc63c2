//! A site in one process over loopback: store, upstreams, simulated network and hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use foxtail_adapter::{ChangeOutcome, HttpProtocol, HttpStore, OperatorStore};
use foxtail_entry::{Host, Ports, Settings};
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

/// The longest time until all hosts are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The time between two readiness checks of a host.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The time that hosts have for a graceful shutdown, in seconds.
const STOP_TIMEOUT_S: f64 = 6.0;

/// A running site: hosts and upstreams of several regions, and one store.
pub struct Site {
    spec: SiteSpec,
    network: Arc<Network>,
    store: Arc<Store>,
    hosts_endpoint: StoreEndpoint,
    operators_endpoint: StoreEndpoint,
    upstreams: Vec<RunningUpstream>,
    hosts: Mutex<BTreeMap<HostId, Host>>,
}

/// A running upstream.
pub struct RunningUpstream {
    /// Its service, zone and work time.
    pub spec: UpstreamSpec,
    /// The server on loopback.
    pub server: UpstreamServer,
}

impl Site {
    /// Starts all parts and waits until every host is ready.
    ///
    /// # Errors
    ///
    /// Returns the error of the part that does not start, or an error if not all hosts are ready
    /// within 30 seconds.
    pub async fn start(spec: SiteSpec) -> Result<Self> {
        let delays =
            Options { zone_round_trip: ZONE_ROUND_TRIP, client_round_trip: spec.caller_round_trip };
        let network = Network::new(&spec.links(), delays);
        let store = Store::new();
        let hosts_endpoint = StoreEndpoint::open(&store).await?;
        let operators_endpoint = StoreEndpoint::open_to_operators(&store).await?;
        let (zone, region) =
            spec.zones.first_key_value().context("the site has no zones; expected at least one")?;
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

    /// Returns what the site was started from.
    pub fn spec(&self) -> &SiteSpec {
        &self.spec
    }

    /// Returns the running upstreams.
    pub fn upstreams(&self) -> &[RunningUpstream] {
        &self.upstreams
    }

    /// Returns the address of the store for operators.
    pub fn store_addr(&self) -> SocketAddr {
        self.operators_endpoint.addr()
    }

    /// Returns the look-up addresses of the hosts that were not stopped.
    pub fn lookup_addrs(&self) -> Vec<SocketAddr> {
        self.hosts.lock().values().map(|host| host.settings().lookup).collect()
    }

    /// Returns a dialer for callers in `region`.
    pub fn dial_from_callers(&self, region: &RegionId) -> Arc<dyn Dial> {
        self.network.dial_from(Location::client(region))
    }

    /// Returns the region of the host that receives requests at `addr`.
    pub fn region_of(&self, addr: SocketAddr) -> Option<RegionId> {
        let hosts = self.hosts.lock();
        let host = hosts.values().find(|host| host.settings().caller == addr)?;
        Some(host.settings().region.clone())
    }

    /// Drains a zone, or ends its drain if `on` is false; returns once the store acknowledges it.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be written.
    pub async fn drain(&self, zone: &ZoneId, on: bool) -> Result<()> {
        let applied = self.operators().set_evacuated(zone, on).await?;
        ensure!(
            applied == ChangeOutcome::Applied,
            "conflict while changing the drain of zone {zone}"
        );
        Ok(())
    }

    /// Stops the host `id` gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error if no such host runs.
    pub async fn stop_host(&self, id: &HostId) -> Result<()> {
        let host =
            self.hosts.lock().remove(id).with_context(|| format!("host {id} is not running"))?;
        host.stop().await;
        Ok(())
    }

    /// Stops the hosts gracefully, then all other parts.
    pub async fn stop(self) {
        let hosts = std::mem::take(&mut *self.hosts.lock());
        futures::future::join_all(hosts.into_values().map(Host::stop)).await;
        let upstreams = self.upstreams.into_iter().map(|up| up.server.crash());
        futures::future::join_all(upstreams).await;
        self.hosts_endpoint.close().await;
        self.operators_endpoint.close().await;
        self.network.close().await;
    }

    fn operators(&self) -> OperatorStore {
        OperatorStore::new(Arc::new(TcpDial), self.operators_endpoint.addr())
    }

    async fn configure(&self) -> Result<()> {
        let operators = self.operators();
        let state = operators.read().await?;
        let applied = operators.apply(&state, &self.spec.config(), &[]).await?;
        ensure!(
            applied == ChangeOutcome::Applied,
            "the store has a configuration already, expected none"
        );
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
            protocol: Arc::new(HttpProtocol),
            store: Arc::new(HttpStore::new(dial, self.hosts_endpoint.addr())),
        };
        let host = Host::start(settings, ports).await?;
        let settings = host.settings();
        for addr in [settings.caller, settings.lookup, settings.peer] {
            self.network.register(addr, location.clone());
        }
        self.hosts.lock().insert(id, host);
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let addrs: Vec<SocketAddr> =
            self.hosts.lock().values().map(|host| host.settings().health).collect();
        for addr in addrs {
            while !caller::is_ready(addr).await {
                ensure!(
                    Instant::now() < deadline,
                    "not all hosts are ready within {READY_TIMEOUT:?}"
                );
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}
