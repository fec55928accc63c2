//! Large request bodies, which a host reads only if it has memory for them.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{TestSite, exchange, exchange_on, metric, ready, request, until};
use foxtail_entry::{Host, Settings};
use foxtail_standin::store::StoreEndpoint;
use foxtail_standin::upstream::UpstreamServer;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// What the configuration allows.
const MAX_BODY_BYTES: usize = 64 << 20;

/// More than the host of these tests has memory for.
const TOO_LARGE_BYTES: usize = 24 << 20;

struct Site {
    host: Host,
    up: UpstreamServer,
    _site: TestSite,
    _endpoint: StoreEndpoint,
}

async fn site(memory_mb: f64) -> Site {
    let site = TestSite::new();
    let config = foxtail_standin::store::config(7, "books", 20.0);
    let mut config: serde_json::Value = serde_json::from_str(&config).unwrap();
    config["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into();
    site.store.put("op", "config", config.to_string().as_bytes());
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    host.reload(Settings { memory_mb, ..(*host.settings()).clone() });
    Site { host, up, _site: site, _endpoint: endpoint }
}

fn head(id: &str, framing: &str) -> String {
    format!(
        "POST /write/1 HTTP/1.1\r\nHost: svc.example\r\nFoxtailrouter-Request-Id: {id}\r\n\
         Foxtailrouter-Deadline-Ms: 8000\r\n{framing}\r\n\r\n"
    )
}

async fn connect(addr: SocketAddr) -> TcpStream {
    TcpStream::connect(addr).await.expect("can't connect")
}

#[tokio::test]
async fn refusal_for_want_of_memory_reaches_a_caller_that_sends_on() {
    let Site { host, up, .. } = site(64.0).await;
    for framing in
        [format!("Content-Length: {TOO_LARGE_BYTES}"), "Transfer-Encoding: chunked".into()]
    {
        let mut stream = connect(host.settings().caller).await;
        stream.write_all(head("large", &framing).as_bytes()).await.unwrap();
        let piece = vec![b'x'; 1 << 20];
        for n in 0..TOO_LARGE_BYTES / piece.len() {
            let chunked = framing.starts_with("Transfer");
            if chunked {
                stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await.unwrap();
            }
            stream.write_all(&piece).await.unwrap_or_else(|e| panic!("{framing}, piece {n}: {e}"));
            if chunked {
                stream.write_all(b"\r\n").await.unwrap();
            }
        }
        let end = if framing.starts_with("Transfer") { "0\r\n\r\n" } else { "" };
        let got = exchange_on(&mut stream, end).await;
        assert_eq!((got.status, got.body.as_str()), (503, "out-of-memory"), "{framing}");
        assert!(got.retry_after().unwrap() > Duration::ZERO);
        // The connection was read to the end of the request, and serves the next one.
        let got = exchange_on(&mut stream, &request("POST", "/write/1", "next", 1_000, "")).await;
        assert_eq!(got.status, 200, "{framing}");
    }
    assert_eq!(up.runs(), 2);
    assert_eq!(metric(&host, "memory_refusals_total").await, Some(2.0));
    host.stop().await;
}

#[tokio::test]
async fn idle_host_serves_the_largest_body_that_the_configuration_allows() {
    let Site { host, up, .. } = site(182.0).await;
    let text = request("POST", "/write/1", "large", 8_000, &"x".repeat(MAX_BODY_BYTES));
    let got = exchange(host.settings().caller, &text).await;
    assert_eq!(got.status, 200, "{}", got.body);
    assert_eq!(up.received_requests()[0].body.len(), MAX_BODY_BYTES);
    host.stop().await;
}

#[tokio::test]
async fn body_in_small_chunks_arrives_unchanged() {
    let Site { host, up, .. } = site(64.0).await;
    let mut stream = connect(host.settings().caller).await;
    let mut text = head("chunks", "Transfer-Encoding: chunked");
    let mut body = Vec::new();
    for n in 0..40_000_u32 {
        let data = n.to_string();
        text.push_str(&format!("{:x}\r\n{data}\r\n", data.len()));
        body.extend_from_slice(data.as_bytes());
    }
    text.push_str("0\r\n\r\n");
    let got = exchange_on(&mut stream, &text).await;
    assert_eq!(got.status, 200, "{}", got.body);
    assert!(up.received_requests()[0].body == body);
    host.stop().await;
}

#[tokio::test]
async fn large_body_waits_for_memory_and_small_requests_do_not() {
    let Site { host, up, .. } = site(64.0).await;
    let caller = host.settings().caller;
    // It holds most of the memory and is not sent to its end.
    let mut first = connect(caller).await;
    let text = request("POST", "/write/1", "first", 8_000, &"x".repeat(13 << 20));
    let (start, rest) = text.split_at(text.len() - 1);
    first.write_all(start.as_bytes()).await.unwrap();
    let text = request("POST", "/write/1", "second", 8_000, &"x".repeat(10 << 20));
    let second = tokio::spawn(async move { exchange(caller, &text).await });
    until("the second waits", async || metric(&host, "memory_waiting").await == Some(1.0)).await;

    let began = Instant::now();
    let got = exchange(caller, &request("POST", "/write/1", "small", 1_000, "small")).await;
    assert_eq!(got.status, 200);
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());

    assert_eq!(exchange_on(&mut first, rest).await.status, 200);
    assert_eq!(second.await.unwrap().status, 200);
    assert_eq!(up.runs(), 3);
    until("all memory is released", async || {
        // What is left are the buffers of open connections.
        metric(&host, "memory_held_bytes").await.is_some_and(|held| held < 1_000_000.0)
    })
    .await;
    assert!(ready(&host).await);
    host.stop().await;
}
