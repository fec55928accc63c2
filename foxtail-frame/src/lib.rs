//! The transport between hosts: messages in postcard encoding in length-delimited frames.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The maximum size of a frame between hosts. All registrations at the target size take a third of it.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// The postcard encoding for the traits of `tokio-serde`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Postcard;

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

/// Creates a transport of typed messages over `stream`.
pub fn transport<S, In, Out>(stream: S) -> Transport<S, In, Out, Postcard>
where
    S: AsyncRead + AsyncWrite,
    In: for<'a> Deserialize<'a>,
    Out: Serialize,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    tarpc::serde_transport::new(Framed::new(stream, codec), Postcard)
}
