//! The trait [`Dial`], through which all outgoing connections are made, and its TCP
//! implementations.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use foxtail_time::Millis;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use crate::adjustable::{self, SilenceTimeout};

/// A byte stream in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// Makes outgoing connections. Stand-ins for networks implement it to add delays, limit rates and
/// break connections.
#[async_trait]
pub trait Dial: Send + Sync {
    /// Connects to `to`.
    ///
    /// # Errors
    ///
    /// The error that the operating system reports, for example for a refused connection, or
    /// [`io::ErrorKind::TimedOut`] if an implementation limits the time.
    async fn dial(&self, to: SocketAddr) -> io::Result<Box<dyn Stream>>;

    /// Connects to `to` as [`Dial::dial`] does, and returns with the connection what changes its timeout
    /// for unacknowledged bytes, if it has one.
    ///
    /// # Errors
    ///
    /// The errors of [`Dial::dial`].
    async fn dial_adjustable(
        &self,
        to: SocketAddr,
    ) -> io::Result<(Box<dyn Stream>, Option<SilenceTimeout>)> {
        Ok((self.dial(to).await?, None))
    }
}

/// Plain TCP without Nagle's algorithm, so that small writes are sent at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDial;

#[async_trait]
impl Dial for TcpDial {
    async fn dial(&self, to: SocketAddr) -> io::Result<Box<dyn Stream>> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }
}

/// TCP that detects an unresponsive peer: a connection ends with an error if it is not accepted in
/// time, sent bytes are not acknowledged in time, or keep-alive probes are not answered.
#[derive(Clone, Copy, Debug)]
pub struct KeepaliveDial {
    /// The maximum time for connecting.
    pub connect_timeout: Millis,
    /// The maximum time for which sent bytes may stay unacknowledged.
    pub unacknowledged_timeout: Millis,
    /// The idle time before the first keep-alive probe, and the interval between probes. It is
    /// rounded up to whole seconds, the unit of the operating system. With
    /// `unacknowledged_timeout` set, the system uses that in place of a number of probes: an idle
    /// connection ends at the first probe that is due after one stayed unanswered, if the timeout has
    /// passed by then.
    pub probe_interval: Millis,
}

/// The number of unanswered probes after which a connection ends where the system does not apply
/// [`KeepaliveDial::unacknowledged_timeout`] to idle connections.
const MAX_UNANSWERED_PROBES: u32 = 2;

#[async_trait]
impl Dial for KeepaliveDial {
    async fn dial(&self, to: SocketAddr) -> io::Result<Box<dyn Stream>> {
        Ok(Box::new(self.connect(to).await?))
    }

    async fn dial_adjustable(
        &self,
        to: SocketAddr,
    ) -> io::Result<(Box<dyn Stream>, Option<SilenceTimeout>)> {
        let (stream, timeout) =
            adjustable::stream(self.connect(to).await?, self.unacknowledged_timeout);
        Ok((Box::new(stream), Some(timeout)))
    }
}

impl KeepaliveDial {
    async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let connecting = TcpStream::connect(to);
        let stream = tokio::time::timeout(self.connect_timeout.duration(), connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(self.unacknowledged_timeout.duration()))?;
        let probe_interval = Duration::from_secs(self.probe_interval.0.div_ceil(1_000).max(1));
        let keepalive = TcpKeepalive::new().with_time(probe_interval).with_interval(probe_interval);
        socket.set_tcp_keepalive(&keepalive.with_retries(MAX_UNANSWERED_PROBES))?;
        Ok(stream)
    }
}
