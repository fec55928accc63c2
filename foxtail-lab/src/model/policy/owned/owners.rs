//! The owners of all shards, where they run, and who waits for them.

use std::collections::HashMap;
use std::sync::Arc;

use foxtail_config::Snapshot;
use foxtail_limit::ShardId;
use foxtail_limit::msg::{Ask, AskId, Grant, Note, Reply};
use foxtail_limit::owner::{Event, MostFree, Owner, Start, Usage};
use foxtail_types::prelude::*;

use crate::model::{Micros, World};
use crate::shape::{REGIONS, Shape, UPSTREAMS_PER_SERVICE};

/// The hosts' clocks are well past zero when the run begins.
const EPOCH_START: Millis = Millis::secs(100);

/// A pool, by the numbers of its service and region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PoolAt {
    /// The service.
    pub(super) service: usize,
    /// The region.
    pub(super) region: usize,
}

/// The owners of all shards.
pub(super) struct Owners {
    owners: Vec<Placed>,
    pools: HashMap<PoolAt, (usize, PoolId)>,
    links: HashMap<(usize, usize), (usize, LinkId)>,
    shifts: Vec<usize>,
    workspace: WorkspaceId,
    servers: HashMap<UpstreamId, usize>,
    hosts: Vec<(HostId, ZoneId)>,
}

struct Placed {
    host: usize,
    owner: Owner,
}

impl Owners {
    pub(super) fn new<M>(world: &World<'_, M>) -> Self {
        let shape = world.shape;
        let snapshot = snapshot(world);
        let shards = snapshot.network.owner_shards;
        let hosts: Vec<_> = shape.hosts().into_iter().map(|host| (host.id, host.zone)).collect();
        let mut index = HashMap::new();
        let mut owners = Vec::new();
        for region in 0..REGIONS {
            for shard in 0..shards {
                let shard = ShardId { region: shape.region(region).clone(), index: shard };
                let host = preferred(world, &hosts, region, &shard);
                index.insert(shard.clone(), owners.len());
                owners.push(Placed { host, owner: owner(shard, &snapshot) });
            }
        }
        let servers = server_numbers(&snapshot);
        let workspace = shape.workspace_id().clone();
        let pools = pools(shape).map(|(at, id)| (at, (index[&ShardId::of_pool(&id, shards)], id)));
        let links = links(shape).map(|(at, id)| (at, (index[&ShardId::of_link(&id, shards)], id)));
        let shift = |region| index[&ShardId::of_shift(&workspace, shape.region(region), shards)];
        Self {
            pools: pools.collect(),
            links: links.collect(),
            shifts: (0..REGIONS).map(shift).collect(),
            owners,
            workspace,
            servers,
            hosts,
        }
    }

    /// The host of the owner of a pool.
    pub(super) fn host_of(&self, pool: &PoolAt) -> usize {
        self.owners[self.pools[pool].0].host
    }

    /// The number of the server named `id`.
    pub(super) fn server(&self, id: &UpstreamId) -> usize {
        self.servers[id]
    }

    /// The pool's name.
    pub(super) fn pool_id(&self, pool: &PoolAt) -> PoolId {
        self.pools[pool].1.clone()
    }

    /// A question of `sender` for the request `req` has come.
    pub(super) fn ask(
        &mut self,
        now: Micros,
        pool: &PoolAt,
        req: usize,
        sender: usize,
        class: Class,
        remaining: Micros,
    ) {
        let (owner, id) = &self.pools[pool];
        let (host, zone) = self.hosts[sender].clone();
        let ask = Ask {
            id: AskId { host, no: req as u64 },
            request: RequestId(uuid::Uuid::from_u128(req as u128)),
            pool: id.clone(),
            class,
            zone,
            remaining: remaining.into(),
            avoid: Vec::new(),
            fence: Epoch(1),
        };
        self.owners[*owner].owner.acquire(clock(now), ask);
    }

    /// A fact for the owner of a pool has come.
    pub(super) fn note(&mut self, now: Micros, pool: &PoolAt, note: Note) {
        let owner = self.pools[pool].0;
        self.owners[owner].owner.notes(clock(now), Epoch(1), vec![note]);
    }

    /// Takes one request out of the shift budget of a region.
    pub(super) fn shift(&mut self, now: Micros, region: usize) -> bool {
        let owner = &mut self.owners[self.shifts[region]].owner;
        matches!(owner.reserve_shift(clock(now), &self.workspace), Reply::Reserved { .. })
    }

    /// Books bytes of a link; `None` if there is no room in time.
    pub(super) fn link(
        &mut self,
        now: Micros,
        (from, to): (usize, usize),
        class: Class,
        bytes: u64,
        patience: Micros,
    ) -> Option<Micros> {
        let (owner, id) = &self.links[&(from, to)];
        let owner = &mut self.owners[*owner].owner;
        match owner.reserve_link(clock(now), id, class, bytes, patience.into()) {
            Reply::Reserved { after } => Some(after.into()),
            _ => None,
        }
    }

