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
pub enum Act {
    /// Runs it and answers.
    Answer,
    /// Runs it and answers with this status.
    Fail(u16),
    /// Refuses it unrun.
    Shed,
    /// Runs it and closes the connection without an answer.
    RunAndClose,
    /// Runs it and sends half of the answer's body.
    CutShort,
    /// Runs it and answers under another request's identifier.
    Foreign,
    /// Runs it, answers, and sends a second answer right after.
    AnswerTwice,
    /// Runs it and never answers.
    Silent,
    /// Runs it and answers with a body that ends with the connection.
    Unframed,
}

/// How long an upstream works on a request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// On an object that it has not cached.
    pub cold: Duration,
    /// On one that it has.
    pub warm: Duration,
    /// How many objects it keeps cached.
    pub keeps: usize,
}

/// How many requests wait for a slot; more are refused unrun.
const QUEUE_MOST: u32 = 9;

/// A request as it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// The request line.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether it was run.
    pub run: bool,
    /// When it arrived.
    pub at: Option<Instant>,
}

/// A running upstream.
pub struct Service {
    listener: Listener,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    work: Mutex<Work>,
    cached: Mutex<VecDeque<String>>,
    free: Semaphore,
    waiting: AtomicU32,
    next: Mutex<VecDeque<Act>>,
    usual: Mutex<Act>,
    seen: Mutex<Vec<Seen>>,
    running: AtomicU32,
    cancelled: AtomicU32,
    connections: AtomicU32,
    slots: u32,
}

impl Work {
    /// The same for all objects.
    pub fn even(work: Duration) -> Self {
        Self { cold: work, warm: work, keeps: 0 }
    }
}

impl Service {
    /// Starts the upstream `id` with `slots` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Whatever binding reports.
    pub async fn start(id: &str, slots: u32) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            work: Mutex::new(Work::even(Duration::from_millis(5))),
            cached: Mutex::default(),
            free: Semaphore::new(slots as usize),
            waiting: AtomicU32::new(0),
            next: Mutex::default(),
            usual: Mutex::new(Act::Answer),
            seen: Mutex::default(),
            running: AtomicU32::new(0),
            cancelled: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            slots,
        });
        let theirs = Arc::clone(&shared);
        let listener = Listener::open(move |stream| serve(stream, Arc::clone(&theirs))).await?;
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
    pub fn set_work(&self, work: Duration) {
        self.set_work_by_object(Work::even(work));
    }

    /// Sets how long it works on a request, by whether it has the object cached.
    pub fn set_work_by_object(&self, work: Work) {
        *self.shared.work.lock() = work;
    }

    /// Says what it does with the next requests, one after another.
    pub fn then(&self, acts: impl IntoIterator<Item = Act>) {
        self.shared.next.lock().extend(acts);
    }

    /// Says what it does with all requests for which nothing else was said.
    pub fn always(&self, act: Act) {
        *self.shared.usual.lock() = act;
    }

    /// All requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen.lock().clone()
    }

    /// How many requests it ran.
    pub fn runs(&self) -> usize {
        self.shared.seen.lock().iter().filter(|seen| seen.run).count()
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
    if let Err(e) = shared.serve(stream).await {
        tracing::debug!(event = "service_connection_ended", error = %e);
    }
}

