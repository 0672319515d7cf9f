//! Sealed tickets, flow tokens and credentials.
//!
//! Everything that an instance hands out and later believes is sealed under a
//! key that operators publish. The highest key id seals; every published key
//! opens, so that what is on its way survives a rotation.

pub mod credentials;
pub mod errors;
pub mod keys;
pub mod seals;

pub use credentials::{credential, verify_credential};
pub use errors::{Error, Result};
pub use keys::KeyRing;
