//! The driver of configuration at one host.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use foxtail_config::Snapshot;
use foxtail_config::stage::Reach;
use foxtail_platform::Table;
use foxtail_types::prelude::*;
use futures::future::join_all;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::choose;
use crate::core::{Core, Taken};
use crate::msg::{Answer, Ask, Change};
use crate::peers::{Peers, Roster};
use crate::reach::Judge;
use crate::store;

/// How often a relay reads the head of the table, and every host looks for higher versions.
pub const POLL_EVERY: Millis = Millis(500);
/// Every so many periods a host asks another one even if it has heard of nothing new.
const IDLE_PERIODS: usize = 8;
/// How many changes are read from the table one by one; beyond that, all of it.
const CHANGES_MAX: usize = 64;
/// How many holders of a higher version are tried in one period.
const TRIES: usize = 3;

/// The outside of [`Spread`].
#[derive(Clone)]
pub struct Ports {
    /// The table.
    pub table: Arc<dyn Table>,
    /// Other hosts.
    pub peers: Arc<dyn Peers>,
    /// What is known of them.
    pub roster: Arc<dyn Roster>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// Configuration at one host: keeps up with the newest version and shows what to enforce.
pub struct Spread {
    ports: Ports,
    core: Mutex<Core>,
    judge: Mutex<Judge>,
    tx: watch::Sender<Option<Arc<Snapshot>>>,
    offers: Mutex<Vec<HostId>>,
    wake: Notify,
    announce: Notify,
    turn: AtomicUsize,
}

impl Spread {
    /// Nothing is held yet.
    pub fn new(ports: Ports) -> Arc<Self> {
        Arc::new(Self {
            ports,
            core: Mutex::default(),
            judge: Mutex::default(),
            tx: watch::Sender::new(None),
            offers: Mutex::default(),
            wake: Notify::new(),
            announce: Notify::new(),
            turn: AtomicUsize::new(0),
        })
    }

    /// What to enforce, now and from now on; `None` until there is any configuration.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<Snapshot>>> {
        self.tx.subscribe()
    }

    /// The version held, for the host's own membership status; 0 if there is none.
    pub fn held(&self) -> Version {
        self.core.lock().held()
    }

    /// The newest configuration held, before limits are held back.
    pub fn target(&self) -> Option<Arc<Snapshot>> {
        self.core.lock().target().cloned()
    }

    /// How far the version held has got.
    pub fn reach(&self) -> (Version, Reach) {
        let core = self.core.lock();
        (core.held(), core.reach())
    }

    /// Answers another host.
    pub fn ask(&self, ask: &Ask) -> Answer {
        match ask {
            Ask::Pull { held } => self.core.lock().answer(*held),
            Ask::Offer { from, version } => {
                let held = self.held();
                if *version > held {
                    self.offers.lock().push(from.clone());
                    self.wake.notify_one();
                }
                Answer::Nothing { held }
            }
        }
    }

    /// Takes a change that this host has committed, and offers it to others at once. `whole` is
    /// the configuration with it, for a host that has fallen behind.
    pub fn accepted(&self, change: &Change, whole: Option<Snapshot>) {
        let taken = {
            let mut core = self.core.lock();
            match core.take_changes(std::slice::from_ref(change)) {
                Taken::Gap => {
                    whole.map_or(Taken::Gap, |whole| core.take_whole(Arc::new(whole), None))
                }
                taken => taken,
            }
        };
        if taken == Taken::Newer {
            self.publish("accepted");
        }
        self.announce.notify_one();
    }

    /// Keeps up with the newest version until `stop`.
    pub async fn run(&self, stop: CancellationToken) {
        if stop.run_until_cancelled(self.start()).await.is_none() {
            return;
        }
        let loops = async { tokio::join!(self.poll_table(), self.poll_peers(), self.offer()) };
        stop.run_until_cancelled(loops).await;
    }

    /// Gets a first configuration: the newest of what the table and the other hosts know.
    async fn start(&self) {
        let mut ticks = ticks();
        loop {
            ticks.tick().await;
            let view = self.ports.roster.view();
            let peers = choose::ask_peers(self.ports.peers.as_ref(), &view, Version(0));
            let (loaded, answers) = tokio::join!(store::load(self.ports.table.as_ref()), peers);
            for answer in answers {
                self.take(answer);
            }
            match loaded {
                Ok(loaded) => self.take_loaded(&loaded),
                Err(e) => tracing::warn!(event = "config_start", source = "table", error = %e),
            }
            if self.held() > Version(0) {
                return;
            }
        }
    }

