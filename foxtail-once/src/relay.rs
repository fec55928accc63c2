//! Writes of many hosts gathered at one.
//!
//! One host alone has too few requests to fill transactions. A relay gathers the writes of its
//! peers with its own. Any host may be a relay for any write, and two relays cost only
//! transactions: a write is made safe by its precondition and its token, not by who commits it.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_types::prelude::*;
use parking_lot::RwLock;

use crate::commit::{Commit, Done, Entry, Sent};

/// How long a peer may take before the write is committed by this host itself.
const PEER_TIMEOUT: Millis = Millis(2_000);

/// Messages between hosts.
pub mod msg {
    use foxtail_platform::table::Write;
    use foxtail_types::prelude::*;

    use crate::commit::Urgency;

    /// A write to be committed for a peer.
    #[value]
    pub struct Relayed {
        /// The write.
        pub write: Write,
        /// For a claim: the birth of its key.
        pub born: Option<Millis>,
        /// Whether it may wait for company.
        pub urgency: Urgency,
    }
}

/// Sends writes to another host.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Has `to` commit the write with [`serve`]; `None` if there was no answer.
    async fn commit(&self, to: &HostId, relayed: msg::Relayed, timeout: Millis) -> Option<Done>;
}

/// Commits through the relay, or by itself if there is none or it does not answer.
pub struct Relay {
    peers: Arc<dyn Peers>,
    own: Arc<dyn Commit>,
    target: RwLock<Option<HostId>>,
}

impl Relay {
    /// Commits through `own` until a target is set.
    pub fn new(peers: Arc<dyn Peers>, own: Arc<dyn Commit>) -> Arc<Self> {
        Arc::new(Self { peers, own, target: RwLock::new(None) })
    }

    /// Sets the relay; `None` to commit without one.
    pub fn set_target(&self, target: Option<HostId>) {
        *self.target.write() = target;
    }
}

#[async_trait]
impl Commit for Relay {
    async fn commit(&self, entry: Entry) -> Done {
        let Some(target) = self.target.read().clone() else { return self.own.commit(entry).await };
        entry.sent.set(true);
        let Entry { write, born, urgency, .. } = entry.clone();
        let relayed = msg::Relayed { write, born, urgency };
        match self.peers.commit(&target, relayed, PEER_TIMEOUT).await {
            Some(done) => {
                entry.sent.set(matches!(done, Done::Committed(_)));
                done
            }
            None => self.own.commit(entry).await,
        }
    }
}

/// Commits a peer's write through this host's own committer.
pub async fn serve(own: &dyn Commit, relayed: msg::Relayed) -> Done {
    let msg::Relayed { write, born, urgency } = relayed;
    own.commit(Entry { write, born, urgency, sent: Sent::default() }).await
}

/// The relay among `hosts`: the same on every host that sees the same hosts, and seldom another
/// when they change.
pub fn choose<'a>(hosts: impl IntoIterator<Item = &'a HostId>) -> Option<&'a HostId> {
    hosts.into_iter().max_by_key(|host| (weight(host.as_str()), *host))
}

/// FNV-1a, which is the same on every host and in every release.
fn weight(name: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    name.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
