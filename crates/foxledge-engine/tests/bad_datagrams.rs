//! Malformed and hostile datagrams are cheap to drop and cause no traffic to others.

mod common;

use std::sync::Arc;

use common::{TestNet, address, data_address, packets::bid_packet};
use foxledge_engine::{EngineEffect, EngineOptions, FlowEngine};
use foxledge_wire::{
    MAX_DATAGRAM_BYTES, encode_packet,
    flow::{Packet, PacketKind, RefusalReason},
};
use proptest::prelude::*;

fn engine(net: &mut TestNet) -> &mut FlowEngine {
    net.engines[0].as_mut().unwrap()
}

fn sent_bytes(effects: &[EngineEffect]) -> usize {
    let size = |effect: &EngineEffect| match effect {
        EngineEffect::SendData { bytes, .. } => bytes.len(),
        _ => 0,
    };
    effects.iter().map(size).sum()
}

#[test]
fn counts_and_drops_malformed_datagrams() {
    let mut net = TestNet::new(1, 1, EngineOptions::default());
    let whole = encode_packet(&bid_packet(1, 1, 1, "auction"));
    let oversized = encode_packet(&Packet {
        payload: vec![0; MAX_DATAGRAM_BYTES],
        ..bid_packet(1, 1, 1, "auction")
    });
    let version = encode_packet(&Packet { version: 9, ..bid_packet(1, 1, 1, "auction") });
    let parts = encode_packet(&Packet { part: 3, parts: 2, ..bid_packet(1, 1, 1, "auction") });
    let unpadded = encode_packet(&Packet {
        kind: PacketKind::TicketRequest.into(),
        ..bid_packet(1, 1, 1, "auction")
    });
    let cases =
        [&whole[..whole.len() - 2], b"", b"\xff\xff\xff", &oversized, &version, &parts, &unpadded];
    let now = net.now;
    for (index, bytes) in cases.iter().enumerate() {
        let effects = engine(&mut net).on_datagram(now, address(5001), bytes);
        assert_eq!(sent_bytes(&effects), 0, "case {index}");
        assert_eq!(engine(&mut net).counters().malformed, index as u64 + 1, "case {index}");
    }
}

#[test]
fn refuses_unknown_names_and_forged_seals_with_reason() {
    let mut net = TestNet::new(1, 2, EngineOptions::default());
    let unknown_service = bid_packet(1, 1, 1, "nowhere");
    let unknown_member = Packet { member: "nobody".into(), ..bid_packet(2, 1, 1, "auction") };
    let forged_token = Packet { token: vec![9; 40], ..bid_packet(3, 1, 1, "auction") };
    let forged_ticket = Packet { ticket: vec![9; 40], ..bid_packet(4, 1, 1, "auction") };
    for (packet, reason) in [
        (Packet { idempotent: true, ..unknown_service }, RefusalReason::UnknownAddress),
        (Packet { idempotent: true, ..unknown_member }, RefusalReason::BadCredential),
        (forged_token, RefusalReason::BadToken),
        (forged_ticket, RefusalReason::BadTicket),
    ] {
        net.send(packet.caller, 0, &packet);
        net.run_for(50);
        let answers = net.drain_answers(packet.caller);
        let reasons: Vec<_> = answers.iter().filter_map(|a| Some(a.refusal?.reason())).collect();
        assert_eq!(reasons, [reason]);
    }
}

/// A third party sends a forward, and an answer with a forged return path. If either were accepted
/// without a valid seal, instances would send datagrams to an address that never requested them.
#[test]
fn drops_unsealed_forwards_and_return_paths() {
    let mut net = TestNet::new(1, 3, EngineOptions::default());
    let now = net.now;
    let answer = Packet {
        kind: PacketKind::Answer.into(),
        return_path: vec![1; 60],
        ..bid_packet(1, 1, 1, "auction")
    };
    let effects = engine(&mut net).on_datagram(now, address(4000), &encode_packet(&answer));
    assert_eq!(sent_bytes(&effects), 0);
    let effects = engine(&mut net).on_peer_datagram(now, address(2009), &[7; 80]);
    assert!(effects.is_empty());
    let counters = engine(&mut net).counters().clone();
    assert_eq!((counters.path_unsealed, counters.peer_unsealed), (1, 1));
}

/// An instance that has no list yet refuses at once instead of leaving the caller without a reply.
#[test]
fn refuses_at_once_without_a_list() {
    let mut net = TestNet::new(1, 4, EngineOptions::default());
    let me = engine(&mut net).me().clone();
    let mut engine_without_list = FlowEngine::new(EngineOptions::default(), me, 1);
    let now = net.now;
    let bytes = encode_packet(&bid_packet(1, 1, 1, "auction"));
    let effects = engine_without_list.on_datagram(now, data_address(9), &bytes);
    assert!(sent_bytes(&effects) > 0, "an instance without a list refuses at once");
    assert!(engine_without_list.apply_list(now, Arc::new(net.current_list(1))).len() <= 1);
}

prop_compose! {
    fn any_packet()(
        kind in prop_oneof![Just(1), Just(2), 0i32..20], work_kind in 0i32..5, flow in any::<u64>(), caller in 0u64..3,
        request in 0u64..3, address in "(auction|intake|x)?", member in "(bricks|y)?",
        idempotent in any::<bool>(), part in 0u32..3, parts in 0u32..4,
        payload in proptest::collection::vec(any::<u8>(), 0..600),
        ticket in prop_oneof![4 => Just(Vec::new()), 1 => proptest::collection::vec(any::<u8>(), 0..30)],
        token in prop_oneof![4 => Just(Vec::new()), 1 => proptest::collection::vec(any::<u8>(), 0..30)],
        missing in proptest::collection::vec(any::<u32>(), 0..4),
    ) -> Packet {
        Packet {
            kind, work: work_kind, flow, request, idempotent, part, parts, payload, ticket, token,
            missing, member, ..bid_packet(caller, 1, 1, &address)
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn never_replies_with_more_bytes_than_received(packet in any_packet(), cut in 0usize..40) {
        let mut net = TestNet::new(1, 5, EngineOptions::default());
        let mut bytes = encode_packet(&packet);
        bytes.truncate(bytes.len().saturating_sub(cut / 20 * cut));
        let now = net.now;
        let sender = address(5001);
        let effects = engine(&mut net).on_datagram(now, sender, &bytes);
        let reply_bytes: usize = effects.iter().map(|effect| match effect {
            EngineEffect::SendData { to, bytes } if *to == sender => bytes.len(),
            _ => 0,
        }).sum();
        prop_assert!(reply_bytes <= bytes.len(), "sent {reply_bytes} bytes for {}", bytes.len());
    }

    #[test]
    fn survives_random_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let mut net = TestNet::new(1, 6, EngineOptions::default());
        let now = net.now;
        engine(&mut net).on_datagram(now, address(5001), &bytes);
        engine(&mut net).on_peer_datagram(now, address(2001), &bytes);
    }
}
