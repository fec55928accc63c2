//! What one host knows of another.

use foxtail_platform::{HostEntry, HostState};
use foxtail_types::prelude::*;

use crate::members::SUSPECT_AFTER;
use crate::msg::{Entry, Identity, Phase, Status};

/// What this host knows of one host, itself included.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) entry: Entry,
    /// The local revision of the last change worth passing on.
    pub(crate) revision: u64,
    /// When the host last pulled from this host.
    pub(crate) direct: Option<Millis>,
    /// Since when this host, as its relay, expects its pulls.
    pub(crate) expected: Option<Millis>,
    /// Since when pulls from it fail.
    pub(crate) failing: Option<Millis>,
    /// When it was first seen serving.
    pub(crate) serving_since: Option<Millis>,
    /// The platform's list says that it is leaving.
    pub(crate) listed_leaving: bool,
    /// When it was last in the platform's list, or first heard of.
    pub(crate) listed: Millis,
}

impl Record {
    pub(crate) fn new(entry: Entry, now: Millis) -> Self {
        let serving_since = (entry.status.phase == Phase::Serving).then_some(now);
        Self {
            entry,
            revision: 0,
            direct: None,
            failing: None,
            expected: None,
            serving_since,
            listed_leaving: false,
            listed: now,
        }
    }

    /// A host known from the list alone: nothing is known of its state yet.
    pub(crate) fn from_list(host: &HostEntry, now: Millis) -> Self {
        let status =
            Status { phase: Phase::Starting, version: Version::default(), busy_permille: 0 };
        let entry = Entry { identity: identity(host), status, seq: 0, suspect: false };
        let mut record = Self::new(entry, now);
        record.listed_leaving = host.state == HostState::Leaving;
        record
    }

    /// Takes `entry` if it is newer than what is known. Tells whether anything changed.
    pub(crate) fn merge(&mut self, entry: &Entry, now: Millis) -> bool {
        if rank(entry) <= rank(&self.entry) {
            return false;
        }
        let restarted = entry.identity.incarnation != self.entry.identity.incarnation;
        if restarted {
            (self.direct, self.failing) = (None, None);
            self.listed_leaving = false;
        }
        match entry.status.phase {
            Phase::Serving if self.serving_since.is_none() || restarted => {
                self.serving_since = Some(now);
            }
            Phase::Serving => {}
            Phase::Starting | Phase::Leaving => self.serving_since = None,
        }
        self.entry = entry.clone();
        true
    }

    /// What others are told of when it changes.
    pub(crate) fn notable(&self) -> (u64, Status, bool) {
        (self.entry.identity.incarnation, self.entry.status, self.entry.suspect)
    }

    /// Whether its pulls are expected and missing, or pulls from it fail, for too long.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        let heard = self.expected.map(|since| since.max(self.direct.unwrap_or_default()));
        let long_ago = |at: Option<Millis>| at.is_some_and(|at| now.since(at) > SUSPECT_AFTER);
        long_ago(heard) || long_ago(self.failing)
    }

    /// Whether it may take part in anything new.
    pub(crate) fn takes_part(&self) -> bool {
        !self.entry.suspect && !self.listed_leaving && self.entry.status.phase != Phase::Leaving
    }
}

/// Who the platform says the host is.
fn identity(host: &HostEntry) -> Identity {
    Identity {
        id: host.id.clone(),
        incarnation: host.incarnation,
        region: host.region.clone(),
        zone: host.zone.clone(),
        caller: host.caller,
        peer: host.peer,
        operator: host.operator,
    }
}

fn rank(entry: &Entry) -> (u64, u64, bool) {
    (entry.identity.incarnation, entry.seq, entry.suspect)
}
