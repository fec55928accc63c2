//! The answer to a request, computed alike by the server and by whoever checks it.

use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use sha2::{Digest, Sha256};

/// The header of an answer that holds the digest of its request, in hexadecimal.
pub const DIGEST_HEADER: &str = "x-digest";

/// The digest of a request.
pub fn digest(method: &str, path_and_query: &str, body: &[u8]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// The body of the answer to the request with this digest.
pub fn body(digest: [u8; 32], bytes: usize) -> Vec<u8> {
    let mut buf = vec![0; bytes];
    SmallRng::from_seed(digest).fill_bytes(&mut buf);
    buf
}

/// The digest as text.
pub fn hex(digest: [u8; 32]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
