//! What hosts send each other over thin links: changes of the store in a large region, and notices.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{TestSite, exchange, metric, ready, request, until};
use foxtail_entry::Host;
use foxtail_standin::net::{Location, Network, Options};
use foxtail_standin::store::StoreEndpoint;
use foxtail_steer::Fleet;
use foxtail_steer::fleet::{Digest, HostRecord, Phase};
use foxtail_time::Millis;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// The hosts of one region of the grown sites.
const HOSTS: usize = 47;

/// The rate of most of these hosts' links, in Mbit/s.
const UPLINK_MBIT_PER_S: u32 = 10;

/// The routes that one change adds on the grown sites.
const EXTRA_ROUTES: usize = 1_400;

/// Routes that a host sends to one other host at a time.
const ROUTES_OF_A_LONG_PULL: usize = 3_500;

/// The length of their names, with which one thin link takes over half a second to carry them. As many
/// bytes of short names would be so many routes that an unoptimized build decodes them for longer.
const NAME_BYTES_OF_A_LONG_PULL: usize = 97;

/// The time within which changes must be in force on all hosts.
const APPLY_BOUND: Duration = Duration::from_secs(3);

/// How often a host is asked. The hosts share one process without optimization, which more questions would keep
/// busy.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

/// The time for which bytes may wait at a host's link before the host counts as choked.
const CHOKED_AFTER: Millis = Millis(500);

/// The hosts of one region on thin links, with the store and the only upstream.
struct Region {
    site: TestSite,
    network: Arc<Network>,
    hosts: Vec<(Host, StoreEndpoint)>,
}

impl Region {
    async fn start(count: usize) -> Self {
        let site = TestSite::new();
        site.configure(7);
        let zone_round_trip = Millis(3);
        let client_round_trip = Millis::ZERO;
        let network = Network::new(&[], Options { zone_round_trip, client_round_trip });
        let mut hosts = Vec::new();
        for n in 0..count {
            let endpoint = site.store_endpoint().await;
            let zone = ["a1", "a2"][n % 2];
            let location = Location::zone(&"a".parse().unwrap(), &zone.parse().unwrap());
            let dial = network.dial_from(location.clone());
            let host = site.host_with_dial(&format!("h-{n}"), zone, &endpoint, dial).await;
            let peer = host.settings().peer;
            network.register(peer, location);
            network.limit_uplink(peer, UPLINK_MBIT_PER_S);
            hosts.push((host, endpoint));
        }
        Self { site, network, hosts }
    }

