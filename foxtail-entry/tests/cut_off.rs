//! Hosts that are cut off from all upstreams, while callers, the store and other hosts reach them.

mod common;

use std::time::Duration;

use common::cut_site::CutSite;
use common::{Cut, CutDial, TestSite, exchange, lookup_body, request, until};
use foxtail_standin::upstream::{Behavior, UpstreamServer};
use tokio::time::Instant;

const CUTS: [Cut; 3] = [Cut::Hang, Cut::Reset, Cut::RefuseNew];

/// Within what time after a host has lost its upstreams others of its region notice that they did too.
const IDLE_HOSTS_NOTICE_WITHIN: Duration = Duration::from_millis(1_600);

#[tokio::test]
async fn host_that_is_cut_off_from_all_upstreams_serves_its_callers() {
    for cut in CUTS {
        let site = CutSite::start(&["a1", "a2"]).await;
        site.cut_off(0, cut).await;
        for n in 0..20 {
            let method = if n % 2 == 0 { "GET" } else { "POST" };
            let id = format!("r{n}");
            let got = site.send(0, method, &id).await;
            assert_eq!(got.status, 200, "{cut:?}: {method} {}", got.body);
            assert_eq!(site.runs(&id), 1, "{cut:?}: {method}");
        }
        site.stop().await;
    }
}

#[tokio::test]
async fn look_ups_do_not_name_a_host_that_is_cut_off_from_all_upstreams() {
    for cut in CUTS {
        let site = CutSite::start(&["a1", "a2", "a1"]).await;
        let addrs: Vec<String> =
            site.hosts.iter().map(|host| host.settings().caller.to_string()).collect();
        // Digests tell of hosts that have become ready. The host that is named before has to be one that
        // is named again.
        let named = async |host: usize| -> Vec<bool> {
            let body = lookup_body(&site.hosts[host]).await;
            addrs.iter().map(|addr| body.contains(addr)).collect()
        };
        until("the look-ups of all hosts agree", async || {
            let first = named(0).await;
            first == named(1).await && first == named(2).await
        })
        .await;
        let before = lookup_body(&site.hosts[1]).await;
        let host = (0..3).find(|n| before.contains(&addrs[*n])).expect("a host is named");
        site.cut_off(host, cut).await;
        for other in &site.hosts {
            let body = lookup_body(other).await;
            assert!(!body.contains(&addrs[host]), "{cut:?}: {body} names {}", addrs[host]);
        }
        site.dials[host].set(None);
        until("look-ups name the host again", async || {
            lookup_body(&site.hosts[1]).await.contains(&addrs[host])
        })
        .await;
        site.stop().await;
    }
}

#[tokio::test]
async fn requests_are_refused_at_once_if_all_hosts_are_cut_off_from_all_upstreams() {
    let site = CutSite::start(&["a1", "a2", "b1"]).await;
    site.dials.iter().for_each(|dial| dial.set(Some(Cut::Reset)));
    for host in 0..3 {
        site.cut_off(host, Cut::Reset).await;
    }
    for n in 0..6 {
        let sent_at = Instant::now();
        let got = site.send(n % 3, "POST", &format!("r{n}")).await;
        assert_eq!(got.status, 503, "{}", got.body);
        assert!(got.headers.contains_key("retry-after"));
        assert!(sent_at.elapsed() < Duration::from_millis(500), "{:?}", sent_at.elapsed());
        assert_eq!(site.runs(&format!("r{n}")), 0);
    }
    site.stop().await;
}

