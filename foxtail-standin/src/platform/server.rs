//! The platform over HTTP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use foxtail_platform::proto::{Committed, Conflict, Read, Scan};
use foxtail_platform::table::{Outcome, Txn};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::memory::{Platform, Refusal};

/// The largest request body taken.
const BODY_MAX_BYTES: usize = 16 << 20;

/// A platform listening on loopback.
pub struct Server {
    addr: SocketAddr,
    platform: Arc<Platform>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

type Answer = Response<Full<Bytes>>;

/// A reply that is never sent: the connection breaks.
#[derive(Debug, thiserror::Error)]
#[error("the reply is lost")]
struct ReplyLost;

impl Server {
    /// Serves `platform` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Whatever binding reports.
    pub async fn start(platform: Arc<Platform>) -> io::Result<Self> {
        Self::start_at(platform, SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Serves `platform` at `addr`.
    ///
    /// # Errors
    ///
    /// Whatever binding reports.
    pub async fn start_at(platform: Arc<Platform>, addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let accept = accept(listener, Arc::clone(&platform), stop.clone(), tasks.clone());
        tasks.spawn(accept);
        Ok(Self { addr, platform, stop, tasks })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The platform, for faults and counts.
    pub fn platform(&self) -> &Arc<Platform> {
        &self.platform
    }

    /// Breaks all connections, stops listening and joins all tasks. The platform stays as it is.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

async fn accept(
    listener: TcpListener,
    platform: Arc<Platform>,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else { continue };
        let (platform, stop) = (Arc::clone(&platform), stop.clone());
        tasks.spawn(async move {
            stop.run_until_cancelled(serve(stream, platform)).await;
        });
    }
}

async fn serve(stream: TcpStream, platform: Arc<Platform>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let platform = Arc::clone(&platform);
        async move { answer(&platform, req).await }
    });
    let conn = hyper::server::conn::http1::Builder::new();
    if let Err(e) = conn.serve_connection(TokioIo::new(stream), service).await {
        tracing::debug!(event = "platform_connection_broken", error = %e);
    }
}

async fn answer(platform: &Arc<Platform>, req: Request<Incoming>) -> Result<Answer, ReplyLost> {
    let (head, body) = req.into_parts();
    let body = http_body_util::Limited::new(body, BODY_MAX_BYTES).collect().await;
    let Ok(body) = body.map(|body| body.to_bytes()) else {
        return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
    };
    let path = head.uri.path();
    let done = match (&head.method, path.strip_prefix("/objects/")) {
        (&Method::PUT, Some(name)) => {
            platform.put(name, body.to_vec()).await.map(|()| status(StatusCode::OK))
        }
        (&Method::GET, Some(name)) => platform.get(name).await.map(object),
        (&Method::GET, None) if path == "/hosts" => platform.list().await.map(|list| json(&list)),
        (&Method::POST, None) => table(platform, path, &body).await,
        _ => Ok(status(StatusCode::NOT_FOUND)),
    };
    match done {
        Ok(answer) => Ok(answer),
        Err(Refusal::Down) => Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
        Err(Refusal::Throttled) => Ok(status(StatusCode::TOO_MANY_REQUESTS)),
        Err(Refusal::ReplyLost) => Err(ReplyLost),
    }
}

async fn table(platform: &Arc<Platform>, path: &str, body: &[u8]) -> Result<Answer, Refusal> {
    match path {
        "/table/commit" => match parse::<Txn>(body) {
            Some(txn) => platform.commit(txn).await.map(committed),
            None => Ok(status(StatusCode::BAD_REQUEST)),
        },
        "/table/read" => match parse::<Read>(body) {
            Some(read) => platform.read(&read.keys).await.map(|rows| json(&rows)),
            None => Ok(status(StatusCode::BAD_REQUEST)),
        },
        "/table/scan" => match parse::<Scan>(body) {
            Some(scan) => {
                let rows = platform.scan(&scan.prefix, &scan.after, scan.limit).await;
                rows.map(|rows| json(&rows))
            }
            None => Ok(status(StatusCode::BAD_REQUEST)),
        },
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

fn committed(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Committed(versions) => json(&Committed { versions }),
        Outcome::Conflict { at, found } => {
            let mut answer = json(&Conflict { at, found });
            *answer.status_mut() = StatusCode::CONFLICT;
            answer
        }
        Outcome::Failed(_) | Outcome::Ambiguous(_) => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn object(value: Option<Vec<u8>>) -> Answer {
    match value {
        Some(value) => Response::new(Full::new(value.into())),
        None => status(StatusCode::NOT_FOUND),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn json(message: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(message).expect("messages are plain data");
    Response::new(Full::new(body.into()))
}

fn status(code: StatusCode) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = code;
    answer
}
