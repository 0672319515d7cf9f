//! The crate's error type.

use thiserror::Error;

/// `Result` is the crate's result type.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what can go wrong with the plain types.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// A word that names no known value.
    #[error("unknown {what} \"{word}\"")]
    UnknownWord {
        /// What the word should have named.
        what: &'static str,
        /// The word.
        word: String,
    },
}

/// Makes an [`Error::UnknownWord`].
pub fn unknown_word(what: &'static str, word: &str) -> Error {
    Error::UnknownWord { what, word: word.to_owned() }
}
