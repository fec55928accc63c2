//! The service that every host offers the others.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use foxtail_member::msg::{Delta, Pull};
use foxtail_time::Millis;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::codec::{Postcard, frames};

/// How long the accept loop rests after the operating system refused a connection.
const ACCEPT_PAUSE: Millis = Millis(20);

/// What hosts ask of each other. Only small typed messages; bodies of requests never pass here.
#[tarpc::service]
pub trait Peer {
    /// Exchanges what is known of hosts.
    async fn pull(req: Pull) -> Delta;
}

/// The port behind the service: what the live host does with each message.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Answers a pull.
    async fn pull(&self, req: Pull) -> Delta;
}

/// Serves [`Peer`] on `listener` until `stop`, then ends every connection and returns.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, stop: CancellationToken) {
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) => {
                let task = connection(stream, from, Arc::clone(&handler), tasks.clone());
                let stop = stop.clone();
                tasks.spawn(async move { stop.run_until_cancelled(task).await });
            }
            Err(e) => {
                tracing::warn!(event = "peer_accept_failed", error = %e);
                tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
    tasks.close();
    tasks.wait().await;
}

#[derive(Clone)]
struct Server {
    handler: Arc<dyn Handler>,
}

impl Peer for Server {
    async fn pull(self, _cx: Context, req: Pull) -> Delta {
        self.handler.pull(req).await
    }
}

async fn connection(
    stream: TcpStream,
    from: SocketAddr,
    handler: Arc<dyn Handler>,
    tasks: TaskTracker,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log_lost(from, &e);
        return;
    }
    let transport = tarpc::serde_transport::new(Framed::new(stream, frames()), Postcard);
    let mut requests =
        Box::pin(BaseChannel::with_defaults(transport).execute(Server { handler }.serve()));
    while let Some(answering) = requests.next().await {
        tasks.spawn(answering);
    }
}

fn log_lost(from: SocketAddr, e: &io::Error) {
    tracing::debug!(event = "peer_connection_lost", %from, error = %e);
}
