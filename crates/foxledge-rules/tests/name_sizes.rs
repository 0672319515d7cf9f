//! The longest names that a list may have, in the largest datagrams.
//!
//! Symptom: a bidder never receives the whole of a large answer.
//! Sequence: a list with long names is accepted; an answer's part with a full payload is dropped
//! as oversized, at the instance or at the caller, and so is each resend of it.
//! Cause: limits of names and of payloads that don't go together.

use foxledge_core::lists::KeySpec;
use foxledge_document::MAX_NAME;
use foxledge_seal::{
    keys::KeyRing,
    seals::{seal_datagram, seal_path, seal_ticket, seal_token},
};
use foxledge_wire::{
    MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, decode_packet, encode_packet,
    flow::{
        FlowToken, Forward, LoadReport, Packet, PacketKind, PeerDatagram, ReturnPath, Ticket,
        WorkKind, peer_datagram::Body,
    },
};

/// Longest text of an IP number with a port.
const ADDRESS: &str = "[1111:2222:3333:4444:5555:6666:7777:8888]:65535";

fn longest_name() -> String {
    "n".repeat(MAX_NAME)
}

fn ring() -> KeyRing {
    KeyRing::from_keys(&[KeySpec { id: u32::MAX, secret: vec![7; 32] }])
}

fn token() -> Vec<u8> {
    let token = FlowToken {
        address: longest_name(),
        service: longest_name(),
        member: longest_name(),
        caller: u64::MAX,
        flow: u64::MAX,
        request: u64::MAX,
        target: longest_name(),
        target_address: ADDRESS.to_owned(),
        target_incarnation: u64::MAX,
        data_centre: longest_name(),
        dispatch: u64::MAX,
    };
    seal_token(&ring(), &token).unwrap()
}

fn ticket() -> Vec<u8> {
    let ticket = Ticket {
        address: longest_name(),
        service: longest_name(),
        member: longest_name(),
        caller: u64::MAX,
        home: longest_name(),
        home_address: ADDRESS.to_owned(),
        home_incarnation: u64::MAX,
        serial: u64::MAX,
        start_deadline_us: u64::MAX,
        count: u32::MAX,
    };
    seal_ticket(&ring(), &ticket).unwrap()
}

fn return_path() -> Vec<u8> {
    let path = ReturnPath { caller_address: ADDRESS.to_owned(), token: token(), by_token: true };
    seal_path(&ring(), &path).unwrap()
}

fn full_part(kind: PacketKind) -> Packet {
    Packet {
        version: 1,
        kind: kind.into(),
        flow: u64::MAX,
        address: longest_name(),
        member: longest_name(),
        caller: u64::MAX,
        request: u64::from(u32::MAX),
        work: WorkKind::Upload.into(),
        idempotent: true,
        attempt: 100,
        time_left_ms: 600_000,
        part: 4094,
        parts: 4095,
        payload: vec![1; MAX_PAYLOAD_BYTES],
        ..Packet::default()
    }
}

fn work_by_ticket() -> Packet {
    let work = full_part(PacketKind::Work);
    Packet { ticket: ticket(), credential: vec![1; 32], ..work }
}

fn at_target(kind: PacketKind) -> Packet {
    Packet {
        service: longest_name(),
        target_incarnation: u64::MAX,
        dispatch: u64::MAX,
        return_path: return_path(),
        ..full_part(kind)
    }
}

#[test]
fn packets_with_the_longest_names_are_taken() {
    let load = LoadReport {
        busy_slots: 100_000,
        connections: 10_000_000,
        queued: 1_000_000,
        draining: true,
        cold: true,
        healthy: true,
    };
    let packets = [
        ("work by ticket", work_by_ticket()),
        ("work by token", Packet { token: token(), ..full_part(PacketKind::Work) }),
        ("work to a backend server", at_target(PacketKind::Work)),
        ("answer to an instance", Packet { load: Some(load), ..at_target(PacketKind::Answer) }),
        (
            "answer to a caller",
            Packet { token: token(), service: longest_name(), ..full_part(PacketKind::Answer) },
        ),
    ];
    for (what, packet) in packets {
        let bytes = encode_packet(&packet);
        let taken = decode_packet(&bytes);
        assert!(taken.is_ok(), "{what} of {} bytes: {:?}", bytes.len(), taken.err());
    }
}

#[test]
fn forwarded_packets_fit_a_datagram() {
    let forward = Forward {
        forward_id: u64::MAX,
        caller_address: ADDRESS.to_owned(),
        packet: Some(work_by_ticket()),
        hops: 100,
        entry_address: ADDRESS.to_owned(),
        from_other_centre: true,
    };
    let datagram = PeerDatagram { body: Some(Body::Forward(forward)) };
    let size = seal_datagram(&ring(), &datagram).unwrap().len();
    assert!(size <= MAX_DATAGRAM_BYTES, "{size} bytes");
}
