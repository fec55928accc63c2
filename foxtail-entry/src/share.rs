//! Hosts ask each other for what they know of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use foxtail_net::Dial;
use foxtail_types::prelude::*;
use futures::StreamExt;
use tarpc::client::{Config, NewClient, RpcError};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};

use crate::cx::Cx;
use crate::ports::{Area, Facts};
use crate::serve::{Serves, accept};

/// The longest that one host is asked: several round trips between regions.
const TIMEOUT: Millis = Millis(500);

/// What hosts ask of each other.
#[tarpc::service]
pub(crate) trait Share {
    /// What the host knows of `area` beyond `version`.
    async fn facts(area: Area, version: u64) -> Facts;
}

#[derive(Clone)]
struct Server {
    cx: Arc<Cx>,
}

/// Why another host could not be asked.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("no connection: {0}")]
    Unreachable(#[from] std::io::Error),
    #[error("no answer: {0}")]
    NoAnswer(#[from] RpcError),
    #[error("no answer in time")]
    TimedOut,
}

impl Share for Server {
    async fn facts(self, _cx: Context, area: Area, version: u64) -> Facts {
        let now = self.cx.now();
        let mut knowledge = self.cx.knowledge.lock();
        knowledge.ledger(area).map(|ledger| ledger.after(version, now)).unwrap_or_default()
    }
}

/// Answers other hosts on `listener` until the host ends.
pub(crate) async fn serve(cx: Arc<Cx>, listener: TcpListener) {
    let take = |stream, _| {
        cx.tasks.spawn(answer(Arc::clone(&cx), stream));
    };
    accept(listener, Serves::Hosts, cx.life.ended.clone(), take).await;
}

async fn answer(cx: Arc<Cx>, stream: TcpStream) {
    let ended = cx.life.ended.clone();
    let channel = BaseChannel::with_defaults(foxtail_frame::transport(stream));
    let answering = channel.execute(Server { cx }.serve()).for_each(|answer| answer);
    ended.run_until_cancelled(answering).await;
}

/// Asks the host at `addr` for what it knows of `area` that this host does not, and then others that
/// told of more.
pub(crate) async fn pull(cx: Arc<Cx>, area: Area, mut addr: SocketAddr) {
    loop {
        let version = cx.version(area);
        let asking = ask(Arc::clone(&cx.dial), area, version, addr);
        let asking = tokio::time::timeout(TIMEOUT.duration(), asking);
        let answer = asking.await.unwrap_or(Err(Error::TimedOut));
        match answer {
            Ok(facts) if facts.version > version => {
                cx.learn(area, facts, false, &addr.to_string());
                if cx.fleet.lock().should_relay(addr) {
                    cx.news.notify_one();
                }
            }
            Ok(_) => {}
            Err(e) => tracing::info!(event = "host_not_asked", ?area, %addr, error = %e),
        }
        let next = {
            let mut knowledge = cx.knowledge.lock();
            knowledge.pulls(area).and_then(|(pulls, known)| pulls.finish_pull(known))
        };
        match next {
            Some(next) => addr = next,
            None => return,
        }
    }
}

async fn ask(
    dial: Arc<dyn Dial>,
    area: Area,
    version: u64,
    addr: SocketAddr,
) -> Result<Facts, Error> {
    let stream = dial.dial(addr).await?;
    let NewClient { client, dispatch } =
        ShareClient::new(Config::default(), foxtail_frame::transport(stream));
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + TIMEOUT.duration();
    let asking = async move { client.facts(context, area, version).await };
    // The dispatch ends when the client is dropped, and both end with this call.
    let (facts, ended) = tokio::join!(asking, dispatch);
    if let Err(e) = ended {
        tracing::debug!(event = "host_connection_lost", %addr, error = %e);
    }
    Ok(facts?)
}
