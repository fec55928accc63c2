//! Retry budgets: retries are at most a share of recent successes.

use std::collections::HashMap;

use foxtail_types::prelude::*;
use parking_lot::Mutex;

/// Shards of the budgets, each with its own lock.
const SHARDS: usize = 16;
/// The unit in which tokens are counted.
const THOUSANDTHS: u64 = 1_000;

/// How much may be retried.
#[id]
pub struct Options {
    /// What each success adds, in thousandths of a retry.
    pub per_success_permille: u64,
    /// What each second adds, in thousandths of a retry, so that a service with few requests may
    /// retry at all.
    pub per_second_permille: u64,
    /// The most retries that can be saved up.
    pub burst: u64,
}

/// The retry budgets of a host, one for each service.
#[derive(Debug)]
pub struct Budgets {
    options: Options,
    shards: [Mutex<HashMap<(WorkspaceId, ServiceId), Bucket>>; SHARDS],
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    thousandths: u64,
    filled_at: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self { per_success_permille: 100, per_second_permille: 500, burst: 20 }
    }
}

impl Budgets {
    /// Full budgets for every service.
    pub fn new(options: Options) -> Self {
        Self { options, shards: Default::default() }
    }

    /// Counts an answer of the service.
    pub fn succeeded(&self, workspace: &WorkspaceId, service: &ServiceId, now: Millis) {
        let add = self.options.per_success_permille;
        self.with(workspace, service, now, |bucket, max| {
            bucket.thousandths = (bucket.thousandths + add).min(max);
        });
    }

    /// Takes the token for one retry. Returns whether there was one.
    #[must_use]
    pub fn take(&self, workspace: &WorkspaceId, service: &ServiceId, now: Millis) -> bool {
        self.with(workspace, service, now, |bucket, _| {
            let enough = bucket.thousandths >= THOUSANDTHS;
            if enough {
                bucket.thousandths -= THOUSANDTHS;
            }
            enough
        })
    }

    fn with<T>(
        &self,
        workspace: &WorkspaceId,
        service: &ServiceId,
        now: Millis,
        f: impl FnOnce(&mut Bucket, u64) -> T,
    ) -> T {
        let max = self.options.burst * THOUSANDTHS;
        let hash = xxhash_rust::xxh3::xxh3_64(service.as_str().as_bytes());
        let mut shard = self.shards[hash as usize % SHARDS].lock();
        let bucket = shard
            .entry((workspace.clone(), service.clone()))
            .or_insert(Bucket { thousandths: max, filled_at: now });
        bucket.fill(self.options.per_second_permille, max, now);
        f(bucket, max)
    }
}

impl Bucket {
    fn fill(&mut self, per_second: u64, max: u64, now: Millis) {
        let add = now.since(self.filled_at).0.saturating_mul(per_second) / 1_000;
        if add > 0 {
            self.thousandths = self.thousandths.saturating_add(add).min(max);
            self.filled_at = now;
        }
    }
}
