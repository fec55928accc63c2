//! Requests that a host which lost its upstreams relays to hosts whose links to upstreams are silent too:
//! connections are accepted, and nothing ever comes back.

mod common;

use std::time::Duration;

use common::cut_site::CutSite;
use common::{Cut, CutDial, exchange, metrics_page, ready, request, until};
use foxtail_entry::Host;
use foxtail_standin::caller::Answer;
use foxtail_standin::store::RateLimits;
use foxtail_standin::upstream::UpstreamServer;
use tokio::time::Instant;

/// The deadlines of requests, in milliseconds.
const DEADLINES_MS: [u64; 3] = [1_000, 2_000, 6_000];

/// By when a request that must not be repeated ends at a host whose links are silent, of the 6 s that
/// its caller waits.
const ENDED_WITHIN: Duration = Duration::from_millis(4_500);

/// Starts a site whose host 0 has lost its upstreams and relays, and silences the links of `silent`.
async fn site_with_silent_links(zones: &[&str], silent: &[usize]) -> CutSite {
    let site = CutSite::start(zones).await;
    site.site.configure_with(8, "books", 6.0);
    // Digests tell of hosts that have become ready.
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.cut_off(0, Cut::Reset).await;
    silent.iter().for_each(|host| site.dials[*host].set(Some(Cut::Silent)));
    site
}

/// Starts one more host in zone a1 that is cut off from all upstreams, and waits until it is ready.
async fn start_cut_off(site: &CutSite, cut: Cut) -> Host {
    let dial = CutDial::new(site.ups.iter().map(UpstreamServer::addr));
    dial.set(Some(cut));
    let host = site.site.host_with_dial("h-late", "a1", &site.endpoint, dial.arc()).await;
    until("the host is ready", async || ready(&host).await).await;
    host
}

/// Sends 20 requests to `host`, every other of which must not be repeated, and returns how many were
/// answered.
async fn served_by(host: &Host, deadline_ms: u64) -> usize {
    let mut served = 0;
    for n in 0..20 {
        let (method, path) = [("GET", "/read/1"), ("POST", "/write/1")][n % 2];
        let text = request(method, path, &format!("late-{n}"), deadline_ms, "");
        served += usize::from(exchange(host.settings().caller, &text).await.status == 200);
    }
    served
}

async fn send(site: &CutSite, method: &str, id: &str, deadline_ms: u64) -> (Answer, Duration) {
    let path = if method == "GET" { "/read/1" } else { "/write/1" };
    let sent_at = Instant::now();
    let text = request(method, path, id, deadline_ms, "");
    let got = exchange(site.hosts[0].settings().caller, &text).await;
    (got, sent_at.elapsed())
}

/// Sends requests that may be repeated to host 0, right after the links of the hosts `silent` became so.
async fn assert_served_by_the_last_host(zones: &[&str], silent: &[usize]) {
    for deadline_ms in DEADLINES_MS {
        let site = site_with_silent_links(zones, silent).await;
        let ids: Vec<String> = (0..3).map(|n| format!("r{n}")).collect();
        let sent = ids.iter().map(|id| send(&site, "GET", id, deadline_ms));
        for (got, took) in futures::future::join_all(sent).await {
            assert_eq!(got.status, 200, "{} after {took:?} of {deadline_ms} ms", got.body);
        }
        site.stop().await;
    }
}

#[tokio::test]
async fn repeatable_requests_relayed_to_a_host_with_silent_links_are_served_by_the_next_one() {
    assert_served_by_the_last_host(&["a1", "a2", "b1"], &[1]).await;
}

#[tokio::test]
async fn repeatable_requests_pass_by_two_hosts_with_silent_links_in_turn() {
    assert_served_by_the_last_host(&["a1", "a2", "a1", "b1"], &[1, 2]).await;
}

