//! An upstream of the platform: runs requests of a service and misbehaves when told to.
//!
//! It speaks HTTP by hand, since much of what it is for are answers that no library would send.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::listener::Listener;

/// What an upstream does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Runs it and answers.
    Answer,
    /// Runs it and answers with this status.
    Fail(u16),
    /// Refuses it unrun.
    Shed,
    /// Runs it and closes the connection without an answer.
    RunAndClose,
    /// Runs it and sends half of the answer's body.
    TruncateBody,
    /// Runs it and answers under another request's identifier.
    WrongRequestId,
    /// Runs it, answers, and sends a second answer right after.
    AnswerTwice,
    /// Runs it and never answers.
    Silent,
    /// Runs it and answers with a body that ends with the connection.
    CloseDelimited,
}

/// How long an upstream works on a request.
#[derive(Clone, Copy, Debug)]
pub struct WorkTimes {
    /// On an object that it has not cached.
    pub cold: Duration,
    /// On one that it has.
    pub warm: Duration,
    /// How many objects it keeps cached.
    pub cache_capacity: usize,
}

/// How many requests wait for a slot; more are refused unrun.
const MAX_QUEUED_REQUESTS: u32 = 9;

/// A request as it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The request line.
    pub request_line: String,
    /// Headers with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether it was run.
    pub has_run: bool,
    /// When it arrived.
    pub received_at: Option<Instant>,
}

/// A running upstream.
pub struct UpstreamServer {
    listener: Listener,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    work_times: Mutex<WorkTimes>,
    cached_objects: Mutex<VecDeque<String>>,
    free_slots: Semaphore,
    waiting: AtomicU32,
    queued_behaviors: Mutex<VecDeque<Behavior>>,
    default_behavior: Mutex<Behavior>,
    received: Mutex<Vec<ReceivedRequest>>,
    running: AtomicU32,
    cancelled: AtomicU32,
    connections: AtomicU32,
    slots: u32,
}

impl WorkTimes {
    /// The same for all objects.
    pub fn uniform(work: Duration) -> Self {
        Self { cold: work, warm: work, cache_capacity: 0 }
    }
}

impl UpstreamServer {
    /// Starts the upstream `id` with `slots` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Whatever binding reports.
    pub async fn start(id: &str, slots: u32) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            work_times: Mutex::new(WorkTimes::uniform(Duration::from_millis(5))),
            cached_objects: Mutex::default(),
            free_slots: Semaphore::new(slots as usize),
            waiting: AtomicU32::new(0),
            queued_behaviors: Mutex::default(),
            default_behavior: Mutex::new(Behavior::Answer),
            received: Mutex::default(),
            running: AtomicU32::new(0),
            cancelled: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            slots,
        });
        let conn_shared = Arc::clone(&shared);
        let listener =
            Listener::open(move |stream| serve(stream, Arc::clone(&conn_shared))).await?;
        Ok(Self { listener, shared })
    }

    /// Its identifier.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Sets how long it works on a request.
    pub fn set_work_time(&self, work: Duration) {
        self.set_work_times(WorkTimes::uniform(work));
    }

    /// Sets how long it works on a request, by whether it has the object cached.
    pub fn set_work_times(&self, work: WorkTimes) {
        *self.shared.work_times.lock() = work;
    }

    /// Says what it does with the next requests, one after another.
    pub fn queue_behaviors(&self, behaviors: impl IntoIterator<Item = Behavior>) {
        self.shared.queued_behaviors.lock().extend(behaviors);
    }

    /// Says what it does with all requests for which nothing else was said.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.shared.default_behavior.lock() = behavior;
    }

    /// All requests so far.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.shared.received.lock().clone()
    }

    /// How many requests it ran.
    pub fn runs(&self) -> usize {
        self.shared.received.lock().iter().filter(|request| request.has_run).count()
    }

    /// How many requests were cancelled by closing their connection while it worked on them.
    pub fn cancelled(&self) -> u32 {
        self.shared.cancelled.load(Ordering::Relaxed)
    }

    /// How many connections were made to it.
    pub fn connections(&self) -> u32 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// The registration that it would write, with `state` and the seconds that it stays cold.
    pub fn registration(&self, service: &str, zone: &str, state: &str, cold_s: f64) -> Vec<u8> {
        self.registration_at(self.addr(), service, zone, state, cold_s)
    }

    /// The same, for an upstream that is reached at `addr`.
    pub fn registration_at(
        &self,
        addr: SocketAddr,
        service: &str,
        zone: &str,
        state: &str,
        cold_s: f64,
    ) -> Vec<u8> {
        let Shared { slots, .. } = *self.shared;
        format!(
            r#"{{"address":"{}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{state}","sequence":1,"cold_remaining_s":{cold_s}}}}}"#,
            addr
        )
        .into_bytes()
    }

    /// Ends it at once: connections break, and the port refuses new ones.
    pub async fn crash(self) {
        self.listener.close().await;
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    shared.connections.fetch_add(1, Ordering::Relaxed);
    if let Err(e) = shared.serve_connection(stream).await {
        tracing::debug!(event = "service_connection_ended", error = %e);
    }
}