#[tokio::test]
async fn a_request_that_crashes_upstreams_is_barred_for_the_callers_of_a_host_that_is_cut_off() {
    let site = CutSite::start(&["a1", "a2"]).await;
    site.cut_off(0, Cut::Reset).await;
    site.ups.iter().for_each(|up| up.set_behavior(Behavior::RunAndClose));
    let send = async |host: usize, n: usize| {
        let text = request("GET", "/read/bad", &format!("p{n}"), 1_500, "");
        exchange(site.hosts[host].settings().caller, &text).await
    };
    for n in 0..10 {
        send(n % 2, n).await;
    }
    // An upstream that runs the request again has not crashed, and counts once.
    let ran_it = |up: &&UpstreamServer| {
        up.received_requests().iter().any(|seen| seen.request_line.contains("/read/bad"))
    };
    let crashed = site.ups.iter().filter(ran_it).count();
    assert_eq!(crashed, 3, "upstreams that the request crashed");
    assert_eq!(send(0, 20).await.status, 503);
    site.stop().await;
}

#[tokio::test]
async fn requests_of_a_cut_off_host_reach_no_upstream_that_left() {
    let site = CutSite::start(&["a1", "a2"]).await;
    site.cut_off(0, Cut::RefuseNew).await;
    let (left, stays) = site.ups.split_at(4);
    for (n, up) in left.iter().enumerate() {
        let zone = ["a1", "a1", "a2", "a2"][n];
        let row = up.registration("books", zone, "draining", 0.0);
        site.site.store.put("servers", up.id(), &row);
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let runs = |ups: &[UpstreamServer]| ups.iter().map(UpstreamServer::runs).sum::<usize>();
    let (left_before, stays_before) = (runs(left), runs(stays));
    for n in 0..20 {
        assert_eq!(site.send(0, "GET", &format!("r{n}")).await.status, 200);
    }
    assert_eq!((runs(left), runs(stays)), (left_before, stays_before + 20));
    site.stop().await;
}

#[tokio::test]
async fn a_caller_that_leaves_a_cut_off_host_cancels_its_request_at_the_upstream() {
    let site = CutSite::start(&["a1", "a2"]).await;
    site.cut_off(0, Cut::Reset).await;
    site.ups.iter().for_each(|up| up.set_behavior(Behavior::Silent));
    let mut stream = tokio::net::TcpStream::connect(site.hosts[0].settings().caller).await.unwrap();
    let text = request("GET", "/read/1", "gone", 5_000, "");
    tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes()).await.unwrap();
    until("an upstream has the request", async || site.runs("gone") == 1).await;
    let cancelled_before: u32 = site.ups.iter().map(|up| up.cancelled()).sum();
    drop(stream);
    let left_at = Instant::now();
    until("the upstream cancels the request", async || {
        site.ups.iter().map(|up| up.cancelled()).sum::<u32>() > cancelled_before
    })
    .await;
    assert!(left_at.elapsed() < Duration::from_millis(500), "{:?}", left_at.elapsed());
    site.stop().await;
}

#[tokio::test]
async fn deadlines_and_attempts_hold_over_both_hosts_that_a_request_passes() {
    let site = CutSite::start(&["a1", "a2"]).await;
    site.cut_off(0, Cut::Hang).await;
    site.ups.iter().for_each(|up| up.set_behavior(Behavior::Shed));
    let got = site.send(0, "POST", "shed").await;
    assert_eq!(got.status, 503, "{}", got.body);
    let received = || site.ups.iter().flat_map(UpstreamServer::received_requests);
    let attempts =
        |id: &str| received().filter(|seen| seen.headers["foxtailrouter-request-id"] == id).count();
    assert!((1..=2).contains(&attempts("shed")), "{} attempts", attempts("shed"));
    site.ups.iter().for_each(|up| up.set_behavior(Behavior::Silent));
    let sent_at = Instant::now();
    let got = site.send(0, "GET", "late").await;
    let took = sent_at.elapsed();
    assert_eq!(got.status, 504, "{}", got.body);
    assert!(
        took >= Duration::from_millis(1_490) && took < Duration::from_millis(1_750),
        "{took:?}"
    );
    let deadlines: Vec<u64> = received()
        .filter(|seen| seen.headers["foxtailrouter-request-id"] == "late")
        .map(|seen| seen.headers["foxtailrouter-deadline-ms"].parse().unwrap())
        .collect();
    assert!(!deadlines.is_empty() && deadlines.iter().all(|left| *left <= 1_500), "{deadlines:?}");
    let relay_headers =
        received().filter(|seen| seen.headers.keys().any(|name| name.contains("relay"))).count();
    assert_eq!(relay_headers, 0, "requests with headers between hosts");
    site.stop().await;
}

