//! Rendezvous hashing, which places objects on machines.
//!
//! Each object goes to the candidate with the highest weight for it, so that only the objects of a
//! candidate that is added or removed move.

use xxhash_rust::xxh3;

/// Low bits of a hash that are dropped, so that the rest fits the 53-bit significand of an `f64`.
const UNIFORM_SHIFT: u32 = 11;

/// The number of distinct hash values after the low bits are dropped.
const UNIFORM_MAX: f64 = (1_u64 << (64 - UNIFORM_SHIFT)) as f64;

/// Returns the weight of `candidate` for `object`; the highest weight wins.
///
/// The value is the same on every machine and in every release.
pub fn weight(object: &str, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), xxh3::xxh3_64(object.as_bytes()))
}

/// Returns a weight of `candidate` for `object` that wins in proportion to `share`.
///
/// The value is the same on every machine and in every release. A candidate with a share of 0 has
/// the lowest weight.
pub fn weighted(object: &str, candidate: &str, share: u32) -> u64 {
    // The negative logarithm of a uniform number in (0, 1], divided by the share, is an
    // exponential variable whose rate is the share: each candidate has the smallest value with the
    // probability of its share.
    let uniform = (weight(object, candidate) >> UNIFORM_SHIFT) as f64 + 1.0;
    let distance = (UNIFORM_MAX.ln() - uniform.ln()) / f64::from(share);
    // The smallest distance gets the highest weight; the bits of positive numbers are ordered as
    // the numbers are.
    u64::MAX - distance.to_bits()
}

/// Returns a hash of `object` that is the same on every machine and in every release.
pub fn hash(object: &str) -> u64 {
    xxh3::xxh3_64(object.as_bytes())
}
