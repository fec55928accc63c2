//! What is played.

use std::f64::consts::TAU;

use foxtail_types::prelude::*;

use crate::shape::{Demand, Shape, UpstreamShape};

/// How long one wave of requests takes.
const WAVE: Millis = Millis::secs(36);

/// What is played.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The user.
    pub shape: Shape,
    /// The load, as a share of the capacity of all slots where nothing is cached.
    pub load: f64,
    /// How far the rate of each region swings around its mean, as a share; regions follow each
    /// other by a third of a wave.
    pub swing: f64,
    /// For how long requests come.
    pub span: Millis,
    /// Entry hosts that callers use in each region.
    pub hosts: usize,
    /// The seed of times, objects and work.
    pub seed: u64,
}

impl Setup {
    /// A steady `load` of `shape` for a minute, at two entry hosts in each region.
    pub fn new(shape: Shape, load: f64, seed: u64) -> Self {
        Self { shape, load, swing: 0.0, span: Millis::secs(60), hosts: 2, seed }
    }

    /// The same load in waves.
    #[must_use]
    pub fn in_waves(mut self, swing: f64) -> Self {
        self.swing = swing;
        self
    }

    pub(super) fn demand(&self) -> Vec<Demand> {
        self.shape.demand(self.load)
    }

    pub(super) fn upstreams(&self) -> Vec<UpstreamShape> {
        self.shape.upstreams()
    }

    /// The rate of a region's requests at `now`, against its mean.
    pub(super) fn wave(&self, region: &RegionId, now: Millis) -> f64 {
        let regions = &self.shape.regions;
        let at = regions.iter().position(|known| known == region).unwrap_or(0);
        let phase = at as f64 / regions.len() as f64;
        1.0 + self.swing * (TAU * (now.as_secs_f64() / WAVE.as_secs_f64() + phase)).sin()
    }
}
