//! The owner of one shard of a region's limits: a state machine without I/O.

mod health;
mod hold;
pub mod pick;
mod pool;
mod queue;

use std::collections::HashMap;
use std::sync::Arc;

use foxtail_config::Snapshot;
use foxtail_types::prelude::*;

use crate::drift::covering;
use crate::link::{Booking, LinkBudget};
use crate::msg::{Ask, AskId, Grant, Held, Note, Reply};
use crate::shift::ShiftBudget;
use crate::{Refusal, ShardId};
pub use health::{Health, LEAVING_MEMORY};
pub use pick::{MostFree, Pick};
pub use pool::{Pool, Usage};
use queue::Waiter;

/// The life of tickets up to which a successor need not be told.
pub const TICKET_LIFE: Millis = Millis(5_000);
/// The longest life of a ticket. Requests with later deadlines get tickets that end before.
pub const TICKET_LIFE_MAX: Millis = Millis(30_000);

/// The owner of one shard: queues, tickets, link bytes and shift budgets.
///
/// Drive it by calling [`tick`](Owner::tick) every 50 ms or so, and after each call that may
/// grant or refuse, take the [`events`](Owner::take_events). Every call carries the time of the
/// host's boot clock, so that an owner that was paused notices before it grants.
pub struct Owner {
    shard: ShardId,
    epoch: Epoch,
    serial: u64,
    pick: Arc<dyn Pick>,
    pools: HashMap<PoolId, Pool>,
    links: HashMap<LinkId, LinkBudget>,
    shifts: HashMap<WorkspaceId, ShiftBudget>,
    full_until: Millis,
    reserve: bool,
    stopped: bool,
    start: Start,
    former_lives: HashMap<PoolId, Millis>,
    homeless: Vec<(Millis, Held)>,
    events: Vec<Event>,
}

/// What is known of the tickets of former owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// There are none besides those adopted.
    Known,
    /// Unknown ones may be out.
    Unknown {
        /// Since when none is given out, but for those of former owners' reserves.
        since: Millis,
        /// Whether a former owner may still give out its reserve.
        reserve: bool,
    },
}

/// What the owner may give out at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// All that is free.
    Full,
    /// The reserve, as another owner may have taken over.
    Reserve,
    /// Nothing.
    None,
}

/// An answer to a question that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A slot was given.
    Granted {
        /// The question.
        ask: AskId,
        /// The request.
        request: RequestId,
        /// The slot.
        grant: Grant,
    },
    /// There will be no slot.
    Refused {
        /// The question.
        ask: AskId,
        /// The request.
        request: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// The shard has another owner; ask there.
    Moved {
        /// The question.
        ask: AskId,
    },
}

/// What a pool works with during one call.
pub struct Terms<'a> {
    now: Millis,
    epoch: Epoch,
    authority: Authority,
    serial: &'a mut u64,
    pick: &'a dyn Pick,
    events: &'a mut Vec<Event>,
}

impl Owner {
    /// An owner of `shard` that may not give out anything before [`Owner::authorize`].
    pub fn new(shard: ShardId, epoch: Epoch, start: Start, pick: Arc<dyn Pick>) -> Self {
        Self {
            shard,
            epoch,
            serial: 0,
            pick,
            pools: HashMap::new(),
            links: HashMap::new(),
            shifts: HashMap::new(),
            full_until: Millis::ZERO,
            reserve: false,
            stopped: false,
            start,
            former_lives: HashMap::new(),
            homeless: Vec::new(),
            events: Vec::new(),
        }
    }

    /// The shard.
    pub fn shard(&self) -> &ShardId {
        &self.shard
    }

    /// The epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Everything may be given out until `full_until`, and afterwards the reserve if `reserve`.
    pub fn authorize(&mut self, full_until: Millis, reserve: bool) {
        self.full_until = full_until;
        self.reserve = reserve;
    }

