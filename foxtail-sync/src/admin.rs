//! What operators can do to the configuration, at any host.
//!
//! Every change is one transaction on the head row. An ambiguous reply is settled by committing
//! the same transaction again and, if that conflicts, reading back whose change took the version.

mod commit;
mod drains;
mod error;
mod input;
mod network;
mod workspaces;

use std::sync::Arc;

use foxtail_member::Member;
use foxtail_platform::Table;
use foxtail_types::prelude::*;

pub use error::{Conflict, Error};
pub use input::{Accepted, HistoryEntry, InForce, Input, Planned, Shown};

use crate::Spread;
use crate::peers::Roster;

/// Operators' changes, at one host.
pub struct Admin {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    roster: Arc<dyn Roster>,
    spread: Arc<Spread>,
}

impl Admin {
    /// Takes changes to `table` and hands accepted ones to `spread`.
    pub fn new(
        table: Arc<dyn Table>,
        clock: Arc<dyn Clock>,
        roster: Arc<dyn Roster>,
        spread: Arc<Spread>,
    ) -> Self {
        Self { table, clock, roster, spread }
    }

    /// Where `version` is in force, as this host knows. A host that said that it leaves and fell
    /// silent has stopped, and does not count.
    pub fn in_force(&self, version: Version) -> InForce {
        let view = self.roster.view();
        let held = self.spread.held();
        let mut out = InForce { version, ..InForce::default() };
        let stopped = |host: &&Member| host.suspect && host.leaving;
        for host in view.hosts.iter().filter(|host| !stopped(host)) {
            let id = host.identity.id.clone();
            let theirs = if id == view.me { held } else { host.status.version };
            match (theirs >= version, host.suspect) {
                (true, _) => out.held += 1,
                (false, false) => out.missing.push(id),
                (false, true) => out.unreachable.push(id),
            }
        }
        let (held, reach) = self.spread.reach();
        out.limits_raised = held >= version && reach > foxtail_config::stage::Reach::Seen;
        out
    }
}
