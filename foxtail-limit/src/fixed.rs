//! The baseline: each host has a fixed share of every upstream's slots, and asks nobody.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;
use foxtail_config::Snapshot;
use foxtail_types::prelude::*;

use crate::hosted::Hosted;
use crate::msg::{Ask, AskId, Note, Reply};
use crate::owner::{MostFree, Owner, Start};
use crate::{Acquire, Limiter, Refusal, Seen, ShardId, Ticket};

/// Static shares: capacity divided by the number of hosts. Safe without any agreement, but a host
/// queues while another's share lies idle.
pub struct StaticShares {
    hosted: Hosted,
    clock: Arc<dyn Clock>,
    me: HostId,
    zone: ZoneId,
    asks: AtomicU64,
}

impl StaticShares {
    /// The share of the host number `at` of `hosts`, of everything in `snapshot`.
    pub fn new(
        clock: Arc<dyn Clock>,
        me: HostId,
        zone: ZoneId,
        snapshot: &Snapshot,
        (at, hosts): (u32, u32),
    ) -> Self {
        let share = share_of(snapshot, at, hosts);
        let hosted = Hosted::new(clock.clone());
        for region in &share.network.regions {
            let shard = ShardId { region: region.id.clone(), index: 0 };
            let mut owner = Owner::new(shard, Epoch(1), Start::Known, Arc::new(MostFree));
            owner.authorize(Millis::MAX, false);
            owner.configure(clock.now(), &share);
            hosted.install(owner);
        }
        Self { hosted, clock, me, zone, asks: AtomicU64::new(0) }
    }

    fn shard(pool: &PoolId) -> ShardId {
        ShardId { region: pool.region.clone(), index: 0 }
    }
}

#[async_trait]
impl Limiter for StaticShares {
    async fn acquire(&self, req: &Acquire<'_>) -> Result<Ticket, Refusal> {
        let no = self.asks.fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        let remaining = req.deadline - now;
        let ask = Ask {
            id: AskId { host: self.me.clone(), no },
            request: req.request,
            pool: req.pool.clone(),
            class: req.class,
            zone: self.zone.clone(),
            remaining: remaining.min(crate::owner::TICKET_LIFE_MAX),
            avoid: req.avoid.to_vec(),
            fence: Epoch::default(),
        };
        match self.hosted.acquire(&Self::shard(req.pool), ask).await {
            Some(Reply::Granted(grant)) => Ok(Ticket::new(req.pool, grant, now)),
            Some(Reply::Refused(refusal)) => Err(refusal),
            _ => Err(Refusal::OwnerUnreachable),
        }
    }

    fn release(&self, ticket: Ticket, seen: Seen) {
        let shard = Self::shard(&ticket.pool);
        let Ticket { pool, epoch, serial, .. } = ticket;
        self.hosted.notes(&shard, epoch, vec![Note::Release { pool, epoch, serial, seen }]);
    }
}

/// The snapshot with slots divided among `hosts`: single slots go in turn, so that none is lost.
fn share_of(snapshot: &Snapshot, at: u32, hosts: u32) -> Snapshot {
    let mut share = snapshot.clone();
    Arc::make_mut(&mut share.network).owner_shards = 1;
    let mut before: HashMap<RegionId, u32> = HashMap::new();
    for workspace in &mut share.workspaces {
        let workspace = Arc::make_mut(workspace);
        workspace.shift_per_s /= hosts.max(1);
        for upstream in workspace.services.iter_mut().flat_map(|service| &mut service.upstreams) {
            let first = before.entry(upstream.region.clone()).or_default();
            let slots = *first..*first + upstream.slots;
            *first += upstream.slots;
            upstream.slots = slots.filter(|slot| slot % hosts.max(1) == at).count() as u32;
        }
    }
    share
}
