//! Answers and outcomes as callers see them.

use foxtail_net::http::{Body, body_of};
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

const OUTCOME: HeaderName = HeaderName::from_static("x-foxtail-outcome");
const REASON: HeaderName = HeaderName::from_static("x-foxtail-reason");
const REQUEST: HeaderName = HeaderName::from_static("x-foxtail-request");
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("x-foxtail-retry-after-ms");

/// An outcome that is no answer, with a text for people.
#[derive(Debug)]
pub(crate) struct Refused {
    pub(crate) outcome: Outcome,
    pub(crate) message: Option<String>,
}

impl Refused {
    pub(crate) fn not_run(reason: Reason, retry_after: Millis) -> Self {
        Self { outcome: Outcome::NotRun { reason, retry_after }, message: None }
    }

    pub(crate) fn unknown(reason: Reason, retry_after: Millis) -> Self {
        Self { outcome: Outcome::Unknown { reason, retry_after }, message: None }
    }

    pub(crate) fn wrong(reason: Reason, message: impl Into<String>) -> Self {
        Self { outcome: Outcome::Refused { reason }, message: Some(message.into()) }
    }

    pub(crate) fn reason(&self) -> Reason {
        match self.outcome {
            Outcome::NotRun { reason, .. }
            | Outcome::Unknown { reason, .. }
            | Outcome::Refused { reason } => reason,
        }
    }

    pub(crate) fn name(&self) -> &'static str {
        match self.outcome {
            Outcome::NotRun { .. } => "not-run",
            Outcome::Unknown { .. } => "unknown",
            Outcome::Refused { .. } => "refused",
        }
    }

    fn retry_after(&self) -> Option<Millis> {
        match self.outcome {
            Outcome::NotRun { retry_after, .. } | Outcome::Unknown { retry_after, .. } => {
                Some(retry_after)
            }
            Outcome::Refused { .. } => None,
        }
    }
}

/// Marks an upstream's answer as such.
pub(crate) fn answered(mut answer: Response<Body>, id: RequestId) -> Response<Body> {
    let headers = answer.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static("answered"));
    insert_id(headers, id);
    answer
}

/// The answer to a caller whose request ran before, with an answer too large to be kept: what is
/// known of that answer.
pub(crate) fn not_kept(status: u16, bytes: u64, digest: &[u8]) -> Response<Body> {
    let reason = Reason::AnswerNotKept.as_str();
    let text = json!({
        "outcome": "answered",
        "reason": reason,
        "message": "it ran; its answer was too large to be kept",
        "status": status,
        "bytes": bytes,
        "sha256": digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>(),
    });
    let mut answer = json_answer(StatusCode::CONFLICT, &text);
    answer.headers_mut().insert(REASON, HeaderValue::from_static(reason));
    answer
}

/// The answer to a caller whose request got none from an upstream.
pub(crate) fn refused(refused: &Refused, id: RequestId) -> Response<Body> {
    let reason = refused.reason();
    let retry_after = refused.retry_after();
    let text = json!({
        "outcome": refused.name(),
        "reason": reason.as_str(),
        "message": refused.message,
        "retry_after_ms": retry_after.map(|span| span.0),
        "request": id.to_string(),
    });
    let mut answer = json_answer(status(refused), &text);
    let headers = answer.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(refused.name()));
    headers.insert(REASON, HeaderValue::from_static(reason.as_str()));
    insert_id(headers, id);
    if let Some(span) = retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(span.0.div_ceil(1_000)));
        headers.insert(RETRY_AFTER_MS, HeaderValue::from(span.0));
    }
    answer
}

/// A JSON document with `status`.
pub(crate) fn json_answer(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut answer = Response::new(body_of(value.to_string()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn insert_id(headers: &mut hyper::HeaderMap, id: RequestId) {
    if let Ok(value) = HeaderValue::try_from(id.to_string()) {
        headers.insert(REQUEST, value);
    }
}

fn status(refused: &Refused) -> StatusCode {
    match (&refused.outcome, refused.reason()) {
        (Outcome::NotRun { .. }, _) => StatusCode::SERVICE_UNAVAILABLE,
        (Outcome::Unknown { .. }, _) => StatusCode::GATEWAY_TIMEOUT,
        (_, Reason::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (_, Reason::UnknownService) => StatusCode::NOT_FOUND,
        (_, Reason::KeyRequired) => StatusCode::PRECONDITION_REQUIRED,
        (_, Reason::KeyExpired) => StatusCode::GONE,
        (_, Reason::KeyReused | Reason::Convicted) => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::BAD_REQUEST,
    }
}
