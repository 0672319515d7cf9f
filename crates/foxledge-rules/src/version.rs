//! The version of a list: revision and digest.

use foxledge_core::{hash::digest_of, lists::ListVersion};

/// The version of the list that the parts make up, in this order.
///
/// Each part comes as its name and the digest of its text, so that a version
/// can be told from a manifest alone.
pub fn list_version<'a>(revision: u64, parts: impl Iterator<Item = (&'a str, u64)>) -> ListVersion {
    let mut bytes = Vec::new();
    for (name, digest) in parts {
        // The length keeps ("ab", ...) and ("a", ...), ("b", ...) apart.
        bytes.extend_from_slice(&(name.len() as u64).to_le_bytes());
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(&digest.to_le_bytes());
    }
    ListVersion { revision, digest: digest_of(&bytes) }
}
