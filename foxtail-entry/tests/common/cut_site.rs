//! A site whose hosts can be cut off from all upstreams.

use std::time::Duration;

use foxtail_entry::Host;
use foxtail_standin::caller::Answer;
use foxtail_standin::store::StoreEndpoint;
use foxtail_standin::upstream::UpstreamServer;
use tokio::time::Instant;

use super::{Cut, CutDial, TestSite, exchange, metric, ready, request, until};

/// By when a host that is cut off serves its callers again.
const SERVED_AGAIN_AFTER: Duration = Duration::from_secs(4);

/// A site with upstreams in three zones and hosts, of which some can be cut off from the upstreams.
pub(crate) struct CutSite {
    pub site: TestSite,
    pub ups: Vec<UpstreamServer>,
    pub dials: Vec<CutDial>,
    pub hosts: Vec<Host>,
    pub endpoint: StoreEndpoint,
}

impl CutSite {
    pub(crate) async fn start(host_zones: &[&str]) -> Self {
        let site = TestSite::new();
        site.configure(7);
        let mut ups = Vec::new();
        for (n, zone) in ["a1", "a1", "a2", "a2", "b1", "b1"].into_iter().enumerate() {
            ups.push(site.upstream(&format!("up-{n}"), zone).await);
        }
        let endpoint = site.store_endpoint().await;
        let (mut hosts, mut dials) = (Vec::new(), Vec::new());
        for (n, zone) in host_zones.iter().enumerate() {
            let dial = CutDial::new(ups.iter().map(UpstreamServer::addr));
            let name = format!("h-{n}");
            let host = site.host_with_dial(&name, zone, &endpoint, dial.arc()).await;
            until("the host is ready", async || ready(&host).await).await;
            hosts.push(host);
            dials.push(dial);
        }
        let count = hosts.len() as f64;
        for host in &hosts {
            until("the hosts know each other", async || {
                metric(host, "hosts_alive").await == Some(count)
            })
            .await;
        }
        let this = Self { site, ups, dials, hosts, endpoint };
        // Leaves open connections to upstreams behind.
        for host in 0..this.hosts.len() {
            for n in 0..8 {
                assert_eq!(this.send(host, "GET", &format!("warm-{host}-{n}")).await.status, 200);
            }
        }
        this
    }

    pub(crate) async fn send(&self, host: usize, method: &str, id: &str) -> Answer {
        let path = if method == "GET" { "/read/1" } else { "/write/1" };
        exchange(self.hosts[host].settings().caller, &request(method, path, id, 1_500, "")).await
    }

    /// Cuts off `host`, and sends requests until it should serve its callers again.
    pub(crate) async fn cut_off(&self, host: usize, cut: Cut) {
        self.dials[host].set(Some(cut));
        let since = Instant::now();
        let mut n = 0;
        while since.elapsed() < SERVED_AGAIN_AFTER {
            n += 1;
            // Several at a time, as callers have them.
            let (a, b, c) = (
                format!("cut-{host}-{n}a"),
                format!("cut-{host}-{n}b"),
                format!("cut-{host}-{n}c"),
            );
            tokio::join!(
                self.send(host, "GET", &a),
                self.send(host, "POST", &b),
                self.send(host, "GET", &c)
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns how often upstreams ran the request `id`.
    pub(crate) fn runs(&self, id: &str) -> usize {
        let received = self.ups.iter().flat_map(UpstreamServer::received_requests);
        received
            .filter(|seen| seen.has_run && seen.headers["foxtailrouter-request-id"] == id)
            .count()
    }

    pub(crate) async fn stop(self) {
        for host in self.hosts {
            host.stop().await;
        }
    }
}
