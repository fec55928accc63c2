//! Hosts use no upstream that left, though some of them can't reach the store, hear nothing from it or
//! can't pull from other hosts; an outage for all hosts does not end an upstream.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Cut, CutDial, TestSite, exchange, ready, until};
use foxtail_entry::Host;
use foxtail_standin::caller::Request;
use foxtail_standin::store::{Fault, StoreEndpoint};
use foxtail_standin::upstream::UpstreamServer;
use foxtail_steer::rendezvous;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// The time after which an upstream that left gets no new request, for small sites.
const DRAIN_BOUND: Duration = Duration::from_millis(2_500);

/// The time in which nothing changes in the store before an upstream leaves.
const QUIET_TIME: Duration = Duration::from_millis(4_500);

/// By when a host that the store turned away has asked it again.
const RETRY_TIME: Duration = Duration::from_millis(1_100);

/// The time between two requests to a host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// A caller of each host, which sends requests about different objects all the time.
struct Callers {
    ended: CancellationToken,
    tasks: Vec<JoinHandle<Vec<u16>>>,
}

impl Callers {
    fn start<'h>(hosts: impl IntoIterator<Item = &'h Host>) -> Self {
        let ended = CancellationToken::new();
        let addrs = hosts.into_iter().map(|host| host.settings().caller);
        let call = |addr| {
            let ended = ended.clone();
            tokio::spawn(async move {
                let mut failures = Vec::new();
                for object in 0.. {
                    if ended.is_cancelled() {
                        break;
                    }
                    let timeout = Duration::from_secs(1);
                    let (method, host, path) = ("GET", "svc.example", "/read/1");
                    let req =
                        Request { method, host, path, id: "probe", object, timeout, body: "" };
                    let status = exchange(addr, &req.encode()).await.status;
                    if status != 200 {
                        failures.push(status);
                    }
                    sleep(REQUEST_INTERVAL).await;
                }
                failures
            })
        };
        let tasks = addrs.map(call).collect();
        Self { ended, tasks }
    }

    /// Ends all callers and returns the statuses of the requests that were not answered with 200.
    async fn end(self) -> Vec<u16> {
        self.ended.cancel();
        let failures = futures::future::join_all(self.tasks).await;
        failures.into_iter().flat_map(|failures| failures.expect("no panic")).collect()
    }
}

/// An upstream of which something is removed from the store, and when.
struct Leaving<'u> {
    upstream: &'u UpstreamServer,
    at: Instant,
}

impl<'u> Leaving<'u> {
    /// Removes the registration of `upstream`, to which requests go until then.
    fn unregister(site: &TestSite, upstream: &'u UpstreamServer) -> Self {
        let leaving = Self::record(upstream);
        site.store.delete_row("servers", upstream.id());
        leaving
    }

    /// Registers `upstream`, to which requests go until then, as draining.
    fn drain(site: &TestSite, upstream: &'u UpstreamServer) -> Self {
        let leaving = Self::record(upstream);
        let row = upstream.registration("books", "a1", "draining", 0.0);
        site.store.put("servers", upstream.id(), &row);
        leaving
    }

    fn record(upstream: &'u UpstreamServer) -> Self {
        let at = Instant::now();
        let last = last_request(upstream).expect("the upstream is used before it leaves");
        let unused = at.duration_since(last);
        assert!(unused < Duration::from_millis(500), "not used for {unused:?} before it leaves");
        Self { upstream, at }
    }

    /// Waits for a while, and panics if the upstream gets a request later than [`DRAIN_BOUND`].
    async fn assert_takes_effect(&self) {
        sleep(DRAIN_BOUND + Duration::from_millis(2_000)).await;
        let last = self.last_request_after();
        assert!(last <= DRAIN_BOUND, "requests went to an upstream up to {last:?} after it left");
    }

    /// Returns how long after it left the upstream got its last request.
    fn last_request_after(&self) -> Duration {
        let last = last_request(self.upstream).expect("the upstream was used");
        last.saturating_duration_since(self.at)
    }
}

