//! Limits how fast a region's requests move to other regions.
//!
//! A burst of requests, or work that became slower, can make other regions look better on all hosts
//! at the same moment. Without a limit half of a region's requests change their region within a
//! second, and reach upstreams that have none of their objects cached.
//!
//! Each host limits how fast the shares of regions among its own requests change. This also limits
//! the shares of the whole region, which are the weighted mean over its hosts. Requests of a region
//! that lost its upstreams are exempt, since that is failover rather than load balancing.

use std::collections::{BTreeMap, VecDeque};

use foxtail_types::prelude::*;

/// Length of the windows in which requests are counted. Each window is compared with the one
/// before.
const WINDOW: Millis = Millis(2_000);

/// The share of the cap that is used, since the counts of one host scatter around the shares of its
/// region.
const USED_SHARE: f64 = 0.65;

/// Weight of the previous shares in the shares of a window, as a number of requests, so that the
/// first few requests of a window do not look like a shift.
const PRIOR_REQUESTS: f64 = 10.0;

/// Share of a region's slots whose gain or loss counts as failover.
const FAILOVER_SHARE: f64 = 0.15;

/// Time after a failover during which the limit does not apply.
const FAILOVER_PERIOD: Millis = Millis(4_000);

/// The shares of regions among this host's requests, and the limit on their change.
#[derive(Debug)]
pub(crate) struct ShiftLimiter {
    /// Share of requests that may move to other regions from one window to the next: the configured
    /// cap times [`USED_SHARE`].
    cap: f64,
    /// Placements of the last two windows, the oldest first.
    placements: VecDeque<(Millis, RegionId)>,
    /// The number of placements in each region in the current window.
    recent_counts: BTreeMap<RegionId, f64>,
    /// The number of placements in each region in the window before.
    previous_counts: BTreeMap<RegionId, f64>,
    /// How many of `placements` belong to the previous window.
    previous_len: usize,
    /// The shares that are assumed in the absence of placements.
    expected_shares: BTreeMap<RegionId, f64>,
    /// The number of slots in each region at recent counts, the oldest first.
    slots: VecDeque<(Millis, BTreeMap<RegionId, f64>)>,
    /// Time until which the limit does not apply because of a failover.
    unlimited_until: Millis,
}

impl ShiftLimiter {
    /// Creates a limiter without placements. A share of `cap` of a region's requests may move to
    /// other regions within one window.
    pub(crate) fn new(cap: f64) -> Self {
        Self {
            cap: cap * USED_SHARE,
            placements: VecDeque::new(),
            recent_counts: BTreeMap::new(),
            previous_counts: BTreeMap::new(),
            previous_len: 0,
            expected_shares: BTreeMap::new(),
            slots: VecDeque::new(),
            unlimited_until: Millis::ZERO,
        }
    }

    /// Sets the cap.
    pub(crate) fn set_cap(&mut self, cap: f64) {
        self.cap = cap * USED_SHARE;
    }

    /// Records the number of slots in each region, for a host of region `own_region`.
    pub(crate) fn update_capacity(
        &mut self,
        slots: BTreeMap<RegionId, f64>,
        own_region: &RegionId,
        now: Millis,
    ) {
        while self.slots.len() > 1 && now.since(self.slots[1].0) >= FAILOVER_PERIOD {
            self.slots.pop_front();
        }
        if let Some((_, earlier)) = self.slots.front() {
            let changed = |region: &RegionId, previous: f64| {
                let current = slots.get(region).copied().unwrap_or(0.0);
                (current - previous).abs() > previous.max(current) * FAILOVER_SHARE
            };
            if earlier.iter().any(|(region, previous)| changed(region, *previous)) {
                self.unlimited_until = now + FAILOVER_PERIOD;
                self.slots.clear();
            }
        }
        if self.expected_shares.is_empty() {
            self.expected_shares = balanced_shares(&slots, own_region);
        }
        self.slots.push_back((now, slots));
    }