#[tokio::test]
async fn request_whose_deadline_passes_while_another_host_is_connected_is_told_that_it_did_not_run()
{
    let site = TestSite::new();
    site.configure(7);
    let ups = [site.upstream("up-1", "a1").await, site.upstream("up-2", "b1").await];
    let endpoint = site.store_endpoint().await;
    let other = site.ready_host("h-1", "a2", &endpoint).await;
    let addrs = ups.iter().map(UpstreamServer::addr).chain([other.settings().caller]);
    let dial = CutDial::new(addrs);
    let host = site.host_with_dial("h-0", "a1", &endpoint, dial.arc()).await;
    until("the host is ready", async || common::ready(&host).await).await;
    until("it knows the other one", async || {
        common::metric(&host, "hosts_alive").await == Some(2.0)
    })
    .await;
    dial.set(Some(Cut::Hang));
    until("the host has lost its upstreams", async || {
        exchange(host.settings().caller, &request("GET", "/read/1", "first", 900, "")).await;
        common::metric(&host, "upstreams_lost").await == Some(1.0)
    })
    .await;
    let got = exchange(host.settings().caller, &request("POST", "/write/1", "r1", 300, "")).await;
    assert_eq!(got.status, 503, "{}", got.body);
    host.stop().await;
    other.stop().await;
}

#[tokio::test]
async fn request_whose_deadline_passes_while_a_connection_is_made_is_told_that_it_did_not_run() {
    let site = TestSite::new();
    site.configure(7);
    let up = site.upstream("up-1", "a1").await;
    let endpoint = site.store_endpoint().await;
    let dial = CutDial::new([up.addr()]);
    let host = site.host_with_dial("h-1", "a1", &endpoint, dial.arc()).await;
    until("the host is ready", async || common::ready(&host).await).await;
    dial.set(Some(Cut::Hang));
    let got = exchange(host.settings().caller, &request("POST", "/write/1", "r1", 300, "")).await;
    assert_eq!((got.status, got.body.as_str()), (503, "deadline-passed"));
    assert!(got.headers.contains_key("retry-after"));
    host.stop().await;
}

#[tokio::test]
async fn host_without_requests_notices_that_accepted_connections_stay_silent() {
    let site = CutSite::start(&["a1", "a2", "a1", "b1"]).await;
    // Digests tell of hosts that have become ready.
    tokio::time::sleep(Duration::from_secs(2)).await;
    // Only the first host has callers.
    for host in 0..3 {
        site.dials[host].set(Some(Cut::Silent));
    }
    let lost =
        async |host: usize| common::metric(&site.hosts[host], "upstreams_lost").await == Some(1.0);
    let caller = site.hosts[0].settings().caller;
    let mut n = 0;
    while !lost(0).await {
        assert!(n < 100, "the first host does not notice");
        n += 1;
        let text = request("GET", "/read/1", &format!("first-{n}"), 1_500, "");
        tokio::spawn(async move { exchange(caller, &text).await });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let known_at = Instant::now();
    while !(lost(1).await && lost(2).await) {
        let took = known_at.elapsed();
        assert!(took < IDLE_HOSTS_NOTICE_WITHIN, "{took:?} after another host of the region");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for n in 0..20 {
        let sent_at = Instant::now();
        let got = site.send(0, ["GET", "POST"][n % 2], &format!("r{n}")).await;
        assert_eq!(got.status, 200, "{}", got.body);
        assert!(sent_at.elapsed() < Duration::from_millis(300), "{:?}", sent_at.elapsed());
    }
    site.stop().await;
}
