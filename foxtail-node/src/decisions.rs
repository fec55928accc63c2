//! The log of routing and placement decisions, and the last of them in memory for operators.

use std::collections::VecDeque;

pub use foxtail_wire::operator::Decision;
use parking_lot::Mutex;

/// How many decisions a host keeps.
const KEPT: usize = 4_096;

/// The last decisions of this host.
#[derive(Default)]
pub(crate) struct Decisions {
    last: Mutex<VecDeque<Decision>>,
}

impl Decisions {
    /// Logs `decision` and keeps it.
    pub(crate) fn record(&self, decision: Decision) {
        let Decision { kind, request, workspace, service, candidates, chosen, reason, .. } =
            &decision;
        tracing::info!(
            event = "decision",
            %kind,
            %request,
            %workspace,
            %service,
            %candidates,
            %chosen,
            %reason,
        );
        let mut last = self.last.lock();
        if last.len() == KEPT {
            last.pop_front();
        }
        last.push_back(decision);
    }

    /// The last decisions that `wanted` picks, the newest first, at most `limit`.
    pub(crate) fn last(&self, limit: usize, wanted: impl Fn(&Decision) -> bool) -> Vec<Decision> {
        let last = self.last.lock();
        last.iter().rev().filter(|decision| wanted(decision)).take(limit).cloned().collect()
    }
}
