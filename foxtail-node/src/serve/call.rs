//! A caller's request, checked against the workspace.

use std::net::IpAddr;
use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use foxtail_config::{Service, Snapshot, Workspace};
use foxtail_once::Fingerprint;
use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::HeaderMap;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use sha2::{Digest, Sha256};
use tokio::sync::OwnedSemaphorePermit;

use super::RETRY_AFTER;
use super::reply::Refused;
use crate::state::State;
use crate::upstream::{Outgoing, strip_hop_by_hop};

const WORKSPACE: &str = "x-foxtail-workspace";
const SERVICE: &str = "x-foxtail-service";
const DEADLINE_MS: &str = "x-foxtail-deadline-ms";
const CLASS: &str = "x-foxtail-class";
const KEY: &str = "x-foxtail-key";
const RESENT: &str = "x-foxtail-resent";
/// The most bytes read of a body that is refused.
const DISCARD_MAX_BYTES: usize = 4 << 20;
/// The longest time for that.
const DISCARD_TIMEOUT: Millis = Millis(1_000);
/// What the smallest body counts for in memory, in bytes.
const BODY_MIN_BYTES: u64 = 1_024;

/// A request whose metadata is complete and allowed.
pub(crate) struct Call {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) workspace: Arc<Workspace>,
    pub(crate) meta: Meta,
    /// The caller's address.
    pub(crate) from: IpAddr,
    /// Whether the caller says that it sent this key before.
    pub(crate) resent: bool,
    service: usize,
}

impl Call {
    /// Checks the head of a request.
    pub(crate) fn parse(
        snapshot: &Arc<Snapshot>,
        parts: &Parts,
        (id, from): (RequestId, IpAddr),
        now: Millis,
    ) -> Result<Self, Refused> {
        let headers = &parts.headers;
        let workspace = required::<WorkspaceId>(headers, WORKSPACE)?;
        let service = required::<ServiceId>(headers, SERVICE)?;
        let unknown = |what: &str| {
            Refused::wrong(Reason::UnknownService, format!("there is no {what} of this name"))
        };
        let spec = snapshot.workspace(&workspace).ok_or_else(|| unknown("workspace"))?;
        let index = spec.services.iter().position(|it| it.id == service);
        let index = index.ok_or_else(|| unknown("service"))?;
        let found = &spec.services[index];
        let meta = Meta {
            id,
            workspace,
            service,
            class: optional::<Class>(headers, CLASS)?.unwrap_or(found.class),
            deadline: now + deadline(headers, found)?,
            repeat: repeat(found, parts)?,
        };
        let (snapshot, workspace) = (Arc::clone(snapshot), Arc::clone(spec));
        let resent = text(headers, RESENT)?.is_some_and(|value| value != "0");
        Ok(Self { snapshot, workspace, meta, from, resent, service: index })
    }

    /// The service as configured.
    pub(crate) fn service(&self) -> &Service {
        &self.workspace.services[self.service]
    }

    /// The pool of the service in `region`.
    pub(crate) fn pool(&self, region: &RegionId) -> PoolId {
        PoolId {
            workspace: self.meta.workspace.clone(),
            service: self.meta.service.clone(),
            region: region.clone(),
        }
    }

    /// What identifies the request besides its key.
    pub(crate) fn fingerprint(&self, outgoing: &Outgoing) -> Fingerprint {
        let mut hash = Sha256::new();
        let parts = [
            self.meta.workspace.as_str().as_bytes(),
            self.meta.service.as_str().as_bytes(),
            outgoing.method.as_str().as_bytes(),
            outgoing.path.as_bytes(),
            &outgoing.body,
        ];
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Fingerprint(hash.finalize().into())
    }
}

