//! A host from its start to its stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use foxtail_config::stage::Reach;
use foxtail_member::Identity;
use foxtail_net::Dial;
use foxtail_net::http;
use foxtail_place::BlockMap;
use foxtail_platform::guard::{self, Guard};
use foxtail_platform::http::{Call, HttpHosts, HttpObjects, HttpTable};
use foxtail_platform::{HostList, Objects, Table};
use foxtail_retry::crash::Detector;
use foxtail_retry::{Budgets, Watch, budget};
use foxtail_sync::Spread;
use foxtail_types::prelude::*;
use foxtail_wire::Peers;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::caller::serve_callers;
use crate::decisions::{Decision, Decisions};
use crate::fleet::{Fleet, WatchPeers};
use crate::in_use::InUse;
use crate::keys::Keys;
use crate::metrics::Metrics;
use crate::peer::PeerHandler;
use crate::settings::Settings;
use crate::state::State;
use crate::{blocks, limits, members, operator, ready, stop};

/// The ports to the outside.
#[derive(Clone)]
pub struct Ports {
    /// Makes every outgoing connection.
    pub dial: Arc<dyn Dial>,
    /// The time.
    pub clock: Arc<dyn Clock>,
}

/// Where a host listens.
#[derive(Clone, Copy, Debug)]
pub struct Addrs {
    /// For callers.
    pub caller: SocketAddr,
    /// For other hosts.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// Why a host did not start.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {addr} for {purpose}: {source}")]
pub struct Error {
    addr: SocketAddr,
    purpose: &'static str,
    source: std::io::Error,
}

/// A running host.
pub struct Node {
    state: Arc<State>,
    addrs: Addrs,
    callers: JoinSet<()>,
    control: JoinSet<()>,
    owning: JoinSet<()>,
    stop_callers: CancellationToken,
    stop_control: CancellationToken,
    stop_owning: CancellationToken,
}

impl Node {
    /// Starts a host. It takes traffic as soon as it has a configuration and is warm.
    ///
    /// # Errors
    ///
    /// [`Error`] if one of its addresses can't be listened on.
    pub async fn start(mut settings: Settings, ports: Ports) -> Result<Self, Error> {
        let callers = listen(settings.caller, "callers").await?;
        let hosts = listen(settings.peer, "other hosts").await?;
        let operators = listen(settings.operator, "operators").await?;
        let addrs = Addrs { caller: callers.1, peer: hosts.1, operator: operators.1 };
        (settings.caller, settings.peer, settings.operator) =
            (addrs.caller, addrs.peer, addrs.operator);
        let platform = Platform::new(&settings, &ports);
        let state = Arc::new(state(settings, &ports, &platform));
        let mut node = Self {
            state,
            addrs,
            callers: JoinSet::new(),
            control: JoinSet::new(),
            owning: JoinSet::new(),
            stop_callers: CancellationToken::new(),
            stop_control: CancellationToken::new(),
            stop_owning: CancellationToken::new(),
        };
        node.spawn(callers.0, hosts.0, operators.0, &platform);
        tracing::info!(
            event = "host_started",
            host = %node.state.settings.host,
            caller = %addrs.caller,
            peer = %addrs.peer,
            operator = %addrs.operator,
        );
        Ok(node)
    }

    /// Where it listens.
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// Whether it takes traffic.
    pub fn is_ready(&self) -> bool {
        self.state.warm.load(Ordering::SeqCst)
    }

    /// The configuration it holds, and how far that has got.
    pub fn config(&self) -> (Version, Reach) {
        self.state.spread.reach()
    }

    /// The fleet as it sees it.
    pub fn view(&self) -> Arc<foxtail_member::View> {
        self.state.fleet.view.load_full()
    }

    /// The last decisions that `wanted` picks, the newest first.
    pub fn decisions(&self, limit: usize, wanted: impl Fn(&Decision) -> bool) -> Vec<Decision> {
        self.state.decisions.last(limit, wanted)
    }

    /// Stops gracefully: leaves the look-ups, serves what still comes, ends what is in flight.
    pub async fn stop(mut self, options: stop::Options) -> stop::Report {
        let started = self.state.clock.now();
        tracing::info!(event = "host_leaving", host = %self.state.settings.host);
        self.state.owners.retire();
        self.state.leaving.store(true, Ordering::SeqCst);
        members::announce(&self.state).await;
        tokio::time::sleep(options.settle.duration()).await;
        self.stop_callers.cancel();
        let cut_off = self.finish(options.finish).await;
        self.stop_owning.cancel();
        self.state.keys.stop().await;
        let took = self.state.clock.now().since(started);
        self.state.metrics.drained("host", took);
        self.stop_owning.cancel();
        while self.owning.join_next().await.is_some() {}
        self.stop_control.cancel();
        while self.control.join_next().await.is_some() {}
        self.state.fleet.sending.close();
        self.state.fleet.sending.wait().await;
        self.state.fleet.peers.close().await;
        self.state.metrics.shutdown();
        tracing::info!(event = "host_stopped", host = %self.state.settings.host, %took, cut_off);
        stop::Report { took, cut_off }
    }

    /// Waits for callers' connections and requests to end; cuts off what takes too long.
    async fn finish(&mut self, time: Millis) -> u32 {
        self.state.work.close();
        let ended = async {
            while self.callers.join_next().await.is_some() {}
            self.state.work.wait().await;
        };
        if tokio::time::timeout(time.duration(), ended).await.is_ok() {
            return 0;
        }
        let cut_off = self.state.in_flight.load(Ordering::SeqCst);
        self.callers.shutdown().await;
        cut_off
    }

