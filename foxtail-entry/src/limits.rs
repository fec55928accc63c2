//! Records and logs the limits that upstreams name, learned from answers and from other hosts.

use std::net::SocketAddr;

use foxtail_steer::Upstream;
use foxtail_steer::limited_sending::SenderChange;
use foxtail_steer::named_limit::{LimitChange, LimitReport};
use foxtail_types::prelude::*;
use hyper::StatusCode;

use crate::context::HostContext;
use crate::ports::ResponseInfo;

impl HostContext {
    /// Records the limit in an answer of `up` to a request that was sent at `sent_at`, and informs
    /// other hosts if it began or ended.
    pub(crate) fn record_limit(
        &self,
        up: &Upstream,
        status: StatusCode,
        info: &ResponseInfo,
        sent_at: Millis,
    ) {
        // A refusal or failure does not say that a limit ended, since it may lack other headers too.
        if info.moved || (info.limit.is_none() && !status.is_success()) {
            return;
        }
        let change = self.steering.lock().record_limit(&up.id, info.limit, sent_at, self.now());
        if let Some(change) = change {
            log_change(&change, "answer");
            if change.is_start_or_end() {
                self.notify_peers.notify_one();
            }
        }
    }

    /// Updates for which upstreams with limits this host is a sender.
    pub(crate) fn update_limit_senders(&self, now: Millis) {
        let changes = {
            let fleet = self.fleet.lock();
            self.steering.lock().update_limit_senders(&fleet, now)
        };
        for SenderChange { upstream, is_sender, senders } in changes {
            tracing::info!(event = "limit_sender", %upstream, is_sender, senders);
        }
    }

    /// Merges the limits that the host `from` at `addr` reports. Passes on what began or ended if
    /// that host belongs to another region, which informs only one host of this region.
    pub(crate) fn merge_limits(&self, reports: &[LimitReport], from: &HostId, addr: SocketAddr) {
        if reports.is_empty() {
            return;
        }
        let changes = self.steering.lock().merge_limits(reports, self.now());
        for change in &changes {
            log_change(change, from.as_str());
        }
        if changes.iter().any(LimitChange::is_start_or_end) && self.fleet.lock().should_relay(addr)
        {
            self.notify_peers.notify_one();
        }
    }
}

fn log_change(change: &LimitChange, source: &str) {
    let LimitChange { upstream, previous, limit, age } = change;
    tracing::info!(
        event = "upstream_limit",
        %upstream,
        per_s = limit.map(|limit| limit.per_s()),
        previous_per_s = previous.map(|previous| previous.per_s()),
        source,
        age_ms = age.0,
    );
}
