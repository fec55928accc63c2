//! A simulated fleet: stations, owners and ticket holders with clocks of their own, a network that
//! loses and reorders, and a table whose commits and replies are late or lost.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use foxtail_config::Snapshot;
use foxtail_limit::holder::Holder;
use foxtail_limit::hosted::Hosted;
use foxtail_limit::msg::{Ask, AskId, Note, Reply, Request};
use foxtail_limit::owner::MostFree;
use foxtail_limit::shift::USE_WITHIN;
use foxtail_limit::station::{Action, Done, OpId, Parts, STORE_TIMEOUT, Station};
use foxtail_limit::{Me, Seen, ShardId, Ticket, Unreachable, Verdict};
use foxtail_platform::table::{Error, Outcome};
use foxtail_platform::{HostEntry, HostState};
use foxtail_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::oneshot;

use crate::common::{self, Rows};

/// Hosts of the region that owns the pool, then hosts of another region that also send to it.
pub(crate) const KIN: usize = 4;
pub(crate) const HOSTS: usize = KIN + 2;
pub(crate) const UPSTREAMS: usize = 2;
const STEP: u64 = 10;
/// The platform's list follows the truth after this time.
const LIST_LAG: u64 = 4_000;
/// Calm and busy phases take turns.
const PHASE: u64 = 5_000;
const ASKS_MAX: usize = 6;
const PPM: u64 = 1_000_000;
const LINK_BYTES: u64 = 400_000;

/// A host's boot clock: its own start and rate.
struct HostClock {
    now: AtomicU64,
    start: u64,
    ppm: u64,
}

impl Clock for HostClock {
    fn now(&self) -> Millis {
        Millis(self.now.load(Ordering::Relaxed))
    }

    fn wall(&self) -> Millis {
        self.now()
    }
}

/// One host, with the process that runs on it, if any.
struct Host {
    id: HostId,
    clock: Arc<HostClock>,
    process: Option<Process>,
    paused: bool,
    started: u64,
}

/// One process of a host.
struct Process {
    no: u64,
    station: Station,
    hosted: Hosted,
    holder: Holder,
    asks: BTreeMap<u64, Millis>,
    epoch: Epoch,
    leaving: bool,
    serving: Vec<(oneshot::Receiver<Reply>, usize, u64, u64)>,
}

/// Something on its way.
struct Event {
    at: u64,
    host: usize,
    what: What,
}

enum What {
    Request { from: usize, process: u64, tag: Tag, req: Request },
    Reply { process: u64, tag: Tag, reply: Option<Reply> },
    Stored { process: u64, op: OpId, done: Done },
    Store { process: u64, op: OpId, action: Action },
    Finish { process: u64, ticket: Ticket },
    Shift { process: u64, sent: Millis },
}

#[derive(Clone, Copy)]
enum Tag {
    Op(OpId),
    Ask(u64),
    Shift(Millis),
    None,
}

/// A ticket that its holder may use.
struct Usable {
    host: usize,
    process: u64,
    ticket: Ticket,
}

