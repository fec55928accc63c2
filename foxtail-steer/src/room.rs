//! Decides which part of a region's objects its own upstreams keep.
//!
//! The load that this answers: a region has a tenth of the upstreams and a third of the callers. If all
//! objects of its callers are kept in its upstreams, these hold more objects than fit and evict each
//! other, while upstreams of other regions have room. An object that is kept elsewhere is answered faster
//! although its requests cross the link.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;

use crate::rendezvous;

/// The most objects that a region's upstreams keep for each slot, relative to the mean of all regions. More
/// of them evict each other in lean regions; fewer send requests over the links where all objects fit.
const MAX_RELATIVE_OBJECTS: f64 = 1.8;

/// The number of hosts of each region, which stands for its demand: sites have hosts where their callers are.
pub(crate) type HostCounts = BTreeMap<RegionId, usize>;

/// Returns the share of the objects of `region` that are kept in it, if it has `slots` out of `all_slots` of
/// a service.
pub(crate) fn kept_share(hosts: &HostCounts, region: &RegionId, slots: f64, all_slots: f64) -> f64 {
    let own_hosts = hosts.get(region).copied().unwrap_or(0) as f64;
    let all_hosts = hosts.values().sum::<usize>() as f64;
    if own_hosts == 0.0 || own_hosts == all_hosts || all_slots <= 0.0 {
        // Nothing is known of the demand of other regions.
        return 1.0;
    }
    (MAX_RELATIVE_OBJECTS * (slots / all_slots) / (own_hosts / all_hosts)).min(1.0)
}

/// Returns whether `object` is among the `share` of the objects that are kept in their region. The choice is
/// the same on all hosts, and few objects move when the share changes a little.
pub(crate) fn is_kept(object: u64, share: f64) -> bool {
    let uniform = rendezvous::weight(object, "kept in its region") as f64 / u64::MAX as f64;
    uniform < share
}
