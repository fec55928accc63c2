//! Requests that run at most once.

use std::sync::Arc;

use bytes::Bytes;
use foxtail_limit::Verdict;
use foxtail_net::http::{Body, BodyError, body_of};
use foxtail_once::{Answer, Ask, Begin};
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use futures::SinkExt;
use futures::channel::mpsc;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, StatusCode};
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use super::call::Call;
use super::collect::{Collected, collect};
use super::reply::{self, Refused};
use super::tries::Tries;
use super::{Held, RETRY_AFTER, Run};
use crate::state::State;
use crate::upstream::{Attempt, Outgoing, strip_hop_by_hop};

/// Answers up to this size are kept whole for replay.
const KEPT_MAX_BYTES: usize = 1 << 20;
/// Frames of a large answer on their way to the caller.
const FRAMES_AHEAD: usize = 4;

type Reply = oneshot::Sender<Result<Response<Body>, Refused>>;
type Frames = mpsc::Sender<Result<Frame<Bytes>, BodyError>>;

/// Runs a request with a key. It goes on to its recorded end also if the caller goes away.
pub(crate) async fn run(
    state: &Arc<State>,
    call: Call,
    outgoing: Outgoing,
    key: Key,
    held: Held,
) -> Result<Response<Body>, Refused> {
    let (tx, rx) = oneshot::channel();
    let flow = Flow { state: Arc::clone(state), call, outgoing };
    state.work.spawn(async move {
        flow.run(key, tx).await;
        drop(held);
    });
    rx.await.unwrap_or_else(|_| Err(Refused::unknown(Reason::AnswerLost, RETRY_AFTER)))
}

struct Flow {
    state: Arc<State>,
    call: Call,
    outgoing: Outgoing,
}

impl Flow {
    async fn run(&self, key: Key, tx: Reply) {
        let meta = &self.call.meta;
        let print = self.call.fingerprint(&self.outgoing);
        let ask = Ask {
            workspace: &meta.workspace,
            key,
            print,
            resent: self.call.resent,
            deadline: meta.deadline,
        };
        let begun = self.state.gate.begin(ask).await;
        let result = match begun {
            Begin::Run(attempt) => return self.attempt(attempt, tx).await,
            Begin::Replay(answer) => replay(answer),
            Begin::NotRun(reason, after) => Err(Refused::not_run(reason, after)),
            Begin::Unknown(reason, after) => Err(Refused::unknown(reason, after)),
            Begin::Refused(reason) => Err(Refused::wrong(reason, "see the callers' page on keys")),
        };
        let _ = tx.send(result);
    }

    /// Sends the request to one upstream after the other until one may have run it.
    async fn attempt(&self, attempt: foxtail_once::Attempt, tx: Reply) {
        let Self { state, call, outgoing } = self;
        let mut tries = Tries::new(state, call, outgoing);
        loop {
            let ready = match tries.ready().await {
                Ok(ready) => ready,
                Err(refused) => return self.release(attempt, refused, tx).await,
            };
            if !state.gate.may_send(&attempt) {
                drop(ready);
                let refused = Refused::not_run(Reason::DeadlinePassed, RETRY_AFTER);
                return self.release(attempt, refused, tx).await;
            }
            match tries.send(ready).await {
                Attempt::Answer(answer) => {
                    return self.answer(attempt, *answer, tx).await;
                }
                Attempt::Lost(verdict) => {
                    tracing::warn!(event = "attempt_lost", request = %call.meta.id, ?verdict);
                    return self.lose(attempt, tx).await;
                }
                Attempt::NotSent(verdict) => {
                    if !tries.again(verdict).await {
                        let refused = Refused::not_run(Reason::UpstreamUnavailable, RETRY_AFTER);
                        return self.release(attempt, refused, tx).await;
                    }
                }
            }
        }
    }

    async fn release(&self, attempt: foxtail_once::Attempt, refused: Refused, tx: Reply) {
        self.state.gate.released(attempt).await;
        let _ = tx.send(Err(refused));
    }

