//! Ends a connection whose server sends too much before an answer.
//!
//! The HTTP library reads on behind an interim answer for as long as there is more, so that a server which
//! sends them without end keeps it from all other work.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll, ready};

use foxtail_net::Stream;
use hyper::Request;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The most interim answers to one request.
const MAX_INTERIM_ANSWERS: u32 = 8;

/// How much is read at once, in bytes. It bounds the interim answers that are parsed before their number is
/// checked, and the buffer that the HTTP library keeps for the connection.
const READ_BYTES: usize = 16 * 1024;

/// Counts the interim answers to the request that awaits its answer on a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerGuard(Arc<AtomicU32>);

/// A connection that ends with an error when its [`AnswerGuard`] has counted too many.
pub(crate) struct GuardedStream {
    stream: Box<dyn Stream>,
    guard: AnswerGuard,
}

impl AnswerGuard {
    /// Counts the interim answers to `req`.
    pub(crate) fn await_answer<B>(&self, req: &mut Request<B>) {
        let count = Arc::clone(&self.0);
        hyper::ext::on_informational(req, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Ends the count, since the answer itself has come.
    pub(crate) fn record_answer(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

impl GuardedStream {
    pub(crate) fn new(stream: Box<dyn Stream>, guard: &AnswerGuard) -> Self {
        Self { stream, guard: guard.clone() }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.guard.0.load(Ordering::Relaxed) > MAX_INTERIM_ANSWERS {
            return Poll::Ready(Err(io::Error::other("too many interim answers")));
        }
        if buf.remaining() <= READ_BYTES {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(READ_BYTES));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
