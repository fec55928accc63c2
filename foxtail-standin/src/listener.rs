//! A loopback TCP listener that serves each connection in a task of its own.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A listener on a free loopback port that serves connections until it is closed.
pub struct Listener {
    addr: SocketAddr,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Listener {
    /// Binds a free loopback port and runs `serve` on each accepted connection.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port.
    pub async fn open<F>(serve: impl Fn(TcpStream) -> F + Send + 'static) -> io::Result<Self>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = listener.local_addr()?;
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let (stopped, conn_tasks) = (stop.clone(), tasks.clone());
        tasks.spawn(async move {
            while let Some(accepted) = stopped.run_until_cancelled(listener.accept()).await {
                let Ok((stream, _)) = accepted else { continue };
                let (conn, stopped) = (serve(stream), stopped.clone());
                conn_tasks.spawn(async move {
                    stopped.run_until_cancelled(conn).await;
                });
            }
        });
        Ok(Self { addr, stop, tasks })
    }

    /// Returns the address of the port.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Drops all connections, closes the port and waits until all tasks have ended.
    pub async fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
