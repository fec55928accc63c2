//! The suspects and convicts that a host knows, bounded and sharded.

use std::collections::HashMap;

use foxtail_types::prelude::*;
use parking_lot::Mutex;

use crate::fingerprint::Fingerprint;
use crate::msg::News;
use crate::record::{Evidence, MarkId, Record, Standing};

/// Shards, each with its own lock.
const SHARDS: usize = 16;
/// The most records of a shard.
const RECORDS_MAX: usize = 128;

/// What a host knows of all fingerprints.
#[derive(Debug, Default)]
pub struct Suspects {
    shards: [Mutex<HashMap<Fingerprint, Record>>; SHARDS],
}

impl Suspects {
    /// How `fp` stands at `wall`.
    pub fn standing(&self, fp: Fingerprint, wall: Millis) -> Standing {
        let shard = self.shard(fp).lock();
        let record = shard.get(&fp).filter(|record| record.expires() > wall);
        record.map_or(Standing::Clear, Record::standing)
    }

    /// Adds an event. Returns the news for the other hosts.
    pub fn mark(&self, fp: Fingerprint, id: MarkId, evidence: Evidence, wall: Millis) -> News {
        self.change(fp, wall, |record| record.mark(id, evidence, wall))
    }

    /// Clears `fp`, which ran alone and was answered. Returns the news for the other hosts.
    pub fn clear(&self, fp: Fingerprint, wall: Millis) -> News {
        self.change(fp, wall, |record| record.clear(wall))
    }

    /// Takes in news. Returns further news if this host concludes more from it than it says.
    pub fn receive(&self, news: &News, wall: Millis) -> Option<News> {
        if news.record.expires() <= wall {
            return None;
        }
        let mut concluded = false;
        let all = self.change(news.fp, wall, |record| {
            record.merge(&news.record);
            let before = record.standing();
            concluded = record.settle(wall) && before != Standing::Convicted;
        });
        concluded.then_some(all)
    }

    /// What is known of `fp`.
    pub fn record(&self, fp: Fingerprint) -> Record {
        self.shard(fp).lock().get(&fp).cloned().unwrap_or_default()
    }

    /// All that is known, for a host that joins.
    pub fn news(&self, wall: Millis) -> Vec<News> {
        let mut out = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock();
            let known = shard.iter().filter(|(_, record)| record.expires() > wall);
            out.extend(known.map(|(&fp, record)| News { fp, record: record.clone() }));
        }
        out
    }

    /// How many records are kept.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn change(&self, fp: Fingerprint, wall: Millis, f: impl FnOnce(&mut Record)) -> News {
        let mut shard = self.shard(fp).lock();
        if !shard.contains_key(&fp) {
            make_room(&mut shard, wall);
        }
        let record = shard.entry(fp).or_default();
        if record.expires() <= wall {
            *record = Record::default();
        }
        f(record);
        News { fp, record: record.clone() }
    }

    fn shard(&self, fp: Fingerprint) -> &Mutex<HashMap<Fingerprint, Record>> {
        &self.shards[fp.hash64() as usize % SHARDS]
    }
}

/// Drops what has expired and, if that is not enough, the record that matters least.
fn make_room(shard: &mut HashMap<Fingerprint, Record>, wall: Millis) {
    if shard.len() < RECORDS_MAX {
        return;
    }
    shard.retain(|_, record| record.expires() > wall);
    if shard.len() < RECORDS_MAX {
        return;
    }
    let least = shard.iter().min_by_key(|(_, record)| (record.standing(), record.expires()));
    if let Some(fp) = least.map(|(&fp, _)| fp) {
        shard.remove(&fp);
    }
}