impl Shared {
    async fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buf = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buf).await? {
            if !self.handle_request(&mut stream, request).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers one request, and tells whether the connection goes on.
    async fn handle_request(
        &self,
        stream: &mut TcpStream,
        request: ReceivedRequest,
    ) -> io::Result<bool> {
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let (id, expected) =
            (header("foxtailrouter-request-id"), header("foxtailrouter-expect-instance"));
        if !expected.is_empty() && expected != self.id {
            self.received.lock().push(request);
            let head = format!("foxtailrouter-instance-id: {}\r\n", self.id);
            return send_answer(stream, 421, &id, &head, b"").await.map(|()| true);
        }
        let behavior = self
            .queued_behaviors
            .lock()
            .pop_front()
            .unwrap_or_else(|| self.default_behavior.lock().clone());
        let object = header("foxtailrouter-affinity-key");
        let full = self.free_slots.available_permits() == 0
            && self.waiting.load(Ordering::Relaxed) >= MAX_QUEUED_REQUESTS;
        let at = {
            let mut all = self.received.lock();
            all.push(request);
            all.len() - 1
        };
        if behavior == Behavior::Shed || full {
            let head = "foxtailrouter-not-executed: 1\r\n";
            return send_answer(stream, 503, &id, head, b"").await.map(|()| true);
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = unless_disconnected(stream, self.free_slots.acquire()).await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Some(Ok(_slot)) = slot else { return Ok(false) };
        self.received.lock()[at].has_run = true;
        self.running.fetch_add(1, Ordering::Relaxed);
        let finished = self.work_on(stream, &behavior, &object).await;
        let running = self.running.fetch_sub(1, Ordering::Relaxed);
        if !finished {
            self.cancelled.fetch_add(1, Ordering::Relaxed);
            return Ok(false);
        }
        let waiting = self.waiting.load(Ordering::Relaxed);
        let head = format!(
            "foxtailrouter-server-seal: {}.{id}\r\nfoxtailrouter-server-load: {running},{waiting},{}\r\n",
            self.id, self.slots
        );
        let body = format!("{} ran {id}", self.id).into_bytes();
        match behavior {
            Behavior::RunAndClose => return Ok(false),
            Behavior::Fail(status) => send_answer(stream, status, &id, &head, &body).await?,
            Behavior::WrongRequestId => send_answer(stream, 200, "another", &head, &body).await?,
            Behavior::AnswerTwice => {
                send_answer(stream, 200, &id, &head, &body).await?;
                send_answer(stream, 200, &id, &head, b"surplus").await?;
            }
            Behavior::TruncateBody => {
                let text = encode_answer(200, &id, &head, &body);
                stream.write_all(&text[..text.len() - body.len() / 2]).await?;
                return Ok(false);
            }
            Behavior::CloseDelimited => {
                let text =
                    format!("HTTP/1.1 200 OK\r\nfoxtailrouter-request-id: {id}\r\n{head}\r\n");
                stream.write_all(text.as_bytes()).await?;
                stream.write_all(&body).await?;
                return Ok(false);
            }
            Behavior::Answer | Behavior::Shed | Behavior::Silent => {
                send_answer(stream, 200, &id, &head, &body).await?
            }
        }
        Ok(true)
    }

    /// Works for as long as a request takes; tells whether the caller stayed.
    async fn work_on(&self, stream: &TcpStream, behavior: &Behavior, object: &str) -> bool {
        if *behavior == Behavior::Silent {
            return unless_disconnected(stream, std::future::pending::<()>()).await.is_some();
        }
        unless_disconnected(stream, tokio::time::sleep(self.work_time(object))).await.is_some()
    }

    /// How long the work on `object` takes, which is cached from then on.
    fn work_time(&self, object: &str) -> Duration {
        let work = *self.work_times.lock();
        let mut cached = self.cached_objects.lock();
        let found = cached.iter().position(|held| held == object);
        if let Some(at) = found {
            cached.remove(at);
        }
        cached.push_back(object.to_owned());
        while cached.len() > work.cache_capacity {
            cached.pop_front();
        }
        if found.is_some() { work.warm } else { work.cold }
    }
}

/// What `f` comes to, unless the caller at the other end of `stream` leaves before.
async fn unless_disconnected<T>(stream: &TcpStream, f: impl Future<Output = T>) -> Option<T> {
    let mut next = [0];
    tokio::select! {
        done = f => Some(done),
        // Nothing may come before the answer but the end.
        _ = stream.peek(&mut next) => None,
    }
}

/// Reads one request; `None` at the end of the connection.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> io::Result<Option<ReceivedRequest>> {
    let head_len = loop {
        if let Some(at) = buf.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_len]).into_owned();
    let mut lines = head.split("\r\n");
    let request_line = lines.next().unwrap_or_default().to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect();
    let body_len: usize =
        headers.get("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
    while buf.len() < head_len + body_len {
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
    let body = buf[head_len..head_len + body_len].to_vec();
    buf.drain(..head_len + body_len);
    Ok(Some(ReceivedRequest {
        request_line,
        headers,
        body,
        has_run: false,
        received_at: Some(Instant::now()),
    }))
}

async fn send_answer(
    stream: &mut TcpStream,
    status: u16,
    id: &str,
    head: &str,
    body: &[u8],
) -> io::Result<()> {
    stream.write_all(&encode_answer(status, id, head, body)).await
}

fn encode_answer(status: u16, id: &str, head: &str, body: &[u8]) -> Vec<u8> {
    let len = body.len();
    let head = format!(
        "HTTP/1.1 {status} -\r\nfoxtailrouter-request-id: {id}\r\ncontent-length: {len}\r\n{head}\r\n"
    );
    [head.as_bytes(), body].concat()
}
