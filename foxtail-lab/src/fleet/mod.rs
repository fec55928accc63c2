//! A whole installation in one process over loopback: platform, upstreams, network and hosts.

mod upstreams;

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, Result, ensure};
use foxtail_config::DrainTarget;
use foxtail_config::stage::Reach;
use foxtail_node::settings::{Callers, Credential};
use foxtail_node::{Node, Ports, Settings, stop};
use foxtail_platform::{HostEntry, HostState};
use foxtail_standin::net::{Fabric, Options as NetOptions, Place};
use foxtail_standin::platform::{Options as PlatformOptions, Platform, Server as PlatformServer};
use foxtail_standin::upstream::{Audit, Options as UpstreamOptions};
use foxtail_time::BootClock;
use foxtail_types::prelude::*;
use parking_lot::Mutex;

use crate::operator::Operator;
use crate::shape::{HostShape, Shape, ZONE_ROUND_TRIP};
pub use upstreams::Upstreams;

/// The credential that the hosts accept from operators.
pub const OPERATOR_TOKEN: &str = "lab-operator-token";
/// The longest a fleet may take until every host takes traffic.
const READY_TIMEOUT: Millis = Millis::secs(30);
/// The first start of a host.
const FIRST: u64 = 1;
const READY_POLL: Millis = Millis(50);

/// A whole installation.
pub struct Fleet {
    shape: Shape,
    fabric: Arc<Fabric>,
    platform: PlatformServer,
    upstreams: Upstreams,
    operator: Operator,
    hosts: Mutex<Vec<Host>>,
}

struct Host {
    shape: HostShape,
    entry: HostEntry,
    node: Option<Node>,
}

impl Fleet {
    /// Starts everything and waits until every host takes traffic.
    ///
    /// # Errors
    ///
    /// Whatever part does not start.
    pub async fn start(shape: Shape, seed: u64) -> Result<Self> {
        Self::start_with(shape, seed, &|_| {}).await
    }

    /// Like [`start`](Self::start), with upstreams that `tune` changes.
    ///
    /// # Errors
    ///
    /// Whatever part does not start.
    pub async fn start_with(
        shape: Shape,
        seed: u64,
        tune: &(dyn Fn(&mut UpstreamOptions) + Sync),
    ) -> Result<Self> {
        let options = NetOptions {
            zone_round_trip: ZONE_ROUND_TRIP,
            client_round_trip: shape.client_round_trip,
        };
        let fabric = Fabric::new(&shape.network, options);
        let platform = PlatformServer::start(Platform::new(&PlatformOptions::default())).await?;
        let store = Place::zone(shape.region(0), shape.zone(0, 0));
        fabric.register(platform.addr(), store);
        let upstreams = Upstreams::start(&shape, &fabric, seed, tune).await?;
        let operator = Operator::new(Arc::clone(platform.platform()));
        operator.configure(&shape, &upstreams.addrs()).await?;
        let fleet = Self { shape, fabric, platform, upstreams, operator, hosts: Mutex::default() };
        for host in fleet.shape.hosts() {
            fleet.start_host(host, FIRST).await?;
        }
        fleet.publish_hosts();
        fleet.ready().await?;
        Ok(fleet)
    }

    /// The shape.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// The network.
    pub fn fabric(&self) -> &Arc<Fabric> {
        &self.fabric
    }

    /// The platform.
    pub fn platform(&self) -> &Arc<Platform> {
        self.platform.platform()
    }

    /// The upstreams.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// The most requests a second that one region may send to others.
    pub fn shift_per_s(&self) -> usize {
        self.shape.workspace(&self.upstreams.addrs()).shift_per_s as usize
    }

    /// What ran on the upstreams.
    pub fn audit(&self) -> &Arc<Audit> {
        self.upstreams.audit()
    }

