//! Upstreams whose answers never end, in the head or in the body.

mod common;

use std::time::{Duration, Instant};

use common::{TestSite, exchange, request, until};
use foxtail_standin::upstream::Behavior;

const DEADLINE_MS: u64 = 1_000;
/// By when after its deadline a request has to be over.
const SLACK: Duration = Duration::from_millis(500);

fn endless(start: &str, filler: &[u8]) -> Behavior {
    Behavior::Endless { start: start.to_owned(), filler: filler.to_owned() }
}

#[tokio::test]
async fn head_that_never_ends_ends_the_request_and_the_connection() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    up.queue_behaviors([endless("HTTP/1.1 200 OK\r\nx-filler: ", b"more")]);

    let began = Instant::now();
    let text = request("POST", "/write/1", "r1", DEADLINE_MS, "");
    let got = exchange(host.settings().caller, &text).await;

    assert_eq!(got.status, 502);
    assert!(began.elapsed() < Duration::from_millis(DEADLINE_MS) + SLACK);
    until("the connection is closed", async || up.endless_answers_closed() == 1).await;
    host.stop().await;
}

#[tokio::test]
async fn body_that_never_ends_is_cut_off_at_the_deadline_and_does_not_look_complete() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let head = "HTTP/1.1 200 OK\r\nfoxtailrouter-request-id: {id}\r\n\
                foxtailrouter-server-seal: up-1.{id}\r\ntransfer-encoding: chunked\r\n\r\n";
    up.queue_behaviors([endless(head, b"4\r\nmore\r\n")]);

    let began = Instant::now();
    let text = request("GET", "/read/1", "r1", DEADLINE_MS, "");
    let got = exchange(host.settings().caller, &text).await;

    // If too little of the body arrived to be passed on, the host answers itself.
    match got.status {
        200 => assert!(!got.is_complete, "an endless answer looks complete"),
        status => assert_eq!(status, 504),
    }
    assert!(began.elapsed() < Duration::from_millis(DEADLINE_MS) + SLACK);
    until("the connection is closed", async || up.endless_answers_closed() == 1).await;
    host.stop().await;
}

#[tokio::test]
async fn refusal_whose_body_never_ends_does_not_hold_up_the_next_attempt() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let other = site.upstream("up-2", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    up.set_behavior(Behavior::ShedEndlessly);
    other.set_behavior(Behavior::ShedEndlessly);

    let began = Instant::now();
    let text = request("GET", "/read/1", "r1", DEADLINE_MS, "");
    let got = exchange(host.settings().caller, &text).await;

    assert_eq!(got.status, 503);
    assert!(began.elapsed() < Duration::from_millis(DEADLINE_MS / 2), "{:?}", began.elapsed());
    host.stop().await;
}

#[tokio::test]
async fn empty_lines_count_only_before_an_answer() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let caller = host.settings().caller;
    let body = "\r\n".repeat(10_000);
    // The lines before the answer, and whether it is passed on.
    for (n, (lines, passed_on)) in [(0, true), (2, true), (2_000, false)].into_iter().enumerate() {
        let id = format!("r-{n}");
        let answer = format!(
            "{}HTTP/1.1 200 OK\r\nfoxtailrouter-request-id: {id}\r\ncontent-length: {}\r\n\r\n{body}",
            "\r\n".repeat(lines),
            body.len()
        );
        up.queue_behaviors([Behavior::SendAndClose(answer.into_bytes())]);
        let got = exchange(caller, &request("POST", "/write/1", &id, 1_500, "")).await;
        if passed_on {
            assert_eq!((got.status, got.body.len()), (200, body.len()), "{lines} lines");
        } else {
            assert_eq!(got.status, 502, "{lines} lines");
        }
    }
    host.stop().await;
}
