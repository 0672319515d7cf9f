//! The crate's error type.

use thiserror::Error;

/// `Result` is the crate's result type.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what can go wrong when a desk is set up.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// No target policy has that name.
    #[error("unknown target policy \"{name}\"")]
    UnknownPolicy {
        /// The name.
        name: String,
    },
}

/// Makes an [`Error::UnknownPolicy`].
pub fn unknown_policy(name: &str) -> Error {
    Error::UnknownPolicy { name: name.to_owned() }
}
