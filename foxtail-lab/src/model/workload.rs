//! The arrivals of one run.

use foxtail_standin::upstream::ServiceTime;
use foxtail_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Micros;
use crate::shape::{REGIONS, SERVICE_SIGMA, Shape, ZONES_PER_REGION};

/// What is lost during the whole run.
#[id]
pub enum Health {
    /// Nothing.
    Healthy,
    /// One zone, with its hosts and upstreams.
    ZoneLost,
}

/// The arrivals of one run, in order of time.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The arrivals.
    pub arrivals: Vec<Arrival>,
    /// Requests that arrive before count for nothing.
    pub measured_from: Micros,
    /// When the arrivals end.
    pub until: Micros,
    /// The load, as a share of the capacity that `health` leaves.
    pub load: f64,
    /// What is lost.
    pub health: Health,
}

/// One request as its caller sends it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the caller sends it.
    pub at: Micros,
    /// The number of its service.
    pub service: usize,
    /// The number of the caller's region.
    pub region: usize,
    /// How long an upstream runs it.
    pub took: Micros,
    /// Which entry host the caller picks, as a share of the list of hosts.
    pub pick: f64,
}

impl Workload {
    /// Poisson arrivals at `load` times the capacity that `health` leaves, each service for itself.
    pub fn new(shape: &Shape, load: f64, health: Health, until: Micros, seed: u64) -> Self {
        let mut arrivals = Vec::new();
        for (service, spec) in shape.services.iter().enumerate() {
            let slots = f64::from(shape.slots_per_service()) * health.remaining();
            let per_ms = load * slots / spec.mean.0 as f64;
            for (region, share) in spec.demand.iter().enumerate() {
                let seed = seed ^ ((service as u64) << 8 | region as u64) << 32;
                let mut rng = SmallRng::seed_from_u64(seed);
                let service_time = ServiceTime { mean: spec.mean, sigma: SERVICE_SIGMA };
                let mut at_ms = 0.0;
                loop {
                    at_ms += -(1.0 - rng.random::<f64>()).ln() / (per_ms * share);
                    let at = Micros::from_ms(at_ms);
                    if at >= until {
                        break;
                    }
                    let took = Micros::from_ms(service_time.sample(&mut rng));
                    arrivals.push(Arrival { at, service, region, took, pick: rng.random() });
                }
            }
        }
        arrivals.sort_by_key(|arrival| (arrival.at, arrival.service, arrival.region));
        Self { arrivals, measured_from: Micros(until.0 / 6), until, load, health }
    }
}

impl Health {
    /// Whether the zone number `zone` of the region number `region` is lost.
    pub fn lost(self, region: usize, zone: usize) -> bool {
        self == Health::ZoneLost && (region, zone) == (0, 0)
    }

    /// The share of the capacity that is left.
    pub fn remaining(self) -> f64 {
        let zones = REGIONS * ZONES_PER_REGION;
        match self {
            Health::Healthy => 1.0,
            Health::ZoneLost => 1.0 - 1.0 / zones as f64,
        }
    }
}
