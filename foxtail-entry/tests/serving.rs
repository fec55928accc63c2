//! Look-ups, requests and refusals end to end, over stand-ins for upstreams and the store.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::{HoldingDial, TestSite, exchange, lookup_body, metric, ready, request, until};
use foxtail_standin::upstream::Behavior;
use foxtail_steer::fleet::LIVENESS_TIMEOUT;

#[tokio::test]
async fn a_request_and_its_response_are_forwarded_unchanged() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let caller = host.settings().caller;

    let got = exchange(caller, &request("POST", "/write/2f?a=b&c=%20", "r1", 1_500, "body")).await;

    assert_eq!((got.status, got.body.as_str()), (200, "up-1 ran r1"));
    assert_eq!(got.headers["foxtailrouter-server-seal"], "up-1.r1");
    let seen = &up.received_requests()[0];
    assert_eq!(seen.request_line, "POST /write/2f?a=b&c=%20 HTTP/1.1");
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.headers["host"], "svc.example");
    assert_eq!(seen.headers["foxtailrouter-request-id"], "r1");
    assert_eq!(seen.headers["foxtailrouter-expect-instance"], "up-1");
    let left: u64 = seen.headers["foxtailrouter-deadline-ms"].parse().unwrap();
    assert!((1_000..=1_500).contains(&left), "{left} ms were left");
    host.stop().await;
}

#[tokio::test]
async fn an_upstream_error_is_forwarded_with_its_status() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    up.queue_behaviors([Behavior::Fail(500)]);

    let got = exchange(host.settings().caller, &request("POST", "/write/1", "r1", 1_500, "")).await;

    assert_eq!((got.status, got.body.as_str()), (500, "up-1 ran r1"));
    assert_eq!(got.headers["foxtailrouter-server-seal"], "up-1.r1");
    host.stop().await;
}

#[tokio::test]
async fn an_unknown_path_gets_404_and_a_host_without_configuration_sends_retry_after() {
    let site = TestSite::new();
    let endpoint = site.store_endpoint().await;
    let host = site.host("h-1", "a1", &endpoint).await;
    let caller = host.settings().caller;

    let early = exchange(caller, &request("GET", "/read/1", "r1", 1_000, "")).await;
    assert_eq!(early.status, 503);
    assert!(early.headers["retry-after"].parse::<f64>().unwrap() > 0.0);
    assert!(!ready(&host).await);

    site.configure(7);
    site.upstream("up-1", "a1").await;
    until("the host is ready", async || ready(&host).await).await;
    assert_eq!(exchange(caller, &request("GET", "/nowhere/", "r2", 1_000, "")).await.status, 404);
    host.stop().await;
}

#[tokio::test]
async fn lookups_list_all_registered_hosts_until_one_stops() {
    let site = TestSite::new();
    site.configure(7);
    let endpoint = site.store_endpoint().await;
    let first = site.ready_host("h-1", "a1", &endpoint).await;
    let second = site.ready_host("h-2", "a2", &endpoint).await;
    let (one, two) = (first.settings().caller.to_string(), second.settings().caller.to_string());

    until("the look-up lists both hosts", async || {
        let named = lookup_body(&first).await;
        named.contains(&one) && named.contains(&two)
    })
    .await;
    let stopping = tokio::spawn(second.stop());
    until("the look-up no longer lists the stopping host", async || {
        !lookup_body(&first).await.contains(&two)
    })
    .await;
    stopping.await.unwrap();
    assert!(site.store.value("hosts", "h-2").is_none());
    first.stop().await;
}

#[tokio::test]
async fn host_without_other_hosts_names_itself_in_lookups() {
    let site = TestSite::new();
    site.configure(7);
    let endpoint = site.store_endpoint().await;
    site.upstream("up-1", "a1").await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    tokio::time::sleep(LIVENESS_TIMEOUT.duration() + Duration::from_millis(500)).await;
    let own = host.settings().caller.to_string();
    assert!(lookup_body(&host).await.contains(&own), "no host is named");
    host.stop().await;
}

