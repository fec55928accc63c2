//! Pulls store facts from other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use foxtail_net::Dial;
use foxtail_steer::PullQueue;
use foxtail_steer::pull_queue::{PullOutcome, Step};
use foxtail_steer::transfer_limit::LARGE_TRANSFER_ROWS;
use foxtail_types::prelude::*;
use tarpc::client::{Config, NewClient, RpcError};
use tokio_util::io::InspectReader;

use crate::context::HostContext;
use crate::ports::{Area, Fact, Facts};
use crate::progress::{byte_counter, until_stalled};
use crate::share::{LOGGED_TRANSFER_BYTES, ShareClient};

/// How long a pull may wait for the next bytes, also for the first ones: several round trips between
/// regions.
const PULL_STALL_TIMEOUT: Millis = Millis(500);

/// The longest duration of a pull that makes progress. A thin link carries the largest frame in less.
const MAX_PULL_DURATION: Millis = Millis::secs(30);

/// Why a pull from another host failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("can't connect to the host: {0}")]
    Unreachable(#[from] std::io::Error),
    #[error("the call to the host failed: {0}")]
    NoAnswer(#[from] RpcError),
    #[error("no bytes arrived before the timeout")]
    Stalled,
}

/// Pulls the facts of `area` that this host lacks from the hosts that announced them, starting with
/// `step`, until it lacks none or the host ends.
pub(crate) async fn pull(cx: Arc<HostContext>, area: Area, step: Step) {
    let ended = cx.lifecycle.ended.clone();
    ended.run_until_cancelled(pull_steps(&cx, area, step)).await;
}

async fn pull_steps(cx: &Arc<HostContext>, area: Area, mut step: Step) {
    loop {
        step = match step {
            Step::Ask(addr) => {
                let outcome = pull_from(cx, area, addr).await;
                let now = cx.now();
                let finish = |pulls: &mut PullQueue, known| pulls.finish_pull(outcome, known, now);
                cx.store_replica.lock().next_pull(area, finish)
            }
            Step::Wait(pause) => {
                tokio::time::sleep(pause.duration()).await;
                let now = cx.now();
                cx.store_replica.lock().next_pull(area, |pulls, known| pulls.resume(known, now))
            }
            Step::Idle => return,
        }
    }
}

/// Pulls the facts of `area` that this host lacks from the host at `addr`.
async fn pull_from(cx: &Arc<HostContext>, area: Area, addr: SocketAddr) -> PullOutcome {
    // The newest change that this host has, not how far it knows of none: that tells the other host
    // which rows this one may have.
    let version = cx.known_version(area);
    let started = cx.now();
    let received = Arc::new(AtomicU64::new(0));
    let request = request_facts(Arc::clone(&cx.dial), area, version, addr, &received);
    let response = until_stalled(request, &received, PULL_STALL_TIMEOUT).await;
    let response = response.unwrap_or(Err(Error::Stalled));
    let (bytes, took) = (received.load(Ordering::Relaxed), cx.now().since(started));
    cx.metrics.record_pull(outcome(&response), bytes, took);
    match response {
        Ok(facts) if facts.version > version => {
            if bytes >= LOGGED_TRANSFER_BYTES {
                tracing::info!(event = "pulled", ?area, %addr, version = facts.version, bytes,
                    took_ms = took.0);
            }
            let rows: usize = facts.facts.iter().map(Fact::rows).sum();
            cx.apply_facts(area, facts, false, &addr.to_string());
            if cx.fleet.lock().should_relay(addr) {
                cx.notify_peers.notify_one();
            } else if rows >= LARGE_TRANSFER_ROWS {
                cx.announce_source.notify_one();
            }
        }
        // Only a host that knows a version announces it, so that this one is busy.
        Ok(facts) if facts.version == 0 => return PullOutcome::Busy,
        Ok(_) => {}
        Err(e) => tracing::info!(event = "host_not_asked", ?area, %addr, error = %e, version,
            bytes, took_ms = took.0),
    }
    PullOutcome::Ended
}

/// Returns the outcome of a pull for metrics.
fn outcome(response: &Result<Facts, Error>) -> &'static str {
    match response {
        Ok(facts) if facts.version == 0 => "busy",
        Ok(_) => "done",
        Err(Error::Unreachable(_)) => "unreachable",
        Err(Error::NoAnswer(_)) => "no-answer",
        Err(Error::Stalled) => "stalled",
    }
}

/// Requests facts from the host at `addr`, and adds the size of what arrives to `received`.
async fn request_facts(
    dial: Arc<dyn Dial>,
    area: Area,
    version: u64,
    addr: SocketAddr,
    received: &Arc<AtomicU64>,
) -> Result<Facts, Error> {
    let stream = InspectReader::new(dial.dial(addr).await?, byte_counter(received));
    let NewClient { client, dispatch } =
        ShareClient::new(Config::default(), foxtail_frame::transport(stream));
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + MAX_PULL_DURATION.duration();
    let request = async move { client.facts(context, area, version).await };
    // `dispatch` ends when the client is dropped at the end of the call.
    let (facts, ended) = tokio::join!(request, dispatch);
    if let Err(e) = ended {
        tracing::debug!(event = "host_connection_lost", %addr, error = %e);
    }
    Ok(facts?)
}
