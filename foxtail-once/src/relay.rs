//! Gathers the writes of many hosts at one host, the relay.
//!
//! A single host has too few requests to fill transactions, so a relay gathers the writes of its
//! peers with its own. Any host may relay any write, and two relays at once only cost more
//! transactions: a write is safe because of its precondition and its token, whoever commits it.
//!
//! A relayed write costs one network hop and the wait for other writes. While a host makes few
//! claims, it commits them itself. The final records of attempts, for which no caller waits, always
//! go to the relay.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_types::prelude::*;
use parking_lot::{Mutex, RwLock};
use xxhash_rust::xxh3::xxh3_64;

use crate::commit::{Commit, CommitOutcome, PossiblyApplied, TxnRate, Urgency, WriteRequest};

/// Timeout of a call to the relay, after which this host commits the write itself.
const PEER_TIMEOUT: Millis = Millis(2_000);

/// How long a relay that did not answer is bypassed.
const UNRESPONSIVE_RELAY_BYPASS: Millis = Millis(3_000);

/// Number of transactions that a host may start at once after an idle time.
const TXN_BURST: u32 = 4;

/// Messages between hosts.
pub mod msg {
    use foxtail_platform::table::Write;
    use foxtail_types::prelude::*;

    use crate::commit::Urgency;

    /// A write that a peer is to commit.
    #[value]
    pub struct RelayedWrite {
        /// The write.
        pub write: Write,
        /// For a claim: the creation time of its key.
        #[serde(rename = "born")]
        pub key_created_at: Option<Millis>,
        /// Whether the write may wait to share a transaction.
        pub urgency: Urgency,
    }
}

/// Rate of transactions that all hosts together may send to the store for claims and the final
/// records of attempts.
#[derive(Clone, Copy, Debug)]
pub struct FleetBudget {
    /// Transactions per second of all hosts that commit their claims themselves.
    pub direct_per_s: u32,
    /// Transactions per second of all relays.
    pub relayed_per_s: u32,
}

/// One host's share of a [`FleetBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostShare {
    /// Argument of [`RelayClient::set_direct_limit`]: claims per second that the host commits
    /// itself.
    pub direct_claims_per_s: u32,
    /// Rate of the host's committer, in transactions per second.
    pub txns_per_s: u32,
}

/// Sends writes to other hosts.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Sends the write to the host `to`, which commits it with [`commit_for_peer`]. Returns `None`
    /// if there is no answer within `timeout`.
    async fn commit(
        &self,
        to: &HostId,
        relayed: msg::RelayedWrite,
        timeout: Millis,
    ) -> Option<CommitOutcome>;
}

/// Commits writes through the relay, or locally if there is no relay or it does not answer.
pub struct RelayClient {
    peers: Arc<dyn Peers>,
    local: Arc<dyn Commit>,
    clock: Arc<dyn Clock>,
    target: RwLock<Option<HostId>>,
    claim_meter: Mutex<RateMeter>,
    /// Time until which the relay is bypassed because it did not answer.
    bypass_until: Mutex<Millis>,
}

/// Estimates the number of events in the last 1,000 ms: the count of the current clock second plus
/// the count of the previous one, weighted by the part of it that lies in the last 1,000 ms.
struct RateMeter {
    limit_per_s: u32,
    second: u64,
    previous: u32,
    current: u32,
}

impl RelayClient {
    /// Creates a relay client that commits through `local` until a target is set.
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

    /// Sets the number of claims per second up to which this host commits its claims itself. It is
    /// a share of the budget of the fleet: the sum over all hosts must be less than the store
    /// accepts.
    pub fn set_direct_limit(&self, claims_per_s: u32) {
        self.claim_meter.lock().limit_per_s = claims_per_s;
    }

    /// Sets the host that relays writes; `None` commits all writes locally.
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
    /// Returns the share of one of `hosts` hosts, of which `relays` are relays. `is_relay` states
    /// whether this host is one of the relays.
    pub fn host_share(&self, hosts: usize, relays: usize, is_relay: bool) -> HostShare {
        let share =
            |total: u32, among: usize| total / u32::try_from(among.max(1)).unwrap_or(u32::MAX);
        let direct_claims_per_s = share(self.direct_per_s, hosts);
        let relayed_per_s = if is_relay { share(self.relayed_per_s, relays) } else { 0 };
        HostShare { direct_claims_per_s, txns_per_s: direct_claims_per_s.max(relayed_per_s).max(1) }
    }
}

impl HostShare {
    /// Returns the rate for [`GroupCommitter::set_txn_rate`](crate::GroupCommitter::set_txn_rate).
    pub fn txn_rate(&self) -> TxnRate {
        TxnRate { per_s: self.txns_per_s, burst: TXN_BURST }
    }
}

impl RateMeter {
    /// Counts one event and returns whether the rate is within the limit.
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
impl Commit for RelayClient {
    async fn commit(&self, req: WriteRequest) -> CommitOutcome {
        let is_claim = req.urgency == Urgency::Now;
        let now = self.clock.now();
        let direct =
            is_claim && self.claim_meter.lock().count(now) || now < *self.bypass_until.lock();
        let target = self.target.read().clone().filter(|_| !direct);
        let Some(target) = target else { return self.local.commit(req).await };
        req.possibly_applied.set(true);
        let WriteRequest { write, key_created_at, urgency, .. } = req.clone();
        let relayed = msg::RelayedWrite { write, key_created_at, urgency };
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
    let msg::RelayedWrite { write, key_created_at, urgency } = relayed;
    local
        .commit(WriteRequest {
            write,
            key_created_at,
            urgency,
            possibly_applied: PossiblyApplied::default(),
        })
        .await
}

/// Chooses the relay among `hosts`. Every host that sees the same hosts chooses the same relay, and
/// a change of the hosts rarely changes it (rendezvous hashing).
pub fn choose_relay<'a>(hosts: impl IntoIterator<Item = &'a HostId>) -> Option<&'a HostId> {
    hosts.into_iter().max_by_key(|host| (xxh3_64(host.as_str().as_bytes()), *host))
}
