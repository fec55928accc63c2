//! Servers: slots and a queue, registration and pings, crashes, cold times.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, read_message, write_message};
use crate::record::Record;
use crate::store::Store;

/// How often a server writes to the store.
const PING: Duration = Duration::from_millis(1_500);

/// The most requests that wait for a slot.
const QUEUE: u32 = 9;

/// What a server has and does, the same for all starts of it.
#[derive(Clone, Debug)]
pub struct Kind {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub work: Duration,
    /// How long it is down after a crash.
    pub down: Duration,
    /// How long it is cold after a start during traffic.
    pub cold: Duration,
    /// How many requests in one second it bears while it is cold; with one more it crashes.
    pub cold_most: usize,
    /// The share of its answers in which it spoils some bytes of the head.
    pub spoils: f64,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub path: String,
    /// Whether the server was cold, and since when.
    pub cold_since: Option<Instant>,
}

struct State {
    id: String,
    born_ms: u128,
    up: bool,
    sequence: u64,
    running: u32,
    waiting: u32,
    cold: Option<(Instant, Instant)>,
    /// The requests a second that it names as its limit, and when it first did.
    limit: Option<f64>,
    limit_named: Option<Instant>,
    conns: Vec<TcpStream>,
    crashes: u32,
}

pub struct Server {
    pub name: String,
    pub kind: Kind,
    pub addr: SocketAddr,
    /// Requests for paths with this in them crash it.
    pub deadly: &'static str,
    store: Arc<Store>,
    state: Mutex<State>,
    freed: Condvar,
    arrivals: Mutex<Vec<Arrival>>,
    health_checks: AtomicU64,
    ended: AtomicBool,
    answers: AtomicU64,
    seed: Mutex<u64>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(
        name: &str,
        kind: Kind,
        deadly: &'static str,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            id: format!("i-{name}-0"),
            born_ms: unix_ms(),
            up: true,
            sequence: 0,
            running: 0,
            waiting: 0,
            cold: None,
            limit: None,
            limit_named: None,
            conns: Vec::new(),
            crashes: 0,
        };
        let server = Arc::new(Self {
            name: name.to_owned(),
            kind,
            addr: listener.local_addr().expect("an address"),
            deadly,
            store: Arc::clone(store),
            state: Mutex::new(state),
            freed: Condvar::new(),
            arrivals: Mutex::default(),
            health_checks: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            seed: Mutex::new(name.bytes().map(u64::from).sum()),
            record: Arc::clone(record),
        });
        server.register();
        server.listen(listener);
        let pinging = Arc::clone(&server);
        thread::spawn(move || {
            while !pinging.ended.load(Ordering::Relaxed) {
                thread::sleep(PING);
                if pinging.state.lock().unwrap().up {
                    pinging.register();
                }
            }
        });
        server
    }

    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Lets it name a limit in all answers from now on.
    pub fn name_limit(&self, per_s: f64) {
        self.state.lock().unwrap().limit = Some(per_s);
    }

    /// When it first named its limit.
    pub fn limit_named(&self) -> Option<Instant> {
        self.state.lock().unwrap().limit_named
    }

    pub fn health_checks(&self) -> u64 {
        self.health_checks.load(Ordering::Relaxed)
    }

    /// Makes it cold from now on for its cold time.
    pub fn become_cold(&self) {
        let now = Instant::now();
        self.state.lock().unwrap().cold = Some((now, now + self.kind.cold));
        self.record.line(&format!("server {} is cold for {:?}", self.name, self.kind.cold));
        self.register();
    }

    fn cold_left(state: &State, now: Instant) -> Duration {
        state.cold.map_or(Duration::ZERO, |(_, until)| until.saturating_duration_since(now))
    }

    /// Writes the entry and a ping. Nothing comes of it while the store is down.
    fn register(&self) {
        let (id, entry) = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            let cold = Self::cold_left(&state, Instant::now()).as_secs_f64();
            let entry = format!(
                concat!(
                    r#"{{"address":"{}","info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},"#,
                    r#""status":{{"state":"ready","sequence":{},"cold_remaining_s":{:.3}}},"born":{}}}"#
                ),
                self.addr,
                self.kind.service,
                self.kind.zone,
                self.kind.slots,
                // The entry changes when more than `sequence` changes.
                if cold > 0.0 { state.sequence } else { 0 },
                cold,
                state.born_ms,
            );
            (state.id.clone(), entry)
        };
        self.store.put("servers", &id, &entry);
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let server = Arc::clone(self);
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            loop {
                if !server.state.lock().unwrap().up || server.ended.load(Ordering::Relaxed) {
                    return;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(conn) = stream.try_clone() {
                            server.state.lock().unwrap().conns.push(conn);
                        }
                        let server = Arc::clone(&server);
                        thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut buf) {
            if !self.state.lock().unwrap().up || !self.handle(&mut stream, &request) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Answers a request; `false` if the connection ends instead.
    fn handle(self: &Arc<Self>, stream: &mut TcpStream, request: &Message) -> bool {
        let now = Instant::now();
        let path = request.second_word().to_owned();
        let id = request.header("foxtailrouter-request-id").unwrap_or_default().to_owned();
        let own_id = self.state.lock().unwrap().id.clone();
        if path == "/health" {
            self.health_checks.fetch_add(1, Ordering::Relaxed);
            let mut headers = vec![("foxtailrouter-instance-id", own_id)];
            let cold_left = Self::cold_left(&self.state.lock().unwrap(), now);
            if !cold_left.is_zero() {
                headers.push(("foxtailrouter-cold-ms", cold_left.as_millis().to_string()));
            }
            return write_message(stream, "HTTP/1.1 200 OK", &headers, b"").is_ok();
        }
        let echo = ("foxtailrouter-request-id", id.clone());
        if request.header("foxtailrouter-expect-instance").is_some_and(|want| want != own_id) {
            let headers = [echo, ("foxtailrouter-instance-id", own_id)];
            return write_message(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"")
                .is_ok();
        }
        let cold_since = {
            let state = self.state.lock().unwrap();
            state.cold.filter(|(_, until)| now < *until).map(|(since, _)| since)
        };
        let arrival = Arrival { at: now, id: id.clone(), path: path.clone(), cold_since };
        self.record.line(&format!("{} gets {id}", self.name));
        let in_last_second = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(arrival);
            let recent = |arrival: &&Arrival| now - arrival.at < Duration::from_secs(1);
            arrivals.iter().rev().take_while(recent).filter(|at| at.cold_since.is_some()).count()
        };
        if cold_since.is_some() && in_last_second > self.kind.cold_most {
            self.record.line(&format!(
                "server {} crashes: {in_last_second} requests in one second while it is cold",
                self.name
            ));
            self.crash(false);
            return false;
        }
        let not_run = ("foxtailrouter-not-executed", "1".to_owned());
        {
            let mut state = self.state.lock().unwrap();
            if state.running >= self.kind.slots && state.waiting >= QUEUE {
                drop(state);
                return write_message(stream, "HTTP/1.1 503 -", &[echo, not_run], b"").is_ok();
            }
            state.waiting += 1;
            while state.running >= self.kind.slots && state.up {
                state = self.freed.wait(state).unwrap();
            }
            state.waiting -= 1;
            if !state.up {
                return false;
            }
            state.running += 1;
        }
        if !self.deadly.is_empty() && path.contains(self.deadly) {
            self.record.line(&format!("server {} begins to run {id} and crashes", self.name));
            self.crash(false);
            return false;
        }
        self.record.line(&format!("{} runs {id}", self.name));
        let factor = if cold_since.is_some() { 2 } else { 1 };
        thread::sleep(self.kind.work * factor);
        let (up, load, limit) = {
            let mut state = self.state.lock().unwrap();
            state.running = state.running.saturating_sub(1);
            self.freed.notify_one();
            if state.limit.is_some() && state.up {
                state.limit_named.get_or_insert_with(Instant::now);
            }
            let load = format!("{},{},{}", state.running, state.waiting, self.kind.slots);
            (state.up, load, state.limit)
        };
        let mut headers = vec![
            echo,
            ("foxtailrouter-server-seal", format!("{}.{id}", self.name)),
            ("foxtailrouter-server-load", load),
        ];
        headers.extend(limit.map(|per_s| ("server-limit", per_s.to_string())));
        let body = format!("{} ran {id}", self.name);
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        let (now, before) = (number + 1, number);
        if up && (now as f64 * self.kind.spoils) as u64 > (before as f64 * self.kind.spoils) as u64
        {
            return self.spoil(stream, &headers, body.as_bytes());
        }
        up && write_message(stream, "HTTP/1.1 200 OK", &headers, body.as_bytes()).is_ok()
    }

    /// Sends an answer with two wrong bytes in the lines behind its first one. The connection ends with it.
    fn spoil(&self, stream: &mut TcpStream, headers: &[(&str, String)], body: &[u8]) -> bool {
        let lines: Vec<String> =
            headers.iter().map(|(name, value)| format!("{name}: {value}")).collect();
        let mut lines = lines.join("\r\n").into_bytes();
        for _ in 0..2 {
            let letter = b'a' + (self.random() % 26) as u8;
            let at = self.random() as usize % lines.len();
            if !b"\r\n: ".contains(&lines[at]) {
                lines[at] = letter;
            }
        }
        self.record.line(&format!(
            "server {} spoils: {}",
            self.name,
            String::from_utf8_lossy(&lines).replace("\r\n", " | ")
        ));
        let mut text = b"HTTP/1.1 200 OK\r\n".to_vec();
        text.extend_from_slice(&lines);
        text.extend_from_slice(format!("\r\ncontent-length: {}\r\n\r\n", body.len()).as_bytes());
        text.extend_from_slice(body);
        let _ = stream.write_all(&text);
        false
    }

    /// Returns the next of a fixed sequence of numbers that look random.
    fn random(&self) -> u64 {
        let mut seed = self.seed.lock().unwrap();
        *seed =
            seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        *seed >> 33
    }

    /// Ends all connections, and starts again after a while, cold, under its old id or a new one.
    pub fn crash(self: &Arc<Self>, keeps_id: bool) {
        {
            let mut state = self.state.lock().unwrap();
            state.up = false;
            state.crashes += 1;
            for conn in state.conns.drain(..) {
                let _ = conn.shutdown(Shutdown::Both);
            }
            self.freed.notify_all();
        }
        let server = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(server.kind.down);
            let Some(listener) = listen_again(server.addr) else { return };
            let now = Instant::now();
            let old_id = {
                let mut state = server.state.lock().unwrap();
                let old_id = state.id.clone();
                if !keeps_id {
                    state.id = format!("i-{}-{}", server.name, state.crashes);
                }
                state.born_ms = unix_ms();
                (state.sequence, state.running, state.waiting) = (0, 0, 0);
                state.cold =
                    Some((now, now + server.kind.cold)).filter(|_| !server.kind.cold.is_zero());
                state.up = true;
                old_id
            };
            if !keeps_id {
                server.store.remove("servers", &old_id);
            }
            server.record.line(&format!("server {} is back", server.name));
            server.register();
            server.listen(listener);
        });
    }
}

fn listen_again(addr: SocketAddr) -> Option<TcpListener> {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(addr) {
            return Some(listener);
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