fn last_request(upstream: &UpstreamServer) -> Option<Instant> {
    upstream.received_requests().iter().filter_map(|request| request.received_at).max()
}

/// Returns names of hosts, those first which read the store for their region before the others.
fn host_names(count: usize) -> Vec<String> {
    let key = rendezvous::hash("readers");
    let mut names: Vec<String> = (1..=count).map(|n| format!("h-{n}")).collect();
    names.sort_by_key(|name| std::cmp::Reverse(rendezvous::weight(key, name)));
    names
}

/// Removes the registrations of `first` and shortly after of `second`, and panics if any of them gets a
/// request after [`DRAIN_BOUND`].
///
/// Hosts read the second removal later, since they wait for more changes after the first one.
async fn assert_removals_take_effect(
    site: &TestSite,
    first: &UpstreamServer,
    second: &UpstreamServer,
) {
    let first = Leaving::unregister(site, first);
    sleep(Duration::from_millis(50)).await;
    let second = Leaving::unregister(site, second);
    sleep(DRAIN_BOUND + Duration::from_millis(1_500)).await;
    let last = [first, second].map(|leaving| leaving.last_request_after());
    assert!(
        last.iter().all(|last| *last <= DRAIN_BOUND),
        "requests went to upstreams up to {last:?} after their registration was removed"
    );
}

/// Lets the store fail calls of the first of two hosts with `fault` for a while, in which nothing
/// changes, and removes upstreams soon after, so that this host is the first to read it.
async fn remove_upstreams_after_one_host_was_turned_away(fault: Fault) {
    let site = TestSite::new();
    site.configure(7);
    let (first, second) = (site.upstream("up-1", "a1").await, site.upstream("up-2", "a1").await);
    let changed = site.upstream("up-3", "a1").await;
    let endpoints = [site.store_endpoint().await, site.store_endpoint().await];
    let hosts = [
        site.ready_host("h-1", "a1", &endpoints[0]).await,
        site.ready_host("h-2", "a2", &endpoints[1]).await,
    ];
    sleep(Duration::from_secs(1)).await;
    let callers = Callers::start(&hosts);
    endpoints[0].set_fault(fault);
    // A change ends the waiting long poll, so that the next call meets the fault.
    site.store.put("servers", "up-3", &changed.registration("books", "a2", "ready", 0.0));
    sleep(QUIET_TIME).await;
    endpoints[0].set_fault(Fault::None);
    sleep(RETRY_TIME).await;
    endpoints[1].set_fault(Fault::Unavailable);
    assert_removals_take_effect(&site, &first, &second).await;
    callers.end().await;
    for host in hosts {
        host.stop().await;
    }
}

#[tokio::test]
async fn upstream_removed_in_a_calm_after_one_host_was_turned_away_is_not_taken_for_lapsed() {
    remove_upstreams_after_one_host_was_turned_away(Fault::Unavailable).await;
}

#[tokio::test]
async fn upstream_removed_in_a_calm_after_one_host_heard_nothing_is_not_taken_for_lapsed() {
    remove_upstreams_after_one_host_was_turned_away(Fault::Held).await;
}

