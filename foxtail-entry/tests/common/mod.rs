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
use foxtail_standin::caller::{self, Answer, Request};
use foxtail_standin::store::{Store, StoreEndpoint};
use foxtail_standin::upstream::UpstreamServer;
use foxtail_time::{BootClock, Millis};
use tokio::net::TcpStream;

/// The longest that anything in these tests is waited for.
const PATIENCE: Duration = Duration::from_secs(10);

const DIAL: WatchedDial =
    WatchedDial { connect: Millis(400), unacknowledged: Millis(700), probe: Millis(1_000) };

/// A store and what was registered in it.
pub(crate) struct World {
    pub store: Arc<Store>,
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
        let config = foxtail_standin::store::config(version, service, timeout_s);
        self.store.put("op", "config", config.as_bytes());
    }

    /// Starts an upstream of `books` in `zone` and registers it as warm.
    pub(crate) async fn upstream(&self, id: &str, zone: &str) -> UpstreamServer {
        let up = UpstreamServer::start(id, 3).await.expect("a port");
        self.store.put("servers", id, &up.registration("books", zone, "ready", 0.0));
        up
    }

    /// Opens a door to the store.
    pub(crate) async fn door(&self) -> StoreEndpoint {
        StoreEndpoint::open(&self.store).await.expect("a port")
    }

    /// Starts a host that reaches the store through `door`.
    pub(crate) async fn host(&self, name: &str, zone: &str, door: &StoreEndpoint) -> Node {
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
            operator: Some(any),
            store: door.addr(),
            stop_s: 2.0,
            lookup_ttl_s: 1.0,
            retry: Retry { ratio: 0.2, slack: 100.0, window_s: 10.0 },
            refuse_factor: 1.4,
            blocks: Vec::new(),
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
    pub(crate) async fn ready_host(&self, name: &str, zone: &str, door: &StoreEndpoint) -> Node {
        let node = self.host(name, zone, door).await;
        until("the host is ready", async || ready(&node).await).await;
        node
    }
}

/// Whether `node` says that it is ready.
pub(crate) async fn ready(node: &Node) -> bool {
    caller::is_ready(node.settings().health).await
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
    let patience = Duration::from_millis(deadline_ms);
    Request { method, host: "svc.example", path, id, object: 7, timeout: patience, body }.encode()
}

/// Sends `text` to `addr` on a new connection and reads one answer.
pub(crate) async fn exchange(addr: SocketAddr, text: &str) -> Answer {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    talk(&mut stream, text).await
}

/// Sends `text` on `stream` and reads one answer; status 0 if the connection ends without one.
pub(crate) async fn talk(stream: &mut TcpStream, text: &str) -> Answer {
    let talking = caller::exchange(stream, text);
    tokio::time::timeout(PATIENCE, talking).await.expect("an answer in time").expect("sent")
}
