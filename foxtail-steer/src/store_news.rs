//! Tells an outage of the store from one that this host alone sees.
//!
//! The load that this answers: a host's calls to the store fail while the store serves other hosts and
//! the upstreams. Registrations that vanish at the end of an outage of the whole store may have lapsed
//! during it, and are kept for a while; those that vanish while the store worked for others belong to
//! upstreams that leave, and must get nothing more. Other hosts that go on telling of changes show that
//! the store works.

use std::collections::VecDeque;

use foxtail_types::prelude::*;

/// Time without any contact with the store, by this host or another one, after which registrations may
/// have lapsed. Upstreams renew theirs every 1.5 s, and they lapse after three such intervals without
/// success, so that a shorter outage lapses none.
const OUTAGE: Millis = Millis::secs(3);

/// Changes closer to each other than this are recorded as one, to bound the memory.
const RESOLUTION: Millis = Millis(100);

/// Most changes that are recorded; they cover a minute at least.
const MAX_RECORDED: usize = 600;

/// When other hosts told of changes in the store, the oldest first.
#[derive(Debug, Default)]
pub struct StoreNews(VecDeque<Millis>);

impl StoreNews {
    /// Records that another host told of a change that this host did not know.
    pub fn record(&mut self, now: Millis) {
        if self.0.back().is_some_and(|last| now.since(*last) < RESOLUTION) {
            return;
        }
        if self.0.len() == MAX_RECORDED {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Returns whether the store may have been out for all between `last_contact`, when it last answered
    /// this host, and `now`, when it does again.
    pub fn may_have_been_out(&self, last_contact: Millis, now: Millis) -> bool {
        self.longest_silence(last_contact, now) >= OUTAGE
    }

    /// Returns the longest time between `last_contact` and `now` in which no other host told of a change.
    pub fn longest_silence(&self, last_contact: Millis, now: Millis) -> Millis {
        let news = self.0.iter().copied().filter(|at| (last_contact..=now).contains(at));
        let (mut previous, mut longest) = (last_contact, Millis::ZERO);
        for at in news.chain([now]) {
            longest = longest.max(at.since(previous));
            previous = at;
        }
        longest
    }
}