impl Shared {
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buf = Vec::new();
        while let Some(seen) = read(&mut stream, &mut buf).await? {
            if !self.answer(&mut stream, seen).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers one request, and tells whether the connection goes on.
    async fn answer(&self, stream: &mut TcpStream, seen: Seen) -> io::Result<bool> {
        let header = |name: &str| seen.headers.get(name).cloned().unwrap_or_default();
        let (id, expected) =
            (header("foxtailrouter-request-id"), header("foxtailrouter-expect-instance"));
        if !expected.is_empty() && expected != self.id {
            self.seen.lock().push(seen);
            let head = format!("foxtailrouter-instance-id: {}\r\n", self.id);
            return send(stream, 421, &id, &head, b"").await.map(|()| true);
        }
        let act = self.next.lock().pop_front().unwrap_or_else(|| self.usual.lock().clone());
        let object = header("foxtailrouter-affinity-key");
        let full = self.free.available_permits() == 0
            && self.waiting.load(Ordering::Relaxed) >= QUEUE_MOST;
        let at = {
            let mut all = self.seen.lock();
            all.push(seen);
            all.len() - 1
        };
        if act == Act::Shed || full {
            let head = "foxtailrouter-not-executed: 1\r\n";
            return send(stream, 503, &id, head, b"").await.map(|()| true);
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = stays(stream, self.free.acquire()).await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Some(Ok(_slot)) = slot else { return Ok(false) };
        self.seen.lock()[at].run = true;
        self.running.fetch_add(1, Ordering::Relaxed);
        let finished = self.work(stream, &act, &object).await;
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
        match act {
            Act::RunAndClose => return Ok(false),
            Act::Fail(status) => send(stream, status, &id, &head, &body).await?,
            Act::Foreign => send(stream, 200, "another", &head, &body).await?,
            Act::AnswerTwice => {
                send(stream, 200, &id, &head, &body).await?;
                send(stream, 200, &id, &head, b"surplus").await?;
            }
            Act::CutShort => {
                let text = framed(200, &id, &head, &body);
                stream.write_all(&text[..text.len() - body.len() / 2]).await?;
                return Ok(false);
            }
            Act::Unframed => {
                let text =
                    format!("HTTP/1.1 200 OK\r\nfoxtailrouter-request-id: {id}\r\n{head}\r\n");
                stream.write_all(text.as_bytes()).await?;
                stream.write_all(&body).await?;
                return Ok(false);
            }
            Act::Answer | Act::Shed | Act::Silent => send(stream, 200, &id, &head, &body).await?,
        }
        Ok(true)
    }

    /// Works for as long as a request takes; tells whether the caller stayed.
    async fn work(&self, stream: &TcpStream, act: &Act, object: &str) -> bool {
        if *act == Act::Silent {
            return stays(stream, std::future::pending::<()>()).await.is_some();
        }
        stays(stream, tokio::time::sleep(self.takes(object))).await.is_some()
    }

    /// How long the work on `object` takes, which is cached from then on.
    fn takes(&self, object: &str) -> Duration {
        let work = *self.work.lock();
        let mut cached = self.cached.lock();
        let found = cached.iter().position(|held| held == object);
        if let Some(at) = found {
            cached.remove(at);
        }
        cached.push_back(object.to_owned());
        while cached.len() > work.keeps {
            cached.pop_front();
        }
        if found.is_some() { work.warm } else { work.cold }
    }
}

/// What `f` comes to, unless the caller at the other end of `stream` leaves before.
async fn stays<T>(stream: &TcpStream, f: impl Future<Output = T>) -> Option<T> {
    let mut next = [0];
    tokio::select! {
        done = f => Some(done),
        // Nothing may come before the answer but the end.
        _ = stream.peek(&mut next) => None,
    }
}

/// Reads one request; `None` at the end of the connection.
async fn read(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Seen>> {
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
    let line = lines.next().unwrap_or_default().to_owned();
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
    Ok(Some(Seen { line, headers, body, run: false, at: Some(Instant::now()) }))
}

async fn send(
    stream: &mut TcpStream,
    status: u16,
    id: &str,
    head: &str,
    body: &[u8],
) -> io::Result<()> {
    stream.write_all(&framed(status, id, head, body)).await
}

fn framed(status: u16, id: &str, head: &str, body: &[u8]) -> Vec<u8> {
    let len = body.len();
    let head = format!(
        "HTTP/1.1 {status} -\r\nfoxtailrouter-request-id: {id}\r\ncontent-length: {len}\r\n{head}\r\n"
    );
    [head.as_bytes(), body].concat()
}
