//! Identifiers and small types shared by every crate.

mod id;
pub mod outcome;

pub use id::{
    HostId, Key, NAME_MAX_BYTES, NameError, RegionId, ServiceId, UpstreamId, Version, WorkspaceId,
    ZoneId,
};

/// What nearly every module of the workspace imports.
pub mod prelude {
    pub use foxtail_macro::{id, name, value};
    pub use foxtail_time::{Clock, Millis};

    pub use crate::{HostId, Key, RegionId, ServiceId, UpstreamId, Version, WorkspaceId, ZoneId};
}
