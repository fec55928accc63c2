//! The choice of an upstream among those with a free slot.

use std::cmp::Reverse;

use foxtail_types::prelude::*;

use crate::health::Standing;
use crate::plan::mix;

/// Chooses an upstream. The owner of a pool holds one as a trait object.
pub trait Picker: Send + Sync {
    /// The index of the upstream to use, or `None` if none may take the request.
    ///
    /// Never returns an upstream without a free slot, one that is leaving or ejected, or one to be
    /// avoided.
    fn pick(&self, query: &Query<'_>, candidates: &[Candidate<'_>]) -> Option<usize>;
}

/// What an upstream is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The zone of the entry host that will send the request.
    pub zone: &'a ZoneId,
    /// Upstreams that this request has tried before.
    pub avoid: &'a [UpstreamId],
    /// Spreads requests over upstreams that are equally good; any well-mixed number.
    pub seed: u64,
}

/// What the owner knows of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a UpstreamId,
    /// Its zone.
    pub zone: &'a ZoneId,
    /// Slots it may use now and that no ticket holds.
    pub free: u32,
    /// Slots that tickets hold.
    pub busy: u32,
    /// How it stands with the owner.
    pub standing: Standing,
    /// Whether it is warm.
    pub warm: bool,
    /// Requests that its last fresh report says wait inside it. A hint: it only breaks ties.
    pub queued_hint: u32,
}

/// Healthy before suspect, the own zone first, warm first, then the least busy.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneFirst;

impl Picker for ZoneFirst {
    fn pick(&self, query: &Query<'_>, candidates: &[Candidate<'_>]) -> Option<usize> {
        let open = candidates.iter().enumerate().filter(|(_, it)| may_take(query, it));
        open.min_by_key(|(index, it)| {
            let far = it.zone != query.zone;
            let tie = mix(query.seed, *index);
            (it.standing, far, !it.warm, it.queued_hint, it.busy, Reverse(it.free), tie)
        })
        .map(|(index, _)| index)
    }
}

fn may_take(query: &Query<'_>, it: &Candidate<'_>) -> bool {
    it.free > 0 && it.standing.takes_work() && !query.avoid.contains(it.upstream)
}
