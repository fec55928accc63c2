//! One sending of a request to one upstream.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use foxtail_net::http::{Body, BodyError, full_body};
use foxtail_steer::steering::{Ended, Report};
use foxtail_steer::{Route, Upstream};
use foxtail_types::prelude::*;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::http::header::CONTENT_LENGTH;
use hyper::http::{HeaderMap, Method, Uri};
use hyper::{Request, Response, Version as HttpVersion};

use crate::cx::Cx;
use crate::pool::Conn;
use crate::ports::{Answer, Dispatch};

/// Answers up to this size are read whole before any of it is passed on, so that a broken one can
/// still be replaced by another upstream's.
const WHOLE_BYTES: usize = 128 * 1024;

/// A request as it is forwarded.
pub(crate) struct Forward<'a> {
    pub(crate) id: &'a str,
    pub(crate) route: &'a Route,
    pub(crate) service: &'a ServiceId,
    pub(crate) object: Option<u64>,
    pub(crate) method: &'a Method,
    pub(crate) uri: &'a Uri,
    pub(crate) headers: &'a HeaderMap,
    pub(crate) body: Bytes,
    /// When the answer is not waited for any longer.
    pub(crate) until: Millis,
}

/// How the sending ended.
pub(crate) enum Tried {
    /// The upstream's own answer.
    Answered(Response<Body>),
    /// The upstream did not run the request, and this is proved.
    NotRun(Ended),
    /// The request may have run.
    MayHaveRun(Ended),
}

/// Tells the steering how a sending ended, also when the caller leaves and the future is dropped.
struct Sending<'a> {
    cx: &'a Cx,
    up: &'a Upstream,
    fwd: &'a Forward<'a>,
    since: Millis,
    wait_ms: f64,
    told: bool,
}

impl Sending<'_> {
    fn ended(&mut self, ended: Ended, answer: Option<&Answer>) {
        self.told = true;
        let now = self.cx.now();
        let took = now.since(self.since);
        let report = Report {
            id: &self.up.id,
            service: self.fwd.service,
            objective: self.fwd.route.objective,
            object: self.fwd.object,
            ended,
            took,
            wait_ms: self.wait_ms,
            load: answer.and_then(|answer| answer.load),
        };
        self.cx.steering.lock().ended(&report, now);
        self.cx.metrics.attempt(self.fwd.service, name(ended), took);
        let load = answer.and_then(|answer| answer.load);
        tracing::info!(
            event = "attempt",
            request = self.fwd.id,
            upstream = %self.up.id,
            outcome = name(ended),
            took_ms = took.0,
            running = load.map(|load| load.running),
            waiting = load.map(|load| load.waiting),
        );
    }
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        if !self.told {
            self.ended(Ended::Cancelled, None);
        }
    }
}

/// The name of an ending in logs and metrics.
pub(crate) fn name(ended: Ended) -> &'static str {
    match ended {
        Ended::Answered => "answered",
        Ended::Shed => "shed",
        Ended::Moved => "moved",
        Ended::Unreachable => "unreachable",
        Ended::Broken => "broken",
        Ended::TimedOut => "timed-out",
        Ended::Cancelled => "cancelled",
    }
}

/// Sends the request to `up` and waits for its answer.
///
/// It is expected to wait there for `wait_ms` before it is worked on.
pub(crate) async fn attempt(cx: &Arc<Cx>, up: &Upstream, fwd: &Forward<'_>, wait_ms: f64) -> Tried {
    let since = cx.now();
    cx.steering.lock().sent(&up.id, since);
    let mut sending = Sending { cx, up, fwd, since, wait_ms, told: false };
    let left = fwd.until.since(since).duration();
    match tokio::time::timeout(left, send(cx, up, fwd, &mut sending)).await {
        Ok(tried) => tried,
        Err(_) => {
            sending.ended(Ended::TimedOut, None);
            Tried::MayHaveRun(Ended::TimedOut)
        }
    }
}

async fn send(cx: &Cx, up: &Upstream, fwd: &Forward<'_>, sending: &mut Sending<'_>) -> Tried {
    let conn = match cx.pool.take(&up.id, fwd.route.idempotent, cx.now()) {
        Some(conn) => conn,
        None => match connect(cx, up).await {
            Ok(conn) => conn,
            Err(e) => {
                tracing::info!(event = "connect_failed", upstream = %up.id, addr = %up.addr,
                    request = fwd.id, error = %e);
                sending.ended(Ended::Unreachable, None);
                return Tried::NotRun(Ended::Unreachable);
            }
        },
    };
    exchange(cx, conn, up, fwd, sending).await
}

