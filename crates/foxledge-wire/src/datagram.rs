//! Decoding of datagrams with bounds on every field.

use prost::Message;

use crate::{
    errors::{Error, Result, invalid_field},
    flow::{Packet, PacketKind, WorkKind},
};

/// The version of the datagram protocol.
pub const PROTOCOL_VERSION: u32 = 1;
/// The largest size of a datagram, in bytes; with its headers it fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The largest payload of one part, in bytes.
///
/// The rest of a datagram holds the header and a return path, which contains a flow token with
/// names of up to 32 bytes each.
pub const MAX_PAYLOAD_BYTES: usize = 800;
/// The smallest payload of a ticket request, in bytes of padding.
///
/// A ticket is larger than the request for it. Without padding, an attacker who forges the source
/// address of small requests makes instances send large grants to a victim. Padding makes every
/// response at most as large as its request.
pub const MIN_TICKET_PADDING_BYTES: usize = 400;
/// The largest number of parts of one request or response.
pub const MAX_PARTS: u32 = 4096;

const MAX_NAME_BYTES: usize = 100;
const MAX_SEALED_BYTES: usize = 400;
const MAX_MISSING_PARTS: usize = 64;

/// Decodes one datagram and checks the bounds of all its fields.
///
/// Without the bounds, a hostile caller makes an instance store or send more than the caller sent:
/// memory use or outgoing traffic rises with invalid datagrams. The instance counts a datagram
/// that is rejected here, drops it and sends no response.
///
/// # Errors
///
/// Returns an error when the datagram is too large, is malformed, or has a field out of bounds.
pub fn decode_packet(bytes: &[u8]) -> Result<Packet> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::Oversized(bytes.len()));
    }
    let packet = Packet::decode(bytes)?;
    check_header(&packet)?;
    check_field_sizes(&packet)?;
    check_parts(&packet)?;
    check_padding(&packet)?;
    Ok(packet)
}

/// Encodes a packet as one datagram.
pub fn encode_packet(packet: &Packet) -> Vec<u8> {
    packet.encode_to_vec()
}

fn check_header(packet: &Packet) -> Result<()> {
    if packet.version != PROTOCOL_VERSION {
        return Err(invalid_field("version", "not supported"));
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

fn check_field_sizes(packet: &Packet) -> Result<()> {
    let field_sizes = [
        ("address", packet.address.len(), MAX_NAME_BYTES),
        ("member", packet.member.len(), MAX_NAME_BYTES),
        ("service", packet.service.len(), MAX_NAME_BYTES),
        ("ticket", packet.ticket.len(), MAX_SEALED_BYTES),
        ("token", packet.token.len(), MAX_SEALED_BYTES),
        ("return_path", packet.return_path.len(), MAX_SEALED_BYTES + MAX_NAME_BYTES),
        ("credential", packet.credential.len(), MAX_NAME_BYTES),
        ("payload", packet.payload.len(), MAX_PAYLOAD_BYTES),
        ("missing", packet.missing.len(), MAX_MISSING_PARTS),
    ];
    for (field, size, limit) in field_sizes {
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
        return Err(invalid_field("part", "not below the number of parts"));
    }
    Ok(())
}

fn check_padding(packet: &Packet) -> Result<()> {
    let is_request = packet.kind() == PacketKind::TicketRequest;
    if is_request && packet.payload.len() < MIN_TICKET_PADDING_BYTES {
        return Err(invalid_field("payload", "too short for a ticket request"));
    }
    Ok(())
}
