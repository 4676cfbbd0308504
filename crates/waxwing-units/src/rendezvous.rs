//! The stable hash that places objects on machines.

use xxhash_rust::xxh3;

/// Bits of a hash that a floating-point number does not hold.
const UNIFORM_SHIFT: u32 = 11;

/// The number of values that are left.
const UNIFORM_MAX: f64 = (1_u64 << (64 - UNIFORM_SHIFT)) as f64;

/// Returns the weight of `candidate` for `object`; the highest weight wins.
///
/// The value is the same on every machine and in every release.
pub fn weight(object: &str, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), xxh3::xxh3_64(object.as_bytes()))
}

/// Returns the weight of `candidate` for `object`, where candidates win in proportion to `share`.
///
/// The value is the same on every machine and in every release. A candidate without a share has no
/// weight.
pub fn weighted(object: &str, candidate: &str, share: u32) -> u64 {
    // The logarithm of a uniform number in (0, 1], divided by the share, orders candidates so that
    // each one is first with the probability of its share.
    let uniform = (weight(object, candidate) >> UNIFORM_SHIFT) as f64 + 1.0;
    let distance = (UNIFORM_MAX.ln() - uniform.ln()) / f64::from(share);
    // Small distances come first; the bits of a positive number are ordered as the number is.
    u64::MAX - distance.to_bits()
}

/// Returns the stable hash of `object`.
pub fn hash(object: &str) -> u64 {
    xxh3::xxh3_64(object.as_bytes())
}
