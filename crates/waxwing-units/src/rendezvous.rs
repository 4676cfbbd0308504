//! The stable hash that places objects on machines.

use xxhash_rust::xxh3;

/// Returns the weight of `candidate` for `object`; the highest weight wins.
///
/// The value is the same on every machine and in every release.
pub fn weight(object: &str, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), xxh3::xxh3_64(object.as_bytes()))
}

/// Returns the stable hash of `object`.
pub fn hash(object: &str) -> u64 {
    xxh3::xxh3_64(object.as_bytes())
}