#[tokio::test]
async fn ambiguous_framing_never_smuggles_a_request_to_an_upstream() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let caller = host.settings().caller;
    let head = "POST /write/1 HTTP/1.1\r\nHost: svc.example\r\nFoxtailrouter-Request-Id: odd\r\n";
    let hidden = "GET /read/hidden HTTP/1.1\r\nHost: svc.example\r\n\
                  Foxtailrouter-Request-Id: hidden\r\n\r\n";
    let odd = [
        // Both framings: the chunked body ends at once; the hidden request is within
        // Content-Length.
        format!(
            "{head}Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
            hidden.len() + 5
        ),
        format!("{head}Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"),
        format!("{head}Content-Length: +5\r\n\r\nhello"),
        format!("{head}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n"),
        format!("{head}X-Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n"),
        format!("{head}Bad Name: x\r\nContent-Length: 0\r\n\r\n"),
        format!("{head}X-Long: {}\r\n\r\n", "x".repeat(64 * 1024)),
        "POST /write/1 HTTP/1.1\nHost: svc.example\nContent-Length: 3\n\nabc".to_owned(),
    ];
    for text in &odd {
        let got = exchange(caller, text).await;
        assert!(got.status < 500, "status {} for {text:.80}", got.status);
    }
    // The host may forward the hidden request as a pipelined one, but not within another request.
    for seen in up.received_requests() {
        let id = seen.headers["foxtailrouter-request-id"].as_str();
        assert!(
            id == "odd" || (id == "hidden" && seen.request_line.contains("/read/hidden")),
            "{id}"
        );
        assert!(
            !seen.headers.contains_key("transfer-encoding"),
            "the framing header was forwarded"
        );
        if id == "odd" {
            assert!(!seen.body.windows(6).any(|part| part == b"hidden"));
        }
    }
    host.stop().await;
}

#[tokio::test]
async fn an_oversized_body_gets_413_and_a_chunked_body_is_forwarded_complete() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let caller = host.settings().caller;

    let large = request("POST", "/write/1", "large", 1_500, &"x".repeat(1_048_577));
    let got = exchange(caller, &large).await;
    assert_eq!(got.status, 413);
    let chunked = "POST /write/1 HTTP/1.1\r\nHost: svc.example\r\n\
                   Foxtailrouter-Request-Id: chunked\r\nTransfer-Encoding: chunked\r\n\r\n\
                   3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    assert_eq!(exchange(caller, chunked).await.status, 200);
    assert_eq!(up.received_requests().last().unwrap().body, b"abcde");
    assert_eq!(up.runs(), 1);
    host.stop().await;
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    use tokio::io::AsyncReadExt;

    let mut buf = [0; 1_024];
    let site = TestSite::new();
    site.configure(7);
    let _up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let mut stream = tokio::net::TcpStream::connect(host.settings().caller).await.unwrap();
    let two =
        request("GET", "/read/1", "r1", 1_500, "") + &request("GET", "/read/2", "r2", 1_500, "");

    let got = common::exchange_on(&mut stream, &two).await;
    let mut more = got.body.clone();
    while !more.contains("up-1 ran r2") {
        let read = stream.read(&mut buf);
        let len = tokio::time::timeout(Duration::from_secs(10), read).await.unwrap().unwrap();
        assert_ne!(len, 0, "{more}");
        more += std::str::from_utf8(&buf[..len]).unwrap();
    }

    assert!(got.body.starts_with("up-1 ran r1"));
    host.stop().await;
}

#[tokio::test]
async fn callers_without_a_location_are_located_by_address() {
    let site = TestSite::new();
    site.configure(7);
    let _up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let near = site.ready_host("h-1", "a1", &endpoint).await;
    let far = site.ready_host("h-2", "b1", &endpoint).await;
    common::until("both hosts know each other", async || {
        common::metric(&near, "hosts_alive").await == Some(2.0)
    })
    .await;
    let look_up = async || {
        let mut stream = foxtail_standin::caller::connect(near.settings().lookup).await.unwrap();
        foxtail_standin::caller::look_up(&mut stream, "svc.example", None).await
    };
    assert_eq!(look_up().await, Some(vec![near.settings().caller]), "the host's own region");
    let mut settings = (*near.settings()).clone();
    settings.blocks = serde_json::from_str(
        r#"[{"net": "127.0.0.0/8", "region": "a"}, {"net": "127.0.0.1/32", "region": "b"}]"#,
    )
    .unwrap();
    near.reload(settings);
    common::until("the look-up uses the inner block", async || {
        look_up().await == Some(vec![far.settings().caller])
    })
    .await;
    near.stop().await;
    far.stop().await;
}

