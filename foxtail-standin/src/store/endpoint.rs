//! An HTTP address of the store with faults and rate limits of its own.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rand::Rng;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::rows::{Page, Store, TransactionError};
use crate::listener::Listener;
use crate::token_bucket::TokenBucket;

/// The longest time that a call of the feed waits for changes.
const MAX_FEED_WAIT: Duration = Duration::from_secs(30);

/// How calls to a [`StoreEndpoint`] fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls do not fail.
    #[default]
    None,
    /// Each call is answered with status 503 and not executed.
    Unavailable,
    /// Each call is answered with status 429 and not executed.
    Throttled,
    /// No call is answered or executed.
    Silent,
    /// Each connection is closed when a call arrives, and the call is not executed.
    Reset,
    /// Each call is executed, and the connection is closed without its answer.
    AnswerLost,
    /// Each call takes this much longer, half before and half after its execution.
    Slow(Duration),
    /// No call is answered while this lasts. Transactions are executed when it ends; other calls
    /// then have their connection closed.
    Held,
}

/// The rates above which calls are answered with status 429.
#[derive(Clone, Copy, Debug)]
pub struct RateLimits {
    /// Calls per second with a method other than GET.
    pub writes_per_s: u32,
    /// Calls per second with the method GET.
    pub reads_per_s: u32,
}

/// The number of calls by path.
pub type CallCounts = BTreeMap<String, u64>;

/// A loopback address that serves a [`Store`], with faults and rate limits of its own.
pub struct StoreEndpoint {
    listener: Listener,
    shared: Arc<Shared>,
}

struct Shared {
    store: Arc<Store>,
    access: Access,
    fault: watch::Sender<Fault>,
    /// How often the waiting calls of the feed were swallowed.
    swallowed: watch::Sender<u64>,
    /// The mean number of transactions in 1,000 whose answer is lost.
    answer_loss_per_mille: AtomicU32,
    /// The buckets of writes and of reads, if rates are limited.
    rate_limits: Mutex<Option<(TokenBucket, TokenBucket)>>,
    call_counts: Mutex<CallCounts>,
    /// The JSON of rows that surround the rows of each page; see [`StoreEndpoint::set_odd_rows`].
    odd_rows: Mutex<Vec<Vec<u8>>>,
    /// Calls that [`Fault::Held`] delays until it ends.
    held_calls: TaskTracker,
}

/// Who uses an endpoint, which decides the tables that may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Access {
    /// Hosts may write all tables but `op` and `servers`.
    Hosts,
    /// Operators may write all tables.
    Operators,
}

type Answer = Response<Full<Bytes>>;

/// Makes the HTTP server close the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed without an answer")]
struct CloseConnection;

impl StoreEndpoint {
    /// Serves `store` to hosts on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port.
    pub async fn open(store: &Arc<Store>) -> io::Result<Self> {
        Self::open_to(store, Access::Hosts).await
    }

    /// Serves `store` to operators, who may write all tables, on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port.
    pub async fn open_to_operators(store: &Arc<Store>) -> io::Result<Self> {
        Self::open_to(store, Access::Operators).await
    }

    async fn open_to(store: &Arc<Store>, access: Access) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            store: Arc::clone(store),
            access,
            fault: watch::Sender::new(Fault::None),
            swallowed: watch::Sender::new(0),
            answer_loss_per_mille: AtomicU32::new(0),
            rate_limits: Mutex::default(),
            call_counts: Mutex::default(),
            odd_rows: Mutex::default(),
            held_calls: TaskTracker::new(),
        });
        let conn_shared = Arc::clone(&shared);
        let listener =
            Listener::open(move |stream| serve(stream, Arc::clone(&conn_shared))).await?;
        Ok(Self { listener, shared })
    }

    /// Returns the address of the endpoint.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Sets the fault. It also applies to the answers of calls that are already being executed,
    /// such as waiting calls of the feed.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.fault.send_replace(fault);
    }

    /// Lets the calls of the feed that wait now get no answer, while their connections stay open. Later
    /// calls are not affected.
    pub fn swallow_waiting_calls(&self) {
        self.shared.swallowed.send_modify(|count| *count += 1);
    }

    /// Makes on average `per_mille` of 1,000 transactions lose their answer after their execution.
    pub fn set_answer_loss_per_mille(&self, per_mille: u32) {
        self.shared.answer_loss_per_mille.store(per_mille, Ordering::Relaxed);
    }

    /// Answers calls above `rates` with status 429.
    pub fn set_rate_limits(&self, rates: RateLimits) {
        let buckets = (TokenBucket::new(rates.writes_per_s), TokenBucket::new(rates.reads_per_s));
        *self.shared.rate_limits.lock() = Some(buckets);
    }

    /// Adds `rows`, which need not be JSON, before and behind the rows of each page that has any.
    pub fn set_odd_rows(&self, rows: &[&[u8]]) {
        *self.shared.odd_rows.lock() = rows.iter().map(|row| row.to_vec()).collect();
    }

    /// Clears the fault and waits until all calls that [`Fault::Held`] delayed are executed.
    pub async fn finish_held_calls(&self) {
        self.set_fault(Fault::None);
        self.shared.held_calls.close();
        self.shared.held_calls.wait().await;
        self.shared.held_calls.reopen();
    }

    /// Returns the number of calls received so far, by path.
    pub fn call_counts(&self) -> CallCounts {
        self.shared.call_counts.lock().clone()
    }

    /// Drops all connections, closes the port and waits until all tasks have ended.
    pub async fn close(self) {
        self.listener.close().await;
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let shared = Arc::clone(&shared);
        async move {
            let mut answer = shared.answer(req).await?;
            answer.headers_mut().insert("store-era", shared.store.restorations().into());
            Ok::<_, CloseConnection>(answer)
        }
    });
    let conn = hyper::server::conn::http1::Builder::new();
    if let Err(e) = conn.serve_connection(TokioIo::new(stream), service).await {
        tracing::debug!(event = "store_connection_ended", error = %e);
    }
}

