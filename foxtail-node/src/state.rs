//! What the parts of a host share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use foxtail_config::Snapshot;
use foxtail_limit::{Limiter, SharedLimiter};
use foxtail_member::{Phase, Status};
use foxtail_net::Dial;
use foxtail_net::http::Client;
use foxtail_once::Gate;
use foxtail_place::{BlockMap, Directory};
use foxtail_retry::crash::Detector;
use foxtail_retry::{Budgets, Watch};
use foxtail_sync::Spread;
use foxtail_types::prelude::*;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::decisions::Decisions;
use crate::fleet::Fleet;
use crate::in_use::InUse;
use crate::keys::Keys;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// What the parts of a host share.
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) config: watch::Receiver<Option<Arc<Snapshot>>>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) spread: Arc<Spread>,
    /// The hosts as look-ups list them; none before the first configuration.
    pub(crate) directory: ArcSwapOption<Directory>,
    pub(crate) blocks: ArcSwap<BlockMap>,
    pub(crate) limiter: Arc<dyn Limiter>,
    /// The limiter as the owner of shares that other hosts ask.
    pub(crate) owners: Arc<SharedLimiter>,
    pub(crate) gate: Arc<dyn Gate>,
    pub(crate) keys: Keys,
    pub(crate) watch: Watch,
    pub(crate) crashes: Detector,
    pub(crate) budgets: Budgets,
    pub(crate) dial: Arc<dyn Dial>,
    pub(crate) upstreams: Client,
    pub(crate) decisions: Decisions,
    pub(crate) metrics: Metrics,
    /// Work that must end before the process does.
    pub(crate) work: TaskTracker,
    /// Bytes of request bodies held.
    pub(crate) body_bytes: Arc<tokio::sync::Semaphore>,
    pub(crate) in_flight: AtomicU32,
    pub(crate) in_use: InUse,
    pub(crate) leaving: AtomicBool,
    pub(crate) warm: AtomicBool,
}

impl State {
    /// The configuration in force, if any has arrived.
    pub(crate) fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.config.borrow().clone()
    }

    /// What this host says of itself now.
    pub(crate) fn status(&self) -> Status {
        let phase = match self.warm.load(Ordering::SeqCst) {
            _ if self.leaving.load(Ordering::SeqCst) => Phase::Leaving,
            true => Phase::Serving,
            false => Phase::Starting,
        };
        let busy = u64::from(self.in_flight.load(Ordering::Relaxed)) * 1_000
            / u64::from(self.settings.in_flight_max);
        let busy_permille = busy.min(1_000) as u16;
        Status { phase, version: self.spread.held(), busy_permille }
    }
}
