//! A host put together: starts all of its tasks and stops them gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use foxtail_net::Dial;
use foxtail_steer::fleet::Phase;
use foxtail_types::prelude::*;
use jsonrpsee::server::ServerHandle;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::task::TaskTracker;

use crate::cx::Cx;
use crate::ports::{Area, Dialect, Store};
use crate::serve::{Serves, accept_http, listen};
use crate::settings::Settings;
use crate::{follow, gossip, operator, share};

/// The part of the time for a stop, in percent, after which idle connections are closed. Until
/// then callers learn from look-ups and answers that the host leaves.
const CLOSE_IDLE_PERCENT: u64 = 40;

/// The part of the time for a stop, in percent, after which the rest is cut off.
const CUT_OFF_PERCENT: u64 = 92;

/// The longest that taking out the host's registration may delay its end.
const UNREGISTER_MOST: Duration = Duration::from_millis(300);

/// The longest that closing connections to upstreams may delay the host's end.
const CLOSE_POOL_MOST: Duration = Duration::from_millis(100);

/// What a host needs from outside.
pub struct Ports {
    /// Connects to upstreams.
    pub dial: Arc<dyn Dial>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// How callers and upstreams are spoken to.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
}

/// A running host.
pub struct Node {
    cx: Arc<Cx>,
    socket: Arc<UdpSocket>,
    tasks: TaskTracker,
    /// Callers' connections.
    conns: TaskTracker,
    /// Connections of look-ups, health checks and metrics.
    others: TaskTracker,
    operators: Option<ServerHandle>,
}

impl Node {
    /// Starts a host.
    ///
    /// # Errors
    ///
    /// If it can't listen at one of its addresses.
    pub async fn start(mut settings: Settings, ports: Ports) -> anyhow::Result<Self> {
        let (peers, _) = bind(&mut settings.peer, Serves::Hosts)?;
        let socket = UdpSocket::bind(settings.peer)
            .await
            .with_context(|| format!("can't listen for hosts at {}", settings.peer))?;
        let mut listeners = vec![
            bind(&mut settings.caller, Serves::Requests)?,
            bind(&mut settings.lookup, Serves::Lookups)?,
            bind(&mut settings.health, Serves::Health)?,
        ];
        if let Some(addr) = &mut settings.metrics {
            listeners.push(bind(addr, Serves::Metrics)?);
        }
        let operators = match &mut settings.operator {
            Some(addr) => Some(bind(addr, Serves::Operators)?.0),
            None => None,
        };
        tracing::info!(event = "start", host = %settings.host, zone = %settings.zone,
            region = %settings.region, caller = %settings.caller);
        let blocks = settings.block_map().context("blocks")?;
        let cx = Arc::new(Cx::new(settings, blocks, ports));
        let (conns, others) = (TaskTracker::new(), TaskTracker::new());
        let operators = operators.map(|listener| operator::serve(&cx, listener)).transpose()?;
        let (socket, tasks) = (Arc::new(socket), TaskTracker::new());
        let node = Self { cx, socket, tasks, conns, others, operators };
        for (listener, serves) in listeners {
            let (conns, stop) = match serves {
                Serves::Requests => (&node.conns, &node.cx.life.closing),
                _ => (&node.others, &node.cx.life.ended),
            };
            let cx = Arc::clone(&node.cx);
            node.tasks.spawn(accept_http(cx, listener, serves, conns.clone(), stop.clone()));
        }
        node.tasks.spawn(share::serve(Arc::clone(&node.cx), peers));
        node.spawn_followers();
        Ok(node)
    }

    /// The settings in force, with the ports that were taken where they named none.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.cx.settings.lock())
    }

    fn spawn_followers(&self) {
        let Self { cx, socket, tasks, .. } = self;
        tasks.spawn(follow::follow(Arc::clone(cx), Area::Operators));
        tasks.spawn(follow::follow(Arc::clone(cx), Area::Upstreams));
        tasks.spawn(gossip::receive(Arc::clone(cx), Arc::clone(socket)));
        tasks.spawn(gossip::join(Arc::clone(cx), Arc::clone(socket)));
        tasks.spawn(gossip::send_digests(Arc::clone(cx), Arc::clone(socket)));
    }

    /// Takes in settings that changed while the host runs. Addresses and names stay as they were at
    /// the start.
    pub fn reload(&self, settings: Settings) {
        let held = Arc::clone(&self.cx.settings.lock());
        if *held == settings {
            return;
        }
        tracing::info!(event = "reload", host = %settings.host);
        match settings.block_map() {
            Ok(blocks) => self.cx.directory.set_blocks(blocks),
            Err(e) => tracing::warn!(event = "blocks_rejected", error = %e),
        }
        self.cx.steering.lock().set_options(settings.steering());
        *self.cx.settings.lock() = Arc::new(settings);
    }

    /// Stops the host: callers are sent to other hosts, requests under way are finished.
    pub async fn stop(self) {
        let Self { cx, socket, tasks, conns, others, operators } = self;
        let grace = cx.settings.lock().stop();
        let since = cx.now();
        let requests = cx.requests.load(Ordering::Relaxed);
        tracing::info!(event = "stop", grace_ms = grace.0, requests);
        cx.life.leaving.store(true, Ordering::Relaxed);
        gossip::enter(&cx, &socket, Phase::Leaving).await;
        let host = cx.fleet.lock().own_record().id.clone();
        match tokio::time::timeout(UNREGISTER_MOST, cx.store.unregister(&host)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => tracing::warn!(event = "not_unregistered", error = %e),
            Err(_) => tracing::warn!(event = "not_unregistered", error = "no answer in time"),
        }
        let idle_at = since + Millis(grace.0 * CLOSE_IDLE_PERCENT / 100);
        tokio::time::sleep(idle_at.since(cx.now()).duration()).await;
        cx.life.closing.cancel();
        conns.close();
        let cut_at = since + Millis(grace.0 * CUT_OFF_PERCENT / 100);
        let left = cut_at.since(cx.now()).duration();
        let finished = tokio::time::timeout(left, conns.wait()).await.is_ok();
        let cut_off = if finished { 0 } else { conns.len() };
        cx.life.ended.cancel();
        tasks.close();
        tasks.wait().await;
        cx.tasks.close();
        cx.tasks.wait().await;
        others.close();
        if let Some(operators) = operators {
            operator::stop(operators).await;
        }
        // Connections without a request end at once when their last user is gone.
        if tokio::time::timeout(CLOSE_POOL_MOST, cx.pool.close()).await.is_err() {
            tracing::info!(event = "upstream_connections_left");
        }
        cx.metrics.shutdown();
        tracing::info!(event = "stopped", cut_off, took_ms = cx.now().since(since).0);
    }
}

/// Listens at `addr`, and writes into it the port that was taken if it names none.
fn bind(addr: &mut SocketAddr, serves: Serves) -> anyhow::Result<(TcpListener, Serves)> {
    let listener = listen(*addr, serves)?;
    *addr = listener.local_addr().context("no address")?;
    Ok((listener, serves))
}

impl Cx {
    /// Notes that the host can serve now.
    pub(crate) fn ready(&self) {
        if !self.life.leaving() {
            self.fleet.lock().set_phase(Phase::Serving);
            let version = self.steering.lock().config().map(|cfg| cfg.version);
            tracing::info!(event = "ready", version = version.unwrap_or_default().0);
        }
    }
}
