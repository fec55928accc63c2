//! The shards that this host owns, with the futures that wait for their answers.

use std::collections::HashMap;
use std::sync::Arc;

use foxtail_config::Snapshot;
use foxtail_types::prelude::*;
use parking_lot::{Mutex, RwLock};
use tokio::sync::oneshot;

use crate::ShardId;
use crate::msg::{Ask, AskId, Held, Note, Reply};
use crate::owner::{Event, Owner};

/// The owners on this host, each under its own lock.
pub struct Hosted {
    clock: Arc<dyn Clock>,
    seats: RwLock<HashMap<ShardId, Arc<Mutex<Seat>>>>,
}

/// One owner and those who wait for it.
struct Seat {
    owner: Owner,
    waiters: HashMap<AskId, oneshot::Sender<Reply>>,
}

/// Withdraws a question whose asker has gone before it took the answer.
struct Asking<'a> {
    hosted: &'a Hosted,
    shard: &'a ShardId,
    pool: PoolId,
    ask: Option<AskId>,
}

impl Hosted {
    /// No shards.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, seats: RwLock::default() }
    }

    /// Begins to serve the shard of `owner`.
    pub fn install(&self, owner: Owner) {
        let shard = owner.shard().clone();
        let seat = Seat { owner, waiters: HashMap::new() };
        self.seats.write().insert(shard, Arc::new(Mutex::new(seat)));
    }

    /// Ends the service of `shard`, and sends all who wait elsewhere.
    ///
    /// Returns the tickets that are out, and whether those are all; `None` if it is not here.
    pub fn stop(&self, shard: &ShardId) -> Option<(Vec<Held>, bool)> {
        let stopped = self.with(shard, |owner, now| owner.stop(now));
        self.seats.write().remove(shard);
        stopped
    }

    /// Works with the owner of `shard`, if it is on this host.
    pub fn with<R>(&self, shard: &ShardId, f: impl FnOnce(&mut Owner, Millis) -> R) -> Option<R> {
        let seat = self.seats.read().get(shard)?.clone();
        let mut seat = seat.lock();
        let done = f(&mut seat.owner, self.clock.now());
        seat.dispatch();
        Some(done)
    }

    /// The shards served.
    pub fn shards(&self) -> Vec<ShardId> {
        self.seats.read().keys().cloned().collect()
    }

    /// Waits for the answer to `ask`; `None` if this host does not own the shard.
    pub async fn acquire(&self, shard: &ShardId, ask: Ask) -> Option<Reply> {
        let id = Some(ask.id.clone());
        let mut asking = Asking { hosted: self, shard, pool: ask.pool.clone(), ask: id };
        let reply = match self.ask(shard, ask) {
            Some(rx) => Some(rx.await.unwrap_or(Reply::NotOwner { owner: None })),
            None => None,
        };
        asking.ask = None;
        reply
    }

    /// Puts `ask` to the owner of `shard`, if it is on this host; the answer comes by the channel.
    pub fn ask(&self, shard: &ShardId, ask: Ask) -> Option<oneshot::Receiver<Reply>> {
        let (tx, rx) = oneshot::channel();
        let seat = self.seats.read().get(shard)?.clone();
        let mut seat = seat.lock();
        seat.waiters.insert(ask.id.clone(), tx);
        seat.owner.acquire(self.clock.now(), ask);
        seat.dispatch();
        Some(rx)
    }

    /// Hands facts to the owner of `shard`; false if it is not here or must not listen.
    pub fn notes(&self, shard: &ShardId, fence: Epoch, notes: Vec<Note>) -> bool {
        self.with(shard, |owner, now| owner.notes(now, fence, notes)).unwrap_or(false)
    }

    /// Moves all owners on to the present time.
    pub fn tick(&self) {
        for shard in self.shards() {
            self.with(&shard, |owner, now| owner.tick(now));
        }
    }

    /// Gives all owners a new configuration.
    pub fn configure(&self, snapshot: &Snapshot) {
        for shard in self.shards() {
            self.with(&shard, |owner, now| owner.configure(now, snapshot));
        }
    }
}

impl Seat {
    fn dispatch(&mut self) {
        for event in self.owner.take_events() {
            let (ask, reply) = answer(event);
            if let Some(tx) = self.waiters.remove(&ask) {
                // One that does not listen any more withdraws its question by itself.
                tx.send(reply).ok();
            }
        }
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        let Some(ask) = self.ask.take() else { return };
        let Some(seat) = self.hosted.seats.read().get(self.shard).cloned() else { return };
        let mut seat = seat.lock();
        seat.waiters.remove(&ask);
        let note = Note::Withdraw { pool: self.pool.clone(), ask };
        let epoch = seat.owner.epoch();
        seat.owner.notes(self.hosted.clock.now(), epoch, vec![note]);
        seat.dispatch();
    }
}

fn answer(event: Event) -> (AskId, Reply) {
    match event {
        Event::Granted { ask, request, grant } => {
            tracing::debug!(event = "grant", %request, upstream = %grant.upstream, serial = grant.serial);
            (ask, Reply::Granted(grant))
        }
        Event::Refused { ask, request, refusal } => {
            tracing::debug!(event = "refuse", %request, ?refusal);
            (ask, Reply::Refused(refusal))
        }
        Event::Moved { ask } => (ask, Reply::NotOwner { owner: None }),
    }
}
