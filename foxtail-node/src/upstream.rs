//! The upstream side: one attempt of one request at one upstream.

use bytes::Bytes;
use foxtail_limit::{Load, Verdict};
use foxtail_net::http::{Client, body_of};
use foxtail_types::prelude::*;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::http::request;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};

use crate::serve::{Run, Target};

const DEADLINE: HeaderName = HeaderName::from_static("x-foxtail-deadline-ms");
const REQUEST: HeaderName = HeaderName::from_static("x-foxtail-request");
const REFUSED: HeaderName = HeaderName::from_static("x-upstream-refused");
const BUSY: HeaderName = HeaderName::from_static("x-upstream-busy");
const QUEUED: HeaderName = HeaderName::from_static("x-upstream-queued");
const LEAVING: HeaderName = HeaderName::from_static("x-upstream-leaving");
/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request as it is sent: everything of it is in memory, so that it can be sent again.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How an attempt ended.
pub(crate) enum Attempt {
    /// The head of an answer; its body is still to come.
    Answer(Box<(Response<Incoming>, Run)>),
    /// It provably did not run.
    NotSent(Verdict),
    /// It may have run.
    Lost(Verdict),
}

/// Sends `outgoing` to `target` once and waits for the head of the answer.
pub(crate) async fn send(
    client: &Client,
    target: &Target,
    outgoing: &Outgoing,
    meta: &Meta,
    mut run: Run,
) -> Attempt {
    let left = run.left();
    if left == Millis::ZERO {
        return not_sent(run, Verdict::Cancelled).await;
    }
    let req = match build(target, outgoing, meta, left) {
        Ok(req) => req,
        Err(e) => {
            tracing::warn!(event = "request_not_built", request = %meta.id, error = %e);
            return not_sent(run, Verdict::Cancelled).await;
        }
    };
    run.set_sent(true);
    match tokio::time::timeout(left.duration(), client.request(req)).await {
        Err(_) => {
            run.end_soon(Verdict::TimedOut);
            Attempt::Lost(Verdict::TimedOut)
        }
        Ok(Err(e)) if e.is_connect() => not_sent(run, Verdict::Unreachable).await,
        Ok(Err(e)) if never_written(&e) => {
            run.set_sent(false);
            not_sent(run, Verdict::Cancelled).await
        }
        Ok(Err(_)) => lost(run, Verdict::Broken).await,
        Ok(Ok(answer)) => {
            run.heard(load(answer.headers()), answer.status().is_server_error());
            match refused(&answer) {
                Some(verdict) => not_sent(run, verdict).await,
                None => Attempt::Answer(Box::new((answer, run))),
            }
        }
    }
}

/// Removes the headers that belong to one connection, those named by `Connection` included.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<_> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse::<HeaderName>().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

async fn not_sent(run: Run, verdict: Verdict) -> Attempt {
    run.end(verdict).await;
    Attempt::NotSent(verdict)
}

async fn lost(run: Run, verdict: Verdict) -> Attempt {
    run.end(verdict).await;
    Attempt::Lost(verdict)
}

/// Whether the connection was closed before a byte of the request was written.
fn never_written(e: &hyper_util::client::legacy::Error) -> bool {
    let source = std::error::Error::source(e).and_then(|e| e.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_canceled)
}

fn build(
    target: &Target,
    outgoing: &Outgoing,
    meta: &Meta,
    left: Millis,
) -> Result<Request<foxtail_net::http::Body>, hyper::http::Error> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(target.addr.to_string())
        .path_and_query(outgoing.path.as_str())
        .build()?;
    let mut req = request::Builder::new()
        .method(outgoing.method.clone())
        .uri(uri)
        .body(body_of(outgoing.body.clone()))?;
    let headers = req.headers_mut();
    *headers = outgoing.headers.clone();
    headers.remove(HOST);
    headers.insert(DEADLINE, HeaderValue::from(left.0));
    headers.insert(REQUEST, HeaderValue::try_from(meta.id.to_string())?);
    Ok(req)
}

fn refused(answer: &Response<Incoming>) -> Option<Verdict> {
    if answer.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    match answer.headers().get(REFUSED)?.to_str().ok()? {
        "leaving" => Some(Verdict::Leaving),
        _ => Some(Verdict::Shed),
    }
}

fn load(headers: &HeaderMap) -> Option<Load> {
    let number = |name: &HeaderName| headers.get(name)?.to_str().ok()?.parse::<u32>().ok();
    Some(Load {
        busy: number(&BUSY)?,
        queued: number(&QUEUED).unwrap_or_default(),
        leaving: number(&LEAVING).unwrap_or_default() != 0,
    })
}
