//! All hosts of a fleet start at once, in virtual time. Links lose no messages.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use foxtail_entry::message::Message;
use foxtail_steer::Fleet;
use foxtail_steer::fleet::{DIGEST_INTERVAL, Digest, HostRecord};
use foxtail_types::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const REGIONS: usize = 3;
const ZONES_PER_REGION: usize = 3;
/// All hosts start within this time.
const START_SPAN: Millis = Millis(300);
/// By when after the last start the hosts know each other.
const KNOWN_WITHIN: Millis = Millis(2_000);
const READERS_PER_REGION: usize = 2;
/// The bytes that a starting host may receive from other regions, for each host of the fleet.
const MAX_REMOTE_BYTES_PER_HOST: usize = 450;

enum Event {
    Start(usize),
    Digest(usize, Box<Digest>),
    Tick(usize),
}

struct Site {
    fleets: Vec<Fleet>,
    started: Vec<bool>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    kept: Vec<Option<Event>>,
    rng: SmallRng,
    /// Bytes of requests and answers of starting hosts between regions.
    remote_bytes: usize,
}

fn record(n: usize) -> HostRecord {
    let region = n % REGIONS;
    let addr = SocketAddr::from(([10, region as u8, (n / 250) as u8, (n % 250) as u8], 7_620));
    HostRecord {
        id: format!("h-{n}").parse().unwrap(),
        region: format!("r{region}").parse().unwrap(),
        zone: format!("r{region}-{}", n / REGIONS % ZONES_PER_REGION).parse().unwrap(),
        caller: addr,
        peer: addr,
        operator: None,
    }
}

fn index(id: &HostId) -> usize {
    id.as_str()[2..].parse().unwrap()
}

impl Site {
    fn new(hosts: usize, seed: u64) -> Self {
        let mut site = Self {
            fleets: (0..hosts)
                .map(|n| Fleet::new(record(n), Millis::ZERO, Millis::secs(1_000)))
                .collect(),
            started: vec![false; hosts],
            events: BinaryHeap::new(),
            kept: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            remote_bytes: 0,
        };
        for n in 0..hosts {
            let at = site.rng.random_range(0..START_SPAN.0);
            site.schedule(Millis(at), Event::Start(n));
        }
        site
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.events.push(Reverse((at.0, self.kept.len() as u64)));
        self.kept.push(Some(event));
    }

    fn post(&mut self, from: usize, to: usize, digest: Digest, joins: bool, now: Millis) {
        let remote = from % REGIONS != to % REGIONS;
        if remote && joins {
            let message =
                Message { digest: digest.clone(), limits: Vec::new(), leaving: Some(Vec::new()) };
            self.remote_bytes += message.encode().unwrap().len();
        }
        let delay = Millis(if remote { 35 } else { 2 });
        self.schedule(now + delay, Event::Digest(to, Box::new(digest)));
    }

    fn play(&mut self, until: Millis) {
        while let Some(Reverse((at, key))) = self.events.pop() {
            let now = Millis(at);
            if now > until {
                return;
            }
            match self.kept[key as usize].take().expect("each event occurs once") {
                Event::Start(n) => self.start(n, now),
                Event::Digest(n, digest) if self.started[n] => {
                    self.fleets[n].receive(&digest, now);
                    if digest.reply {
                        let reply = self.fleets[n].reply(now);
                        self.post(n, index(&digest.from.id), reply, true, now);
                    }
                }
                Event::Digest(..) => {}
                Event::Tick(n) => self.tick(n, now),
            }
        }
    }

    fn start(&mut self, n: usize, now: Millis) {
        self.started[n] = true;
        let registered: Vec<usize> = (0..self.started.len()).filter(|n| self.started[*n]).collect();
        for other in registered {
            self.fleets[n].add_host(record(other), now);
        }
        self.fleets[n].mark_registrations_read();
        let fleet = &mut self.fleets[n];
        let (asked, told) = fleet.join_targets();
        let indices = |records: Vec<&HostRecord>| -> Vec<usize> {
            records.into_iter().map(|record| index(&record.id)).collect()
        };
        let (asked, told) = (indices(asked), indices(told));
        let (request, own) = (fleet.join_request(now), fleet.own_digest(now));
        for to in asked {
            self.post(n, to, request.clone(), true, now);
        }
        for to in told {
            self.post(n, to, own.clone(), true, now);
        }
        let first = self.rng.random_range(0..DIGEST_INTERVAL.0);
        self.schedule(now + Millis(first), Event::Tick(n));
    }

    fn tick(&mut self, n: usize, now: Millis) {
        let digest = self.fleets[n].digest(now);
        let (local, remote): (Vec<usize>, Vec<usize>) = (0..self.fleets.len())
            .filter(|to| *to != n)
            .partition(|to| to % REGIONS == n % REGIONS);
        let to = *local.choose(&mut self.rng).unwrap();
        self.post(n, to, digest, false, now);
        if n / REGIONS < READERS_PER_REGION {
            let digest = self.fleets[n].regional_digest(now);
            let to = *remote.choose(&mut self.rng).unwrap();
            self.post(n, to, digest, false, now);
        }
        self.schedule(now + DIGEST_INTERVAL, Event::Tick(n));
    }
}

#[test]
fn hosts_that_start_at_once_find_each_other_without_a_digest_from_each_to_each() {
    for hosts in [18, 142, 195, 300] {
        for seed in 0..3 {
            let mut site = Site::new(hosts, seed);
            let end = START_SPAN + KNOWN_WITHIN;
            site.play(end);
            for (n, fleet) in site.fleets.iter().enumerate() {
                let alive = fleet.alive_targets(end).len() + 1;
                let region = (0..hosts).filter(|other| other % REGIONS == n % REGIONS).count();
                assert_eq!(alive, region, "{hosts} hosts, seed {seed}: alive for h-{n}");
                assert!(fleet.has_joined(end), "{hosts} hosts, seed {seed}: h-{n} has joined");
            }
            let bound = hosts * hosts * MAX_REMOTE_BYTES_PER_HOST;
            assert!(site.remote_bytes <= bound, "{hosts} hosts: {} bytes", site.remote_bytes);
        }
    }
}
