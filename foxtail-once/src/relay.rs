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

use crate::commit::{Commit, CommitOutcome, PossiblyApplied, TxnRate, Urgency, WriteRequest};

/// How long a peer may take before the write is committed by this host itself.
const PEER_TIMEOUT: Millis = Millis(2_000);

/// How long a relay that did not answer is passed by.
const UNRESPONSIVE_RELAY_BYPASS: Millis = Millis(3_000);

/// How many transactions a host may start at once after a quiet time.
const TXN_BURST: u32 = 4;

/// Messages between hosts.
pub mod msg {
    use foxtail_platform::table::Write;
    use foxtail_types::prelude::*;

    use crate::commit::Urgency;

    /// A write to be committed for a peer.
    #[value]
    pub struct RelayedWrite {
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
pub struct FleetBudget {
    /// Transactions a second of hosts that commit their claims themselves.
    pub direct_per_s: u32,
    /// Transactions a second of the relays.
    pub relayed_per_s: u32,
}

/// One host's part of a [`FleetBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostShare {
    /// For [`Relay::set_direct_limit`].
    pub direct_per_s: u32,
    /// The pace of the host's committer, in transactions a second.
    pub txns_per_s: u32,
}

/// Sends writes to another host.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Has `to` commit the write with [`commit_for_peer`]; `None` if there was no answer.
    async fn commit(
        &self,
        to: &HostId,
        relayed: msg::RelayedWrite,
        timeout: Millis,
    ) -> Option<CommitOutcome>;
}

/// Commits through the relay, or by itself if there is none or it does not answer.
pub struct Relay {
    peers: Arc<dyn Peers>,
    local: Arc<dyn Commit>,
    clock: Arc<dyn Clock>,
    target: RwLock<Option<HostId>>,
    claim_meter: Mutex<RateMeter>,
    /// Until when the relay is passed by, as it did not answer.
    bypass_until: Mutex<Millis>,
}

/// Counts events over the last second or so.
struct RateMeter {
    limit_per_s: u32,
    second: u64,
    previous: u32,
    current: u32,
}

impl Relay {
    /// Commits through `local` until a target is set.
    pub fn new(peers: Arc<dyn Peers>, local: Arc<dyn Commit>, clock: Arc<dyn Clock>) -> Arc<Self> {
        let claim_meter =
            Mutex::new(RateMeter { limit_per_s: 0, second: 0, previous: 0, current: 0 });
        Arc::new(Self {
            peers,
            local,
            clock,
            target: RwLock::new(None),
            claim_meter,
            bypass_until: Mutex::default(),
        })
    }

    /// Up to how many claims a second this host commits its claims itself. A share of the fleet's
    /// budget: what is granted here to all hosts together must be less than the store takes.
    pub fn set_direct_limit(&self, claims_per_s: u32) {
        self.claim_meter.lock().limit_per_s = claims_per_s;
    }

    /// Sets the relay; `None` to commit without one.
    pub fn set_target(&self, target: Option<HostId>) {
        *self.target.write() = target;
    }
}

impl Default for FleetBudget {
    fn default() -> Self {
        Self { direct_per_s: 240, relayed_per_s: 90 }
    }
}

impl FleetBudget {
    /// The part of one of `hosts`, which is one of the `relays` or not.
    pub fn host_share(&self, hosts: usize, relays: usize, is_relay: bool) -> HostShare {
        let share =
            |total: u32, among: usize| total / u32::try_from(among.max(1)).unwrap_or(u32::MAX);
        let direct_per_s = share(self.direct_per_s, hosts);
        let relayed_per_s = if is_relay { share(self.relayed_per_s, relays) } else { 0 };
        HostShare { direct_per_s, txns_per_s: direct_per_s.max(relayed_per_s).max(1) }
    }
}

impl HostShare {
    /// The pace for [`GroupCommitter::set_txn_rate`](crate::GroupCommitter::set_txn_rate).
    pub fn txn_rate(&self) -> TxnRate {
        TxnRate { per_s: self.txns_per_s, burst: TXN_BURST }
    }
}

impl RateMeter {
    /// Counts one event; whether there are no more than the limit.
    fn count(&mut self, now: Millis) -> bool {
        let (second, ms_of_second) = (now.0 / 1_000, now.0 % 1_000);
        if second != self.second {
            self.previous = if second == self.second + 1 { self.current } else { 0 };
            self.current = 0;
            self.second = second;
        }
        self.current += 1;
        let previous = u64::from(self.previous) * (1_000 - ms_of_second) / 1_000;
        previous + u64::from(self.current) <= u64::from(self.limit_per_s)
    }
}

#[async_trait]
impl Commit for Relay {
    async fn commit(&self, req: WriteRequest) -> CommitOutcome {
        let is_claim = req.urgency == Urgency::Now;
        let now = self.clock.now();
        let direct =
            is_claim && self.claim_meter.lock().count(now) || now < *self.bypass_until.lock();
        let target = self.target.read().clone().filter(|_| !direct);
        let Some(target) = target else { return self.local.commit(req).await };
        req.possibly_applied.set(true);
        let WriteRequest { write, born, urgency, .. } = req.clone();
        let relayed = msg::RelayedWrite { write, born, urgency };
        match self.peers.commit(&target, relayed, PEER_TIMEOUT).await {
            Some(outcome) => {
                req.possibly_applied.set(matches!(outcome, CommitOutcome::Committed(_)));
                outcome
            }
            None => {
                *self.bypass_until.lock() = self.clock.now() + UNRESPONSIVE_RELAY_BYPASS;
                self.local.commit(req).await
            }
        }
    }
}

/// Commits a peer's write through this host's own committer.
pub async fn commit_for_peer(local: &dyn Commit, relayed: msg::RelayedWrite) -> CommitOutcome {
    let msg::RelayedWrite { write, born, urgency } = relayed;
    local
        .commit(WriteRequest { write, born, urgency, possibly_applied: PossiblyApplied::default() })
        .await
}

/// The relay among `hosts`: the same on every host that sees the same hosts, and seldom another
/// when they change.
pub fn choose_relay<'a>(hosts: impl IntoIterator<Item = &'a HostId>) -> Option<&'a HostId> {
    hosts.into_iter().max_by_key(|host| (xxh3_64(host.as_str().as_bytes()), *host))
}
