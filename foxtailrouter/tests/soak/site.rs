//! The store, upstreams, hosts and callers of a soak run with one seed.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtail_standin::caller::is_ready;
use foxtail_standin::store::{Store, StoreEndpoint};
use foxtail_standin::upstream::UpstreamServer;
use parking_lot::Mutex;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::caller::{self, CALLERS_PER_SEED, RequestRecord};
use crate::host::Host;
use crate::links::{Cut, Links};
use crate::proxy::Proxy;

pub(crate) const HOST_ZONES: [&str; 6] = ["a1", "a2", "b1", "a1", "a2", "b1"];
const CALLER_COUNT: u64 = 8;

/// How long it may take until all hosts are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

pub(crate) struct Upstream {
    pub(crate) server: UpstreamServer,
    pub(crate) proxy: Proxy,
    pub(crate) service_name: &'static str,
    pub(crate) zone: &'static str,
    /// When the upstream was registered as draining.
    pub(crate) draining_since: Option<Instant>,
    pub(crate) crashed: bool,
    /// When its proxy delayed, held back or reset connections.
    pub(crate) disturbances: Vec<Disturbance>,
}

/// A time in which guarantees with a time limit do not apply to all hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disturbance {
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// A time in which a host was cut off from all upstreams.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkCut {
    pub(crate) host: usize,
    pub(crate) since: Instant,
    pub(crate) ended_at: Option<Instant>,
}

/// The evacuation of a zone, with its start and end.
pub(crate) struct Evacuation {
    pub(crate) zone: &'static str,
    pub(crate) since: Instant,
    pub(crate) ended_at: Option<Instant>,
}

pub(crate) struct TestSite {
    pub(crate) dir: PathBuf,
    pub(crate) store: Arc<Store>,
    pub(crate) store_endpoints: Vec<StoreEndpoint>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) links: Arc<Links>,
    pub(crate) link_cuts: Vec<LinkCut>,
    pub(crate) upstreams: Vec<Upstream>,
    /// The time of each write of the configuration, and the service that its routes name.
    pub(crate) config_writes: Vec<(Instant, &'static str)>,
    pub(crate) evacuations: Vec<Evacuation>,
    pub(crate) disturbances: Vec<Disturbance>,
    /// The index of each host that was killed or paused, with the time for which it was.
    pub(crate) interruptions: Vec<(usize, Disturbance)>,
    /// When all upstreams of a service asked for pauses, until the last of these ended.
    pub(crate) service_pauses: Vec<Disturbance>,
    /// The index of each host that was told to stop, and from when until it is down.
    pub(crate) stops: Vec<(usize, Disturbance)>,
    pub(crate) violations: Vec<String>,
    pub(crate) records: Arc<Mutex<Vec<RequestRecord>>>,
    pub(crate) stop_callers: CancellationToken,
    pub(crate) callers: Vec<JoinHandle<()>>,
    upstream_count: u64,
}

impl TestSite {
    pub(crate) async fn start(seed: u64) -> Self {
        let name = format!("foxtail-soak-{}-{seed}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("the directory is created");
        let mut site = Self {
            dir,
            store: Store::new(),
            store_endpoints: Vec::new(),
            hosts: Vec::new(),
            links: Arc::default(),
            link_cuts: Vec::new(),
            upstreams: Vec::new(),
            config_writes: Vec::new(),
            evacuations: Vec::new(),
            disturbances: Vec::new(),
            interruptions: Vec::new(),
            service_pauses: Vec::new(),
            stops: Vec::new(),
            violations: Vec::new(),
            records: Arc::default(),
            stop_callers: CancellationToken::new(),
            callers: Vec::new(),
            upstream_count: 0,
        };
        site.configure("books");
        for zone in ["a1", "a2", "b1"] {
            for service_name in ["books", "seats"] {
                site.add_upstream(service_name, zone).await;
                site.add_upstream(service_name, zone).await;
            }
        }
        for (n, zone) in HOST_ZONES.into_iter().enumerate() {
            let endpoint = StoreEndpoint::open(&site.store).await.expect("a free port");
            let mut host = Host::new(&site.dir, n, zone, endpoint.addr(), &site.links);
            host.start();
            site.store_endpoints.push(endpoint);
            site.hosts.push(host);
        }
        site.wait_ready().await;
        let addrs: Vec<_> =
            site.hosts.iter().map(|host| (host.caller_addr, host.lookup_addr)).collect();
        for n in 0..CALLER_COUNT {
            let records = Arc::clone(&site.records);
            let caller = caller::run(
                seed * CALLERS_PER_SEED + n,
                addrs.clone(),
                records,
                site.stop_callers.clone(),
            );
            site.callers.push(tokio::spawn(caller));
        }
        site
    }

    /// Writes a configuration whose routes both lead to `service`.
    pub(crate) fn configure(&mut self, service: &'static str) {
        let version = self.config_writes.len() as u64 * 3 + 1;
        let config = foxtail_standin::store::config(version, service, 2.0);
        self.store.put("op", "config", config.as_bytes());
        self.config_writes.push((Instant::now(), service));
    }

    pub(crate) fn evacuate(&mut self, zone: &'static str) {
        self.store.put("op", &format!("evacuate/{zone}"), b"{}");
        self.evacuations.push(Evacuation { zone, since: Instant::now(), ended_at: None });
    }

    pub(crate) fn end_evacuation(&mut self, zone: &'static str) {
        for evacuation in self.evacuations.iter_mut().filter(|it| it.zone == zone) {
            evacuation.ended_at.get_or_insert(Instant::now());
        }
        self.store.delete_row("op", &format!("evacuate/{zone}"));
    }

    /// Cuts off hosts from all upstreams.
    pub(crate) fn cut_off(&mut self, hosts: &[usize], cut: Cut) {
        let since = Instant::now();
        for &host in hosts {
            self.links.set_cut(host, Some(cut));
            self.link_cuts.push(LinkCut { host, since, ended_at: None });
        }
    }

    pub(crate) fn end_cut(&mut self, hosts: &[usize]) {
        for &host in hosts {
            self.links.set_cut(host, None);
            let cuts = self.link_cuts.iter_mut().filter(|cut| cut.host == host);
            cuts.for_each(|cut| {
                cut.ended_at.get_or_insert(Instant::now());
            });
        }
    }

    /// Starts an upstream and registers it.
    pub(crate) async fn add_upstream(&mut self, service_name: &'static str, zone: &'static str) {
        self.upstream_count += 1;
        let server = UpstreamServer::start(&format!("u-{}", self.upstream_count), 4)
            .await
            .expect("a free port");
        let proxy = Proxy::start(server.addr(), &self.links).await;
        let up = Upstream {
            server,
            proxy,
            service_name,
            zone,
            draining_since: None,
            crashed: false,
            disturbances: Vec::new(),
        };
        self.register(&up, "ready");
        self.upstreams.push(up);
    }

    pub(crate) fn register(&self, up: &Upstream, state: &str) {
        let row = up.server.registration_at(up.proxy.addr, up.service_name, up.zone, state, 0.0);
        self.store.put("servers", up.server.id(), &row);
    }

    pub(crate) async fn wait_ready(&mut self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let mut not_ready = 0;
            for host in &self.hosts {
                not_ready += usize::from(!is_ready(host.health_addr).await);
            }
            if not_ready == 0 {
                return;
            }
            if Instant::now() > deadline {
                self.violations.push(format!(
                    "{not_ready} hosts are not ready after {READY_TIMEOUT:?}; all must be"
                ));
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
