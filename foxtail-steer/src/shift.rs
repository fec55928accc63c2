//! The cap on how fast a region's requests move to other regions.
//!
//! The load it answers: a wave of requests, or work that got slower, makes other regions look better
//! from one moment to the next, on all hosts at once. Without a cap half of a region's requests
//! change their region within a second, onto upstreams that have none of their objects cached.
//!
//! Each host keeps the shares of regions among its own requests from moving faster than the cap, so
//! that the region's shares, their weighted mean, do not either. Requests whose region lost its
//! upstreams are free to move: that is failover, not balancing.

use std::collections::{BTreeMap, VecDeque};

use foxtail_types::prelude::*;

/// Requests are counted over windows of this length, and one window is compared with the one before.
const WINDOW: Millis = Millis(2_000);

/// The part of the cap that is used: counts of one host scatter around the shares of its region.
const USED_SHARE: f64 = 0.65;

/// Requests by which the share before counts beside those of a window, so that the first few
/// requests of a window do not look like a shift.
const PRIOR: f64 = 10.0;

/// A change of a region's upstreams by more than this share is failover.
const FAILOVER_SHARE: f64 = 0.15;

/// How long after such a change the cap does not bind.
const FAILOVER: Millis = Millis(4_000);

/// The shares of regions among a host's requests, and how far they may move.
#[derive(Debug)]
pub(crate) struct Shift {
    cap: f64,
    /// Placements of the last two windows, the oldest first.
    placed: VecDeque<(Millis, RegionId)>,
    recent: BTreeMap<RegionId, f64>,
    before: BTreeMap<RegionId, f64>,
    /// How many of `placed` stand in the window before.
    older: usize,
    /// The shares that count where nothing was placed.
    expected: BTreeMap<RegionId, f64>,
    /// The slots of each region, at the last looks.
    slots: VecDeque<(Millis, BTreeMap<RegionId, f64>)>,
    free_until: Millis,
}

impl Shift {
    /// No placements yet; of a region's requests a share of `cap` may move in one window.
    pub(crate) fn new(cap: f64) -> Self {
        Self {
            cap: cap * USED_SHARE,
            placed: VecDeque::new(),
            recent: BTreeMap::new(),
            before: BTreeMap::new(),
            older: 0,
            expected: BTreeMap::new(),
            slots: VecDeque::new(),
            free_until: Millis::ZERO,
        }
    }

    /// Sets the cap.
    pub(crate) fn set_cap(&mut self, cap: f64) {
        self.cap = cap * USED_SHARE;
    }

    /// Takes in how many slots of upstreams each region has now, as seen from `home`.
    pub(crate) fn capacity(
        &mut self,
        slots: BTreeMap<RegionId, f64>,
        home: &RegionId,
        now: Millis,
    ) {
        while self.slots.len() > 1 && now.since(self.slots[1].0) >= FAILOVER {
            self.slots.pop_front();
        }
        if let Some((_, old)) = self.slots.front() {
            let moved = |region: &RegionId, was: f64| {
                let is = slots.get(region).copied().unwrap_or(0.0);
                (is - was).abs() > was.max(is) * FAILOVER_SHARE
            };
            if old.iter().any(|(region, was)| moved(region, *was)) {
                self.free_until = now + FAILOVER;
                self.slots.clear();
            }
        }
        if self.expected.is_empty() {
            self.expected = even_load(&slots, home);
        }
        self.slots.push_back((now, slots));
    }

    /// Whether one more request may go to `region`.
    pub(crate) fn allows(&mut self, region: &RegionId, now: Millis) -> bool {
        self.advance(now);
        if now < self.free_until || self.expected.is_empty() {
            return true;
        }
        let recent_total = (self.placed.len() - self.older) as f64;
        let before_total = self.older as f64;
        let mut risen = 0.0;
        let mut own = 0.0;
        for (other, expected) in &self.expected {
            let count =
                |counts: &BTreeMap<RegionId, f64>| counts.get(other).copied().unwrap_or(0.0);
            let was = (count(&self.before) + PRIOR * expected) / (before_total + PRIOR);
            let one = if other == region { 1.0 } else { 0.0 };
            let is = (count(&self.recent) + one + PRIOR * was) / (recent_total + 1.0 + PRIOR);
            risen += (is - was).max(0.0);
            own += one * (is - was);
        }
        own <= 0.0 || risen <= self.cap
    }

    /// Notes that a request went to `region`.
    pub(crate) fn placed(&mut self, region: &RegionId, now: Millis) {
        self.advance(now);
        self.placed.push_back((now, region.clone()));
        *self.recent.entry(region.clone()).or_default() += 1.0;
    }

    fn advance(&mut self, now: Millis) {
        while let Some((at, region)) = self.placed.get(self.older)
            && now.since(*at) >= WINDOW
        {
            *self.recent.entry(region.clone()).or_default() -= 1.0;
            *self.before.entry(region.clone()).or_default() += 1.0;
            self.older += 1;
        }
        while let Some((at, _)) = self.placed.front()
            && now.since(*at) >= WINDOW * 2
        {
            let (_, region) = self.placed.pop_front().expect("looked at above");
            self.older -= 1;
            *self.before.entry(region).or_default() -= 1.0;
        }
        if self.older > 0 {
            self.learn();
        }
    }

    /// Moves the expected shares to those of the window before, for when requests become rare.
    fn learn(&mut self) {
        let total = self.older as f64;
        let weight = total / (total + PRIOR) / 100.0;
        for (region, expected) in &mut self.expected {
            let share = self.before.get(region).copied().unwrap_or(0.0) / total;
            *expected += weight * (share - *expected);
        }
    }
}

/// The shares of `home`'s requests that load all upstreams evenly, if each region has as many
/// callers as the next: what its own upstreams can't take goes where slots are left over.
fn even_load(slots: &BTreeMap<RegionId, f64>, home: &RegionId) -> BTreeMap<RegionId, f64> {
    let total: f64 = slots.values().sum();
    let fair = total / slots.len().max(1) as f64;
    if fair <= 0.0 {
        return BTreeMap::new();
    }
    let own = (slots.get(home).copied().unwrap_or(0.0) / fair).min(1.0);
    let spare = |slots: f64| (slots - fair).max(0.0);
    let spare_total: f64 = slots.values().map(|&slots| spare(slots)).sum();
    let share = |(region, &slots): (&RegionId, &f64)| {
        let away = if spare_total > 0.0 { (1.0 - own) * spare(slots) / spare_total } else { 0.0 };
        (region.clone(), if region == home { own } else { away })
    };
    slots.iter().map(share).collect()
}
