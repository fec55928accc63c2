use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use foxtail_time::Millis;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use jsonrpsee::server::{
    BatchRequestConfig, HttpBody, Server, ServerConfig, StopHandle, stop_channel,
};
use jsonrpsee::{Methods, core::BoxError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::Service as _;

use super::api::OperatorServer;
use super::auth::Credentials;
use super::handler::Service;

/// How long the accept loop rests after the operating system refused a connection.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Bounds for operators, so that a slow or hostile one holds up no one.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The most connections at a time; more wait.
    pub connections: u32,
    /// The largest call, in bytes.
    pub request_bytes: u32,
    /// The largest answer, in bytes.
    pub response_bytes: u32,
    /// The longest time for the headers of a call to arrive.
    pub header: Millis,
    /// The longest time for a call, its body included.
    pub call: Millis,
    /// The longest time for a connection; a call under way ends first.
    pub connection: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connections: 64,
            request_bytes: 2 << 20,
            response_bytes: 16 << 20,
            header: Millis::secs(5),
            call: Millis::secs(30),
            connection: Millis::secs(120),
        }
    }
}

struct Shared {
    credentials: Credentials,
    methods: Methods,
    options: Options,
    stop: StopHandle,
}

/// Serves operators on `listener` until `stop`; calls under way end first.
pub async fn serve(
    listener: TcpListener,
    service: Service,
    credentials: Credentials,
    options: Options,
    stop: CancellationToken,
) {
    let (stop_handle, server_handle) = stop_channel();
    let methods = service.into_rpc().into();
    let shared = Arc::new(Shared { credentials, methods, options, stop: stop_handle });
    let room = Arc::new(Semaphore::new(options.connections as usize));
    let tasks = TaskTracker::new();
    loop {
        let accept = async {
            let permit = Arc::clone(&room).acquire_owned().await;
            (permit, listener.accept().await)
        };
        let Some((permit, accepted)) = stop.run_until_cancelled(accept).await else { break };
        match accepted {
            Ok((stream, _)) => {
                let task = connection(stream, Arc::clone(&shared), stop.clone());
                tasks.spawn(async move {
                    task.await;
                    drop(permit);
                });
            }
            Err(e) => {
                tracing::warn!(event = "operator_accept_failed", error = %e);
                tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
    let _ = server_handle.stop();
    tasks.close();
    tasks.wait().await;
}

async fn connection(stream: TcpStream, shared: Arc<Shared>, stop: CancellationToken) {
    let from = stream.peer_addr().ok();
    let options = shared.options;
    let service = service_fn(move |req| call(Arc::clone(&shared), req, from));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.header.duration())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let ended = tokio::select! {
        result = serving.as_mut() => Some(result),
        () = stop.cancelled() => None,
        () = tokio::time::sleep(options.connection.duration()) => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            serving.as_mut().graceful_shutdown();
            let last = tokio::time::timeout(options.call.duration(), serving);
            last.await.unwrap_or(Ok(()))
        }
    };
    if let Err(e) = result {
        tracing::debug!(event = "operator_connection_lost", error = %e);
    }
}

async fn call(
    shared: Arc<Shared>,
    mut req: Request<Incoming>,
    from: Option<SocketAddr>,
) -> Result<Response<HttpBody>, Infallible> {
    let Some(operator) = shared.credentials.operator(req.headers()) else {
        tracing::warn!(event = "operator_unauthorized", from = ?from);
        return Ok(plain(StatusCode::UNAUTHORIZED, "a valid credential is needed"));
    };
    req.extensions_mut().insert(operator);
    let rpc = Server::builder().set_config(config(&shared.options)).to_service_builder();
    let mut rpc = rpc.build(shared.methods.clone(), shared.stop.clone());
    let answered = tokio::time::timeout(shared.options.call.duration(), rpc.call(req)).await;
    Ok(match answered {
        Ok(answer) => answer.unwrap_or_else(|e: BoxError| {
            tracing::warn!(event = "operator_call_failed", error = %e);
            plain(StatusCode::INTERNAL_SERVER_ERROR, "the call failed")
        }),
        Err(_) => plain(StatusCode::REQUEST_TIMEOUT, "the call took too long"),
    })
}

fn config(options: &Options) -> ServerConfig {
    ServerConfig::builder()
        .http_only()
        .max_request_body_size(options.request_bytes)
        .max_response_body_size(options.response_bytes)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .build()
}

fn plain(status: StatusCode, text: &'static str) -> Response<HttpBody> {
    let mut answer = Response::new(HttpBody::from(text));
    *answer.status_mut() = status;
    answer
}
