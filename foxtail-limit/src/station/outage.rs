//! Going on while the store can't be reached: promises of the region's other hosts.

use std::collections::BTreeSet;

use foxtail_types::prelude::*;

use super::{Action, Op, OpId, Station};
use crate::msg::{Reply, Request};
use crate::{ShardId, Unreachable};

/// For how long hosts promise to leave a shard alone.
pub(super) const PROMISE: Millis = Millis(3_000);
/// Promises are asked for when less than this is left.
const ASK_BEFORE: Millis = Millis(1_500);
/// The pause between two rounds of asking.
const ROUND_EVERY: Millis = Millis(500);
/// How long a reply is waited for.
const ASK_TIMEOUT: Millis = Millis(400);

/// One round of asking all other hosts of the region.
#[derive(Debug)]
pub(super) struct Round {
    sent: Millis,
    shards: Vec<(ShardId, Epoch)>,
    waiting: BTreeSet<HostId>,
}

impl Station {
    /// Asks the region's other hosts for promises while the store does not renew the leases.
    pub(super) fn ask_to_withhold(&mut self, now: Millis, actions: &mut Vec<(OpId, Action)>) {
        let paused = self.round.as_ref().is_some_and(|round| now < round.sent + ROUND_EVERY);
        if paused || !self.store_silent || self.stopping {
            return;
        }
        let needy = |shard: &&ShardId| {
            self.leases.get(*shard).is_some_and(|lease| lease.until() < now + ASK_BEFORE)
        };
        let needy: Vec<&ShardId> = self.terms.keys().filter(needy).collect();
        let shards: Vec<_> =
            needy.iter().map(|shard| ((*shard).clone(), self.terms[*shard].epoch)).collect();
        let waiting: BTreeSet<HostId> = self.kin().cloned().collect();
        if shards.is_empty() || waiting.is_empty() {
            return;
        }
        self.round = Some(Round { sent: now, shards: shards.clone(), waiting: waiting.clone() });
        for to in waiting {
            let req = Request::Withhold { shards: shards.clone(), span: PROMISE };
            let op = Op::Withhold(now, to.clone());
            self.act(op, Action::Call { to, req, timeout: ASK_TIMEOUT }, actions);
        }
    }

    /// All must have promised: any of them could take over.
    pub(super) fn withhold_done(
        &mut self,
        sent: Millis,
        from: &HostId,
        reply: Result<Reply, Unreachable>,
    ) {
        let Some(round) = self.round.as_mut().filter(|round| round.sent == sent) else { return };
        if !matches!(reply, Ok(Reply::Withheld(true))) {
            return;
        }
        round.waiting.remove(from);
        if !round.waiting.is_empty() {
            return;
        }
        for (shard, epoch) in &round.shards {
            if let Some(term) = self.terms.get_mut(shard).filter(|term| term.epoch == *epoch) {
                term.promised_until = term.promised_until.max(sent + PROMISE);
            }
        }
    }
}
