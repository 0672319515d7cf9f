//! The ring of published keys.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use foxledge_core::lists::KeySpec;

use crate::errors::{Error, Result};

/// Bytes kept of a code; 128 bits are beyond guessing within a key's life.
pub const MAC_LENGTH: usize = 16;

/// `KeyRing` is the published keys, ready for use.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    /// Sorted by id; the last one seals.
    keys: Vec<RingKey>,
}

#[derive(Clone)]
struct RingKey {
    id: u32,
    // Keyed once: cloning this state costs less than hashing the secret anew.
    state: Hmac<Sha256>,
}

impl std::fmt::Debug for RingKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "RingKey({})", self.id)
    }
}

impl KeyRing {
    /// Makes the ring of the given keys.
    pub fn from_keys(specs: &[KeySpec]) -> KeyRing {
        let mut keys: Vec<_> = specs
            .iter()
            .map(|spec| RingKey { id: spec.id, state: keyed_state(&spec.secret) })
            .collect();
        keys.sort_by_key(|key| key.id);
        KeyRing { keys }
    }

    /// Ids of the keys, the one that seals last.
    pub fn ids(&self) -> Vec<u32> {
        self.keys.iter().map(|key| key.id).collect()
    }

    /// Code of `body` under the newest key, with that key's id.
    pub fn sign(&self, purpose: Purpose, body: &[u8]) -> Result<(u32, [u8; MAC_LENGTH])> {
        let key = self.keys.last().ok_or(Error::NoKey)?;
        Ok((key.id, code_of(key, purpose, body)))
    }

    /// Checks a code in constant time.
    pub fn verify(&self, key_id: u32, purpose: Purpose, body: &[u8], code: &[u8]) -> Result<()> {
        let key = self.keys.iter().find(|key| key.id == key_id).ok_or(Error::UnknownKey(key_id))?;
        let expected = code_of(key, purpose, body);
        let equal: bool = subtle::ConstantTimeEq::ct_eq(&expected[..], code).into();
        if equal { Ok(()) } else { Err(Error::InvalidMac) }
    }
}

/// `Purpose` is what a sealed value is for.
///
/// It goes into the code: a ticket presented as a flow token would otherwise
/// open if their fields happened to parse as each other's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A ticket.
    Ticket,
    /// A flow token.
    Token,
    /// A datagram between instances.
    Datagram,
    /// Where an answer goes.
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

/// A keyed HMAC state; HMAC takes secrets of every length.
pub(crate) fn keyed_state(secret: &[u8]) -> Hmac<Sha256> {
    <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("HMAC takes keys of every length")
}

fn code_of(key: &RingKey, purpose: Purpose, body: &[u8]) -> [u8; MAC_LENGTH] {
    let mut state = key.state.clone();
    state.update(purpose.label());
    state.update(&key.id.to_be_bytes());
    state.update(body);
    truncated(state)
}

pub(crate) fn truncated(state: Hmac<Sha256>) -> [u8; MAC_LENGTH] {
    let whole = state.finalize().into_bytes();
    let mut code = [0; MAC_LENGTH];
    code.copy_from_slice(&whole[..MAC_LENGTH]);
    code
}
