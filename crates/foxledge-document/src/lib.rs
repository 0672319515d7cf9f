//! TOML documents read key by key.
//!
//! A deserializer stops at its first error. Operators want all of them, each
//! with its line and key, so settings and rule lists are read with a
//! [`TableReader`], which notes a finding and goes on.

pub mod findings;
pub mod paths;
pub mod reader;

pub use findings::{KeyLocation, SourceFindings};
pub use paths::KeyPath;
pub use reader::{LocatedText, TableReader, read_document};

/// Longest name, in bytes.
///
/// Tickets, flow tokens and return paths carry up to five names, and travel
/// beside a payload in one datagram. With longer names a list would be good and
/// yet whole answers would be dropped as oversized; one would notice requests
/// with large answers that never end.
pub const MAX_NAME_BYTES: usize = 32;

/// What is wrong with a name, or none when it is good.
pub fn name_error(name: &str) -> Option<&'static str> {
    if name.is_empty() {
        return Some("must not be empty");
    }
    if name.len() > MAX_NAME_BYTES {
        return Some("must not be longer than 32 bytes");
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    if !name.chars().all(is_allowed) {
        return Some("may hold only ASCII letters, digits, '.', '-' and '_'");
    }
    None
}
