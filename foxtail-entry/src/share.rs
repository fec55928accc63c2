//! Pulls store facts from other hosts and serves them to other hosts.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use foxtail_net::Dial;
use foxtail_steer::PullQueue;
use foxtail_steer::pull_queue::{PullOutcome, Step};
use foxtail_steer::transfer_limit::LARGE_TRANSFER_ROWS;
use foxtail_types::prelude::*;
use futures::StreamExt;
use parking_lot::Mutex;
use tarpc::client::{Config, NewClient, RpcError};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::io::{InspectReader, InspectWriter};

use crate::context::HostContext;
use crate::ports::{Area, Fact, Facts};
use crate::serve::{ListenerKind, accept};

/// How long a pull may wait for the next bytes, also for the first ones: several round trips between
/// regions.
const PULL_STALL_TIMEOUT: Millis = Millis(500);

/// How long a connection on which nothing is sent stays open for a host that pulls. It is longer
/// than that host waits, and counts from when the last bytes were handed to the operating system.
const SERVE_STALL_TIMEOUT: Millis = Millis(1_000);

/// The longest duration of a pull that makes progress. A thin link carries the largest frame in less.
const MAX_PULL_DURATION: Millis = Millis::secs(30);

/// How often within its timeout a transfer is checked for progress.
const CHECKS_PER_STALL_TIMEOUT: u32 = 5;

/// Size from which a completed transfer of facts is logged, in bytes. Smaller ones are frequent and
/// cost little.
const LOGGED_TRANSFER_BYTES: u64 = 16 * 1024;

/// The RPC interface between hosts.
#[tarpc::service]
pub(crate) trait Share {
    /// Returns the facts of `area` after `version` that the host knows, or none at version 0 if it
    /// serves too many other pulls.
    async fn facts(area: Area, version: u64) -> Facts;
}

/// Serves the pulls on one connection.
#[derive(Clone)]
struct Server {
    cx: Arc<HostContext>,
    /// The transfers on the connection, which end with it: until then their bytes may still wait at
    /// this host's link.
    transfers: Arc<Mutex<Vec<Transfer>>>,
}

/// A transfer of facts that counts in the host's limit until it is dropped.
struct Transfer {
    cx: Arc<HostContext>,
    rows: usize,
}

impl Transfer {
    /// Starts a transfer of `rows`, or returns `None` if the host serves too many others.
    fn start(cx: &Arc<HostContext>, rows: usize) -> Option<Self> {
        cx.transfers.lock().start(rows).then(|| Self { cx: Arc::clone(cx), rows })
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.cx.transfers.lock().finish(self.rows);
    }
}

