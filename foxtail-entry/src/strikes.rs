//! Records strikes against requests under which connections to upstreams break, and which requests are
//! refused for them.

use foxtail_steer::Upstream;
use foxtail_steer::suspects::{Fingerprint, Fingerprints, MAX_STRIKES};
use foxtail_steer::unconfirmed::{UNCONFIRMED_BAR, UnconfirmedStrike};
use foxtail_types::prelude::*;

use crate::context::HostContext;
use crate::gossip::IMMEDIATE_SHARE_STRIKES;

impl HostContext {
    /// Returns under which fingerprint and for how long a request is refused because it crashed upstreams,
    /// if it is.
    pub(crate) fn barred_for(
        &self,
        fingerprints: Fingerprints,
        now: Millis,
    ) -> Option<(Fingerprint, Millis)> {
        let unconfirmed = self.unconfirmed_strikes.lock();
        let suspects = self.suspects.lock();
        let Fingerprints { of_caller, of_any_caller } = fingerprints;
        let would_be_barred = unconfirmed.count_with(&suspects, of_caller, now) >= MAX_STRIKES;
        let bar = suspects.barred_for(of_caller, now);
        let bar = bar.or(would_be_barred.then_some(UNCONFIRMED_BAR));
        let any_caller_bar = suspects.barred_for_any_caller(of_any_caller, now);
        let bars = [(of_caller, bar), (of_any_caller, any_caller_bar)];
        let bars = bars.into_iter().filter_map(|(request, bar)| Some((request, bar?)));
        bars.max_by_key(|(_, retry_after)| *retry_after)
    }

    /// Returns whether a request that is barred may be sent once all the same, to see whether its strikes
    /// came from links that broke.
    pub(crate) fn begin_trial(&self, id: &str, fingerprints: Fingerprints, now: Millis) -> bool {
        let Fingerprints { of_caller, of_any_caller } = fingerprints;
        let Some(turn) = self.fleet.lock().trial_turn(of_caller, now) else { return false };
        let mut suspects = self.suspects.lock();
        let is_trial = suspects.barred_for_any_caller(of_any_caller, now).is_none()
            && suspects.begin_trial(of_caller, turn, now);
        if is_trial {
            tracing::info!(event = "trial", request = id, fingerprint = %of_caller);
        }
        is_trial
    }

    /// Records that the connection to `up` broke under the request `id`, which was sent at `sent_at`.
    /// Returns whether the request is no longer sent to any upstream.
    pub(crate) fn record_strike(
        &self,
        id: &str,
        fingerprints: Fingerprints,
        up: &Upstream,
        sent_at: Millis,
    ) -> bool {
        let now = self.now();
        tracing::info!(event = "strike", request = id, upstream = %up.id,
            fingerprint = %fingerprints.of_any_caller, caller_fingerprint = %fingerprints.of_caller);
        for fingerprint in fingerprints.both() {
            self.unconfirmed_strikes.lock().add(UnconfirmedStrike {
                request: fingerprint,
                request_id: id.to_owned(),
                upstream: up.id.clone(),
                started: up.started,
                sent_at,
                at: now,
            });
        }
        self.barred_for(fingerprints, now).is_some()
    }

    /// Clears the request of strikes, since an upstream answered it without a failure of its own.
    pub(crate) fn clear_strikes(&self, fingerprints: Fingerprints) {
        for fingerprint in fingerprints.both() {
            self.unconfirmed_strikes.lock().clear(fingerprint);
            self.suspects.lock().clear(fingerprint, self.now());
        }
    }

    /// Counts the strikes of this host that an answer to a request sent at `sent_at` confirms, and
    /// informs other hosts of requests that reach [`IMMEDIATE_SHARE_STRIKES`].
    pub(crate) fn confirm_strikes(&self, sent_at: Millis) {
        let confirmed = self.unconfirmed_strikes.lock().confirm(sent_at);
        for strike in confirmed {
            let UnconfirmedStrike { request, upstream, started, at, .. } = &strike;
            let counted = self.suspects.lock().record_strike(*request, upstream, *started, *at);
            let Some(strikes) = counted else { continue };
            tracing::info!(event = "suspect", request = strike.request_id,
                fingerprint = %request, strikes, %upstream, age_ms = self.now().since(*at).0);
            if strikes >= IMMEDIATE_SHARE_STRIKES {
                self.add_news();
            }
        }
    }
}