    async fn lose(&self, attempt: foxtail_once::Attempt, tx: Reply) {
        self.state.gate.lost(attempt).await;
        let _ = tx.send(Err(Refused::unknown(Reason::AnswerLost, RETRY_AFTER)));
    }

    async fn answer(
        &self,
        attempt: foxtail_once::Attempt,
        (answer, mut run): (Response<Incoming>, Run),
        tx: Reply,
    ) {
        let (mut parts, body) = answer.into_parts();
        strip_hop_by_hop(&mut parts.headers);
        match collect(body, &mut run, KEPT_MAX_BYTES).await {
            Collected::Whole(bytes) => {
                run.answered_soon();
                let kept = kept(&parts, Some(&bytes), Sha256::digest(&bytes), bytes.len() as u64);
                self.state.gate.answered(attempt, kept).await;
                let _ = tx.send(Ok(Response::from_parts(parts, body_of(bytes))));
            }
            Collected::Larger(first, rest) => {
                self.large(attempt, parts, (first, rest), run, tx).await;
            }
            Collected::Broken => {
                run.end_soon(Verdict::Broken);
                self.lose(attempt, tx).await;
            }
        }
    }

    /// Passes on a large answer as it comes, and records its digest. It is read to its end also if
    /// the caller goes away.
    async fn large(
        &self,
        attempt: foxtail_once::Attempt,
        parts: Parts,
        (first, rest): (Bytes, Incoming),
        mut run: Run,
        tx: Reply,
    ) {
        let (mut frames, rx) = mpsc::channel(FRAMES_AHEAD);
        let body = StreamBody::new(rx).boxed_unsync();
        let _ = tx.send(Ok(Response::from_parts(parts.clone(), body)));
        let mut hash = Sha256::new_with_prefix(&first);
        let mut size = first.len() as u64;
        let _ = frames.send(Ok(Frame::data(first))).await;
        let span = run.left();
        let pumped = pump(rest, &mut frames, &mut run, &mut hash, &mut size);
        if let Ok(true) = tokio::time::timeout(span.duration(), pumped).await {
            run.answered_soon();
            let kept = kept(&parts, None, hash.finalize(), size);
            self.state.gate.answered(attempt, kept).await;
            return;
        }
        run.end_soon(Verdict::Broken);
        let _ = frames.send(Err("the answer broke off".into())).await;
        self.state.gate.lost(attempt).await;
    }
}

/// Passes on the rest of an answer. Tells whether it came to its end.
async fn pump(
    mut rest: Incoming,
    frames: &mut Frames,
    run: &mut Run,
    hash: &mut Sha256,
    size: &mut u64,
) -> bool {
    while let Some(frame) = rest.frame().await {
        let Ok(frame) = frame else { return false };
        if let Some(data) = frame.data_ref() {
            run.add_bytes(data.len() as u64);
            hash.update(data);
            *size += data.len() as u64;
        }
        let _ = frames.send(Ok(frame)).await;
    }
    true
}

fn kept(parts: &Parts, body: Option<&Bytes>, digest: impl Into<[u8; 32]>, size: u64) -> Answer {
    Answer {
        status: parts.status.as_u16(),
        headers: texts(&parts.headers),
        body: body.map(|bytes| bytes.to_vec()),
        digest: digest.into(),
        size,
    }
}

fn texts(headers: &HeaderMap) -> Vec<(String, String)> {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    };
    headers.iter().filter_map(text).collect()
}

fn replay(answer: Answer) -> Result<Response<Body>, Refused> {
    let Some(body) = answer.body else {
        return Ok(reply::not_kept(answer.status, answer.size, &answer.digest));
    };
    let mut replayed = Response::new(body_of(body));
    *replayed.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(name.as_str()), HeaderValue::try_from(value.as_str()))
        {
            replayed.headers_mut().append(name, value);
        }
    }
    Ok(replayed)
}
