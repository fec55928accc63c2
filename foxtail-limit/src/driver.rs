//! Runs a limiter on a live host: carries out what its station asks for, and moves its owners on.

use std::sync::Arc;
use std::time::Duration;

use foxtail_platform::Table;
use foxtail_platform::table::{Options, Priority};
use foxtail_types::prelude::*;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::SharedLimiter;
use crate::station::{Action, Done, OpId, STORE_TIMEOUT};

/// How often owners end what has expired, and leases are looked at.
const TICK_EVERY: Duration = Duration::from_millis(20);
/// The longest that a stopping host tries to hand over what it owns.
pub const HAND_OVER_MAX: Millis = Millis(5_000);

/// Runs `limiter` until `stop`, and then until what it owns is handed over.
///
/// Everything spawned has ended when this returns.
pub async fn run(limiter: Arc<SharedLimiter>, table: Arc<dyn Table>, stop: CancellationToken) {
    let sender_stop = CancellationToken::new();
    let mut sender = JoinSet::new();
    sender.spawn(limiter.clone().send(sender_stop.clone()));
    let mut acting: JoinSet<(OpId, Done)> = JoinSet::new();
    let mut ticks = tokio::time::interval(TICK_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut give_up = None;
    loop {
        for (id, action) in limiter.poll() {
            acting.spawn(act(limiter.clone(), table.clone(), id, action));
        }
        if give_up.is_some_and(|at| limiter.now() >= at) || limiter.stopped() {
            break;
        }
        tokio::select! {
            _ = ticks.tick() => limiter.tick(),
            Some(Ok((id, done))) = acting.join_next() => limiter.done(id, done),
            () = stop.cancelled(), if give_up.is_none() => {
                limiter.stop();
                give_up = Some(limiter.now() + HAND_OVER_MAX);
            }
        }
    }
    while let Some(Ok((id, done))) = acting.join_next().await {
        limiter.done(id, done);
    }
    sender_stop.cancel();
    sender.join_all().await;
}

async fn act(
    limiter: Arc<SharedLimiter>,
    table: Arc<dyn Table>,
    id: OpId,
    action: Action,
) -> (OpId, Done) {
    let options = Options { priority: Priority::Lease, timeout: STORE_TIMEOUT };
    let done = match action {
        Action::Read { keys } => Done::Read(table.read(&keys, options).await),
        Action::Commit { txn } => Done::Commit(table.commit(&txn, options).await),
        Action::Call { to, req, timeout } => {
            Done::Call(limiter.peers().call(&to, req, timeout).await)
        }
    };
    (id, done)
}