    /// Where callers reach the hosts that were not stopped.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.lock();
        hosts.iter().filter(|host| host.node.is_some()).map(|host| host.entry.caller).collect()
    }

    /// Where the platform listens.
    pub fn platform_addr(&self) -> SocketAddr {
        self.platform.addr()
    }

    /// Where operators reach the hosts that were not stopped.
    pub fn operators(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.lock();
        hosts.iter().filter(|host| host.node.is_some()).map(|host| host.entry.operator).collect()
    }

    /// The version that each running host holds, and how far it has got.
    pub fn config(&self) -> Vec<(Version, Reach)> {
        self.hosts.lock().iter().filter_map(|host| Some(host.node.as_ref()?.config())).collect()
    }

    /// The bytes of control traffic so far: between hosts, and with the platform.
    pub fn control_bytes(&self) -> (u64, u64) {
        let hosts = self.hosts.lock();
        let peers = hosts.iter().map(|host| self.fabric.bytes_to(host.entry.peer)).sum();
        (peers, self.fabric.bytes_to(self.platform.addr()))
    }

    /// Starts a drain; returns when it was accepted, by the boot clock.
    ///
    /// # Errors
    ///
    /// If the drain is refused.
    pub async fn drain(&self, target: &DrainTarget) -> Result<Millis> {
        self.operator.drain_start(target).await?;
        Ok(BootClock.now())
    }

    /// Ends a drain.
    ///
    /// # Errors
    ///
    /// If the store can't be written.
    pub async fn end_drain(&self, target: &DrainTarget) -> Result<()> {
        self.operator.drain_stop(target).await
    }

    /// Stops the host named `id` gracefully.
    ///
    /// # Errors
    ///
    /// If there is no such host.
    pub async fn stop_host(&self, id: &HostId) -> Result<stop::Report> {
        let node = self.take(id).with_context(|| format!("no host {id} runs"))?;
        let report = node.stop(stop::Options::default()).await;
        self.publish_hosts();
        Ok(report)
    }

    /// Stops the host named `id` gracefully and starts it anew, as when its machine is replaced;
    /// returns when the new one takes traffic.
    ///
    /// # Errors
    ///
    /// If there is no such host, or the new one does not start.
    pub async fn replace_host(&self, id: &HostId) -> Result<stop::Report> {
        let report = self.stop_host(id).await?;
        let stopped = {
            let mut hosts = self.hosts.lock();
            let at = hosts.iter().position(|host| host.shape.id == *id);
            at.map(|at| hosts.swap_remove(at)).with_context(|| format!("no host {id}"))?
        };
        self.start_host(stopped.shape, stopped.entry.incarnation + 1).await?;
        self.publish_hosts();
        self.ready().await?;
        Ok(report)
    }

    /// Stops everything.
    pub async fn stop(self) {
        let nodes: Vec<Node> =
            self.hosts.lock().iter_mut().filter_map(|host| host.node.take()).collect();
        let options = stop::Options { settle: Millis::ZERO, ..stop::Options::default() };
        futures::future::join_all(nodes.into_iter().map(|node| node.stop(options))).await;
        self.upstreams.stop().await;
        self.platform.stop().await;
        self.fabric.close().await;
    }

    async fn start_host(&self, shape: HostShape, incarnation: u64) -> Result<()> {
        let place = Place::zone(&shape.region, &shape.zone);
        let dial = self.fabric.dial_from(place.clone());
        let ports = Ports { dial, clock: Arc::new(BootClock) };
        let node = Node::start(self.settings(&shape, incarnation), ports).await?;
        let addrs = node.addrs();
        for addr in [addrs.caller, addrs.peer, addrs.operator] {
            self.fabric.register(addr, place.clone());
        }
        let entry = HostEntry {
            id: shape.id.clone(),
            incarnation,
            region: shape.region.clone(),
            zone: shape.zone.clone(),
            caller: addrs.caller,
            peer: addrs.peer,
            operator: addrs.operator,
            state: HostState::Live,
        };
        self.hosts.lock().push(Host { shape, entry, node: Some(node) });
        Ok(())
    }

    fn settings(&self, shape: &HostShape, incarnation: u64) -> Settings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            host: shape.id.clone(),
            incarnation: Some(incarnation),
            region: shape.region.clone(),
            zone: shape.zone.clone(),
            caller: any,
            peer: any,
            operator: any,
            platform: vec![self.platform.addr()],
            store_region: Some(self.shape.region(0).clone()),
            seeds: Vec::new(),
            operators: vec![Credential {
                name: "lab".to_owned(),
                token: OPERATOR_TOKEN.to_owned(),
            }],
            callers: Callers::default(),
            in_flight_max: 512,
        }
    }

    /// Tells the platform's list which hosts there are.
    fn publish_hosts(&self) {
        let hosts = self.hosts.lock();
        let running = hosts.iter().filter(|host| host.node.is_some());
        self.platform.platform().set_hosts(running.map(|host| host.entry.clone()).collect());
    }

    async fn ready(&self) -> Result<()> {
        let ready = async {
            while !self.is_ready() {
                tokio::time::sleep(READY_POLL.duration()).await;
            }
        };
        let done = tokio::time::timeout(READY_TIMEOUT.duration(), ready).await;
        ensure!(done.is_ok(), "not every host took traffic within {READY_TIMEOUT}");
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let ready = |node: &Node| node.is_ready() && node.config().1 > Reach::Seen;
        self.hosts.lock().iter().all(|host| host.node.as_ref().is_none_or(ready))
    }

    fn take(&self, id: &HostId) -> Option<Node> {
        let mut hosts = self.hosts.lock();
        hosts.iter_mut().find(|host| host.shape.id == *id)?.node.take()
    }
}
