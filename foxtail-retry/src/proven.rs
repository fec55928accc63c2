//! Fingerprints that were answered a short while ago: they need no guard.

use foxtail_types::prelude::*;
use parking_lot::Mutex;

use crate::fingerprint::Fingerprint;

/// Shards, each with its own lock.
const SHARDS: usize = 16;
/// Places of a shard. A fingerprint has one place and pushes out the one that had it before.
const PLACES: usize = 512;
/// How long an answer proves a fingerprint.
const TTL: Millis = Millis::secs(60);

/// The fingerprints that were answered a short while ago, as far as they fit.
#[derive(Debug)]
pub struct Proven {
    shards: Vec<Mutex<Vec<Place>>>,
}

/// A fingerprint and when it was answered.
type Place = Option<(Fingerprint, Millis)>;

impl Default for Proven {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::new(vec![None; PLACES])).collect() }
    }
}

impl Proven {
    /// Notes that `fp` was answered.
    pub fn answered(&self, fp: Fingerprint, now: Millis) {
        self.place(fp, |place| *place = Some((fp, now)));
    }

    /// Forgets `fp`.
    pub fn forget(&self, fp: Fingerprint) {
        self.place(fp, |place| {
            place.take_if(|(known, _)| *known == fp);
        });
    }

    /// Whether `fp` was answered a short while before `now`.
    pub fn contains(&self, fp: Fingerprint, now: Millis) -> bool {
        let is_fresh = |&(known, at): &(Fingerprint, Millis)| known == fp && now.since(at) < TTL;
        self.place(fp, |place| place.as_ref().is_some_and(is_fresh))
    }

    fn place<T>(&self, fp: Fingerprint, f: impl FnOnce(&mut Place) -> T) -> T {
        let hash = fp.hash64() as usize;
        let mut shard = self.shards[hash % SHARDS].lock();
        f(&mut shard[hash / SHARDS % PLACES])
    }
}
