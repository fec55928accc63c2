//! Records and logs what upstreams say of themselves.

use foxtail_steer::Notice;
use foxtail_steer::Upstream;
use foxtail_steer::notice::{LeavingUpstream, NoticeReport};
use foxtail_types::prelude::*;

use crate::context::HostContext;
use crate::ports::ResponseInfo;

impl HostContext {
    /// Records what the answer `info` of `up` says of it, unless another upstream has the address now.
    /// `source` is how the answer came. Returns what it said.
    pub(crate) fn record_notice(
        &self,
        up: &Upstream,
        info: &ResponseInfo,
        source: &str,
    ) -> Option<NoticeReport> {
        let is_other = info.instance.as_ref().is_some_and(|instance| *instance != up.id);
        if info.moved || is_other || info.notice.is_empty() {
            return None;
        }
        let (upstream, started) = (up.id.clone(), up.started);
        let report = NoticeReport { upstream, started, notice: info.notice };
        self.record_notice_report(&report, source);
        Some(report)
    }

    /// Records what an upstream said of itself according to `source`.
    pub(crate) fn record_notice_report(&self, report: &NoticeReport, source: &str) {
        let now = self.now();
        if self.steering.lock().record_notice(report, now) {
            let NoticeReport { upstream, notice, .. } = report;
            tracing::info!(event = "upstream_notice", %upstream, source,
                leaving = notice.leaving, pause_ms = notice.pause.map(|pause| pause.0));
        }
    }

    /// Records upstreams that leave according to `from`.
    pub(crate) fn merge_leaving(&self, leaving: &[LeavingUpstream], from: &HostId) {
        for LeavingUpstream { upstream, started } in leaving {
            let (upstream, started) = (upstream.clone(), *started);
            let notice = Notice { leaving: true, pause: None };
            self.record_notice_report(&NoticeReport { upstream, started, notice }, from.as_str());
        }
    }

    /// Returns when a caller may come back whose request upstreams refused: at once, or when the first
    /// pause ends that the upstreams of `service` asked for.
    pub(crate) fn retry_after_refusals(
        &self,
        service: &ServiceId,
        route: &foxtail_steer::Route,
        least: Millis,
    ) -> Millis {
        let pause = self.steering.lock().time_until_unpaused(service, route, self.now());
        pause.map_or(least, |pause| pause.max(least))
    }
}
