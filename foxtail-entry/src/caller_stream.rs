//! Connections of callers, which show that a caller has left also while bytes of it are unread, and which
//! requests wait behind the one in progress.

use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use foxtail_net::http::Body;
use foxtail_types::prelude::*;
use hyper::Response;
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::read_ahead::{Head, Pipeline};

/// How often a connection is checked on which unread bytes wait. The operating system reports no change
/// of it that could be waited for.
const CHECK_INTERVAL: Millis = Millis(150);

/// The most bytes that are read before the HTTP library asks for them.
const MAX_BYTES_AHEAD: usize = 8 * 1024;

/// The most bytes that are read ahead at a time.
const READ_BYTES: usize = 2 * 1024;

/// A connection of a caller.
#[derive(Clone)]
pub(crate) struct CallerStream {
    tcp: Arc<TcpStream>,
    /// Bytes that the HTTP library has not asked for yet.
    ahead: Arc<Mutex<Vec<u8>>>,
    pipeline: Arc<Pipeline>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { tcp: Arc::new(stream), ahead: Arc::default(), pipeline: Arc::default() }
    }

    /// The requests of the connection whose turn has not come.
    pub(crate) fn pipeline(&self) -> &Pipeline {
        &self.pipeline
    }

    /// Starts requests that come behind the one in progress, and returns when the caller has closed its side
    /// of the connection.
    ///
    /// The HTTP library notices a close only when it reads, which it does not while requests wait behind
    /// another one.
    pub(crate) async fn read_ahead(
        &self,
        start: impl Fn(&Head) -> Option<AbortOnDropHandle<Response<Body>>>,
    ) {
        loop {
            self.pipeline.start_waiting(&start);
            match self.tcp.ready(Interest::READABLE).await {
                Ok(state) if !state.is_read_closed() => {}
                Ok(_) | Err(_) => return,
            }
            let room = MAX_BYTES_AHEAD - self.ahead.lock().len();
            if room == 0 || !self.pipeline.wants_more() {
                tokio::time::sleep(CHECK_INTERVAL.duration()).await;
                continue;
            }
            if !self.fill(room) {
                return;
            }
        }
    }

    /// Reads what is there, up to `room` bytes. Returns whether the caller may send more.
    fn fill(&self, room: usize) -> bool {
        let mut buf = [0; READ_BYTES];
        let room = room.min(buf.len());
        match self.tcp.try_read(&mut buf[..room]) {
            Ok(len) => {
                self.pipeline.push(&buf[..len]);
                self.ahead.lock().extend_from_slice(&buf[..len]);
                len > 0
            }
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Moves bytes that were read ahead to `buf`. Returns whether there were any.
    fn take_ahead(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut ahead = self.ahead.lock();
        let len = ahead.len().min(buf.remaining());
        buf.put_slice(&ahead[..len]);
        ahead.drain(..len);
        if ahead.is_empty() {
            // Connections are many, and few of them have pipelined requests all the time.
            *ahead = Vec::new();
        }
        len > 0
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.take_ahead(buf) {
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.tcp.poll_read_ready(cx))?;
            match self.tcp.try_read(buf.initialize_unfilled()) {
                Ok(len) => {
                    self.pipeline.push(&buf.initialize_unfilled()[..len]);
                    buf.advance(len);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.tcp).shutdown(Shutdown::Write))
    }
}

impl CallerStream {
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.tcp.poll_write_ready(cx))?;
            match write(&self.tcp) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}
