//! Reading, renewing and claiming lease rows.

use foxtail_platform::table::{self, Row, Txn, Write};
use foxtail_types::prelude::*;

use super::{Action, Op, OpId, Parts, Station};
use crate::ShardId;
use crate::drift::covering;
use crate::lease::{CANDIDATES, Claim, Written};
use crate::station::outage::PROMISE;

/// How often a host reads the rows of shards for which it is a candidate.
const WATCH_EVERY: Millis = Millis(500);
/// The pause before a row is read back after a write that may have failed.
pub(super) const READ_BACK_AFTER: Millis = Millis(50);
/// How often other hosts do.
const LOOK_EVERY: Millis = Millis(5_000);

impl Station {
    /// One read covers all rows of the region.
    pub(super) fn read(&mut self, now: Millis, actions: &mut Vec<(OpId, Action)>) {
        if self.reading || now < self.next_read || self.leases.is_empty() {
            return;
        }
        let candidate = self.leases.keys().any(|shard| self.rank(shard) < CANDIDATES);
        self.next_read = now + if candidate { WATCH_EVERY } else { LOOK_EVERY };
        self.reading = true;
        let shards: Vec<ShardId> = self.leases.keys().cloned().collect();
        let keys = shards.iter().map(ShardId::row_key).collect();
        self.act(Op::Read(shards), Action::Read { keys }, actions);
    }

    pub(super) fn read_done(
        &mut self,
        now: Millis,
        cx: Parts<'_>,
        shards: &[ShardId],
        rows: Result<Vec<Option<Row>>, table::Error>,
    ) {
        self.reading = false;
        self.store_silent = rows.is_err();
        for (shard, row) in shards.iter().zip(rows.unwrap_or_default()) {
            let Some(lease) = self.leases.get_mut(shard) else { continue };
            lease.observe(now, row.as_ref());
            if lease.epoch() >= cx.holder.epoch(shard) && lease.owner().is_some() {
                cx.holder.learn(shard, lease.owner().cloned());
            }
        }
    }

    /// All renewals of the host go in one transaction.
    pub(super) fn renew(&mut self, now: Millis, cx: Parts<'_>, actions: &mut Vec<(OpId, Action)>) {
        if self.renewing || !self.leases.values().any(|lease| lease.due(now)) {
            return;
        }
        let mut writes = Vec::new();
        for (shard, lease) in &mut self.leases {
            let term = self.terms.get(shard);
            if term.is_some_and(|term| term.leaving()) || (term.is_none() && self.retired) {
                continue;
            }
            let legacy = term.map_or(lease.legacy(), |term| term.legacy(shard, cx));
            if let Some(write) = lease.renewal(legacy) {
                lease.sent(now);
                writes.push((shard.clone(), write));
            }
        }
        if writes.is_empty() {
            return;
        }
        self.renewing = true;
        let txn = Txn { writes: writes.iter().map(|(_, write)| write.clone()).collect() };
        self.act(Op::Renew(writes), Action::Commit { txn }, actions);
    }

    pub(super) fn renew_done(
        &mut self,
        now: Millis,
        writes: Vec<(ShardId, Write)>,
        outcome: table::Outcome,
    ) {
        self.renewing = false;
        self.heard(&outcome);
        for (at, (shard, write)) in writes.iter().enumerate() {
            if let Some(lease) = self.leases.get_mut(shard) {
                lease.settle(now, written(&outcome, at), write);
            }
        }
        if !matches!(outcome, table::Outcome::Committed(_)) {
            self.next_read = self.next_read.min(now + READ_BACK_AFTER);
        }
    }

    /// Claims free shards, each in a transaction of its own, as any may be lost to another host.
    pub(super) fn claim(&mut self, now: Millis, actions: &mut Vec<(OpId, Action)>) {
        if self.retired || self.claiming() {
            return;
        }
        let young = now < self.started + covering(PROMISE);
        let mut claims = Vec::new();
        for (shard, lease) in &self.leases {
            let claim = lease.claimable(now, self.rank(shard));
            let claim = claim.filter(|claim| *claim != Claim::Lapsed || !young);
            if let Some((claim, write)) = claim.and_then(|claim| Some((claim, lease.claim(claim)?)))
            {
                claims.push((shard.clone(), claim, write));
            }
        }
        for (shard, claim, write) in claims {
            tracing::info!(event = "claim", %shard, ?claim);
            if let Some(lease) = self.leases.get_mut(&shard) {
                lease.sent(now);
                self.claimed.insert(shard.clone(), (lease.epoch().next(), claim));
            }
            let txn = Txn { writes: vec![write.clone()] };
            self.act(Op::Claim(shard, write), Action::Commit { txn }, actions);
        }
    }

    pub(super) fn claim_done(
        &mut self,
        now: Millis,
        shard: &ShardId,
        write: &Write,
        outcome: table::Outcome,
    ) {
        self.heard(&outcome);
        let Some(lease) = self.leases.get_mut(shard) else { return };
        lease.settle(now, written(&outcome, 0), write);
        if !matches!(outcome, table::Outcome::Committed(_)) {
            self.next_read = self.next_read.min(now + READ_BACK_AFTER);
        }
    }

    /// This host's place among the live hosts of the region, in the order for `shard`.
    pub(super) fn rank(&self, shard: &ShardId) -> usize {
        let hosts = self.live_kin().chain([&self.me.host]);
        let ranked = shard.rank(hosts);
        ranked.iter().position(|host| **host == self.me.host).unwrap_or(usize::MAX)
    }

    pub(super) fn heard(&mut self, outcome: &table::Outcome) {
        let answered =
            matches!(outcome, table::Outcome::Committed(_) | table::Outcome::Conflict { .. });
        self.store_silent = !answered;
    }
}

/// What `outcome` means for the write number `at` of the transaction.
pub(super) fn written(outcome: &table::Outcome, at: usize) -> Written {
    match outcome {
        table::Outcome::Committed(versions) => {
            versions.get(at).map_or(Written::Unknown, |version| Written::Committed(*version))
        }
        table::Outcome::Conflict { at: lost, found } if *lost == at => {
            Written::Conflict(found.clone())
        }
        table::Outcome::Conflict { .. } | table::Outcome::Failed(_) => Written::Failed,
        table::Outcome::Ambiguous(_) => Written::Unknown,
    }
}
