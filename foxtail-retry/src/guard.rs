//! Lets a fingerprint that is not proven run once at a time.
//!
//! Each fingerprint has one guard among the hosts of its caller's region. Without it, a caller
//! that sends a crashing request to many hosts at the same moment would bring down an upstream
//! with each of them before the first crash is known.

use std::collections::HashMap;

use foxtail_types::prelude::*;
use parking_lot::Mutex;

use crate::fingerprint::Fingerprint;

/// Shards, each with its own lock.
const SHARDS: usize = 16;
/// The most runs that a shard keeps track of; beyond it, requests wait.
const RUNS_MAX: usize = 4_096;

/// One run, by a random number.
#[id]
#[serde(transparent)]
pub struct RunId(pub u64);

/// The runs that a host guards.
#[derive(Debug, Default)]
pub struct Guard {
    shards: [Mutex<HashMap<Fingerprint, Run>>; SHARDS],
}

#[derive(Clone, Copy, Debug)]
struct Run {
    id: RunId,
    until: Millis,
}

/// Whether a run may begin.
#[id]
pub enum Begin {
    /// It may.
    Go,
    /// It may, but the run before was never reported to have ended: its host may have been lost
    /// together with what it knew of a crash.
    AfterLost,
    /// Another run is under way.
    Wait,
}

impl Guard {
    /// Begins the run `id` of `fp`, which ends by `until`. Asking again for the same run is safe.
    pub fn begin(&self, fp: Fingerprint, id: RunId, until: Millis, now: Millis) -> Begin {
        let mut runs = self.shard(fp).lock();
        let before = runs.get(&fp).copied();
        match before {
            Some(run) if run.id == id => Begin::Go,
            Some(run) if now < run.until => Begin::Wait,
            Some(_) => {
                runs.remove(&fp);
                Begin::AfterLost
            }
            None if runs.len() >= RUNS_MAX => {
                runs.retain(|_, run| now < run.until);
                Begin::Wait
            }
            None => {
                runs.insert(fp, Run { id, until });
                Begin::Go
            }
        }
    }

    /// Ends the run `id` of `fp`.
    pub fn end(&self, fp: Fingerprint, id: RunId) {
        let mut runs = self.shard(fp).lock();
        if runs.get(&fp).is_some_and(|run| run.id == id) {
            runs.remove(&fp);
        }
    }

    fn shard(&self, fp: Fingerprint) -> &Mutex<HashMap<Fingerprint, Run>> {
        &self.shards[fp.hash64() as usize % SHARDS]
    }
}
