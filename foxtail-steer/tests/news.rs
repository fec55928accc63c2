//! Strikes spread over the hosts of a region in virtual time, while links lose messages and hundreds of
//! connections break each second.

use std::collections::VecDeque;

use foxtail_steer::NewsPacer;
use foxtail_steer::fleet::DIGEST_INTERVAL;
use foxtail_steer::news::NEWS_TARGETS;
use foxtail_steer::suspects::{Fingerprint, Fingerprints, MAX_STRIKES, Suspects};
use foxtail_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The hosts of a region of the sites with 18, 142 and 195 hosts, and of the target.
const REGION_SIZES: [usize; 4] = [6, 47, 65, 285];
const STEP: Millis = Millis(50);
const LOSS: f64 = 0.02;
/// How long after a connection broke the next attempt of its request is answered.
const ANSWERED_AFTER: Millis = Millis(500);
/// By when all hosts of a region have to refuse a request that crashes upstreams.
const BARRED_WITHIN: Millis = Millis(4_000);
/// The messages a second that a host may send, whatever breaks: periodic digests and news.
const MAX_MESSAGES_PER_S: f64 = 13.0;

struct Region {
    hosts: Vec<Suspects>,
    pacers: Vec<NewsPacer>,
    sent: Vec<u32>,
    rng: SmallRng,
    broken: u64,
    /// When a later attempt of a request is answered at a host, the earliest first.
    answers: VecDeque<(Millis, usize, Fingerprint)>,
}

impl Region {
    fn new(hosts: usize, seed: u64) -> Self {
        Self {
            hosts: (0..hosts).map(|_| Suspects::default()).collect(),
            pacers: (0..hosts).map(|_| NewsPacer::default()).collect(),
            sent: vec![0; hosts],
            rng: SmallRng::seed_from_u64(seed),
            broken: 0,
            answers: VecDeque::new(),
        }
    }

    fn strike(&mut self, host: usize, request: Fingerprint, upstream: u64, now: Millis) {
        let upstream: UpstreamId = format!("u-{upstream}").parse().unwrap();
        let strikes = self.hosts[host].record_strike(request, &upstream, None, now);
        if strikes >= Some(MAX_STRIKES - 1) {
            self.pacers[host].add();
        }
    }

    /// Breaks connections under `count` requests at random hosts, one in ten of which loses two. A later
    /// attempt of each is answered.
    fn break_connections(&mut self, count: usize, now: Millis) {
        for _ in 0..count {
            self.broken += 1;
            let host = self.rng.random_range(0..self.hosts.len());
            let request = fingerprint(&format!("/healthy/{}", self.broken));
            self.strike(host, request, self.broken % 155, now);
            if self.broken.is_multiple_of(10) {
                self.strike(host, request, (self.broken + 1) % 155, now);
            }
            self.answers.push_back((now + ANSWERED_AFTER, host, request));
        }
        while let Some((at, host, request)) = self.answers.front().copied()
            && at <= now
        {
            self.answers.pop_front();
            self.hosts[host].clear(request, now);
        }
    }

    fn exchange(&mut self, now: Millis) {
        for from in 0..self.hosts.len() {
            if self.pacers[from].take(now) {
                (0..NEWS_TARGETS).for_each(|_| self.send(from, now));
            }
            // Hosts send their digests at different times.
            if (now.0 + STEP.0 * from as u64).is_multiple_of(DIGEST_INTERVAL.0) {
                self.send(from, now);
            }
        }
    }

    fn send(&mut self, from: usize, now: Millis) {
        self.sent[from] += 1;
        let to = self.rng.random_range(0..self.hosts.len());
        if to == from || self.rng.random_bool(LOSS) {
            return;
        }
        for answer in self.hosts[from].answers_to_share(now) {
            self.hosts[to].add_shared_answer(&answer, now);
        }
        for strike in self.hosts[from].strikes_to_share(now) {
            if self.hosts[to].add_shared_strike(&strike, now) >= Some(MAX_STRIKES - 1) {
                self.pacers[to].add();
            }
        }
    }
}

fn fingerprint(path: &str) -> Fingerprint {
    Fingerprints::new("127.0.0.1", "GET", "svc.example", path, []).of_any_caller
}

/// Plays a request that crashes three upstreams at 2 s, while `breaks_per_step` other requests lose
/// connections, and checks when all hosts bar it and how many messages they send.
fn play(size: usize, breaks_per_step: usize, seed: u64) {
    let mut region = Region::new(size, seed);
    let faulty = fingerprint("/faulty");
    let crashed_at = Millis::secs(2);
    let end = Millis::secs(8);
    let mut barred_at = None;
    let mut now = Millis::ZERO;
    while now < end {
        region.break_connections(breaks_per_step, now);
        // The upstreams crash one after the other, at different hosts.
        for n in 0..MAX_STRIKES {
            if now == crashed_at + Millis(200 * n as u64) {
                region.strike(n % size, faulty, 1_000 + n as u64, now);
            }
        }
        region.exchange(now);
        let is_barred = |host: &Suspects| host.barred_for_any_caller(faulty, now).is_some();
        if barred_at.is_none() && region.hosts.iter().all(is_barred) {
            barred_at = Some(now);
        }
        now = now + STEP;
    }
    let barred_at = barred_at.unwrap_or(end);
    let took = barred_at.since(crashed_at + Millis(400));
    assert!(took <= BARRED_WITHIN, "{size} hosts, seed {seed}: barred by all after {took}");
    let most = region.sent.iter().max().copied().unwrap_or_default();
    let per_s = f64::from(most) / end.as_secs_f64();
    assert!(per_s <= MAX_MESSAGES_PER_S, "{size} hosts, seed {seed}: {per_s:.1} messages a second");
}

#[test]
fn a_request_that_crashes_upstreams_is_soon_barred_by_all_hosts_of_a_region() {
    for size in REGION_SIZES {
        (0..5).for_each(|seed| play(size, 0, seed));
    }
}

#[test]
fn hosts_send_a_bounded_number_of_messages_while_thousands_of_connections_break() {
    for size in &REGION_SIZES[..3] {
        // 2,000 requests a second lose connections.
        (0..2).for_each(|seed| play(*size, 100, seed));
    }
}

#[test]
fn a_region_of_the_target_size_bars_a_request_while_thousands_of_connections_break() {
    (0..2).for_each(|seed| play(REGION_SIZES[3], 100, seed));
}
