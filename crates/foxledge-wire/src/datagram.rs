//! Bounded decoding of datagrams.

use prost::Message;

use crate::{
    errors::{Error, Result, invalid_field},
    flow::{Packet, PacketKind, WorkKind},
};

/// Version of the datagram protocol.
pub const PROTOCOL_VERSION: u32 = 1;
/// Longest datagram, in bytes; fits an Ethernet frame with room for headers.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Longest payload of one part, in bytes.
///
/// The rest of a datagram holds the header and a return path with a flow token
/// in it, whose names are up to 32 bytes each.
pub const MAX_PAYLOAD_BYTES: usize = 800;
/// Least payload of a ticket request, in bytes of padding.
///
/// A ticket is larger than the request for it. Without padding, whoever forges
/// the source address of small requests has instances send large grants to a
/// victim; with it no answer is larger than what asked for it.
pub const MIN_TICKET_PADDING_BYTES: usize = 400;
/// Most parts of one request or answer.
pub const MAX_PARTS: u32 = 4096;

const MAX_NAME: usize = 100;
const MAX_SEALED: usize = 400;
const MAX_MISSING: usize = 64;

/// Decodes one datagram and checks every bound.
///
/// Without the bounds a hostile caller makes an instance hold or repeat more
/// than it sent; one would notice memory or outgoing traffic that rises with
/// junk. Whatever fails here is counted and dropped without an answer.
pub fn decode_packet(bytes: &[u8]) -> Result<Packet> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::Oversized(bytes.len()));
    }
    let packet = Packet::decode(bytes)?;
    check_head(&packet)?;
    check_sizes(&packet)?;
    check_parts(&packet)?;
    check_padding(&packet)?;
    Ok(packet)
}

/// Encodes a packet as one datagram.
pub fn encode_packet(packet: &Packet) -> Vec<u8> {
    packet.encode_to_vec()
}

fn check_head(packet: &Packet) -> Result<()> {
    if packet.version != PROTOCOL_VERSION {
        return Err(invalid_field("version", "not spoken here"));
    }
    let kind = PacketKind::try_from(packet.kind).unwrap_or(PacketKind::Unspecified);
    if kind == PacketKind::Unspecified {
        return Err(invalid_field("kind", "unknown"));
    }
    if WorkKind::try_from(packet.work).is_err() {
        return Err(invalid_field("work", "unknown"));
    }
    Ok(())
}

fn check_sizes(packet: &Packet) -> Result<()> {
    let sized = [
        ("address", packet.address.len(), MAX_NAME),
        ("member", packet.member.len(), MAX_NAME),
        ("service", packet.service.len(), MAX_NAME),
        ("ticket", packet.ticket.len(), MAX_SEALED),
        ("token", packet.token.len(), MAX_SEALED),
        ("return_path", packet.return_path.len(), MAX_SEALED + MAX_NAME),
        ("credential", packet.credential.len(), MAX_NAME),
        ("payload", packet.payload.len(), MAX_PAYLOAD_BYTES),
        ("missing", packet.missing.len(), MAX_MISSING),
    ];
    for (field, size, limit) in sized {
        if size > limit {
            return Err(invalid_field(field, "too long"));
        }
    }
    Ok(())
}

fn check_parts(packet: &Packet) -> Result<()> {
    if packet.parts > MAX_PARTS {
        return Err(invalid_field("parts", "too many"));
    }
    let carries_part = packet.kind() == PacketKind::Work || packet.kind() == PacketKind::Answer;
    if carries_part && packet.part >= packet.parts {
        return Err(invalid_field("part", "not below parts"));
    }
    Ok(())
}

fn check_padding(packet: &Packet) -> Result<()> {
    let is_request = packet.kind() == PacketKind::TicketRequest;
    if is_request && packet.payload.len() < MIN_TICKET_PADDING_BYTES {
        return Err(invalid_field("payload", "ticket request without its padding"));
    }
    Ok(())
}
