//! Entries of another writer, and messages that no host sends: a host neither ends nor stops following
//! the store, and requests are served.

mod common;

use std::io::ErrorKind;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use common::{TestSite, exchange, metric, ready, request, until};
use foxtail_entry::Host;
use foxtail_entry::message::Message;
use foxtail_standin::caller::Request;
use foxtail_standin::store::StoreEndpoint;
use foxtail_standin::upstream::UpstreamServer;
use foxtail_steer::Fleet;
use foxtail_steer::fleet::{HostRecord, Versions};
use foxtail_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

async fn status(host: &Host, path: &str) -> u16 {
    exchange(host.settings().caller, &request("GET", path, "probe", 1_000, "")).await.status
}

/// Sends requests about objects that were not requested before, which all upstreams of the service
/// answer.
async fn request_many_objects(host: &Host) {
    static REQUESTED: AtomicU64 = AtomicU64::new(0);
    let first = REQUESTED.fetch_add(40, Ordering::Relaxed);
    for object in first..first + 40 {
        let timeout = Duration::from_secs(1);
        let (method, host_name, path) = ("GET", "svc.example", "/read/1");
        let req = Request { method, host: host_name, path, id: "probe", object, timeout, body: "" };
        assert_eq!(exchange(host.settings().caller, &req.encode()).await.status, 200);
    }
}

fn nested(levels: usize, open: &str, close: &str) -> String {
    format!("{}1{}", open.repeat(levels), close.repeat(levels))
}

/// Returns the registration of `up` with `from` replaced by `to`.
fn changed(up: &UpstreamServer, from: &str, to: &str) -> Vec<u8> {
    let row = String::from_utf8(up.registration("books", "a1", "ready", 0.0)).unwrap();
    assert!(row.contains(from), "{row}");
    row.replace(from, to).into_bytes()
}

/// Returns the registration of `up` as of a process that started at `born`.
fn born(up: &UpstreamServer, born: u64) -> Vec<u8> {
    changed(up, "\"info\"", &format!("\"born\":{born},\"info\""))
}

