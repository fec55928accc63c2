//! What an operator fills in: the parameters of a workspace, and the network.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foxtail_types::prelude::*;

use crate::{ClientBlock, OnceRule};

/// The parameters of one workspace.
#[value]
#[serde(deny_unknown_fields)]
pub struct Params {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The name of the template that they are for.
    pub template: String,
    /// The most requests a second that one region may send to other regions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shift_per_s: Option<u64>,
    /// The services that the workspace has, by name.
    pub services: BTreeMap<String, ServiceParams>,
}

/// The parameters of one service.
#[value]
#[serde(deny_unknown_fields)]
pub struct ServiceParams {
    /// The addresses of its servers, by zone.
    pub servers: BTreeMap<String, Vec<SocketAddr>>,
    /// Limits that differ from the template's defaults.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub limits: BTreeMap<Limit, u64>,
    /// The expected requests a second that enter in each region, for plans.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub expected_per_s: BTreeMap<String, u64>,
    /// What may never be repeated, besides what the template says.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub never_repeat: Vec<OnceRule>,
}

/// A numeric limit of a service.
#[id]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// Requests that one server runs at a time.
    Slots,
    /// Requests that wait for a slot in one region.
    QueueMax,
    /// The deadline of a request that names none, in milliseconds.
    DeadlineMs,
    /// The longest deadline a request may name, in milliseconds.
    DeadlineMaxMs,
    /// The largest request body, in bytes.
    BodyMaxBytes,
    /// The expected size of an answer, in bytes.
    AnswerBytes,
    /// The expected time that a request holds a slot, in milliseconds.
    ServiceMs,
}

/// The parameters of the network.
#[value]
#[serde(deny_unknown_fields)]
pub struct NetworkParams {
    /// The zones of each region.
    pub regions: BTreeMap<String, Vec<ZoneId>>,
    /// The links between any two regions.
    pub every_link: LinkParams,
    /// Directions of links that differ.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub links: Vec<LinkOverride>,
    /// Into how many shards the limits of one region are split.
    pub owner_shards: u16,
    /// Where clients are, by their addresses; a client that is in no block gets the hosts of the
    /// region of the host it asked.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub blocks: Vec<ClientBlock>,
}

/// The parameters of a link direction.
#[value]
#[serde(deny_unknown_fields)]
pub struct LinkParams {
    /// Capacity in Mbit/s.
    pub mbit_per_s: u32,
    /// One-way delay in milliseconds.
    pub delay_ms: u64,
    /// What archive traffic always gets, in Mbit/s.
    pub archive_mbit_per_s: u32,
}

/// A link direction that differs from the others.
#[value]
#[serde(deny_unknown_fields)]
pub struct LinkOverride {
    /// The sending region.
    pub from: RegionId,
    /// The receiving region.
    pub to: RegionId,
    /// Its parameters.
    pub link: LinkParams,
}

impl Limit {
    /// All limits.
    pub const ALL: [Limit; 7] = [
        Limit::Slots,
        Limit::QueueMax,
        Limit::DeadlineMs,
        Limit::DeadlineMaxMs,
        Limit::BodyMaxBytes,
        Limit::AnswerBytes,
        Limit::ServiceMs,
    ];

    /// The name in parameters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Limit::Slots => "slots",
            Limit::QueueMax => "queue_max",
            Limit::DeadlineMs => "deadline_ms",
            Limit::DeadlineMaxMs => "deadline_max_ms",
            Limit::BodyMaxBytes => "body_max_bytes",
            Limit::AnswerBytes => "answer_bytes",
            Limit::ServiceMs => "service_ms",
        }
    }
}
