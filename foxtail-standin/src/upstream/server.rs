//! The server's sockets and tasks.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use foxtail_types::prelude::*;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::handle::handle;
use super::state::State;
use super::{Audit, Options, Report, Stats};

/// How long the server waits before it tries again to listen on its port after a crash.
const REBIND_PAUSE: Millis = Millis(20);

/// A running upstream.
pub struct Server {
    addr: SocketAddr,
    state: Arc<State>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// Why a run of the server ended.
enum Ended {
    /// With the listener, if the port stays open.
    Crashed(Option<TcpListener>),
    Stopped,
}

impl Server {
    /// Starts an upstream on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn start(options: Options, audit: Arc<Audit>) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(State::new(options, audit));
        let stop = CancellationToken::new();
        let task = tokio::spawn(serve(Arc::clone(&state), listener, addr, stop.clone()));
        Ok(Self { addr, state, stop, task })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// How it behaves.
    pub fn options(&self) -> &Options {
        &self.state.options
    }

    /// What it has seen so far.
    pub fn stats(&self) -> Stats {
        self.state.stats()
    }

    /// Says that it is leaving, and refuses new work after its grace; or takes that back.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.set_leaving(leaving);
    }

    /// Changes what it reports of its load.
    pub fn set_report(&self, report: Report) {
        self.state.set_report(report);
    }

    /// Crashes it: connections break, it refuses new ones for a while and comes back cold.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Stops it at once and waits for its tasks.
    pub async fn stop(self) {
        self.stop.cancel();
        self.task.await.expect("the server task does not panic");
    }
}

async fn serve(
    state: Arc<State>,
    listener: TcpListener,
    addr: SocketAddr,
    stop: CancellationToken,
) {
    let mut listener = listener;
    while let Ended::Crashed(kept) = run(&state, listener, &stop).await {
        listener = match kept {
            Some(kept) => kept,
            None => tokio::select! {
                () = stop.cancelled() => return,
                rebound = rebind(addr, state.options.restart) => rebound,
            },
        };
        state.restart();
    }
}

/// Serves connections until a crash or the stop.
async fn run(state: &Arc<State>, listener: TcpListener, stop: &CancellationToken) -> Ended {
    let crash = state.crash_token();
    let mut conns = JoinSet::new();
    let crashed = loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted
                    && conns.len() < state.options.connections_max
                {
                    conns.spawn(connection(Arc::clone(state), stream));
                }
            }
            Some(_) = conns.join_next() => {}
            () = crash.cancelled() => break true,
            () = stop.cancelled() => break false,
        }
    };
    let keeps = crashed && state.options.restart == Millis::ZERO;
    // As when a process dies: no connection breaks while new ones are still taken.
    let kept = keeps.then_some(listener);
    conns.shutdown().await;
    if crashed { Ended::Crashed(kept) } else { Ended::Stopped }
}

async fn connection(state: Arc<State>, stream: TcpStream) {
    state.count_connection();
    sleep(state.options.connect.duration()).await;
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| handle(Arc::clone(&state), req));
    // A broken connection is the other side's business: it sees it too.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn rebind(addr: SocketAddr, after: Millis) -> TcpListener {
    sleep(after.duration()).await;
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(_) => sleep(REBIND_PAUSE.duration()).await,
        }
    }
}
