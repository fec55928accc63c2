//! The world of a scenario: regions, owners, upstreams, callers and the queue of events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use foxtail_config::{
    Drain, DrainTarget, Link, Network, Region, Service, Snapshot, Upstream, Workspace,
};
use foxtail_limit::msg::Grant;
use foxtail_limit::owner::{MostFree, Owner, Start};
use foxtail_limit::{Refusal, ShardId};
use foxtail_retry::{Budgets, Fingerprint, Guard, Suspects};
use foxtail_route::plan::Report;
use foxtail_types::prelude::*;

use super::report::Tally;

/// The regions.
pub(super) const REGIONS: [&str; 3] = ["peninsula", "sabah", "sarawak"];
/// Time passes in this step for owners.
const TICK: Millis = Millis(10);
/// How often owners report to the entry hosts.
const REPORT: Millis = Millis(200);
/// How long an owner's lease lasts.
const LEASE: Millis = Millis::secs(10);
/// The clocks are well past zero when a scenario begins.
const START: Millis = Millis::secs(100);
/// The most requests that wait for a slot in one region.
const QUEUE_MAX: u32 = 200;

/// How a world is built.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setup {
    pub(super) upstreams: u32,
    pub(super) slots: u32,
    pub(super) service: Millis,
    pub(super) delay: Millis,
    pub(super) mbit: u32,
    pub(super) archive: u32,
    pub(super) shift: u32,
}

/// A scenario in progress.
pub struct Scenario {
    pub(super) now: Millis,
    pub(super) setup: Setup,
    pub(super) snapshot: Snapshot,
    pub(super) sites: Vec<SiteState>,
    pub(super) loads: Vec<Load>,
    pub(super) requests: Vec<Request>,
    pub(super) faults: Faults,
    pub(super) watch: Watch,
    pub(super) tallies: BTreeMap<(usize, Class), Tally>,
    /// Starts of shifted requests, by the region that sends them.
    pub(super) shifted: Vec<(usize, Millis)>,
    /// Starts of transfers, by the direction of the link.
    pub(super) carried: Vec<((usize, usize), Millis, u64)>,
    queue: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    queued: u64,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Faults {
    pub(super) deaf: bool,
    pub(super) reports_idle: bool,
    pub(super) store_down: bool,
    pub(super) withheld: bool,
}

/// One region: its owner, and its upstreams as they are.
pub(super) struct SiteState {
    pub(super) id: RegionId,
    pub(super) owner: Owner,
    pub(super) servers: Vec<Server>,
    pub(super) lost: bool,
    /// When its hosts were last heard of elsewhere.
    pub(super) heard: Millis,
    pub(super) report: Option<Report>,
    lease_until: Millis,
}

/// An upstream.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) id: UpstreamId,
    pub(super) busy: u32,
    pub(super) crashes: u32,
    pub(super) down_until: Millis,
    pub(super) leaving: bool,
}

/// Requests that come evenly.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) from: usize,
    pub(super) class: Class,
    pub(super) rate: u64,
    pub(super) deadline: Millis,
    pub(super) answer_bytes: u64,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) from: usize,
    pub(super) class: Class,
    pub(super) born: Millis,
    pub(super) deadline: Millis,
    pub(super) answer_bytes: u64,
    pub(super) fp: Fingerprint,
    pub(super) poison: bool,
    pub(super) trial: bool,
    pub(super) attempts: u32,
    pub(super) avoid: Vec<UpstreamId>,
    pub(super) order: Vec<usize>,
    pub(super) refused: Option<Refusal>,
}

/// What is known of crashing requests. One guard and one trial at a time stand for the fleet's.
#[derive(Default)]
pub(super) struct Watch {
    pub(super) guard: Guard,
    pub(super) suspects: Suspects,
    pub(super) budgets: Option<Budgets>,
    pub(super) trial: bool,
    pub(super) crashes: u32,
}

/// What happens at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Tick,
    Report,
    Arrive(usize),
    Admit(usize),
    Attempt(usize),
    Next(usize),
    Ask { request: usize, region: usize },
    Begin { request: usize, region: usize, grant: Granted },
    End { request: usize, region: usize, grant: Granted, crashes: u32 },
}

/// A slot given.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Granted {
    pub(super) server: usize,
    pub(super) serial: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self::new(&Setup {
            upstreams: 4,
            slots: 3,
            service: Millis(20),
            delay: Millis(35),
            mbit: 300,
            archive: 30,
            shift: 50,
        })
    }
}

