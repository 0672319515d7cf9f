//! Errors of reading a message.

use thiserror::Error;

/// The result of reading a message.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason for which a message is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The datagram is longer than the protocol allows.
    #[error("oversized datagram of {0} bytes")]
    Oversized(usize),
    /// The bytes can't be decoded as a message of the protocol.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// A field holds a value that the protocol doesn't allow.
    #[error("field {field}: {reason}")]
    InvalidField {
        /// The field's name.
        field: &'static str,
        /// What is wrong with it.
        reason: &'static str,
    },
}

/// Creates an [`Error::InvalidField`].
pub fn invalid_field(field: &'static str, reason: &'static str) -> Error {
    Error::InvalidField { field, reason }
}

impl From<prost::DecodeError> for Error {
    fn from(error: prost::DecodeError) -> Error {
        Error::Malformed(error.to_string())
    }
}
