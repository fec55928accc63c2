//! A host process keeps to its memory and serves other callers while upstreams, callers, hosts or the store
//! send without end.

#![allow(clippy::print_stdout, reason = "the test reports what it measures")]

#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/host.rs"]
mod host;
#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/links.rs"]
mod links;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use foxtail_standin::caller::{Request, exchange, is_ready};
use foxtail_standin::store::{Store, StoreEndpoint};
use foxtail_standin::upstream::{Behavior, UpstreamServer};
use host::{GRANT_BYTES, Host};
use links::Links;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// How many peers send without end at the same time.
const PEERS: usize = 300;

/// The slots of the upstream.
const SLOTS: u32 = 2_000;

/// Requests that a host of the smallest size has at the same time if they take all of the descriptors that the
/// platform grants it: 2,870, of which 200 are for files, and two for each request.
const REQUESTS_AT_ONCE: usize = 1_335;

/// How long their work takes, and how long they may take in all beside a busy machine.
const WORK: Duration = Duration::from_secs(5);
const LONG_DEADLINE: Duration = Duration::from_secs(30);

/// How long requests may take, and their connections after that.
const DEADLINE: Duration = Duration::from_secs(2);
const SLACK: Duration = Duration::from_secs(3);

/// The pause between requests of other callers, and how many of 100 of them have to be served.
const OTHERS_PAUSE: Duration = Duration::from_millis(50);
const SERVED_PERCENT: usize = 95;

/// One process at a time, so that the figures of one are not those of a busy machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

struct Site {
    host: Host,
    dir: PathBuf,
    up: UpstreamServer,
    _other_up: UpstreamServer,
    _endpoint: StoreEndpoint,
}

/// What became of the connections of peers that sent without end.
#[derive(Default)]
struct Peers {
    ended: Arc<AtomicUsize>,
}

