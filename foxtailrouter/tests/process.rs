//! Hosts as separate processes: settings, look-up, requests and a graceful stop by signal.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use foxtail_lab::fleet::Upstreams;
use foxtail_lab::operator::Operator;
use foxtail_lab::shape::{Shape, tali_selamat};
use foxtail_net::TcpDial;
use foxtail_net::http::{Client, Options as HttpOptions, body_of, client};
use foxtail_platform::{HostEntry, HostState};
use foxtail_standin::net::{Fabric, Options as NetOptions};
use foxtail_standin::platform::{Options, Platform, Server};
use foxtail_types::prelude::*;
use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

const SEED: u64 = 5;
/// How long hosts may take until they take traffic.
const READY: Duration = Duration::from_secs(30);
/// How long a new host may take until the others find it.
const SEEN: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(100);
const REQUESTS_DURING_STOP: usize = 60;

/// A host process, ended when dropped.
struct Host {
    child: Child,
    entry: HostEntry,
    log: Option<std::thread::JoinHandle<()>>,
}

struct Site {
    platform: Server,
    upstreams: Upstreams,
    fabric: std::sync::Arc<Fabric>,
    dir: PathBuf,
}

impl Site {
    async fn start(name: &str) -> Self {
        let shape = Shape { hosts_per_zone: 1, ..tali_selamat() };
        let options = NetOptions { zone_round_trip: Millis::ZERO, client_round_trip: Millis::ZERO };
        let fabric = Fabric::new(&shape.network, options);
        let platform = Server::start(Platform::new(&Options::default())).await.unwrap();
        let upstreams = Upstreams::start(&shape, &fabric, SEED, &|_| {}).await.unwrap();
        let operator = Operator::new(std::sync::Arc::clone(platform.platform()));
        operator.configure(&shape, &upstreams.addrs()).await.unwrap();
        let dir = std::env::temp_dir().join(format!("foxtail-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Self { platform, upstreams, fabric, dir }
    }

    fn host(&self, name: &str, zone: &str) -> Host {
        let settings = json!({
            "host": name,
            "incarnation": 1,
            "region": "peninsula",
            "zone": zone,
            "caller": "127.0.0.1:0",
            "peer": "127.0.0.1:0",
            "operator": "127.0.0.1:0",
            "platform": [self.platform.addr()],
            "operators": [{"name": "test", "token": "a-token-of-some-length"}],
        });
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        Host::start(&path, name, zone)
    }

    async fn stop(self) {
        self.upstreams.stop().await;
        self.platform.stop().await;
        self.fabric.close().await;
        std::fs::remove_dir_all(&self.dir).unwrap();
    }
}

impl Host {
    fn start(settings: &Path, name: &str, zone: &str) -> Self {
        let mut child = command(settings).stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let started = lines
            .by_ref()
            .map(Result::unwrap)
            .find(|line| line.contains("event=host_started"))
            .expect("the host says where it listens");
        let log = std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        let entry = HostEntry {
            id: name.parse().unwrap(),
            incarnation: 1,
            region: "peninsula".parse().unwrap(),
            zone: zone.parse().unwrap(),
            caller: field(&started, "caller="),
            peer: field(&started, "peer="),
            operator: field(&started, "operator="),
            state: HostState::Live,
        };
        Self { child, entry, log: Some(log) }
    }

    /// Tells the process to stop and waits for it. Tells whether it ended well.
    fn terminate(mut self) -> bool {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, Signal::TERM).unwrap();
        let status = self.child.wait().unwrap();
        self.log.take().unwrap().join().unwrap();
        status.success()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if !matches!(self.child.try_wait(), Ok(Some(_))) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_serve_as_processes_and_stop_gracefully() {
    let site = Site::start("serve").await;
    let (first, second) = (site.host("one", "peninsula-a"), site.host("two", "peninsula-b"));
    site.platform.platform().set_hosts(vec![first.entry.clone(), second.entry.clone()]);
    let http = client(std::sync::Arc::new(TcpDial), &HttpOptions::default());
    for host in [&first, &second] {
        ready(&http, host.entry.caller).await;
    }
    both_found(&http, first.entry.caller).await;
    booked_once(&http, &site, [first.entry.caller, second.entry.caller]).await;
    let asking = during_stop(&http, second.entry.caller);
    let stopping = tokio::task::spawn_blocking(move || first.terminate());
    let (statuses, stopped) = tokio::join!(asking, stopping);
    assert!(stopped.unwrap(), "the host ends well");
    assert!(statuses.iter().all(StatusCode::is_success), "{statuses:?}");
    assert!(tokio::task::spawn_blocking(move || second.terminate()).await.unwrap());
    site.stop().await;
}

#[test]
fn wrong_settings_are_refused_with_the_field() {
    let dir = std::env::temp_dir().join(format!("foxtail-settings-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("settings.json");
    let cases = [
        (r#"{"host": 7}"#, "invalid type"),
        (r#"{"host": "a", "hots": "b"}"#, "unknown field `hots`"),
        (r#"{"host": "UPPER"}"#, "is no valid name"),
        ("not json", "expected"),
    ];
    for (text, wanted) in cases {
        std::fs::write(&path, text).unwrap();
        let output = command(&path).arg("--check").output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{text}");
        assert!(said.contains(wanted), "{text}: {said}");
    }
    std::fs::remove_dir_all(&dir).unwrap();
}

/// Waits until a look-up at `host` finds both hosts.
async fn both_found(http: &Client, host: SocketAddr) {
    let path = "/-/lookup?workspace=tali-selamat&service=bookings";
    let waiting = async {
        loop {
            let (status, found) = get(http, host, path).await;
            assert_eq!(status, StatusCode::OK, "{found}");
            if found["hosts"].as_array().unwrap().len() == 2 {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(SEEN, waiting).await.expect("both hosts are found in time");
}

/// Books one seat through both hosts with one key: it runs once, and both get the same answer.
async fn booked_once(http: &Client, site: &Site, hosts: [SocketAddr; 2]) {
    let key = Key::fresh().to_string();
    let mut answers = Vec::new();
    for host in hosts {
        let req = Request::post(format!("http://{host}/bookings"))
            .header("x-foxtail-workspace", "tali-selamat")
            .header("x-foxtail-service", "bookings")
            .header("x-foxtail-deadline-ms", "5000")
            .header("x-foxtail-key", &key)
            .body(body_of("seat 4"))
            .unwrap();
        let answer = http.request(req).await.unwrap();
        assert_eq!(answer.headers()["x-foxtail-outcome"], "answered");
        answers.push(answer.into_body().collect().await.unwrap().to_bytes());
    }
    assert_eq!(answers[0], answers[1]);
    let runs = site.upstreams.audit().runs_of_key(&key);
    assert_eq!(runs, 1);
}

/// Asks for certificates while another host stops.
async fn during_stop(http: &Client, host: SocketAddr) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for n in 0..REQUESTS_DURING_STOP {
        let req = Request::get(format!("http://{host}/certificates/{n}"))
            .header("x-foxtail-workspace", "tali-selamat")
            .header("x-foxtail-service", "certificates")
            .body(body_of(""))
            .unwrap();
        let answer = http.request(req).await.unwrap();
        statuses.push(answer.status());
        answer.into_body().collect().await.unwrap();
        tokio::time::sleep(POLL).await;
    }
    statuses
}

async fn ready(http: &Client, host: SocketAddr) {
    let waiting = async {
        loop {
            let (_, health) = get(http, host, "/-/health").await;
            if health["phase"] == "Serving" {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(READY, waiting).await.expect("the host takes traffic");
}

async fn get(http: &Client, host: SocketAddr, path: &str) -> (StatusCode, Value) {
    let req = Request::get(format!("http://{host}{path}")).body(body_of("")).unwrap();
    let answer = http.request(req).await.unwrap();
    let status = answer.status();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

fn command(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foxtailrouter"));
    command.arg("--config").arg(settings);
    command
}

/// The address that follows `name` in a log line.
fn field(line: &str, name: &str) -> SocketAddr {
    let value = line.split_whitespace().find_map(|word| word.strip_prefix(name)).unwrap();
    value.trim_matches('"').parse().unwrap()
}
