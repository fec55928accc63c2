//! Listeners and their connections.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use anyhow::Context;
use foxtail_net::http::Body;
use foxtail_types::prelude::*;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::cx::Cx;
use crate::{lookup, request};

/// The listen queue: callers that connect at one moment.
const BACKLOG: u32 = 1_024;

/// After a failed accept, most likely for want of descriptors, the listener rests this long.
const ACCEPT_REST: Millis = Millis(50);

/// The smallest buffer that the HTTP library takes for a request's head, in bytes.
const HEAD_BYTES_LEAST: usize = 8 * 1024;

/// What a listener serves.
#[id]
pub(crate) enum Serves {
    /// Callers' requests.
    Requests,
    /// Look-ups.
    Lookups,
    /// The platform's health checks.
    Health,
    /// The page of metrics.
    Metrics,
    /// Other hosts' questions.
    Hosts,
    /// Operators' questions.
    Operators,
}

/// Opens a listener at `addr`.
pub(crate) fn listen(addr: SocketAddr, serves: Serves) -> anyhow::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4().context("no socket")?;
    socket.set_reuseaddr(true).context("no address reuse")?;
    let refused = || format!("can't listen for {serves:?} at {addr}");
    socket.bind(addr).with_context(refused)?;
    socket.listen(BACKLOG).with_context(refused)
}

/// Accepts connections until `stop`, and hands each to `take` with the address that it comes from.
pub(crate) async fn accept(
    listener: TcpListener,
    serves: Serves,
    stop: CancellationToken,
    take: impl Fn(TcpStream, IpAddr),
) {
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok((stream, from)) => take(stream, from.ip()),
            Err(e) => {
                tracing::warn!(event = "accept_failed", ?serves, error = %e);
                tokio::time::sleep(ACCEPT_REST.duration()).await;
            }
        }
    }
}

/// Accepts connections until `stop`, and spawns the answers on each into `conns`.
pub(crate) async fn accept_http(
    cx: Arc<Cx>,
    listener: TcpListener,
    serves: Serves,
    conns: TaskTracker,
    stop: CancellationToken,
) {
    let take = |stream, from| {
        conns.spawn(connection(Arc::clone(&cx), stream, from, serves));
    };
    accept(listener, serves, stop, take).await;
}

async fn connection(cx: Arc<Cx>, stream: TcpStream, from: IpAddr, serves: Serves) {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(event = "no_delay_refused", error = %e);
    }
    let limits = cx.steering.lock().config().map(|cfg| cfg.limits).unwrap_or_default();
    let closing = cx.life.closing.clone();
    let service = service_fn(|req: Request<Incoming>| {
        let cx = Arc::clone(&cx);
        async move { Ok::<Response<Body>, Infallible>(answer(cx, req, from, serves).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library's timeout for a head also runs while a connection is idle.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout).duration())
        .max_buf_size(limits.head_bytes.max(HEAD_BYTES_LEAST))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = closing.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = ended {
        tracing::debug!(event = "caller_connection_ended", error = %e);
    }
}

async fn answer(
    cx: Arc<Cx>,
    req: Request<Incoming>,
    from: IpAddr,
    serves: Serves,
) -> Response<Body> {
    match serves {
        Serves::Requests => request::handle(cx, req, from).await,
        Serves::Lookups => lookup::lookup(&cx, &req, from),
        Serves::Health => lookup::health(&cx, &req),
        Serves::Metrics => lookup::metrics(&cx, &req),
        Serves::Hosts | Serves::Operators => unreachable!("they have servers of their own"),
    }
}
