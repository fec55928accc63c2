//! TCP connections whose timeout for unacknowledged bytes can be suspended while they are open.
//!
//! The operating system applies that timeout also while the peer's receive window is closed. A server
//! that works on a request and has not read all of its body yet then looks like one that is gone.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use foxtail_time::Millis;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How many bytes may wait in the operating system before they are sent while the timeout is suspended, in
/// bytes. A connection on which more waits is blocked by its peer or the network.
const MAX_UNSENT_BYTES: u32 = 16 * 1024;

/// Suspends the timeout for unacknowledged bytes of a connection.
#[derive(Clone, Debug, Default)]
pub struct SilenceTimeout(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    suspended: AtomicBool,
    /// Whether the last write has to wait until the peer takes more.
    blocked: AtomicBool,
}

/// A connection with a [`SilenceTimeout`].
pub(crate) struct AdjustableStream {
    stream: TcpStream,
    timeout: Millis,
    shared: Arc<Shared>,
    /// Whether the timeout is suspended at the operating system.
    is_suspended: bool,
}

/// Returns `stream`, whose timeout for unacknowledged bytes is `timeout`, and what suspends the timeout.
pub(crate) fn stream(stream: TcpStream, timeout: Millis) -> (AdjustableStream, SilenceTimeout) {
    let silence_timeout = SilenceTimeout::default();
    let shared = Arc::clone(&silence_timeout.0);
    (AdjustableStream { stream, timeout, shared, is_suspended: false }, silence_timeout)
}

impl SilenceTimeout {
    /// Suspends the timeout, or sets it again, from the next write on.
    pub fn set_suspended(&self, suspended: bool) {
        self.0.suspended.store(suspended, Ordering::Relaxed);
    }

    /// Returns whether bytes can't be sent now, since the peer does not read or is gone.
    pub fn is_blocked(&self) -> bool {
        self.0.blocked.load(Ordering::Relaxed)
    }
}

impl AdjustableStream {
    fn adjust(&mut self) -> io::Result<()> {
        let suspended = self.shared.suspended.load(Ordering::Relaxed);
        if suspended == self.is_suspended {
            return Ok(());
        }
        let socket = SockRef::from(&self.stream);
        socket.set_tcp_user_timeout((!suspended).then(|| self.timeout.duration()))?;
        if suspended && let Err(e) = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
            tracing::debug!(event = "unsent_bytes_not_limited", error = %e);
        }
        self.is_suspended = suspended;
        Ok(())
    }

    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.shared.blocked.store(written.is_pending(), Ordering::Relaxed);
        written
    }
}

impl AsyncRead for AdjustableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for AdjustableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.adjust()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.adjust()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(written)
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