impl Shared {
    async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> Result<Answer, CloseConnection> {
        let (head, body) = req.into_parts();
        let path = head.uri.path().to_owned();
        *self.call_counts.lock().entry(path.clone()).or_default() += 1;
        let body = body.collect().await.map_err(|_| CloseConnection)?.to_bytes();
        if *self.fault.borrow() == Fault::Held {
            return self.answer_held(path, body).await;
        }
        self.apply_fault(true).await?;
        if let Some(answer) = self.refusal() {
            return Ok(answer);
        }
        if !self.admits(&head.method) {
            return Ok(status(StatusCode::TOO_MANY_REQUESTS));
        }
        let query = Query::new(head.uri.query().unwrap_or_default());
        let answer = match (&head.method, path.as_str()) {
            (&Method::POST, "/rows-tx") => self.transact(&body),
            (&Method::GET, "/rows-get") => self.read_range(&query),
            (&Method::GET, "/rows-feed") => {
                let mut swallowed = self.swallowed.subscribe();
                tokio::select! {
                    answer = self.read_feed(&query) => answer,
                    _ = swallowed.changed() => std::future::pending().await,
                }
            }
            (method, path) => self.call_object(method, path, &head.headers, body),
        };
        self.apply_fault(false).await?;
        let loss_per_mille = self.answer_loss_per_mille.load(Ordering::Relaxed);
        if path == "/rows-tx" && rand::rng().random_range(0..1_000) < loss_per_mille {
            return Err(CloseConnection);
        }
        Ok(self.refusal().unwrap_or(answer))
    }

    /// Executes a transaction when the fault ends, even if its caller has disconnected by then.
    async fn answer_held(
        self: &Arc<Self>,
        path: String,
        body: Bytes,
    ) -> Result<Answer, CloseConnection> {
        let this = Arc::clone(self);
        let done = self.held_calls.spawn(async move {
            let mut fault = this.fault.subscribe();
            // The wait does not fail, since `this` keeps the sender alive.
            let _ = fault.wait_for(|fault| *fault != Fault::Held).await;
            (path == "/rows-tx").then(|| this.transact(&body))
        });
        done.await.ok().flatten().ok_or(CloseConnection)
    }

    fn admits(&self, method: &Method) -> bool {
        let mut rates = self.rate_limits.lock();
        let Some((writes, reads)) = rates.as_mut() else { return true };
        if method == Method::GET { reads.try_take(1) } else { writes.try_take(1) }
    }

    /// Delays a call or closes its connection as the fault says. It is called before and again
    /// after the execution of the call.
    async fn apply_fault(&self, before_execution: bool) -> Result<(), CloseConnection> {
        let fault = *self.fault.borrow();
        match fault {
            Fault::None | Fault::Unavailable | Fault::Throttled | Fault::Held => Ok(()),
            Fault::Silent => std::future::pending().await,
            Fault::Reset => Err(CloseConnection),
            Fault::AnswerLost if before_execution => Ok(()),
            Fault::AnswerLost => Err(CloseConnection),
            Fault::Slow(delay) => {
                tokio::time::sleep(delay / 2).await;
                Ok(())
            }
        }
    }

