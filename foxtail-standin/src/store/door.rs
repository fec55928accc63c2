//! An address under which the store is reached, with faults of its own.

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

use super::rows::{Refused, Store};
use crate::listener::Listener;
use crate::rate::Bucket;

/// The longest that a feed waits.
const WAIT_MOST: Duration = Duration::from_secs(30);

/// What is wrong with the store behind a door.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Each call is answered 503, and nothing is done.
    Unavailable,
    /// Each call is answered 429, and nothing is done.
    Throttled,
    /// No call is answered, and nothing is done.
    Silent,
    /// Each connection is closed as soon as a call arrives, and nothing is done.
    Reset,
    /// Each call is done, and its answer is lost.
    AnswerLost,
    /// Each answer takes this long.
    Slow(Duration),
    /// No call is answered, and each is done when this has ended.
    Held,
}

/// The rates above which calls are refused.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Calls a second that write.
    pub writes_per_s: u32,
    /// Calls a second that read.
    pub reads_per_s: u32,
}

/// Calls by path.
pub type Counts = BTreeMap<String, u64>;

/// An address of the store.
pub struct Door {
    listener: Listener,
    shared: Arc<Shared>,
}

struct Shared {
    store: Arc<Store>,
    access: Access,
    fault: watch::Sender<Fault>,
    /// Of 1,000 transactions, how many lose their answer.
    lost_per_mille: AtomicU32,
    rates: Mutex<Option<(Bucket, Bucket)>>,
    counts: Mutex<Counts>,
    /// Calls that are held, and done later.
    held: TaskTracker,
}

/// Who comes through a door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Access {
    /// Hosts may write their own tables only.
    Hosts,
    /// Operators may write all tables.
    Operators,
}

type Answer = Response<Full<Bytes>>;

/// Ends the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is cut")]
struct Cut;

impl Door {
    /// Opens a door to `store` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Whatever binding reports.
    pub async fn open(store: &Arc<Store>) -> io::Result<Self> {
        Self::open_to(store, Access::Hosts).await
    }

    /// Opens a door through which all tables may be written.
    ///
    /// # Errors
    ///
    /// Whatever binding reports.
    pub async fn open_to_operators(store: &Arc<Store>) -> io::Result<Self> {
        Self::open_to(store, Access::Operators).await
    }

    async fn open_to(store: &Arc<Store>, access: Access) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            store: Arc::clone(store),
            access,
            fault: watch::Sender::new(Fault::None),
            lost_per_mille: AtomicU32::new(0),
            rates: Mutex::default(),
            counts: Mutex::default(),
            held: TaskTracker::new(),
        });
        let theirs = Arc::clone(&shared);
        let listener = Listener::open(move |stream| serve(stream, Arc::clone(&theirs))).await?;
        Ok(Self { listener, shared })
    }

    /// Where it is.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Sets what is wrong; calls that wait are held to it once they would be answered.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.fault.send_replace(fault);
    }

    /// Loses the answers of this share of the transactions, which are done all the same.
    pub fn lose_answers(&self, per_mille: u32) {
        self.shared.lost_per_mille.store(per_mille, Ordering::Relaxed);
    }

    /// Refuses calls above `rates`.
    pub fn limit(&self, rates: Rates) {
        let buckets = (Bucket::new(rates.writes_per_s), Bucket::new(rates.reads_per_s));
        *self.shared.rates.lock() = Some(buckets);
    }

    /// Ends the fault and waits until all calls that were held are done.
    pub async fn settle(&self) {
        self.set_fault(Fault::None);
        self.shared.held.close();
        self.shared.held.wait().await;
        self.shared.held.reopen();
    }

    /// How many calls came, by path.
    pub fn counts(&self) -> Counts {
        self.shared.counts.lock().clone()
    }

    /// Breaks all connections and joins all tasks.
    pub async fn close(self) {
        self.listener.close().await;
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let shared = Arc::clone(&shared);
        async move { shared.answer(req).await }
    });
    let conn = hyper::server::conn::http1::Builder::new();
    if let Err(e) = conn.serve_connection(TokioIo::new(stream), service).await {
        tracing::debug!(event = "store_connection_ended", error = %e);
    }
}