#[tokio::test]
async fn time_in_which_a_host_did_not_ask_the_store_is_not_taken_for_an_outage() {
    let site = TestSite::new();
    site.configure(7);
    let (first, second) = (site.upstream("up-1", "a1").await, site.upstream("up-2", "a1").await);
    let changed = site.upstream("up-3", "a1").await;
    let (mut hosts, mut endpoints) = (Vec::new(), Vec::new());
    for name in host_names(3) {
        let endpoint = site.store_endpoint().await;
        hosts.push(site.ready_host(&name, "a1", &endpoint).await);
        endpoints.push(endpoint);
    }
    sleep(Duration::from_secs(1)).await;
    // The last host reads the store in place of the first one, fails too, and ceases to read.
    endpoints[0].set_fault(Fault::Unavailable);
    endpoints[2].set_fault(Fault::Unavailable);
    let feed_calls = || endpoints[2].call_counts().get("/rows-feed").copied().unwrap_or(0);
    let before = feed_calls();
    // A change ends the waiting long poll, so that the next call meets the fault.
    site.store.put("servers", "up-3", &changed.registration("books", "a2", "ready", 0.0));
    until("the last host reads the store", async || feed_calls() > before).await;
    endpoints[0].set_fault(Fault::None);
    sleep(QUIET_TIME).await;
    endpoints[2].set_fault(Fault::None);
    sleep(RETRY_TIME).await;

    let ceased = feed_calls();
    let leaving = tokio::spawn(hosts.remove(0).stop());
    until("the last host reads the store again", async || feed_calls() > ceased).await;
    let callers = Callers::start(&hosts);
    sleep(RETRY_TIME).await;
    endpoints[1].set_fault(Fault::Unavailable);
    assert_removals_take_effect(&site, &first, &second).await;
    callers.end().await;
    leaving.await.expect("no panic");
    for host in hosts {
        host.stop().await;
    }
}

/// Starts three hosts in region a and as many as `others` in region b, and lets the store swallow the
/// calls of the readers of region a; then an upstream drains.
async fn drain_upstream_while_readers_wait_in_vain(others: usize) {
    let site = TestSite::new();
    site.configure(7);
    let draining = site.upstream("up-1", "a1").await;
    let _kept = site.upstream("up-2", "a1").await;
    let mut hosts: Vec<(Host, StoreEndpoint)> = Vec::new();
    for (n, name) in host_names(3 + others).iter().enumerate() {
        let endpoint = site.store_endpoint().await;
        let zone = if n < 3 { "a1" } else { "b1" };
        hosts.push((site.ready_host(name, zone, &endpoint).await, endpoint));
    }
    sleep(Duration::from_secs(2)).await;
    let callers = Callers::start(hosts.iter().map(|(host, _)| host));
    for (_, endpoint) in &hosts[..3] {
        endpoint.swallow_waiting_calls();
    }
    sleep(QUIET_TIME).await;
    Leaving::drain(&site, &draining).assert_takes_effect().await;
    callers.end().await;
    for (host, _) in hosts {
        host.stop().await;
    }
}

#[tokio::test]
async fn drain_is_seen_although_the_store_swallowed_the_calls_of_all_readers() {
    drain_upstream_while_readers_wait_in_vain(0).await;
}

#[tokio::test]
async fn drain_is_seen_although_the_store_swallowed_the_calls_of_all_readers_of_one_region() {
    drain_upstream_while_readers_wait_in_vain(1).await;
}

/// Lets a host that reaches the store pull nothing from the readers of its region; then an upstream
/// drains.
async fn drain_upstream_while_a_host_pulls_nothing(cut: Cut) {
    let site = TestSite::new();
    site.configure(7);
    let draining = site.upstream("up-1", "a1").await;
    let _kept = site.upstream("up-2", "a1").await;
    let mut hosts: Vec<(Host, StoreEndpoint)> = Vec::new();
    let names = host_names(3);
    for name in &names[..2] {
        let endpoint = site.store_endpoint().await;
        hosts.push((site.ready_host(name, "a1", &endpoint).await, endpoint));
    }
    let dial = CutDial::new(hosts.iter().map(|(host, _)| host.settings().peer));
    let endpoint = site.store_endpoint().await;
    let host = site.host_with_dial(&names[2], "a1", &endpoint, Arc::new(dial.clone())).await;
    until("the host is ready", async || ready(&host).await).await;
    hosts.push((host, endpoint));
    sleep(Duration::from_secs(2)).await;
    let callers = Callers::start(hosts.iter().map(|(host, _)| host));
    dial.set(Some(cut));
    sleep(QUIET_TIME).await;
    Leaving::drain(&site, &draining).assert_takes_effect().await;
    callers.end().await;
    for (host, _) in hosts {
        host.stop().await;
    }
}

