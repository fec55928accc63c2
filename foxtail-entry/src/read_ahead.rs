//! Pipelined requests that are handled before the ones in front of them are answered.
//!
//! The HTTP library takes one request of a connection after the other, so a pipelined request would spend the
//! time that its caller grants waiting for the slowest one in front of it. [`HeadScanner`] finds the heads of
//! requests in the bytes of a connection, and [`Pipeline`] keeps the requests that were started from them
//! until the library comes to them. The library still parses everything and writes all responses, in order.

use std::collections::VecDeque;

use foxtail_net::http::Body;
use httparse::Status;
use hyper::http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::task::AbortOnDropHandle;

/// The most requests of a connection that are handled ahead of their turn. It bounds what one caller can
/// make a host do at the same time on one connection.
const MAX_REQUESTS_AHEAD: usize = 8;

/// The most heads that are kept of a connection. Callers that send more are served in turn.
const MAX_WAITING_HEADS: usize = 32;

/// The most bytes of an incomplete head that are kept. Longer heads are left to the HTTP library.
const MAX_PARTIAL_HEAD_BYTES: usize = 4 * 1024;

/// The most headers of a request that is handled ahead of its turn, as in the HTTP library.
const MAX_HEADERS: usize = 100;

/// The head of a request without a body.
pub(crate) type Head = Request<()>;

/// Finds the heads of requests in the bytes of a connection, as long as it can tell where each request ends.
#[derive(Default)]
pub(crate) struct HeadScanner {
    partial: Vec<u8>,
    lost: bool,
}

impl HeadScanner {
    /// Takes the next bytes of the connection and returns the heads that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<Head> {
        let mut heads = Vec::new();
        if self.lost {
            return heads;
        }
        let mut whole = std::mem::take(&mut self.partial);
        let mut rest = bytes;
        if !whole.is_empty() {
            whole.extend_from_slice(bytes);
            rest = &whole;
        }
        while !rest.is_empty() {
            match parse(rest) {
                Some(Status::Complete((head, len))) => {
                    heads.push(head);
                    rest = &rest[len..];
                }
                Some(Status::Partial) if rest.len() <= MAX_PARTIAL_HEAD_BYTES => {
                    self.partial = rest.to_vec();
                    break;
                }
                Some(Status::Partial) | None => {
                    self.lost = true;
                    break;
                }
            }
        }
        heads
    }

    /// Whether later requests of the connection can't be found.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost
    }
}

/// Parses the request without a body that `bytes` start with, and returns its head and length. Returns `None`
/// for a request with a body, the last one of its connection, or one that can't be parsed.
fn parse(bytes: &[u8]) -> Option<Status<(Head, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let Status::Complete(len) = parsed.parse(bytes).ok()? else { return Some(Status::Partial) };
    if parsed.version != Some(1) {
        return None;
    }
    let mut head = Request::builder().method(parsed.method?).uri(parsed.path?);
    for header in parsed.headers.iter() {
        head = head.header(header.name, header.value);
    }
    let head = head.body(()).ok().filter(has_no_body)?;
    Some(Status::Complete((head, len)))
}

/// Returns whether another request follows right behind `head`.
fn has_no_body(head: &Head) -> bool {
    let headers = head.headers();
    let others = [TRANSFER_ENCODING, UPGRADE, EXPECT, CONNECTION];
    !others.iter().any(|name| headers.contains_key(name))
        && headers.get_all(CONTENT_LENGTH).iter().all(|len| len == "0")
}

/// The requests of a connection whose turn has not come.
#[derive(Default)]
pub(crate) struct Pipeline {
    requests: Mutex<Requests>,
    taken: Notify,
}

#[derive(Default)]
struct Requests {
    scanner: HeadScanner,
    /// Requests that are being handled, in order.
    started: VecDeque<Started>,
    /// The heads of the requests behind these, in order.
    waiting: VecDeque<Head>,
}

struct Started {
    head: Head,
    response: AbortOnDropHandle<Response<Body>>,
}

impl Pipeline {
    /// Takes bytes that the HTTP library has read or will read.
    pub(crate) fn push(&self, bytes: &[u8]) {
        let mut requests = self.requests.lock();
        let heads = requests.scanner.push(bytes);
        requests.waiting.extend(heads);
        if requests.waiting.len() > MAX_WAITING_HEADS {
            requests.lose();
        }
    }

    /// Whether more bytes are worth reading before the HTTP library asks for them.
    pub(crate) fn wants_more(&self) -> bool {
        let requests = self.requests.lock();
        !requests.scanner.is_lost()
            && requests.started.len() + requests.waiting.len() < MAX_REQUESTS_AHEAD
    }

    /// Starts the requests behind the one whose turn it is, up to the first for which `start` returns `None`.
    pub(crate) fn start_waiting(
        &self,
        start: impl Fn(&Head) -> Option<AbortOnDropHandle<Response<Body>>>,
    ) {
        let mut requests = self.requests.lock();
        while requests.started.len() < MAX_REQUESTS_AHEAD
            && let Some(head) = requests.waiting.front()
            && let Some(response) = start(head)
        {
            let head = requests.waiting.pop_front().expect("seen above");
            requests.started.push_back(Started { head, response });
        }
    }

    /// Returns the response of the request `head`, whose turn it is, if the request was started.
    pub(crate) fn take(&self, head: &Parts) -> Option<AbortOnDropHandle<Response<Body>>> {
        let mut requests = self.requests.lock();
        let (seen, response) = match requests.started.pop_front() {
            Some(Started { head, response }) => (Some(head), Some(response)),
            None => (requests.waiting.pop_front(), None),
        };
        self.taken.notify_waiters();
        if seen.is_some_and(|seen| !is_same(&seen, head)) {
            tracing::warn!(event = "pipeline_out_of_step", path = head.uri.path());
            requests.started.clear();
            requests.lose();
            return None;
        }
        response
    }

    /// Whether requests are being handled ahead of their turn.
    pub(crate) fn has_started(&self) -> bool {
        !self.requests.lock().started.is_empty()
    }

    /// Waits until no request is being handled ahead of its turn.
    pub(crate) async fn drained(&self) {
        loop {
            let taken = self.taken.notified();
            if !self.has_started() {
                return;
            }
            taken.await;
        }
    }
}

impl Requests {
    /// Leaves all requests that were not started to the HTTP library.
    fn lose(&mut self) {
        self.scanner.lost = true;
        self.waiting.clear();
    }
}

fn is_same(seen: &Head, head: &Parts) -> bool {
    seen.method() == head.method && *seen.uri() == head.uri && *seen.headers() == head.headers
}
