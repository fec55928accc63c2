//! Decides when the next transaction starts and which writes it contains.

use std::collections::{HashSet, VecDeque};

use foxtail_types::prelude::*;

use super::batch::PendingWrite;
use super::{Options, Urgency};

/// Milli-tokens per transaction in the token bucket.
const MILLI_TOKENS_PER_TXN: u64 = 1_000;

/// Minimum number of waiting urgent writes at which the queue is searched for writes whose caller
/// has stopped waiting. The search runs when the number is a power of two.
const ABANDONED_CHECK_MIN_WRITES: usize = 1_024;

/// Token bucket for starting transactions. With tokens left, a write starts at once; without,
/// writes gather until the next token, so that transactions grow with the load.
#[derive(Clone, Copy, Debug)]
pub struct TxnRate {
    /// Transactions per second.
    pub per_s: u32,
    /// Number of transactions that may start at once after an idle time.
    pub burst: u32,
}

/// Forms transactions from waiting writes.
pub(super) struct BatchScheduler {
    options: Options,
    urgent: VecDeque<PendingWrite>,
    deferrable: VecDeque<(Millis, PendingWrite)>,
    tokens_milli: u64,
    refilled_at: Millis,
}

impl BatchScheduler {
    pub(super) fn new(options: Options, now: Millis) -> Self {
        let tokens_milli = u64::from(options.txn_rate.burst) * MILLI_TOKENS_PER_TXN;
        Self {
            options,
            urgent: VecDeque::new(),
            deferrable: VecDeque::new(),
            tokens_milli,
            refilled_at: now,
        }
    }

    pub(super) fn set_txn_rate(&mut self, txn_rate: TxnRate, now: Millis) {
        self.refill(now);
        self.options.txn_rate = txn_rate;
    }

    pub(super) fn push(&mut self, item: PendingWrite, now: Millis) {
        if self.urgent.len() >= ABANDONED_CHECK_MIN_WRITES && self.urgent.len().is_power_of_two() {
            self.urgent.retain(|item| !item.reply.is_closed());
        }
        match item.req.urgency {
            Urgency::Now => self.urgent.push_back(item),
            Urgency::Soon => self.deferrable.push_back((now, item)),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.deferrable.is_empty()
    }

    /// Returns when the next transaction may start, or `None` if no write waits.
    pub(super) fn next_start(&self, draining: bool) -> Option<Millis> {
        let wanted_at = match (self.urgent.is_empty(), self.deferrable.front()) {
            (false, _) => Millis::ZERO,
            (true, Some(_)) if draining => Millis::ZERO,
            (true, Some((since, _))) => *since + self.options.gather_delay,
            (true, None) => return None,
        };
        let lacking_milli = MILLI_TOKENS_PER_TXN.saturating_sub(self.tokens_milli);
        let token_at = self.refilled_at
            + Millis(lacking_milli.div_ceil(u64::from(self.options.txn_rate.per_s.max(1))));
        Some(wanted_at.max(token_at))
    }

    /// Returns the writes of the next transaction if it may start now. No two of them have the same
    /// key.
    pub(super) fn take_batch(&mut self, now: Millis, draining: bool) -> Option<Vec<PendingWrite>> {
        self.refill(now);
        if self.next_start(draining)? > now {
            return None;
        }
        self.tokens_milli -= MILLI_TOKENS_PER_TXN;
        let mut batch = Vec::new();
        let mut keys = HashSet::new();
        let mut duplicates = VecDeque::new();
        while let Some(item) = self.pop(batch.len()) {
            match keys.insert(item.req.write.key.clone()) {
                true => batch.push(item),
                false => duplicates.push_back(item),
            }
        }
        for item in duplicates.into_iter().rev() {
            self.urgent.push_front(item);
        }
        Some(batch)
    }

    fn pop(&mut self, batch_len: usize) -> Option<PendingWrite> {
        if batch_len >= self.options.max_rows {
            return None;
        }
        self.urgent.pop_front().or_else(|| self.deferrable.pop_front().map(|(_, item)| item))
    }

    fn refill(&mut self, now: Millis) {
        let txn_rate = self.options.txn_rate;
        let gained_milli = now.since(self.refilled_at).0.saturating_mul(u64::from(txn_rate.per_s));
        let capacity_milli = u64::from(txn_rate.burst.max(1)) * MILLI_TOKENS_PER_TXN;
        self.tokens_milli = self.tokens_milli.saturating_add(gained_milli).min(capacity_milli);
        self.refilled_at = self.refilled_at.max(now);
    }
}
