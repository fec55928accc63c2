//! Rendezvous hashing: hosts that know the same candidates choose the same one without talking.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of `candidate` for `key`; the candidate with the highest weight is chosen.
pub fn weight(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// Turns a weight into a score under which candidates are chosen in proportion to their `share`.
pub fn weighted_score(weight: u64, share: f64) -> f64 {
    let uniform = (weight as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    share / -uniform.ln()
}

/// A short stable number for `text`.
pub fn hash(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// A short stable number for `bytes`.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}