/// The fleet.
pub(crate) struct World {
    now: u64,
    rng: SmallRng,
    hosts: Vec<Host>,
    rows: Rows,
    events: Vec<Event>,
    usable: Vec<Usable>,
    shifted: Vec<u64>,
    linked: Vec<(u64, u64)>,
    next: u64,
    snapshot: Arc<Snapshot>,
    healed: bool,
    changes: Vec<(u64, usize, bool)>,
    listed: Vec<bool>,
    /// On which side of a partition each host is.
    side: Vec<bool>,
    /// Hosts that don't reach the store.
    storeless: Vec<bool>,
    pub(crate) store_down: bool,
    pub(crate) lossy: bool,
    /// Owners trust that no ticket of a former owner is out.
    pub(crate) forgetful: bool,
    pub(crate) granted: u64,
    pub(crate) peak: usize,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|at| {
            let ppm = PPM - 900 + rng.random_range(0..1_800);
            let start = rng.random_range(0..1_000_000);
            let clock = HostClock { now: AtomicU64::new(start), start, ppm };
            let id = common::host(&format!("h{at}"));
            Host { id, clock: Arc::new(clock), process: None, paused: false, started: 0 }
        });
        let hosts = hosts.collect();
        let mut world = World {
            now: 0,
            rng,
            hosts,
            rows: Rows::default(),
            events: Vec::new(),
            usable: Vec::new(),
            shifted: Vec::new(),
            linked: Vec::new(),
            next: 0,
            snapshot: Arc::new(common::snapshot(&["sabah", "sarawak"], UPSTREAMS)),
            healed: false,
            changes: Vec::new(),
            listed: vec![true; HOSTS],
            side: vec![false; HOSTS],
            storeless: vec![false; HOSTS],
            store_down: false,
            lossy: false,
            forgetful: false,
            granted: 0,
            peak: 0,
        };
        (0..HOSTS).for_each(|at| world.start(at));
        world
    }

    pub(crate) fn start(&mut self, at: usize) {
        if self.hosts[at].process.is_some() {
            return;
        }
        self.next += 1;
        let me = Me {
            host: self.hosts[at].id.clone(),
            region: common::region(region_of(at)),
            zone: common::zone(region_of(at), 0),
        };
        let clock = self.hosts[at].clock.clone();
        let (token, now) = (self.rng.random(), clock.now());
        let mut station = Station::new(me, token, now, Arc::new(MostFree), self.snapshot.clone());
        station.set_hosts(&self.list(), &[]);
        let hosted = Hosted::new(clock);
        let (holder, asks, serving) = (Holder::default(), BTreeMap::new(), Vec::new());
        let epoch = Epoch::default();
        let process = Process {
            no: self.next,
            station,
            hosted,
            holder,
            asks,
            epoch,
            leaving: false,
            serving,
        };
        self.hosts[at].process = Some(process);
        self.hosts[at].started = self.now;
        self.changes.push((self.now + LIST_LAG, at, true));
    }

    pub(crate) fn kill(&mut self, at: usize) {
        self.hosts[at].process = None;
        self.hosts[at].paused = false;
        self.usable.retain(|usable| usable.host != at);
        self.changes.push((self.now + LIST_LAG, at, false));
    }

    pub(crate) fn pause(&mut self, at: usize, paused: bool) {
        self.hosts[at].paused = paused && self.hosts[at].process.is_some();
    }

    /// Begins a planned stop; the process ends when it has handed over.
    pub(crate) fn stop(&mut self, at: usize) {
        if let Some(process) = &mut self.hosts[at].process {
            process.station.stop();
            process.leaving = true;
            self.changes.push((self.now, at, true));
        }
    }

    /// Puts a host on one side of a partition between hosts.
    pub(crate) fn part(&mut self, at: usize, side: bool) {
        self.side[at] = side;
    }

    /// Cuts a host off from the store, or joins it again.
    pub(crate) fn cut_store(&mut self, at: usize, cut: bool) {
        self.storeless[at] = cut;
    }

    /// Ends all faults, and keeps a process on every host from now on.
    pub(crate) fn heal(&mut self) {
        self.healed = true;
        self.store_down = false;
        self.lossy = false;
        self.side = vec![false; HOSTS];
        self.storeless = vec![false; HOSTS];
        for at in 0..HOSTS {
            self.hosts[at].paused = false;
            self.start(at);
        }
    }

    pub(crate) fn run(&mut self, span: u64) {
        for _ in 0..span.div_ceil(STEP) {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for host in &self.hosts {
            let ticks = self.now * host.clock.ppm / PPM;
            host.clock.now.store(host.clock.start + ticks, Ordering::Relaxed);
        }
        self.follow_list();
        let mut due: Vec<Event> = self.events.extract_if(.., |e| e.at <= self.now).collect();
        while !due.is_empty() {
            let event = due.swap_remove(self.rng.random_range(0..due.len()));
            self.deliver(event);
        }
        for at in 0..HOSTS {
            if !self.hosts[at].paused && self.hosts[at].process.is_some() {
                self.live(at);
            }
        }
        let process = |host: &Host| host.process.as_ref().map(|process| process.no);
        self.usable.retain(|usable| {
            let host = &self.hosts[usable.host];
            process(host) == Some(usable.process) && host.clock.now() < usable.ticket.expires
        });
    }

    /// One turn of a running host: its station, its owners, new requests.
    fn live(&mut self, at: usize) {
        let forgetful = self.forgetful;
        let now = self.hosts[at].clock.now();
        let Some(process) = &mut self.hosts[at].process else { return };
        let parts = Parts { hosted: &process.hosted, holder: &process.holder };
        let actions = process.station.poll(now, parts);
        if forgetful {
            process.hosted.with(&shard(), |owner, _| owner.former_known());
        }
        process.hosted.tick();
        let (no, stopped) = (process.no, process.station.stopped());
        for (op, action) in actions {
            self.act(at, no, op, action);
        }
        if stopped {
            self.kill(at);
            if self.healed {
                self.start(at);
            }
            return;
        }
        self.ask_anew(at);
        self.ask(at);
        self.answer(at);
    }

    /// Leaves the queue of an owner that was replaced.
    fn ask_anew(&mut self, at: usize) {
        let host = self.hosts[at].id.clone();
        let Some(process) = &mut self.hosts[at].process else { return };
        let epoch = process.holder.epoch(&shard());
        if std::mem::replace(&mut process.epoch, epoch) == epoch {
            return;
        }
        for no in std::mem::take(&mut process.asks).into_keys() {
            let ask = AskId { host: host.clone(), no };
            self.tell(at, Note::Withdraw { pool: common::pool("sabah"), ask });
        }
    }

    fn act(&mut self, at: usize, process: u64, op: OpId, action: Action) {
        if let Action::Call { to, req, timeout } = action {
            let to = self.hosts.iter().position(|host| host.id == to).expect("a host");
            return self.send(at, process, to, Tag::Op(op), req, timeout.0);
        }
        let done = match &action {
            Action::Read { .. } => Done::Read(Err(Error::TimedOut)),
            _ => Done::Commit(Outcome::Ambiguous(Error::TimedOut)),
        };
        self.push(STORE_TIMEOUT.0, at, What::Stored { process, op, done });
        let late = if self.lossy && self.rng.random_bool(0.2) { 4_000 } else { 30 };
        let delay = self.rng.random_range(0..late);
        self.push(delay, at, What::Store { process, op, action });
    }

    fn send(&mut self, from: usize, process: u64, to: usize, tag: Tag, req: Request, timeout: u64) {
        self.push(timeout, from, What::Reply { process, tag, reply: None });
        if self.passes(from, to) {
            let delay = self.delay();
            self.push(delay, to, What::Request { from, process, tag, req });
        }
    }

    fn deliver(&mut self, event: Event) {
        let at = event.host;
        if let What::Store { process, op, action } = event.what {
            return self.store(at, process, op, action);
        }
        if self.hosts[at].paused {
            self.events.push(Event { at: self.now + STEP, ..event });
            return;
        }
        let now = self.hosts[at].clock.now();
        let Some(running) = &mut self.hosts[at].process else { return };
        let parts = Parts { hosted: &running.hosted, holder: &running.holder };
        let no = running.no;
        match event.what {
            What::Request { from, process, tag, req } => self.serve(at, from, process, tag, req),
            What::Stored { process, op, done } if process == no => {
                running.station.done(now, parts, op, done);
            }
            What::Reply { process, tag: Tag::Op(op), reply } if process == no => {
                let lost = Unreachable { host: common::host("peer"), why: "lost".into() };
                running.station.done(now, parts, op, Done::Call(reply.ok_or(lost)));
            }
            What::Reply { process, tag: Tag::Ask(ask), reply } if process == no => {
                self.asked(at, ask, reply);
            }
            What::Reply { process, tag: Tag::Shift(sent), reply } if process == no => {
                if matches!(reply, Some(Reply::Reserved { .. })) {
                    let delay = self.rng.random_range(0..USE_WITHIN.0);
                    self.push(delay, at, What::Shift { process, sent });
                }
            }
            What::Finish { process, ticket } if process == no => self.finish(at, ticket),
            What::Shift { process, sent } if process == no && now <= sent + USE_WITHIN => {
                self.shifted.push(self.now);
                self.check_shift();
            }
            _ => {}
        }
    }

    fn store(&mut self, at: usize, process: u64, op: OpId, action: Action) {
        if self.store_down || self.storeless[at] {
            return;
        }
        let done = match action {
            Action::Read { keys } => Done::Read(Ok(self.rows.read(&keys))),
            Action::Commit { txn } => Done::Commit(self.rows.commit(&txn)),
            Action::Call { .. } => return,
        };
        if !(self.lossy && self.rng.random_bool(0.3)) {
            let late = if self.lossy { STORE_TIMEOUT.0 } else { 30 };
            let delay = self.rng.random_range(0..late);
            self.push(delay, at, What::Stored { process, op, done });
        }
    }

    fn serve(&mut self, at: usize, from: usize, process: u64, tag: Tag, req: Request) {
        let now = self.hosts[at].clock.now();
        let Some(running) = &mut self.hosts[at].process else { return };
        let not_owner = Reply::NotOwner { owner: running.holder.owner(&shard()) };
        let reply = match req {
            Request::Acquire(ask) => match (running.hosted.ask(&shard(), ask), tag) {
                (Some(rx), Tag::Ask(ask)) => {
                    running.serving.push((rx, from, process, ask));
                    return;
                }
                _ => not_owner,
            },
            Request::Notes { fence, notes, .. } => {
                match running.hosted.notes(&shard(), fence, notes) {
                    true => Reply::Done,
                    false => not_owner,
                }
            }
            Request::ReserveShift { workspace, .. } => {
                let reserve = |owner: &mut foxtail_limit::owner::Owner, now| {
                    owner.reserve_shift(now, &workspace)
                };
                running.hosted.with(&shard(), reserve).unwrap_or(not_owner)
            }
            Request::ReserveLink { link, class, bytes, patience } => {
                let reserved = running.hosted.with(&shard(), |owner, now| {
                    owner.reserve_link(now, &link, class, bytes, patience)
                });
                if let Some(Reply::Reserved { after }) = &reserved {
                    self.linked.push((self.now + after.0, bytes));
                    return self.check_link();
                }
                return;
            }
            req => {
                let parts = Parts { hosted: &running.hosted, holder: &running.holder };
                running.station.serve(now, parts, &req).expect("a message about ownership")
            }
        };
        self.reply(at, from, process, tag, reply);
    }

    fn reply(&mut self, from: usize, to: usize, process: u64, tag: Tag, reply: Reply) {
        if self.passes(from, to) {
            let delay = self.delay();
            self.push(delay, to, What::Reply { process, tag, reply: Some(reply) });
        }
    }

    /// Sends new requests of a host's callers.
    fn ask(&mut self, at: usize) {
        let (host, now) = (self.hosts[at].id.clone(), self.hosts[at].clock.now());
        let Some(process) = &mut self.hosts[at].process else { return };
        let calm = self.now % (2 * PHASE) < PHASE;
        if process.asks.len() >= ASKS_MAX || !self.rng.random_bool(if calm { 0.02 } else { 0.4 }) {
            return;
        }
        self.next += 1;
        let no = self.next;
        let remaining = Millis(self.rng.random_range(200..common::DEADLINE_MAX.0));
        let fence = process.holder.epoch(&shard());
        let ask = Ask {
            id: AskId { host, no },
            request: RequestId::fresh(),
            pool: common::pool("sabah"),
            class: Class::Interactive,
            zone: common::zone("sabah", 0),
            remaining,
            avoid: Vec::new(),
            fence,
        };
        process.asks.insert(no, now);
        let number = process.no;
        let to = self.target(at);
        self.send(at, number, to, Tag::Ask(no), Request::Acquire(ask), remaining.0);
        if at < KIN {
            let (workspace, region) = (common::pool("sabah").workspace, common::region("sabah"));
            let req = Request::ReserveShift { workspace, region };
            self.send(at, number, to, Tag::Shift(now), req, 200);
            let link = LinkId { from: common::region("sabah"), to: common::region("sarawak") };
            let class = if no.is_multiple_of(2) { Class::Archive } else { Class::Interactive };
            let bytes = self.rng.random_range(1..LINK_BYTES);
            let req = Request::ReserveLink { link, class, bytes, patience: Millis(500) };
            self.send(at, number, to, Tag::None, req, 200);
        }
    }

    fn target(&mut self, at: usize) -> usize {
        let process = self.hosts[at].process.as_ref();
        let owner = process.and_then(|process| process.holder.owner(&shard()));
        let known = owner.and_then(|owner| self.hosts.iter().position(|host| host.id == owner));
        known.unwrap_or_else(|| self.rng.random_range(0..KIN))
    }

    /// Sends the answers that owners on this host have given.
    fn answer(&mut self, at: usize) {
        let Some(process) = &mut self.hosts[at].process else { return };
        let mut answers = Vec::new();
        process.serving.retain_mut(|(rx, to, no, ask)| match rx.try_recv() {
            Ok(reply) => {
                answers.push((*to, *no, *ask, reply));
                false
            }
            Err(oneshot::error::TryRecvError::Empty) => true,
            Err(oneshot::error::TryRecvError::Closed) => false,
        });
        for (to, no, ask, reply) in answers {
            self.reply(at, to, no, Tag::Ask(ask), reply);
        }
    }

    fn asked(&mut self, at: usize, ask: u64, reply: Option<Reply>) {
        let now = self.hosts[at].clock.now();
        let Some(process) = &mut self.hosts[at].process else { return };
        let Some(asked) = process.asks.remove(&ask) else { return };
        let no = process.no;
        match reply {
            Some(Reply::Granted(grant)) => {
                let ticket = Ticket::new(&common::pool("sabah"), grant, asked);
                if now < ticket.expires && process.holder.accept(&shard(), &ticket, None) {
                    self.granted += 1;
                    self.usable.push(Usable { host: at, process: no, ticket: ticket.clone() });
                    self.check_slots();
                    let longest = if self.rng.random_bool(0.1) { 12_000 } else { 300 };
                    let delay = self.rng.random_range(10..longest);
                    self.push(delay, at, What::Finish { process: no, ticket });
                }
            }
            Some(Reply::NotOwner { owner }) => process.holder.learn(&shard(), owner),
            Some(_) => {}
            None => {
                process.holder.learn(&shard(), None);
                let id = AskId { host: self.hosts[at].id.clone(), no: ask };
                self.tell(at, Note::Withdraw { pool: common::pool("sabah"), ask: id });
            }
        }
    }

    fn finish(&mut self, at: usize, ticket: Ticket) {
        let Some(process) = &mut self.hosts[at].process else { return };
        process.holder.remove(&shard(), &ticket);
        self.usable.retain(|usable| usable.host != at || usable.ticket != ticket);
        let seen =
            Seen { verdict: Verdict::Answered, took: Millis(50), answer_bytes: 1, load: None };
        let Ticket { pool, epoch, serial, .. } = ticket;
        self.tell(at, Note::Release { pool, epoch, serial, seen });
    }

    fn tell(&mut self, at: usize, note: Note) {
        let to = self.target(at);
        let Some(process) = &self.hosts[at].process else { return };
        let (no, fence) = (process.no, process.holder.epoch(&shard()));
        let req = Request::Notes { shard: shard(), fence, notes: vec![note] };
        self.send(at, no, to, Tag::None, req, 200);
    }

    fn follow_list(&mut self) {
        let due: Vec<_> = self.changes.extract_if(.., |(at, _, _)| *at <= self.now).collect();
        for (_, at, _) in &due {
            self.listed[*at] = self.hosts[*at].process.is_some();
        }
        if !due.is_empty() {
            let list = self.list();
            let processes = self.hosts.iter_mut().filter_map(|host| host.process.as_mut());
            processes.for_each(|process| process.station.set_hosts(&list, &[]));
        }
    }

    fn list(&self) -> Vec<HostEntry> {
        let listed = (0..HOSTS).filter(|at| self.listed[*at]);
        listed.map(|at| self.entry(at)).collect()
    }

    fn entry(&self, at: usize) -> HostEntry {
        let leaving = self.hosts[at].process.as_ref().is_some_and(|process| process.leaving);
        let state = if leaving { HostState::Leaving } else { HostState::Live };
        HostEntry { state, ..common::entry(&self.hosts[at].id, region_of(at)) }
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        let cut = self.side[from] != self.side[to];
        let lost = self.lossy && self.rng.random_bool(0.1);
        !(cut || lost)
    }

    fn delay(&mut self) -> u64 {
        let late = if self.lossy && self.rng.random_bool(0.1) { 2_000 } else { 30 };
        self.rng.random_range(0..late)
    }

    fn push(&mut self, delay: u64, host: usize, what: What) {
        self.events.push(Event { at: self.now + delay, host, what });
    }

    fn check_slots(&mut self) {
        let mut used: HashMap<&UpstreamId, usize> = HashMap::new();
        for usable in &self.usable {
            if self.hosts[usable.host].clock.now() < usable.ticket.expires {
                *used.entry(&usable.ticket.upstream).or_default() += 1;
            }
        }
        let total: usize = used.values().sum();
        self.peak = self.peak.max(total);
        for (upstream, used) in used {
            assert!(used <= common::SLOTS as usize, "{used} usable tickets of {upstream}");
        }
    }

    fn check_shift(&mut self) {
        self.shifted.retain(|at| at + 1_000 > self.now);
        let (used, cap) = (self.shifted.len(), common::SHIFT_PER_S as usize);
        assert!(used <= cap, "{used} requests shifted within a second, {cap} allowed");
    }

    /// Bytes that start within any second from now on.
    fn check_link(&mut self) {
        let capacity = u64::from(common::LINK_MBIT) * 125_000;
        self.linked.retain(|(at, _)| at + 3_000 > self.now);
        for (from, _) in &self.linked {
            let window = *from..*from + 1_000;
            let within = self.linked.iter().filter(|(at, _)| window.contains(at));
            let bytes: u64 = within.map(|(_, bytes)| bytes).sum();
            assert!(bytes <= capacity, "{bytes} bytes start within a second, {capacity} allowed");
        }
    }
}

pub(crate) fn shard() -> ShardId {
    ShardId { region: common::region("sabah"), index: 0 }
}

fn region_of(at: usize) -> &'static str {
    if at < KIN { "sabah" } else { "sarawak" }
}
