//! A host process that is suspended while an upstream leaves sends it nothing once it goes on.

#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/host.rs"]
mod host;
#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/links.rs"]
mod links;

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtail_standin::caller::{Request, exchange, is_ready};
use foxtail_standin::store::{Store, StoreEndpoint};
use foxtail_standin::upstream::UpstreamServer;
use host::Host;
use links::Links;
use rustix::process::Signal;
use tokio::net::TcpStream;

/// How long after an upstream began to leave a request may still reach it.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);

/// How long the host is suspended: until the upstream may get nothing any more.
const SUSPENSION: Duration = Duration::from_millis(3_000);

const TIMEOUT: Duration = Duration::from_secs(2);
const CALLERS: usize = 20;

/// How an upstream leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Draining,
    Removed,
}

async fn start(dir: &std::path::Path, store: &Arc<Store>) -> (Host, StoreEndpoint) {
    std::fs::create_dir_all(dir).expect("the directory is created");
    let endpoint = StoreEndpoint::open(store).await.expect("a free port");
    let mut host = Host::new(dir, 1, "a1", endpoint.addr(), &Arc::<Links>::default());
    host.start();
    let end = Instant::now() + Duration::from_secs(15);
    while !is_ready(host.health_addr).await {
        assert!(Instant::now() < end, "the host does not start");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    (host, endpoint)
}

/// Sends requests for many objects on the connections `conns`, and returns how many were answered.
async fn send(conns: &mut [TcpStream], round: usize) -> usize {
    let sending = conns.iter_mut().enumerate().map(|(n, stream)| async move {
        let id = format!("r{round}-{n}");
        let object = (round * CALLERS + n) as u64;
        let (method, host, path) = ("GET", "svc.example", "/read/1");
        let req = Request { method, host, path, id: &id, object, timeout: TIMEOUT, body: "" };
        let answer = tokio::time::timeout(TIMEOUT, exchange(stream, &req.encode())).await;
        answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status == 200))
    });
    futures::future::join_all(sending).await.into_iter().filter(|served| *served).count()
}

async fn play(leave: Leave) {
    let name = format!("foxtail-suspended-{leave:?}-{}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    let store = Store::new();
    store.put("op", "config", foxtail_standin::store::config(7, "books", 2.0).as_bytes());
    let mut ups = Vec::new();
    for id in ["u-1", "u-2", "u-3"] {
        let up = UpstreamServer::start(id, 8).await.expect("a free port");
        store.put("servers", id, &up.registration("books", "a1", "ready", 0.0));
        ups.push(up);
    }
    let (mut host, _endpoint) = start(&dir, &store).await;
    let mut conns = Vec::new();
    for _ in 0..CALLERS {
        conns.push(TcpStream::connect(host.caller_addr).await.expect("can't connect"));
    }
    for round in 0..5 {
        send(&mut conns, round).await;
    }
    assert!(ups[0].runs() > 0, "{leave:?}: the upstream was in use");

    host.signal(Signal::STOP);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let left_at = Instant::now();
    match leave {
        Leave::Draining => {
            let row = ups[0].registration("books", "a1", "draining", 0.0);
            store.put("servers", "u-1", &row);
        }
        Leave::Removed => {
            store.delete_row("servers", "u-1");
        }
    }
    tokio::time::sleep(SUSPENSION).await;
    // The requests wait at the host when it goes on.
    let resume = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        host.signal(Signal::CONT);
    };
    let (served, ()) = tokio::join!(send(&mut conns, 5), resume);
    let mut all_served = served;
    for round in 6..10 {
        all_served += send(&mut conns, round).await;
    }
    let is_late = |at: Instant| at > left_at + DRAIN_LIMIT;
    let received = ups[0].received_requests();
    let late = received.iter().filter(|req| req.received_at.is_some_and(is_late)).count();
    host.kill();
    // A leftover directory does no harm.
    let _ = std::fs::remove_dir_all(&dir);
    assert_eq!(late, 0, "{leave:?}: requests reached the upstream that had left");
    assert!(all_served * 10 >= 5 * CALLERS * 9, "{leave:?}: {all_served} served");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstream_that_drains_while_a_host_is_suspended_gets_nothing_later() {
    play(Leave::Draining).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstream_that_is_removed_while_a_host_is_suspended_gets_nothing_later() {
    play(Leave::Removed).await;
}
