//! Whole answers in memory, and answers passed on while they arrive.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use foxtail_limit::Verdict;
use foxtail_net::http::BodyError;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use super::{Held, Run};

/// How reading a whole answer ended.
pub(crate) enum Collected {
    /// All of it.
    Whole(Bytes),
    /// More than the limit: what was read so far, and the rest.
    Larger(Bytes, Incoming),
    /// It broke off, or did not end in time.
    Broken,
}

/// An answer passed on while it arrives. It holds the attempt until its end, and ends with an
/// error when the attempt's time is over, never as if it were whole.
pub(crate) struct Streamed {
    inner: Incoming,
    run: Option<Run>,
    timer: Pin<Box<Sleep>>,
    held: Option<Held>,
}

impl Streamed {
    /// Passes on `inner` as long as `run` may last, and keeps `held` until its end.
    pub(crate) fn new(inner: Incoming, run: Run, held: Held) -> Self {
        let timer = Box::pin(tokio::time::sleep(run.left().duration()));
        Self { inner, run: Some(run), timer, held: Some(held) }
    }

    fn finish(&mut self) {
        if let Some(run) = self.run.take() {
            run.answered_soon();
            self.held = None;
        }
    }

    fn end(&mut self, verdict: Verdict) {
        if let Some(run) = self.run.take() {
            run.end_soon(verdict);
            self.held = None;
        }
    }
}

impl Body for Streamed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.timer.as_mut().poll(cx).is_ready() {
            self.end(Verdict::TimedOut);
            return Poll::Ready(Some(Err("the answer did not end in time".into())));
        }
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
                if let Some(run) = &mut self.run {
                    run.add_bytes(bytes);
                }
                if self.inner.is_end_stream() {
                    self.finish();
                }
            }
            Poll::Ready(Some(Err(_))) => self.end(Verdict::Broken),
            Poll::Ready(None) => self.finish(),
            Poll::Pending => {}
        }
        polled.map_err(BodyError::from)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Reads up to `limit` bytes of an answer, as long as `run` may last.
pub(crate) async fn collect(mut body: Incoming, run: &mut Run, limit: usize) -> Collected {
    let span = run.left();
    let mut buf = BytesMut::new();
    let read = async {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            if let Ok(data) = frame.into_data() {
                run.add_bytes(data.len() as u64);
                buf.extend_from_slice(&data);
            }
            if buf.len() > limit {
                return true;
            }
        }
        true
    };
    match tokio::time::timeout(span.duration(), read).await {
        Ok(true) if buf.len() > limit => Collected::Larger(buf.freeze(), body),
        Ok(true) => Collected::Whole(buf.freeze()),
        Ok(false) | Err(_) => Collected::Broken,
    }
}
