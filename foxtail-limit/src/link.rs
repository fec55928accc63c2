//! The byte budget of one direction of a link.
//!
//! Two lanes share the capacity: the trickle belongs to archive traffic alone; the main lane serves
//! interactive traffic first, and archive traffic while it is more than half full. A lane is a
//! token bucket that may be booked ahead: a reservation for which the tokens are short is given
//! with the wait until they are there, so that reservations of one lane start in their order.
//! Burst and rate of both lanes add up to the capacity, so that reservations that start within any
//! one second never exceed it.

use foxtail_types::prelude::*;

use crate::drift::DRIFT_DIV;

/// How far ahead a reservation may be booked.
pub const AHEAD_MAX: Millis = Millis(1_000);
/// The share of a second's capacity that may be sent in one burst.
const BURST_SHARE: f64 = 0.1;
/// The share of the burst that the trickle may take at most.
const TRICKLE_BURST_SHARE: f64 = 0.5;
/// The share of the main lane's burst that archive traffic leaves untouched.
const INTERACTIVE_SHARE: f64 = 0.5;
/// Bytes in a megabit.
const MBIT_BYTES: f64 = 125_000.0;
/// Milliseconds in a second.
const SECOND_MS: f64 = 1_000.0;

/// The budget of one direction of a link, kept by its owner.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    main: Lane,
    trickle: Lane,
}

/// What a reservation came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Booking {
    /// The bytes may be sent after this span.
    After(Millis),
    /// There is no room in time; come back after this span.
    Full(Millis),
}

#[derive(Clone, Debug)]
struct Lane {
    bytes_per_ms: f64,
    burst: f64,
    tokens: f64,
    at: Millis,
}

impl LinkBudget {
    /// A budget of `mbit_per_s`, of which `archive_mbit_per_s` is the trickle. It starts empty, and
    /// after the time for which a former owner may have booked ahead.
    pub fn new(now: Millis, mbit_per_s: u32, archive_mbit_per_s: u32) -> Self {
        let (main, trickle) = shape(mbit_per_s, archive_mbit_per_s);
        let start = now + AHEAD_MAX;
        Self { main: Lane::empty(start, main), trickle: Lane::empty(start, trickle) }
    }

    /// Changes the capacity; what is booked stays booked.
    pub fn resize(&mut self, now: Millis, mbit_per_s: u32, archive_mbit_per_s: u32) {
        let (main, trickle) = shape(mbit_per_s, archive_mbit_per_s);
        self.main.resize(now, main);
        self.trickle.resize(now, trickle);
    }

    /// Books `bytes` for a request of `class` that waits for at most `patience`.
    pub fn reserve(&mut self, now: Millis, class: Class, bytes: u64, patience: Millis) -> Booking {
        let patience = patience.min(AHEAD_MAX);
        self.main.refill(now);
        self.trickle.refill(now);
        match class {
            Class::Interactive => self.main.book(now, bytes, patience),
            Class::Archive if self.leaves_room(bytes) => self.main.book(now, bytes, Millis::ZERO),
            Class::Archive => self.trickle.book(now, bytes, patience),
        }
    }

    /// Settles a reservation of `reserved` bytes of which `sent` were sent.
    pub fn correct(&mut self, now: Millis, class: Class, reserved: u64, sent: u64) {
        let lane = match class {
            Class::Interactive => &mut self.main,
            Class::Archive => &mut self.trickle,
        };
        lane.refill(now);
        lane.tokens = (lane.tokens + reserved as f64 - sent as f64).min(lane.burst);
    }

    /// The most bytes that reservations starting within one second can come to.
    pub fn bytes_per_s(&self) -> u64 {
        let lane = |lane: &Lane| lane.bytes_per_ms * SECOND_MS + lane.burst;
        (lane(&self.main) + lane(&self.trickle)).round() as u64
    }

    /// The share of a full burst that may be sent now, from 0 to 1.
    pub fn free_share(&self, now: Millis) -> f64 {
        let (mut main, mut trickle) = (self.main.clone(), self.trickle.clone());
        main.refill(now);
        trickle.refill(now);
        let free = main.tokens.max(0.0) + trickle.tokens.max(0.0);
        free / (main.burst + trickle.burst).max(f64::MIN_POSITIVE)
    }

    fn leaves_room(&self, bytes: u64) -> bool {
        self.main.tokens - bytes as f64 >= self.main.burst * INTERACTIVE_SHARE
    }
}

impl Lane {
    fn empty(now: Millis, (bytes_per_ms, burst): (f64, f64)) -> Self {
        Lane { bytes_per_ms, burst, tokens: 0.0, at: now }
    }

    fn resize(&mut self, now: Millis, (bytes_per_ms, burst): (f64, f64)) {
        self.refill(now);
        self.bytes_per_ms = bytes_per_ms;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.at).0 as f64 * self.bytes_per_ms;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.at = self.at.max(now);
    }

    /// A reservation larger than the burst starts when the burst is full and leaves a debt.
    fn book(&mut self, now: Millis, bytes: u64, patience: Millis) -> Booking {
        let short = ((bytes as f64).min(self.burst) - self.tokens).max(0.0);
        let refill = Millis((short / self.bytes_per_ms.max(f64::MIN_POSITIVE)).ceil() as u64);
        let after = self.at.since(now) + refill;
        if after > patience {
            return Booking::Full(after);
        }
        self.tokens -= bytes as f64;
        Booking::After(after)
    }
}

/// Rate in bytes a millisecond and burst in bytes, of the main lane and the trickle.
fn shape(mbit_per_s: u32, archive_mbit_per_s: u32) -> ((f64, f64), (f64, f64)) {
    let drift = 1.0 - 1.0 / DRIFT_DIV as f64;
    let capacity = f64::from(mbit_per_s) * MBIT_BYTES * drift;
    let burst = capacity * BURST_SHARE;
    let rate = capacity - burst;
    let trickle_rate = (f64::from(archive_mbit_per_s) * MBIT_BYTES).min(rate);
    let trickle_burst = trickle_rate.min(burst * TRICKLE_BURST_SHARE);
    let main = ((rate - trickle_rate) / SECOND_MS, burst - trickle_burst);
    (main, (trickle_rate / SECOND_MS, trickle_burst))
}
