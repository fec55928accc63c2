//! Identifiers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use foxtail_macro::{id, name};
use foxtail_time::Millis;
use serde::{Deserialize, Deserializer};
use uuid::Uuid;

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// A name that breaks the rules for names.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{0}` is no valid name: 1 to 63 characters from a-z, 0-9, `-` and `.`, starting with a letter or digit"
)]
pub struct NameError(pub String);

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[name]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Takes `text` as a name.
            ///
            /// # Errors
            ///
            /// [`NameError`] if `text` breaks the rules for names.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text).map(|()| Self(text.into()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let text = String::deserialize(from)?;
                Self::new(&text).map_err(serde::de::Error::custom)
            }
        }
    )*};
}

names! {
    /// A region: a group of availability zones.
    RegionId,
    /// An availability zone.
    ZoneId,
    /// A host of the system.
    HostId,
    /// A server that runs requests.
    UpstreamId,
    /// A workspace.
    WorkspaceId,
    /// A service of a workspace.
    ServiceId,
}

/// The version of a configuration. Higher is newer.
#[id]
#[derive(Default)]
#[serde(transparent)]
pub struct Version(pub u64);

/// A caller's idempotency key: a UUIDv7, so that it carries the time of its birth.
#[id]
#[serde(transparent)]
pub struct IdempotencyKey(Uuid);

impl Version {
    /// The version after this one.
    pub const fn next(self) -> Self {
        Version(self.0 + 1)
    }
}

impl IdempotencyKey {
    /// The time of birth, since the Unix epoch.
    pub fn created_at(self) -> Millis {
        let (secs, nanos) = self.0.get_timestamp().map_or((0, 0), |at| at.to_unix());
        Millis(secs.saturating_mul(1_000).saturating_add(u64::from(nanos) / 1_000_000))
    }
}

impl FromStr for IdempotencyKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let uuid = Uuid::parse_str(text).map_err(|e| format!("key `{text}` is no UUID: {e}"))?;
        match uuid.get_version_num() {
            7 => Ok(IdempotencyKey(uuid)),
            n => Err(format!("key `{text}` is a UUID of version {n}; make one of version 7")),
        }
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

fn check_name(text: &str) -> Result<(), NameError> {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    let starts_allowed =
        text.bytes().next().is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    if starts_allowed && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed) {
        Ok(())
    } else {
        Err(NameError(text.to_owned()))
    }
}
