//! Servers of a service, which register themselves and run requests in a few slots.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Message};
use crate::platform::Store;
use crate::record::Record;

/// The requests that a server works on at once.
const SLOTS: usize = 3;

/// The requests that wait for a slot; further ones are refused and not run.
const MAX_QUEUE: usize = 9;

/// How often a server looks whether the connection of a request that waits or runs has closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What a server does with a request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// How long it works.
    pub work: Duration,
    /// Whether it works first and reads the rest of a long body then.
    pub reads_late: bool,
    /// The size of its answers, if they are long.
    pub answer_bytes: usize,
}

impl Kind {
    /// Reads a request, works on it and answers in short.
    pub fn plain(work: Duration) -> Self {
        Self { work, reads_late: false, answer_bytes: 0 }
    }
}

/// A running server.
pub struct Server {
    /// Its identifier.
    pub id: String,
    service: String,
    kind: Kind,
    free: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server on a free loopback port and registers it.
    pub fn start(
        store: &Store,
        record: &Arc<Record>,
        id: &str,
        service: &str,
        zone: &str,
        kind: Kind,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            kind,
            free: Mutex::new(SLOTS),
            freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&server);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&shared);
                std::thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(mut request)) = conn.read_head() {
                        if !server.kind.reads_late && conn.read_body(&mut request, false).is_err() {
                            break;
                        }
                        if !server.handle(&mut conn, &mut request) {
                            break;
                        }
                    }
                });
            }
        });
        store.put("servers", id, &server.registration(addr, zone));
        Ok(server)
    }

    fn registration(&self, addr: SocketAddr, zone: &str) -> String {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        format!(
            r#"{{"address":"{addr}","info":{{"service":"{}","version":"v1","zone":"{zone}","slots":{SLOTS}}},"status":{{"state":"ready","sequence":1,"cold_remaining_s":0}},"born":{born}}}"#,
            self.service
        )
    }

    fn load(&self) -> String {
        let running = SLOTS - *self.free.lock().unwrap();
        format!(
            "foxtailrouter-server-load: {running},{},{SLOTS}\r\n",
            self.waiting.load(Ordering::Relaxed)
        )
    }

    /// Waits for a slot; returns whether it got one before the connection closed.
    fn acquire(&self, conn: &Conn) -> bool {
        let mut free = self.free.lock().unwrap();
        while *free == 0 {
            free = self.freed.wait_timeout(free, CHECK_INTERVAL).unwrap().0;
            if *free == 0 && conn.is_closed() {
                return false;
            }
        }
        *free -= 1;
        true
    }

    fn release(&self) {
        *self.free.lock().unwrap() += 1;
        self.freed.notify_one();
    }

    /// Works on a request; returns whether the connection is still open at the end.
    fn work(&self, conn: &Conn) -> bool {
        let mut left = self.kind.work;
        while !left.is_zero() {
            let step = left.min(CHECK_INTERVAL);
            std::thread::sleep(step);
            left -= step;
            if conn.is_closed() {
                return false;
            }
        }
        true
    }

    /// Handles one request and returns whether the connection stays open.
    fn handle(&self, conn: &mut Conn, request: &mut Message) -> bool {
        let id = request.header("foxtailrouter-request-id").to_owned();
        let echo = format!("foxtailrouter-request-id: {id}\r\n");
        let expected = request.header("foxtailrouter-expect-instance").to_owned();
        if !expected.is_empty() && expected != self.id {
            if self.kind.reads_late && conn.read_body(request, false).is_err() {
                return false;
            }
            let headers = format!("{echo}foxtailrouter-instance-id: {}\r\n", self.id);
            return conn.answer("421 Misdirected Request", &headers, b"").is_ok();
        }
        let is_health = request.method() == "GET" && request.target() == "/health";
        if self.waiting.load(Ordering::Relaxed) >= MAX_QUEUE {
            if self.kind.reads_late && conn.read_body(request, false).is_err() {
                return false;
            }
            let headers = format!("{echo}foxtailrouter-not-executed: 1\r\n{}", self.load());
            return conn.answer("503 Service Unavailable", &headers, b"").is_ok();
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let has_slot = self.acquire(conn);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        if !has_slot {
            return false;
        }
        if is_health {
            self.release();
            let headers = format!("foxtailrouter-instance-id: {}\r\n{}", self.id, self.load());
            return conn.answer("200 OK", &headers, b"").is_ok();
        }
        self.record.runs(&id, &self.id, request.body_len, request.body_sum);
        let mut open = self.work(conn);
        if open && self.kind.reads_late {
            open = conn.read_body(request, false).is_ok();
        }
        if !open {
            self.release();
            self.record.ran(&id, &self.id, false);
            return false;
        }
        let seal = format!("foxtailrouter-server-seal: {}.{id}\r\n", self.id);
        let mut body = format!("answer to {id} by {}\n", self.id).into_bytes();
        body.resize(body.len().max(self.kind.answer_bytes), b'.');
        let headers = format!("{echo}{seal}keep-alive: timeout=10\r\n{}", self.load());
        let sent = conn.answer("200 OK", &headers, &body).is_ok();
        self.release();
        self.record.ran(&id, &self.id, sent);
        sent
    }
}