    /// What may be given out now.
    pub fn authority(&self, now: Millis) -> Authority {
        match (self.stopped, now < self.full_until, self.reserve) {
            (true, _, _) => Authority::None,
            (false, true, _) => Authority::Full,
            (false, false, true) => Authority::Reserve,
            (false, false, false) => Authority::None,
        }
    }

    /// Takes over a configuration.
    pub fn configure(&mut self, now: Millis, snapshot: &Snapshot) {
        self.configure_pools(snapshot);
        self.adopt_homeless(now);
        self.configure_links(now, snapshot);
        self.configure_shifts(now, snapshot);
    }

    /// Takes tickets of former owners into the books.
    pub fn adopt(&mut self, now: Millis, held: &[Held]) {
        for held in held.iter().filter(|held| held.epoch < self.epoch) {
            let pool = self.pools.get_mut(&held.pool);
            if !pool.is_some_and(|pool| pool.adopt(now, held)) {
                self.homeless.push((now, held.clone()));
            }
        }
    }

    /// Tickets of former owners may live this long where longer than [`TICKET_LIFE`].
    pub fn inherit(&mut self, lives: &[(PoolId, Millis)]) {
        self.former_lives = lives.iter().cloned().collect();
    }

    /// Former owners have given out nothing `since` then, but for their reserves.
    pub fn former_lapsed(&mut self, since: Millis) {
        if let Start::Unknown { since: known, reserve } = self.start {
            self.start = Start::Unknown { since: known.min(since), reserve };
        }
    }

    /// Former owners have stopped for good: their reserves end with the life of a ticket.
    pub fn former_gone(&mut self, now: Millis) {
        self.unwithhold(now);
        if let Start::Unknown { since, reserve: true } = self.start {
            let since = if since == Millis::MAX { now } else { since.max(now) };
            self.start = Start::Unknown { since, reserve: false };
        }
    }

    /// The former owner has stopped and all its tickets are adopted.
    pub fn former_known(&mut self) {
        self.start = Start::Known;
        self.pools.values_mut().for_each(|pool| pool.unwithhold(true));
    }

    /// Whether all tickets that are out are in the books.
    pub fn knows_all(&self) -> bool {
        self.start == Start::Known
    }

    /// The lives of tickets of which a successor must be told before they are granted.
    pub fn lives_wanted(&self) -> impl Iterator<Item = (&PoolId, Millis)> {
        let lives = self.pools.iter().map(|(id, pool)| (id, pool.life_wanted()));
        lives.filter(|(_, life)| *life > TICKET_LIFE)
    }

    /// A successor will know of these `lives`.
    pub fn confirm_lives(&mut self, lives: &[(PoolId, Millis)]) {
        for (id, life) in lives {
            if let Some(pool) = self.pools.get_mut(id) {
                pool.set_life((*life).min(pool.life_wanted()));
            }
        }
    }

    /// All tickets that are out.
    pub fn held(&self, now: Millis) -> Vec<Held> {
        self.pools.values().flat_map(|pool| pool.held(now)).collect()
    }

    /// A question for a slot; the answer is an event.
    pub fn acquire(&mut self, now: Millis, ask: Ask) {
        let Ask { id, request, pool, class, zone, remaining, avoid, fence } = ask;
        if fence > self.epoch || self.authority(now) == Authority::None {
            return self.events.push(Event::Moved { ask: id });
        }
        let Some(life) = self.pools.get(&pool).map(|pool| pool.life().min(remaining)) else {
            let refusal = Refusal::NoUpstream;
            return self.events.push(Event::Refused { ask: id, request, refusal });
        };
        let deadline = now + covering(life);
        let waiter = Waiter { id, request, class, zone, deadline, life, avoid };
        self.with_pool(now, &pool, |pool, terms| pool.acquire(terms, waiter));
    }

    /// Facts from a host that was fenced by the epoch `fence`.
    ///
    /// Returns whether they were taken in: an owner must not reuse what was returned by a host that
    /// already answers to its successor.
    pub fn notes(&mut self, now: Millis, fence: Epoch, notes: Vec<Note>) -> bool {
        if fence > self.epoch || self.stopped {
            return false;
        }
        for note in notes {
            self.note(now, note);
        }
        true
    }

