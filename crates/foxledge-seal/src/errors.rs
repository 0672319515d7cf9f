//! The crate's error type.

use thiserror::Error;

/// `Result` is the crate's result type.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is why a sealed value isn't believed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// No key is published, so nothing can be sealed.
    #[error("no key to seal with")]
    NoKey,
    /// Sealed under a key that isn't published (any more).
    #[error("unknown key {0}")]
    UnknownKey(u32),
    /// The code doesn't fit the contents.
    #[error("wrong message authentication code")]
    InvalidMac,
    /// Not a sealed value at all.
    #[error("malformed sealed value")]
    Malformed,
}
