//! The service that every host offers the others.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use foxtail_limit::msg as limit;
use foxtail_member::msg::{Delta, Pull};
use foxtail_once::commit::Done;
use foxtail_once::relay::msg::Relayed;
use foxtail_retry::msg::{self as retry, Ask, Leave, News};
use foxtail_sync::msg as config;
use foxtail_time::Millis;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// How long the accept loop rests after the operating system refused a connection.
const ACCEPT_PAUSE: Millis = Millis(20);

/// What hosts ask of each other. Only small typed messages; bodies of requests never pass here.
#[tarpc::service]
pub trait Peer {
    /// Exchanges what is known of hosts.
    async fn pull(req: Pull) -> Delta;
    /// Spreads configuration.
    async fn config(req: config::Ask) -> config::Answer;
    /// Asks leave for an attempt of a request.
    async fn guard(req: Ask) -> Leave;
    /// Tells that an attempt has ended.
    async fn done(req: retry::Done);
    /// Tells of crash suspects; `forward` asks to pass it on within the zone.
    async fn news(news: Vec<News>, forward: bool);
    /// Asks for all that is known of crash suspects.
    async fn all_news() -> Vec<News>;
    /// Has a write of at-most-once execution committed together with others.
    async fn commit(relayed: Relayed) -> Done;
    /// Asks about limits.
    async fn limit(req: limit::Request) -> limit::Reply;
}

/// The port behind the service: what the live host does with each message.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Answers a pull.
    async fn pull(&self, req: Pull) -> Delta;
    /// Answers about configuration.
    async fn config(&self, req: config::Ask) -> config::Answer;
    /// Answers whether an attempt may be made.
    async fn guard(&self, req: Ask) -> Leave;
    /// Takes note of the end of an attempt.
    async fn done(&self, req: retry::Done);
    /// Takes in news of crash suspects.
    async fn news(&self, news: Vec<News>, forward: bool);
    /// Tells all that is known of crash suspects.
    async fn all_news(&self) -> Vec<News>;
    /// Commits a write.
    async fn commit(&self, relayed: Relayed) -> Done;
    /// Answers about limits.
    async fn limit(&self, req: limit::Request) -> limit::Reply;
}

#[derive(Clone)]
struct Server {
    handler: Arc<dyn Handler>,
}

impl Peer for Server {
    async fn pull(self, _cx: Context, req: Pull) -> Delta {
        self.handler.pull(req).await
    }

    async fn config(self, _cx: Context, req: config::Ask) -> config::Answer {
        self.handler.config(req).await
    }

    async fn guard(self, _cx: Context, req: Ask) -> Leave {
        self.handler.guard(req).await
    }

    async fn done(self, _cx: Context, req: retry::Done) {
        self.handler.done(req).await;
    }

    async fn news(self, _cx: Context, news: Vec<News>, forward: bool) {
        self.handler.news(news, forward).await;
    }

    async fn all_news(self, _cx: Context) -> Vec<News> {
        self.handler.all_news().await
    }

    async fn commit(self, _cx: Context, relayed: Relayed) -> Done {
        self.handler.commit(relayed).await
    }

    async fn limit(self, _cx: Context, req: limit::Request) -> limit::Reply {
        self.handler.limit(req).await
    }
}

/// Serves [`Peer`] on `listener` until `stop`, then ends every connection and returns.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, stop: CancellationToken) {
    let tasks = TaskTracker::new();
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        match accepted {
            Ok((stream, from)) => {
                let task = connection(stream, from, Arc::clone(&handler), stop.clone());
                tasks.spawn(task);
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

/// Serves one connection; ends, with all answers in the making, when `stop` is called.
async fn connection(
    stream: TcpStream,
    from: SocketAddr,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log_lost(from, &e);
        return;
    }
    let transport = foxtail_frame::transport(stream);
    let requests = BaseChannel::with_defaults(transport).execute(Server { handler }.serve());
    let answering = requests.for_each_concurrent(None, |answering| answering);
    stop.run_until_cancelled(answering).await;
}

fn log_lost(from: SocketAddr, e: &io::Error) {
    tracing::debug!(event = "peer_connection_lost", %from, error = %e);
}