    /// Waits until all hosts are ready and know each other.
    async fn settle(&self) {
        for (host, _) in &self.hosts {
            until("the host is ready", async || ready(host).await).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }

    /// Returns the names of the hosts that do not answer a request for `path` with `expected`
    /// within [`APPLY_BOUND`] after `start`.
    async fn late_hosts(&self, path: &str, expected: u16, start: Instant) -> Vec<String> {
        let mut late: Vec<&Host> = self.hosts.iter().map(|(host, _)| host).collect();
        while !late.is_empty() && start.elapsed() < APPLY_BOUND {
            let mut still_late = Vec::new();
            for host in late {
                if status(host, path).await != expected {
                    still_late.push(host);
                }
            }
            late = still_late;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        late.iter().map(|host| host.settings().host.to_string()).collect()
    }

    /// As [`Region::late_hosts`], for so many hosts that asking one after the other takes longer than the
    /// bound beside other load.
    async fn late_hosts_of_many(&self, path: &str, expected: u16, start: Instant) -> Vec<String> {
        // Each host is asked on its own: one that answers slowly must not keep others from being asked
        // again before the time is over.
        let asking = self.hosts.iter().map(|(host, _)| async move {
            while start.elapsed() < APPLY_BOUND {
                if status(host, path).await == expected {
                    return None;
                }
                tokio::time::sleep(ASK_INTERVAL).await;
            }
            Some(host.settings().host.to_string())
        });
        futures::future::join_all(asking).await.into_iter().flatten().collect()
    }

    /// Returns the longest time that bytes waited at the link of any host.
    fn longest_wait(&self) -> Millis {
        let peers = self.hosts.iter().map(|(host, _)| host.settings().peer);
        let waits = peers.map(|peer| self.network.uplink_traffic(peer).max_wait);
        waits.max().unwrap_or_default()
    }

    /// Returns the number of bytes that hosts exchanged so far, except for digests.
    fn pulled_bytes(&self) -> u64 {
        let peers = self.hosts.iter().map(|(host, _)| host.settings().peer);
        peers.map(|peer| self.network.bytes_to(peer)).sum()
    }

    async fn stop(self) {
        futures::future::join_all(self.hosts.into_iter().map(|(host, _)| host.stop())).await;
        self.network.close().await;
    }
}

async fn status(host: &Host, path: &str) -> u16 {
    exchange(host.settings().caller, &request("GET", path, "probe", 1_000, "")).await.status
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_configuration_reaches_a_region_without_choking_links() {
    let region = Region::start(HOSTS).await;
    let _up = region.site.upstream("up-1", "a1").await;
    region.settle().await;
    let start = Instant::now();
    region.site.configure_with_extra_routes(12, EXTRA_ROUTES);
    let last_route = format!("/extra-{}/1", EXTRA_ROUTES - 1);
    let late = region.late_hosts_of_many(&last_route, 200, start).await;
    let wait = region.longest_wait();
    assert!(wait <= CHOKED_AFTER, "bytes waited {wait:?} at a host's link");
    assert!(late.is_empty(), "{} of {HOSTS} hosts lack the configuration: {late:?}", late.len());
    region.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drain_reaches_a_region_while_a_large_configuration_spreads() {
    let region = Region::start(HOSTS).await;
    let up = region.site.upstream("up-1", "a1").await;
    region.settle().await;
    region.site.configure_with_extra_routes(12, EXTRA_ROUTES);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let start = Instant::now();
    region.site.store.put("servers", "up-1", &up.registration("books", "a1", "draining", 0.0));
    let late = region.late_hosts_of_many("/read/1", 503, start).await;
    let wait = region.longest_wait();
    assert!(wait <= CHOKED_AFTER, "bytes waited {wait:?} at a host's link");
    assert!(late.is_empty(), "{} of {HOSTS} hosts use the upstream: {late:?}", late.len());
    region.stop().await;
}

#[tokio::test]
async fn configuration_that_takes_longer_than_the_pull_timeout_arrives() {
    let region = Region::start(4).await;
    let _up = region.site.upstream("up-1", "a1").await;
    region.settle().await;
    let stem = "x".repeat(NAME_BYTES_OF_A_LONG_PULL);
    let start = Instant::now();
    region.site.configure_with_named_routes(12, ROUTES_OF_A_LONG_PULL, &stem);
    let last_route = format!("/{stem}-{}/1", ROUTES_OF_A_LONG_PULL - 1);
    let late = region.late_hosts(&last_route, 200, start).await;
    assert!(late.is_empty(), "{} of 4 hosts lack the configuration: {late:?}", late.len());
    region.stop().await;
}

#[tokio::test]
async fn store_that_discards_its_history_does_not_make_hosts_pull_unchanged_rows() {
    let region = Region::start(6).await;
    let _up = region.site.upstream("up-1", "a1").await;
    region.settle().await;
    let start = Instant::now();
    let before = region.pulled_bytes();
    region.site.configure_with_extra_routes(12, EXTRA_ROUTES);
    let last_route = format!("/extra-{}/1", EXTRA_ROUTES - 1);
    assert!(region.late_hosts(&last_route, 200, start).await.is_empty());
    let configured = region.pulled_bytes();

    let start = Instant::now();
    // The history also loses a change that the hosts' feeds do not cover.
    region.site.store.put("other", "row", b"{}");
    region.site.store.clear_history();
    region.site.store.put("op", "evacuate/a1", b"{}");
    assert!(region.late_hosts(&last_route, 503, start).await.is_empty());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (first, second) = (configured - before, region.pulled_bytes() - configured);
    assert!(second < first / 4, "{second} bytes for one row, {first} for the configuration");
    region.stop().await;
}

#[tokio::test]
async fn notice_of_a_stop_does_not_grow_with_the_number_of_hosts() {
    let few = stop_notice_bytes(1).await;
    let many = stop_notice_bytes(60).await;
    assert!(many <= few + 16, "{many} bytes with 60 hosts, {few} with one");
}

/// Returns the size of the message in which a host that stops tells another one, while it knows
/// `others` hosts that are alive.
async fn stop_notice_bytes(others: usize) -> usize {
    let site = TestSite::new();
    site.configure(7);
    let endpoint = site.store_endpoint().await;
    let host = site.ready_host("h-1", "a1", &endpoint).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let addr = socket.local_addr().unwrap();
    for n in 0..others {
        let record = HostRecord {
            id: format!("other-{n}").parse().unwrap(),
            region: "a".parse().unwrap(),
            zone: "a1".parse().unwrap(),
            caller: addr,
            peer: addr,
            operator: None,
        };
        let digest = Fleet::new(record, Millis(1_000), Millis(2_000)).own_digest(Millis(1_000));
        let bytes = postcard::to_stdvec(&digest).unwrap();
        socket.send_to(&bytes, host.settings().peer).await.unwrap();
    }
    until("the host knows the others", async || {
        metric(&host, "hosts_alive").await == Some(others as f64 + 1.0)
    })
    .await;
    tokio::spawn(host.stop());
    let mut buf = vec![0; 16 * 1024];
    loop {
        let received = tokio::time::timeout(APPLY_BOUND, socket.recv(&mut buf)).await;
        let len = received.expect("no notice of the stop arrived").unwrap();
        let digest: Digest = postcard::from_bytes(&buf[..len]).unwrap();
        if digest.beats[0].phase == Phase::Leaving {
            return len;
        }
    }
}