#[tokio::test]
async fn requests_that_must_not_be_repeated_pass_by_an_idle_host_with_silent_links() {
    let site = site_with_silent_links(&["a1", "a2", "b1"], &[1]).await;
    // Longer than a quarter of the requests' time, and shorter than host 1 takes to notice.
    tokio::time::sleep(Duration::from_millis(700)).await;
    let ids: Vec<String> = (0..4).map(|n| format!("w{n}")).collect();
    let sent = ids.iter().map(|id| send(&site, "POST", id, 2_000));
    let ended = futures::future::join_all(sent).await;
    for (id, (got, took)) in ids.iter().zip(ended) {
        assert_eq!((got.status, site.runs(id)), (200, 1), "{} after {took:?}", got.body);
    }
    site.stop().await;
}

#[tokio::test]
async fn idle_hosts_that_reach_upstreams_serve_what_is_relayed_to_them() {
    let site = site_with_silent_links(&["a1", "a2", "a1", "b1"], &[]).await;
    for n in 0..6 {
        // The hosts have had no answer for over a quarter of the requests' time.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let (id, method) = (format!("i{n}"), ["GET", "POST"][n % 2]);
        let (got, took) = send(&site, method, &id, 4_000).await;
        assert_eq!((got.status, site.runs(&id)), (200, 1), "{} after {took:?}", got.body);
        // A request that is held until no answer came in time takes 500 ms longer.
        assert!(took < Duration::from_millis(400), "{id} took {took:?}");
    }
    let page = metrics_page(&site.hosts[0]).await;
    let is_counted = |outcome| page.contains(&format!("relays_total{{outcome=\"{outcome}\"}}"));
    assert!(is_counted("answered"), "no host served what was relayed");
    assert!(!is_counted("not-taken"), "a host refused what it could serve");
    site.stop().await;
}

#[tokio::test]
async fn requests_that_must_not_be_repeated_end_with_the_truth_at_hosts_with_silent_links() {
    let site = site_with_silent_links(&["a1", "a2", "b1"], &[1]).await;
    let ids: Vec<String> = (0..8).map(|n| format!("w{n}")).collect();
    let sent = ids.iter().map(|id| send(&site, "POST", id, 6_000));
    let ended = futures::future::join_all(sent).await;
    for (id, (got, took)) in ids.iter().zip(ended) {
        assert!(took < ENDED_WITHIN, "{id} ended with {} after {took:?}", got.status);
        // Whether a silent upstream has run it can not be known.
        assert!(matches!(got.status, 502 | 504), "{id}: {} {}", got.status, got.body);
    }
    // Both hosts know by now, and the third one serves.
    for n in 0..8 {
        let id = format!("later-{n}");
        let (got, took) = send(&site, "POST", &id, 2_000).await;
        assert_eq!((got.status, site.runs(&id)), (200, 1), "{} after {took:?}", got.body);
    }
    site.stop().await;
}

#[tokio::test]
async fn a_host_that_starts_learns_that_links_are_silent_before_it_takes_requests() {
    let site = site_with_silent_links(&["a1", "a2", "b1"], &[]).await;
    let host = start_cut_off(&site, Cut::Silent).await;
    assert_eq!(served_by(&host, 1_000).await, 20, "served by other hosts, of 20");
    host.stop().await;
    site.stop().await;
}

#[tokio::test]
async fn a_host_that_starts_knows_hosts_of_other_regions_before_it_takes_requests() {
    let mut site = CutSite::start(&["a1", "b1"]).await;
    let stopping = tokio::spawn(site.hosts.remove(0).stop());
    // The store turns writes away for a second.
    site.endpoint.set_rate_limits(RateLimits { writes_per_s: 0, reads_per_s: 1_000 });
    let dial = CutDial::new(site.ups.iter().map(UpstreamServer::addr));
    dial.set(Some(Cut::Reset));
    let host = site.site.host_with_dial("h-late", "a1", &site.endpoint, dial.arc()).await;
    until("the host is ready", async || ready(&host).await).await;
    assert_eq!(served_by(&host, 1_000).await, 20, "served by a host of another region, of 20");
    stopping.await.expect("the host stops");
    host.stop().await;
    site.stop().await;
}
