//! Holds strikes back until this host has seen that its links work.
//!
//! The load that this answers: a host that loses its links to all upstreams at once sees many
//! connections break, among them those under the same request at several upstreams. Counted as
//! strikes they would bar healthy requests on all hosts, and such a bar lasts for minutes. An answer
//! to a request that was sent after a connection broke shows that the links work, and that the
//! upstream or the request was at fault. For the same reason attempts at one request that were under
//! way together count as one when their connections break.

use std::collections::{BTreeSet, VecDeque};

use foxtail_types::prelude::*;

use crate::suspects::{Fingerprint, Suspects};

/// Most strikes that are held back, and most requests whose last strike is kept; the oldest are
/// dropped first.
const MAX_KEPT: usize = 512;

/// How long a request is refused that would be barred if its strikes were confirmed. Either an answer
/// confirms them within that time or the host finds that it lost its upstreams.
pub const UNCONFIRMED_BAR: Millis = Millis(500);

/// A connection that broke under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnconfirmedStrike {
    /// The request.
    pub request: Fingerprint,
    /// The identifier that the caller gave the request.
    pub request_id: String,
    /// The upstream.
    pub upstream: UpstreamId,
    /// When this incarnation of the upstream started.
    pub started: Option<Millis>,
    /// When the request was sent.
    pub sent_at: Millis,
    /// When the connection broke.
    pub at: Millis,
}

/// The strikes of this host that are not confirmed yet.
#[derive(Debug, Default)]
pub struct UnconfirmedStrikes {
    /// The strikes, the oldest first.
    strikes: Vec<UnconfirmedStrike>,
    /// When the last strike against a request was added, the oldest first.
    last_strikes: VecDeque<(Fingerprint, Millis)>,
}

impl UnconfirmedStrikes {
    /// Adds a strike, unless its attempt was under way when the last connection broke under the
    /// request.
    pub fn add(&mut self, strike: UnconfirmedStrike) {
        let last = self.last_strikes.iter().position(|(request, _)| *request == strike.request);
        if let Some(index) = last {
            if strike.sent_at < self.last_strikes[index].1 {
                return;
            }
            self.last_strikes.remove(index);
        }
        if self.last_strikes.len() == MAX_KEPT {
            self.last_strikes.pop_front();
        }
        self.last_strikes.push_back((strike.request, strike.at));
        if self.strikes.len() == MAX_KEPT {
            self.strikes.remove(0);
        }
        self.strikes.push(strike);
    }

    /// Returns the number of strikes against `request`.
    pub fn count(&self, request: Fingerprint) -> usize {
        self.strikes_against(request).count()
    }

    /// Returns the number of strikes that `request` has with those in `suspects`. An incarnation of an
    /// upstream counts once.
    pub fn count_with(&self, suspects: &Suspects, request: Fingerprint, now: Millis) -> usize {
        let unconfirmed: BTreeSet<(&UpstreamId, Option<Millis>)> = self
            .strikes_against(request)
            .filter(|strike| !suspects.has_strike(request, &strike.upstream, strike.started, now))
            .map(|strike| (&strike.upstream, strike.started))
            .collect();
        unconfirmed.len() + suspects.strikes_against(request, now)
    }

    fn strikes_against(&self, request: Fingerprint) -> impl Iterator<Item = &UnconfirmedStrike> {
        self.strikes.iter().filter(move |strike| strike.request == request)
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }

    /// Removes and returns the strikes that an answer to a request sent at `sent_at` confirms.
    pub fn confirm(&mut self, sent_at: Millis) -> Vec<UnconfirmedStrike> {
        let later = self.strikes.partition_point(|strike| strike.at <= sent_at);
        self.strikes.drain(..later).collect()
    }

    /// Removes the strikes against `request`, since an upstream answered it.
    pub fn clear(&mut self, request: Fingerprint) {
        self.strikes.retain(|strike| strike.request != request);
    }

    /// Removes all strikes, since this host lost its links, and returns how many there were.
    pub fn discard(&mut self) -> usize {
        std::mem::take(&mut self.strikes).len()
    }
}
