//! Hosts, upstreams and the store on loopback, and a caller.

#![allow(dead_code, reason = "each test uses a part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtail_adapter::{HttpStore, Wire};
use foxtail_entry::settings::Retry;
use foxtail_entry::{Node, Ports, Settings};
use foxtail_net::WatchedDial;
use foxtail_standin::service::Service;
use foxtail_standin::store::{Door, Store};
use foxtail_time::{BootClock, Millis};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest that anything in these tests is waited for.
const PATIENCE: Duration = Duration::from_secs(10);

const DIAL: WatchedDial =
    WatchedDial { connect: Millis(400), unacknowledged: Millis(700), probe: Millis(1_000) };

/// A store and what was registered in it.
pub(crate) struct World {
    pub store: Arc<Store>,
}

/// An answer as a caller gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Got {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Whether the body was complete by its own framing.
    pub whole: bool,
}

impl World {
    pub(crate) fn new() -> Self {
        Self { store: Store::new() }
    }

    /// Writes a configuration with two routes: `/read/` may be repeated, `/write/` may not.
    pub(crate) fn configure(&self, version: u64) {
        self.configure_with(version, "books", 2.0);
    }

    pub(crate) fn configure_with(&self, version: u64, service: &str, timeout_s: f64) {
        let route = |name: &str, kind: &str| {
            format!(
                r#"{{"name":"{name}","host":"svc.example","prefix":"/{name}/","kind":"{kind}",
                "timeout_s":{timeout_s},"latency_goal_s":0.3,"priority":1,"service":"{service}",
                "max_attempts":2,"session_affinity":true,"home_regions":[]}}"#
            )
        };
        let service = |name: &str| {
            format!(
                r#"{{"name":"{name}","health_path":"/health","max_connections":660,
                "protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":5.0}}"#
            )
        };
        let config = format!(
            r#"{{"version":{version},"routes":[{},{}],"services":[{},{}],"limits":{{
            "max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,
            "idle_timeout_s":15}},"base_version":1}}"#,
            route("read", "idempotent"),
            route("write", "non_idempotent"),
            service("books"),
            service("seats"),
        );
        self.store.put("op", "config", config.as_bytes());
    }

    /// Starts an upstream of `books` in `zone` and registers it as warm.
    pub(crate) async fn upstream(&self, id: &str, zone: &str) -> Service {
        let up = Service::start(id, 3).await.expect("a port");
        self.store.put("servers", id, &up.registration("books", zone, "ready", 0.0));
        up
    }

    /// Opens a door to the store.
    pub(crate) async fn door(&self) -> Door {
        Door::open(&self.store).await.expect("a port")
    }

    /// Starts a host that reaches the store through `door`.
    pub(crate) async fn host(&self, name: &str, zone: &str, door: &Door) -> Node {
        let zones = BTreeMap::from([
            ("a1".parse().unwrap(), "a".parse().unwrap()),
            ("a2".parse().unwrap(), "a".parse().unwrap()),
            ("b1".parse().unwrap(), "b".parse().unwrap()),
        ]);
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let settings = Settings {
            host: name.parse().unwrap(),
            region: zone[..1].parse().unwrap(),
            zone: zone.parse().unwrap(),
            zones,
            caller: any,
            lookup: any,
            health: any,
            peer: any,
            metrics: Some(any),
            store: door.addr(),
            stop_s: 2.0,
            lookup_ttl_s: 1.0,
            retry: Retry { ratio: 0.2, slack: 100.0, window_s: 10.0 },
            refuse_factor: 1.4,
            shift_cap: 0.15,
        };
        let ports = Ports {
            dial: Arc::new(DIAL),
            clock: Arc::new(BootClock),
            dialect: Arc::new(Wire),
            store: Arc::new(HttpStore::new(Arc::new(DIAL), door.addr())),
        };
        Node::start(settings, ports).await.expect("a host")
    }

    /// Starts a host and waits until it is ready.
    pub(crate) async fn ready_host(&self, name: &str, zone: &str, door: &Door) -> Node {
        let node = self.host(name, zone, door).await;
        until("the host is ready", async || ready(&node).await).await;
        node
    }
}

/// Whether `node` says that it is ready.
pub(crate) async fn ready(node: &Node) -> bool {
    let health = node.settings().health;
    exchange(health, "GET /readiness HTTP/1.1\r\nhost: h\r\n\r\n").await.status == 200
}

/// The entry hosts that `node` names to a caller in region a.
pub(crate) async fn entries(node: &Node) -> String {
    let lookup = node.settings().lookup;
    let head = "GET /resolve?name=svc.example&region=a&zone=a1 HTTP/1.1\r\nhost: h\r\n\r\n";
    exchange(lookup, head).await.body
}

/// The value of `node`'s metric `name`, which has no labels.
pub(crate) async fn metric(node: &Node, name: &str) -> Option<f64> {
    let addr = node.settings().metrics?;
    let page = exchange(addr, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").await.body;
    page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix("{} ")?.parse().ok())
}

/// Waits until `holds`.
pub(crate) async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let end = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < end, "waited in vain until {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A caller's request.
pub(crate) fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    let len = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: svc.example\r\nFoxtailrouter-Request-Id: {id}\r\n\
         Foxtailrouter-Affinity-Key: 7\r\nFoxtailrouter-Deadline-Ms: {deadline_ms}\r\n\
         Content-Length: {len}\r\n\r\n{body}"
    )
}

/// Sends `text` to `addr` on a new connection and reads one answer.
pub(crate) async fn exchange(addr: SocketAddr, text: &str) -> Got {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    talk(&mut stream, text).await
}

/// Sends `text` on `stream` and reads one answer; status 0 if the connection ends without one.
pub(crate) async fn talk(stream: &mut TcpStream, text: &str) -> Got {
    stream.write_all(text.as_bytes()).await.expect("written");
    let reading = async {
        let mut buf = Vec::new();
        loop {
            if let Some(got) = parse(&buf, false) {
                return got;
            }
            if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
                let none =
                    Got { status: 0, headers: BTreeMap::new(), body: String::new(), whole: false };
                return parse(&buf, true).unwrap_or(none);
            }
        }
    };
    tokio::time::timeout(PATIENCE, reading).await.expect("an answer in time")
}

fn parse(buf: &[u8], ended: bool) -> Option<Got> {
    let head_len = buf.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buf[..head_len]);
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let body = String::from_utf8_lossy(&buf[head_len..]).into_owned();
    let whole = match headers.get("content-length").and_then(|len| len.parse::<usize>().ok()) {
        Some(len) => body.len() >= len,
        None => body.ends_with("0\r\n\r\n"),
    };
    (whole || ended).then_some(Got { status, headers, body, whole })
}