/// Returns odd registrations of `up`, none of which names an upstream to use.
fn odd_registrations(up: &UpstreamServer) -> Vec<Vec<u8>> {
    let addr = up.addr().to_string();
    let huge = "x".repeat(60_000);
    let mut rows = vec![
        b"\xff\xfe".to_vec(),
        Vec::new(),
        b"\xef\xbb\xbf{}".to_vec(),
        "[".repeat(60_000).into_bytes(),
        nested(30_000, "[", "]").into_bytes(),
        nested(9_000, r#"{"a":"#, "}").into_bytes(),
        changed(up, "\"v1\"", &nested(30_000, "[", "]")),
        changed(up, "\"ready\"", "{\"ready\":null}"),
        changed(up, "\"info\"", "\"born\":18446744073709551615,\"info\""),
        changed(up, "\"zone\":\"a1\"", "\"zone\":\"zz-9\""),
    ];
    let ports = ["0", "65536", "99999999", "-1", ""];
    rows.extend(ports.map(|port| changed(up, &addr, &format!("127.0.0.1:{port}"))));
    rows.extend(["0.0.0.0:80", "[::]:1", "name:80"].map(|other| changed(up, &addr, other)));
    let slots = ["4294967295", "4294967296", "1e400", "-1", "99999999999999999999999999"];
    rows.extend(slots.map(|slots| changed(up, "\"slots\":3", &format!("\"slots\":{slots}"))));
    let cold = ["1e308", "1e18", "1e400", "NaN"];
    let cold = cold.map(|cold| format!("\"cold_remaining_s\":{cold}"));
    rows.extend(cold.map(|cold| changed(up, "\"cold_remaining_s\":0", &cold)));
    rows.extend(["a1", "ready", "books"].map(|text| changed(up, text, &huge)));
    rows
}

/// Rows beside which a page can't be decoded as a whole.
const ODD_ROWS: [&[u8]; 6] = [
    br#"{"key":"m\ud800","value":"e30=","row_version":1}"#,
    b"{\"key\":\"m\xff\",\"value\":\"e30=\",\"row_version\":1}",
    br#"{"key":"m-1","value":null,"row_version":18446744073709551615}"#,
    br#"{"key":7,"value":{"a":[1]},"row_version":1e400}"#,
    b"[]",
    b"null",
];

/// Waits until `host` has taken over changes of the configuration and of upstreams.
async fn assert_follows(site: &TestSite, host: &Host, version: u64) {
    site.configure_with_extra_routes(version, 1);
    until("a later configuration is in force", async || status(host, "/extra-0/1").await == 200)
        .await;
    let added = site.upstream(&format!("later-{version}"), "a1").await;
    until("a later upstream is used", async || {
        request_many_objects(host).await;
        added.runs() > 0
    })
    .await;
    site.store.put("servers", added.id(), &added.registration("books", "a1", "draining", 0.0));
    site.configure(version + 1);
    until("a still later configuration is in force", async || {
        status(host, "/extra-0/1").await == 404
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = added.runs();
    request_many_objects(host).await;
    assert_eq!(added.runs(), before, "requests went to an upstream that leaves");
}

/// Writes odd rows of all tables, and rows that only the whole page shows.
fn write_odd_rows(site: &TestSite, endpoint: &StoreEndpoint, up: &UpstreamServer) {
    for (n, row) in odd_registrations(up).iter().enumerate() {
        site.store.put("servers", &format!("odd-{n}"), row);
        site.store.put("hosts", &format!("odd-{n}"), row);
        site.store.put("op", &format!("odd-{n}"), row);
    }
    let name = "x".repeat(200);
    for key in [name.as_str(), "", "Not A Name!", "\0", "é", "a\nb=c"] {
        site.store.put("servers", key, &up.registration("books", "a1", "ready", 0.0));
        site.store.put("hosts", key, b"{}");
        site.store.put("op", &format!("evacuate/{key}"), b"{}");
    }
    let record = r#"{"id":"h-1","region":"a","zone":"a1","caller":"127.0.0.1:0","peer":"127.0.0.1:0","operator":null}"#;
    for (key, id) in [("h-1", "h-1"), ("odd", "h-1"), ("odd-port", "odd-port")] {
        site.store.put("hosts", key, record.replace("h-1", id).as_bytes());
    }
    endpoint.set_odd_rows(&ODD_ROWS);
}

#[tokio::test]
async fn odd_rows_written_later_do_not_stop_a_host_from_following() {
    let site = TestSite::new();
    site.configure(7);
    let _up = site.upstream("up-1", "a1").await;
    let trap = UpstreamServer::start("trap", 3).await.unwrap();
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    write_odd_rows(&site, &endpoint, &trap);
    assert_follows(&site, &host, 10).await;
    // Reads all rows anew.
    site.store.clear_history();
    assert_follows(&site, &host, 20).await;
    assert_eq!(trap.received_requests().len(), 0, "requests went to an odd upstream");
    host.stop().await;
}

#[tokio::test]
async fn odd_rows_do_not_keep_a_starting_host_from_joining_and_following() {
    let site = TestSite::new();
    site.configure(7);
    // More rows than one page holds.
    for n in 0..700 {
        site.store.put("servers", &format!("m-{n}"), b"\xff");
    }
    let cold = UpstreamServer::start("cold-1", 3).await.unwrap();
    site.store.put("servers", "cold-1", &cold.registration("books", "a1", "ready", 30.0));
    let trap = UpstreamServer::start("trap", 3).await.unwrap();
    let endpoint = site.store_endpoint().await;
    write_odd_rows(&site, &endpoint, &trap);
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    // Only a host that has read the registrations of all hosts sends to cold upstreams.
    until("the cold upstream is used", async || status(&host, "/read/1").await == 200).await;
    let up = site.upstream("up-1", "a1").await;
    until("a later upstream is used", async || {
        status(&host, "/read/1").await;
        up.runs() > 0
    })
    .await;
    assert_follows(&site, &host, 10).await;
    assert_eq!(trap.received_requests().len(), 0, "requests went to an odd upstream");
    host.stop().await;
}

#[tokio::test]
async fn upstream_whose_registration_turned_odd_gets_nothing_until_it_is_right_again() {
    let site = TestSite::new();
    site.configure(7);
    let _kept = site.upstream("up-1", "a1").await;
    let up = site.upstream("up-2", "a1").await;
    site.store.put("servers", "up-2", &born(&up, 1_764_902_512_000));
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let with_start = |from: &str, to: &str| {
        let row = String::from_utf8(born(&up, 1_764_902_512_000)).unwrap();
        row.replace(from, to).into_bytes()
    };
    let odd_rows = [
        born(&up, u64::MAX),
        with_start("\"cold_remaining_s\":0", "\"cold_remaining_s\":1e308"),
        with_start("\"slots\":3", "\"slots\":4294967295"),
        b"\xff".to_vec(),
    ];
    let real = |state: &str| site.store.put("servers", "up-2", &with_start("ready", state));
    for (n, odd) in odd_rows.iter().enumerate() {
        until_used(&host, &up).await;
        site.store.put("servers", "up-2", odd);
        assert_unused(&host, &up, &format!("odd row {n} names a server to use")).await;
        real("ready");
        until_used(&host, &up).await;
        let before = up.runs();
        for _ in 0..3 {
            request_many_objects(&host).await;
        }
        let runs = up.runs() - before;
        assert!(runs > 30, "{runs} of 120 requests: taken for cold after odd row {n}");
        real("draining");
        assert_unused(&host, &up, &format!("a change after odd row {n} is not followed")).await;
        real("ready");
    }
    until_used(&host, &up).await;
    host.stop().await;
}

async fn until_used(host: &Host, up: &UpstreamServer) {
    until("the upstream is used", async || {
        let before = up.runs();
        request_many_objects(host).await;
        up.runs() > before
    })
    .await;
}

/// Checks that `up` gets no requests a second later.
async fn assert_unused(host: &Host, up: &UpstreamServer, why: &str) {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = up.received_requests().len();
    request_many_objects(host).await;
    assert_eq!(up.received_requests().len(), before, "{why}");
}

/// Returns a message of a host that knows the store's areas at `version`.
fn message(version: u64) -> Vec<u8> {
    let addr = "127.0.0.1:9".parse().unwrap();
    let record = HostRecord {
        id: "h-9".parse().unwrap(),
        region: "a".parse().unwrap(),
        zone: "a1".parse().unwrap(),
        caller: addr,
        peer: addr,
        operator: None,
    };
    let mut digest = Fleet::new(record, Millis(1_000), Millis(2_000)).own_digest(Millis(1_000));
    digest.versions = Versions { operators: version, upstreams: version };
    Message { digest, limits: Vec::new(), leaving: Some(Vec::new()) }.encode().unwrap()
}

/// A length of 2^64 - 1 in the encoding of messages.
const HUGE_LENGTH: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];

#[tokio::test]
async fn odd_messages_and_frames_do_not_stop_a_host_from_learning_of_others() {
    let site = TestSite::new();
    site.configure(7);
    let _up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let peer = host.settings().peer;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let good = message(0);
    for end in 0..=good.len() {
        let cut = &good[..end];
        for bytes in [cut.to_vec(), [cut, &HUGE_LENGTH].concat(), [cut, &[0xff; 12]].concat()] {
            socket.send_to(&bytes, peer).await.unwrap();
        }
    }
    for len in [0, 1, 1_000, 16 * 1024, 60_000] {
        socket.send_to(&vec![0xff; len], peer).await.unwrap();
        socket.send_to(&vec![0; len], peer).await.unwrap();
    }
    // The host that announces this version can't be reached.
    socket.send_to(&message(u64::MAX), peer).await.unwrap();
    // The length of a frame: 4 GiB, the most that is read, and one that never arrives.
    for frame in
        [&[0xff; 64][..], &[0x01, 0, 0, 0, 1], &[0, 0, 0, 9], &[0, 0, 0, 3, 9, 9, 9], b"GET "]
    {
        let mut stream = TcpStream::connect(peer).await.unwrap();
        stream.write_all(frame).await.unwrap();
        let mut answer = Vec::new();
        let ended = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut answer));
        let ended = ended.await.expect("the connection stays open");
        assert!(ended.is_ok() || ended.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
    }
    assert_follows(&site, &host, 10).await;
    let other = site.ready_host("h-2", "a1", &endpoint).await;
    until("the hosts know each other", async || {
        common::lookup_body(&host).await.contains(&other.settings().caller.to_string())
    })
    .await;
    assert!(ready(&host).await);
    host.stop().await;
    other.stop().await;
}

proptest! {
    #[test]
    fn messages_changed_at_random_never_panic(
        changes in vec((any::<usize>(), any::<u8>()), 0..8), end in any::<usize>(), cut in any::<bool>(),
    ) {
        let mut bytes = message(7);
        let len = bytes.len();
        changes.iter().for_each(|(at, byte)| bytes[at % len] = *byte);
        bytes.truncate(if cut { end % len } else { len });
        if let Ok(message) = Message::decode(&bytes) {
            let mut fleet = Fleet::new(message.digest.from.clone(), Millis(1_000), Millis(2_000));
            fleet.receive(&message.digest, Millis(1_001));
            fleet.digest(Millis(1_002));
        }
    }

    #[test]
    fn random_bytes_are_never_a_reason_to_panic(bytes in vec(any::<u8>(), 0..400)) {
        let _ = Message::decode(&bytes);
    }
}

/// As many upstreams as a large site has.
const MANY_UPSTREAMS: usize = 700;

#[tokio::test]
async fn one_odd_registration_among_hundreds_takes_no_other_with_it() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let addr = up.addr().to_string();
    let port_70000 = changed(&up, &addr, "127.0.0.1:70000");
    let odd = [
        port_70000,
        changed(&up, "\"slots\":3", "\"slots\":1e400"),
        changed(&up, "\"v1\"", &nested(10_000, "[", "]")),
    ];
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    for (round, odd) in odd.into_iter().enumerate() {
        // Some come before the odd one and some after it, in one page and as changes.
        for n in 0..MANY_UPSTREAMS - 2 {
            // Of another service, whose requests would find another upstream at this address.
            let others = format!("\"sequence\":{}", round + 1);
            let row = String::from_utf8(changed(&up, "\"sequence\":1", &others)).unwrap();
            let row = row.replace("\"books\"", "\"seats\"").into_bytes();
            site.store.put("servers", &format!("many-{n:03}"), &row);
        }
        site.store.put("servers", "many-350-odd", &odd);
        let expected = Some((MANY_UPSTREAMS - 1) as f64);
        until("all others are known", async || {
            metric(&host, "upstreams_registered").await == expected
        })
        .await;
        let later = site.ready_host(&format!("h-{}", round + 2), "a1", &endpoint).await;
        until("all others are known to a host that starts", async || {
            metric(&later, "upstreams_registered").await == expected
        })
        .await;
        later.stop().await;
    }
    assert_eq!(
        exchange(host.settings().caller, &request("GET", "/read/1", "r1", 1_000, "")).await.status,
        200
    );
    host.stop().await;
}
