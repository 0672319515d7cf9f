//! Stable hashes, equal in every process and release.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the digest by which instances compare contents in messages. It is not cryptographic.
pub fn digest_of(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Returns the weight of `candidate` for `key`; the candidate with the highest weight is chosen.
///
/// Rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
/// IEEE/ACM Transactions on Networking 6(1), 1998.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}
