//! The port through which every outgoing connection is made.

use std::io;
use std::net::SocketAddr;

use async_trait::async_trait;
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
