//! A port of loopback, and the tasks that serve its connections.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A free port of loopback whose connections are served until it is closed.
pub struct Listener {
    addr: SocketAddr,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Listener {
    /// Opens a port and has `serve` serve each connection.
    ///
    /// # Errors
    ///
    /// Whatever binding reports.
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

    /// Where it is.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Breaks all connections, refuses new ones, and joins all tasks.
    pub async fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
