//! The server for callers.

use std::convert::Infallible;
use std::sync::Arc;

use foxtail_types::prelude::*;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::answer;
use super::connections::{Connection, Connections};
use crate::state::State;

/// How long the accept loop rests after the operating system refused a connection.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Serves callers on `listener` until `stop`; then ends idle connections at once and the others
/// after their answer, and returns when all are closed.
pub(crate) async fn serve_callers(
    state: Arc<State>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let connections = Arc::new(Connections::default());
    let tasks = TaskTracker::new();
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok((stream, from)) => match connections.enter(from.ip(), &state.settings.callers) {
                Some(counted) => {
                    let task = connection(Arc::clone(&state), stream, counted, stop.clone());
                    tasks.spawn(task);
                }
                None => tracing::warn!(event = "caller_connection_refused", %from),
            },
            Err(e) => {
                tracing::warn!(event = "caller_accept_failed", error = %e);
                tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

async fn connection(
    state: Arc<State>,
    stream: TcpStream,
    counted: Connection,
    stop: CancellationToken,
) {
    let bounds = &state.settings.callers;
    let (header_bytes, header_time) = (bounds.header_bytes as usize, Millis(bounds.header_ms));
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(event = "caller_connection_lost", error = %e);
        return;
    }
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(Millis(bounds.stall_ms).duration()));
    let from = counted.from();
    let service = service_fn(move |req| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(answer(state, from, req).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_time.duration())
        .max_buf_size(header_bytes)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    let mut serving = std::pin::pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        () = stop.cancelled() => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(e) = ended {
        tracing::debug!(event = "caller_connection_lost", error = %e);
    }
    drop(counted);
}
