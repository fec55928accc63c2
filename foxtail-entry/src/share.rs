//! Serves store facts to other hosts.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use foxtail_types::prelude::*;
use futures::StreamExt;
use parking_lot::Mutex;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::io::InspectWriter;

use crate::context::HostContext;
use crate::control_traffic::MessageKind;
use crate::ports::{Area, Facts};
use crate::progress::{byte_counter, until_stalled};
use crate::serve::{ListenerKind, accept};

/// How long a connection on which nothing is sent stays open for a host that pulls. It is longer
/// than that host waits, and counts from when the last bytes were handed to the operating system.
const SERVE_STALL_TIMEOUT: Millis = Millis(1_000);

/// The most bytes that a host sends on a connection to pull, in bytes: one request, which names an area and a
/// version.
const MAX_PULL_REQUEST_BYTES: u64 = 4 * 1024;

/// Size from which a completed transfer of facts is logged, in bytes. Smaller ones are frequent and
/// cost little.
pub(crate) const LOGGED_TRANSFER_BYTES: u64 = 16 * 1024;

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
    let at_once = cx.pull_conns.fetch_add(1, Ordering::Relaxed) + 1;
    let sent = Arc::new(AtomicU64::new(0));
    let (reader, writer) = stream.into_split();
    let writer = InspectWriter::new(writer, byte_counter(&sent));
    let stream = tokio::io::join(reader.take(MAX_PULL_REQUEST_BYTES), writer);
    let channel = BaseChannel::with_defaults(foxtail_frame::transport(stream));
    let server = Server { cx: Arc::clone(&cx), transfers: Arc::default() };
    let serving = channel.execute(server.serve()).for_each(|response| response);
    let serving = until_stalled(serving, &sent, SERVE_STALL_TIMEOUT);
    let served = ended.run_until_cancelled(serving).await;
    cx.pull_conns.fetch_sub(1, Ordering::Relaxed);
    let (bytes, took) = (sent.load(Ordering::Relaxed), cx.now().since(started));
    cx.metrics.record_pull("served", bytes, took);
    let distance = cx.fleet.lock().distance_to_address(from);
    if let Some(distance) = distance {
        cx.metrics.control_traffic.record(MessageKind::Pull, distance, 1, bytes);
    }
    let stalled = matches!(served, Some(None));
    if stalled || bytes >= LOGGED_TRANSFER_BYTES {
        tracing::info!(event = "pull_served", %from, bytes, took_ms = took.0, at_once, stalled);
    }
}