    /// Returns whether one more request may be sent to `region`.
    pub(crate) fn allows(&mut self, region: &RegionId, now: Millis) -> bool {
        self.advance_windows(now);
        if now < self.unlimited_until || self.expected_shares.is_empty() {
            return true;
        }
        let recent_total = (self.placements.len() - self.previous_len) as f64;
        let previous_total = self.previous_len as f64;
        let mut total_rise = 0.0;
        let mut region_rise = 0.0;
        for (other, expected_share) in &self.expected_shares {
            let count =
                |counts: &BTreeMap<RegionId, f64>| counts.get(other).copied().unwrap_or(0.0);
            let previous = (count(&self.previous_counts) + PRIOR_REQUESTS * expected_share)
                / (previous_total + PRIOR_REQUESTS);
            let added = if other == region { 1.0 } else { 0.0 };
            let current = (count(&self.recent_counts) + added + PRIOR_REQUESTS * previous)
                / (recent_total + 1.0 + PRIOR_REQUESTS);
            total_rise += (current - previous).max(0.0);
            region_rise += added * (current - previous);
        }
        region_rise <= 0.0 || total_rise <= self.cap
    }

    /// Records that a request was sent to `region`.
    pub(crate) fn record_placement(&mut self, region: &RegionId, now: Millis) {
        self.advance_windows(now);
        self.placements.push_back((now, region.clone()));
        *self.recent_counts.entry(region.clone()).or_default() += 1.0;
    }

    fn advance_windows(&mut self, now: Millis) {
        while let Some((at, region)) = self.placements.get(self.previous_len)
            && now.since(*at) >= WINDOW
        {
            *self.recent_counts.entry(region.clone()).or_default() -= 1.0;
            *self.previous_counts.entry(region.clone()).or_default() += 1.0;
            self.previous_len += 1;
        }
        while let Some((at, _)) = self.placements.front()
            && now.since(*at) >= WINDOW * 2
        {
            let (_, region) =
                self.placements.pop_front().expect("the loop condition found a placement");
            self.previous_len -= 1;
            *self.previous_counts.entry(region).or_default() -= 1.0;
        }
        if self.previous_len > 0 {
            self.update_expected_shares();
        }
    }

    /// Moves the expected shares towards those of the previous window, by less than a hundredth of
    /// the difference at a time. They apply when requests become rare.
    fn update_expected_shares(&mut self) {
        let total = self.previous_len as f64;
        let weight = total / (total + PRIOR_REQUESTS) / 100.0;
        for (region, expected_share) in &mut self.expected_shares {
            let share = self.previous_counts.get(region).copied().unwrap_or(0.0) / total;
            *expected_share += weight * (share - *expected_share);
        }
    }
}

/// Returns the shares of `own_region`'s requests that load all upstreams evenly if all regions have
/// equally many callers: requests beyond the capacity of its own upstreams go to regions with spare
/// slots.
fn balanced_shares(
    slots: &BTreeMap<RegionId, f64>,
    own_region: &RegionId,
) -> BTreeMap<RegionId, f64> {
    let total: f64 = slots.values().sum();
    let even_slots = total / slots.len().max(1) as f64;
    if even_slots <= 0.0 {
        return BTreeMap::new();
    }
    let own_share = (slots.get(own_region).copied().unwrap_or(0.0) / even_slots).min(1.0);
    let spare = |slots: f64| (slots - even_slots).max(0.0);
    let spare_total: f64 = slots.values().map(|&slots| spare(slots)).sum();
    let share = |(region, &slots): (&RegionId, &f64)| {
        let remote_share =
            if spare_total > 0.0 { (1.0 - own_share) * spare(slots) / spare_total } else { 0.0 };
        (region.clone(), if region == own_region { own_share } else { remote_share })
    };
    slots.iter().map(share).collect()
}