/// Reads the body and makes the request that goes to an upstream. The permit stands for the memory.
pub(crate) async fn outgoing(
    state: &State,
    call: &Call,
    parts: Parts,
    body: Incoming,
) -> Result<(Outgoing, OwnedSemaphorePermit), Refused> {
    let max = call.service().body_max_bytes;
    let declared = body.size_hint().upper();
    if body.size_hint().lower() > max {
        discard(body).await;
        return Err(too_large(max));
    }
    let room = declared.unwrap_or(max).clamp(BODY_MIN_BYTES, max.max(BODY_MIN_BYTES));
    let room = u32::try_from(room).unwrap_or(u32::MAX);
    let permit = Arc::clone(&state.body_bytes)
        .try_acquire_many_owned(room.min(state.settings.callers.body_bytes_total))
        .map_err(|_| Refused::not_run(Reason::Overloaded, RETRY_AFTER))?;
    let body = read(state, call, body, max).await?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(hyper::header::CONTENT_LENGTH);
    headers.remove(hyper::header::EXPECT);
    Ok((Outgoing { method: parts.method, path, headers, body }, permit))
}

async fn read(state: &State, call: &Call, body: Incoming, max: u64) -> Result<Bytes, Refused> {
    let max_bytes = usize::try_from(max).unwrap_or(usize::MAX);
    let left = call.meta.deadline.since(state.clock.now());
    let time = left.min(Millis(state.settings.callers.body_ms));
    match tokio::time::timeout(time.duration(), Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large(max)),
        Ok(Err(e)) => Err(Refused::wrong(Reason::BadRequest, format!("the body broke off: {e}"))),
        Err(_) => Err(Refused::not_run(Reason::DeadlinePassed, RETRY_AFTER)),
    }
}

/// Takes in some of a body that is refused: a caller that is still sending when the connection is
/// closed would not get to read why.
async fn discard(mut body: Incoming) {
    let read = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > DISCARD_MAX_BYTES {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT.duration(), read).await;
}

fn too_large(max: u64) -> Refused {
    Refused::wrong(Reason::TooLarge, format!("the body may have at most {max} bytes"))
}

fn deadline(headers: &HeaderMap, service: &Service) -> Result<Millis, Refused> {
    let given = match text(headers, DEADLINE_MS)? {
        None => return Ok(service.deadline),
        Some(text) => text.parse::<u64>().map_err(|_| {
            let message = format!("`{DEADLINE_MS}` must be a whole number of milliseconds");
            Refused::wrong(Reason::BadRequest, message)
        })?,
    };
    match Millis(given) {
        Millis::ZERO => Err(Refused::not_run(Reason::DeadlinePassed, RETRY_AFTER)),
        span if span > service.deadline_max => {
            let message = format!("`{DEADLINE_MS}` may be at most {} here", service.deadline_max.0);
            Err(Refused::wrong(Reason::BadRequest, message))
        }
        span => Ok(span),
    }
}

/// The template and the caller's key both can make a request one that runs at most once.
fn repeat(service: &Service, parts: &Parts) -> Result<Repeat, Refused> {
    if let Some(key) = optional::<Key>(&parts.headers, KEY)? {
        return Ok(Repeat::Once(key));
    }
    if service.once(parts.method.as_str(), parts.uri.path()) {
        let message = format!("this request needs a key: send a UUIDv7 in `{KEY}`");
        return Err(Refused::wrong(Reason::KeyRequired, message));
    }
    Ok(Repeat::Safe)
}

fn required<T: FromStr<Err: std::fmt::Display>>(
    headers: &HeaderMap,
    name: &str,
) -> Result<T, Refused> {
    let missing = || Refused::wrong(Reason::BadRequest, format!("`{name}` is missing"));
    optional(headers, name)?.ok_or_else(missing)
}

fn optional<T: FromStr<Err: std::fmt::Display>>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, Refused> {
    let Some(text) = text(headers, name)? else { return Ok(None) };
    let parsed = text.parse::<T>();
    parsed.map(Some).map_err(|e| Refused::wrong(Reason::BadRequest, format!("`{name}`: {e}")))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refused> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(Refused::wrong(Reason::BadRequest, format!("`{name}` stands twice")));
    }
    let broken = |_| Refused::wrong(Reason::BadRequest, format!("`{name}` is not plain text"));
    value.to_str().map(Some).map_err(broken)
}
