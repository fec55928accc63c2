//! Requests at a host that stops gracefully.

mod common;

use std::time::Duration;

use common::{TestSite, exchange, exchange_on, request};
use foxtail_entry::Host;
use foxtail_standin::caller::Answer;
use foxtail_standin::upstream::{Behavior, UpstreamServer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The stop timeout of hosts in tests is 2 s, of which they take new requests for 1.1 s.
const LATE_IN_THE_STOP: Duration = Duration::from_millis(900);

/// Longer than what is left of the stop.
const LONG_WORK: Duration = Duration::from_millis(1_400);

/// After how many requests of each kind a host knows their work times.
const WARM_UP_ROUNDS: usize = 4;

struct Stopping {
    host: Host,
    ups: Vec<UpstreamServer>,
    conns: Vec<TcpStream>,
    _site: TestSite,
    _endpoint: foxtail_standin::store::StoreEndpoint,
}

/// Starts a host whose callers' requests take `work`, and opens kept connections to it.
async fn site(work: Duration) -> Stopping {
    let site = TestSite::new();
    let config = foxtail_standin::store::config(7, "books", 6.0);
    let mut config: serde_json::Value = serde_json::from_str(&config).unwrap();
    for route in config["routes"].as_array_mut().unwrap() {
        route["latency_goal_s"] = (work.as_secs_f64() * 1.1).into();
    }
    site.store.put("op", "config", config.to_string().as_bytes());
    let ups = vec![site.upstream("up-1", "a1").await, site.upstream("up-2", "a1").await];
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    ups.iter().for_each(|up| up.set_work_time(work));
    let mut conns = Vec::new();
    for _ in 0..4 {
        conns.push(TcpStream::connect(host.settings().caller).await.expect("can't connect"));
    }
    // The host learns how long requests take.
    for n in 0..WARM_UP_ROUNDS {
        let warm_up = conns.iter_mut().enumerate().map(async |(m, conn)| {
            let (method, path) = [("POST", "/write/1"), ("GET", "/read/1")][m % 2];
            let text = request(method, path, &format!("warm-{n}-{m}"), 5_000, "");
            exchange_on(conn, &text).await.status
        });
        assert_eq!(futures::future::join_all(warm_up).await, [200; 4]);
    }
    Stopping { host, ups, conns, _site: site, _endpoint: endpoint }
}

async fn send(conn: &mut TcpStream, n: usize) -> (String, Answer) {
    let id = format!("late-{n}");
    let (method, path) = [("POST", "/write/1"), ("GET", "/read/1")][n % 2];
    let got = exchange_on(conn, &request(method, path, &id, 5_000, "")).await;
    (id, got)
}

fn has_run(ups: &[UpstreamServer], id: &str) -> bool {
    let received = ups.iter().flat_map(UpstreamServer::received_requests);
    received.into_iter().any(|seen| seen.has_run && seen.headers["foxtailrouter-request-id"] == *id)
}

#[tokio::test]
async fn a_stopping_host_refuses_at_once_what_it_can_not_finish() {
    let Stopping { host, ups, mut conns, .. } = site(LONG_WORK).await;
    let caller = host.settings().caller;
    let stopping = tokio::spawn(host.stop());
    tokio::time::sleep(LATE_IN_THE_STOP).await;
    let sent_at = tokio::time::Instant::now();
    let sent = conns.iter_mut().enumerate().map(|(n, conn)| send(conn, n));
    for (id, got) in futures::future::join_all(sent).await {
        assert_eq!((got.status, has_run(&ups, &id)), (503, false), "{id}: {}", got.body);
        assert!(got.headers.contains_key("retry-after"), "{id}");
    }
    assert!(sent_at.elapsed() < Duration::from_millis(200), "{:?}", sent_at.elapsed());
    let refused = TcpStream::connect(caller).await;
    drop(refused);
    stopping.await.unwrap();
}

#[tokio::test]
async fn a_stopping_host_finishes_what_it_takes() {
    let Stopping { host, ups, mut conns, .. } = site(Duration::from_millis(150)).await;
    let stopping = tokio::spawn(host.stop());
    tokio::time::sleep(LATE_IN_THE_STOP).await;
    let sent = conns.iter_mut().enumerate().map(|(n, conn)| send(conn, n));
    for (id, got) in futures::future::join_all(sent).await {
        assert_eq!((got.status, has_run(&ups, &id)), (200, true), "{id}: {}", got.body);
    }
    stopping.await.unwrap();
}

#[tokio::test]
async fn a_stopping_host_answers_what_it_can_not_finish_any_more() {
    let Stopping { host, ups, .. } = site(Duration::from_millis(50)).await;
    ups.iter().for_each(|up| up.set_work_time(Duration::from_secs(4)));
    let caller = host.settings().caller;
    let requests: Vec<_> = (0..4)
        .map(|n| {
            let (method, path) = [("POST", "/write/1"), ("GET", "/read/1")][n % 2];
            let text = request(method, path, &format!("early-{n}"), 5_000, "");
            tokio::spawn(async move { exchange(caller, &text).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let started = tokio::time::Instant::now();
    let stopping = tokio::spawn(host.stop());
    for waiting in requests {
        let got = waiting.await.unwrap();
        assert!(matches!(got.status, 502 | 504), "{} {}", got.status, got.body);
    }
    stopping.await.unwrap();
    assert!(started.elapsed() < Duration::from_millis(2_000), "{:?}", started.elapsed());
}

/// A response that a caller takes longer to read than what is left of a stop. Most of it does not fit into the
/// socket buffers.
const LONG_ANSWER_BYTES: usize = 16_000_000;
const LINE_BYTES_PER_MS: usize = 8_000;

/// Sends a request and reads the answer at the speed of a slow line. Returns the start of the answer, and how
/// many bytes came in all.
async fn read_slowly(conn: &mut TcpStream, id: &str) -> (String, usize) {
    conn.write_all(request("GET", "/read/1", id, 6_000, "").as_bytes()).await.unwrap();
    let (mut start, mut len) = (String::new(), 0);
    let mut buf = vec![0; 16 * LINE_BYTES_PER_MS];
    while let Ok(Ok(read @ 1..)) = tokio::time::timeout(IDLE_TIME, conn.read(&mut buf)).await {
        if len == 0 {
            start = String::from_utf8_lossy(&buf[..read.min(400)]).into_owned();
        }
        len += read;
        if len >= LONG_ANSWER_BYTES {
            break;
        }
        tokio::time::sleep(Duration::from_millis((read / LINE_BYTES_PER_MS) as u64)).await;
    }
    (start, len)
}

/// When an answer is taken to be over.
const IDLE_TIME: Duration = Duration::from_millis(500);

#[tokio::test]
async fn a_stopping_host_refuses_what_it_can_not_pass_on_in_time() {
    let Stopping { host, ups, .. } = site(Duration::from_millis(50)).await;
    ups.iter().for_each(|up| up.set_behavior(Behavior::AnswerOf(LONG_ANSWER_BYTES)));
    let caller = host.settings().caller;
    let connect = || async {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        // A small window, so that the host has to hold back what the caller does not read.
        socket.set_recv_buffer_size(64 * 1024).unwrap();
        socket.connect(caller).await.expect("can't connect")
    };
    let mut conns = [connect().await, connect().await, connect().await];
    let (start, len) = read_slowly(&mut conns[0], "before").await;
    assert!(start.starts_with("HTTP/1.1 200"), "{start}");
    assert!(len >= LONG_ANSWER_BYTES);

    let stopping = tokio::spawn(host.stop());
    tokio::time::sleep(Duration::from_millis(300)).await;
    for (n, conn) in conns.iter_mut().enumerate() {
        let id = format!("late-{n}");
        let (start, _) = read_slowly(conn, &id).await;
        assert!(start.starts_with("HTTP/1.1 503"), "{id}: {start}");
        assert!(!has_run(&ups, &id), "{id} has run");
    }
    stopping.await.unwrap();
}