impl Scenario {
    pub(super) fn new(setup: &Setup) -> Self {
        let snapshot = snapshot(setup);
        let sites = (0..REGIONS.len()).map(|at| SiteState::new(&snapshot, at)).collect();
        let mut scenario = Self {
            now: START,
            setup: *setup,
            snapshot,
            sites,
            loads: Vec::new(),
            requests: Vec::new(),
            faults: Faults { withheld: true, ..Faults::default() },
            watch: Watch { budgets: Some(Budgets::new(Default::default())), ..Watch::default() },
            tallies: BTreeMap::new(),
            shifted: Vec::new(),
            carried: Vec::new(),
            queue: BinaryHeap::new(),
            queued: 0,
        };
        scenario.push(Millis::ZERO, Event::Report);
        scenario.push(Millis::ZERO, Event::Tick);
        scenario
    }

    pub(super) fn region(&self, name: &str) -> Option<usize> {
        REGIONS.iter().position(|region| *region == name)
    }

    pub(super) fn push(&mut self, after: Millis, event: Event) {
        self.queued += 1;
        self.queue.push(Reverse((self.now + after, self.queued, event)));
    }

    /// Replaces the load from a region of a class.
    pub(super) fn set_load(&mut self, load: Load) {
        let same = |it: &Load| (it.from, it.class) == (load.from, load.class);
        match self.loads.iter().position(same) {
            Some(at) if self.loads[at].rate > 0 => self.loads[at] = load,
            Some(at) => {
                self.loads[at] = load;
                self.push(Millis::ZERO, Event::Arrive(at));
            }
            None => {
                self.loads.push(load);
                self.push(Millis::ZERO, Event::Arrive(self.loads.len() - 1));
            }
        }
    }

    /// Runs for `span` and returns the report of that time.
    pub(super) fn run(&mut self, span: Millis) -> String {
        let until = self.now + span;
        self.tallies.clear();
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            self.handle(event);
        }
        self.now = until;
        self.check_budgets();
        self.report()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Report => self.hear(),
            Event::Arrive(load) => self.arrive(load),
            Event::Admit(request) => self.admit(request),
            Event::Attempt(request) => self.attempt(request),
            Event::Next(request) => self.next_pool(request),
            Event::Ask { request, region } => self.ask(request, region),
            Event::Begin { request, region, grant } => self.begin(request, region, grant),
            Event::End { request, region, grant, crashes } => {
                self.end(request, region, grant, crashes);
            }
        }
    }

    /// Renews the owners' leases and moves them on.
    fn tick(&mut self) {
        let renewed = !self.faults.store_down || self.faults.withheld;
        for site in &mut self.sites {
            if renewed && !site.lost {
                site.lease_until = self.now + LEASE;
            }
            site.owner.authorize(site.lease_until, true);
            site.owner.tick(self.now);
        }
        (0..self.sites.len()).for_each(|region| self.answers(region));
        self.push(TICK, Event::Tick);
    }

    /// Entry hosts hear of the other hosts and of the pools' load.
    fn hear(&mut self) {
        for site in self.sites.iter_mut().filter(|site| !site.lost && !self.faults.deaf) {
            site.heard = self.now;
            if let Some((_, usage)) = site.owner.usage(self.now).next() {
                let free = usage.slots.saturating_sub(usage.used + usage.withheld);
                site.report = Some(Report { at: self.now, free, wait: usage.wait });
            }
        }
        self.push(REPORT, Event::Report);
    }

    fn arrive(&mut self, at: usize) {
        let load = self.loads[at];
        if load.rate == 0 {
            return;
        }
        let (from, class) = (load.from, load.class);
        let deadline = self.now + load.deadline;
        let request = self.request(from, class, deadline, load.answer_bytes, None);
        self.push(Millis::ZERO, Event::Admit(request));
        // Whole milliseconds, so that rates are those of the script on average over a second.
        let nth = self.tallies.entry((from, class)).or_default().count();
        let gap = nth * 1_000 / load.rate - (nth - 1) * 1_000 / load.rate;
        self.push(Millis(gap), Event::Arrive(at));
    }

    pub(super) fn request(
        &mut self,
        from: usize,
        class: Class,
        deadline: Millis,
        answer_bytes: u64,
        poison: Option<Fingerprint>,
    ) -> usize {
        let mut digest = [0; 16];
        digest[..8].copy_from_slice(&(self.requests.len() as u64).to_le_bytes());
        self.requests.push(Request {
            from,
            class,
            born: self.now,
            deadline,
            answer_bytes,
            fp: poison.unwrap_or(Fingerprint(digest)),
            poison: poison.is_some(),
            trial: false,
            attempts: 0,
            avoid: Vec::new(),
            order: Vec::new(),
            refused: None,
        });
        self.requests.len() - 1
    }

    pub(super) fn drain(&mut self, region: usize, drain: bool) {
        let target = DrainTarget::Region(self.sites[region].id.clone());
        self.snapshot.drains.retain(|it| it.target != target);
        if drain {
            self.snapshot.drains.push(Drain { target, started: self.now });
        }
        for site in &mut self.sites {
            site.owner.configure(self.now, &self.snapshot);
        }
    }
}

