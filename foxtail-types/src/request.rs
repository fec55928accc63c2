//! What a host knows of a request besides its body.

use foxtail_macro::{id, value};
use foxtail_time::Millis;

use crate::{Class, Key, RequestId, ServiceId, WorkspaceId};

/// A request's metadata, from its headers and the workspace's template.
#[value]
pub struct Meta {
    /// The request as this host sees it.
    pub id: RequestId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceId,
    /// The class.
    pub class: Class,
    /// When the caller stops waiting, by this host's clock.
    pub deadline: Millis,
    /// Whether it may run more than once.
    pub repeat: Repeat,
}

/// Whether a request may run more than once.
#[id]
pub enum Repeat {
    /// It may be retried.
    Safe,
    /// It runs at most once for this key.
    Once(Key),
}
