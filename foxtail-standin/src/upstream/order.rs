//! A request as the server understands it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request};
use tokio::time::Instant;

use super::answer;

const DEFAULT_ANSWER_BYTES: usize = 1_000;

/// A request as the server understands it.
pub(crate) struct Order {
    /// The digest of method, path and body.
    pub(crate) digest: [u8; 32],
    /// The size of the answer.
    pub(crate) bytes: usize,
    /// The service time that the request asks for, in milliseconds.
    pub(crate) work_ms: Option<f64>,
    /// Whether the answer breaks off half-way.
    pub(crate) truncate: bool,
    /// Whether the server crashes on it.
    pub(crate) poison: bool,
    /// When the caller stops waiting.
    pub(crate) deadline: Option<Instant>,
    /// The caller's own name for the request.
    pub(crate) call: String,
    /// The region of the entry host.
    pub(crate) entry: String,
    /// The idempotency key.
    pub(crate) key: Option<String>,
}

impl Order {
    /// Reads the whole request.
    pub(crate) async fn read(req: Request<Incoming>) -> Result<Self, hyper::Error> {
        let arrived = Instant::now();
        let (head, body) = req.into_parts();
        let body: Bytes = body.collect().await?.to_bytes();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let query = head.uri.query().unwrap_or("");
        let deadline_ms = text(&head.headers, "x-foxtail-deadline-ms").and_then(|s| s.parse().ok());
        Ok(Self {
            digest: answer::digest(head.method.as_str(), path, &body),
            bytes: param(query, "bytes")
                .and_then(|s| s.parse().ok())
                .unwrap_or(DEFAULT_ANSWER_BYTES),
            work_ms: param(query, "work").and_then(|s| s.parse().ok()),
            truncate: param(query, "truncate").is_some(),
            poison: param(query, "poison").is_some(),
            deadline: deadline_ms.map(|ms| arrived + Duration::from_millis(ms)),
            call: text(&head.headers, "x-lab-call").unwrap_or_default().to_owned(),
            entry: text(&head.headers, "x-lab-entry").unwrap_or_default().to_owned(),
            key: text(&head.headers, "x-foxtail-key").map(str::to_owned),
        })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| match pair.split_once('=') {
        Some((key, value)) => (key == name).then_some(value),
        None => (pair == name).then_some(""),
    })
}
