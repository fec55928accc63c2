//! The log lines and metrics of a request.

use foxtail_steer::steering::{Estimate, Outcome};
use foxtail_types::prelude::*;
use hyper::StatusCode;

use crate::attempt::outcome_name;
use crate::context::HostContext;
use crate::ports::RequestInfo;
use crate::refusal::Refusal;

/// Writes the log lines and metrics of one request.
pub(crate) struct RequestLog<'a> {
    pub(crate) info: &'a RequestInfo,
    pub(crate) arrived: Millis,
    /// The number of attempts so far, including those at unreachable upstreams; logged as `offers`.
    pub(crate) attempts: usize,
    /// The version of the configuration.
    pub(crate) version: Version,
}

impl RequestLog<'_> {
    pub(crate) fn record_placement(
        &self,
        up: &UpstreamId,
        service: &ServiceId,
        estimate: &Estimate,
    ) {
        tracing::info!(
            event = "placed",
            request = self.info.id,
            %service,
            object = self.info.object.map(tracing::field::display),
            upstream = %up,
            expected_ms = estimate.expected_ms as u64,
            wait_ms = estimate.wait_ms as u64,
            load = format_args!("{:.1}", estimate.load),
            report_age_ms = estimate.report_age.map(|age| age.0),
            in_time = format_args!("{:.2}", estimate.in_time_probability),
            utility = format_args!("{:.2}", estimate.utility),
            candidates = estimate.candidates,
            limited = estimate.limited,
            last_resort = estimate.last_resort,
            version = %self.version,
        );
    }

    pub(crate) fn record_response(
        &self,
        cx: &HostContext,
        service: &ServiceId,
        status: StatusCode,
    ) {
        let took = cx.now().since(self.arrived);
        cx.metrics.record_request(service.as_str(), "answered", took);
        tracing::info!(
            event = "request",
            request = self.info.id,
            outcome = outcome_name(Outcome::Answered),
            %service,
            status = status.as_u16(),
            offers = self.attempts,
            took_ms = took.0,
            version = %self.version,
        );
    }

    /// Records that another host gave the response.
    pub(crate) fn record_relayed(&self, cx: &HostContext, service: &ServiceId, status: StatusCode) {
        let took = cx.now().since(self.arrived);
        cx.metrics.record_request(service.as_str(), "relayed", took);
        tracing::info!(
            event = "request",
            request = self.info.id,
            outcome = "relayed",
            %service,
            status = status.as_u16(),
            offers = self.attempts,
            took_ms = took.0,
            version = %self.version,
        );
    }

    /// Records a refusal. `service` is `-` before a route is found, and the route's name if no
    /// service is selected. `best` is the upstream with the highest utility and its estimate, if
    /// the request is refused because of overload.
    pub(crate) fn record_refusal(
        &self,
        cx: &HostContext,
        service: &str,
        refusal: &Refusal,
        best: Option<(&UpstreamId, &Estimate)>,
    ) {
        let estimate = best.map(|(_, estimate)| estimate);
        let took = cx.now().since(self.arrived);
        cx.metrics.record_request(service, refusal.reason.as_str(), took);
        tracing::info!(
            event = "request",
            request = self.info.id,
            outcome = refusal.reason.as_str(),
            service,
            status = refusal.status.as_u16(),
            offers = self.attempts,
            took_ms = took.0,
            retry_after_ms = refusal.retry_after.map(|after| after.0),
            upstream = best.map(|(id, _)| tracing::field::display(id)),
            load = estimate
                .map(|estimate| tracing::field::display(format!("{:.1}", estimate.load))),
            expected_ms = estimate.map(|estimate| estimate.expected_ms as u64),
            wait_ms = estimate.map(|estimate| estimate.wait_ms as u64),
            report_age_ms = estimate.and_then(|estimate| estimate.report_age).map(|age| age.0),
            limited = estimate.map(|estimate| estimate.limited),
            utility = estimate
                .map(|estimate| tracing::field::display(format!("{:.2}", estimate.utility))),
            version = %self.version,
        );
    }
}
