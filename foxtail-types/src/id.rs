//! Identifiers: validated names, configuration versions and idempotency keys.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use foxtail_macro::{id, name};
use foxtail_time::Millis;
use serde::{Deserialize, Deserializer};
use uuid::Uuid;

/// The maximum length of a name.
pub const MAX_NAME_BYTES: usize = 63;

/// A text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{0}` is not a valid name: expected 1 to 63 characters from a-z, 0-9, `-` and `.`, starting with a letter or digit"
)]
pub struct NameError(pub String);

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[name]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name `text`.
            ///
            /// # Errors
            ///
            /// [`NameError`] if `text` is not 1 to 63 characters from a-z, 0-9, `-` and `.`,
            /// starting with a letter or digit.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text).map(|()| Self(text.into()))
            }

            /// Returns the name as text.
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
    /// A host: a machine that runs a process of this project.
    HostId,
    /// A server that runs requests.
    UpstreamId,
    /// A workspace, which an operator makes for one customer.
    WorkspaceId,
    /// A service of a workspace.
    ServiceId,
}

/// The version of a configuration. Higher is newer.
#[id]
#[derive(Default)]
#[serde(transparent)]
pub struct Version(pub u64);

/// A caller's idempotency key: a UUIDv7, which holds the time of its creation.
#[id]
#[serde(transparent)]
pub struct IdempotencyKey(Uuid);

impl Version {
    /// Returns the version after this one.
    pub const fn next(self) -> Self {
        Version(self.0 + 1)
    }
}

impl IdempotencyKey {
    /// Returns the time at which the caller created the key, since the Unix epoch.
    pub fn created_at(self) -> Millis {
        let (secs, nanos) = self.0.get_timestamp().map_or((0, 0), |at| at.to_unix());
        Millis(secs.saturating_mul(1_000).saturating_add(u64::from(nanos) / 1_000_000))
    }
}

impl FromStr for IdempotencyKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let uuid = Uuid::parse_str(text).map_err(|e| format!("key `{text}` is not a UUID: {e}"))?;
        match uuid.get_version_num() {
            7 => Ok(IdempotencyKey(uuid)),
            n => Err(format!("key `{text}` is a UUID of version {n}; version 7 is expected")),
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
