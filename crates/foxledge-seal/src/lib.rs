//! Sealed tickets, flow tokens and credentials.
//!
//! Everything that an instance hands out and later accepts as its own is sealed with a key that
//! operators publish. The key with the highest id seals, and every published key opens, so that
//! values in use remain valid during a key rotation.

pub mod credentials;
pub mod errors;
pub mod keys;
pub mod seals;

pub use credentials::{credential, verify_credential};
pub use errors::{Error, Result};
pub use keys::KeyRing;
