//! Accepts connections and serves HTTP on them.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use anyhow::Context;
use foxtail_net::http::Body;
use foxtail_types::prelude::*;
use futures::FutureExt;
use hyper::body::Incoming;
use hyper::http::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use crate::caller_stream::CallerStream;
use crate::context::HostContext;
use crate::memory::CONNECTION_BYTES;
use crate::read_ahead::{Head, Pipeline};
use crate::{lookup, request};

/// The length of the listen queue: connections that arrive at the same moment.
const LISTEN_BACKLOG: u32 = 1_024;

/// The pause after a failed accept, whose most likely cause is a lack of file descriptors.
const ACCEPT_RETRY_PAUSE: Millis = Millis(50);

/// The minimum size that the HTTP library accepts for the buffer of a request's head, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// How long a stop leaves connections open that have no request in progress, after it has accepted
/// the last ones: their callers may have sent a request that is not read yet.
pub(crate) const LAST_REQUEST_TIME: Millis = Millis(300);

/// Why a connection is closed before a request was answered.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The caller closed it.
    #[error("the caller has left")]
    CallerLeft,
    /// The task of a request that was handled ahead of its turn ended without a response.
    #[error("no response: {0}")]
    NoResponse(#[from] tokio::task::JoinError),
}

/// The kind of requests that a listener accepts.
#[id]
pub(crate) enum ListenerKind {
    /// Callers' requests.
    Requests,
    /// Look-ups.
    Lookups,
    /// The platform's health checks.
    Health,
    /// Metrics in text format.
    Metrics,
    /// Other hosts' pulls of store facts.
    Hosts,
    /// Operators' status requests.
    Operators,
}

/// Opens a listener at `addr`.
pub(crate) fn listen(addr: SocketAddr, kind: ListenerKind) -> anyhow::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4().context("can't create a socket")?;
    socket.set_reuseaddr(true).context("can't set SO_REUSEADDR")?;
    let listen_error = || format!("can't listen for {kind:?} at {addr}");
    socket.bind(addr).with_context(listen_error)?;
    socket.listen(LISTEN_BACKLOG).with_context(listen_error)
}

/// Accepts connections until `stop` is cancelled and those that wait then, and calls `on_conn` with
/// each connection and its remote address.
pub(crate) async fn accept(
    listener: TcpListener,
    kind: ListenerKind,
    stop: CancellationToken,
    on_conn: impl Fn(TcpStream, IpAddr),
) {
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok((stream, from)) => on_conn(stream, from.ip()),
            Err(e) => {
                tracing::warn!(event = "accept_failed", serves = ?kind, error = %e);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE.duration()).await;
            }
        }
    }
    while let Some(Ok((stream, from))) = listener.accept().now_or_never() {
        on_conn(stream, from.ip());
    }
}

/// Accepts connections until `stop` is cancelled, and spawns a task in `conns` that serves HTTP on
/// each.
pub(crate) async fn accept_http(
    cx: Arc<HostContext>,
    listener: TcpListener,
    kind: ListenerKind,
    conns: TaskTracker,
    stop: CancellationToken,
) {
    let on_conn = |stream, from| {
        conns.spawn(serve_connection(Arc::clone(&cx), stream, from, kind, conns.clone()));
    };
    accept(listener, kind, stop, on_conn).await;
}

async fn serve_connection(
    cx: Arc<HostContext>,
    stream: TcpStream,
    from: IpAddr,
    kind: ListenerKind,
    tasks: TaskTracker,
) {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(event = "no_delay_refused", error = %e);
    }
    let limits = cx.steering.lock().config().map(|cfg| cfg.limits).unwrap_or_default();
    let closing = cx.lifecycle.closing.clone();
    let _charge = cx.memory.charge(CONNECTION_BYTES);
    let stream = CallerStream::new(stream);
    let start_ahead = |head: &Head| {
        if kind != ListenerKind::Requests || !request::may_run_ahead(&cx, head) {
            return None;
        }
        let (head, ()) = head.clone().into_parts();
        let handling = request::handle(Arc::clone(&cx), head, None, from);
        Some(AbortOnDropHandle::new(tasks.spawn(handling)))
    };
    let service = service_fn(|req: Request<Incoming>| {
        let (cx, stream) = (&cx, stream.clone());
        async move {
            tokio::select! {
                // Requests that waited behind another one may have lost their caller meanwhile.
                biased;
                () = stream.read_ahead(start_ahead) => Err(Error::CallerLeft),
                response = respond(cx, req, from, kind, stream.pipeline()) => response,
            }
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library's timeout for reading a head also covers the idle time before it.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout).duration())
        .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream.clone()), service);
    tokio::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        () = last_request_time_over(&closing, stream.pipeline()) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = result {
        tracing::debug!(event = "caller_connection_ended", error = %e);
    }
}

/// Waits until connections without a request in progress are closed.
async fn last_request_time_over(closing: &CancellationToken, pipeline: &Pipeline) {
    closing.cancelled().await;
    tokio::time::sleep(LAST_REQUEST_TIME.duration()).await;
    pipeline.drained().await;
}

async fn respond(
    cx: &Arc<HostContext>,
    req: Request<Incoming>,
    from: IpAddr,
    kind: ListenerKind,
    pipeline: &Pipeline,
) -> Result<Response<Body>, Error> {
    Ok(match kind {
        ListenerKind::Requests => {
            let (head, body) = req.into_parts();
            let mut response = match pipeline.take(&head) {
                Some(started) => started.await?,
                None => request::handle(Arc::clone(cx), head, Some(body), from).await,
            };
            // What was started behind this request is answered on the same connection.
            if cx.lifecycle.is_leaving() && !pipeline.has_started() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response
        }
        ListenerKind::Lookups => lookup::lookup(cx, &req, from),
        ListenerKind::Health => lookup::health(cx, &req),
        ListenerKind::Metrics => lookup::metrics(cx, &req),
        ListenerKind::Hosts | ListenerKind::Operators => {
            unreachable!("hosts and operators have servers of their own")
        }
    })
}
