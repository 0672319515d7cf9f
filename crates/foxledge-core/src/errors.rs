//! The crate's error type.

use thiserror::Error;

/// `Result` is the crate's result type.
pub type Result<T> = std::result::Result<T, Error>;

/// An error in the conversion of a basic type.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The text is not the name of any known value.
    #[error("unknown {what} \"{word}\"")]
    UnknownWord {
        /// What the text should have named.
        what: &'static str,
        /// The text.
        word: String,
    },
}

/// Creates an [`Error::UnknownWord`].
pub fn unknown_word(what: &'static str, word: &str) -> Error {
    Error::UnknownWord { what, word: word.to_owned() }
}
