//! An upstream that serves requests over HTTP/1.1 on loopback and fails in ways that tests choose.
//!
//! It writes HTTP itself, since many of its faulty answers can't be sent with an HTTP library.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::listener::Listener;

/// How an upstream handles a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Runs it and answers with status 200.
    Answer,
    /// Runs it and answers with this status.
    Fail(u16),
    /// Refuses it with status 503 and does not run it.
    Shed,
    /// Runs it and closes the connection without an answer.
    RunAndClose,
    /// Runs it, sends the head and half of the body, and closes the connection.
    TruncateBody,
    /// Runs it and answers with the identifier of another request.
    WrongRequestId,
    /// Runs it, answers, and sends a surplus answer right after.
    AnswerTwice,
    /// Counts it as run and never answers.
    Silent,
    /// Runs it, answers, and sends the answer once more after this time.
    AnswerAgainAfter(Duration),
    /// Refuses it with status 503, does not run it, and sends the refusal once more after this time.
    ShedAgainAfter(Duration),
    /// Runs it, answers, and after this time sends status 421 without an identifier.
    MisdirectAfter(Duration),
    /// Runs it, sends these bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Runs it and answers with status 421 and the identifier of another request.
    MisdirectAnother,
    /// Runs it, answers without `Content-Length`, and resets the connection within the body.
    ResetUnframed,
    /// Refuses it with status 503, does not run it, and sends a body that never ends.
    ShedEndlessly,
    /// Runs it and answers without `Content-Length`; the end of the connection ends the body.
    CloseDelimited,
    /// Runs it, sends `start`, with the request's identifier in place of `{id}`, and then `filler` again
    /// and again, until the caller closes the connection.
    Endless {
        /// What is sent once.
        start: String,
        /// What is repeated.
        filler: Vec<u8>,
    },
    /// Runs it and answers with the usual body, followed by spaces up to this many bytes.
    AnswerOf(usize),
}

/// How long an upstream works on a request, and the size of its cache of objects.
#[derive(Clone, Copy, Debug)]
pub struct WorkTimes {
    /// The time if the object is not cached.
    pub cold: Duration,
    /// The time if the object is cached.
    pub warm: Duration,
    /// The number of most recently used objects that it caches.
    pub cache_capacity: usize,
}

/// The most requests that wait for a slot; further ones are refused with status 503 and not run.
const MAX_QUEUED_REQUESTS: u32 = 9;

/// The start of the request line of a health check, as in the stand-in's configuration.
const HEALTH_REQUEST: &str = "GET /health ";

/// A request as the upstream received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The request line.
    pub request_line: String,
    /// The headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether it got a slot and was run.
    pub has_run: bool,
    /// The pause that the upstream asked for when it refused the request.
    pub asked_pause: Option<Duration>,
    /// Whether the answer to it never ended.
    pub endless: bool,
    /// When it was received; `None` only in the default value.
    pub received_at: Option<Instant>,
}

/// A running upstream on a free loopback port.
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
    named_limit: Mutex<Option<f64>>,
    leaving: AtomicBool,
    extra_headers: Mutex<String>,
    crashing_path: Mutex<Option<String>>,
    requested_pause: Mutex<Option<Duration>>,
    received: Mutex<Vec<ReceivedRequest>>,
    running: AtomicU32,
    cancelled: AtomicU32,
    endless_answers_closed: AtomicU32,
    connections: AtomicU32,
    slots: u32,
}

impl WorkTimes {
    /// Returns the same time for all objects, with no cache.
    pub fn uniform(work: Duration) -> Self {
        Self { cold: work, warm: work, cache_capacity: 0 }
    }
}