    fn refusal(&self) -> Option<Answer> {
        match *self.fault.borrow() {
            Fault::Unavailable => Some(status(StatusCode::SERVICE_UNAVAILABLE)),
            Fault::Throttled => Some(status(StatusCode::TOO_MANY_REQUESTS)),
            _ => None,
        }
    }

    fn transact(&self, body: &[u8]) -> Answer {
        let Ok(tx) = serde_json::from_slice(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        match self.store.transact(tx, self.access) {
            Ok(page) => json(&page),
            Err(TransactionError::Conflict(page)) => {
                let mut answer = json(&page);
                *answer.status_mut() = StatusCode::PRECONDITION_FAILED;
                answer
            }
            Err(TransactionError::Malformed) => status(StatusCode::BAD_REQUEST),
            Err(TransactionError::Forbidden) => status(StatusCode::FORBIDDEN),
        }
    }

    fn read_range(&self, query: &Query<'_>) -> Answer {
        let limit = query.number("limit").unwrap_or(u64::MAX) as usize;
        let from = query.text("from").replace("%00", "\0");
        let to = query.text("to").replace("%00", "\0");
        let (table, part) = (query.text("table"), query.text("part"));
        self.page(&self.store.read_range(table, part, (&from, &to), limit))
    }

    async fn read_feed(&self, query: &Query<'_>) -> Answer {
        let Some(after) = query.number("after") else { return status(StatusCode::BAD_REQUEST) };
        let wait = Duration::from_millis(query.number("wait_ms").unwrap_or(0)).min(MAX_FEED_WAIT);
        let until = tokio::time::Instant::now() + wait;
        let mut changes = self.store.subscribe();
        loop {
            changes.borrow_and_update();
            let Some(page) = self.store.read_feed(query.text("table"), after) else {
                return status(StatusCode::GONE);
            };
            let timed_out = tokio::time::Instant::now() >= until;
            if page.rows.as_ref().is_some_and(|rows| !rows.is_empty()) || timed_out {
                return self.page(&page);
            }
            // A change and the time limit both end the wait; the loop then reads the feed again.
            let _ = tokio::time::timeout_at(until, changes.changed()).await;
        }
    }

    /// Returns the answer with `page` and the odd rows.
    fn page(&self, page: &Page) -> Answer {
        let odd = self.odd_rows.lock().join(&b","[..]);
        let has_rows = page.rows.as_ref().is_some_and(|rows| !rows.is_empty());
        if odd.is_empty() || !has_rows {
            return json(page);
        }
        let mut body = serde_json::to_vec(page).expect("pages are JSON");
        let end = body.iter().rposition(|&byte| byte == b']').expect("a page has a list of rows");
        body.splice(end..end, [b",", &odd[..]].concat());
        let start = br#"{"rows":["#.len();
        body.splice(start..start, [&odd[..], b","].concat());
        Response::new(Full::new(body.into()))
    }

    fn call_object(
        &self,
        method: &Method,
        path: &str,
        headers: &hyper::HeaderMap,
        body: Bytes,
    ) -> Answer {
        let object_name = |prefix| path.strip_prefix(prefix);
        if let (&Method::PUT, Some(name)) = (method, object_name("/blob-put/")) {
            let only_new = headers.contains_key(hyper::header::IF_NONE_MATCH);
            return match self.store.put_object(name, body.to_vec(), only_new) {
                true => status(StatusCode::OK),
                false => status(StatusCode::PRECONDITION_FAILED),
            };
        }
        if let (&Method::GET, Some(name)) = (method, object_name("/blob-get/")) {
            let found = self.store.object(name).map(|value| Response::new(Full::new(value.into())));
            return found.unwrap_or_else(|| status(StatusCode::NOT_FOUND));
        }
        if let (&Method::DELETE, Some(name)) = (method, object_name("/blob-drop/")) {
            self.store.delete_object(name);
            return status(StatusCode::OK);
        }
        status(StatusCode::NOT_FOUND)
    }
}

/// The name and value pairs of a URL query.
struct Query<'q>(Vec<(&'q str, &'q str)>);

impl<'q> Query<'q> {
    fn new(query: &'q str) -> Self {
        Self(query.split('&').filter_map(|pair| pair.split_once('=')).collect())
    }

    fn text(&self, name: &str) -> &'q str {
        self.0.iter().find(|(key, _)| *key == name).map_or("", |(_, value)| *value)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.text(name).parse().ok()
    }
}

fn json(value: &impl Serialize) -> Answer {
    Response::new(Full::new(serde_json::to_vec(value).expect("pages are JSON").into()))
}

fn status(code: StatusCode) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = code;
    answer
}
