//! The format of packets, as callers and backend servers encode them.

use std::net::SocketAddrV4;

use foxledge_flows::FlowKey;

/// The flag of packets that open a flow.
pub const SYN: u8 = 32;
/// The flag of packets that reset a flow.
pub const RST: u8 = 16;
/// The flag of packets that acknowledge data.
pub const ACK: u8 = 4;
/// The flag of packets that close a flow.
pub const FIN: u8 = 2;

/// The checksum of packets written by callers and backend servers, which instances can't compute.
pub const ENDPOINT_CHECKSUM: u32 = 0x5eed_5eed;

/// A packet with its header and data.
#[derive(Clone, Debug)]
pub struct WirePacket {
    /// The address of the sender.
    pub from: SocketAddrV4,
    /// The address of the receiver.
    pub to: SocketAddrV4,
    /// The echo value, which both ends return unchanged.
    pub echo: u32,
    /// The checksum of the packet; 0 in packets that an instance itself wrote.
    pub checksum: u32,
    /// The flags.
    pub flags: u8,
    /// The sequence number.
    pub sequence: u32,
    /// The acknowledged sequence number, or the attempt number in an opening packet.
    pub acknowledged: u32,
    /// The data.
    pub data: Vec<u8>,
}

impl WirePacket {
    /// Creates a packet without data.
    pub fn new(from: SocketAddrV4, to: SocketAddrV4, flags: u8) -> WirePacket {
        let (echo, sequence, acknowledged) = (0, 0, 0);
        WirePacket {
            from,
            to,
            echo,
            checksum: ENDPOINT_CHECKSUM,
            flags,
            sequence,
            acknowledged,
            data: Vec::new(),
        }
    }

    /// Encodes the packet.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; 32];
        bytes[..4].copy_from_slice(&self.echo.to_be_bytes());
        bytes[4..6].copy_from_slice(&self.to.port().to_be_bytes());
        bytes[6..8].copy_from_slice(&self.from.port().to_be_bytes());
        bytes[8..12].copy_from_slice(&self.from.ip().octets());
        bytes[12..16].copy_from_slice(&self.to.ip().octets());
        bytes[16..18].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[18..22].copy_from_slice(&self.checksum.to_be_bytes());
        bytes[22] = self.flags;
        bytes[24..28].copy_from_slice(&self.sequence.to_be_bytes());
        bytes[28..32].copy_from_slice(&self.acknowledged.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    /// Decodes a packet; returns none if the bytes are too short for a header.
    pub fn decode(bytes: &[u8]) -> Option<WirePacket> {
        if bytes.len() < 32 {
            return None;
        }
        let word = |offset: usize| {
            u32::from_be_bytes(bytes[offset..offset + 4].try_into().unwrap_or_default())
        };
        let port = |offset: usize| u16::from_be_bytes([bytes[offset], bytes[offset + 1]]);
        Some(WirePacket {
            echo: word(0),
            to: SocketAddrV4::new(word(12).into(), port(4)),
            from: SocketAddrV4::new(word(8).into(), port(6)),
            checksum: word(18),
            flags: bytes[22],
            sequence: word(24),
            acknowledged: word(28),
            data: bytes[32..].to_vec(),
        })
    }

    /// Returns the key of the flow of a packet sent by a caller.
    pub fn flow_key(&self) -> FlowKey {
        FlowKey { caller: self.from, service: self.to }
    }
}
