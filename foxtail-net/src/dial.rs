//! The port through which every outgoing connection is made.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use foxtail_time::Millis;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A byte stream in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// Makes outgoing connections. Stand-ins add delays, rates and cuts here.
#[async_trait]
pub trait Dial: Send + Sync {
    /// Connects to `to`.
    ///
    /// # Errors
    ///
    /// Whatever the operating system reports, for example a refused connection.
    async fn dial(&self, to: SocketAddr) -> io::Result<Box<dyn Stream>>;
}

/// Plain TCP with small writes sent at once.
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

/// TCP that notices a silent peer: a connection that is not taken in time, or whose bytes are not
/// acknowledged in time, ends with an error.
#[derive(Clone, Copy, Debug)]
pub struct KeepaliveDial {
    /// The longest that connecting may take.
    pub connect_timeout: Millis,
    /// The longest that sent bytes may stay unacknowledged.
    pub unacknowledged_timeout: Millis,
    /// How long a connection may be quiet before its peer is probed, and the pause between probes.
    /// The operating system takes whole seconds, so that it is rounded up.
    /// A peer that answers two probes in a row with silence is taken for gone.
    pub probe_interval: Millis,
}

/// Unanswered probes after which a peer is taken for gone.
const MAX_UNANSWERED_PROBES: u32 = 2;

#[async_trait]
impl Dial for KeepaliveDial {
    async fn dial(&self, to: SocketAddr) -> io::Result<Box<dyn Stream>> {
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
        Ok(Box::new(stream))
    }
}
