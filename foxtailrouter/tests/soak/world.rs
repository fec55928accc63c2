//! The store, upstreams, hosts and callers of one run.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtail_standin::caller::is_ready;
use foxtail_standin::store::{Store, StoreEndpoint};
use foxtail_standin::upstream::UpstreamServer;
use parking_lot::Mutex;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::caller::{self, Asked};
use crate::host::Host;
use crate::proxy::Proxy;

const ZONES: [&str; 6] = ["a1", "a2", "b1", "a1", "a2", "b1"];
const CALLERS: u64 = 8;

/// The longest that all hosts may take until they are ready.
const READY: Duration = Duration::from_secs(15);

pub(crate) struct Upstream {
    pub(crate) service: UpstreamServer,
    pub(crate) proxy: Proxy,
    pub(crate) serves: &'static str,
    pub(crate) zone: &'static str,
    /// Since when the store says that it leaves.
    pub(crate) left: Option<Instant>,
    pub(crate) crashed: bool,
}

/// A time in which promises with a time bound do not bind every host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disturbed {
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// A zone that was evacuated, and until when.
pub(crate) struct Evacuation {
    pub(crate) zone: &'static str,
    pub(crate) since: Instant,
    pub(crate) ended: Option<Instant>,
}

pub(crate) struct World {
    pub(crate) dir: PathBuf,
    pub(crate) store: Arc<Store>,
    pub(crate) doors: Vec<StoreEndpoint>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) upstreams: Vec<Upstream>,
    /// Versions of the configuration: when each was written, and the service it names.
    pub(crate) versions: Vec<(Instant, &'static str)>,
    pub(crate) evacuated: Vec<Evacuation>,
    pub(crate) disturbed: Vec<Disturbed>,
    /// Which hosts were killed or paused, and when.
    pub(crate) hit: Vec<(usize, Disturbed)>,
    pub(crate) breaches: Vec<String>,
    pub(crate) asked: Arc<Mutex<Vec<Asked>>>,
    pub(crate) calm: CancellationToken,
    pub(crate) callers: Vec<JoinHandle<()>>,
    named: u64,
}

impl World {
    pub(crate) async fn start(seed: u64) -> Self {
        let name = format!("foxtail-soak-{}-{seed}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a directory");
        let mut world = Self {
            dir,
            store: Store::new(),
            doors: Vec::new(),
            hosts: Vec::new(),
            upstreams: Vec::new(),
            versions: Vec::new(),
            evacuated: Vec::new(),
            disturbed: Vec::new(),
            hit: Vec::new(),
            breaches: Vec::new(),
            asked: Arc::default(),
            calm: CancellationToken::new(),
            callers: Vec::new(),
            named: 0,
        };
        world.configure("books");
        for zone in ["a1", "a2", "b1"] {
            for serves in ["books", "seats"] {
                world.add_upstream(serves, zone).await;
                world.add_upstream(serves, zone).await;
            }
        }
        for (n, zone) in ZONES.into_iter().enumerate() {
            let door = StoreEndpoint::open(&world.store).await.expect("a port");
            let mut host = Host::new(&world.dir, &format!("h-{n}"), zone, door.addr());
            host.start();
            world.doors.push(door);
            world.hosts.push(host);
        }
        world.wait_ready().await;
        let addrs: Vec<_> = world.hosts.iter().map(|host| (host.caller, host.lookup)).collect();
        for n in 0..CALLERS {
            let asked = Arc::clone(&world.asked);
            let caller = caller::run(seed * 100 + n, addrs.clone(), asked, world.calm.clone());
            world.callers.push(tokio::spawn(caller));
        }
        world
    }

    /// Writes a configuration in which both routes go to `service`.
    pub(crate) fn configure(&mut self, service: &'static str) {
        let version = self.versions.len() as u64 * 3 + 1;
        let config = foxtail_standin::store::config(version, service, 2.0);
        self.store.put("op", "config", config.as_bytes());
        self.versions.push((Instant::now(), service));
    }

    pub(crate) fn evacuate(&mut self, zone: &'static str) {
        self.store.put("op", &format!("evacuate/{zone}"), b"{}");
        self.evacuated.push(Evacuation { zone, since: Instant::now(), ended: None });
    }

    pub(crate) fn end_evacuation(&mut self, zone: &'static str) {
        for evacuation in self.evacuated.iter_mut().filter(|it| it.zone == zone) {
            evacuation.ended.get_or_insert(Instant::now());
        }
        self.store.delete_row("op", &format!("evacuate/{zone}"));
    }

    /// Starts an upstream and registers it.
    pub(crate) async fn add_upstream(&mut self, serves: &'static str, zone: &'static str) {
        self.named += 1;
        let service = UpstreamServer::start(&format!("u-{}", self.named), 4).await.expect("a port");
        let proxy = Proxy::start(service.addr()).await;
        let up = Upstream { service, proxy, serves, zone, left: None, crashed: false };
        self.register(&up, "ready");
        self.upstreams.push(up);
    }

    pub(crate) fn register(&self, up: &Upstream, state: &str) {
        let row = up.service.registration_at(up.proxy.addr, up.serves, up.zone, state, 0.0);
        self.store.put("servers", up.service.id(), &row);
    }

    pub(crate) async fn wait_ready(&mut self) {
        let end = Instant::now() + READY;
        loop {
            let mut waiting = 0;
            for host in &self.hosts {
                waiting += usize::from(!is_ready(host.health).await);
            }
            if waiting == 0 {
                return;
            }
            if Instant::now() > end {
                self.breaches.push(format!("{waiting} hosts are not ready after {READY:?}"));
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
