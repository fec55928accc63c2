//! Ends a connection whose server sends too much before an answer.
//!
//! The HTTP library reads on behind an interim answer for as long as there is more, so that a server which
//! sends them without end keeps it from all other work. It skips empty lines before an answer, and does so
//! from the first one on each time that more of them come.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use foxtail_net::Stream;
use hyper::Request;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The most interim answers to one request.
const MAX_INTERIM_ANSWERS: u32 = 8;

/// The most bytes of empty lines before an answer. Servers may send one line break too many behind the answer
/// before.
const MAX_EMPTY_BYTES: usize = 64;

/// How much is read at once, in bytes. It bounds the interim answers that are parsed before their number is
/// checked, and the buffer that the HTTP library keeps for the connection.
const READ_BYTES: usize = 16 * 1024;

/// Counts what comes before the answer to the request that awaits it on a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerGuard(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    interim_answers: AtomicU32,
    /// Bytes of empty lines, or [`ANSWER_BEGUN`].
    empty_bytes: AtomicUsize,
}

/// Stands in [`Counts`] for an answer of which a byte has come: empty lines may be a part of it.
const ANSWER_BEGUN: usize = usize::MAX;

/// A connection that ends with an error when its [`AnswerGuard`] has counted too many.
pub(crate) struct GuardedStream {
    stream: Box<dyn Stream>,
    guard: AnswerGuard,
}

impl AnswerGuard {
    /// Counts what comes before the answer to `req`.
    pub(crate) fn await_answer<B>(&self, req: &mut Request<B>) {
        self.0.empty_bytes.store(0, Ordering::Relaxed);
        let counts = Arc::clone(&self.0);
        hyper::ext::on_informational(req, move |_| {
            counts.interim_answers.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Ends the count, since the answer itself has come.
    pub(crate) fn record_answer(&self) {
        self.0.interim_answers.store(0, Ordering::Relaxed);
    }

    /// Checks the next bytes of the connection.
    fn check(&self, bytes: &[u8]) -> io::Result<()> {
        let before = self.0.empty_bytes.load(Ordering::Relaxed);
        if before == ANSWER_BEGUN {
            return Ok(());
        }
        let empty = bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        if before + empty > MAX_EMPTY_BYTES {
            return Err(io::Error::other("too many empty lines before an answer"));
        }
        let now = if empty == bytes.len() { before + empty } else { ANSWER_BEGUN };
        self.0.empty_bytes.store(now, Ordering::Relaxed);
        Ok(())
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
        if self.guard.0.interim_answers.load(Ordering::Relaxed) > MAX_INTERIM_ANSWERS {
            return Poll::Ready(Err(io::Error::other("too many interim answers")));
        }
        if buf.remaining() <= READ_BYTES {
            let old_len = buf.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
            return Poll::Ready(self.guard.check(&buf.filled()[old_len..]));
        }
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(READ_BYTES));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        self.guard.check(part.filled())?;
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
