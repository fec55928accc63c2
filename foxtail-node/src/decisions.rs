//! The log of routing and placement decisions, and the last of them in memory for operators.

use std::collections::VecDeque;

use foxtail_types::prelude::*;
use parking_lot::Mutex;

/// How many decisions a host keeps.
const KEPT: usize = 4_096;

/// One decision, as an operator is shown it.
#[value]
pub struct Decision {
    /// When, since the Unix epoch.
    pub at: Millis,
    /// What was decided: `place`, `route` or `outcome`.
    pub kind: String,
    /// The request.
    pub request: RequestId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceId,
    /// The candidates considered, each with its verdict.
    pub candidates: String,
    /// The choice.
    pub chosen: String,
    /// The reason.
    pub reason: String,
}

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
