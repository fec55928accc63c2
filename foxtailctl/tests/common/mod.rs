//! A small site on loopback, and the program under test.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use foxtail_adapter::{HttpStore, Wire};
use foxtail_entry::{Node, Ports, Settings};
use foxtail_net::WatchedDial;
use foxtail_standin::store::{Store, StoreEndpoint};
use foxtail_steer::fleet::Record;
use foxtail_time::{BootClock, Millis};

const DIAL: WatchedDial =
    WatchedDial { connect: Millis(400), unacknowledged: Millis(700), probe: Millis(1_000) };

const ZONES: [&str; 2] = ["sabah-a", "sabah-b"];

/// The workspace's services, and how many upstreams each has in a zone: enough for all its load.
const SERVICES: [&str; 4] = ["certificates", "bookings", "timetables", "assessments"];
const UPSTREAMS: usize = 6;

pub(crate) struct Site {
    pub(crate) store: Arc<Store>,
    hosts_door: StoreEndpoint,
    door: StoreEndpoint,
    nodes: Vec<Node>,
    dir: PathBuf,
}

/// A directory of its own for a test.
pub(crate) fn dir(name: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("foxtailctl-{name}-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Runs the program.
pub(crate) async fn run(args: &[&str]) -> Output {
    let mut cmd = tokio::process::Command::new(env!("CARGO_BIN_EXE_foxtailctl"));
    cmd.args(args).output().await.unwrap()
}

/// Everything that was printed.
pub(crate) fn text(out: &Output) -> String {
    [&out.stdout, &out.stderr].map(|bytes| String::from_utf8_lossy(bytes).into_owned()).concat()
}

/// What was printed as JSON.
pub(crate) fn json(out: &Output) -> serde_json::Value {
    serde_json::from_slice(&out.stdout).unwrap_or_else(|e| panic!("{e}: {}", text(out)))
}

impl Site {
    pub(crate) async fn start() -> Self {
        let store = Store::new();
        for zone in ZONES {
            for service in SERVICES {
                for n in 0..UPSTREAMS {
                    let row = format!(
                        r#"{{"address":"127.0.0.1:9","info":{{"service":"{service}",
                        "version":"v1","zone":"{zone}","slots":3}},"status":{{"state":"ready",
                        "sequence":1,"cold_remaining_s":0.0}}}}"#
                    );
                    store.put("servers", &format!("{service}-{zone}-{n}"), row.as_bytes());
                }
            }
        }
        let hosts_door = StoreEndpoint::open(&store).await.unwrap();
        let door = StoreEndpoint::open_to_operators(&store).await.unwrap();
        let mut nodes = Vec::new();
        for zone in ZONES {
            nodes.push(node(zone, hosts_door.addr()).await);
        }
        let site = Self { store, hosts_door, door, nodes, dir: dir("site") };
        site.registered().await;
        site
    }

    async fn registered(&self) {
        let host = |node: &Node| node.settings().host.clone();
        while !self.nodes.iter().all(|n| self.store.value("hosts", host(n).as_str()).is_some()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Runs the program over the site's store.
    pub(crate) async fn ctl(&self, args: &[&str]) -> Output {
        let store = self.door.addr().to_string();
        run(&[&["--store", &store], args].concat()).await
    }

    /// The template and the parameters as they are shipped, with load of one region only.
    pub(crate) fn shipped(&self) -> [String; 2] {
        let shipped = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../templates");
        let read = |name: &str| std::fs::read_to_string(shipped.join(name)).unwrap();
        let mut params: serde_json::Value =
            serde_json::from_str(&read("tali-selamat.params.json")).unwrap();
        for service in params["services"].as_object_mut().unwrap().values_mut() {
            service["expected_per_s"] = serde_json::json!({"sabah": 50});
        }
        [
            self.file("template.json", &read("tali-selamat.template.json")),
            self.file("params.json", &params.to_string()),
        ]
    }

    /// Makes the shipped workspace.
    pub(crate) async fn create(&self) {
        let files = self.shipped();
        let args = ["workspace", "create", "--template", &files[0], "--params", &files[1]];
        let made = self.ctl(&args).await;
        assert!(made.status.success(), "{}", text(&made));
    }

    pub(crate) fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// Stops one host and tells how it was registered.
    pub(crate) async fn stop_host(&mut self) -> Record {
        let node = self.nodes.pop().unwrap();
        let record = node.settings().record();
        node.stop().await;
        record
    }

    pub(crate) async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
        self.hosts_door.close().await;
        self.door.close().await;
        std::fs::remove_dir_all(self.dir).unwrap();
    }
}

async fn node(zone: &str, store: SocketAddr) -> Node {
    let settings = serde_json::json!({
        "host": format!("{zone}-1"), "region": "sabah", "zone": zone,
        "zones": {"sabah-a": "sabah", "sabah-b": "sabah"},
        "caller": "127.0.0.1:0", "lookup": "127.0.0.1:0", "health": "127.0.0.1:0",
        "peer": "127.0.0.1:0", "metrics": null, "operator": "127.0.0.1:0", "store": store,
        "stop_s": 1.0, "lookup_ttl_s": 1.0, "shift_cap": 0.15,
        "retry": {"ratio": 0.2, "slack": 100.0, "window_s": 10.0},
    });
    let settings = Settings::parse(&settings.to_string()).unwrap();
    let ports = Ports {
        dial: Arc::new(DIAL),
        clock: Arc::new(BootClock),
        dialect: Arc::new(Wire),
        store: Arc::new(HttpStore::new(Arc::new(DIAL), store)),
    };
    Node::start(settings, ports).await.unwrap()
}
