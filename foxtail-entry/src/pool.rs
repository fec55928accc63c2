//! A pool of idle connections to upstreams.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use foxtail_net::Dial;
use foxtail_steer::Upstream;
use foxtail_types::prelude::*;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio_util::task::TaskTracker;

/// How long an idle connection is reused if the upstream announces no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(4_000);

/// The share of the idle timeout announced by the upstream for which a connection is reused, in
/// percent.
const USABLE_IDLE_PERCENT: u64 = 70;

/// The maximum idle time of a connection reused for a request that is not idempotent: an upstream
/// may be closing a connection that was idle for longer, and it would be unknown whether the
/// request ran.
const MAX_IDLE_NON_IDEMPOTENT: Millis = Millis(2_000);

/// The maximum size of a response head, in bytes. A larger one ends the connection, also one that
/// never ends.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The maximum number of idle connections per upstream.
const MAX_IDLE_CONNS_PER_UPSTREAM: usize = 16;

/// An HTTP connection to an upstream.
pub(crate) struct Conn {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// The idle timeout that the upstream announced.
    pub(crate) idle_timeout: Option<Millis>,
    idle_since: Millis,
}

/// Idle connections, by upstream.
pub(crate) struct Pool {
    dial: Arc<dyn Dial>,
    idle: Mutex<HashMap<UpstreamId, Vec<Conn>>>,
    tasks: TaskTracker,
}

impl Conn {
    fn is_usable(&self, idempotent: bool, now: Millis) -> bool {
        let idle = now.since(self.idle_since);
        let announced =
            self.idle_timeout.map(|timeout| Millis(timeout.0 * USABLE_IDLE_PERCENT / 100));
        let max_idle = announced.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let max_idle = if idempotent { max_idle } else { max_idle.min(MAX_IDLE_NON_IDEMPOTENT) };
        self.sender.is_ready() && idle < max_idle
    }
}

impl Pool {
    pub(crate) fn new(dial: Arc<dyn Dial>) -> Self {
        Self { dial, idle: Mutex::default(), tasks: TaskTracker::new() }
    }

    /// Removes and returns the most recently used idle connection to `up` that the request may
    /// reuse.
    pub(crate) fn take(&self, up: &UpstreamId, idempotent: bool, now: Millis) -> Option<Conn> {
        let mut idle = self.idle.lock();
        let conns = idle.get_mut(up)?;
        // The connections that have been idle longest are at the front.
        let stale = conns.iter().position(|conn| conn.is_usable(true, now)).unwrap_or(conns.len());
        conns.drain(..stale);
        let index = conns.iter().rposition(|conn| conn.is_usable(idempotent, now))?;
        Some(conns.remove(index))
    }

    /// Returns `conn` to the pool, unless it is closed.
    pub(crate) fn put(&self, up: &UpstreamId, mut conn: Conn, now: Millis) {
        if conn.sender.is_closed() {
            return;
        }
        conn.idle_since = now;
        let mut idle = self.idle.lock();
        if !idle.contains_key(up) {
            idle.insert(up.clone(), Vec::new());
        }
        let conns = idle.get_mut(up).expect("inserted above");
        conns.push(conn);
        if conns.len() > MAX_IDLE_CONNS_PER_UPSTREAM {
            conns.remove(0);
        }
    }

    /// Drops the idle connections of upstreams for which `keep` returns `false`.
    pub(crate) fn retain(&self, keep: impl Fn(&UpstreamId) -> bool) {
        self.idle.lock().retain(|id, _| keep(id));
    }

    /// Opens a new connection to `up`.
    pub(crate) async fn connect(&self, up: &Upstream, now: Millis) -> io::Result<Conn> {
        let stream = self.dial.dial(up.addr).await?;
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        self.tasks.spawn(async move {
            if let Err(e) = conn.await {
                tracing::trace!(event = "upstream_connection_ended", error = %e);
            }
        });
        Ok(Conn { sender, idle_timeout: None, idle_since: now })
    }

    /// Closes all idle connections and waits until the others end.
    pub(crate) async fn close(&self) {
        self.idle.lock().clear();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
