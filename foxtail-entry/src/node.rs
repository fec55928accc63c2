//! Starts all tasks of a host and stops them gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use foxtail_net::Dial;
use foxtail_steer::Stop;
use foxtail_steer::fleet::Phase;
use foxtail_types::prelude::*;
use jsonrpsee::server::ServerHandle;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::task::TaskTracker;

use crate::context::HostContext;
use crate::ports::{Area, Protocol, Store};
use crate::serve::{LAST_REQUEST_TIME, ListenerKind, accept_http, listen};
use crate::settings::Settings;
use crate::{follow, gossip, operator, probe, share};

/// The share of the stop timeout, in percent, after which idle HTTP connections are closed. Until
/// then callers learn from look-ups and `Connection: close` that the host is leaving.
const CLOSE_IDLE_PERCENT: u64 = 40;

/// The share of the stop timeout, in percent, after which the remaining requests are cut off.
const CUT_OFF_PERCENT: u64 = 92;

/// How long the answers to requests that are cut off may take to be sent.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(50);

/// How long removing the host's registration may delay the stop.
const UNREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long closing connections to upstreams and other hosts may delay the stop.
const CLOSE_POOL_TIMEOUT: Duration = Duration::from_millis(100);

/// The adapters that a host runs with.
pub struct Ports {
    /// Connects to upstreams.
    pub dial: Arc<dyn Dial>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The HTTP conventions towards callers and upstreams.
    pub protocol: Arc<dyn Protocol>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
}

/// A running entry host.
pub struct Host {
    cx: Arc<HostContext>,
    socket: Arc<UdpSocket>,
    tasks: TaskTracker,
    /// Connections of callers' requests.
    caller_conns: TaskTracker,
    /// Connections of look-ups, health checks and metrics.
    other_conns: TaskTracker,
    operator_server: Option<ServerHandle>,
}

impl Host {
    /// Starts a host.
    ///
    /// # Errors
    ///
    /// Returns an error if the host can't listen at one of its addresses or its address blocks are
    /// invalid.
    pub async fn start(mut settings: Settings, ports: Ports) -> anyhow::Result<Self> {
        let (peer_listener, _) = bind(&mut settings.peer, ListenerKind::Hosts)?;
        let socket = UdpSocket::bind(settings.peer)
            .await
            .with_context(|| format!("can't listen for hosts at {}", settings.peer))?;
        let mut listeners = vec![
            bind(&mut settings.caller, ListenerKind::Requests)?,
            bind(&mut settings.lookup, ListenerKind::Lookups)?,
            bind(&mut settings.health, ListenerKind::Health)?,
        ];
        if let Some(addr) = &mut settings.metrics {
            listeners.push(bind(addr, ListenerKind::Metrics)?);
        }
        let operator_server = match &mut settings.operator {
            Some(addr) => Some(bind(addr, ListenerKind::Operators)?.0),
            None => None,
        };
        tracing::info!(event = "start", host = %settings.host, zone = %settings.zone,
            region = %settings.region, caller = %settings.caller);
        let blocks = settings.block_map().context("blocks")?;
        let cx = Arc::new(HostContext::new(settings, blocks, ports));
        let (caller_conns, other_conns) = (TaskTracker::new(), TaskTracker::new());
        let operator_server =
            operator_server.map(|listener| operator::serve(&cx, listener)).transpose()?;
        let (socket, tasks) = (Arc::new(socket), TaskTracker::new());
        let host = Self { cx, socket, tasks, caller_conns, other_conns, operator_server };
        for (listener, kind) in listeners {
            let (conns, stop) = match kind {
                ListenerKind::Requests => (&host.caller_conns, &host.cx.lifecycle.closing),
                _ => (&host.other_conns, &host.cx.lifecycle.ended),
            };
            let cx = Arc::clone(&host.cx);
            host.tasks.spawn(accept_http(cx, listener, kind, conns.clone(), stop.clone()));
        }
        host.tasks.spawn(share::serve(Arc::clone(&host.cx), peer_listener));
        host.spawn_background_tasks();
        Ok(host)
    }

