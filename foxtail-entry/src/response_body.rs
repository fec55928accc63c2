//! Response bodies: read ahead, so that a request can be sent again if one breaks off, and then passed on.

use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use foxtail_net::http::{Body, BodyError};
use foxtail_steer::delivery::DeliveryId;
use foxtail_types::prelude::*;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming, SizeHint};
use tokio::time::{Instant, timeout_at};

use crate::context::HostContext;
use crate::memory::{MemoryAccount, Reservation};

/// Responses of up to this many bytes are read completely before forwarding, so that the request
/// can be retried at another upstream if the connection breaks in the middle.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 128 * 1024;

/// The size of the buffer for a response, in bytes. It is doubled whenever it is full.
const FIRST_BUFFER_BYTES: usize = 8 * 1024;

/// A response body as far as it was read.
pub(crate) enum ResponseBody {
    Complete(Bytes),
    Partial(PartialBody),
}

/// The start of a response body, and its remaining stream.
pub(crate) struct PartialBody {
    start: Bytes,
    rest: Incoming,
    /// The memory of the start, later that of what is read ahead of the caller.
    reservation: Option<Reservation>,
}

/// The start of a response body.
#[derive(Default)]
struct Buffer {
    data: BytesMut,
    reservation: Option<Reservation>,
}

/// A response body that is passed on while it arrives.
struct ForwardedBody {
    body: Body,
    cx: Arc<HostContext>,
    delivery: DeliveryId,
    bytes: u64,
    _reservation: Reservation,
}

/// Reads `body` up to [`MAX_BUFFERED_RESPONSE_BYTES`], or less if `memory` has no room for that.
pub(crate) async fn read_body(
    memory: &Arc<MemoryAccount>,
    mut body: Incoming,
) -> hyper::Result<ResponseBody> {
    let mut buf = Buffer::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let has_room = buf.make_room(memory, data.len());
        buf.data.extend_from_slice(&data);
        if !has_room || buf.data.len() > MAX_BUFFERED_RESPONSE_BYTES {
            let Buffer { data, reservation } = buf;
            let start = data.freeze();
            return Ok(ResponseBody::Partial(PartialBody { start, rest: body, reservation }));
        }
    }
    Ok(ResponseBody::Complete(buf.into_bytes()))
}

impl Buffer {
    /// Makes room for `len` bytes more, and returns whether there was memory for that.
    fn make_room(&mut self, memory: &Arc<MemoryAccount>, len: usize) -> bool {
        let needed = self.data.len() + len;
        if needed <= self.data.capacity() {
            return true;
        }
        let capacity = needed.max(FIRST_BUFFER_BYTES).next_power_of_two();
        let missing = (capacity - self.data.capacity()) as u64;
        let reserved = match &mut self.reservation {
            Some(reservation) => reservation.extend(missing),
            None => memory.try_reserve(missing).map(|got| self.reservation = Some(got)),
        };
        if reserved.is_ok() {
            self.data.reserve(capacity - self.data.len());
        }
        reserved.is_ok()
    }

    fn into_bytes(self) -> Bytes {
        let data = self.data.freeze();
        match self.reservation {
            Some(reservation) => reservation.hold(data),
            None => data,
        }
    }
}

/// Returns `body` to be passed on. It breaks off if it does not end within `left`.
pub(crate) fn chain_body(body: PartialBody, left: Millis, request: &str) -> Body {
    let PartialBody { start, rest, reservation } = body;
    let first = futures::stream::once(async move { Ok(Frame::data(start)) });
    let deadline = Instant::now() + left.duration();
    let request = request.to_owned();
    let rest = futures::stream::unfold(Some(rest.into_data_stream()), move |rest| {
        let request = request.clone();
        let _held_until_the_end = &reservation;
        async move {
            let mut rest = rest?;
            match timeout_at(deadline, futures::StreamExt::next(&mut rest)).await {
                Ok(data) => Some((data?.map(Frame::data).map_err(BodyError::from), Some(rest))),
                Err(e) => {
                    tracing::info!(event = "answer_cut_off", request);
                    Some((Err(BodyError::from(e)), None))
                }
            }
        }
    });
    StreamBody::new(futures::StreamExt::chain(first, rest)).boxed_unsync()
}

/// Records how long `response` of `route` takes to reach `caller` if it is not read completely yet, and
/// keeps `reservation` until then.
pub(crate) fn record_delivery(
    cx: &Arc<HostContext>,
    response: Response<Body>,
    (route, caller): (&str, IpAddr),
    reservation: Reservation,
) -> Response<Body> {
    if hyper::body::Body::size_hint(response.body()).exact().is_some() {
        return response;
    }
    let delivery = cx.deliveries.lock().begin(route, caller, cx.now());
    response.map(|body| {
        let cx = Arc::clone(cx);
        ForwardedBody { body, cx, delivery, bytes: 0, _reservation: reservation }.boxed_unsync()
    })
}

impl hyper::body::Body for ForwardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ForwardedBody {
    fn drop(&mut self) {
        let Self { cx, delivery, bytes, .. } = self;
        cx.deliveries.lock().finish(*delivery, *bytes, cx.now());
    }
}
