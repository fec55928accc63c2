//! The body of a caller's request, which is kept whole so that it can be sent again.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use foxtail_types::prelude::*;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};

use crate::memory::{MemoryAccount, OutOfMemory, Reservation};

/// The size of the parts in which a body is kept, in bytes. Their memory is used again for other bodies,
/// and no large body has to be copied when it grows.
const PART_BYTES: usize = 64 * 1024;

/// The size of the first part of a body of unknown length, in bytes. Each further one is twice as large.
const FIRST_PART_BYTES: usize = 8 * 1024;

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It is larger than allowed.
    #[error("the body is larger than allowed")]
    TooLarge,
    /// There is no memory for it.
    #[error(transparent)]
    OutOfMemory(#[from] OutOfMemory),
    /// The caller closed the connection, or broke the protocol.
    #[error("the body broke off: {0}")]
    BrokenOff(#[from] hyper::Error),
}

/// A body in memory.
#[derive(Clone, Default)]
pub(crate) struct RequestBody {
    parts: Arc<[Bytes]>,
    len: usize,
    /// Keeps the memory reserved until the last copy is dropped.
    reservation: Option<Arc<Reservation>>,
}

/// A [`RequestBody`] that is being sent.
#[derive(Default)]
pub(crate) struct SentBody {
    body: RequestBody,
    next_part: usize,
    left: usize,
}

/// Collects the data of a body.
struct Collector {
    parts: Vec<Bytes>,
    last: BytesMut,
    len: usize,
    /// The total size of the parts and of `last`, as far as memory was taken for them.
    capacity: usize,
    /// The length that the caller declared.
    declared: Option<usize>,
    reservation: Option<Reservation>,
}

impl RequestBody {
    /// Reads `body`, of up to `max_bytes`, with memory of `account`. `time_left` is how long the caller
    /// waits.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the body could not be read. What is not read then stays in `body`.
    pub(crate) async fn read(
        account: &Arc<MemoryAccount>,
        body: &mut Incoming,
        max_bytes: usize,
        time_left: Millis,
    ) -> Result<Self, Error> {
        let hint = hyper::body::Body::size_hint(body);
        let declared = hint.exact().map(|len| usize::try_from(len).unwrap_or(usize::MAX));
        if declared == Some(0) {
            return Ok(Self::default());
        }
        if declared.is_some_and(|len| len > max_bytes) {
            return Err(Error::TooLarge);
        }
        let reserved = declared.unwrap_or(FIRST_PART_BYTES) as u64;
        let reservation = account.reserve(reserved, time_left).await?;
        let mut collector = Collector {
            parts: Vec::new(),
            last: BytesMut::new(),
            len: 0,
            capacity: 0,
            declared,
            reservation: Some(reservation),
        };
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            if collector.len + data.len() > max_bytes {
                return Err(Error::TooLarge);
            }
            collector.push(data)?;
        }
        Ok(collector.finish())
    }

    /// Returns the length in bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether there was no memory for the body at first.
    pub(crate) fn waited_for_memory(&self) -> bool {
        self.reservation.as_ref().is_some_and(|reservation| reservation.waited)
    }

    /// Returns the parts of the body, in order.
    pub(crate) fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(Bytes::as_ref)
    }

    /// Returns the body to be sent.
    pub(crate) fn to_sent(&self) -> SentBody {
        SentBody { body: self.clone(), next_part: 0, left: self.len }
    }
}

impl Collector {
    fn push(&mut self, data: Bytes) -> Result<(), OutOfMemory> {
        self.len += data.len();
        if self.declared == Some(data.len()) {
            // The usual case: all of the body came at once.
            self.parts.push(data);
            return Ok(());
        }
        let mut data = &data[..];
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.add_part()?;
            }
            let (now, later) =
                data.split_at(data.len().min(self.last.capacity() - self.last.len()));
            self.last.extend_from_slice(now);
            data = later;
        }
        Ok(())
    }

    /// Makes room for more data.
    fn add_part(&mut self) -> Result<(), OutOfMemory> {
        let full = std::mem::take(&mut self.last);
        let capacity = match self.declared {
            Some(len) => (len - self.capacity).min(PART_BYTES),
            None if full.is_empty() => FIRST_PART_BYTES,
            None => {
                let capacity = (full.len() * 2).min(PART_BYTES);
                let reservation = self.reservation.as_mut().expect("taken only at the end");
                reservation.extend(capacity as u64)?;
                capacity
            }
        };
        if !full.is_empty() {
            self.parts.push(full.freeze());
        }
        self.capacity += capacity;
        self.last = BytesMut::with_capacity(capacity);
        Ok(())
    }

    fn finish(mut self) -> RequestBody {
        if !self.last.is_empty() {
            self.parts.push(self.last.freeze());
        }
        RequestBody {
            parts: self.parts.into(),
            len: self.len,
            reservation: self.reservation.take().map(Arc::new),
        }
    }
}

impl hyper::body::Body for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(part) = self.body.parts.get(self.next_part).cloned() else {
            return Poll::Ready(None);
        };
        self.next_part += 1;
        self.left -= part.len();
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

/// Reads what is left of `body` and drops it, so that a caller that still sends gets the response and not
/// a reset connection.
pub(crate) async fn discard(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
