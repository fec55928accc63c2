//! Tells an outage of the store from one that this host alone sees.
//!
//! The load that this answers: a host's calls to the store fail while the store serves other hosts and
//! the upstreams. Registrations that vanish at the end of an outage of the whole store may have lapsed
//! during it, and are kept for a while; those that vanish while the store worked for others belong to
//! upstreams that leave, and must get nothing more. That the store answered anybody shows that it works,
//! whether or not there was anything new. Time in which this host did not run shows nothing.

use std::collections::VecDeque;

use foxtail_types::prelude::*;

use crate::lapsed::LAPSED_GRACE;

/// Time in which the store answered neither this host nor another one after which registrations may have
/// lapsed. Upstreams renew theirs every 1.5 s, and they lapse after three such intervals without
/// success, so that a shorter outage lapses none.
const OUTAGE: Millis = Millis::secs(3);

/// Signs closer to each other than this are recorded as one, to bound the memory.
const RESOLUTION: Millis = Millis(100);

/// Most signs that are recorded; they cover a minute at least.
const MAX_RECORDED: usize = 600;

/// When the store answered this host or others, the oldest first. The first sign is the start of this host.
#[derive(Debug, Default)]
pub struct StoreNews(VecDeque<Sign>);

/// A time for which nothing speaks for an outage.
#[derive(Clone, Copy, Debug)]
struct Sign {
    from: Millis,
    to: Millis,
}

impl StoreNews {
    /// Records that the store answered this host or another one at `at`, or that this host starts.
    pub fn record(&mut self, at: Millis) {
        if self.0.back().is_none_or(|last| last.to + RESOLUTION <= at) {
            self.push(Sign { from: at, to: at });
        }
    }

    /// Records that this host did not run between `from` and `to`.
    pub fn record_suspension(&mut self, from: Millis, to: Millis) {
        let from = self.0.back().map_or(from, |last| last.to.max(from));
        self.push(Sign { from, to: to.max(from) });
    }

    fn push(&mut self, sign: Sign) {
        if self.0.len() == MAX_RECORDED {
            self.0.pop_front();
        }
        self.0.push_back(sign);
    }

    /// Returns when the last outage of the store ended, `now` if it may still last, or `None` if nothing
    /// speaks for one.
    pub fn outage_end(&self, now: Millis) -> Option<Millis> {
        let ends = self.0.iter().skip(1).map(|sign| sign.from).chain([now]);
        let silences = self.0.iter().zip(ends).filter(|(sign, end)| end.since(sign.to) >= OUTAGE);
        silences.last().map(|(_, end)| end)
    }

    /// Returns whether registrations that are missing `now` may have lapsed in an outage.
    pub fn may_have_lapsed(&self, now: Millis) -> bool {
        self.recent_outage_end(now).is_some()
    }

    /// Returns when the outage ended in which registrations that are missing `now` may have lapsed.
    pub fn recent_outage_end(&self, now: Millis) -> Option<Millis> {
        self.outage_end(now).filter(|end| now.since(*end) < LAPSED_GRACE)
    }

    /// Returns for how long the store is not known to have answered anybody.
    pub fn silence(&self, now: Millis) -> Millis {
        self.0.back().map_or(Millis::MAX, |last| now.since(last.to))
    }
}
