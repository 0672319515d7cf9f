//! Credentials, by which a caller proves that it acts for a member.

use hmac::Mac;

use crate::keys::{finalize_truncated, keyed_state};

const CREDENTIAL_LABEL: &[u8] = b"foxledge credential 1";

/// Computes the proof that the caller with the id `caller` acts for `member`: a truncated HMAC
/// keyed with the member's published secret.
pub fn credential(secret: &[u8], member: &str, caller: u64) -> Vec<u8> {
    let mut state = keyed_state(secret);
    state.update(CREDENTIAL_LABEL);
    state.update(&caller.to_be_bytes());
    state.update(member.as_bytes());
    finalize_truncated(state).to_vec()
}

/// Returns `true` if `proof` is the credential of `caller` for `member`. The comparison takes
/// constant time.
pub fn verify_credential(secret: &[u8], member: &str, caller: u64, proof: &[u8]) -> bool {
    let expected = credential(secret, member, caller);
    subtle::ConstantTimeEq::ct_eq(expected.as_slice(), proof).into()
}
