//! A pooled HTTP client whose connections come from a [`Dial`].

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use foxtail_time::Millis;
use futures::future::BoxFuture;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::Uri;
use hyper::rt::ReadBufCursor;
use hyper_util::client::legacy::Client as LegacyClient;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tower::Service;

use crate::{Dial, Stream};

/// The error of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A request's body, streamed from any source.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A pooled keep-alive HTTP/1 client.
pub type Client = LegacyClient<Connector, Body>;

/// Limits on the idle connections of a client's pool.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long an idle connection stays in the pool.
    pub idle_timeout: Millis,
    /// The maximum number of idle connections per server.
    pub max_idle_per_server: usize,
}

/// Connects to URIs whose authority is a socket address; names are not resolved.
#[derive(Clone)]
pub struct Connector {
    dial: Arc<dyn Dial>,
}

/// A connection of the pool.
pub struct Conn {
    io: TokioIo<Box<dyn Stream>>,
}

impl Default for Options {
    fn default() -> Self {
        Self { idle_timeout: Millis::secs(60), max_idle_per_server: 64 }
    }
}

impl Service<Uri> for Connector {
    type Response = Conn;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<Conn>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let dial = Arc::clone(&self.dial);
        Box::pin(async move {
            let stream = dial.dial(socket_addr(&uri)?).await?;
            Ok(Conn { io: TokioIo::new(stream) })
        })
    }
}

impl Connection for Conn {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl hyper::rt::Read for Conn {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl hyper::rt::Write for Conn {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Creates a client whose connections come from `dial`. It never retries a request by itself.
pub fn client(dial: Arc<dyn Dial>, options: &Options) -> Client {
    LegacyClient::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(options.idle_timeout.duration())
        .pool_max_idle_per_host(options.max_idle_per_server)
        .retry_canceled_requests(false)
        .set_host(true)
        .build(Connector { dial })
}

/// Returns a body that holds all of `bytes` in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

fn socket_addr(uri: &Uri) -> io::Result<SocketAddr> {
    let text = uri.authority().map_or("", |authority| authority.as_str());
    text.parse().map_err(|_| {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("`{text}` is not an IP address with a port"),
        )
    })
}
