//! The choice of an upstream among those with free slots.

use foxtail_types::prelude::*;

use crate::Load;

/// Chooses an upstream for a request.
pub trait Pick: Send + Sync {
    /// The index of the chosen one of `candidates`, all of which may be used.
    fn pick(&self, candidates: &[Candidate<'_>], cx: &Context<'_>) -> usize;
}

/// An upstream with a free slot.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// Its zone.
    pub zone: &'a ZoneId,
    /// Its slots.
    pub slots: u32,
    /// Those of them that are free.
    pub free: u32,
    /// Its last own report, and its age.
    pub report: Option<(Load, Millis)>,
}

/// The request for which an upstream is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The zone of the host that will send.
    pub zone: &'a ZoneId,
    /// Rises by one with each choice of the pool.
    pub turn: u64,
}

/// Same zone first, then most free slots, then in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct MostFree;

impl Pick for MostFree {
    fn pick(&self, candidates: &[Candidate<'_>], cx: &Context<'_>) -> usize {
        let n = candidates.len();
        let first = (cx.turn % n.max(1) as u64) as usize;
        let order = (0..n).map(|i| (first + i) % n);
        let rank = |i: &usize| (candidates[*i].zone != cx.zone, u32::MAX - candidates[*i].free);
        order.min_by_key(rank).unwrap_or(0)
    }
}
