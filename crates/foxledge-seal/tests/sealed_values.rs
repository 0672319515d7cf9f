//! What is forged, altered, mixed up or sealed under a withdrawn key isn't believed.

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
fn opens_own() {
    let ring = ring(&[1]);
    let ticket = Ticket { serial: 5, ..Ticket::default() };
    let sealed = seal_ticket(&ring, &ticket).unwrap();
    assert_eq!(open_ticket(&ring, &sealed).unwrap(), ticket);
}

#[test]
fn purposes_differ() {
    let ring = ring(&[1]);
    let sealed = seal_ticket(&ring, &Ticket::default()).unwrap();
    assert_eq!(open_token(&ring, &sealed), Err(Error::InvalidMac));
}

#[test]
fn withdrawn_key() {
    // Symptom: a long feed is refused after the second rotation of keys.
    // Sequence: token sealed under key 1; keys 1 and 2 published; keys 2 and 3 published.
    // Cause: the token was never resealed while key 1 still opened it.
    let sealed = seal_token(&ring(&[1]), &token()).unwrap();
    let resealed = reseal_token(&ring(&[1, 2]), &sealed).unwrap().unwrap();
    assert_eq!(open_token(&ring(&[2, 3]), &sealed), Err(Error::UnknownKey(1)));
    assert_eq!(open_token(&ring(&[2, 3]), &resealed).unwrap(), token());
    assert_eq!(reseal_token(&ring(&[1, 2]), &resealed), Ok(None));
}

#[test]
fn credential_binds() {
    let proof = credential(b"secret of sixteen", "bricks", 4);
    assert!(verify_credential(b"secret of sixteen", "bricks", 4, &proof));
    assert!(!verify_credential(b"secret of sixteen", "bricks", 5, &proof));
    assert!(!verify_credential(b"secret of sixteen", "tiles", 4, &proof));
    assert!(!verify_credential(b"another secret 16", "bricks", 4, &proof));
    assert!(!verify_credential(b"secret of sixteen", "bricks", 4, &[]));
}

proptest! {
    #[test]
    fn altered_never_opens(at in 0usize..200, bit in 0u8..8) {
        let ring = ring(&[1, 2]);
        let sealed = seal_token(&ring, &token()).unwrap();
        let mut altered = sealed.clone();
        let at = at % altered.len();
        altered[at] ^= 1 << bit;
        // A changed byte either fails to open or leaves the contents as they were.
        if let Ok(opened) = open_token(&ring, &altered) {
            prop_assert_eq!(opened, token());
        }
    }

    #[test]
    fn junk_never_opens(junk in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(open_token(&ring(&[1]), &junk).is_err());
        prop_assert!(open_ticket(&ring(&[1]), &junk).is_err());
    }
}
