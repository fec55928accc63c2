//! Divides the requests that an upstream with a limit takes among the hosts.
//!
//! The load that this answers: an upstream in need takes one or two requests per second from all
//! hosts together, while dozens of hosts have requests for it. Hosts can't ask each other before
//! each request, and an equal share for each host would be one request in a minute. So a few entry
//! hosts of the upstream's region send to it, and all others do not. They are selected by rendezvous
//! hashing, so that hosts with the same view of the fleet agree on them.
//!
//! Views differ while hosts start, stop, freeze or are cut off. What bounds the sum then:
//!
//! - A host sends only while it hears more than half of its region and is heard itself
//!   ([`Fleet::in_contact`]). Of a region that is split, at most one part sends.
//! - A host that becomes a sender waits for [`TAKEOVER_DELAY`]. By then a sender that it no longer
//!   hears has lost contact itself.
//! - A host whose last check is older than [`MAX_CHECK_AGE`], as after a pause, does not send.
//! - The senders of one view use [`USED_SHARE`] of the limit, and no burst beyond one request each.
//!   In 4 s that is at most 2.8 x limit + number of senders, so that the senders of two views
//!   together stay within 1.5 x 4 s x limit + 5, for every limit, as long as a view has at most
//!   0.2 x limit + 2.5 senders.

use foxtail_types::prelude::*;

use crate::named_limit::RateLimit;
use crate::{Fleet, Steering, TokenBucket};

/// Share of an upstream's limit that the senders of one view use together.
const USED_SHARE: f64 = 0.7;

/// Most senders for a limit of 0 and for each additional request per second.
const MAX_SENDERS: (f64, f64) = (2.5, 0.2);

/// How long a host has to be a sender before it sends. It is longer than
/// [`LIVENESS_TIMEOUT`](crate::fleet::LIVENESS_TIMEOUT), after which a sender that was cut off
/// notices it.
const TAKEOVER_DELAY: Millis = Millis(3_000);

/// Longest time since the last check for which a host remains a sender. Checks come with the
/// periodic digests.
const MAX_CHECK_AGE: Millis = Millis(1_500);

/// Least requests per second that are sent despite a lower limit. Only an answer can show that the
/// limit has ended.
const MIN_RATE_PER_S: f64 = 0.1;

/// Shortest and longest time after which a caller is told to retry if all upstreams that could take
/// its request are at their limits.
const RETRY_AFTER: (Millis, Millis) = (Millis(100), Millis(2_000));

/// This host's part in sending to an upstream with a limit.
#[derive(Debug)]
pub(crate) struct LimitedSending {
    /// Since when this host has been a sender without interruption.
    sender_since: Option<Millis>,
    checked_at: Millis,
    tokens: TokenBucket,
}

/// This host became a sender for an upstream with a limit, or is none any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SenderChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether this host is a sender now.
    pub is_sender: bool,
    /// The number of hosts that share the limit in this host's view.
    pub senders: usize,
}

impl LimitedSending {
    pub(crate) fn new(now: Millis) -> Self {
        Self { sender_since: None, checked_at: now, tokens: TokenBucket::new(0.0, 1.0, now) }
    }

    /// Returns whether this host is a sender, regardless of the rate.
    fn is_permitted(&self, now: Millis) -> bool {
        now.since(self.checked_at) <= MAX_CHECK_AGE
            && self.sender_since.is_some_and(|since| now.since(since) >= TAKEOVER_DELAY)
    }

    /// Returns whether a request may be sent now.
    fn allows(&self, now: Millis) -> bool {
        self.is_permitted(now) && self.tokens.peek(now)
    }

    /// Takes one request from the rate.
    pub(crate) fn take(&mut self, now: Millis) {
        self.tokens.try_take(now);
    }

    /// Updates whether this host is one of `senders` hosts that share `limit`. Returns whether that
    /// changed.
    fn update(&mut self, is_sender: bool, senders: usize, limit: RateLimit, now: Millis) -> bool {
        if now.since(self.checked_at) > MAX_CHECK_AGE {
            self.sender_since = None;
        }
        self.checked_at = now;
        let was_sender = self.sender_since.is_some();
        if is_sender {
            self.sender_since.get_or_insert(now);
            let per_s = limit.per_s().max(MIN_RATE_PER_S) * USED_SHARE / senders.max(1) as f64;
            self.tokens.set_limits(per_s, 1.0, now);
        } else {
            self.sender_since = None;
        }
        was_sender != is_sender
    }
}

impl Steering {
    /// Updates for which upstreams with limits this host is a sender, and returns the changes. Has
    /// to be called with every periodic digest.
    pub fn update_limit_senders(&mut self, fleet: &Fleet, now: Millis) -> Vec<SenderChange> {
        if self.named_limit_count() == 0 {
            return Vec::new();
        }
        let mut senders = fleet.senders(now);
        let mut changes = Vec::new();
        for state in &mut self.upstreams {
            let Some(limit) = state.named_limit.limit() else { continue };
            let max_count = max_senders(limit);
            let selected = senders.select(&state.region, state.up.id.as_str(), max_count);
            let is_sender = senders.in_contact() && selected.contains(&&self.options.host);
            if state.limited_sending.update(is_sender, selected.len(), limit, now) {
                let upstream = state.up.id.clone();
                changes.push(SenderChange { upstream, is_sender, senders: selected.len() });
            }
        }
        changes
    }

    /// Returns whether a request that was placed earlier may still be sent to `id`: a connection may
    /// take long, and the process may have been paused meanwhile.
    pub fn may_still_send(&self, id: &UpstreamId, now: Millis) -> bool {
        let Some(&index) = self.index_by_id.get(id) else { return false };
        let state = &self.upstreams[index];
        let limited = state.named_limit.limit().is_some();
        self.is_available(state)
            && state.notices.paused_until(now).is_none()
            && (!limited || state.limited_sending.is_permitted(now))
    }

    /// Returns whether the limit that the upstream at `index` names, if any, allows one more request
    /// of this host.
    pub(crate) fn limit_allows(&self, index: usize, now: Millis) -> bool {
        let state = &self.upstreams[index];
        state.named_limit.limit().is_none() || state.limited_sending.allows(now)
    }

    /// Returns the time after which a caller may retry whose request only upstreams at their limits
    /// could take: the mean time between the requests that these take together.
    pub(crate) fn limited_retry_after(&self, limited: &[usize]) -> Millis {
        let limits = limited.iter().filter_map(|&index| self.upstreams[index].named_limit.limit());
        let per_s: f64 = limits.map(|limit| limit.per_s() * USED_SHARE).sum();
        let (shortest, longest) = RETRY_AFTER;
        Millis((1_000.0 / per_s.max(MIN_RATE_PER_S)) as u64).clamp(shortest, longest)
    }
}

fn max_senders(limit: RateLimit) -> usize {
    let (base, for_each_per_s) = MAX_SENDERS;
    (base + for_each_per_s * limit.per_s()) as usize
}