/// Why a pull from another host failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("can't connect to the host: {0}")]
    Unreachable(#[from] std::io::Error),
    #[error("the call to the host failed: {0}")]
    NoAnswer(#[from] RpcError),
    #[error("no bytes arrived before the timeout")]
    Stalled,
}

impl Share for Server {
    async fn facts(self, _cx: Context, area: Area, version: u64) -> Facts {
        let now = self.cx.now();
        let mut store_replica = self.cx.store_replica.lock();
        let Some(replica) = store_replica.area(area) else { return Facts::default() };
        let rows = replica.size_since(version);
        let Some(transfer) = Transfer::start(&self.cx, rows) else {
            tracing::debug!(event = "pull_refused", ?area, version, rows);
            self.cx.metrics.record_pull("refused", 0, Millis::ZERO);
            return Facts::default();
        };
        self.transfers.lock().push(transfer);
        replica.changes_since(version, now)
    }
}

/// Serves other hosts' pulls on `listener` until the host ends.
pub(crate) async fn serve(cx: Arc<HostContext>, listener: TcpListener) {
    let on_conn = |stream, from| {
        cx.tasks.spawn(serve_connection(Arc::clone(&cx), stream, from));
    };
    accept(listener, ListenerKind::Hosts, cx.lifecycle.ended.clone(), on_conn).await;
}

async fn serve_connection(cx: Arc<HostContext>, stream: TcpStream, from: IpAddr) {
    let ended = cx.lifecycle.ended.clone();
    let started = cx.now();
    let at_once = cx.pulls_served.fetch_add(1, Ordering::Relaxed) + 1;
    let sent = Arc::new(AtomicU64::new(0));
    let stream = InspectWriter::new(stream, byte_counter(&sent));
    let channel = BaseChannel::with_defaults(foxtail_frame::transport(stream));
    let server = Server { cx: Arc::clone(&cx), transfers: Arc::default() };
    let serving = channel.execute(server.serve()).for_each(|response| response);
    let serving = until_stalled(serving, &sent, SERVE_STALL_TIMEOUT);
    let served = ended.run_until_cancelled(serving).await;
    cx.pulls_served.fetch_sub(1, Ordering::Relaxed);
    let (bytes, took) = (sent.load(Ordering::Relaxed), cx.now().since(started));
    cx.metrics.record_pull("served", bytes, took);
    let stalled = served == Some(None);
    if stalled || bytes >= LOGGED_TRANSFER_BYTES {
        tracing::info!(event = "pull_served", %from, bytes, took_ms = took.0, at_once, stalled);
    }
}

/// Awaits `transfer`, or returns `None` once `bytes` has not risen for `timeout`.
async fn until_stalled<T>(
    transfer: impl Future<Output = T>,
    bytes: &AtomicU64,
    timeout: Millis,
) -> Option<T> {
    tokio::pin!(transfer);
    let mut last = bytes.load(Ordering::Relaxed);
    let mut idle_checks = 0;
    while idle_checks < CHECKS_PER_STALL_TIMEOUT {
        let check_interval = timeout.duration() / CHECKS_PER_STALL_TIMEOUT;
        if let Ok(done) = tokio::time::timeout(check_interval, &mut transfer).await {
            return Some(done);
        }
        let current = bytes.load(Ordering::Relaxed);
        idle_checks = if current == last { idle_checks + 1 } else { 0 };
        last = current;
    }
    None
}

/// Returns a callback that adds the size of each buffer to `count`.
fn byte_counter(count: &Arc<AtomicU64>) -> impl FnMut(&[u8]) + Send + use<> {
    let count = Arc::clone(count);
    move |buf| {
        count.fetch_add(buf.len() as u64, Ordering::Relaxed);
    }
}

/// Pulls the facts of `area` that this host lacks from the hosts that announced them, starting with
/// `step`, until it lacks none or the host ends.
pub(crate) async fn pull(cx: Arc<HostContext>, area: Area, step: Step) {
    let ended = cx.lifecycle.ended.clone();
    ended.run_until_cancelled(pull_steps(&cx, area, step)).await;
}

async fn pull_steps(cx: &Arc<HostContext>, area: Area, mut step: Step) {
    loop {
        step = match step {
            Step::Ask(addr) => {
                let outcome = pull_from(cx, area, addr).await;
                let now = cx.now();
                let finish = |pulls: &mut PullQueue, known| pulls.finish_pull(outcome, known, now);
                cx.store_replica.lock().next_pull(area, finish)
            }
            Step::Wait(pause) => {
                tokio::time::sleep(pause.duration()).await;
                let now = cx.now();
                cx.store_replica.lock().next_pull(area, |pulls, known| pulls.resume(known, now))
            }
            Step::Idle => return,
        }
    }
}

/// Pulls the facts of `area` that this host lacks from the host at `addr`.
async fn pull_from(cx: &Arc<HostContext>, area: Area, addr: SocketAddr) -> PullOutcome {
    let version = cx.read_version(area);
    let started = cx.now();
    let received = Arc::new(AtomicU64::new(0));
    let request = request_facts(Arc::clone(&cx.dial), area, version, addr, &received);
    let response = until_stalled(request, &received, PULL_STALL_TIMEOUT).await;
    let response = response.unwrap_or(Err(Error::Stalled));
    let (bytes, took) = (received.load(Ordering::Relaxed), cx.now().since(started));
    cx.metrics.record_pull(outcome(&response), bytes, took);
    match response {
        Ok(facts) if facts.version > version => {
            if bytes >= LOGGED_TRANSFER_BYTES {
                tracing::info!(event = "pulled", ?area, %addr, version = facts.version, bytes,
                    took_ms = took.0);
            }
            let rows: usize = facts.facts.iter().map(Fact::rows).sum();
            cx.apply_facts(area, facts, false, &addr.to_string());
            if cx.fleet.lock().should_relay(addr) {
                cx.notify_peers.notify_one();
            } else if rows >= LARGE_TRANSFER_ROWS {
                cx.announce_source.notify_one();
            }
        }
        // Only a host that knows a version announces it, so that this one is busy.
        Ok(facts) if facts.version == 0 => return PullOutcome::Busy,
        Ok(_) => {}
        Err(e) => tracing::info!(event = "host_not_asked", ?area, %addr, error = %e, version,
            bytes, took_ms = took.0),
    }
    PullOutcome::Ended
}

/// Returns the outcome of a pull for metrics.
fn outcome(response: &Result<Facts, Error>) -> &'static str {
    match response {
        Ok(facts) if facts.version == 0 => "busy",
        Ok(_) => "done",
        Err(Error::Unreachable(_)) => "unreachable",
        Err(Error::NoAnswer(_)) => "no-answer",
        Err(Error::Stalled) => "stalled",
    }
}

/// Requests facts from the host at `addr`, and adds the size of what arrives to `received`.
async fn request_facts(
    dial: Arc<dyn Dial>,
    area: Area,
    version: u64,
    addr: SocketAddr,
    received: &Arc<AtomicU64>,
) -> Result<Facts, Error> {
    let stream = InspectReader::new(dial.dial(addr).await?, byte_counter(received));
    let NewClient { client, dispatch } =
        ShareClient::new(Config::default(), foxtail_frame::transport(stream));
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + MAX_PULL_DURATION.duration();
    let request = async move { client.facts(context, area, version).await };
    // `dispatch` ends when the client is dropped at the end of the call.
    let (facts, ended) = tokio::join!(request, dispatch);
    if let Err(e) = ended {
        tracing::debug!(event = "host_connection_lost", %addr, error = %e);
    }
    Ok(facts?)
}
