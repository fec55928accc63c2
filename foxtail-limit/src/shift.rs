//! The budget of requests that a workspace may send from one region to others.

use std::collections::VecDeque;

use foxtail_types::prelude::*;

use crate::drift::covering;

/// How long after its reservation a shifted request may leave the host.
pub const USE_WITHIN: Millis = Millis(250);
/// The cap counts requests a second.
const SECOND: Millis = Millis(1_000);
/// No more than the like part of the cap goes out within this span, so that cold caches warm up.
const STEP: Millis = Millis(100);

/// A cap on requests that leave in any one second.
///
/// Requests leave within [`USE_WITHIN`] of their reservation. Those that leave within one second
/// were therefore reserved within one second and that span, in which at most the cap is given.
#[derive(Clone, Debug)]
pub struct ShiftBudget {
    cap: usize,
    given: VecDeque<Millis>,
    closed_until: Millis,
}

impl ShiftBudget {
    /// A budget of `cap` requests a second. It starts spent, as a former owner may have given all.
    pub fn new(now: Millis, cap: u32) -> Self {
        let closed_until = now + covering(SECOND + USE_WITHIN);
        Self { cap: cap as usize, given: VecDeque::new(), closed_until }
    }

    /// Changes the cap, for reservations from now on.
    pub fn resize(&mut self, cap: u32) {
        self.cap = cap as usize;
    }

    /// Takes one request out of the budget, or tells when to come back.
    ///
    /// # Errors
    ///
    /// The span until the budget may have room.
    pub fn reserve(&mut self, now: Millis) -> Result<(), Millis> {
        self.forget(now);
        if now < self.closed_until {
            return Err(self.closed_until - now);
        }
        let step_cap = self.cap.div_ceil((SECOND.0 / STEP.0) as usize);
        let window = covering(SECOND + USE_WITHIN);
        wait(&self.given, now, window, self.cap).map_or(Ok(()), Err)?;
        wait(&self.given, now, STEP, step_cap).map_or(Ok(()), Err)?;
        self.given.push_back(now);
        Ok(())
    }

    /// Gives one unused reservation back. The oldest is forgotten, which errs on the safe side.
    pub fn unused(&mut self) {
        self.given.pop_front();
    }

    fn forget(&mut self, now: Millis) {
        let window = covering(SECOND + USE_WITHIN);
        while self.given.front().is_some_and(|at| now.since(*at) > window) {
            self.given.pop_front();
        }
    }
}

/// The wait until fewer than `most` of `given` lie within `span` before now, or `None`.
fn wait(given: &VecDeque<Millis>, now: Millis, span: Millis, most: usize) -> Option<Millis> {
    if most == 0 {
        return Some(SECOND);
    }
    let oldest = *given.get(given.len().checked_sub(most)?)?;
    let free_at = oldest + span + Millis(1);
    (now < free_at).then(|| free_at - now)
}