    /// Books bytes of a link direction.
    pub fn reserve_link(
        &mut self,
        now: Millis,
        link: &LinkId,
        class: Class,
        bytes: u64,
        patience: Millis,
    ) -> Reply {
        if self.authority(now) != Authority::Full || self.disputed() {
            return Reply::NotOwner { owner: None };
        }
        let Some(budget) = self.links.get_mut(link) else {
            return Reply::Refused(Refusal::NoHeadroom { retry_after: Millis::secs(1) });
        };
        match budget.reserve(now, class, bytes, patience) {
            Booking::After(after) => Reply::Reserved { after },
            Booking::Full(retry_after) => Reply::Refused(Refusal::NoHeadroom { retry_after }),
        }
    }

    /// Takes one request out of a shift budget.
    pub fn reserve_shift(&mut self, now: Millis, workspace: &WorkspaceId) -> Reply {
        if self.authority(now) != Authority::Full || self.disputed() {
            return Reply::NotOwner { owner: None };
        }
        let budget = self.shifts.get_mut(workspace);
        match budget.map_or(Err(Millis::secs(1)), |budget| budget.reserve(now)) {
            Ok(()) => Reply::Reserved { after: Millis::ZERO },
            Err(retry_after) => Reply::Refused(Refusal::NoHeadroom { retry_after }),
        }
    }

    /// Ends what has expired and grants what has become free.
    pub fn tick(&mut self, now: Millis) {
        self.unwithhold(now);
        if self.authority(now) == Authority::None {
            return self.disband();
        }
        let authority = self.authority(now);
        let Self { pools, epoch, serial, pick, events, .. } = self;
        for pool in pools.values_mut() {
            let pick = pick.as_ref();
            pool.tick(&mut Terms { now, epoch: *epoch, authority, serial, pick, events });
        }
    }

    /// Stops for good: gives out nothing, takes in no facts and sends the waiters elsewhere.
    ///
    /// Returns the tickets that are out, and whether those are all.
    pub fn stop(&mut self, now: Millis) -> (Vec<Held>, bool) {
        self.stopped = true;
        self.disband();
        (self.held(now), self.knows_all())
    }

    /// The answers since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// The pools and their figures.
    pub fn usage(&self, now: Millis) -> impl Iterator<Item = (&PoolId, Usage)> {
        self.pools.iter().map(move |(id, pool)| (id, pool.usage(now)))
    }

    /// The link directions, each with the free share of its burst.
    pub fn links(&self, now: Millis) -> impl Iterator<Item = (&LinkId, f64)> {
        self.links.iter().map(move |(id, budget)| (id, budget.free_share(now)))
    }

    /// Whether a former owner may go on by promises of which this owner has not heard.
    fn disputed(&self) -> bool {
        matches!(self.start, Start::Unknown { since: Millis::MAX, .. })
    }

    fn note(&mut self, now: Millis, note: Note) {
        match note {
            Note::Release { pool, epoch, serial, seen } => {
                self.with_pool(now, &pool, |pool, terms| {
                    pool.release(terms, (epoch, serial), &seen)
                });
            }
            Note::Withdraw { pool, ask } => {
                self.with_pool(now, &pool, |pool, terms| pool.withdraw(terms, &ask));
            }
            Note::Correct { link, class, reserved, sent } => {
                if let Some(budget) = self.links.get_mut(&link) {
                    budget.correct(now, class, reserved, sent);
                }
            }
            Note::Unshifted { workspace } => {
                if let Some(budget) = self.shifts.get_mut(&workspace) {
                    budget.unused();
                }
            }
        }
    }

