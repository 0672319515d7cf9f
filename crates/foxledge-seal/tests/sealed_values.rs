//! Rejection of values that are forged, altered, used for another purpose or sealed with a
//! withdrawn key.

use foxledge_core::lists::KeySpec;
use foxledge_seal::{
    Error, KeyRing, credential,
    seals::{open_ticket, open_token, reseal_token, seal_ticket, seal_token},
    verify_credential,
};
use foxledge_wire::flow::{FlowToken, Ticket};
use proptest::prelude::*;

fn ring(ids: &[u32]) -> KeyRing {
    let keys: Vec<_> = ids.iter().map(|&id| KeySpec { id, secret: vec![id as u8; 32] }).collect();
    KeyRing::from_keys(&keys)
}

fn token() -> FlowToken {
    FlowToken { address: "auction".into(), flow: 7, dispatch: 9, ..FlowToken::default() }
}

#[test]
fn opens_sealed_ticket() {
    let ring = ring(&[1]);
    let ticket = Ticket { serial: 5, ..Ticket::default() };
    let sealed = seal_ticket(&ring, &ticket).unwrap();
    assert_eq!(open_ticket(&ring, &sealed).unwrap(), ticket);
}

#[test]
fn rejects_value_of_another_purpose() {
    let ring = ring(&[1]);
    let sealed = seal_ticket(&ring, &Ticket::default()).unwrap();
    assert_eq!(open_token(&ring, &sealed), Err(Error::InvalidMac));
}

#[test]
fn opens_resealed_token_after_key_withdrawal() {
    // Guards against a long feed being refused after the second key rotation: its token was sealed
    // with key 1, is resealed while keys 1 and 2 are published, and must open with keys 2 and 3.
    let sealed = seal_token(&ring(&[1]), &token()).unwrap();
    let resealed = reseal_token(&ring(&[1, 2]), &sealed).unwrap().unwrap();
    assert_eq!(open_token(&ring(&[2, 3]), &sealed), Err(Error::UnknownKey(1)));
    assert_eq!(open_token(&ring(&[2, 3]), &resealed).unwrap(), token());
    assert_eq!(reseal_token(&ring(&[1, 2]), &resealed), Ok(None));
}

#[test]
fn binds_credential_to_secret_member_and_caller() {
    let proof = credential(b"secret of sixteen", "bricks", 4);
    assert!(verify_credential(b"secret of sixteen", "bricks", 4, &proof));
    assert!(!verify_credential(b"secret of sixteen", "bricks", 5, &proof));
    assert!(!verify_credential(b"secret of sixteen", "tiles", 4, &proof));
    assert!(!verify_credential(b"another secret 16", "bricks", 4, &proof));
    assert!(!verify_credential(b"secret of sixteen", "bricks", 4, &[]));
}

proptest! {
    #[test]
    fn rejects_altered_tokens(at in 0usize..200, bit in 0u8..8) {
        let ring = ring(&[1, 2]);
        let sealed = seal_token(&ring, &token()).unwrap();
        let mut altered = sealed.clone();
        let at = at % altered.len();
        altered[at] ^= 1 << bit;
        // An altered byte either prevents opening or leaves the contents unchanged.
        if let Ok(opened) = open_token(&ring, &altered) {
            prop_assert_eq!(opened, token());
        }
    }

    #[test]
    fn rejects_random_bytes(junk in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(open_token(&ring(&[1]), &junk).is_err());
        prop_assert!(open_ticket(&ring(&[1]), &junk).is_err());
    }
}
