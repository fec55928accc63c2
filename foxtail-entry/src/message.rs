//! The encoding of the datagrams that hosts exchange.
//!
//! Parts that later versions added follow the digest one after the other. A host ignores what follows
//! the parts that it knows, and takes missing ones as empty.

use foxtail_steer::fleet::{Digest, UpstreamAccess};
use foxtail_steer::named_limit::LimitReport;
use foxtail_steer::notice::LeavingUpstream;
use foxtail_steer::suspects::ClearingAnswer;
use foxtail_steer::view_age::ViewAges;
use serde::de::DeserializeOwned;

/// A digest and what is sent with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The digest.
    pub digest: Digest,
    /// Limits that upstreams name.
    pub limits: Vec<LimitReport>,
    /// Upstreams that leave, or `None` from a host of an earlier version, which does not know notices.
    pub leaving: Option<Vec<LeavingUpstream>>,
}

impl Message {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoding library.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let buf = postcard::to_stdvec(&self.digest)?;
        let buf = postcard::to_extend(&self.limits, buf)?;
        let buf = postcard::to_extend(&self.digest.access, buf)?;
        let buf = postcard::to_extend(&self.digest.answers, buf)?;
        let Some(leaving) = &self.leaving else { return Ok(buf) };
        let buf = postcard::to_extend(leaving, buf)?;
        match &self.digest.ages {
            Some(ages) => postcard::to_extend(ages, buf),
            None => Ok(buf),
        }
    }

    /// Decodes a message of this version or an earlier or later one.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoding library if a part is not of the expected form.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (mut digest, rest): (Digest, _) = postcard::take_from_bytes(bytes)?;
        let (limits, rest) = take_part::<Vec<LimitReport>>(rest)?;
        let (access, rest) = take_part::<Vec<UpstreamAccess>>(rest)?;
        let (answers, rest) = take_part::<Vec<ClearingAnswer>>(rest)?;
        let (leaving, rest) = take_optional::<Vec<LeavingUpstream>>(rest)?;
        let (ages, _) = take_optional::<ViewAges>(rest)?;
        (digest.access, digest.answers, digest.ages) = (access, answers, ages);
        Ok(Self { digest, limits, leaving })
    }
}

/// Decodes the next part of a message, which is empty in a message of an earlier version.
fn take_part<T: Default + DeserializeOwned>(bytes: &[u8]) -> postcard::Result<(T, &[u8])> {
    let (part, rest) = take_optional(bytes)?;
    Ok((part.unwrap_or_default(), rest))
}

/// Decodes the next part of a message, which is missing in a message of an earlier version.
fn take_optional<T: DeserializeOwned>(bytes: &[u8]) -> postcard::Result<(Option<T>, &[u8])> {
    if bytes.is_empty() {
        return Ok((None, bytes));
    }
    let (part, rest) = postcard::take_from_bytes(bytes)?;
    Ok((Some(part), rest))
}