impl Site {
    /// Starts a host with `/read/` and `/write/` at an upstream that tests let send without end, and
    /// `/other/` at one that answers.
    async fn start(name: &str, timeout: Duration) -> Self {
        let dir = format!("foxtail-memory-{name}-{}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        std::fs::create_dir_all(&dir).expect("the directory is created");
        let store = Store::new();
        let config = foxtail_standin::store::config(7, "books", timeout.as_secs_f64());
        let mut config: serde_json::Value = serde_json::from_str(&config).unwrap();
        let mut other = config["routes"][0].clone();
        other["name"] = "other".into();
        other["prefix"] = "/other/".into();
        other["service"] = "seats".into();
        config["routes"].as_array_mut().unwrap().push(other);
        config["limits"]["max_body_bytes"] = (64 << 20).into();
        store.put("op", "config", config.to_string().as_bytes());
        // There is a slot for each request, so that the host sends all of them.
        let up = UpstreamServer::start("u-1", SLOTS).await.expect("a free port");
        let other_up = UpstreamServer::start("u-2", 8).await.expect("a free port");
        store.put("servers", "u-1", &up.registration("books", "a1", "ready", 0.0));
        store.put("servers", "u-2", &other_up.registration("seats", "a1", "ready", 0.0));
        let endpoint = StoreEndpoint::open(&store).await.expect("a free port");
        let mut host = Host::new(&dir, 1, "a1", endpoint.addr(), &Arc::<Links>::default());
        host.start();
        let end = Instant::now() + Duration::from_secs(15);
        while !is_ready(host.health_addr).await {
            assert!(Instant::now() < end, "the host does not start");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Self { host, dir, up, _other_up: other_up, _endpoint: endpoint }
    }

    /// Sends requests of another caller while `peers` are at work, and checks what both get.
    async fn check(&mut self, what: &str, peers: JoinSet<()>, ended: &AtomicUsize) {
        let started = Instant::now();
        let (mut served, mut sent) = (0, 0);
        let mut peers = peers;
        while started.elapsed() < DEADLINE + SLACK && ended.load(Ordering::Relaxed) < PEERS {
            sent += 1;
            match self.ask_as_other_caller(sent).await {
                Ok(()) => served += 1,
                Err(why) => println!("{what}: request {sent} of another caller: {why}"),
            }
            tokio::time::sleep(OTHERS_PAUSE).await;
        }
        let took = started.elapsed();
        let ended = ended.load(Ordering::Relaxed);
        peers.abort_all();
        while peers.join_next().await.is_some() {}
        let exit_code = self.host.take_exit_code();
        assert_eq!(exit_code, None, "{what}: the host has ended");
        let peak = self.host.peak_memory().expect("the host runs");
        println!(
            "{what}: {ended} of {PEERS} ended after {took:?}, {served} of {sent} others served, {} MB at most",
            peak / 1_000_000
        );
        assert!(peak < GRANT_BYTES, "{what}: {peak} bytes");
        assert_eq!(ended, PEERS, "{what}: connections are still open");
        assert!(served * 100 >= sent * SERVED_PERCENT, "{what}: {served} of {sent} served");
    }

    /// Sends a request of another caller, and returns why it was not served if it was not.
    async fn ask_as_other_caller(&self, n: usize) -> Result<(), String> {
        let id = format!("other-{n}");
        let request = Request {
            method: "GET",
            host: "svc.example",
            path: "/other/1",
            id: &id,
            object: 1,
            timeout: DEADLINE,
            body: "",
        };
        let asking = async {
            let mut stream = TcpStream::connect(self.host.caller_addr).await?;
            exchange(&mut stream, &request.encode()).await
        };
        match tokio::time::timeout(DEADLINE, asking).await {
            Err(_) => Err(format!("no answer within {DEADLINE:?}")),
            Ok(Err(e)) => Err(e.to_string()),
            Ok(Ok(answer)) if answer.status == 200 => Ok(()),
            Ok(Ok(answer)) => Err(format!("{} {}", answer.status, answer.body)),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.host.kill();
        // A leftover directory does no harm.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Peers {
    /// Lets [`PEERS`] callers ask for something; one in three reads nothing, one reads slowly, and one
    /// all that it can.
    fn ask(&self, addr: SocketAddr) -> JoinSet<()> {
        let mut peers = JoinSet::new();
        for n in 0..PEERS {
            let ended = Arc::clone(&self.ended);
            peers.spawn(async move {
                let id = format!("peer-{n}");
                let request = Request {
                    method: ["GET", "POST"][n % 2],
                    host: "svc.example",
                    path: ["/read/1", "/write/1"][n % 2],
                    id: &id,
                    object: n as u64,
                    timeout: DEADLINE,
                    body: "",
                };
                let mut stream = TcpStream::connect(addr).await.expect("can't connect");
                let request = request.encode().replacen("Host", "Connection: close\r\nHost", 1);
                stream.write_all(request.as_bytes()).await.expect("sent");
                let mut buf = vec![0; 16 * 1024];
                if n % 3 == 0 {
                    // The host gives up after the deadline, whether the caller reads or not.
                    tokio::time::sleep(DEADLINE + SLACK / 3).await;
                }
                while let Ok(1..) = stream.read(&mut buf).await {
                    if n % 3 == 1 {
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                }
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
        peers
    }

    /// Lets [`PEERS`] connections send `start`, in which `{n}` is a number, and then `filler` again and
    /// again until the host closes.
    fn send(&self, addr: SocketAddr, start: &str, filler: &[u8]) -> JoinSet<()> {
        let mut peers = JoinSet::new();
        let block: Arc<[u8]> = filler.repeat(4_096 / filler.len() + 1).into();
        for n in 0..PEERS {
            let (ended, block) = (Arc::clone(&self.ended), Arc::clone(&block));
            let start = start.replace("{n}", &n.to_string());
            peers.spawn(async move {
                let mut stream = TcpStream::connect(addr).await.expect("can't connect");
                let mut sent = stream.write_all(start.as_bytes()).await;
                while sent.is_ok() {
                    sent = stream.write_all(&block).await;
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
        peers
    }
}

impl Peers {
    /// Lets [`PEERS`] callers send requests that may be repeated one behind the other, without reading a
    /// response, until their time is over.
    fn pipeline(&self, addr: SocketAddr) -> JoinSet<()> {
        let mut peers = JoinSet::new();
        for n in 0..PEERS {
            let ended = Arc::clone(&self.ended);
            let id = format!("pipelined-{n}");
            let request = Request {
                method: "GET",
                host: "svc.example",
                path: "/read/1",
                id: &id,
                object: n as u64,
                timeout: DEADLINE,
                body: "",
            };
            let requests = request.encode().repeat(100);
            peers.spawn(async move {
                let mut stream = TcpStream::connect(addr).await.expect("can't connect");
                let sending =
                    async { while stream.write_all(requests.as_bytes()).await.is_ok() {} };
                // The caller leaves, whether the host takes more or not.
                tokio::time::timeout(DEADLINE, sending).await.ok();
                ended.fetch_add(1, Ordering::Relaxed);
            });
        }
        peers
    }
}

/// Plays an upstream that sends `filler` without end after `start`.
async fn play_upstream(what: &str, start: &str, filler: &[u8]) {
    let _one = ONE_AT_A_TIME.lock().await;
    let mut site = Site::start("upstream", DEADLINE).await;
    site.up.set_behavior(Behavior::Endless { start: start.to_owned(), filler: filler.to_vec() });
    let peers = Peers::default();
    let asking = peers.ask(site.host.caller_addr);
    site.check(what, asking, &peers.ended).await;
}

/// Plays callers that send `filler` without end after `start`.
async fn play_callers(what: &str, start: &str, filler: &[u8]) {
    let _one = ONE_AT_A_TIME.lock().await;
    let mut site = Site::start("callers", DEADLINE).await;
    let peers = Peers::default();
    let sending = peers.send(site.host.caller_addr, start, filler);
    site.check(what, sending, &peers.ended).await;
}

const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nfoxtailrouter-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n";

/// The start of a request up to its last header.
const REQUEST: &str = "POST /write/1 HTTP/1.1\r\nHost: svc.example\r\nFoxtailrouter-Request-Id: r{n}\r\n\
                       Foxtailrouter-Deadline-Ms: 2000\r\n";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstreams_that_send_heads_without_end() {
    play_upstream("a header", "HTTP/1.1 200 OK\r\nx-filler: ", b"more").await;
    play_upstream("headers", "HTTP/1.1 200 OK\r\n", b"x-more: more\r\n").await;
    play_upstream("interim answers", "", b"HTTP/1.1 103 Early Hints\r\n\r\n").await;
    play_upstream("empty lines", "", b"\r\n").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstreams_that_send_bodies_without_end() {
    play_upstream("a chunk", &format!("{CHUNKED}fffffffffffffff\r\n"), b"more").await;
    play_upstream("chunks of a byte", CHUNKED, b"1\r\nx\r\n").await;
    play_upstream(
        "a body until the close",
        &CHUNKED.replace("transfer-encoding: chunked\r\n", ""),
        b"more",
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstreams_that_send_framing_without_end() {
    play_upstream("chunk extensions", &format!("{CHUNKED}4;x="), b"more").await;
    play_upstream("trailers", &format!("{CHUNKED}0\r\n"), b"x-more: more\r\n").await;
    let declared = CHUNKED.replace("transfer-encoding: chunked", "content-length: 4");
    play_upstream("more than declared", &format!("{declared}body"), b"more").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_send_without_end() {
    play_callers("requests with a header", &format!("{REQUEST}x-filler: "), b"more").await;
    let chunked = format!("{REQUEST}Transfer-Encoding: chunked\r\n\r\n");
    play_callers("requests with a chunk", &format!("{chunked}fffffff\r\n"), b"more").await;
    play_callers("requests with chunks of a byte", &chunked, b"1\r\nx\r\n").await;
    play_callers("requests with chunk extensions", &format!("{chunked}4;x="), b"more").await;
    play_callers("requests with trailers", &format!("{chunked}0\r\n"), b"x-more: more\r\n").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_pipeline_without_end() {
    let _one = ONE_AT_A_TIME.lock().await;
    let mut site = Site::start("pipelines", DEADLINE).await;
    site.up.set_behavior(Behavior::AnswerOf(100_000));
    let peers = Peers::default();
    let pipelining = peers.pipeline(site.host.caller_addr);
    site.check("pipelined requests", pipelining, &peers.ended).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_that_send_without_end() {
    let _one = ONE_AT_A_TIME.lock().await;
    let mut site = Site::start("hosts", DEADLINE).await;
    let peers = Peers::default();
    // A frame of almost 8 MiB.
    let settings = std::fs::read(site.dir.join("h-1.json")).expect("the settings of the host");
    let settings: serde_json::Value = serde_json::from_slice(&settings).unwrap();
    let peer_addr = settings["peer"].as_str().unwrap().parse().unwrap();
    let sending = peers.send(peer_addr, "\0\u{7f}\u{7f}\u{7f}", b"more");
    site.check("frames", sending, &peers.ended).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_on_all_descriptors_are_served() {
    let _one = ONE_AT_A_TIME.lock().await;
    let site = Site::start("descriptors", LONG_DEADLINE).await;
    site.up.set_work_time(WORK);
    let caller_addr = site.host.caller_addr;
    let mut asking = JoinSet::new();
    for n in 0..REQUESTS_AT_ONCE {
        asking.spawn(async move {
            // They come over a second and are all under way together.
            tokio::time::sleep(Duration::from_millis(n as u64)).await;
            let id = format!("request-{n}");
            let request = Request {
                method: "POST",
                host: "svc.example",
                path: "/write/1",
                id: &id,
                object: n as u64,
                timeout: LONG_DEADLINE,
                body: "small",
            };
            let mut stream = TcpStream::connect(caller_addr).await.expect("can't connect");
            let answer = exchange(&mut stream, &request.encode()).await.expect("sent");
            (answer.status, answer.body)
        });
    }
    let mut refused = Vec::new();
    while let Some(answer) = asking.join_next().await {
        refused.extend(answer.ok().filter(|(status, _)| *status != 200));
    }
    let peak = site.host.peak_memory().expect("the host runs");
    println!(
        "{REQUESTS_AT_ONCE} requests at once: {} refused, {} MB",
        refused.len(),
        peak / 1_000_000
    );
    assert!(peak < GRANT_BYTES, "{peak} bytes");
    assert_eq!(refused, [], "requests were not served");
}
