//! Requests that callers send before the ones in front of them are answered.

mod common;

use std::time::{Duration, Instant};

use common::{TestSite, request, until};
use foxtail_entry::Host;
use foxtail_standin::store::StoreEndpoint;
use foxtail_standin::upstream::{Behavior, UpstreamServer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The time for which upstreams work on a request.
const WORK: Duration = Duration::from_millis(400);

/// The timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a request may be held past its route's timeout.
const HELD: Duration = Duration::from_millis(250);

struct Pipelining {
    host: Host,
    ups: Vec<UpstreamServer>,
    conn: TcpStream,
    _site: TestSite,
    _endpoint: StoreEndpoint,
}

/// Starts a host with two upstreams and connects to it.
async fn site() -> Pipelining {
    let site = TestSite::new();
    site.configure_with(7, "books", ROUTE_TIMEOUT.as_secs_f64());
    let ups = vec![site.upstream("up-1", "a1").await, site.upstream("up-2", "a1").await];
    ups.iter().for_each(|up| up.set_work_time(WORK));
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let conn = TcpStream::connect(host.settings().caller).await.expect("can't connect");
    Pipelining { host, ups, conn, _site: site, _endpoint: endpoint }
}

fn get(id: &str) -> String {
    request("GET", "/read/1", id, 5_000, "")
}

/// Returns when the upstreams received the requests with these identifiers.
fn received_at<const N: usize>(ups: &[UpstreamServer], ids: [&str; N]) -> [Option<Instant>; N] {
    let all: Vec<_> = ups.iter().flat_map(UpstreamServer::received_requests).collect();
    ids.map(|id| {
        let seen = all.iter().find(|seen| seen.headers["foxtailrouter-request-id"] == id);
        seen.and_then(|seen| seen.received_at)
    })
}

/// Reads what the host sends until there are `count` responses or it closes the connection.
async fn read_responses(conn: &mut TcpStream, count: usize) -> String {
    let mut text = Vec::new();
    let reading = async {
        while count_of(&text, "HTTP/1.1 ") < count || !ends_with_body(&text) {
            if conn.read_buf(&mut text).await.unwrap_or(0) == 0 {
                break;
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(10), reading).await.expect("no responses in time");
    String::from_utf8_lossy(&text).into_owned()
}

fn count_of(text: &[u8], part: &str) -> usize {
    text.windows(part.len()).filter(|window| *window == part.as_bytes()).count()
}

/// Returns whether the last response in `text` is whole.
fn ends_with_body(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text).to_lowercase();
    let last = text.rsplit("http/1.1 ").next().unwrap();
    let Some((head, body)) = last.split_once("\r\n\r\n") else { return false };
    let len = head.split_once("content-length: ").and_then(|(_, rest)| rest.lines().next());
    len.and_then(|len| len.parse::<usize>().ok()).is_some_and(|len| body.len() >= len)
}

/// Returns the identifiers of the requests whose responses are in `text`, in order.
fn answered(text: &str) -> Vec<&str> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("foxtailrouter-request-id: "));
    ids.collect()
}

#[tokio::test]
async fn pipelined_requests_run_side_by_side_and_are_answered_in_order() {
    let mut site = site().await;
    let text = get("r1") + &get("r2") + &get("r3");
    site.conn.write_all(text.as_bytes()).await.unwrap();
    let responses = read_responses(&mut site.conn, 3).await;

    assert_eq!(answered(&responses), ["r1", "r2", "r3"], "{responses}");
    let [Some(first), Some(second), Some(third)] = received_at(&site.ups, ["r1", "r2", "r3"])
    else {
        panic!("the upstreams have all three");
    };
    assert!(second - first < WORK && third - first < WORK, "they waited for each other");
    site.host.stop().await;
}

