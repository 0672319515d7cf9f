//! The set of published keys.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use foxledge_core::lists::KeySpec;

use crate::errors::{Error, Result};

/// The length of a truncated message authentication code, in bytes; 128 bits cannot be guessed
/// within a key's lifetime.
pub const MAC_LENGTH: usize = 16;

/// The published keys, prepared for use.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    /// Sorted by id; the last key seals.
    keys: Vec<RingKey>,
}

#[derive(Clone)]
struct RingKey {
    id: u32,
    // HMAC state keyed with the secret: cloning it costs less than hashing the secret again.
    state: Hmac<Sha256>,
}

impl std::fmt::Debug for RingKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "RingKey({})", self.id)
    }
}

impl KeyRing {
    /// Creates the key ring from the published keys.
    pub fn from_keys(specs: &[KeySpec]) -> KeyRing {
        let mut keys: Vec<_> = specs
            .iter()
            .map(|spec| RingKey { id: spec.id, state: keyed_state(&spec.secret) })
            .collect();
        keys.sort_by_key(|key| key.id);
        KeyRing { keys }
    }

    /// Returns the ids of the keys in ascending order; the last key seals.
    pub fn ids(&self) -> Vec<u32> {
        self.keys.iter().map(|key| key.id).collect()
    }

    /// Returns the id of the newest key, and the message authentication code of `body` under that
    /// key.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoKey`] if the ring is empty.
    pub fn sign(&self, purpose: Purpose, body: &[u8]) -> Result<(u32, [u8; MAC_LENGTH])> {
        let key = self.keys.last().ok_or(Error::NoKey)?;
        Ok((key.id, compute_mac(key, purpose, body)))
    }

    /// Verifies the message authentication code of `body` in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnknownKey`] if no published key has the id, and [`Error::InvalidMac`] if
    /// the code doesn't match.
    pub fn verify(&self, key_id: u32, purpose: Purpose, body: &[u8], mac: &[u8]) -> Result<()> {
        let key = self.keys.iter().find(|key| key.id == key_id).ok_or(Error::UnknownKey(key_id))?;
        let expected = compute_mac(key, purpose, body);
        let is_equal: bool = subtle::ConstantTimeEq::ct_eq(&expected[..], mac).into();
        if is_equal { Ok(()) } else { Err(Error::InvalidMac) }
    }
}

/// What a sealed value is used for.
///
/// The purpose is part of the authenticated data. Otherwise a ticket presented as a flow token
/// would be accepted if its fields happened to parse as those of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A ticket.
    Ticket,
    /// A flow token.
    Token,
    /// A datagram between instances.
    Datagram,
    /// The return path of a response.
    ReturnPath,
}

impl Purpose {
    fn label(self) -> &'static [u8] {
        match self {
            Purpose::Ticket => b"foxledge ticket 1",
            Purpose::Token => b"foxledge token 1",
            Purpose::Datagram => b"foxledge datagram 1",
            Purpose::ReturnPath => b"foxledge return path 1",
        }
    }
}

/// Returns an HMAC state keyed with `secret`; HMAC accepts secrets of any length.
pub(crate) fn keyed_state(secret: &[u8]) -> Hmac<Sha256> {
    <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("HMAC takes keys of every length")
}

/// Computes the truncated HMAC of a body for a purpose.
fn compute_mac(key: &RingKey, purpose: Purpose, body: &[u8]) -> [u8; MAC_LENGTH] {
    let mut state = key.state.clone();
    state.update(purpose.label());
    state.update(&key.id.to_be_bytes());
    state.update(body);
    finalize_truncated(state)
}

/// Returns the first [`MAC_LENGTH`] bytes of the HMAC.
pub(crate) fn finalize_truncated(state: Hmac<Sha256>) -> [u8; MAC_LENGTH] {
    let full_mac = state.finalize().into_bytes();
    let mut mac = [0; MAC_LENGTH];
    mac.copy_from_slice(&full_mac[..MAC_LENGTH]);
    mac
}