    /// Ends what has expired at every owner.
    pub(super) fn tick(&mut self, now: Micros) {
        for placed in &mut self.owners {
            placed.owner.tick(clock(now));
        }
    }

    /// What the owners have decided: the request, the owner's host, and the grant if there is one.
    pub(super) fn take_answers(&mut self) -> Vec<(usize, usize, Option<Grant>)> {
        let mut answers = Vec::new();
        for placed in &mut self.owners {
            for event in placed.owner.take_events() {
                let (ask, grant) = match event {
                    Event::Granted { ask, grant, .. } => (ask, Some(grant)),
                    Event::Refused { ask, .. } | Event::Moved { ask } => (ask, None),
                };
                answers.push((ask.no as usize, placed.host, grant));
            }
        }
        answers
    }

    /// The figures of all pools of a region.
    pub(super) fn usage(&self, now: Micros, region: usize) -> Vec<(PoolAt, Usage)> {
        let pools = self.pools.iter().filter(|(at, _)| at.region == region);
        let usage = |(at, (owner, id)): (&PoolAt, &(usize, PoolId))| {
            let owner = &self.owners[*owner].owner;
            let found = owner.usage(clock(now)).find(|(pool, _)| *pool == id);
            found.map(|(_, usage)| (*at, usage))
        };
        pools.filter_map(usage).collect()
    }
}

/// The hosts' clock at `now`.
pub(super) fn clock(now: Micros) -> Millis {
    EPOCH_START + Millis::from(now)
}

fn owner(shard: ShardId, snapshot: &Snapshot) -> Owner {
    let mut owner = Owner::new(shard, Epoch(1), Start::Known, Arc::new(MostFree));
    // Long before the run, so that budgets that start empty have filled.
    owner.configure(Millis::ZERO, snapshot);
    owner.authorize(Millis::MAX, false);
    let lives: Vec<_> = owner.lives_wanted().map(|(id, life)| (id.clone(), life)).collect();
    owner.confirm_lives(&lives);
    owner
}

fn preferred<M>(
    world: &World<'_, M>,
    hosts: &[(HostId, ZoneId)],
    region: usize,
    shard: &ShardId,
) -> usize {
    let here = |n: &usize| world.hosts[*n].alive && world.hosts[*n].region == region;
    let alive: Vec<usize> = (0..hosts.len()).filter(here).collect();
    let first = shard.rank(alive.iter().map(|n| &hosts[*n].0))[0];
    alive.iter().copied().find(|n| hosts[*n].0 == *first).expect("the first host is alive")
}

/// The configuration without the servers that are lost.
fn snapshot<M>(world: &World<'_, M>) -> Snapshot {
    let addr = |n: usize| ([127, 0, 0, 1], 10_000 + n as u16).into();
    let services = 0..world.shape.services.len();
    let of = |service| (0..UPSTREAMS_PER_SERVICE).map(move |n| service * UPSTREAMS_PER_SERVICE + n);
    let addrs: Vec<Vec<_>> = services.map(|service| of(service).map(addr).collect()).collect();
    let mut snapshot = world.shape.snapshot(&addrs);
    let workspace = Arc::make_mut(&mut snapshot.workspaces[0]);
    for (service, spec) in workspace.services.iter_mut().enumerate() {
        let first = service * UPSTREAMS_PER_SERVICE;
        let mut n = first;
        spec.upstreams.retain(|_| {
            n += 1;
            world.servers[n - 1].node.alive
        });
    }
    snapshot
}

/// The number of each server: the snapshot's servers have ports in their order.
fn server_numbers(snapshot: &Snapshot) -> HashMap<UpstreamId, usize> {
    let services = snapshot.workspaces.iter().flat_map(|workspace| &workspace.services);
    let upstreams = services.flat_map(|service| &service.upstreams);
    upstreams.map(|up| (up.id.clone(), usize::from(up.addr.port()) - 10_000)).collect()
}

fn pools(shape: &Shape) -> impl Iterator<Item = (PoolAt, PoolId)> {
    let id = |service: usize, region: usize| PoolId {
        workspace: shape.workspace_id().clone(),
        service: ServiceId::new(&shape.services[service].name).expect("the name is valid"),
        region: shape.region(region).clone(),
    };
    (0..shape.services.len()).flat_map(move |service| {
        (0..REGIONS).map(move |region| (PoolAt { service, region }, id(service, region)))
    })
}

fn links(shape: &Shape) -> impl Iterator<Item = ((usize, usize), LinkId)> {
    let id = |from: usize, to: usize| LinkId {
        from: shape.region(from).clone(),
        to: shape.region(to).clone(),
    };
    (0..REGIONS).flat_map(move |from| {
        (0..REGIONS).filter(move |to| *to != from).map(move |to| ((from, to), id(from, to)))
    })
}
