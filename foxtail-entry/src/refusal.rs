//! Responses that the host generates itself.

use bytes::Bytes;
use foxtail_net::http::{Body, full_body};
use foxtail_types::prelude::*;
use foxtail_types::reason::Reason;
use hyper::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The reason and status of a request that ended without an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) reason: Reason,
    /// The value of `Retry-After`; set only if the request did not run.
    pub(crate) retry_after: Option<Millis>,
}

impl Refusal {
    /// The request did not run and will not; the caller may retry after `retry_after`.
    pub(crate) fn not_run(reason: Reason, retry_after: Millis) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, retry_after: Some(retry_after) }
    }

    /// The request may have run.
    pub(crate) fn may_have_run(status: StatusCode, reason: Reason) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// The request is invalid and a retry would fail as well.
    pub(crate) fn invalid(status: StatusCode, reason: Reason) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Returns the response for the caller.
    pub(crate) fn response(&self) -> Response<Body> {
        let mut response = text_response(self.status, self.reason.as_str().to_owned());
        if let Some(after) = self.retry_after {
            let secs = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&secs) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Returns a plain-text response.
pub(crate) fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(body.into()));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}
