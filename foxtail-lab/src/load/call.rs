//! One request of a caller, with the check of its answer.

use std::net::SocketAddr;

use bytes::Bytes;
use foxtail_net::http::{Body, Client, body_of};
use foxtail_standin::upstream::answer;
use foxtail_types::prelude::*;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Request};
use tokio::time::timeout;

use super::Ending;

/// How much longer than its deadline a caller waits before it counts the request as lost.
const PATIENCE: Millis = Millis::secs(20);

/// The method of a request.
#[id]
pub enum Method {
    /// May be repeated.
    Get,
    /// Runs at most once, with a key.
    Post,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's own name for it.
    pub name: String,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: String,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// The size of the answer.
    pub answer_bytes: usize,
    /// How long the caller waits.
    pub deadline: Millis,
    /// The idempotency key of a `POST`.
    pub key: Option<Key>,
}

impl Call {
    /// Sends it once to the entry host at `addr` in `region` and checks the answer.
    pub async fn send(&self, client: &Client, addr: SocketAddr, region: &RegionId) -> Ending {
        let Ok(req) = self.request(addr, region) else {
            return Ending::Broken("malformed".to_owned());
        };
        let patience = self.deadline + PATIENCE;
        match timeout(patience.duration(), self.answered(client, req)).await {
            Ok(ending) => ending,
            Err(_) => Ending::Broken("no answer long after the deadline".to_owned()),
        }
    }

    fn request(&self, addr: SocketAddr, region: &RegionId) -> hyper::http::Result<Request<Body>> {
        let method = match self.method {
            Method::Get => "GET",
            Method::Post => "POST",
        };
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{}", self.path))
            .header("x-foxtail-workspace", self.workspace.as_str())
            .header("x-foxtail-service", &self.service)
            .header("x-foxtail-deadline-ms", self.deadline.0)
            .header("x-lab-call", &self.name)
            .header("x-lab-entry", region.as_str());
        if let Some(key) = &self.key {
            req = req.header("x-foxtail-key", key.to_string());
        }
        req.body(body_of(self.body.clone()))
    }

    async fn answered(&self, client: &Client, req: Request<Body>) -> Ending {
        let res = match client.request(req).await {
            Ok(res) => res,
            Err(e) if e.is_connect() => return Ending::Unreachable,
            Err(e) => return Ending::Broken(e.to_string()),
        };
        let (head, body) = res.into_parts();
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) => return Ending::Broken(e.to_string()),
        };
        let reason = header(&head.headers, "x-foxtail-reason").to_owned();
        match header(&head.headers, "x-foxtail-outcome") {
            "answered" if self.is_mine(&head.headers, &body) => Ending::Answered,
            "answered" if head.status.is_server_error() => Ending::Failed(head.status.as_u16()),
            "answered" => Ending::Wrong(format!("status {}, {} bytes", head.status, body.len())),
            "not-run" => Ending::NotRun(reason),
            "unknown" => Ending::Unknown(reason),
            "refused" => Ending::Refused(reason),
            other => Ending::Wrong(format!("outcome `{other}`, status {}", head.status)),
        }
    }

    /// Whether the answer belongs to this very request and is whole.
    fn is_mine(&self, headers: &HeaderMap, body: &Bytes) -> bool {
        let method = if self.method == Method::Get { "GET" } else { "POST" };
        let digest = answer::digest(method, &self.path, &self.body);
        header(headers, answer::DIGEST_HEADER) == answer::hex(digest)
            && body.len() == self.answer_bytes
            && *body == answer::body(digest, self.answer_bytes)
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