    /// Returns the settings of the last [`Host::reload`], or else those of the start with the
    /// actual TCP and UDP ports in place of port 0.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.cx.settings.lock())
    }

    fn spawn_background_tasks(&self) {
        let Self { cx, socket, tasks, .. } = self;
        tasks.spawn(follow::follow(Arc::clone(cx), Area::Operators));
        tasks.spawn(follow::follow(Arc::clone(cx), Area::Upstreams));
        tasks.spawn(gossip::receive(Arc::clone(cx), Arc::clone(socket)));
        tasks.spawn(gossip::join(Arc::clone(cx), Arc::clone(socket)));
        tasks.spawn(gossip::send_digests(Arc::clone(cx), Arc::clone(socket)));
        tasks.spawn(probe::watch_upstreams(Arc::clone(cx)));
    }

    /// Applies changed settings to the running host. The host's registration, its listening
    /// addresses and the store's address remain those of the start. If the address blocks are
    /// invalid, the previous blocks stay in force.
    pub fn reload(&self, settings: Settings) {
        let current = Arc::clone(&self.cx.settings.lock());
        if *current == settings {
            return;
        }
        tracing::info!(event = "reload", host = %settings.host);
        match settings.block_map() {
            Ok(blocks) => self.cx.directory.set_blocks(blocks),
            Err(e) => tracing::warn!(event = "blocks_rejected", error = %e),
        }
        self.cx.steering.lock().set_options(settings.steering_options());
        self.cx.memory.set_grant(settings.memory_bytes());
        *self.cx.settings.lock() = Arc::new(settings);
    }

    /// Stops the host gracefully: callers move to other hosts, and requests in flight are finished.
    /// Requests that are still running shortly before the end of the stop timeout are cut off.
    pub async fn stop(self) {
        let Self { cx, socket, tasks, caller_conns, other_conns, operator_server } = self;
        let stop_timeout = cx.settings.lock().stop_timeout();
        let stop_started = cx.now();
        let requests = cx.requests.load(Ordering::Relaxed);
        tracing::info!(event = "stop", grace_ms = stop_timeout.0, requests);
        let cut_off_at = stop_started + Millis(stop_timeout.0 * CUT_OFF_PERCENT / 100);
        cx.lifecycle.stop.get_or_init(|| Stop { cut_off_at });
        cx.lifecycle.leaving.store(true, Ordering::Relaxed);
        gossip::enter_phase(&cx, &socket, Phase::Leaving).await;
        let host = cx.fleet.lock().own_record().id.clone();
        match tokio::time::timeout(UNREGISTER_TIMEOUT, cx.store.unregister(&host)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => tracing::warn!(event = "not_unregistered", error = %e),
            Err(_) => tracing::warn!(
                event = "not_unregistered",
                error = "no response from the store in time"
            ),
        }
        let close_idle_at = stop_started + Millis(stop_timeout.0 * CLOSE_IDLE_PERCENT / 100);
        tokio::time::sleep(close_idle_at.since(cx.now()).duration()).await;
        cx.lifecycle.closing.cancel();
        // Connections that waited to be accepted are still being added.
        tokio::time::sleep(LAST_REQUEST_TIME.min(cut_off_at.since(cx.now())).duration()).await;
        caller_conns.close();
        let left = cut_off_at.since(cx.now()).duration();
        let finished = tokio::time::timeout(left, caller_conns.wait()).await.is_ok();
        let cut_off = if finished { 0 } else { caller_conns.len() };
        cx.lifecycle.cut_off.cancel();
        if tokio::time::timeout(LAST_ANSWER_TIME, caller_conns.wait()).await.is_err() {
            tracing::info!(event = "callers_do_not_read", connections = caller_conns.len());
        }
        cx.lifecycle.ended.cancel();
        tasks.close();
        tasks.wait().await;
        cx.tasks.close();
        cx.tasks.wait().await;
        other_conns.close();
        if let Some(operator_server) = operator_server {
            operator::stop(operator_server).await;
        }
        // Connections without a request end at once when their senders are dropped.
        let closing = async { tokio::join!(cx.pool.close(), cx.relay_pool.close()) };
        if tokio::time::timeout(CLOSE_POOL_TIMEOUT, closing).await.is_err() {
            tracing::info!(event = "outgoing_connections_left");
        }
        cx.metrics.control_traffic.log();
        cx.metrics.shutdown();
        tracing::info!(event = "stopped", cut_off, took_ms = cx.now().since(stop_started).0);
    }
}

/// Listens at `addr`, and replaces port 0 in it by the actual port.
fn bind(addr: &mut SocketAddr, kind: ListenerKind) -> anyhow::Result<(TcpListener, ListenerKind)> {
    let listener = listen(*addr, kind)?;
    *addr = listener.local_addr().context("can't read the listener's address")?;
    Ok((listener, kind))
}

impl HostContext {
    /// Records and logs that the host is ready, unless it is leaving.
    pub(crate) fn mark_ready(&self) {
        if !self.lifecycle.is_leaving() {
            self.fleet.lock().set_phase(Phase::Serving);
            let version = self.steering.lock().config().map(|cfg| cfg.version);
            tracing::info!(event = "ready", version = version.unwrap_or_default().0);
        }
    }
}