async fn connect(cx: &Cx, up: &Upstream) -> std::io::Result<Conn> {
    let since = std::time::Instant::now();
    let connected = cx.pool.connect(up, cx.now()).await;
    cx.metrics.connect(if connected.is_ok() { "connected" } else { "failed" });
    if connected.is_ok() {
        cx.steering.lock().connected(&up.zone, since.elapsed().as_secs_f64() * 1_000.0);
    }
    connected
}

async fn exchange(
    cx: &Cx,
    mut conn: Conn,
    up: &Upstream,
    fwd: &Forward<'_>,
    sending: &mut Sending<'_>,
) -> Tried {
    let response = match conn.sender.try_send_request(request(cx, up, fwd)).await {
        Ok(response) => response,
        Err(mut e) => {
            // The request comes back only if not a byte of it was written.
            let unsent = e.take_message().is_some();
            let ended = if unsent { Ended::Unreachable } else { Ended::Broken };
            sending.ended(ended, None);
            return if unsent { Tried::NotRun(ended) } else { Tried::MayHaveRun(ended) };
        }
    };
    let answer = cx.dialect.answer(response.status(), response.headers());
    if answer.id.as_deref() != Some(fwd.id) && !answer.moved {
        // A surplus answer to an earlier request: what follows on this connection is unknown.
        tracing::warn!(event = "foreign_answer", request = fwd.id, upstream = %up.id,
            answers = answer.id.as_deref().unwrap_or("-"));
        sending.ended(Ended::Broken, None);
        return Tried::MayHaveRun(Ended::Broken);
    }
    if answer.moved || answer.not_run {
        let ended = if answer.moved { Ended::Moved } else { Ended::Shed };
        sending.ended(ended, Some(&answer));
        recycle(cx, conn, up, &answer, response.into_body()).await;
        return Tried::NotRun(ended);
    }
    let (head, body) = response.into_parts();
    match read(body).await {
        Ok(Held::Whole(bytes)) => {
            sending.ended(Ended::Answered, Some(&answer));
            conn.keeps_idle = answer.keeps_idle;
            cx.pool.put(&up.id, conn, cx.now());
            Tried::Answered(Response::from_parts(head, full_body(bytes)))
        }
        Ok(Held::Start(start, rest)) => {
            sending.ended(Ended::Answered, Some(&answer));
            Tried::Answered(Response::from_parts(head, resumed(start, rest)))
        }
        Err(e) => {
            tracing::info!(event = "answer_broke_off", request = fwd.id, upstream = %up.id,
                error = %e);
            sending.ended(Ended::Broken, None);
            Tried::MayHaveRun(Ended::Broken)
        }
    }
}

/// Keeps the connection of a refused request if the rest of the refusal is short.
async fn recycle(cx: &Cx, mut conn: Conn, up: &Upstream, answer: &Answer, body: Incoming) {
    if let Ok(Held::Whole(_)) = read(body).await
        && !answer.moved
    {
        conn.keeps_idle = answer.keeps_idle;
        cx.pool.put(&up.id, conn, cx.now());
    }
}

/// An answer's body, as far as it was read.
enum Held {
    Whole(Bytes),
    Start(Bytes, Incoming),
}

async fn read(mut body: Incoming) -> hyper::Result<Held> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() > WHOLE_BYTES {
            return Ok(Held::Start(buf.freeze(), body));
        }
    }
    Ok(Held::Whole(buf.freeze()))
}

/// A body that begins with `start` and goes on with `rest`.
fn resumed(start: Bytes, rest: Incoming) -> Body {
    let first = futures::stream::once(async move { Ok(Frame::data(start)) });
    let rest = rest.into_data_stream();
    let rest = futures::StreamExt::map(rest, |data| match data {
        Ok(data) => Ok(Frame::data(data)),
        Err(e) => Err(BodyError::from(e)),
    });
    StreamBody::new(futures::StreamExt::chain(first, rest)).boxed_unsync()
}

fn request(cx: &Cx, up: &Upstream, fwd: &Forward<'_>) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(fwd.body.clone()));
    *req.method_mut() = fwd.method.clone();
    *req.uri_mut() = fwd.uri.clone();
    *req.version_mut() = HttpVersion::HTTP_11;
    *req.headers_mut() = fwd.headers.clone();
    let headers = req.headers_mut();
    let bodiless = matches!(*fwd.method, Method::GET | Method::HEAD | Method::DELETE);
    if !fwd.body.is_empty() || !bodiless {
        headers.insert(CONTENT_LENGTH, fwd.body.len().into());
    }
    let left = fwd.until.since(cx.now());
    cx.dialect.dispatch(headers, &Dispatch { upstream: &up.id, left });
    req
}