    fn spawn(
        &mut self,
        callers: TcpListener,
        hosts: TcpListener,
        operators: TcpListener,
        platform: &Platform,
    ) {
        let state = &self.state;
        let stop = &self.stop_control;
        let handler = Arc::new(PeerHandler { state: Arc::clone(state) });
        self.control.spawn(foxtail_wire::peer::serve(hosts, handler, stop.clone()));
        self.control.spawn(members::pull(Arc::clone(state), stop.clone()));
        let (spread, stopped) = (Arc::clone(&state.spread), stop.clone());
        self.control.spawn(async move { spread.run(stopped).await });
        let (owners, fleet) = (Arc::clone(&state.owners), Arc::clone(&state.fleet));
        self.control.spawn(limits::follow(
            Arc::clone(&owners),
            fleet,
            state.spread.subscribe(),
            stop.clone(),
        ));
        let (table, hand_over) = (Arc::clone(&platform.table), self.stop_owning.clone());
        self.owning.spawn(foxtail_limit::driver::run(owners, table, hand_over));
        let (keys, stopped) = (Arc::clone(state), stop.clone());
        self.control.spawn(async move { keys.keys.run(&keys.fleet, stopped).await });
        let list = Arc::clone(&platform.hosts);
        self.control.spawn(members::list(Arc::clone(state), list, stop.clone()));
        self.control.spawn(limits::show(Arc::clone(state), stop.clone()));
        self.control.spawn(ready::make_ready(Arc::clone(state), stop.clone()));
        self.control.spawn(blocks::follow(Arc::clone(state), stop.clone()));
        self.control.spawn(ready::warm_ahead(Arc::clone(state), stop.clone()));
        let serving = serve_callers(Arc::clone(state), callers, self.stop_callers.clone());
        self.callers.spawn(serving);
        let table = Arc::clone(&platform.table);
        let serving = operator::serve(Arc::clone(state), table, operators, stop.clone());
        self.control.spawn(serving);
    }
}

/// The platform's adapters.
struct Platform {
    guard: Arc<Guard>,
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    hosts: Arc<dyn HostList>,
}

impl Platform {
    fn new(settings: &Settings, ports: &Ports) -> Self {
        let call = Call::new(Arc::clone(&ports.dial), settings.platform.clone());
        let table = Arc::new(HttpTable::new(Arc::clone(&call)));
        let guard = Guard::new(table, Arc::clone(&ports.clock), guard::Options::default());
        Self {
            table: Arc::clone(&guard) as Arc<dyn Table>,
            guard,
            objects: Arc::new(HttpObjects::new(Arc::clone(&call))),
            hosts: Arc::new(HttpHosts::new(call)),
        }
    }
}

fn state(settings: Settings, ports: &Ports, platform: &Platform) -> State {
    let own = identity(&settings, ports.clock.wall());
    let fleet = Fleet::new(own, Peers::new(Arc::clone(&ports.dial)), ports.clock.now());
    let spread = Spread::new(foxtail_sync::spread::Ports {
        table: Arc::clone(&platform.table),
        peers: Arc::clone(&fleet) as Arc<dyn foxtail_sync::Peers>,
        roster: Arc::clone(&fleet) as Arc<dyn foxtail_sync::Roster>,
        clock: Arc::clone(&ports.clock),
    });
    let owners = limits::limiter(&settings, &fleet, &ports.clock);
    let keys = Keys::start(
        &fleet,
        &platform.guard,
        &platform.objects,
        &ports.clock,
        settings.store_region.clone(),
    );
    let watch = Watch::new(
        settings.host.clone(),
        Arc::clone(&ports.clock),
        Arc::clone(&platform.table),
        Arc::new(WatchPeers(Arc::clone(&fleet))),
    );
    let body_bytes = Arc::new(Semaphore::new(settings.callers.body_bytes_total as usize));
    State {
        clock: Arc::clone(&ports.clock),
        config: spread.subscribe(),
        fleet,
        spread,
        directory: ArcSwapOption::empty(),
        blocks: ArcSwap::from_pointee(BlockMap::empty()),
        limiter: Arc::clone(&owners) as Arc<dyn foxtail_limit::Limiter>,
        owners,
        gate: Arc::clone(&keys.claims) as Arc<dyn foxtail_once::Gate>,
        keys,
        watch,
        crashes: Detector::default(),
        budgets: Budgets::new(budget::Options::default()),
        dial: Arc::clone(&ports.dial),
        upstreams: http::client(Arc::clone(&ports.dial), &http::Options::default()),
        decisions: Decisions::default(),
        metrics: Metrics::new(),
        work: TaskTracker::new(),
        body_bytes,
        in_flight: AtomicU32::new(0),
        in_use: InUse::default(),
        leaving: AtomicBool::new(false),
        warm: AtomicBool::new(false),
        settings,
    }
}

fn identity(settings: &Settings, wall: Millis) -> Identity {
    Identity {
        id: settings.host.clone(),
        incarnation: settings.incarnation.unwrap_or(wall.0),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        caller: settings.caller,
        peer: settings.peer,
        operator: settings.operator,
    }
}

async fn listen(
    addr: SocketAddr,
    purpose: &'static str,
) -> Result<(TcpListener, SocketAddr), Error> {
    let error = |source| Error { addr, purpose, source };
    let listener = TcpListener::bind(addr).await.map_err(error)?;
    let local = listener.local_addr().map_err(error)?;
    Ok((listener, local))
}
