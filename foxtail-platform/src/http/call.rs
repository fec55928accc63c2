//! One HTTP call to one of the platform's addresses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use foxtail_net::http::{Client, Options, client};
use foxtail_net::{Dial, http};
use foxtail_types::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};

/// The platform's addresses and the connections to them.
pub struct Call {
    client: Client,
    addrs: Vec<SocketAddr>,
    current: AtomicUsize,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be made: the request was not sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection broke after the request may have been sent.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// No answer in time.
    #[error("no answer in time")]
    TimedOut,
}

impl Call {
    /// Calls any of `addrs`, staying with one as long as it answers.
    pub fn new(dial: Arc<dyn Dial>, addrs: Vec<SocketAddr>) -> Arc<Self> {
        assert!(!addrs.is_empty(), "the platform has at least one address");
        let client = client(dial, &Options::default());
        Arc::new(Self { client, addrs, current: AtomicUsize::new(0) })
    }

    /// Sends one request; another address is tried only if the first took no connection.
    ///
    /// # Errors
    ///
    /// [`CallError`], which says whether the request may have been sent.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Millis,
    ) -> Result<(StatusCode, Bytes), CallError> {
        tokio::time::timeout(timeout.duration(), self.send_to_any(method, path, body))
            .await
            .unwrap_or(Err(CallError::TimedOut))
    }

    async fn send_to_any(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut last = CallError::NotSent("no address".to_owned());
        for _ in 0..self.addrs.len() {
            let at = self.current.load(Ordering::Relaxed);
            let addr = self.addrs[at % self.addrs.len()];
            match self.send_to(addr, method.clone(), path, body.clone()).await {
                Ok((StatusCode::SERVICE_UNAVAILABLE, body)) => {
                    self.leave(at);
                    return Ok((StatusCode::SERVICE_UNAVAILABLE, body));
                }
                Err(CallError::NotSent(why)) => {
                    self.leave(at);
                    last = CallError::NotSent(why);
                }
                done => return done,
            }
        }
        Err(last)
    }

    async fn send_to(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let body: http::Body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        let answer = self.client.request(req).await.map_err(|e| match e.is_connect() {
            true => CallError::NotSent(e.to_string()),
            false => CallError::Broken(e.to_string()),
        })?;
        let status = answer.status();
        let body = answer.into_body().collect().await;
        let body = body.map_err(|e| CallError::Broken(e.to_string()))?;
        Ok((status, body.to_bytes()))
    }

    /// Goes on to the next address unless another call did so already.
    fn leave(&self, at: usize) {
        let next = at.wrapping_add(1);
        let _ = self.current.compare_exchange(at, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}
