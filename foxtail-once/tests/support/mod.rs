//! Provides a clock on virtual time, and hosts over a platform in the same process.
#![allow(dead_code)]

pub(crate) mod naive;
pub(crate) mod simulation;

use std::sync::Arc;

use foxtail_once::{
    Answer, ClaimRequest, Claims, Commit, Fingerprint, GroupCommitter, claims, commit,
};
use foxtail_platform::Table;
use foxtail_standin::platform::{LocalStore, Platform};
use foxtail_types::prelude::*;
use tokio::time::Instant;

/// Wall time at the start of a test.
pub(crate) const WALL_START: Millis = Millis(1_800_000_000_000);

pub(crate) struct TokioClock {
    start: Instant,
    wall: Millis,
}

impl TokioClock {
    pub(crate) fn start(wall: Millis) -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), wall })
    }
}

impl Clock for TokioClock {
    fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    fn wall(&self) -> Millis {
        self.wall + self.now()
    }
}

pub(crate) struct Host {
    pub(crate) claims: Arc<Claims>,
    pub(crate) committer: Arc<GroupCommitter>,
    pub(crate) clock: Arc<dyn Clock>,
}

pub(crate) fn host(name: &str, platform: &Arc<Platform>, clock: Arc<dyn Clock>) -> Host {
    let local = LocalStore::new(Arc::clone(platform));
    let table = Arc::new(local.clone());
    host_with_table(name, table, local, clock, commit::Options::default(), |committer| committer)
}

pub(crate) fn host_with_table(
    name: &str,
    table: Arc<dyn Table>,
    local: LocalStore,
    clock: Arc<dyn Clock>,
    options: commit::Options,
    commit: impl FnOnce(Arc<GroupCommitter>) -> Arc<dyn Commit>,
) -> Host {
    let committer = GroupCommitter::start(Arc::clone(&table), Arc::clone(&clock), options);
    let commit = commit(Arc::clone(&committer));
    let objects = Arc::new(local);
    let ports = claims::Ports { clock: Arc::clone(&clock), table, objects, commit };
    let host_id = HostId::new(name).unwrap();
    let claims = Claims::start(host_id, ports, claims::Options::default());
    Host { claims, committer, clock }
}

/// Returns a key created at `created_at`; `n` makes keys of the same time distinct.
pub(crate) fn key(created_at: Millis, n: u64) -> IdempotencyKey {
    let stamp = uuid::Timestamp::from_unix_time(
        created_at.0 / 1_000,
        (created_at.0 % 1_000) as u32 * 1_000_000,
        0,
        0,
    );
    let mut bytes = *uuid::Uuid::new_v7(stamp).as_bytes();
    bytes[8..].copy_from_slice(&(n | 0x8000_0000_0000_0000).to_be_bytes());
    bytes[6..8].copy_from_slice(&[0x70, 0]);
    uuid::Uuid::from_bytes(bytes).to_string().parse().unwrap()
}

pub(crate) fn workspace() -> WorkspaceId {
    WorkspaceId::new("tali").unwrap()
}

pub(crate) fn claim_request(
    workspace: &WorkspaceId,
    key: IdempotencyKey,
    deadline: Millis,
) -> ClaimRequest<'_> {
    ClaimRequest { workspace, key, fingerprint: Fingerprint([1; 32]), resent: false, deadline }
}

pub(crate) fn answer(bytes: usize) -> Answer {
    let body = vec![7; bytes];
    Answer {
        status: 201,
        headers: Vec::new(),
        body: Some(body),
        digest: [0; 32],
        size: bytes as u64,
    }
}
