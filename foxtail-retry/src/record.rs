//! What is known of one fingerprint's crashes, as it spreads between hosts.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;

/// The most marks that a record keeps. As many always convict.
const MARKS_MAX: usize = 4;
/// So much weight convicts: a crash and another event, one of them in a trial, or three breaks.
const CONVICTING_WEIGHT: u32 = 3;
/// How long a suspicion or its clearing is remembered.
pub const SUSPECT_TTL: Millis = Millis::secs(600);
/// How long a conviction holds.
pub const CONVICTED_TTL: Millis = Millis::secs(24 * 3_600);

/// How strong one event speaks for a crash.
#[id]
pub enum Evidence {
    /// A connection broke in the middle, and nothing else is known.
    Break,
    /// The upstream crashed.
    Crash,
}

/// One event, by a random number that is the same wherever it is told.
#[id]
#[serde(transparent)]
pub struct MarkId(pub u64);

impl MarkId {
    /// All events outside trials together, so that they count once: up to two innocent requests
    /// share each upstream that crashes, and those that run all the time share it again and again.
    pub const OUTSIDE_TRIAL: MarkId = MarkId(0);
}

/// What is known of a fingerprint.
///
/// [`Record::merge`] is commutative, associative and idempotent, so news may come twice, late and
/// in any order.
#[value]
#[derive(Default)]
pub struct Record {
    /// Each clearing begins a new round; marks of earlier rounds no longer count.
    round: u32,
    marks: BTreeMap<MarkId, Evidence>,
    convicted: bool,
    /// When the record is forgotten, since the Unix epoch.
    expires: Millis,
}

/// How a fingerprint stands.
#[id]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// It was in flight when an upstream crashed: runs one at a time in the whole system.
    Suspect,
    /// It crashed upstreams: never runs.
    Convicted,
}

impl Evidence {
    const fn weight(self) -> u32 {
        match self {
            Evidence::Break => 1,
            Evidence::Crash => 2,
        }
    }
}

impl Record {
    /// How the fingerprint stands.
    pub fn standing(&self) -> Standing {
        if self.convicted {
            Standing::Convicted
        } else if self.marks.is_empty() {
            Standing::Clear
        } else {
            Standing::Suspect
        }
    }

    /// When it is forgotten, since the Unix epoch.
    pub fn expires(&self) -> Millis {
        self.expires
    }

    /// Adds an event.
    pub fn mark(&mut self, id: MarkId, evidence: Evidence, wall: Millis) {
        let known = self.marks.entry(id).or_insert(evidence);
        *known = evidence.max(*known);
        self.expires = self.expires.max(wall + SUSPECT_TTL);
        self.settle(wall);
    }

    /// Begins a new round: the request ran alone and was answered. A conviction stays.
    pub fn clear(&mut self, wall: Millis) {
        self.round += 1;
        self.marks.clear();
        self.expires = self.expires.max(wall + SUSPECT_TTL);
    }

    /// Takes in what another host knows. Returns whether that changed anything.
    pub fn merge(&mut self, other: &Record) -> bool {
        let before = self.clone();
        self.convicted |= other.convicted;
        self.expires = self.expires.max(other.expires);
        match other.round.cmp(&self.round) {
            std::cmp::Ordering::Less => {}
            std::cmp::Ordering::Equal => {
                for (&id, &evidence) in &other.marks {
                    let known = self.marks.entry(id).or_insert(evidence);
                    *known = evidence.max(*known);
                }
                while self.marks.len() > MARKS_MAX {
                    self.marks.pop_last();
                }
            }
            std::cmp::Ordering::Greater => {
                self.round = other.round;
                self.marks.clone_from(&other.marks);
            }
        }
        *self != before
    }

    /// Convicts if the marks weigh enough. Returns whether the record is convicted now.
    pub fn settle(&mut self, wall: Millis) -> bool {
        let weight: u32 = self.marks.values().map(|evidence| evidence.weight()).sum();
        if weight >= CONVICTING_WEIGHT && !self.convicted {
            self.convicted = true;
            self.expires = self.expires.max(wall + CONVICTED_TTL);
        }
        self.convicted
    }
}
