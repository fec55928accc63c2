//! Pools of idle connections to upstreams and to other hosts.

use std::collections::HashMap;
use std::hash::Hash;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use foxtail_net::{Dial, SilenceTimeout};
use foxtail_types::prelude::*;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio_util::task::TaskTracker;

use crate::answer_guard::{AnswerGuard, GuardedStream};
use crate::memory::{CONNECTION_BYTES, MemoryAccount};
use crate::request_body::SentBody;

/// How long an idle connection is reused if the server announces no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(4_000);

/// The share of the idle timeout announced by the server for which a connection is reused, in
/// percent.
const USABLE_IDLE_PERCENT: u64 = 70;

/// The maximum idle time of a connection reused for a request that is not idempotent: the server
/// may be closing a connection that was idle for longer, and it would be unknown whether the
/// request ran.
const MAX_IDLE_NON_IDEMPOTENT: Millis = Millis(2_000);

/// The maximum size of a response head, in bytes. A larger one ends the connection, also one that
/// never ends.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The maximum number of idle connections per server.
const MAX_IDLE_CONNS_PER_SERVER: usize = 16;

/// An HTTP connection to an upstream or another host.
pub(crate) struct Conn {
    pub(crate) sender: SendRequest<SentBody>,
    /// The idle timeout that the server announced.
    pub(crate) idle_timeout: Option<Millis>,
    /// Whether no answer came on the connection yet.
    pub(crate) is_new: bool,
    /// Ends the connection if too much comes before an answer.
    pub(crate) answer_guard: AnswerGuard,
    /// Changes how the connection notices that its server went silent, if it can.
    pub(crate) silence_timeout: Option<SilenceTimeout>,
    idle_since: Millis,
}

/// Idle connections by their server, which `Id` names.
pub(crate) struct Pool<Id> {
    dial: Arc<dyn Dial>,
    memory: Arc<MemoryAccount>,
    idle: Mutex<HashMap<Id, Vec<Conn>>>,
    tasks: TaskTracker,
}

impl Conn {
    /// Sends `req` and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns the request if no byte of it was written.
    pub(crate) async fn send(
        &mut self,
        mut req: Request<SentBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<SentBody>>> {
        self.answer_guard.await_answer(&mut req);
        let response = self.sender.try_send_request(req).await;
        self.answer_guard.record_answer();
        response
    }

    fn is_usable(&self, idempotent: bool, now: Millis) -> bool {
        let idle = now.since(self.idle_since);
        let announced =
            self.idle_timeout.map(|timeout| Millis(timeout.0 * USABLE_IDLE_PERCENT / 100));
        let max_idle = announced.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let max_idle = if idempotent { max_idle } else { max_idle.min(MAX_IDLE_NON_IDEMPOTENT) };
        self.sender.is_ready() && idle < max_idle
    }
}

impl<Id: Clone + Eq + Hash> Pool<Id> {
    pub(crate) fn new(dial: Arc<dyn Dial>, memory: Arc<MemoryAccount>) -> Self {
        Self { dial, memory, idle: Mutex::default(), tasks: TaskTracker::new() }
    }

    /// Removes and returns the most recently used idle connection to `to` that the request may
    /// reuse.
    pub(crate) fn take(&self, to: &Id, idempotent: bool, now: Millis) -> Option<Conn> {
        let mut idle = self.idle.lock();
        let conns = idle.get_mut(to)?;
        // The connections that have been idle longest are at the front.
        let stale = conns.iter().position(|conn| conn.is_usable(true, now)).unwrap_or(conns.len());
        conns.drain(..stale);
        let index = conns.iter().rposition(|conn| conn.is_usable(idempotent, now))?;
        Some(conns.remove(index))
    }

    /// Returns `conn` to the pool, unless it is closed.
    pub(crate) fn put(&self, to: &Id, mut conn: Conn, now: Millis) {
        if conn.sender.is_closed() {
            return;
        }
        conn.idle_since = now;
        let mut idle = self.idle.lock();
        if !idle.contains_key(to) {
            idle.insert(to.clone(), Vec::new());
        }
        let conns = idle.get_mut(to).expect("inserted above");
        conns.push(conn);
        if conns.len() > MAX_IDLE_CONNS_PER_SERVER {
            conns.remove(0);
        }
    }

    /// Drops the idle connections to servers for which `keep` returns `false`.
    pub(crate) fn retain(&self, keep: impl Fn(&Id) -> bool) {
        self.idle.lock().retain(|id, _| keep(id));
    }

    /// Opens a new connection to `addr`.
    pub(crate) async fn connect(&self, addr: SocketAddr, now: Millis) -> io::Result<Conn> {
        let (stream, silence_timeout) = self.dial.dial_adjustable(addr).await?;
        let charge = self.memory.charge(CONNECTION_BYTES);
        let answer_guard = AnswerGuard::default();
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(GuardedStream::new(stream, &answer_guard)))
            .await
            .map_err(io::Error::other)?;
        self.tasks.spawn(async move {
            let _charge = charge;
            if let Err(e) = conn.await {
                tracing::trace!(event = "connection_ended", %addr, error = %e);
            }
        });
        Ok(Conn {
            sender,
            idle_timeout: None,
            is_new: true,
            answer_guard,
            silence_timeout,
            idle_since: now,
        })
    }

    /// Closes all idle connections and waits until the others end.
    pub(crate) async fn close(&self) {
        self.idle.lock().clear();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