    fn with_pool(&mut self, now: Millis, id: &PoolId, f: impl FnOnce(&mut Pool, &mut Terms<'_>)) {
        let authority = self.authority(now);
        let Self { pools, epoch, serial, pick, events, .. } = self;
        if let Some(pool) = pools.get_mut(id) {
            let pick = pick.as_ref();
            f(pool, &mut Terms { now, epoch: *epoch, authority, serial, pick, events });
        }
    }

    /// Frees what was withheld for tickets that have expired by now.
    fn unwithhold(&mut self, now: Millis) {
        let Start::Unknown { since, reserve } = self.start else { return };
        for (id, pool) in &mut self.pools {
            let life = self.former_lives.get(id).copied().unwrap_or(TICKET_LIFE);
            if now >= since + covering(life) {
                pool.unwithhold(!reserve);
            }
        }
        let longest = self.former_lives.values().max().copied().unwrap_or(TICKET_LIFE);
        if !reserve && now >= since + covering(longest.max(TICKET_LIFE)) {
            self.start = Start::Known;
        }
    }

    fn disband(&mut self) {
        let waiters = self.pools.values_mut().flat_map(Pool::disband);
        self.events.extend(waiters.map(|waiter| Event::Moved { ask: waiter.id }));
    }

    /// Adopts tickets of pools and upstreams that only a newer configuration knows.
    fn adopt_homeless(&mut self, now: Millis) {
        for (at, mut held) in std::mem::take(&mut self.homeless) {
            held.remaining = held.remaining.since(now.since(at));
            if held.remaining > Millis::ZERO {
                self.adopt(now, &[held]);
            }
        }
    }

    fn configure_pools(&mut self, snapshot: &Snapshot) {
        let shards = snapshot.network.owner_shards;
        let drained = |upstream: &foxtail_config::Upstream| snapshot.drains_upstream(upstream);
        let mut ids = Vec::new();
        for workspace in &snapshot.workspaces {
            for service in &workspace.services {
                let (region, service_id) = (self.shard.region.clone(), service.id.clone());
                let id = PoolId { workspace: workspace.id.clone(), service: service_id, region };
                if ShardId::of_pool(&id, shards) == self.shard {
                    self.configure_pool(&id, service, &drained);
                    ids.push(id);
                }
            }
        }
        for (_, pool) in self.pools.iter_mut().filter(|(id, _)| !ids.contains(id)) {
            pool.retire();
        }
        self.pools.retain(|id, pool| ids.contains(id) || !pool.is_empty());
    }

    fn configure_pool(
        &mut self,
        id: &PoolId,
        service: &foxtail_config::Service,
        drained: &dyn Fn(&foxtail_config::Upstream) -> bool,
    ) {
        let withhold = self.start != Start::Known;
        let pool = self.pools.entry(id.clone()).or_insert_with(|| Pool::new(id.clone()));
        pool.configure(service, drained, withhold);
    }

    fn configure_links(&mut self, now: Millis, snapshot: &Snapshot) {
        let network = &snapshot.network;
        let mine = |link: &LinkId| ShardId::of_link(link, network.owner_shards) == self.shard;
        self.links.retain(|id, _| network.links.iter().any(|link| link.id == *id) && mine(id));
        for link in network.links.iter().filter(|link| mine(&link.id)) {
            let (rate, trickle) = (link.mbit_per_s, link.archive_mbit_per_s);
            let fresh = || LinkBudget::new(now, rate, trickle);
            self.links.entry(link.id.clone()).or_insert_with(fresh).resize(now, rate, trickle);
        }
    }

    fn configure_shifts(&mut self, now: Millis, snapshot: &Snapshot) {
        let region = &self.shard.region;
        let shards = snapshot.network.owner_shards;
        let mine = |id: &WorkspaceId| ShardId::of_shift(id, region, shards) == self.shard;
        self.shifts.retain(|id, _| snapshot.workspace(id).is_some() && mine(id));
        for workspace in snapshot.workspaces.iter().filter(|workspace| mine(&workspace.id)) {
            let cap = workspace.shift_per_s;
            let fresh = || ShiftBudget::new(now, cap);
            self.shifts.entry(workspace.id.clone()).or_insert_with(fresh).resize(cap);
        }
    }
}
