//! What a run is judged by.

use foxtail_types::prelude::*;
use hdrhistogram::Histogram;

use super::{Micros, Request, Workload};
use crate::shape::{REGIONS, Shape};

/// The figures of one run.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Median, 99th and 99.9th percentile of interactive requests, in milliseconds.
    pub interactive_ms: [f64; 3],
    /// The share of requests answered in time.
    pub answered: f64,
    /// The share of archive requests answered in time, if there were any.
    pub archive_answered: Option<f64>,
    /// Answers a second, each weighed with its service's mean time, as a share of the capacity.
    pub goodput: f64,
    /// The goodput of the service that has the least.
    pub goodput_min: f64,
    /// Slots in use on average, as a share of those there.
    pub slots_used: f64,
    /// The busiest second of any link direction, as a share of its capacity.
    pub link_peak: f64,
    /// The most requests that any region sent to others in one second of the run's clock.
    pub shift_peak_per_s: u64,
    /// Requests sent to an upstream beyond its slots.
    pub breaches: u64,
    /// Requests counted.
    pub requests: u64,
}

const LATENCY_MAX: Micros = Micros(60_000_000);

impl Figures {
    /// The 99th percentile of interactive requests, in milliseconds.
    pub fn p99_ms(&self) -> f64 {
        self.interactive_ms[1]
    }
}

/// Counts a run's events.
pub(crate) struct Tally {
    interactive: Histogram<u64>,
    sent: [u64; 2],
    in_time: [u64; 2],
    answers: Vec<u64>,
    slot_time: Micros,
    breaches: u64,
    regions: usize,
    link_bytes: Vec<Vec<u64>>,
    shifts: Vec<Vec<u64>>,
    measured: (Micros, Micros),
}

impl Tally {
    pub(crate) fn new(shape: &Shape, workload: &Workload) -> Self {
        let regions = REGIONS;
        let seconds = workload.until.as_secs_f64() as usize + 30;
        Self {
            interactive: Histogram::new_with_max(LATENCY_MAX.0, 3)
                .expect("the bounds are in range"),
            sent: [0; 2],
            in_time: [0; 2],
            answers: vec![0; shape.services.len()],
            slot_time: Micros(0),
            breaches: 0,
            regions,
            link_bytes: vec![vec![0; seconds]; regions * regions],
            shifts: vec![vec![0; seconds]; regions],
            measured: (workload.measured_from, workload.until),
        }
    }

    pub(crate) fn breach(&mut self) {
        self.breaches += 1;
    }

    pub(crate) fn shifted(&mut self, from: usize, now: Micros) {
        self.shifts[from][second(now)] += 1;
    }

    pub(crate) fn crossed(&mut self, from: usize, to: usize, bytes: u64, now: Micros) {
        self.link_bytes[from * self.regions + to][second(now)] += bytes;
    }

    /// A request left its slot at `now`.
    pub(crate) fn ran(&mut self, request: &Request, now: Micros) {
        if self.in_window(now) {
            self.slot_time = self.slot_time + now.since(request.started);
        }
    }

    pub(crate) fn answered(&mut self, request: &Request, at: Micros) {
        let in_time = at <= request.deadline;
        if in_time && self.in_window(at) {
            self.answers[request.arrival.service] += 1;
        }
        if !self.in_window(request.arrival.at) {
            return;
        }
        let took = at.since(request.arrival.at);
        self.sent[request.class as usize] += 1;
        self.in_time[request.class as usize] += u64::from(in_time);
        if request.class == Class::Interactive {
            self.interactive.saturating_record(took.0);
        }
    }

    pub(crate) fn not_run(&mut self, request: &Request) {
        if self.in_window(request.arrival.at) {
            self.sent[request.class as usize] += 1;
        }
    }

    pub(crate) fn figures(&self, shape: &Shape, workload: &Workload) -> Figures {
        let arrivals = workload.arrivals.iter().filter(|arrival| self.in_window(arrival.at));
        let ended: u64 = self.sent.iter().sum();
        assert_eq!(ended, arrivals.count() as u64, "every request ends exactly once");
        let quantile = |q| self.interactive.value_at_quantile(q) as f64 / 1_000.0;
        let span_s = self.measured.1.since(self.measured.0).as_secs_f64();
        let slots = f64::from(shape.slots_per_service()) * workload.health.remaining();
        let goodput = |service: usize| {
            let mean_s = shape.services[service].mean.as_secs_f64();
            self.answers[service] as f64 * mean_s / (span_s * slots)
        };
        let goodputs: Vec<f64> = (0..self.answers.len()).map(goodput).collect();
        let bytes_peak = self.link_bytes.iter().flatten().copied().max().unwrap_or(0);
        let archive = Class::Archive as usize;
        let share = |n: u64, of: u64| n as f64 / of.max(1) as f64;
        Figures {
            interactive_ms: [quantile(0.5), quantile(0.99), quantile(0.999)],
            answered: share(self.in_time.iter().sum(), self.sent.iter().sum()),
            archive_answered: (self.sent[archive] > 0)
                .then(|| share(self.in_time[archive], self.sent[archive])),
            goodput: goodputs.iter().sum::<f64>() / goodputs.len() as f64,
            goodput_min: goodputs.iter().copied().fold(f64::INFINITY, f64::min),
            slots_used: self.slot_time.as_secs_f64()
                / (span_s * slots * shape.services.len() as f64),
            link_peak: bytes_peak as f64 * 8.0
                / (f64::from(shape.network.links[0].mbit_per_s) * 1e6),
            shift_peak_per_s: self.shifts.iter().flatten().copied().max().unwrap_or(0),
            breaches: self.breaches,
            requests: ended,
        }
    }

    fn in_window(&self, at: Micros) -> bool {
        at >= self.measured.0 && at < self.measured.1
    }
}

fn second(at: Micros) -> usize {
    (at.0 / 1_000_000) as usize
}
