//! Identifiers and small types that the other crates share.

mod id;
pub mod reason;

pub use id::{
    HostId, IdempotencyKey, MAX_NAME_BYTES, NameError, RegionId, ServiceId, UpstreamId, Version,
    WorkspaceId, ZoneId,
};

/// The names that nearly every module imports.
pub mod prelude {
    pub use foxtail_macro::{id, name, value};
    pub use foxtail_time::{Clock, Millis};

    pub use crate::{
        HostId, IdempotencyKey, RegionId, ServiceId, UpstreamId, Version, WorkspaceId, ZoneId,
    };
}
