//! A change spreads over the hosts of a region that pull it from each other, in virtual time. Each
//! host sends over its own thin link; two of them read the change from the store.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use foxtail_steer::fleet::DIGEST_INTERVAL;
use foxtail_steer::pull_queue::{PullOutcome, SOURCE_NOTICE_HOSTS, Step};
use foxtail_steer::{PullQueue, TransferLimit, rendezvous};
use foxtail_types::prelude::*;

/// The bytes that a link of 10 Mbit/s carries in a millisecond.
const LINK_BYTES_PER_MS: u64 = 1_250;
const BYTES_PER_ROW: u64 = 62;
const ROUND_TRIP: Millis = Millis(3);
const READERS: usize = 2;
/// The time for which bytes may wait at a host's link before the host counts as choked.
const CHOKED_AFTER: Millis = Millis(500);
const VERSION: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Announced { to: usize, from: usize },
    Asked { source: usize, by: usize },
    Refused { host: usize },
    Arrived { host: usize, source: usize },
    Resumed { host: usize },
    Tick { host: usize },
}

struct Host {
    known: u64,
    pulls: PullQueue,
    transfers: TransferLimit,
    link_free_at: Millis,
}

struct Region {
    hosts: Vec<Host>,
    rows: usize,
    events: BinaryHeap<Reverse<(Millis, Event)>>,
    random: u64,
    bytes_sent: u64,
    longest_wait: Millis,
}

struct Results {
    /// When the last host had the change.
    complete_at: Millis,
    bytes_sent: u64,
    longest_wait: Millis,
}

impl Region {
    fn new(count: usize, rows: usize, seed: u64) -> Self {
        let host = |n: usize| Host {
            known: 1,
            pulls: PullQueue::new(&format!("h-{n}").parse().unwrap()),
            transfers: TransferLimit::default(),
            link_free_at: Millis::ZERO,
        };
        Self {
            hosts: (0..count).map(host).collect(),
            rows,
            events: BinaryHeap::new(),
            random: seed,
            bytes_sent: 0,
            longest_wait: Millis::ZERO,
        }
    }

    /// Plays until all hosts have the change, or `limit`.
    fn play(mut self, limit: Millis) -> Results {
        for host in 0..self.hosts.len() {
            let first = self.random_below(DIGEST_INTERVAL.0 as usize) as u64;
            self.events.push(Reverse((Millis(first), Event::Tick { host })));
        }
        for reader in 0..READERS {
            self.hosts[reader].known = VERSION;
            for to in 0..self.hosts.len() {
                self.announce(Millis::ZERO, reader, to);
            }
        }
        let mut now = Millis::ZERO;
        while self.hosts.iter().any(|host| host.known < VERSION) && now < limit {
            let Reverse((at, event)) = self.events.pop().expect("hosts tick for ever");
            now = at;
            self.handle(event, now);
        }
        let Self { bytes_sent, longest_wait, .. } = self;
        Results { complete_at: now, bytes_sent, longest_wait }
    }

    fn handle(&mut self, event: Event, now: Millis) {
        match event {
            Event::Announced { to, from } => {
                let host = &mut self.hosts[to];
                let step = host.pulls.record_announcement(address(from), VERSION, host.known, now);
                self.follow(to, step, now);
            }
            Event::Asked { source, by } => self.serve(source, by, now),
            Event::Refused { host } => self.finish(host, PullOutcome::Busy, now),
            Event::Arrived { host, source } => {
                self.hosts[source].transfers.finish(self.rows);
                self.hosts[host].known = VERSION;
                self.finish(host, PullOutcome::Ended, now);
                for _ in 0..SOURCE_NOTICE_HOSTS {
                    let to = self.random_below(self.hosts.len());
                    self.announce(now, host, to);
                }
            }
            Event::Resumed { host } => {
                let Host { pulls, known, .. } = &mut self.hosts[host];
                let step = pulls.resume(*known, now);
                self.follow(host, step, now);
            }
            Event::Tick { host } => {
                if self.hosts[host].known == VERSION {
                    let to = self.random_below(self.hosts.len());
                    self.announce(now, host, to);
                }
                self.events.push(Reverse((now + DIGEST_INTERVAL, Event::Tick { host })));
            }
        }
    }

    fn serve(&mut self, source: usize, by: usize, now: Millis) {
        let bytes = self.rows as u64 * BYTES_PER_ROW;
        let host = &mut self.hosts[source];
        if !host.transfers.start(self.rows) {
            self.events.push(Reverse((now + ROUND_TRIP, Event::Refused { host: by })));
            return;
        }
        let starts_at = host.link_free_at.max(now);
        host.link_free_at = starts_at + Millis(bytes.div_ceil(LINK_BYTES_PER_MS));
        let arrives_at = host.link_free_at + ROUND_TRIP;
        self.longest_wait = self.longest_wait.max(starts_at.since(now));
        self.bytes_sent += bytes;
        self.events.push(Reverse((arrives_at, Event::Arrived { host: by, source })));
    }

    fn finish(&mut self, host: usize, outcome: PullOutcome, now: Millis) {
        let Host { pulls, known, .. } = &mut self.hosts[host];
        let step = pulls.finish_pull(outcome, *known, now);
        self.follow(host, step, now);
    }

    fn follow(&mut self, host: usize, step: Step, now: Millis) {
        let next = match step {
            Step::Ask(source) => {
                let source = usize::from(source.port());
                (now + ROUND_TRIP, Event::Asked { source, by: host })
            }
            Step::Wait(pause) => (now + pause, Event::Resumed { host }),
            Step::Idle => return,
        };
        self.events.push(Reverse(next));
    }

    fn announce(&mut self, now: Millis, from: usize, to: usize) {
        if from != to {
            self.events.push(Reverse((now + ROUND_TRIP, Event::Announced { to, from })));
        }
    }

    fn random_below(&mut self, bound: usize) -> usize {
        self.random = rendezvous::hash_bytes(&self.random.to_le_bytes());
        self.random as usize % bound
    }
}

/// Returns the address of a host, whose port is the host's number.
fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], host as u16))
}

fn play_seeds(hosts: usize, rows: usize, bound: Millis) {
    for seed in 0..20 {
        let results = Region::new(hosts, rows, seed).play(Millis::secs(60));
        let Results { complete_at, bytes_sent, longest_wait } = results;
        assert!(complete_at <= bound, "seed {seed}: {complete_at}");
        assert!(longest_wait <= CHOKED_AFTER, "seed {seed}: {longest_wait}");
        let copies = bytes_sent / (rows as u64 * BYTES_PER_ROW);
        assert_eq!(copies, (hosts - READERS) as u64, "seed {seed}: each host pulls one copy");
    }
}

#[test]
fn large_change_reaches_a_region_of_the_grown_sites_in_time() {
    play_seeds(47, 1_450, Millis::secs(3));
}

#[test]
fn small_change_reaches_a_region_of_the_grown_sites_in_time() {
    play_seeds(47, 12, Millis::secs(3));
}

#[test]
fn large_change_reaches_a_region_of_the_target_size_in_time() {
    play_seeds(285, 1_450, Millis::secs(7));
}

#[test]
fn change_of_all_routes_reaches_a_region_of_the_target_size_in_time() {
    play_seeds(285, 7_400, Millis::secs(7));
}
