//! The caller side: connections, look-ups and the pages for people.

mod connections;
mod lookup;
mod server;

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use foxtail_net::http::{Body, body_of};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

use crate::serve::{self, reply};
use crate::state::State;

pub(crate) use server::serve_callers;

/// Paths below this one belong to the host itself; all others are passed to upstreams.
const OWN_PATHS: &str = "/-/";

/// Answers one request of a caller. While the host leaves, the connection is closed after it.
async fn answer(state: Arc<State>, from: IpAddr, req: Request<Incoming>) -> Response<Body> {
    let mut answer = match req.uri().path().starts_with(OWN_PATHS) {
        true => own(&state, from, &req),
        false => serve::serve(Arc::clone(&state), from, req).await,
    };
    if state.leaving.load(Ordering::SeqCst) {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

fn own(state: &State, from: IpAddr, req: &Request<Incoming>) -> Response<Body> {
    if req.method() != Method::GET {
        let text = json!({"message": "only GET is answered here"});
        return reply::json_answer(StatusCode::METHOD_NOT_ALLOWED, &text);
    }
    match req.uri().path() {
        "/-/lookup" => lookup::answer(state, from, req),
        "/-/metrics" => Response::new(body_of(state.metrics.page())),
        "/-/health" => health(state),
        _ => reply::json_answer(StatusCode::NOT_FOUND, &json!({"message": "no such page"})),
    }
}

fn health(state: &State) -> Response<Body> {
    let view = state.fleet.view.load();
    let own = view.get(state.fleet.me()).map(|member| member.status);
    let status = own.unwrap_or_else(|| state.status());
    let text = json!({
        "host": state.settings.host,
        "phase": status.phase,
        "version": status.version,
        "busy_permille": status.busy_permille,
    });
    reply::json_answer(StatusCode::OK, &text)
}
