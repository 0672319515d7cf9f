//! The crate's error type.

use thiserror::Error;

/// The result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error in the setup of a scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// There is no target policy with this name.
    #[error("unknown target policy \"{name}\"")]
    UnknownPolicy {
        /// The requested name.
        name: String,
    },
}

/// Creates an [`Error::UnknownPolicy`].
pub fn unknown_policy(name: &str) -> Error {
    Error::UnknownPolicy { name: name.to_owned() }
}