impl Shared {
    async fn answer(self: &Arc<Self>, req: Request<Incoming>) -> Result<Answer, Cut> {
        let (head, body) = req.into_parts();
        let path = head.uri.path().to_owned();
        *self.counts.lock().entry(path.clone()).or_default() += 1;
        let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
        if *self.fault.borrow() == Fault::Held {
            return self.held(path, body).await;
        }
        self.hold(true).await?;
        if let Some(answer) = self.refusal() {
            return Ok(answer);
        }
        if !self.admits(&head.method) {
            return Ok(status(StatusCode::TOO_MANY_REQUESTS));
        }
        let query = Query::new(head.uri.query().unwrap_or_default());
        let answer = match (&head.method, path.as_str()) {
            (&Method::POST, "/rows-tx") => self.transact(&body),
            (&Method::GET, "/rows-get") => self.range(&query),
            (&Method::GET, "/rows-feed") => self.feed(&query).await,
            (method, path) => self.object(method, path, &head.headers, body),
        };
        self.hold(false).await?;
        let lost = self.lost_per_mille.load(Ordering::Relaxed);
        if path == "/rows-tx" && rand::rng().random_range(0..1_000) < lost {
            return Err(Cut);
        }
        Ok(self.refusal().unwrap_or(answer))
    }

    /// Does a transaction when the fault has ended, also if its caller has left by then.
    async fn held(self: &Arc<Self>, path: String, body: Bytes) -> Result<Answer, Cut> {
        let this = Arc::clone(self);
        let done = self.held.spawn(async move {
            let mut fault = this.fault.subscribe();
            // The sender lives as long as the door.
            let _ = fault.wait_for(|fault| *fault != Fault::Held).await;
            (path == "/rows-tx").then(|| this.transact(&body))
        });
        done.await.ok().flatten().ok_or(Cut)
    }

    fn admits(&self, method: &Method) -> bool {
        let mut rates = self.rates.lock();
        let Some((writes, reads)) = rates.as_mut() else { return true };
        if method == Method::GET { reads.take(1) } else { writes.take(1) }
    }

    /// What happens to a call as it comes, or to its answer as it goes.
    async fn hold(&self, coming: bool) -> Result<(), Cut> {
        let fault = *self.fault.borrow();
        match fault {
            Fault::None | Fault::Unavailable | Fault::Throttled | Fault::Held => Ok(()),
            Fault::Silent => std::future::pending().await,
            Fault::Reset => Err(Cut),
            Fault::AnswerLost if coming => Ok(()),
            Fault::AnswerLost => Err(Cut),
            Fault::Slow(by) => {
                tokio::time::sleep(by / 2).await;
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
            Err(Refused::Conflict(page)) => {
                let mut answer = json(&page);
                *answer.status_mut() = StatusCode::PRECONDITION_FAILED;
                answer
            }
            Err(Refused::Malformed) => status(StatusCode::BAD_REQUEST),
            Err(Refused::Forbidden) => status(StatusCode::FORBIDDEN),
        }
    }

    fn range(&self, query: &Query<'_>) -> Answer {
        let limit = query.number("limit").unwrap_or(u64::MAX) as usize;
        let from = query.text("from").replace("%00", "\0");
        let to = query.text("to").replace("%00", "\0");
        json(&self.store.range(query.text("table"), query.text("part"), (&from, &to), limit))
    }

    async fn feed(&self, query: &Query<'_>) -> Answer {
        let Some(after) = query.number("after") else { return status(StatusCode::BAD_REQUEST) };
        let wait = Duration::from_millis(query.number("wait_ms").unwrap_or(0)).min(WAIT_MOST);
        let until = tokio::time::Instant::now() + wait;
        let mut changes = self.store.changes();
        loop {
            changes.borrow_and_update();
            let Some(page) = self.store.feed(query.text("table"), after) else {
                return status(StatusCode::GONE);
            };
            let timed_out = tokio::time::Instant::now() >= until;
            if page.rows.as_ref().is_some_and(|rows| !rows.is_empty()) || timed_out {
                return json(&page);
            }
            // The time limit ends the wait as well; both lead to another look.
            let _ = tokio::time::timeout_at(until, changes.changed()).await;
        }
    }

    fn object(
        &self,
        method: &Method,
        path: &str,
        headers: &hyper::HeaderMap,
        body: Bytes,
    ) -> Answer {
        let named = |prefix| path.strip_prefix(prefix);
        if let (&Method::PUT, Some(name)) = (method, named("/blob-put/")) {
            let only_new = headers.contains_key(hyper::header::IF_NONE_MATCH);
            return match self.store.put_object(name, body.to_vec(), only_new) {
                true => status(StatusCode::OK),
                false => status(StatusCode::PRECONDITION_FAILED),
            };
        }
        if let (&Method::GET, Some(name)) = (method, named("/blob-get/")) {
            let found = self.store.object(name).map(|value| Response::new(Full::new(value.into())));
            return found.unwrap_or_else(|| status(StatusCode::NOT_FOUND));
        }
        if let (&Method::DELETE, Some(name)) = (method, named("/blob-drop/")) {
            self.store.drop_object(name);
            return status(StatusCode::OK);
        }
        status(StatusCode::NOT_FOUND)
    }
}

/// The fields of a query.
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
