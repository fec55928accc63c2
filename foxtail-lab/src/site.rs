//! A whole site in one process over loopback: store, upstreams, network and hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use foxtail_adapter::{ChangeOutcome, HttpDialect, HttpStore, OperatorStore};
use foxtail_entry::{Node, Ports, Settings};
use foxtail_net::{Dial, TcpDial};
use foxtail_standin::caller;
use foxtail_standin::net::{Fabric, Options, Place};
use foxtail_standin::service::{Service, Work};
use foxtail_standin::store::{Door, Store};
use foxtail_time::BootClock;
use foxtail_types::prelude::*;
use parking_lot::Mutex;

use crate::shape::{CACHED, SLOTS, Shape, UpstreamShape, WARM_SHARE, ZONE_ROUND_TRIP};

/// The longest that a site may take until every host serves.
const READY_MOST: Duration = Duration::from_secs(30);

/// How often that is looked at.
const READY_POLL: Duration = Duration::from_millis(50);

/// The time that hosts have for a stop, in seconds.
const STOP_S: f64 = 6.0;

/// A whole site.
pub struct Site {
    shape: Shape,
    fabric: Arc<Fabric>,
    store: Arc<Store>,
    hosts_door: Door,
    operators_door: Door,
    upstreams: Vec<Running>,
    hosts: Mutex<BTreeMap<HostId, Node>>,
}

/// An upstream and where it runs.
pub struct Running {
    /// What it is.
    pub shape: UpstreamShape,
    /// The process.
    pub service: Service,
}

impl Site {
    /// Starts everything and waits until every host serves.
    ///
    /// # Errors
    ///
    /// Whatever part does not start.
    pub async fn start(shape: Shape) -> Result<Self> {
        let delays = Options {
            zone_round_trip: ZONE_ROUND_TRIP,
            client_round_trip: shape.caller_round_trip,
        };
        let fabric = Fabric::new(&shape.links(), delays);
        let store = Store::new();
        let hosts_door = Door::open(&store).await?;
        let operators_door = Door::open_to_operators(&store).await?;
        let (zone, region) = shape.zones.first_key_value().context("there is no zone")?;
        fabric.register(hosts_door.addr(), Place::zone(region, zone));
        let hosts = Mutex::default();
        let mut site =
            Self { shape, fabric, store, hosts_door, operators_door, upstreams: Vec::new(), hosts };
        for shape in site.shape.upstreams() {
            site.start_upstream(shape).await?;
        }
        site.configure().await?;
        let zones: Vec<(ZoneId, RegionId)> =
            site.shape.zones.iter().map(|(z, r)| (z.clone(), r.clone())).collect();
        for (zone, region) in zones {
            for n in 1..=site.shape.hosts_per_zone {
                site.start_host(&format!("{zone}-{n}"), &zone, &region).await?;
            }
        }
        site.ready().await?;
        Ok(site)
    }

    /// The shape.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// The upstreams.
    pub fn upstreams(&self) -> &[Running] {
        &self.upstreams
    }

    /// The store as operators reach it.
    pub fn store(&self) -> SocketAddr {
        self.operators_door.addr()
    }

    /// Where hosts that were not stopped answer look-ups.
    pub fn lookups(&self) -> Vec<SocketAddr> {
        self.hosts.lock().values().map(|node| node.settings().lookup).collect()
    }

    /// Connections of callers in `region`.
    pub fn callers_dial(&self, region: &RegionId) -> Arc<dyn Dial> {
        self.fabric.dial_from(Place::client(region))
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
        let applied = self.operators().set_evacuated(zone, on).await?;
        ensure!(applied == ChangeOutcome::Applied, "somebody else changed the same thing");
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
        let upstreams = self.upstreams.into_iter().map(|up| up.service.crash());
        futures::future::join_all(upstreams).await;
        self.hosts_door.close().await;
        self.operators_door.close().await;
        self.fabric.close().await;
    }

    fn operators(&self) -> OperatorStore {
        OperatorStore::new(Arc::new(TcpDial), self.operators_door.addr())
    }

    async fn configure(&self) -> Result<()> {
        let operators = self.operators();
        let found = operators.read().await?;
        let applied = operators.apply(&found, &self.shape.config(), &[]).await?;
        ensure!(applied == ChangeOutcome::Applied, "there is a configuration already");
        Ok(())
    }

    async fn start_upstream(&mut self, shape: UpstreamShape) -> Result<()> {
        let service = Service::start(&shape.id, SLOTS).await?;
        let cold = shape.work.duration();
        let warm = cold.mul_f64(WARM_SHARE);
        service.set_work_by_object(Work { cold, warm, keeps: CACHED });
        let region = &self.shape.zones[&shape.zone];
        self.fabric.register(service.addr(), Place::zone(region, &shape.zone));
        let row = service.registration(&shape.service, shape.zone.as_str(), "ready", 0.0);
        self.store.put("servers", &shape.id, &row);
        self.upstreams.push(Running { shape, service });
        Ok(())
    }

    async fn start_host(&self, name: &str, zone: &ZoneId, region: &RegionId) -> Result<()> {
        let place = Place::zone(region, zone);
        let dial = self.fabric.dial_from(place.clone());
        let any = "127.0.0.1:0";
        let settings = serde_json::json!({
            "host": name, "region": region, "zone": zone, "zones": self.shape.zones,
            "caller": any, "lookup": any, "health": any, "peer": any, "metrics": null,
            "operator": any, "store": self.hosts_door.addr(), "stop_s": STOP_S,
            "lookup_ttl_s": 1.0, "shift_cap": 0.15,
            "retry": {"ratio": 0.2, "slack": 100.0, "window_s": 10.0},
        });
        let settings = Settings::parse(&settings.to_string())?;
        let id = settings.host.clone();
        let ports = Ports {
            dial: Arc::clone(&dial),
            clock: Arc::new(BootClock),
            protocol: Arc::new(HttpDialect),
            store: Arc::new(HttpStore::new(dial, self.hosts_door.addr())),
        };
        let node = Node::start(settings, ports).await?;
        let settings = node.settings();
        for addr in [settings.caller, settings.lookup, settings.peer] {
            self.fabric.register(addr, place.clone());
        }
        self.hosts.lock().insert(id, node);
        Ok(())
    }

    async fn ready(&self) -> Result<()> {
        let until = Instant::now() + READY_MOST;
        let addrs: Vec<SocketAddr> =
            self.hosts.lock().values().map(|node| node.settings().health).collect();
        for addr in addrs {
            while !caller::is_ready(addr).await {
                ensure!(Instant::now() < until, "not every host serves within {READY_MOST:?}");
                tokio::time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }
}