    async fn poll_table(&self) {
        let mut ticks = ticks();
        loop {
            ticks.tick().await;
            let view = self.ports.roster.view();
            if choose::is_relay(&view)
                && let Err(e) = self.read_table().await
            {
                tracing::debug!(event = "config_poll_failed", error = %e);
            }
        }
    }

    async fn read_table(&self) -> Result<(), store::Error> {
        let table = self.ports.table.as_ref();
        let (newest, _) = store::head(table).await?;
        let held = self.held();
        if newest < held {
            tracing::warn!(event = "config_older_in_table", table = %newest, %held);
            return Ok(());
        }
        if newest == held {
            return Ok(());
        }
        let changes = store::changes(table, held, CHANGES_MAX).await?;
        if !changes.is_empty() && self.take(Answer::Changes(changes)) == Taken::Newer {
            return Ok(());
        }
        self.take_loaded(&store::load(table).await?);
        Ok(())
    }

    async fn poll_peers(&self) {
        let mut ticks = ticks();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.wake.notified() => {}
            }
            self.pull_newer().await;
            self.judge();
        }
    }

    async fn pull_newer(&self) {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let view = self.ports.roster.view();
        let mut from = std::mem::take(&mut *self.offers.lock());
        from.extend(choose::holders(&view, self.held(), turn));
        if from.is_empty() && turn % IDLE_PERIODS == IDLE_PERIODS - 1 {
            let live: Vec<_> = view.live().filter(|host| host.identity.id != view.me).collect();
            let pick = (turn / IDLE_PERIODS) % live.len().max(1);
            from.extend(live.get(pick).map(|host| host.identity.id.clone()));
        }
        for host in from.iter().take(TRIES) {
            let ask = Ask::Pull { held: self.held() };
            match self.ports.peers.ask(host, ask, choose::PEER_TIMEOUT).await {
                Ok(answer) => {
                    if self.take(answer) == Taken::Newer {
                        return;
                    }
                }
                Err(e) => tracing::debug!(event = "config_pull_failed", error = %e),
            }
        }
    }

    /// Tells other hosts of a version that was accepted here.
    async fn offer(&self) {
        loop {
            self.announce.notified().await;
            let view = self.ports.roster.view();
            let version = self.held();
            let offer = |to: HostId| {
                let ask = Ask::Offer { from: view.me.clone(), version };
                let peers = Arc::clone(&self.ports.peers);
                async move { peers.ask(&to, ask, choose::PEER_TIMEOUT).await.is_ok() }
            };
            join_all(choose::offered(&view).into_iter().map(offer)).await;
        }
    }

    fn judge(&self) {
        let (held, tickets) = {
            let core = self.core.lock();
            (core.held(), core.longest_ticket())
        };
        let view = self.ports.roster.view();
        let reach = self.judge.lock().reach(&view, held, tickets, self.ports.clock.now());
        if self.core.lock().reached(held, reach) {
            self.publish("raised");
        }
    }

    fn take(&self, answer: Answer) -> Taken {
        let taken = match answer {
            Answer::Nothing { .. } => Taken::Known,
            Answer::Changes(changes) => self.core.lock().take_changes(&changes),
            Answer::Whole(whole) => {
                self.core.lock().take_whole(whole.snapshot, Some(whole.in_force))
            }
        };
        if taken == Taken::Newer {
            self.publish("spread");
        }
        taken
    }

    fn take_loaded(&self, loaded: &store::Loaded) {
        let Some(snapshot) = loaded.snapshot() else { return };
        if self.core.lock().take_whole(Arc::new(snapshot), None) == Taken::Newer {
            self.publish("table");
        }
    }

    /// Shows what is in force. Published versions never fall: the core is read under the lock of
    /// the channel.
    fn publish(&self, source: &str) {
        self.tx.send_modify(|shown| {
            let in_force = self.core.lock().in_force().cloned();
            let version = |s: &Option<Arc<Snapshot>>| s.as_ref().map_or(Version(0), |s| s.version);
            assert!(version(&in_force) >= version(shown), "configuration never goes back");
            *shown = in_force;
        });
        let (version, reach) = self.reach();
        tracing::info!(event = "config", %version, ?reach, source);
    }
}

fn ticks() -> tokio::time::Interval {
    let mut ticks = tokio::time::interval(POLL_EVERY.duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