impl UpstreamServer {
    /// Starts the upstream `id` with `slots` slots on a free loopback port. Each request takes 5 ms
    /// until a work time is set.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port.
    pub async fn start(id: &str, slots: u32) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            work_times: Mutex::new(WorkTimes::uniform(Duration::from_millis(5))),
            cached_objects: Mutex::default(),
            free_slots: Semaphore::new(slots as usize),
            waiting: AtomicU32::new(0),
            queued_behaviors: Mutex::default(),
            default_behavior: Mutex::new(Behavior::Answer),
            named_limit: Mutex::default(),
            leaving: AtomicBool::new(false),
            extra_headers: Mutex::default(),
            crashing_path: Mutex::default(),
            requested_pause: Mutex::default(),
            received: Mutex::default(),
            running: AtomicU32::new(0),
            cancelled: AtomicU32::new(0),
            endless_answers_closed: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            slots,
        });
        let conn_shared = Arc::clone(&shared);
        let listener =
            Listener::open(move |stream| serve(stream, Arc::clone(&conn_shared))).await?;
        Ok(Self { listener, shared })
    }

    /// Returns the identifier of the upstream.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Sets how long it works on each request.
    pub fn set_work_time(&self, work: Duration) {
        self.set_work_times(WorkTimes::uniform(work));
    }

    /// Sets how long it works on a request with the object cached and not cached.
    pub fn set_work_times(&self, work: WorkTimes) {
        *self.shared.work_times.lock() = work;
    }

    /// Queues behaviors, each for one of the next requests.
    pub fn queue_behaviors(&self, behaviors: impl IntoIterator<Item = Behavior>) {
        self.shared.queued_behaviors.lock().extend(behaviors);
    }

    /// Sets the behavior for requests when no behavior is queued.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.shared.default_behavior.lock() = behavior;
    }

    /// Sets the requests per second that it names as its limit in its answers, or none.
    pub fn set_named_limit(&self, per_s: Option<f64>) {
        *self.shared.named_limit.lock() = per_s;
    }

    /// Sets whether it says in all its answers that it leaves.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Sets header lines, each ended by CR LF, that it adds to answers to requests that it ran.
    pub fn set_extra_headers(&self, lines: &str) {
        *self.shared.extra_headers.lock() = lines.to_owned();
    }

    /// Lets it close the connection without an answer under each request for `path`, as if it crashed.
    pub fn crash_on(&self, path: &str) {
        *self.shared.crashing_path.lock() = Some(path.to_owned());
    }

    /// Lets it refuse all requests and health checks with status 503 without running them, and ask in
    /// these answers to be sent nothing for `pause`; `None` ends that.
    pub fn set_requested_pause(&self, pause: Option<Duration>) {
        *self.shared.requested_pause.lock() = pause;
    }

    /// Returns all requests received so far, also refused ones.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.shared.received.lock().clone()
    }

    /// Returns the number of requests that it ran.
    pub fn runs(&self) -> usize {
        self.shared.received.lock().iter().filter(|request| request.has_run).count()
    }

    /// Returns the number of requests whose connection the caller closed while they ran.
    pub fn cancelled(&self) -> u32 {
        self.shared.cancelled.load(Ordering::Relaxed)
    }

    /// Returns the number of endless answers during which the caller closed the connection.
    pub fn endless_answers_closed(&self) -> u32 {
        self.shared.endless_answers_closed.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that it accepted.
    pub fn connections(&self) -> u32 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Returns the row that registers it for `service`, as JSON. `state` is `ready` or `draining`;
    /// `cold_s` is the time in seconds that the upstream stays cold.
    pub fn registration(&self, service: &str, zone: &str, state: &str, cold_s: f64) -> Vec<u8> {
        self.registration_at(self.addr(), service, zone, state, cold_s)
    }

    /// Returns the same row as [`registration`](Self::registration), with the address `addr`.
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

    /// Stops it at once: drops all connections and closes the port.
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

    /// Answers a health check, which waits for a slot or is refused like a request, whatever the
    /// behavior. It is not among the received requests.
    async fn answer_health_check(&self, stream: &mut TcpStream) -> io::Result<bool> {
        let instance =
            format!("foxtailrouter-instance-id: {}\r\n{}", self.id, self.leaving_header());
        if let Some(headers) = self.pause_headers() {
            let headers = instance + &headers;
            return send_answer(stream, 503, "", &headers, b"").await.map(|()| true);
        }
        if self.is_full() {
            return send_answer(stream, 503, "", &instance, b"").await.map(|()| true);
        }
        let slot = unless_disconnected(stream, self.free_slots.acquire()).await;
        let Some(Ok(_slot)) = slot else { return Ok(false) };
        let status = if self.leaving.load(Ordering::Relaxed) { 503 } else { 200 };
        send_answer(stream, status, "", &instance, b"").await.map(|()| true)
    }

    fn is_full(&self) -> bool {
        self.free_slots.available_permits() == 0
            && self.waiting.load(Ordering::Relaxed) >= MAX_QUEUED_REQUESTS
    }

    /// Returns the header of a leaving upstream, or nothing.
    fn leaving_header(&self) -> &'static str {
        if self.leaving.load(Ordering::Relaxed) { "server-leaving: 1\r\n" } else { "" }
    }

    /// Returns the headers of a refusal if it asks for a pause.
    fn pause_headers(&self) -> Option<String> {
        let pause = (*self.requested_pause.lock())?;
        let retry_after = format!("retry-after: {}\r\n", pause.as_secs_f64());
        Some(format!("foxtailrouter-not-executed: 1\r\n{retry_after}{}", self.leaving_header()))
    }

    /// Handles one request and returns whether the connection stays open.
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
            let extra_headers =
                format!("foxtailrouter-instance-id: {}\r\n{}", self.id, self.leaving_header());
            return send_answer(stream, 421, &id, &extra_headers, b"").await.map(|()| true);
        }
        if request.request_line.starts_with(HEALTH_REQUEST) {
            return self.answer_health_check(stream).await;
        }
        let behavior = self
            .queued_behaviors
            .lock()
            .pop_front()
            .unwrap_or_else(|| self.default_behavior.lock().clone());
        let crashes = self
            .crashing_path
            .lock()
            .as_ref()
            .is_some_and(|path| request.request_line.split(' ').nth(1) == Some(path.as_str()));
        let behavior = if crashes { Behavior::RunAndClose } else { behavior };
        let object = header("foxtailrouter-affinity-key");
        let full = self.is_full();
        let index = {
            let mut all = self.received.lock();
            all.push(request);
            all.len() - 1
        };
        if let Some(headers) = self.pause_headers() {
            self.received.lock()[index].asked_pause = *self.requested_pause.lock();
            return send_answer(stream, 503, &id, &headers, b"").await.map(|()| true);
        }
        if behavior == Behavior::Shed || full {
            let extra_headers =
                format!("foxtailrouter-not-executed: 1\r\n{}", self.leaving_header());
            return send_answer(stream, 503, &id, &extra_headers, b"").await.map(|()| true);
        }
        if let Behavior::ShedAgainAfter(delay) = behavior {
            let extra_headers = "foxtailrouter-not-executed: 1\r\n";
            send_answer(stream, 503, &id, extra_headers, b"").await?;
            tokio::time::sleep(delay).await;
            return send_answer(stream, 503, &id, extra_headers, b"").await.map(|()| true);
        }
        if behavior == Behavior::ShedEndlessly {
            let head = format!(
                "HTTP/1.1 503 -\r\nfoxtailrouter-request-id: {id}\r\n\
                 foxtailrouter-not-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            return self.send_endlessly(stream, &head, b"4\r\nmore\r\n").await;
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = unless_disconnected(stream, self.free_slots.acquire()).await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Some(Ok(_slot)) = slot else { return Ok(false) };
        self.received.lock()[index].has_run = true;
        self.running.fetch_add(1, Ordering::Relaxed);
        let finished = self.work_on(stream, &behavior, &object).await;
        let running = self.running.fetch_sub(1, Ordering::Relaxed);
        if !finished {
            self.cancelled.fetch_add(1, Ordering::Relaxed);
            return Ok(false);
        }
        let waiting = self.waiting.load(Ordering::Relaxed);
        let named_limit = self.named_limit.lock().map(|per_s| format!("server-limit: {per_s}\r\n"));
        let extra_headers = format!(
            "foxtailrouter-server-seal: {}.{id}\r\nfoxtailrouter-server-load: {running},{waiting},{}\r\n{}{}{}",
            self.id,
            self.slots,
            named_limit.unwrap_or_default(),
            self.leaving_header(),
            self.extra_headers.lock()
        );
        let body = format!("{} ran {id}", self.id).into_bytes();
        match behavior {
            Behavior::RunAndClose => return Ok(false),
            Behavior::Fail(status) => {
                send_answer(stream, status, &id, &extra_headers, &body).await?
            }
            Behavior::WrongRequestId => {
                send_answer(stream, 200, "another", &extra_headers, &body).await?
            }
            Behavior::AnswerTwice => {
                send_answer(stream, 200, &id, &extra_headers, &body).await?;
                send_answer(stream, 200, &id, &extra_headers, b"surplus").await?;
            }
            Behavior::AnswerAgainAfter(delay) => {
                send_answer(stream, 200, &id, &extra_headers, &body).await?;
                tokio::time::sleep(delay).await;
                send_answer(stream, 200, &id, &extra_headers, &body).await?;
            }
            Behavior::MisdirectAfter(delay) => {
                send_answer(stream, 200, &id, &extra_headers, &body).await?;
                tokio::time::sleep(delay).await;
                stream.write_all(b"HTTP/1.1 421 -\r\ncontent-length: 0\r\n\r\n").await?;
            }
            Behavior::SendAndClose(bytes) => {
                stream.write_all(&bytes).await?;
                return Ok(false);
            }
            Behavior::MisdirectAnother => send_answer(stream, 421, "another", "", b"").await?,
            Behavior::ResetUnframed => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nfoxtailrouter-request-id: {id}\r\n{extra_headers}\r\n"
                );
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&body[..body.len() / 2]).await?;
                // Closing with no time to linger sends a reset; first the bytes have to arrive.
                tokio::time::sleep(Duration::from_millis(20)).await;
                stream.set_zero_linger()?;
                return Ok(false);
            }
            Behavior::TruncateBody => {
                let text = encode_answer(200, &id, &extra_headers, &body);
                stream.write_all(&text[..text.len() - body.len() / 2]).await?;
                return Ok(false);
            }
            Behavior::Endless { start, filler } => {
                self.received.lock()[index].endless = true;
                return self.send_endlessly(stream, &start.replace("{id}", &id), &filler).await;
            }
            Behavior::AnswerOf(len) => {
                let mut body = body;
                body.resize(len, b' ');
                send_answer(stream, 200, &id, &extra_headers, &body).await?;
            }
            Behavior::CloseDelimited => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nfoxtailrouter-request-id: {id}\r\n{extra_headers}\r\n"
                );
                stream.write_all(text.as_bytes()).await?;
                stream.write_all(&body).await?;
                return Ok(false);
            }
            Behavior::Answer
            | Behavior::Shed
            | Behavior::ShedAgainAfter(_)
            | Behavior::ShedEndlessly
            | Behavior::Silent => send_answer(stream, 200, &id, &extra_headers, &body).await?,
        }
        Ok(true)
    }

    /// Sends `start` and then `filler` again and again, until the caller closes the connection.
    async fn send_endlessly(
        &self,
        stream: &mut TcpStream,
        start: &str,
        filler: &[u8],
    ) -> io::Result<bool> {
        stream.write_all(start.as_bytes()).await?;
        let block = filler.repeat(1_024);
        while stream.write_all(&block).await.is_ok() {}
        self.endless_answers_closed.fetch_add(1, Ordering::Relaxed);
        Ok(false)
    }

    /// Waits for the work time of the request. Returns false if the caller disconnects first.
    async fn work_on(&self, stream: &TcpStream, behavior: &Behavior, object: &str) -> bool {
        if *behavior == Behavior::Silent {
            return unless_disconnected(stream, std::future::pending::<()>()).await.is_some();
        }
        unless_disconnected(stream, tokio::time::sleep(self.work_time(object))).await.is_some()
    }

    /// Returns the work time for `object` and makes it the most recently used one in the cache.
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

/// Returns the result of `f`, or `None` if the peer of `stream` closes the connection first.
async fn unless_disconnected<T>(stream: &TcpStream, f: impl Future<Output = T>) -> Option<T> {
    let mut next = [0];
    tokio::select! {
        done = f => Some(done),
        // A caller sends nothing more before the answer, so readable means closed.
        _ = stream.peek(&mut next) => None,
    }
}

/// Reads one request; returns `None` if the connection ends before a complete one.
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
        asked_pause: None,
        endless: false,
        received_at: Some(Instant::now()),
    }))
}

async fn send_answer(
    stream: &mut TcpStream,
    status: u16,
    id: &str,
    extra_headers: &str,
    body: &[u8],
) -> io::Result<()> {
    stream.write_all(&encode_answer(status, id, extra_headers, body)).await
}

fn encode_answer(status: u16, id: &str, extra_headers: &str, body: &[u8]) -> Vec<u8> {
    let len = body.len();
    let head = format!(
        "HTTP/1.1 {status} -\r\nfoxtailrouter-request-id: {id}\r\ncontent-length: {len}\r\n{extra_headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}
