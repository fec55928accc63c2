//! Requests that this host has at each upstream, for the progress of drains.

use std::collections::HashMap;

use foxtail_types::prelude::*;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

const SHARDS: usize = 16;

/// Counts of requests by upstream, in shards with a lock each.
#[derive(Default)]
pub(crate) struct InUse {
    shards: [Mutex<HashMap<UpstreamId, u32>>; SHARDS],
}

impl InUse {
    /// Notes that a request is sent to `upstream`.
    pub(crate) fn begin(&self, upstream: &UpstreamId) {
        *self.shard(upstream).lock().entry(upstream.clone()).or_default() += 1;
    }

    /// Notes that it has ended.
    pub(crate) fn end(&self, upstream: &UpstreamId) {
        let mut shard = self.shard(upstream).lock();
        let count = shard.get_mut(upstream).expect("what ends has begun");
        *count -= 1;
        if *count == 0 {
            shard.remove(upstream);
        }
    }

    /// How many requests this host has at `upstream`.
    pub(crate) fn count(&self, upstream: &UpstreamId) -> u32 {
        self.shard(upstream).lock().get(upstream).copied().unwrap_or(0)
    }

    fn shard(&self, upstream: &UpstreamId) -> &Mutex<HashMap<UpstreamId, u32>> {
        let hash = xxh3_64(upstream.as_str().as_bytes());
        &self.shards[hash as usize % SHARDS]
    }
}
