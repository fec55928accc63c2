//! The tickets that this host holds, and which owners it listens to.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use foxtail_types::prelude::*;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::msg::{Grant, Held};
use crate::{ShardId, Ticket};

/// The tickets held, by the shard that granted them.
#[derive(Debug, Default)]
pub struct Holder {
    shards: Mutex<HashMap<ShardId, Shard>>,
}

/// What this host knows of one shard.
#[derive(Debug, Default)]
struct Shard {
    fence: Epoch,
    owner: Option<HostId>,
    held: BTreeMap<(Epoch, u64), Entry>,
    moved: Arc<Notify>,
}

/// A ticket in use.
#[derive(Debug)]
struct Entry {
    ticket: Ticket,
    travel: Option<Travel>,
}

/// What else was taken for a request that runs in another region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Travel {
    /// The link direction of the answer.
    pub back: LinkId,
    /// The class.
    pub class: Class,
    /// Bytes reserved for the answer.
    pub reserved: u64,
}

impl Holder {
    /// Takes a granted ticket into use, unless a newer owner has asked for the tickets since.
    pub fn accept(&self, shard: &ShardId, ticket: &Ticket, travel: Option<Travel>) -> bool {
        let mut shards = self.shards.lock();
        let state = shards.entry(shard.clone()).or_default();
        if ticket.epoch < state.fence {
            return false;
        }
        state.fence = ticket.epoch;
        let entry = Entry { ticket: ticket.clone(), travel };
        state.held.insert((ticket.epoch, ticket.serial), entry);
        true
    }

    /// Puts a ticket out of use; `None` if it was not in use.
    pub fn remove(&self, shard: &ShardId, ticket: &Ticket) -> Option<Option<Travel>> {
        let mut shards = self.shards.lock();
        let state = shards.get_mut(shard)?;
        state.held.remove(&(ticket.epoch, ticket.serial)).map(|entry| entry.travel)
    }

    /// Listens to no owner of the shard below `epoch` any more, and tells the tickets in use.
    ///
    /// Expired ones are left out: their owner may have given their slots out again. `None` if a newer owner has asked before.
    pub fn fence(
        &self,
        now: Millis,
        shard: &ShardId,
        epoch: Epoch,
        owner: &HostId,
    ) -> Option<Vec<Held>> {
        let mut shards = self.shards.lock();
        let state = shards.entry(shard.clone()).or_default();
        if epoch < state.fence {
            return None;
        }
        state.fence = epoch;
        state.owner = Some(owner.clone());
        state.moved.notify_waiters();
        let older = state.held.values().filter(|entry| entry.ticket.epoch < epoch);
        let older = older.filter(|entry| now < entry.ticket.expires);
        Some(older.map(|entry| held(now, &entry.ticket)).collect())
    }

    /// The highest epoch seen of the shard.
    pub fn epoch(&self, shard: &ShardId) -> Epoch {
        self.shards.lock().get(shard).map_or(Epoch::default(), |state| state.fence)
    }

    /// The owner of the shard, as far as known.
    pub fn owner(&self, shard: &ShardId) -> Option<HostId> {
        self.shards.lock().get(shard)?.owner.clone()
    }

    /// Takes a word on who owns the shard; `None` if the one believed before does not.
    pub fn learn(&self, shard: &ShardId, owner: Option<HostId>) {
        let mut shards = self.shards.lock();
        shards.entry(shard.clone()).or_default().owner = owner;
    }

    /// Wakes all that wait for `moved` when a newer owner appears.
    pub fn moved(&self, shard: &ShardId) -> Arc<Notify> {
        self.shards.lock().entry(shard.clone()).or_default().moved.clone()
    }

    /// Forgets tickets that have expired and that nobody gave back.
    pub fn prune(&self, now: Millis) {
        for state in self.shards.lock().values_mut() {
            state.held.retain(|_, entry| now < entry.ticket.expires);
        }
    }

    /// How many tickets are in use.
    pub fn len(&self) -> usize {
        self.shards.lock().values().map(|state| state.held.len()).sum()
    }

    /// Whether no ticket is in use.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Ticket {
    /// The ticket for `grant`, for which was asked at `asked`.
    pub fn new(pool: &PoolId, grant: Grant, asked: Millis) -> Self {
        let Grant { upstream, epoch, serial, life } = grant;
        let expires = asked + life;
        Ticket { pool: pool.clone(), upstream, epoch, serial, expires }
    }
}

fn held(now: Millis, ticket: &Ticket) -> Held {
    Held {
        pool: ticket.pool.clone(),
        upstream: ticket.upstream.clone(),
        epoch: ticket.epoch,
        serial: ticket.serial,
        remaining: ticket.expires - now,
    }
}