#[tokio::test]
async fn drain_is_seen_by_a_host_whose_pulls_stall() {
    drain_upstream_while_a_host_pulls_nothing(Cut::Silent).await;
}

#[tokio::test]
async fn drain_is_seen_by_a_host_whose_pulls_are_refused() {
    drain_upstream_while_a_host_pulls_nothing(Cut::Reset).await;
}

/// Lets the store fail all calls with `fault` for 5 s, in which registrations lapse; live upstreams
/// register again within 2 s after.
async fn lapse_registrations_in_an_outage(fault: Fault) {
    let site = TestSite::new();
    site.configure(7);
    let ups = [site.upstream("up-1", "a1").await, site.upstream("up-2", "a1").await];
    let endpoints = [site.store_endpoint().await, site.store_endpoint().await];
    let hosts = [
        site.ready_host("h-1", "a1", &endpoints[0]).await,
        site.ready_host("h-2", "a1", &endpoints[1]).await,
    ];
    let set_fault = |fault| endpoints.iter().for_each(|endpoint| endpoint.set_fault(fault));
    let register = |up: &UpstreamServer| {
        site.store.put("servers", up.id(), &up.registration("books", "a1", "ready", 0.0));
    };
    sleep(Duration::from_secs(1)).await;
    let callers = Callers::start(&hosts);
    set_fault(fault);
    // A change ends the waiting long polls, so that the next calls meet the fault.
    register(&ups[0]);
    sleep(Duration::from_secs(5)).await;
    for up in &ups {
        site.store.delete_row("servers", up.id());
    }
    set_fault(Fault::None);
    sleep(Duration::from_millis(1_900)).await;
    ups.iter().for_each(register);
    sleep(Duration::from_secs(3)).await;
    let failures = callers.end().await;
    assert!(failures.is_empty(), "{} requests failed: {:?}", failures.len(), failures.first());
    for host in hosts {
        host.stop().await;
    }
}

#[tokio::test]
async fn registrations_that_lapse_while_the_store_turns_all_away_interrupt_no_service() {
    lapse_registrations_in_an_outage(Fault::Unavailable).await;
}

#[tokio::test]
async fn registrations_that_lapse_while_the_store_answers_nobody_interrupt_no_service() {
    lapse_registrations_in_an_outage(Fault::Held).await;
}

#[tokio::test]
async fn upstream_removed_seconds_after_an_outage_is_not_taken_for_lapsed_by_new_readers() {
    let site = TestSite::new();
    site.configure(7);
    let (first, second) = (site.upstream("up-1", "a1").await, site.upstream("up-2", "a1").await);
    let kept = site.upstream("up-3", "a1").await;
    let mut hosts: Vec<(Host, StoreEndpoint)> = Vec::new();
    for name in host_names(6) {
        let endpoint = site.store_endpoint().await;
        hosts.push((site.ready_host(&name, "a1", &endpoint).await, endpoint));
    }
    sleep(Duration::from_secs(3)).await;
    hosts.iter().for_each(|(_, endpoint)| endpoint.set_fault(Fault::Unavailable));
    // A change ends the waiting calls, so that the next ones meet the fault.
    site.store.put("servers", "up-3", &kept.registration("books", "a2", "ready", 0.0));
    sleep(Duration::from_secs(5)).await;
    hosts.iter().for_each(|(_, endpoint)| endpoint.set_fault(Fault::None));
    sleep(Duration::from_millis(5_300)).await;
    let stops: Vec<_> = hosts.drain(..2).map(|(host, _)| tokio::spawn(host.stop())).collect();
    let callers = Callers::start(hosts.iter().map(|(host, _)| host));
    sleep(Duration::from_millis(700)).await;
    assert_removals_take_effect(&site, &first, &second).await;
    callers.end().await;
    for (host, _) in hosts {
        host.stop().await;
    }
    for stop in stops {
        stop.await.expect("no panic");
    }
}
