//! A loopback proxy before an upstream, which delays, silences or resets connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// What the proxy does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    Pass,
    Delay(Duration),
    /// Bytes to the upstream, or from it, are kept back until the mode changes.
    SilentTo,
    SilentFrom,
    /// Connections are closed as soon as bytes come.
    Reset,
}

pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Proxy {
    pub(crate) async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let mode = Arc::new(Mutex::new(Mode::Pass));
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let (theirs, ended, spawned) = (Arc::clone(&mode), stop.clone(), tasks.clone());
        tasks.spawn(async move {
            while let Some(Ok((stream, _))) = ended.run_until_cancelled(listener.accept()).await {
                let (mode, ended) = (Arc::clone(&theirs), ended.clone());
                spawned.spawn(async move {
                    ended.run_until_cancelled(relay(stream, to, mode)).await;
                });
            }
        });
        Self { addr, mode, stop, tasks }
    }

    pub(crate) fn set(&self, mode: Mode) {
        *self.mode.lock() = mode;
    }

    pub(crate) async fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

async fn relay(host: TcpStream, to: SocketAddr, mode: Arc<Mutex<Mode>>) {
    // An upstream that is gone refuses; the host sees its connection closed.
    let Ok(upstream) = TcpStream::connect(to).await else { return };
    let (from_host, to_host) = host.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    tokio::select! {
        () = copy(from_host, to_upstream, &mode, Mode::SilentTo) => {}
        () = copy(from_upstream, to_host, &mode, Mode::SilentFrom) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mode: &Mutex<Mode>, silent: Mode) {
    let mut buf = [0; 4096];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        let now = *mode.lock();
        match now {
            Mode::Reset => return,
            Mode::Delay(by) => tokio::time::sleep(by).await,
            _ => {}
        }
        while *mode.lock() == silent {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
