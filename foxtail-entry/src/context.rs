//! The state shared by all tasks of a host.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use foxtail_net::Dial;
use foxtail_place::BlockMap;
use foxtail_steer::{
    Deliveries, Fleet, NewsPacer, Reachability, Steering, Stop, StoreNews, Suspects, TransferLimit,
    UnconfirmedStrikes,
};
use foxtail_types::prelude::*;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::knowledge::StoreReplica;
use crate::lookup::Directory;
use crate::memory::MemoryAccount;
use crate::metrics::Metrics;
use crate::node::Ports;
use crate::pool::Pool;
use crate::ports::{Protocol, Store};
use crate::settings::Settings;

/// The state shared by all tasks of a host.
pub(crate) struct HostContext {
    pub(crate) settings: Mutex<Arc<Settings>>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) dial: Arc<dyn Dial>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) steering: Mutex<Steering>,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) store_replica: Mutex<StoreReplica>,
    pub(crate) store_news: Mutex<StoreNews>,
    pub(crate) directory: Directory,
    pub(crate) suspects: Mutex<Suspects>,
    pub(crate) unconfirmed_strikes: Mutex<UnconfirmedStrikes>,
    pub(crate) reachability: Mutex<Reachability>,
    /// Wakes the task that probes upstreams.
    pub(crate) probe_upstreams: Notify,
    /// Wakes the requests that wait for upstreams, because this host lost them.
    pub(crate) upstreams_lost: Notify,
    /// Wakes the requests that are held until an upstream answers.
    pub(crate) upstream_answered: Notify,
    /// Wakes the task that informs other hosts of changes in the store.
    pub(crate) notify_peers: Notify,
    /// When other hosts are told of strikes.
    pub(crate) news: Mutex<NewsPacer>,
    /// When other hosts are told of the age of this host's view.
    pub(crate) view_news: Mutex<NewsPacer>,
    /// Wakes the task that informs other hosts of strikes and ages.
    pub(crate) news_added: Notify,
    /// Wakes the task that informs other hosts, because this host can serve a large change to them.
    pub(crate) announce_source: Notify,
    /// Wakes the requests that wait for a newer view of the upstreams.
    pub(crate) view_confirmed: Notify,
    /// Wakes the tasks that ask the store, because requests wait for a newer view.
    pub(crate) view_old: Notify,
    /// Tasks that answer other hosts, pull from them or remove registrations.
    pub(crate) tasks: TaskTracker,
    pub(crate) pool: Pool<UpstreamId>,
    /// Connections to other hosts, for requests that are relayed through them.
    pub(crate) relay_pool: Pool<HostId>,
    pub(crate) metrics: Metrics,
    pub(crate) lifecycle: Lifecycle,
    /// The number of callers' requests received since the start.
    pub(crate) requests: AtomicU64,
    /// The memory that is held for callers, upstreams and other hosts.
    pub(crate) memory: Arc<MemoryAccount>,
    /// What is known of how long responses take to reach their callers.
    pub(crate) deliveries: Mutex<Deliveries>,
    /// When the task that sends digests ran last, in milliseconds.
    pub(crate) last_tick: AtomicU64,
    /// The facts that are being sent to other hosts.
    pub(crate) transfers: Mutex<TransferLimit>,
    /// The version of the store at which the host is registered; 0 before.
    pub(crate) registered_version: AtomicU64,
    /// The number of connections on which other hosts pull.
    pub(crate) pull_conns: AtomicU64,
}

/// The host's progress through start and graceful shutdown.
#[derive(Default)]
pub(crate) struct Lifecycle {
    operators_read: AtomicBool,
    upstreams_read: AtomicBool,
    /// The host knows the fleet, or has listened long enough.
    joined: AtomicBool,
    /// The host was told to stop; responses carry `Connection: close`.
    pub(crate) leaving: AtomicBool,
    /// Cancelled to close idle HTTP connections and to accept no new ones for callers' requests.
    pub(crate) closing: CancellationToken,
    /// When the requests of a stopping host are ended.
    pub(crate) stop: OnceLock<Stop>,
    /// Cancelled to end the requests that are still under way shortly before the end of a stop.
    pub(crate) cut_off: CancellationToken,
    /// Cancelled to end all tasks.
    pub(crate) ended: CancellationToken,
}

impl HostContext {
    /// Creates the initial state of a host with `settings`.
    pub(crate) fn new(settings: Settings, blocks: BlockMap, ports: Ports) -> Self {
        let Ports { dial, clock, protocol, store } = ports;
        let started = clock.now();
        let memory = MemoryAccount::new(settings.memory_bytes(), Arc::clone(&clock));
        let mut store_news = StoreNews::default();
        store_news.record(started);
        Self {
            steering: Mutex::new(Steering::new(settings.steering_options())),
            fleet: Mutex::new(Fleet::new(settings.record(), clock.now(), clock.wall())),
            store_replica: Mutex::new(StoreReplica::new(&settings.host, clock.now())),
            store_news: Mutex::new(store_news),
            settings: Mutex::new(Arc::new(settings)),
            clock,
            protocol,
            store,
            directory: Directory::new(blocks),
            suspects: Mutex::default(),
            unconfirmed_strikes: Mutex::default(),
            reachability: Mutex::default(),
            probe_upstreams: Notify::new(),
            upstreams_lost: Notify::new(),
            upstream_answered: Notify::new(),
            notify_peers: Notify::new(),
            news: Mutex::default(),
            view_news: Mutex::default(),
            news_added: Notify::new(),
            announce_source: Notify::new(),
            view_confirmed: Notify::new(),
            view_old: Notify::new(),
            tasks: TaskTracker::new(),
            pool: Pool::new(Arc::clone(&dial), Arc::clone(&memory)),
            relay_pool: Pool::new(Arc::clone(&dial), Arc::clone(&memory)),
            memory,
            dial,
            metrics: Metrics::new(),
            lifecycle: Lifecycle::default(),
            requests: AtomicU64::new(0),
            deliveries: Mutex::default(),
            last_tick: AtomicU64::new(started.0),
            transfers: Mutex::default(),
            registered_version: AtomicU64::new(0),
            pull_conns: AtomicU64::new(0),
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Informs other hosts of strikes, as soon as it is their turn.
    pub(crate) fn add_news(&self) {
        self.news.lock().add();
        self.news_added.notify_one();
    }

    /// Whether the host serves callers.
    pub(crate) fn is_serving(&self) -> bool {
        self.lifecycle.is_complete() && !self.lifecycle.is_leaving()
    }
}

impl Lifecycle {
    /// Records that the operators' area was read. Returns whether the host thereby became able to
    /// serve.
    pub(crate) fn mark_operators_read(&self) -> bool {
        !self.operators_read.swap(true, Ordering::Relaxed) && self.is_complete()
    }

    /// Records that the upstreams were read. Returns whether the host thereby became able to serve.
    pub(crate) fn mark_upstreams_read(&self) -> bool {
        !self.upstreams_read.swap(true, Ordering::Relaxed) && self.is_complete()
    }

    /// Records that the host knows the fleet. Returns whether it thereby became able to serve.
    pub(crate) fn mark_joined(&self) -> bool {
        !self.joined.swap(true, Ordering::Relaxed) && self.is_complete()
    }

    pub(crate) fn has_joined(&self) -> bool {
        self.joined.load(Ordering::Relaxed)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    fn is_complete(&self) -> bool {
        [&self.operators_read, &self.upstreams_read, &self.joined]
            .into_iter()
            .all(|part| part.load(Ordering::Relaxed))
    }
}
