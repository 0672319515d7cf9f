//! The crate's error type.

use thiserror::Error;

/// `Result` is the crate's result type.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why a sealed value is rejected or cannot be created.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// No key is published, so nothing can be sealed.
    #[error("no key is published to seal with")]
    NoKey,
    /// The value was sealed with a key that is not published, or no longer published.
    #[error("value is sealed with unknown key {0}")]
    UnknownKey(u32),
    /// The message authentication code does not match the contents.
    #[error("message authentication code doesn't match")]
    InvalidMac,
    /// The bytes do not encode a sealed value.
    #[error("malformed sealed value")]
    Malformed,
}
