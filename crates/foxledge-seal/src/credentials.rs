//! Credentials: a caller's proof that it acts for a member.

use hmac::Mac;

use crate::keys::{keyed_state, truncated};

const CREDENTIAL_LABEL: &[u8] = b"foxledge credential 1";

/// The proof that `caller` acts for `member`, under the member's published secret.
pub fn credential(secret: &[u8], member: &str, caller: u64) -> Vec<u8> {
    let mut state = keyed_state(secret);
    state.update(CREDENTIAL_LABEL);
    state.update(&caller.to_be_bytes());
    state.update(member.as_bytes());
    truncated(state).to_vec()
}

/// True when the proof fits, compared in constant time.
pub fn verify_credential(secret: &[u8], member: &str, caller: u64, proof: &[u8]) -> bool {
    let expected = credential(secret, member, caller);
    subtle::ConstantTimeEq::ct_eq(expected.as_slice(), proof).into()
}
