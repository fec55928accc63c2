//! The codec between hosts: postcard in length-delimited frames.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::LengthDelimitedCodec;

/// The largest frame between hosts, in bytes: room for a whole configuration.
const FRAME_MAX_BYTES: usize = 16 << 20;

/// Postcard behind the traits of `tokio-serde`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Postcard;

impl<T: Serialize> Serializer<T> for Postcard {
    type Error = std::io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, Self::Error> {
        postcard::to_stdvec(item).map(Bytes::from).map_err(std::io::Error::other)
    }
}

impl<T: for<'a> Deserialize<'a>> Deserializer<T> for Postcard {
    type Error = std::io::Error;

    fn deserialize(self: Pin<&mut Self>, buf: &BytesMut) -> Result<T, Self::Error> {
        postcard::from_bytes(buf).map_err(std::io::Error::other)
    }
}

pub(crate) fn frames() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec()
}
