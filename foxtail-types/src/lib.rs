//! Identifiers and small types shared by every crate.

mod class;
mod id;
pub mod outcome;
pub mod request;

pub use class::Class;
pub use id::{
    Epoch, HostId, Key, LinkId, NAME_MAX_BYTES, NameError, PoolId, RegionId, RequestId, ServiceId,
    UpstreamId, Version, WorkspaceId, ZoneId,
};
pub use outcome::Outcome;
pub use request::{Meta, Repeat};

/// What nearly every module of the workspace imports.
pub mod prelude {
    pub use foxtail_macro::{id, name, value};
    pub use foxtail_time::{Clock, Millis};

    pub use crate::{
        Class, Epoch, HostId, Key, LinkId, Meta, Outcome, PoolId, RegionId, Repeat, RequestId,
        ServiceId, UpstreamId, Version, WorkspaceId, ZoneId,
    };
}