impl SiteState {
    fn new(snapshot: &Snapshot, at: usize) -> Self {
        let id = snapshot.network.regions[at].id.clone();
        let shard = ShardId { region: id.clone(), index: 0 };
        let mut owner = Owner::new(shard, Epoch(1), Start::Known, Arc::new(MostFree));
        // Long before the scenario, so that budgets that start empty have filled.
        owner.configure(Millis::ZERO, snapshot);
        owner.authorize(START + LEASE, true);
        let service = &snapshot.workspaces[0].services[0];
        let server = |upstream: &Upstream| Server {
            id: upstream.id.clone(),
            busy: 0,
            crashes: 0,
            down_until: Millis::ZERO,
            leaving: false,
        };
        let servers = service.upstreams_in(&id).map(server).collect();
        let lease_until = START + LEASE;
        Self { id, owner, servers, lost: false, heard: START, report: None, lease_until }
    }
}

impl Granted {
    pub(super) fn new(servers: &[Server], grant: &Grant) -> Self {
        let server = servers.iter().position(|server| server.id == grant.upstream);
        Self { server: server.expect("owners grant their own upstreams"), serial: grant.serial }
    }
}

fn snapshot(setup: &Setup) -> Snapshot {
    let regions: Vec<RegionId> = REGIONS.iter().map(|name| valid(RegionId::new(name))).collect();
    let zone = |region: &RegionId| valid(ZoneId::new(&format!("{region}-a")));
    let upstream = |region: &RegionId, n: u32| Upstream {
        id: valid(UpstreamId::new(&format!("{region}-{n}"))),
        addr: ([127, 0, 0, 1], 1).into(),
        region: region.clone(),
        zone: zone(region),
        slots: setup.slots,
    };
    let upstreams = regions.iter().flat_map(|it| (0..setup.upstreams).map(move |n| (it, n)));
    let service = Service {
        id: valid(ServiceId::new("certificates")),
        upstreams: upstreams.map(|(region, n)| upstream(region, n)).collect(),
        class: Class::Interactive,
        deadline: Millis::secs(2),
        deadline_max: Millis::secs(30),
        body_max_bytes: 1_000_000,
        answer_bytes: 2_000,
        queue_max: QUEUE_MAX,
        once: Vec::new(),
    };
    let workspace = Workspace {
        id: valid(WorkspaceId::new("tali-selamat")),
        version: Version(1),
        services: vec![service],
        shift_per_s: setup.shift,
    };
    let pairs = regions.iter().flat_map(|a| regions.iter().map(move |b| (a, b)));
    let link = |(from, to): (&RegionId, &RegionId)| Link {
        id: LinkId { from: from.clone(), to: to.clone() },
        mbit_per_s: setup.mbit,
        delay: setup.delay,
        archive_mbit_per_s: setup.archive,
    };
    let links = pairs.filter(|(from, to)| from != to).map(link).collect();
    let region = |id: &RegionId| Region { id: id.clone(), zones: vec![zone(id)] };
    let regions = regions.iter().map(region).collect();
    let network = Arc::new(Network { regions, links, owner_shards: 1, blocks: Vec::new() });
    let workspaces = vec![Arc::new(workspace)];
    Snapshot { version: Version(1), network, workspaces, drains: Vec::new() }
}

fn valid<T, E: std::fmt::Debug>(name: Result<T, E>) -> T {
    name.expect("the names of scenarios are valid")
}
