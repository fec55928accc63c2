//! Rendezvous hashing: hosts that know the same candidates select the same one without
//! coordination.

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Returns the weight of `candidate` for `key`. The candidate with the highest weight is selected.
pub fn weight(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// Returns the score of a candidate with `weight`. Selecting the highest score selects candidates
/// in proportion to their `share`.
pub fn weighted_score(weight: u64, share: f64) -> f64 {
    let uniform = (weight as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    share / -uniform.ln()
}

/// Returns a stable hash of `text`.
pub fn hash(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// Returns a stable hash of the bytes of `parts`, one after the other.
pub fn hash_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut parts = parts.into_iter();
    let first = parts.next().unwrap_or_default();
    let Some(second) = parts.next() else { return xxh3_64_with_seed(first, 0) };
    let mut hasher = Xxh3::with_seed(0);
    [first, second].into_iter().chain(parts).for_each(|part| hasher.update(part));
    hasher.digest()
}

/// Returns a stable hash of `bytes`.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    hash_parts([bytes])
}
