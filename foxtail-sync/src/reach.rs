//! How far a version has got, judged from what this host knows of the others.

use std::collections::BTreeMap;

use foxtail_config::stage::Reach;
use foxtail_member::View;
use foxtail_types::prelude::*;

/// How long a host must have been silent before a version no longer waits for it to raise limits.
pub const LAPSE: Millis = Millis(5_000);

/// Judges how far the version held has got.
#[derive(Default)]
pub struct Judge {
    version: Version,
    silent_since: BTreeMap<HostId, Millis>,
    everywhere_since: Option<Millis>,
}

impl Judge {
    /// How far `version` has got.
    ///
    /// [`Reach::Held`] does not wait for hosts that have been silent for [`LAPSE`].
    /// [`Reach::Settled`] waits for every host that is known at all, and then for `tickets`, the
    /// longest time that a ticket granted under an older version can still be in use.
    pub fn reach(&mut self, view: &View, version: Version, tickets: Millis, now: Millis) -> Reach {
        if version != self.version {
            self.version = version;
            self.everywhere_since = None;
        }
        self.note_silent(view, now);
        if view.hosts.iter().any(|host| host.status.version > version) {
            return Reach::Seen;
        }
        let late: Vec<_> = view.hosts.iter().filter(|host| host.status.version < version).collect();
        if late.is_empty() {
            let since = *self.everywhere_since.get_or_insert(now);
            return if now.since(since) >= tickets { Reach::Settled } else { Reach::Held };
        }
        self.everywhere_since = None;
        let lapsed =
            |id: &HostId| self.silent_since.get(id).is_some_and(|since| now.since(*since) >= LAPSE);
        match late.iter().all(|host| lapsed(&host.identity.id)) {
            true => Reach::Held,
            false => Reach::Seen,
        }
    }

    fn note_silent(&mut self, view: &View, now: Millis) {
        let silent = |id: &HostId| view.get(id).is_some_and(|host| host.suspect);
        self.silent_since.retain(|id, _| silent(id));
        for host in view.hosts.iter().filter(|host| host.suspect) {
            self.silent_since.entry(host.identity.id.clone()).or_insert(now);
        }
    }
}
