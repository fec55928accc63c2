//! Look-ups: which entry hosts a caller should use.

use std::net::IpAddr;

use foxtail_net::http::Body;
use foxtail_place::lookup::{Answer, Caller, lookup};
use foxtail_types::prelude::*;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;

use crate::decisions::Decision;
use crate::serve::reply;
use crate::state::State;

/// What a caller asks.
#[derive(Default)]
struct Question {
    workspace: Option<WorkspaceId>,
    service: Option<ServiceId>,
    region: Option<RegionId>,
    zone: Option<ZoneId>,
    addr: Option<IpAddr>,
}

/// Answers `GET /-/lookup?workspace=W&service=S`, with `region`, `zone` and `addr` if the caller
/// knows them better than its address tells.
pub(crate) fn answer(state: &State, from: IpAddr, req: &Request<Incoming>) -> Response<Body> {
    let question = match Question::parse(req.uri().query().unwrap_or_default()) {
        Ok(question) => question,
        Err(message) => return bad(&message),
    };
    let (Some(workspace), Some(service)) = (&question.workspace, &question.service) else {
        return bad("`workspace` and `service` are needed");
    };
    let Some(directory) = state.directory.load_full() else {
        let text =
            json!({"message": "this host has no configuration yet", "retry_after_ms": 1_000});
        return reply::json_answer(StatusCode::SERVICE_UNAVAILABLE, &text);
    };
    let known = state.snapshot().is_some_and(|snapshot| {
        snapshot.workspace(workspace).is_some_and(|found| found.service(service).is_some())
    });
    if !known {
        let text = json!({"message": "there is no such workspace or service"});
        return reply::json_answer(StatusCode::NOT_FOUND, &text);
    }
    state.metrics.lookup();
    let caller = Caller {
        addr: Some(question.addr.unwrap_or(from)),
        region: question.region.as_ref(),
        zone: question.zone.as_ref(),
    };
    let map = state.blocks.load();
    let found = lookup(&directory, &map, &caller);
    record(state, workspace, service, &found);
    reply::json_answer(StatusCode::OK, &page(&found))
}

impl Question {
    fn parse(query: &str) -> Result<Self, String> {
        let mut question = Question::default();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            question.set(name, value).map_err(|e| format!("`{name}`: {e}"))?;
        }
        Ok(question)
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), String> {
        let text = |e: &dyn std::fmt::Display| e.to_string();
        match name {
            "workspace" => self.workspace = Some(value.parse().map_err(|e| text(&e))?),
            "service" => self.service = Some(value.parse().map_err(|e| text(&e))?),
            "region" => self.region = Some(value.parse().map_err(|e| text(&e))?),
            "zone" => self.zone = Some(value.parse().map_err(|e| text(&e))?),
            "addr" => self.addr = Some(value.parse().map_err(|e| text(&e))?),
            _ => return Err("no such parameter".to_owned()),
        }
        Ok(())
    }
}

fn page(found: &Answer<'_>) -> serde_json::Value {
    let host = |entry: &foxtail_place::lookup::Entry<'_>| {
        json!({
            "host": entry.host.id,
            "region": entry.host.region,
            "zone": entry.host.zone,
            "address": entry.host.addr,
            "weight": entry.weight,
        })
    };
    json!({
        "ttl_ms": found.ttl.0,
        "reason": found.why.as_str(),
        "hosts": found.hosts().map(host).collect::<Vec<_>>(),
    })
}

fn record(state: &State, workspace: &WorkspaceId, service: &ServiceId, found: &Answer<'_>) {
    let hosts: Vec<_> =
        found.hosts().map(|it| format!("{}:weight={}", it.host.id, it.weight)).collect();
    state.decisions.record(Decision {
        at: state.clock.wall(),
        kind: "place".to_owned(),
        request: RequestId::fresh(),
        workspace: workspace.clone(),
        service: service.clone(),
        candidates: hosts.join(","),
        chosen: hosts.first().cloned().unwrap_or_default(),
        reason: found.why.as_str().to_owned(),
    });
}

fn bad(message: &str) -> Response<Body> {
    reply::json_answer(StatusCode::BAD_REQUEST, &json!({"message": message}))
}