#[tokio::test]
async fn an_incomplete_head_times_out_and_reaches_no_upstream() {
    let site = TestSite::new();
    let config = foxtail_standin::store::config(7, "books", 2.0);
    let short = config.replace(r#""header_timeout_s":3"#, r#""header_timeout_s":1"#);
    let short = short.replace(r#""idle_timeout_s":15"#, r#""idle_timeout_s":1"#);
    assert_ne!(config, short);
    site.store.put("op", "config", short.as_bytes());
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let mut stream = tokio::net::TcpStream::connect(host.settings().caller).await.unwrap();
    let started = std::time::Instant::now();
    let whole = request("GET", "/read/1", "slow", 1_500, "");
    let got = common::exchange_on(&mut stream, &whole[..whole.len() - 4]).await;
    assert!(got.status == 0 || got.status == 408, "{got:?}");
    assert!(started.elapsed() < std::time::Duration::from_secs(4), "{:?}", started.elapsed());
    assert_eq!(up.received_requests(), []);
    host.stop().await;
}

#[tokio::test]
async fn a_caller_that_half_closes_its_connection_cancels_its_request() {
    use tokio::io::AsyncWriteExt;

    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    up.set_work_time(std::time::Duration::from_secs(1));
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let mut stream = tokio::net::TcpStream::connect(host.settings().caller).await.unwrap();
    let text = request("POST", "/write/1", "half", 1_500, "");
    stream.write_all(text.as_bytes()).await.unwrap();
    common::until("the upstream has the request", async || !up.received_requests().is_empty())
        .await;
    stream.shutdown().await.unwrap();
    common::until("the upstream cancels the request", async || up.cancelled() == 1).await;
    assert_eq!(up.runs(), 1, "the request was sent again");
    host.stop().await;
}

#[tokio::test]
async fn limited_upstream_is_used_within_its_limit_and_other_requests_are_refused_at_once() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let caller = host.settings().caller;
    up.set_named_limit(Some(2.0));
    assert_eq!(exchange(caller, &request("GET", "/read/1", "r0", 1_000, "")).await.status, 200);

    let began = Instant::now();
    let (mut answered, mut refused) = (0, 0);
    while began.elapsed() < Duration::from_secs(7) {
        let got = exchange(caller, &request("GET", "/read/1", "r1", 1_000, "")).await;
        if got.status == 200 {
            answered += 1;
        } else {
            assert_eq!((got.status, got.body.as_str()), (503, "upstream-limited"));
            assert!(got.headers["retry-after"].parse::<f64>().unwrap() > 0.0);
            refused += 1;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    assert!((2..=14).contains(&answered), "{answered} answers in 7 s");
    assert!(refused > 50, "only {refused} refusals");
    assert_eq!(metric(&host, "upstream_limits_named").await, Some(1.0));
    up.set_named_limit(None);
    up.set_behavior(Behavior::Fail(500));
    until("a failure that names no limit arrives", async || {
        exchange(caller, &request("GET", "/read/1", "r2", 1_000, "")).await.status == 500
    })
    .await;
    assert_eq!(metric(&host, "upstream_limits_named").await, Some(1.0));
    up.set_behavior(Behavior::Answer);
    until("the limit has ended", async || {
        exchange(caller, &request("GET", "/read/1", "r3", 1_000, "")).await;
        metric(&host, "upstream_limits_named").await == Some(0.0)
    })
    .await;
    host.stop().await;
}

#[tokio::test]
async fn request_is_not_sent_to_an_upstream_that_drains_while_the_connection_is_made() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let dial = HoldingDial::default();
    let host = site.host_with_dial("h-1", "a1", &endpoint, Arc::new(dial.clone())).await;
    until("the host is ready", async || ready(&host).await).await;
    let caller = host.settings().caller;
    dial.held.store(true, Ordering::Relaxed);
    let text = request("POST", "/write/1", "r1", 5_000, "");
    let sending = tokio::spawn(async move { exchange(caller, &text).await });
    until("the host connects", async || dial.waiting.load(Ordering::Relaxed)).await;

    site.store.put("servers", "up-1", &up.registration("books", "a1", "draining", 0.0));
    tokio::time::sleep(Duration::from_millis(500)).await;
    dial.held.store(false, Ordering::Relaxed);

    let got = sending.await.unwrap();
    assert_eq!((got.status, got.body.as_str()), (503, "no-upstream"));
    assert_eq!(up.received_requests(), []);
    host.stop().await;
}

#[tokio::test]
async fn requests_that_wait_behind_another_are_not_passed_on_after_their_caller_has_left() {
    use tokio::io::AsyncWriteExt;

    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    up.set_work_time(Duration::from_millis(1_200));
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    for reset in [false, true] {
        let (received, cancelled) = (up.received_requests().len(), up.cancelled());
        let mut stream = tokio::net::TcpStream::connect(host.settings().caller).await.unwrap();
        // Only requests that may run once wait.
        let texts = (0..3).map(|n| request("POST", "/write/1", &format!("{reset}-{n}"), 2_000, ""));
        stream.write_all(texts.collect::<String>().as_bytes()).await.unwrap();
        common::until("the upstream has the first request", async || {
            up.received_requests().len() > received
        })
        .await;
        if reset {
            stream.set_zero_linger().unwrap();
        }
        drop(stream);
        let left_at = tokio::time::Instant::now();
        common::until("the upstream cancels the request", async || up.cancelled() > cancelled)
            .await;
        assert!(left_at.elapsed() < Duration::from_millis(500), "{:?}", left_at.elapsed());
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let received = up.received_requests().len() - received;
        assert_eq!(received, 1, "reset: {reset}; requests that reached the upstream");
    }
    host.stop().await;
}
