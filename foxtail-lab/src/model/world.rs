//! Callers, hosts, upstreams and the ways between them, driven by one queue of events.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use foxtail_types::prelude::*;

use super::figures::Tally;
use super::{Arrival, Figures, Micros, Workload};
use crate::shape::{
    REGIONS, SLOTS_PER_UPSTREAM, Shape, UPSTREAMS_PER_SERVICE, UPSTREAMS_PER_ZONE, ZONE_ROUND_TRIP,
    ZONES_PER_REGION,
};

/// One way between two processes in the same zone.
const IN_ZONE: Micros = Micros(100);
const REQUEST_BYTES: u64 = 600;
/// Requests that wait inside an upstream; any more are shed.
const UPSTREAM_QUEUE_MAX: usize = 6;

/// How requests are brought to upstreams.
pub trait Policy {
    /// What the policy's parts send each other.
    type Message;

    /// The request `req` has come to its entry host.
    fn entered(&mut self, world: &mut World<'_, Self::Message>, req: usize);

    /// The attempt has ended, as its entry host sees it.
    fn ended(&mut self, world: &mut World<'_, Self::Message>, req: usize, attempt: Attempt);

    /// Whether ways inside the system take no time: for bounds, not for real policies.
    fn ways_are_free(&self) -> bool {
        false
    }

    /// A message that was sent with [`World::send`] has arrived.
    fn received(&mut self, world: &mut World<'_, Self::Message>, message: Self::Message);
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// With the whole answer of this upstream.
    Answered(usize),
    /// This upstream shed it.
    Shed(usize),
    /// Its deadline passed at this upstream.
    TimedOut(usize),
}

/// A process of the system.
#[derive(Clone, Copy, Debug)]
pub struct Node {
    /// The number of its region.
    pub region: usize,
    /// The number of its zone within the region.
    pub zone: usize,
    /// Whether it is there at all.
    pub alive: bool,
}

/// A request on its way.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// As its caller sent it.
    pub arrival: Arrival,
    /// Its class.
    pub class: Class,
    /// Its entry host.
    pub host: usize,
    /// When its caller stops waiting, as the entry host reckons.
    pub deadline: Micros,
    /// The host that sent its last attempt.
    pub sender: usize,
    /// Attempts so far.
    pub attempts: u32,
    /// When its last run began.
    pub started: Micros,
}

/// One server of a service.
#[derive(Clone, Debug)]
pub struct Server {
    /// Where it runs.
    pub node: Node,
    /// The number of its service.
    pub service: usize,
    /// Slots in use.
    pub busy: u32,
    waiting: VecDeque<usize>,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    free_at: Micros,
}

enum Event<M> {
    Arrives,
    Entered(usize),
    AtServer(usize, usize),
    Finished(usize, usize),
    Ended(usize, Attempt),
    Message(M),
}

struct Entry<M> {
    at: Micros,
    seq: u64,
    event: Event<M>,
}

/// Everything but the policy.
pub struct World<'a, M> {
    /// The present time.
    pub now: Micros,
    /// The shape.
    pub shape: &'a Shape,
    /// The hosts, zone by zone.
    pub hosts: Vec<Node>,
    /// The upstreams, service by service.
    pub servers: Vec<Server>,
    /// The requests so far.
    pub requests: Vec<Request>,
    ways_are_free: bool,
    tally: Tally,
    workload: &'a Workload,
    links: Vec<Link>,
    events: BinaryHeap<Reverse<Entry<M>>>,
    seq: u64,
}

/// Runs the policy that `policy` makes under `workload`.
pub fn run<P: Policy>(
    shape: &Shape,
    workload: &Workload,
    policy: impl FnOnce(&World<'_, P::Message>) -> P,
) -> Figures {
    let mut world = World::new(shape, workload);
    let mut policy = policy(&world);
    world.ways_are_free = policy.ways_are_free();
    world.next_arrival();
    while let Some(Reverse(entry)) = world.events.pop() {
        world.now = entry.at;
        match entry.event {
            Event::Arrives => world.arrive(),
            Event::Entered(req) => policy.entered(&mut world, req),
            Event::AtServer(req, server) => world.at_server(req, server),
            Event::Finished(req, server) => world.finished(req, server),
            Event::Ended(req, attempt) => policy.ended(&mut world, req, attempt),
            Event::Message(message) => policy.received(&mut world, message),
        }
    }
    world.tally.figures(shape, workload)
}

impl<'a, M> World<'a, M> {
    fn new(shape: &'a Shape, workload: &'a Workload) -> Self {
        let regions = REGIONS;
        let nodes = |per_zone: usize| {
            let health = workload.health;
            (0..regions * ZONES_PER_REGION * per_zone).map(move |n| {
                let zone = n / per_zone % ZONES_PER_REGION;
                let region = n / per_zone / ZONES_PER_REGION;
                Node { region, zone, alive: !health.lost(region, zone) }
            })
        };
        let server = |node, service| Server { node, service, busy: 0, waiting: VecDeque::new() };
        let servers = (0..shape.services.len())
            .flat_map(|service| nodes(UPSTREAMS_PER_ZONE).map(move |node| server(node, service)))
            .collect();
        Self {
            now: Micros(0),
            shape,
            hosts: nodes(shape.hosts_per_zone).collect(),
            servers,
            requests: Vec::with_capacity(workload.arrivals.len()),
            ways_are_free: false,
            tally: Tally::new(shape, workload),
            workload,
            links: vec![Link { free_at: Micros(0) }; regions * regions],
            events: BinaryHeap::new(),
            seq: 0,
        }
    }

    /// The delay of one way between two processes.
    pub fn delay(&self, a: Node, b: Node) -> Micros {
        if self.ways_are_free {
            return Micros(0);
        }
        if a.region != b.region {
            return self.region_delay();
        }
        if a.zone != b.zone {
            return Micros(ZONE_ROUND_TRIP.0 * 500);
        }
        IN_ZONE
    }

    /// The servers of a service that are there, in one region.
    pub fn servers_in(&self, service: usize, region: usize) -> impl Iterator<Item = usize> + '_ {
        let first = service * UPSTREAMS_PER_SERVICE;
        (first..first + UPSTREAMS_PER_SERVICE).filter(move |server| {
            let node = self.servers[*server].node;
            node.alive && node.region == region
        })
    }

    /// Sends a message that arrives after `delay`.
    pub fn send(&mut self, delay: Micros, message: M) {
        self.push(self.now + delay, Event::Message(message));
    }

    /// Sends the request from its entry host to a server.
    pub fn dispatch(&mut self, req: usize, server: usize) {
        self.dispatch_from(req, self.requests[req].host, server);
    }

    /// Sends the request from the host `sender` to a server.
    pub fn dispatch_from(&mut self, req: usize, sender: usize, server: usize) {
        self.requests[req].attempts += 1;
        self.requests[req].sender = sender;
        let host = self.hosts[sender];
        let node = self.servers[server].node;
        let at = self.crossed(host, node, REQUEST_BYTES);
        if host.region != node.region && !self.ways_are_free {
            self.tally.shifted(host.region, self.now);
        }
        self.push(at, Event::AtServer(req, server));
    }

    /// Sends bytes from one host to another; returns when the last has come, from now.
    pub fn cross(&mut self, from: usize, to: usize, bytes: u64) -> Micros {
        self.crossed(self.hosts[from], self.hosts[to], bytes).since(self.now)
    }

    /// Counts a request that leaves the region of its entry host.
    pub fn count_shift(&mut self, entry: usize) {
        self.tally.shifted(self.hosts[entry].region, self.now);
    }

    /// The delay of a message between two hosts; none if they are the same.
    pub fn host_delay(&self, a: usize, b: usize) -> Micros {
        if a == b { Micros(0) } else { self.delay(self.hosts[a], self.hosts[b]) }
    }

    /// One way between two regions.
    pub fn region_delay(&self) -> Micros {
        self.shape.network.links[0].delay.into()
    }

    /// There and back between two zones of a region.
    pub fn zone_round_trip(&self) -> Micros {
        ZONE_ROUND_TRIP.into()
    }

    /// When the arrivals end.
    pub fn until(&self) -> Micros {
        self.workload.until
    }

    /// Passes the answer on to the caller.
    pub fn answer(&mut self, req: usize) {
        let request = self.requests[req];
        let at = self.now + self.client_delay();
        self.tally.answered(&request, at);
    }

    /// Tells the caller that its request did not run.
    pub fn not_run(&mut self, req: usize) {
        self.tally.not_run(&self.requests[req]);
    }

    /// One way between a client and its region.
    pub fn client_delay(&self) -> Micros {
        Micros(self.shape.client_round_trip.0 * 500)
    }

    fn push(&mut self, at: Micros, event: Event<M>) {
        self.seq += 1;
        self.events.push(Reverse(Entry { at, seq: self.seq, event }));
    }

    fn next_arrival(&mut self) {
        if let Some(arrival) = self.workload.arrivals.get(self.requests.len()) {
            self.push(arrival.at, Event::Arrives);
        }
    }

    fn arrive(&mut self) {
        let req = self.requests.len();
        let arrival = self.workload.arrivals[req];
        let spec = &self.shape.services[arrival.service];
        let deadline = arrival.at + spec.deadline.into();
        let host = self.entry_host(&arrival);
        self.requests.push(Request {
            arrival,
            class: spec.class,
            host,
            deadline,
            sender: host,
            attempts: 0,
            started: Micros(0),
        });
        self.push(self.now + self.client_delay(), Event::Entered(req));
        self.next_arrival();
    }

    fn entry_host(&self, arrival: &Arrival) -> usize {
        let near = |host: &usize| {
            let node = self.hosts[*host];
            node.alive && node.region == arrival.region
        };
        let hosts: Vec<usize> = (0..self.hosts.len()).filter(near).collect();
        hosts[(arrival.pick * hosts.len() as f64) as usize]
    }

    fn at_server(&mut self, req: usize, server: usize) {
        let full = self.servers[server].busy >= SLOTS_PER_UPSTREAM;
        if !full {
            return self.start(req, server);
        }
        self.tally.breach();
        if self.servers[server].waiting.len() < UPSTREAM_QUEUE_MAX {
            self.servers[server].waiting.push_back(req);
        } else {
            self.back(req, server, Attempt::Shed(server), 0);
        }
    }

    fn start(&mut self, req: usize, server: usize) {
        self.servers[server].busy += 1;
        self.requests[req].started = self.now;
        let request = self.requests[req];
        let ends = (self.now + request.arrival.took).min(request.deadline).max(self.now);
        self.push(ends, Event::Finished(req, server));
    }

    fn finished(&mut self, req: usize, server: usize) {
        let request = self.requests[req];
        let whole = self.now < request.deadline;
        self.tally.ran(&request, self.now);
        self.servers[server].busy -= 1;
        if let Some(next) = self.servers[server].waiting.pop_front() {
            self.start(next, server);
        }
        let bytes = self.shape.services[request.arrival.service].answer_bytes;
        if whole {
            self.back(req, server, Attempt::Answered(server), bytes);
        } else {
            self.back(req, server, Attempt::TimedOut(server), 0);
        }
    }

    /// Sends `bytes` and the end of the attempt from the server to the entry host.
    fn back(&mut self, req: usize, server: usize, attempt: Attempt, bytes: u64) {
        let host = self.hosts[self.requests[req].sender];
        let at = self.crossed(self.servers[server].node, host, bytes);
        self.push(at, Event::Ended(req, attempt));
    }

    /// When the last of `bytes` has come from `a` to `b`.
    fn crossed(&mut self, a: Node, b: Node, bytes: u64) -> Micros {
        let delay = self.delay(a, b);
        if a.region == b.region || self.ways_are_free {
            return self.now + delay;
        }
        let link = &mut self.links[a.region * REGIONS + b.region];
        let micros = bytes as f64 * 8.0 / f64::from(self.shape.network.links[0].mbit_per_s);
        link.free_at = link.free_at.max(self.now) + Micros(micros.ceil() as u64);
        self.tally.crossed(a.region, b.region, bytes, self.now);
        link.free_at + delay
    }
}

impl Attempt {
    /// The upstream of the attempt.
    pub fn server(self) -> usize {
        match self {
            Attempt::Answered(server) | Attempt::Shed(server) | Attempt::TimedOut(server) => server,
        }
    }
}

impl Server {
    /// Requests inside, running or waiting.
    pub fn load(&self) -> u32 {
        self.busy + self.waiting.len() as u32
    }
}

impl<M> PartialEq for Entry<M> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl<M> Eq for Entry<M> {}

impl<M> PartialOrd for Entry<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Entry<M> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}
