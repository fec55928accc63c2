//! The live limiter: finds the owner of what a request needs, and asks it.

mod ask;
mod send;
mod serve;
mod travel;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use arc_swap::ArcSwap;
use async_trait::async_trait;
use foxtail_config::Snapshot;
use foxtail_platform::HostEntry;
use foxtail_types::prelude::*;
use parking_lot::Mutex;

use crate::holder::Holder;
use crate::hosted::Hosted;
use crate::msg::Note;
use crate::notes::Outbox;
use crate::owner::Pick;
use crate::station::{Action, Done, OpId, Parts, Station};
use crate::{Acquire, Limiter, Peers, Refusal, Seen, ShardId, Ticket};

/// Asks the owners of slots, link bytes and shift budgets, wherever they are.
pub struct SharedLimiter {
    me: Me,
    clock: Arc<dyn Clock>,
    peers: Arc<dyn Peers>,
    hosted: Hosted,
    holder: Holder,
    outbox: Outbox,
    snapshot: ArcSwap<Snapshot>,
    hosts: ArcSwap<Vec<HostEntry>>,
    station: Mutex<Station>,
    asks: AtomicU64,
}

/// Where this host is.
#[value]
pub struct Me {
    /// The host.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
    /// Its zone.
    pub zone: ZoneId,
}

impl SharedLimiter {
    /// A limiter for the host `me` that owns nothing yet.
    pub fn new(
        me: Me,
        clock: Arc<dyn Clock>,
        peers: Arc<dyn Peers>,
        pick: Arc<dyn Pick>,
        snapshot: Arc<Snapshot>,
    ) -> Arc<Self> {
        let token = rand::random();
        let station = Station::new(me.clone(), token, clock.now(), pick, snapshot.clone());
        let hosted = Hosted::new(clock.clone());
        Arc::new(Self {
            me,
            clock,
            peers,
            hosted,
            holder: Holder::default(),
            outbox: Outbox::default(),
            snapshot: ArcSwap::new(snapshot),
            hosts: ArcSwap::default(),
            station: Mutex::new(station),
            asks: AtomicU64::new(0),
        })
    }

    /// Takes over a configuration.
    pub fn configure(&self, snapshot: &Arc<Snapshot>) {
        self.snapshot.store(snapshot.clone());
        self.station.lock().configure(snapshot.clone());
        self.hosted.configure(snapshot);
    }

    /// Takes over the platform's list of hosts, whole, and those of them that seem dead.
    ///
    /// What must be safe goes by the list alone; suspects are only passed over when owners are
    /// looked for and chosen. A host is `Leaving` here only by its own word, given after
    /// [`SharedLimiter::retire`].
    pub fn set_hosts(&self, hosts: &[HostEntry], suspects: &[HostId]) {
        let mut near: Vec<HostEntry> = hosts.to_vec();
        near.retain(|host| !suspects.contains(&host.id));
        self.hosts.store(Arc::new(near));
        self.station.lock().set_hosts(hosts, suspects);
    }

    /// Takes over no shard any more. Call it before other hosts are told that this one leaves: they
    /// ask it for no promise from then on.
    pub fn retire(&self) {
        self.station.lock().retire();
    }

    /// What is to be done about ownership now.
    pub(crate) fn poll(&self) -> Vec<(OpId, Action)> {
        self.station.lock().poll(self.clock.now(), self.parts())
    }

    /// Takes the result of an action.
    pub(crate) fn done(&self, id: OpId, done: Done) {
        self.station.lock().done(self.clock.now(), self.parts(), id, done);
    }

    /// Moves the owners on to the present time.
    pub(crate) fn tick(&self) {
        self.hosted.tick();
        self.holder.prune(self.clock.now());
    }

    /// Begins to hand over what this host owns.
    pub(crate) fn stop(&self) {
        self.station.lock().stop();
    }

    /// Whether nothing is owned any more.
    pub(crate) fn stopped(&self) -> bool {
        self.station.lock().stopped()
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn peers(&self) -> &dyn Peers {
        self.peers.as_ref()
    }

    fn parts(&self) -> Parts<'_> {
        Parts { hosted: &self.hosted, holder: &self.holder }
    }

    /// The shards that this host owns.
    pub fn hosted(&self) -> &Hosted {
        &self.hosted
    }

    /// The tickets that this host holds.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Where this host is.
    pub fn me(&self) -> &Me {
        &self.me
    }

    fn shard_of(&self, pool: &PoolId) -> ShardId {
        ShardId::of_pool(pool, self.snapshot.load().network.owner_shards)
    }

    /// Tells the owner of `shard` a fact: at once if it is on this host.
    fn tell(&self, shard: &ShardId, note: Note) {
        let fence = self.holder.epoch(shard);
        if !self.hosted.notes(shard, fence, vec![note.clone()]) {
            self.outbox.push(shard, note);
        }
    }
}

#[async_trait]
impl Limiter for SharedLimiter {
    async fn acquire(&self, req: &Acquire<'_>) -> Result<Ticket, Refusal> {
        if req.pool.region == self.me.region {
            self.slot(req, None).await
        } else {
            self.travel(req).await
        }
    }

    fn release(&self, ticket: Ticket, seen: Seen) {
        let shard = self.shard_of(&ticket.pool);
        let travel = self.holder.remove(&shard, &ticket).flatten();
        if let Some(travel) = travel {
            self.settle(travel, seen.answer_bytes);
        }
        let Ticket { pool, epoch, serial, .. } = ticket;
        self.tell(&shard, Note::Release { pool, epoch, serial, seen });
    }
}
