//! What the attempts for a request have come to, and what follows from them.

use foxtail_steer::Route;
use foxtail_steer::relay::RelayedRequest;
use foxtail_steer::steering::Outcome;
use foxtail_types::prelude::*;
use foxtail_types::reason::Reason;
use hyper::StatusCode;

use crate::refusal::Refusal;

/// The maximum number of upstreams that a request is sent to, including unreachable ones.
const MAX_UPSTREAMS_PER_REQUEST: usize = 4;

/// `Retry-After` when upstreams refused the request or could not be reached, the request bodies in
/// memory are at their limit, or the deadline passed before the request ran.
pub(crate) const SHED_RETRY_AFTER: Millis = Millis(100);

/// The attempts made for a request so far.
#[derive(Default)]
pub(crate) struct PastAttempts {
    pub(crate) upstreams: Vec<UpstreamId>,
    /// The upstreams that attempts reached.
    pub(crate) reached: Vec<UpstreamId>,
    pub(crate) may_have_run: bool,
    pub(crate) timed_out: bool,
    /// When the first of the hosts takes the request that were offered it in vain.
    pub(crate) others_retry_after: Option<Millis>,
    /// Whether the last attempt reached no upstream.
    pub(crate) last_unreachable: bool,
}

impl PastAttempts {
    /// Returns the attempts of the host that relayed the request.
    pub(crate) fn of_relayed(relayed: &RelayedRequest) -> Self {
        Self {
            upstreams: relayed.attempted.clone(),
            reached: relayed.attempted.clone(),
            may_have_run: relayed.may_have_run,
            ..Self::default()
        }
    }

    /// Records the outcome of the attempt at the last of `upstreams`.
    pub(crate) fn record(&mut self, outcome: Outcome, may_have_run: bool) {
        let reached = !matches!(outcome, Outcome::Unreachable | Outcome::Withdrawn);
        self.reached.extend(self.upstreams.last().filter(|_| reached).cloned());
        self.last_unreachable = outcome == Outcome::Unreachable;
        self.may_have_run |= may_have_run;
        self.timed_out |= outcome == Outcome::TimedOut;
    }

    /// Records what other hosts did with the request that handed it back.
    pub(crate) fn record_handed_back(&mut self, relayed: RelayedRequest) {
        self.may_have_run |= relayed.may_have_run;
        self.reached = relayed.attempted;
    }

    pub(crate) fn may_retry(&self, route: &Route) -> bool {
        (route.idempotent || !self.may_have_run)
            && !self.timed_out
            && self.reached.len() < route.max_attempts as usize
            && self.upstreams.len() < MAX_UPSTREAMS_PER_REQUEST
    }

    /// Returns whether the request may be sent once more after an attempt that an upstream gets.
    pub(crate) fn may_repeat_next(&self, route: &Route) -> bool {
        route.idempotent && self.reached.len() + 1 < route.max_attempts as usize
    }

    /// Returns the refusal for a request that is not retried: `reason` if no attempt may have run
    /// it, otherwise [`Reason::AnswerLost`].
    pub(crate) fn final_refusal(&self, reason: Reason, retry_after: Millis) -> Refusal {
        if self.timed_out {
            Refusal::may_have_run(StatusCode::GATEWAY_TIMEOUT, Reason::AnswerLost)
        } else if self.may_have_run {
            Refusal::may_have_run(StatusCode::BAD_GATEWAY, Reason::AnswerLost)
        } else {
            Refusal::not_run(reason, retry_after)
        }
    }

    pub(crate) fn deadline_passed(&self) -> Refusal {
        self.final_refusal(Reason::DeadlinePassed, SHED_RETRY_AFTER)
    }
}
