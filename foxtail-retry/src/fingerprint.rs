//! What makes two requests the same to an upstream that they may crash.

use std::fmt;

use foxtail_types::prelude::*;
use sha2::{Digest, Sha256};

/// Bytes of a fingerprint.
const FINGERPRINT_BYTES: usize = 16;

/// A digest of workspace, service, method, path and body. A caller's key is not part of it: a
/// request that crashes upstreams does so under each key.
#[id]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// The fingerprint of a request. `path` includes the query.
    pub fn of(
        workspace: &WorkspaceId,
        service: &ServiceId,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Self {
        let mut digest = Sha256::new();
        let parts = [workspace.as_str(), service.as_str(), method, path];
        for part in parts.map(str::as_bytes).into_iter().chain([body]) {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let mut out = [0; FINGERPRINT_BYTES];
        out.copy_from_slice(&digest.finalize()[..FINGERPRINT_BYTES]);
        Self(out)
    }

    /// A number well mixed from the fingerprint, for hash tables and rendezvous hashing.
    pub fn hash64(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(&self.0)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
