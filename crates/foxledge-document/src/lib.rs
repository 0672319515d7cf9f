//! A reader of TOML documents that reports all errors at once.
//!
//! A deserializer stops at its first error. Operators need all of them, each
//! with its line and key, so settings and rule lists are read with a
//! [`TableReader`], which records a finding and continues.

pub mod findings;
pub mod paths;
pub mod reader;

pub use findings::{KeyLocation, SourceFindings};
pub use paths::KeyPath;
pub use reader::{LocatedText, TableReader, read_document};

/// The maximum length of a name, in bytes.
///
/// Tickets, flow tokens and return paths carry up to five names and share one
/// datagram with a payload. With longer names a list would be accepted, but full
/// parts of answers would be dropped as oversized, so that requests with large
/// answers would never complete.
pub const MAX_NAME_BYTES: usize = 32;

/// Returns what is wrong with a name, or `None` if it is valid.
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