#[tokio::test]
async fn pipelined_requests_are_found_wherever_their_bytes_are_cut() {
    let mut site = site().await;
    site.conn.set_nodelay(true).unwrap();
    let text = get("r1") + &get("r2");
    let first_len = get("r1").len();
    let (first, rest) = text.split_at(first_len);
    site.conn.write_all(first.as_bytes()).await.unwrap();
    for part in rest.as_bytes().chunks(20) {
        site.conn.write_all(part).await.unwrap();
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let responses = read_responses(&mut site.conn, 2).await;

    assert_eq!(answered(&responses), ["r1", "r2"], "{responses}");
    let [Some(first), Some(second)] = received_at(&site.ups, ["r1", "r2"]) else {
        panic!("the upstreams have both");
    };
    assert!(second - first < WORK, "the second one waited for the first");
    site.host.stop().await;
}

#[tokio::test]
async fn pipelined_request_is_not_held_past_the_timeout_of_its_route() {
    let mut site = site().await;
    site.ups.iter().for_each(|up| up.set_behavior(Behavior::Silent));
    let sent_at = Instant::now();
    site.conn.write_all((get("r1") + &get("r2") + &get("r3")).as_bytes()).await.unwrap();
    let responses = read_responses(&mut site.conn, 3).await;

    assert_eq!(responses.matches("HTTP/1.1 504").count(), 3, "{responses}");
    let took = sent_at.elapsed();
    assert!(took < ROUTE_TIMEOUT + HELD, "the last one was answered after {took:?}");
    site.host.stop().await;
}

#[tokio::test]
async fn request_that_may_run_once_waits_for_its_turn_and_none_overtakes_it() {
    let mut site = site().await;
    let write = request("POST", "/write/1", "w", 5_000, "");
    site.conn.write_all((get("r1") + &write + &get("r2")).as_bytes()).await.unwrap();
    let responses = read_responses(&mut site.conn, 3).await;

    assert_eq!(answered(&responses), ["r1", "w", "r2"], "{responses}");
    let [Some(first), Some(write), Some(last)] = received_at(&site.ups, ["r1", "w", "r2"]) else {
        panic!("the upstreams have all three");
    };
    assert!(write - first >= WORK && last - write >= WORK, "one overtook another");
    site.host.stop().await;
}

#[tokio::test]
async fn requests_with_bodies_are_read_whole_between_pipelined_ones() {
    let mut site = site().await;
    let body = "x".repeat(200_000);
    let write = request("POST", "/write/1", "w", 5_000, &body);
    let text = get("r1") + &get("r2") + &write + &get("r3");
    site.conn.write_all(text.as_bytes()).await.unwrap();
    let responses = read_responses(&mut site.conn, 4).await;

    assert_eq!(answered(&responses), ["r1", "r2", "w", "r3"], "{responses}");
    let received = site.ups.iter().flat_map(UpstreamServer::received_requests);
    assert!(received.into_iter().any(|seen| seen.body == body.as_bytes()), "the body was changed");
    site.host.stop().await;
}

#[tokio::test]
async fn caller_that_leaves_cancels_all_its_pipelined_requests() {
    let site = site().await;
    let Pipelining { host, ups, mut conn, .. } = site;
    ups.iter().for_each(|up| up.set_work_time(Duration::from_secs(1)));
    conn.write_all((get("r1") + &get("r2") + &get("r3")).as_bytes()).await.unwrap();
    until("the upstreams have all three", async || {
        received_at(&ups, ["r1", "r2", "r3"]).iter().all(Option::is_some)
    })
    .await;
    drop(conn);
    until("all three are cancelled", async || {
        ups.iter().map(UpstreamServer::cancelled).sum::<u32>() == 3
    })
    .await;
    host.stop().await;
}

#[tokio::test]
async fn stopping_host_answers_the_pipelined_requests_that_it_started() {
    let Pipelining { host, ups, mut conn, .. } = site().await;
    conn.write_all((get("r1") + &get("r2") + &get("r3")).as_bytes()).await.unwrap();
    until("the upstreams have all three", async || {
        received_at(&ups, ["r1", "r2", "r3"]).iter().all(Option::is_some)
    })
    .await;
    let stopping = tokio::spawn(host.stop());
    tokio::time::sleep(Duration::from_millis(50)).await;
    // What comes now is for another host.
    conn.write_all(get("r4").as_bytes()).await.unwrap();
    let responses = read_responses(&mut conn, 4).await;

    assert_eq!(answered(&responses), ["r1", "r2", "r3"], "{responses}");
    assert_eq!(responses.matches("connection: close").count(), 1, "{responses}");
    assert_eq!(received_at(&ups, ["r4"]), [None]);
    stopping.await.unwrap();
}

#[tokio::test]
async fn few_requests_of_a_connection_run_side_by_side() {
    const SENT: usize = 40;
    let mut site = site().await;
    site.ups.iter().for_each(|up| up.set_behavior(Behavior::Silent));
    let text: String = (0..SENT).map(|n| get(&format!("r{n}"))).collect();
    site.conn.write_all(text.as_bytes()).await.unwrap();
    tokio::time::sleep(WORK).await;

    let received = site.ups.iter().map(|up| up.received_requests().len()).sum::<usize>();
    assert!(received <= 9, "{received} requests of one connection at the same time");
    drop(site.conn);
    site.host.stop().await;
}
