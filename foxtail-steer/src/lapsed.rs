//! Upstreams whose registrations may have lapsed while the store was out.
//!
//! The load that this answers: the end of an outage of the store, after which the registrations of upstreams
//! that are alive return within two seconds. They are used until then, and no longer.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;

/// How long an upstream is kept whose registration may have lapsed: a live upstream registers again within
/// this time after the store's return.
pub(crate) const LAPSED_GRACE: Millis = Millis(2_200);

/// Upstreams whose registrations may have lapsed, and when they are removed.
#[derive(Debug, Default)]
pub struct LapsedUpstreams(BTreeMap<UpstreamId, Millis>);

impl LapsedUpstreams {
    /// Records that the registration of `id` is missing after the store returned at `returned_at`. Several
    /// hosts may tell the same removal, one after the other.
    pub fn record(&mut self, id: UpstreamId, returned_at: Millis) {
        self.0.entry(id).or_insert(returned_at + LAPSED_GRACE);
    }

    /// Records that `id` is registered, or removed for good.
    pub fn forget(&mut self, id: &UpstreamId) {
        self.0.remove(id);
    }

    /// Removes and returns the upstreams that did not register again in time.
    pub fn take_expired(&mut self, now: Millis) -> Vec<UpstreamId> {
        let mut expired = Vec::new();
        self.0.retain(|id, expires| {
            let is_kept = *expires > now;
            if !is_kept {
                expired.push(id.clone());
            }
            is_kept
        });
        expired
    }
}
