//! How an upstream behaves.

use foxtail_types::prelude::*;
use rand::Rng;

/// How an upstream behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// The server's name.
    pub id: UpstreamId,
    /// Its region.
    pub region: RegionId,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// How many requests wait inside it; any more are shed.
    pub queue_max: u32,
    /// How long a request runs.
    pub service_time: ServiceTime,
    /// How much slower it is after a restart; the first start finds it warm.
    pub cold: Cold,
    /// How long a new connection takes to be set up.
    pub connect: Millis,
    /// How many connections it keeps at a time; any more are closed at once.
    pub connections_max: usize,
    /// How old its reports of its own load are at most.
    pub report_lag: Millis,
    /// How long it still takes new work after it was told to leave.
    pub drain_grace: Millis,
    /// How long it refuses connections after a crash; with zero its port stays open, as under a
    /// supervisor that holds it.
    pub restart: Millis,
    /// The seed of its service times.
    pub seed: u64,
}

/// A log-normal distribution of service times.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    /// The mean.
    pub mean: Millis,
    /// The standard deviation of the logarithm: 0 makes every request take the mean.
    pub sigma: f64,
}

/// How a server that has just started is slower.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// How many requests run until it is warm.
    pub requests: u32,
    /// By what factor the first one is slower.
    pub factor: f64,
}

/// What an upstream reports of its load.
#[id]
#[derive(Default)]
pub enum Report {
    /// What it was at the last refresh.
    #[default]
    Lagging,
    /// Always idle.
    Idle,
    /// Nothing.
    Silent,
}

impl Options {
    /// An upstream of the brief's shape: 3 slots, a short queue and 650 connections.
    pub fn new(id: UpstreamId, region: RegionId, service_time: ServiceTime, seed: u64) -> Self {
        Self {
            id,
            region,
            slots: 3,
            queue_max: 6,
            service_time,
            cold: Cold { requests: 30, factor: 3.0 },
            connect: Millis(1),
            connections_max: 650,
            report_lag: Millis(500),
            drain_grace: Millis::secs(3),
            restart: Millis::secs(2),
            seed,
        }
    }
}

impl ServiceTime {
    /// Draws one service time, in fractional milliseconds.
    pub fn sample(&self, rng: &mut impl Rng) -> f64 {
        let mean_ms = self.mean.0 as f64;
        let mu = mean_ms.max(f64::MIN_POSITIVE).ln() - self.sigma * self.sigma / 2.0;
        (mu + self.sigma * normal(rng)).exp()
    }
}

impl Cold {
    /// By what factor the request number `n` after the start is slower.
    pub fn factor_at(&self, n: u32) -> f64 {
        let left = self.requests.saturating_sub(n);
        if left == 0 {
            return 1.0;
        }
        1.0 + (self.factor - 1.0) * f64::from(left) / f64::from(self.requests)
    }
}

/// One draw of the standard normal distribution, by Box and Muller.
fn normal(rng: &mut impl Rng) -> f64 {
    let u: f64 = 1.0 - rng.random::<f64>();
    let v: f64 = rng.random();
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
