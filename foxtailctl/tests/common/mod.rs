//! A site of two hosts on loopback, and the program under test.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use foxtail_adapter::{HttpProtocol, HttpStore};
use foxtail_entry::{Host, Ports, Settings};
use foxtail_net::KeepaliveDial;
use foxtail_standin::store::{Store, StoreEndpoint};
use foxtail_steer::fleet::HostRecord;
use foxtail_time::{BootClock, Millis};

const DIAL: KeepaliveDial = KeepaliveDial {
    connect_timeout: Millis(400),
    unacknowledged_timeout: Millis(700),
    probe_interval: Millis(1_000),
};

const ZONES: [&str; 2] = ["sabah-a", "sabah-b"];

/// The services of the workspace.
const SERVICES: [&str; 4] = ["certificates", "bookings", "timetables", "assessments"];

/// The upstreams of each service in each zone: enough for the expected load with one zone drained.
const UPSTREAMS_PER_ZONE: usize = 6;

pub(crate) struct TestSite {
    pub(crate) store: Arc<Store>,
    hosts_listener: StoreEndpoint,
    operators_listener: StoreEndpoint,
    hosts: Vec<Host>,
    dir: PathBuf,
}

/// Creates a temporary directory for one test.
pub(crate) fn temp_dir(name: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("foxtailctl-{name}-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Runs `foxtailctl` with `args`.
pub(crate) async fn run_foxtailctl(args: &[&str]) -> Output {
    let mut cmd = tokio::process::Command::new(env!("CARGO_BIN_EXE_foxtailctl"));
    cmd.args(args).output().await.unwrap()
}

/// Returns the standard output followed by the standard error.
pub(crate) fn text(out: &Output) -> String {
    [&out.stdout, &out.stderr].map(|bytes| String::from_utf8_lossy(bytes).into_owned()).concat()
}

/// Parses the standard output as JSON.
pub(crate) fn json(out: &Output) -> serde_json::Value {
    serde_json::from_slice(&out.stdout).unwrap_or_else(|e| panic!("{e}: {}", text(out)))
}

impl TestSite {
    pub(crate) async fn start() -> Self {
        let store = Store::new();
        for zone in ZONES {
            for service in SERVICES {
                for n in 0..UPSTREAMS_PER_ZONE {
                    let row = format!(
                        r#"{{"address":"127.0.0.1:9","info":{{"service":"{service}",
                        "version":"v1","zone":"{zone}","slots":3}},"status":{{"state":"ready",
                        "sequence":1,"cold_remaining_s":0.0}}}}"#
                    );
                    store.put("servers", &format!("{service}-{zone}-{n}"), row.as_bytes());
                }
            }
        }
        let hosts_listener = StoreEndpoint::open(&store).await.unwrap();
        let operators_listener = StoreEndpoint::open_to_operators(&store).await.unwrap();
        let mut hosts = Vec::new();
        for zone in ZONES {
            hosts.push(start_host(zone, hosts_listener.addr()).await);
        }
        let site = Self { store, hosts_listener, operators_listener, hosts, dir: temp_dir("site") };
        site.wait_until_registered().await;
        site
    }

    async fn wait_until_registered(&self) {
        let id = |host: &Host| host.settings().host.clone();
        while !self.hosts.iter().all(|host| self.store.value("hosts", id(host).as_str()).is_some())
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Runs `foxtailctl` with `args` against the store of the site.
    pub(crate) async fn ctl(&self, args: &[&str]) -> Output {
        let store = self.operators_listener.addr().to_string();
        run_foxtailctl(&[&["--store", &store], args].concat()).await
    }

    /// Writes the shipped template and its parameters, with expected load in one region only, and
    /// returns the paths of both files.
    pub(crate) fn shipped_files(&self) -> [String; 2] {
        let shipped = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../templates");
        let read = |name: &str| std::fs::read_to_string(shipped.join(name)).unwrap();
        let mut params: serde_json::Value =
            serde_json::from_str(&read("tali-selamat.params.json")).unwrap();
        for service in params["services"].as_object_mut().unwrap().values_mut() {
            service["expected_per_s"] = serde_json::json!({"sabah": 50});
        }
        [
            self.write_file("template.json", &read("tali-selamat.template.json")),
            self.write_file("params.json", &params.to_string()),
        ]
    }

    /// Creates the workspace from the shipped files.
    pub(crate) async fn create_workspace(&self) {
        let files = self.shipped_files();
        let args = ["workspace", "create", "--template", &files[0], "--params", &files[1]];
        let made = self.ctl(&args).await;
        assert!(made.status.success(), "{}", text(&made));
    }

    /// Writes a file into the site's directory and returns its path.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// Stops one host and returns the record that it was registered with.
    pub(crate) async fn stop_host(&mut self) -> HostRecord {
        let host = self.hosts.pop().unwrap();
        let record = host.settings().record();
        host.stop().await;
        record
    }

    pub(crate) async fn stop(self) {
        for host in self.hosts {
            host.stop().await;
        }
        self.hosts_listener.close().await;
        self.operators_listener.close().await;
        std::fs::remove_dir_all(self.dir).unwrap();
    }
}

async fn start_host(zone: &str, store: SocketAddr) -> Host {
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
        protocol: Arc::new(HttpProtocol),
        store: Arc::new(HttpStore::new(Arc::new(DIAL), store)),
    };
    Host::start(settings, ports).await.unwrap()
}
