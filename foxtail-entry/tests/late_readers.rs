//! Upstreams that read the body of a request late, and those that never do because they are gone.

mod common;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use common::{DIAL, TestSite, exchange, ready, request, until};
use foxtail_entry::Host;
use foxtail_net::{Dial, SilenceTimeout, Stream};
use foxtail_standin::store::StoreEndpoint;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than the time after which unacknowledged bytes end a connection.
const WORK: Duration = Duration::from_millis(1_600);

/// A body that does not fit into a receive window.
const BODY_BYTES: usize = 900_000;

/// By when a host has noticed that an upstream is gone.
const NOTICE_TIME: Duration = Duration::from_millis(1_200);

/// An upstream that reads the head of a request, and its body after [`WORK`].
async fn late_reader(site: &TestSite, id: &'static str) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    register(site, id, listener.local_addr().unwrap());
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counted = Arc::clone(&counted);
            tokio::spawn(async move {
                let (request, mut buf) = read_head(&mut stream).await?;
                counted.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(WORK).await;
                while buf.len() < BODY_BYTES {
                    if stream.read_buf(&mut buf).await.ok()? == 0 {
                        return None;
                    }
                }
                assert!(buf.iter().all(|byte| *byte == b'x'));
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nfoxtailrouter-request-id: {request}\r\n\
                     foxtailrouter-server-seal: {id}\r\ncontent-length: 4\r\n\r\ndone"
                );
                stream.write_all(answer.as_bytes()).await.ok()
            });
        }
    });
    runs
}

/// An upstream that accepts one connection, reads nothing of it and accepts no other one, as one that
/// lost power looks.
async fn vanishing(site: &TestSite, id: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    register(site, id, listener.local_addr().unwrap());
    tokio::spawn(async move {
        let accepted = listener.accept().await;
        drop(listener);
        std::future::pending::<()>().await;
        drop(accepted);
    });
}

/// Connects as hosts do; while it is told to, every second connection times out, as if a packet was lost.
#[derive(Default)]
struct LossyDial {
    is_lossy: AtomicBool,
    dialed: AtomicUsize,
}

impl LossyDial {
    async fn lose(&self) -> io::Result<()> {
        let dialed = self.dialed.fetch_add(1, Ordering::Relaxed);
        if self.is_lossy.load(Ordering::Relaxed) && dialed.is_multiple_of(2) {
            tokio::time::sleep(DIAL.connect_timeout.duration()).await;
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }
}

#[async_trait]
impl Dial for LossyDial {
    async fn dial(&self, to: SocketAddr) -> io::Result<Box<dyn Stream>> {
        self.lose().await?;
        DIAL.dial(to).await
    }

    async fn dial_adjustable(
        &self,
        to: SocketAddr,
    ) -> io::Result<(Box<dyn Stream>, Option<SilenceTimeout>)> {
        self.lose().await?;
        DIAL.dial_adjustable(to).await
    }
}

fn register(site: &TestSite, id: &str, addr: SocketAddr) {
    let row = format!(
        r#"{{"address":"{addr}","info":{{"service":"books","version":"v1","zone":"a1","slots":3}},"status":{{"state":"ready","sequence":1,"cold_remaining_s":0}}}}"#
    );
    site.store.put("servers", id, row.as_bytes());
}

/// Reads a request's head; returns its identifier and what was read of its body.
async fn read_head(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut buf = Vec::new();
    loop {
        if let Some(at) = buf.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..at]).to_lowercase();
            let id =
                head.lines().find_map(|line| line.strip_prefix("foxtailrouter-request-id:"))?;
            return Some((id.trim().to_owned(), buf[at + 4..].to_vec()));
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
}

async fn host_of(site: &TestSite) -> (Host, StoreEndpoint) {
    site.configure_with(7, "books", 8.0);
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    (host, endpoint)
}

#[tokio::test]
async fn upstream_that_reads_a_long_body_late_is_not_taken_for_gone() {
    let site = TestSite::new();
    let runs = late_reader(&site, "up-1").await;
    let (host, _endpoint) = host_of(&site).await;
    let body = "x".repeat(BODY_BYTES);

    let sent = (0..3).map(|n| {
        let text = request("POST", "/write/1", &format!("r{n}"), 6_000, &body);
        let caller = host.settings().caller;
        async move { exchange(caller, &text).await }
    });
    for got in futures::future::join_all(sent).await {
        assert_eq!((got.status, got.body.as_str()), (200, "done"));
    }
    assert_eq!(runs.load(Ordering::Relaxed), 3);
    host.stop().await;
}

#[tokio::test]
async fn request_with_a_long_body_is_not_barred_because_upstreams_vanish_under_it() {
    let site = TestSite::new();
    let ids = ["up-1", "up-2", "up-3", "up-4"];
    for id in ids {
        vanishing(&site, id).await;
    }
    let (host, _endpoint) = host_of(&site).await;
    let caller = host.settings().caller;
    let body = "x".repeat(BODY_BYTES);

    for n in 0..ids.len() {
        let began = Instant::now();
        let got =
            exchange(caller, &request("POST", "/write/1", &format!("r{n}"), 6_000, &body)).await;
        assert_ne!(got.body, "crashed-upstreams", "request {n}");
        assert!(began.elapsed() < NOTICE_TIME, "request {n}: {:?}", began.elapsed());
    }
    late_reader(&site, "up-5").await;
    let got = exchange(caller, &request("POST", "/write/1", "last", 6_000, &body)).await;
    // The upstreams that vanished may still be tried.
    assert_ne!(got.body, "crashed-upstreams");
    host.stop().await;
}

#[tokio::test]
async fn lost_packet_does_not_make_an_upstream_that_reads_late_look_gone() {
    let site = TestSite::new();
    late_reader(&site, "up-1").await;
    site.configure_with(7, "books", 8.0);
    let endpoint = site.store_endpoint().await;
    let dial = Arc::new(LossyDial::default());
    let host = site.host_with_dial("h-1", "a1", &endpoint, Arc::clone(&dial) as _).await;
    until("the host is ready", async || ready(&host).await).await;
    let body = "x".repeat(BODY_BYTES);
    let caller = host.settings().caller;
    let text = request("POST", "/write/1", "r1", 6_000, &body);
    let sent = tokio::spawn(async move { exchange(caller, &text).await });
    // The request's own connection is made by now.
    tokio::time::sleep(Duration::from_millis(200)).await;
    dial.is_lossy.store(true, Ordering::Relaxed);
    let got = sent.await.unwrap();
    assert_eq!((got.status, got.body.as_str()), (200, "done"));
    host.stop().await;
}
