//! What the server does with one request.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foxtail_time::BootClock;
use foxtail_types::prelude::*;
use futures::{StreamExt, stream};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use tokio::time::{Instant, sleep, sleep_until};

use super::answer;
use super::audit::Run;
use super::order::Order;
use super::state::{Refused, State};

/// The path of the load report.
pub(crate) const LOAD_PATH: &str = "/-/load";
/// How long a truncated answer stands still, so that its first half gets out.
const BREAK_PAUSE: Millis = Millis(5);

type Body = BoxBody<Bytes, io::Error>;

/// Answers one request. Dropping the future gives the work up.
pub(crate) async fn handle(
    state: Arc<State>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    if req.uri().path() == LOAD_PATH {
        return Ok(load(&state));
    }
    let Ok(order) = Order::read(req).await else {
        return Ok(plain(&state, StatusCode::BAD_REQUEST));
    };
    Ok(serve(&state, &order).await)
}

async fn serve(state: &State, order: &Order) -> Response<Body> {
    let inside = match state.enter() {
        Ok(inside) => inside,
        Err(Refused::Shed) => return refused(state, "shed"),
        Err(Refused::Leaving) => return refused(state, "leaving"),
    };
    let permit = tokio::select! {
        permit = state.slots.acquire() => permit.expect("the slots are never closed"),
        () = until(order.deadline) => {
            state.shed_late();
            return refused(state, "shed");
        }
    };
    let (running, drawn_ms) = state.start(permit);
    state.audit.began(run_of(state, order));
    let took = Duration::from_secs_f64(order.work_ms.unwrap_or(drawn_ms) / 1_000.0);
    if order.poison {
        sleep(took / 2).await;
        state.audit.crashed(&order.call);
        state.crash();
        return std::future::pending().await;
    }
    let in_time = tokio::select! {
        () = sleep(took) => true,
        () = until(order.deadline) => false,
    };
    if !in_time {
        return plain(state, StatusCode::GATEWAY_TIMEOUT);
    }
    running.finish();
    drop(inside);
    answered(state, order)
}

fn run_of(state: &State, order: &Order) -> Run {
    Run {
        upstream: state.options.id.clone(),
        region: state.options.region.clone(),
        call: order.call.clone(),
        entry: order.entry.clone(),
        key: order.key.clone(),
        began: BootClock.now(),
    }
}

async fn until(deadline: Option<Instant>) {
    match deadline {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn answered(state: &State, order: &Order) -> Response<Body> {
    let content = Bytes::from(answer::body(order.digest, order.bytes));
    let body = if order.truncate { half(&content) } else { whole(content) };
    let mut res = plain(state, StatusCode::OK);
    *res.body_mut() = body;
    let headers = res.headers_mut();
    headers.insert("content-length", order.bytes.into());
    let digest = answer::hex(order.digest).parse().expect("hexadecimal is a valid header value");
    headers.insert(answer::DIGEST_HEADER, digest);
    res
}

fn refused(state: &State, why: &'static str) -> Response<Body> {
    let mut res = plain(state, StatusCode::SERVICE_UNAVAILABLE);
    res.headers_mut().insert("x-upstream-refused", why.parse().expect("a plain word"));
    res
}

/// An empty answer with the load report.
fn plain(state: &State, status: StatusCode) -> Response<Body> {
    let mut res = Response::new(whole(Bytes::new()));
    *res.status_mut() = status;
    let headers = res.headers_mut();
    if let Some(sample) = state.report() {
        headers.insert("x-upstream-busy", sample.busy.into());
        headers.insert("x-upstream-queued", sample.queued.into());
    }
    headers.insert("x-upstream-leaving", u32::from(state.leaving()).into());
    res
}

fn load(state: &State) -> Response<Body> {
    let Some(sample) = state.report() else {
        return plain(state, StatusCode::SERVICE_UNAVAILABLE);
    };
    let json = serde_json::json!({
        "busy": sample.busy,
        "queued": sample.queued,
        "slots": state.options.slots,
        "leaving": state.leaving(),
    });
    let mut res = plain(state, StatusCode::OK);
    *res.body_mut() = whole(Bytes::from(json.to_string()));
    res
}

fn whole(content: Bytes) -> Body {
    Full::new(content).map_err(|never| match never {}).boxed()
}

/// The first half of `content`, after which the connection breaks.
fn half(content: &Bytes) -> Body {
    let start = content.slice(..content.len() / 2);
    let broken = io::Error::from(io::ErrorKind::ConnectionAborted);
    let end = stream::once(async {
        sleep(BREAK_PAUSE.duration()).await;
        Err(broken)
    });
    let parts = stream::once(async { Ok(Frame::data(start)) }).chain(end);
    BodyExt::boxed(StreamBody::new(parts))
}
