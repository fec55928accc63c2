//! Messages between hosts about configuration.

use std::sync::Arc;

use foxtail_config::{Drain, Network, Snapshot, Workspace};
use foxtail_types::prelude::*;

/// One accepted change: what raised the global version by one.
#[value]
pub struct Change {
    /// The global version that it made.
    pub version: Version,
    /// When it was accepted, since the Unix epoch.
    pub at: Millis,
    /// Who made it.
    pub operator: String,
    /// The attempt's own token, by which a writer whose reply was lost knows its change.
    pub token: u64,
    /// What it set.
    pub item: Item,
}

/// What a change sets, whole.
#[value]
pub enum Item {
    /// The network.
    Network(Arc<Network>),
    /// One workspace.
    Workspace(Arc<Workspace>),
    /// All drains.
    Drains(Vec<Drain>),
}

/// What one host asks of another.
#[value]
pub enum Ask {
    /// The changes after the version held, if any.
    Pull {
        /// The version held.
        held: Version,
    },
    /// To pull from the sender, which holds a new version.
    Offer {
        /// The sender.
        from: HostId,
        /// The version it holds.
        version: Version,
    },
}

/// The answer to an [`Ask`].
#[value]
pub enum Answer {
    /// Nothing newer is held here.
    Nothing {
        /// The version held here.
        held: Version,
    },
    /// The changes after the version asked from, in order.
    Changes(Vec<Change>),
    /// All of it.
    Whole(Box<Whole>),
}

/// A configuration with what is enforced of it.
#[value]
pub struct Whole {
    /// The configuration.
    pub snapshot: Arc<Snapshot>,
    /// What the answering host enforces while its limits are still being raised.
    pub in_force: Arc<Snapshot>,
}
