//! The crate's error type.

use thiserror::Error;

/// `Result` is the crate's result type.
pub type Result<T> = std::result::Result<T, Error>;

/// An error in the conversion of a basic type.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// A text is not the name of any value of its type.
    #[error("unknown {what} \"{word}\"")]
    UnknownWord {
        /// The type of value that was expected, such as `kind of traffic`.
        what: &'static str,
        /// The rejected text.
        word: String,
    },
}

/// Creates an [`Error::UnknownWord`] for a text that names no value of the type `what`.
pub fn unknown_word(what: &'static str, word: &str) -> Error {
    Error::UnknownWord { what, word: word.to_owned() }
}
