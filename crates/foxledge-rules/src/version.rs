//! The version of a list, which consists of its revision and digest.

use foxledge_core::{hash::digest_of, lists::ListVersion};

/// Returns the version of the list that consists of these parts in this order.
///
/// Each part is given by its name and the digest of its text, so that the version
/// can be computed from a manifest alone.
pub fn list_version<'a>(revision: u64, parts: impl Iterator<Item = (&'a str, u64)>) -> ListVersion {
    let mut bytes = Vec::new();
    for (name, digest) in parts {
        // The length prefix distinguishes ("ab", ...) from ("a", ...), ("b", ...).
        bytes.extend_from_slice(&(name.len() as u64).to_le_bytes());
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(&digest.to_le_bytes());
    }
    ListVersion { revision, digest: digest_of(&bytes) }
}
