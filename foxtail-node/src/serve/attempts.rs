//! Requests that may run more than once.

use std::sync::Arc;

use foxtail_limit::Verdict;
use foxtail_net::http::{Body, body_of};
use foxtail_types::outcome::Reason;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body as _, Incoming};

use super::call::Call;
use super::collect::{Collected, Streamed, collect};
use super::reply::Refused;
use super::tries::Tries;
use super::{Held, RETRY_AFTER, Run};
use crate::state::State;
use crate::upstream::{Attempt, Outgoing, strip_hop_by_hop};

/// Answers up to this size are taken whole before a byte is passed on, so that a broken one can be
/// asked for again.
const WHOLE_MAX_BYTES: u64 = 64 << 10;

/// Sends a request until it is answered, its time is up or no retry is left.
pub(crate) async fn safe(
    state: &Arc<State>,
    call: &Call,
    outgoing: &Outgoing,
    mut held: Held,
) -> Result<Response<Body>, Refused> {
    let mut tries = Tries::new(state, call, outgoing);
    let mut last = None;
    loop {
        let ready = match tries.ready().await {
            Ok(ready) => ready,
            Err(refused) => return Err(last.unwrap_or(refused)),
        };
        let verdict = match tries.send(ready).await {
            Attempt::Answer(answer) => match pass(*answer, held).await {
                Passed::On(answer) => {
                    let meta = &call.meta;
                    state.budgets.succeeded(&meta.workspace, &meta.service, state.clock.now());
                    return Ok(*answer);
                }
                Passed::Broken(returned) => {
                    held = returned;
                    Verdict::Broken
                }
            },
            Attempt::NotSent(verdict) | Attempt::Lost(verdict) => verdict,
        };
        last = Some(given_up(verdict));
        if !tries.again(verdict).await {
            return Err(given_up(verdict));
        }
    }
}

/// An answer on its way to the caller, or one that broke before a byte was passed on.
enum Passed {
    On(Box<Response<Body>>),
    Broken(Held),
}

/// Takes a small answer whole; lets a large one through as it comes.
async fn pass((answer, mut run): (Response<Incoming>, Run), held: Held) -> Passed {
    let (mut parts, body) = answer.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    if body.size_hint().upper().is_none_or(|size| size > WHOLE_MAX_BYTES) {
        let streamed = Streamed::new(body, run, held).boxed_unsync();
        return Passed::On(Box::new(Response::from_parts(parts, streamed)));
    }
    match collect(body, &mut run, WHOLE_MAX_BYTES as usize).await {
        Collected::Whole(bytes) => {
            run.answered_soon();
            Passed::On(Box::new(Response::from_parts(parts, body_of(bytes))))
        }
        Collected::Larger(..) | Collected::Broken => {
            run.end(Verdict::Broken).await;
            Passed::Broken(held)
        }
    }
}

/// What the caller is told when nothing is left to try.
fn given_up(verdict: Verdict) -> Refused {
    match verdict {
        Verdict::Broken | Verdict::TimedOut => Refused::unknown(Reason::AnswerLost, RETRY_AFTER),
        _ => Refused::not_run(Reason::UpstreamUnavailable, RETRY_AFTER),
    }
}
