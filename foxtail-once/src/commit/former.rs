//! When the next transaction starts, and with which writes.

use std::collections::{HashSet, VecDeque};

use foxtail_types::prelude::*;

use super::batch::Item;
use super::{Options, Urgency};

/// Thousandths of a transaction, the unit of the pace's bucket.
const MILLI: u64 = 1_000;

/// From how many waiting writes on those are dropped that nobody waits for any more.
const ABANDONED_CHECK: usize = 1_024;

/// The pace at which transactions start: a token bucket. With tokens left, a write starts at once;
/// without, writes gather until the next token, so that transactions grow with the load.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Transactions a second.
    pub per_s: u32,
    /// How many may start at once after a quiet time.
    pub burst: u32,
}

/// Forms transactions from waiting writes.
pub(super) struct Former {
    options: Options,
    urgent: VecDeque<Item>,
    relaxed: VecDeque<(Millis, Item)>,
    left_milli: u64,
    filled: Millis,
}

impl Former {
    pub(super) fn new(options: Options, now: Millis) -> Self {
        let left_milli = u64::from(options.pace.burst) * MILLI;
        Self { options, urgent: VecDeque::new(), relaxed: VecDeque::new(), left_milli, filled: now }
    }

    pub(super) fn set_pace(&mut self, pace: Pace, now: Millis) {
        self.fill(now);
        self.options.pace = pace;
    }

    pub(super) fn push(&mut self, item: Item, now: Millis) {
        if self.urgent.len() >= ABANDONED_CHECK && self.urgent.len().is_power_of_two() {
            self.urgent.retain(|item| !item.reply.is_closed());
        }
        match item.entry.urgency {
            Urgency::Now => self.urgent.push_back(item),
            Urgency::Soon => self.relaxed.push_back((now, item)),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.relaxed.is_empty()
    }

    /// When the next transaction may start, if any write waits.
    pub(super) fn due(&self, draining: bool) -> Option<Millis> {
        let wanted = match (self.urgent.is_empty(), self.relaxed.front()) {
            (false, _) => Millis::ZERO,
            (true, Some(_)) if draining => Millis::ZERO,
            (true, Some((since, _))) => *since + self.options.company,
            (true, None) => return None,
        };
        let lacking = MILLI.saturating_sub(self.left_milli);
        let paid =
            self.filled + Millis(lacking.div_ceil(u64::from(self.options.pace.per_s.max(1))));
        Some(wanted.max(paid))
    }

    /// The writes of the next transaction, if it may start now. No key stands twice in it.
    pub(super) fn take(&mut self, now: Millis, draining: bool) -> Option<Vec<Item>> {
        self.fill(now);
        if self.due(draining)? > now {
            return None;
        }
        self.left_milli -= MILLI;
        let mut batch = Vec::new();
        let mut keys = HashSet::new();
        let mut later = VecDeque::new();
        while let Some(item) = self.next(batch.len()) {
            match keys.insert(item.entry.write.key.clone()) {
                true => batch.push(item),
                false => later.push_back(item),
            }
        }
        for item in later.into_iter().rev() {
            self.urgent.push_front(item);
        }
        Some(batch)
    }

    fn next(&mut self, taken: usize) -> Option<Item> {
        if taken >= self.options.rows_max {
            return None;
        }
        self.urgent.pop_front().or_else(|| self.relaxed.pop_front().map(|(_, item)| item))
    }

    fn fill(&mut self, now: Millis) {
        let pace = self.options.pace;
        let gained = now.since(self.filled).0.saturating_mul(u64::from(pace.per_s));
        let full = u64::from(pace.burst.max(1)) * MILLI;
        self.left_milli = self.left_milli.saturating_add(gained).min(full);
        self.filled = self.filled.max(now);
    }
}
