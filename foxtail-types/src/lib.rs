//! Identifiers and small types shared by every crate.

mod id;
pub mod outcome;

pub use id::{
    HostId, IdempotencyKey, MAX_NAME_BYTES, NameError, RegionId, ServiceId, UpstreamId, Version,
    WorkspaceId, ZoneId,
};

/// What nearly every module of the workspace imports.
pub mod prelude {
    pub use foxtail_macro::{id, name, value};
    pub use foxtail_time::{Clock, Millis};

    pub use crate::{
        HostId, IdempotencyKey, RegionId, ServiceId, UpstreamId, Version, WorkspaceId, ZoneId,
    };
}
