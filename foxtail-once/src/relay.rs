//! Writes of many hosts gathered at one.
//!
//! One host alone has too few requests to fill transactions. A relay gathers the writes of its
//! peers with its own. Any host may be a relay for any write, and two relays cost only
//! transactions: a write is made safe by its precondition and its token, not by who commits it.
//!
//! The way over the relay costs a hop and the wait for company. While a host makes few claims, it
//! commits them itself; the ends of attempts, for which nobody waits, always go to the relay.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_types::prelude::*;
use parking_lot::{Mutex, RwLock};
use xxhash_rust::xxh3::xxh3_64;

use crate::commit::{Commit, Done, Entry, Pace, Sent, Urgency};

/// How long a peer may take before the write is committed by this host itself.
const PEER_TIMEOUT: Millis = Millis(2_000);

/// How long a relay that did not answer is passed by.
const AVOID: Millis = Millis(3_000);

/// How many transactions a host may start at once after a quiet time.
const BURST: u32 = 4;

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

/// What the store takes from all hosts together for claims and their ends.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Transactions a second of hosts that commit their claims themselves.
    pub direct_per_s: u32,
    /// Transactions a second of the relays.
    pub gathered_per_s: u32,
}

/// One host's part of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// For [`Relay::set_direct`].
    pub direct_per_s: u32,
    /// The pace of the host's committer, in transactions a second.
    pub pace_per_s: u32,
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
    clock: Arc<dyn Clock>,
    target: RwLock<Option<HostId>>,
    claims: Mutex<Meter>,
    /// Until when the relay is passed by, as it did not answer.
    avoided: Mutex<Millis>,
}

/// Counts events over the last second or so.
struct Meter {
    limit_per_s: u32,
    second: u64,
    before: u32,
    current: u32,
}

impl Relay {
    /// Commits through `own` until a target is set.
    pub fn new(peers: Arc<dyn Peers>, own: Arc<dyn Commit>, clock: Arc<dyn Clock>) -> Arc<Self> {
        let claims = Mutex::new(Meter { limit_per_s: 0, second: 0, before: 0, current: 0 });
        Arc::new(Self {
            peers,
            own,
            clock,
            target: RwLock::new(None),
            claims,
            avoided: Mutex::default(),
        })
    }

    /// Up to how many claims a second this host commits its claims itself. A share of the fleet's
    /// budget: what is granted here to all hosts together must be less than the store takes.
    pub fn set_direct(&self, claims_per_s: u32) {
        self.claims.lock().limit_per_s = claims_per_s;
    }

    /// Sets the relay; `None` to commit without one.
    pub fn set_target(&self, target: Option<HostId>) {
        *self.target.write() = target;
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self { direct_per_s: 240, gathered_per_s: 90 }
    }
}

impl Budget {
    /// The part of one of `hosts`, which is one of the `relays` or not.
    pub fn part(&self, hosts: usize, relays: usize, is_relay: bool) -> Part {
        let share = |of: u32, among: usize| of / u32::try_from(among.max(1)).unwrap_or(u32::MAX);
        let direct_per_s = share(self.direct_per_s, hosts);
        let gathered = if is_relay { share(self.gathered_per_s, relays) } else { 0 };
        Part { direct_per_s, pace_per_s: direct_per_s.max(gathered).max(1) }
    }
}

impl Part {
    /// The pace for [`Group::set_pace`](crate::Group::set_pace).
    pub fn pace(&self) -> Pace {
        Pace { per_s: self.pace_per_s, burst: BURST }
    }
}

impl Meter {
    /// Counts one event; whether there are no more than the limit.
    fn count(&mut self, now: Millis) -> bool {
        let (second, part) = (now.0 / 1_000, now.0 % 1_000);
        if second != self.second {
            self.before = if second == self.second + 1 { self.current } else { 0 };
            self.current = 0;
            self.second = second;
        }
        self.current += 1;
        let before = u64::from(self.before) * (1_000 - part) / 1_000;
        before + u64::from(self.current) <= u64::from(self.limit_per_s)
    }
}

#[async_trait]
impl Commit for Relay {
    async fn commit(&self, entry: Entry) -> Done {
        let claim = entry.urgency == Urgency::Now;
        let now = self.clock.now();
        let direct = claim && self.claims.lock().count(now) || now < *self.avoided.lock();
        let target = self.target.read().clone().filter(|_| !direct);
        let Some(target) = target else { return self.own.commit(entry).await };
        entry.sent.set(true);
        let Entry { write, born, urgency, .. } = entry.clone();
        let relayed = msg::Relayed { write, born, urgency };
        match self.peers.commit(&target, relayed, PEER_TIMEOUT).await {
            Some(done) => {
                entry.sent.set(matches!(done, Done::Committed(_)));
                done
            }
            None => {
                *self.avoided.lock() = self.clock.now() + AVOID;
                self.own.commit(entry).await
            }
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
    hosts.into_iter().max_by_key(|host| (xxh3_64(host.as_str().as_bytes()), *host))
}
