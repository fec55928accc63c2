//! Serializes bytes as base64 text, since JSON would write them as a list of numbers.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Deserializer, Serializer};

pub(crate) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&STANDARD_NO_PAD.encode(bytes))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(from)?;
    STANDARD_NO_PAD.decode(text).map_err(serde::de::Error::custom)
}
