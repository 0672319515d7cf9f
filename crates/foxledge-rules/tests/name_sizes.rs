//! Names of the maximum length in datagrams with a full payload.
//!
//! If the limits on names and payloads don't fit together, a list with long names is accepted, but
//! the instance or the caller drops each full part of an answer as oversized, retransmissions
//! included, so that a bidder never receives the whole of a large answer.

use foxledge_core::lists::KeySpec;
use foxledge_document::MAX_NAME_BYTES;
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

/// The longest text form of a socket address.
const ADDRESS: &str = "[1111:2222:3333:4444:5555:6666:7777:8888]:65535";

fn max_length_name() -> String {
    "n".repeat(MAX_NAME_BYTES)
}

fn key_ring() -> KeyRing {
    KeyRing::from_keys(&[KeySpec { id: u32::MAX, secret: vec![7; 32] }])
}

fn token() -> Vec<u8> {
    let token = FlowToken {
        address: max_length_name(),
        service: max_length_name(),
        member: max_length_name(),
        caller: u64::MAX,
        flow: u64::MAX,
        request: u64::MAX,
        target: max_length_name(),
        target_address: ADDRESS.to_owned(),
        target_incarnation: u64::MAX,
        data_centre: max_length_name(),
        dispatch: u64::MAX,
    };
    seal_token(&key_ring(), &token).unwrap()
}

fn ticket() -> Vec<u8> {
    let ticket = Ticket {
        address: max_length_name(),
        service: max_length_name(),
        member: max_length_name(),
        caller: u64::MAX,
        home: max_length_name(),
        home_address: ADDRESS.to_owned(),
        home_incarnation: u64::MAX,
        serial: u64::MAX,
        start_deadline_us: u64::MAX,
        count: u32::MAX,
    };
    seal_ticket(&key_ring(), &ticket).unwrap()
}

fn return_path() -> Vec<u8> {
    let path = ReturnPath { caller_address: ADDRESS.to_owned(), token: token(), by_token: true };
    seal_path(&key_ring(), &path).unwrap()
}

fn full_packet(kind: PacketKind) -> Packet {
    Packet {
        version: 1,
        kind: kind.into(),
        flow: u64::MAX,
        address: max_length_name(),
        member: max_length_name(),
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
    let work = full_packet(PacketKind::Work);
    Packet { ticket: ticket(), credential: vec![1; 32], ..work }
}

fn packet_to_target(kind: PacketKind) -> Packet {
    Packet {
        service: max_length_name(),
        target_incarnation: u64::MAX,
        dispatch: u64::MAX,
        return_path: return_path(),
        ..full_packet(kind)
    }
}

#[test]
fn decodes_full_packets_with_names_of_maximum_length() {
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
        ("work by token", Packet { token: token(), ..full_packet(PacketKind::Work) }),
        ("work to a backend server", packet_to_target(PacketKind::Work)),
        (
            "answer to an instance",
            Packet { load: Some(load), ..packet_to_target(PacketKind::Answer) },
        ),
        (
            "answer to a caller",
            Packet {
                token: token(),
                service: max_length_name(),
                ..full_packet(PacketKind::Answer)
            },
        ),
    ];
    for (description, packet) in packets {
        let bytes = encode_packet(&packet);
        let decoded = decode_packet(&bytes);
        assert!(decoded.is_ok(), "{description} of {} bytes: {:?}", bytes.len(), decoded.err());
    }
}

#[test]
fn forwarded_full_packets_fit_in_a_datagram() {
    let forward = Forward {
        forward_id: u64::MAX,
        caller_address: ADDRESS.to_owned(),
        packet: Some(work_by_ticket()),
        hops: 100,
        entry_address: ADDRESS.to_owned(),
        from_other_centre: true,
    };
    let datagram = PeerDatagram { body: Some(Body::Forward(forward)) };
    let size = seal_datagram(&key_ring(), &datagram).unwrap().len();
    assert!(size <= MAX_DATAGRAM_BYTES, "{size} bytes");
}
