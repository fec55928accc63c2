//! The state machine of configuration at one host.

use std::collections::VecDeque;
use std::sync::Arc;

use foxtail_config::Snapshot;
use foxtail_config::stage::{Reach, Stager};
use foxtail_types::prelude::*;

use crate::msg::{Answer, Change, Item, Whole};

/// How many changes are kept to answer pulls with.
const RECENT_MAX: usize = 128;

/// Configuration at one host. Versions only ever rise.
#[derive(Default)]
pub struct Core {
    stager: Option<Stager>,
    recent: VecDeque<Change>,
    longest_ticket: Millis,
}

/// What came of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// A newer version is held now.
    Newer,
    /// Nothing was new.
    Known,
    /// The changes do not follow on what is held: all of it is needed.
    Gap,
}

impl Core {
    /// The version held; 0 if there is none yet.
    pub fn held(&self) -> Version {
        self.stager.as_ref().map_or(Version(0), |stager| stager.target().version)
    }

    /// The newest configuration held.
    pub fn target(&self) -> Option<&Arc<Snapshot>> {
        self.stager.as_ref().map(Stager::target)
    }

    /// What to enforce now.
    pub fn in_force(&self) -> Option<&Arc<Snapshot>> {
        self.stager.as_ref().map(Stager::in_force)
    }

    /// How far the version held has got.
    pub fn reach(&self) -> Reach {
        self.stager.as_ref().map_or(Reach::Seen, Stager::reach)
    }

    /// The longest that a ticket can be in use that was granted since limits last settled.
    pub fn longest_ticket(&self) -> Millis {
        self.longest_ticket
    }

    /// Takes a whole configuration, with what the host it came from enforces of it, if known.
    pub fn take_whole(&mut self, whole: Arc<Snapshot>, in_force: Option<Arc<Snapshot>>) -> Taken {
        if whole.version <= self.held() {
            return Taken::Known;
        }
        self.recent.clear();
        self.longest_ticket = self.longest_ticket.max(longest_ticket(&whole));
        match (&mut self.stager, in_force) {
            (Some(stager), _) => stager.offer(whole),
            (None, Some(in_force)) => self.stager = Some(Stager::resume(whole, in_force)),
            (None, None) => self.stager = Some(Stager::new(whole)),
        }
        Taken::Newer
    }

    /// Takes changes in rising order; those held already are passed over.
    pub fn take_changes(&mut self, changes: &[Change]) -> Taken {
        let mut taken = Taken::Known;
        let held = self.held();
        for change in changes.iter().filter(|change| change.version > held) {
            match self.take_change(change) {
                Taken::Newer => taken = Taken::Newer,
                other => return other,
            }
        }
        taken
    }

    /// Takes in that the version held has got as far as `reach`. Tells whether what is in force
    /// changed.
    pub fn reached(&mut self, version: Version, reach: Reach) -> bool {
        let Some(stager) = &mut self.stager else { return false };
        let before = Arc::clone(stager.in_force());
        stager.reached(version, reach);
        if stager.reach() == Reach::Settled {
            self.longest_ticket = longest_ticket(stager.target());
        }
        !Arc::ptr_eq(&before, stager.in_force())
    }

    /// Answers a host that holds `held`.
    pub fn answer(&self, held: Version) -> Answer {
        let Some(stager) = self.stager.as_ref().filter(|_| held < self.held()) else {
            return Answer::Nothing { held: self.held() };
        };
        let follows = self.recent.front().is_some_and(|change| change.version <= held.next());
        if held > Version(0) && follows {
            let newer = self.recent.iter().filter(|change| change.version > held);
            return Answer::Changes(newer.cloned().collect());
        }
        let snapshot = Arc::clone(stager.target());
        Answer::Whole(Box::new(Whole { snapshot, in_force: Arc::clone(stager.in_force()) }))
    }

    fn take_change(&mut self, change: &Change) -> Taken {
        let held = self.held();
        let Some(stager) = self.stager.as_mut().filter(|_| change.version == held.next()) else {
            return Taken::Gap;
        };
        let new = applied(stager.target(), change);
        assert!(new.version > held, "a change leads to a higher version");
        self.longest_ticket = self.longest_ticket.max(longest_ticket(&new));
        stager.offer(Arc::new(new));
        self.recent.push_back(change.clone());
        if self.recent.len() > RECENT_MAX {
            self.recent.pop_front();
        }
        Taken::Newer
    }
}

/// `snapshot` with `change` applied.
pub fn applied(snapshot: &Snapshot, change: &Change) -> Snapshot {
    let mut new = Snapshot { version: change.version, ..snapshot.clone() };
    match &change.item {
        Item::Network(network) => new.network = Arc::clone(network),
        Item::Drains(drains) => new.drains = drains.clone(),
        Item::Workspace(workspace) => {
            let at = new.workspaces.binary_search_by(|known| known.id.cmp(&workspace.id));
            match at {
                Ok(at) => new.workspaces[at] = Arc::clone(workspace),
                Err(at) => new.workspaces.insert(at, Arc::clone(workspace)),
            }
        }
    }
    new
}

/// The longest that a ticket granted under `snapshot` can be in use.
fn longest_ticket(snapshot: &Snapshot) -> Millis {
    let services = snapshot.workspaces.iter().flat_map(|workspace| &workspace.services);
    services.map(|service| service.deadline_max).max().unwrap_or_default()
}
