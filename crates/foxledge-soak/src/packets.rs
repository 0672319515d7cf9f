//! Packets as callers and backend servers write them.

use std::net::SocketAddrV4;

use foxledge_flows::FlowKey;

/// Opens a flow.
pub const SYN: u8 = 32;
/// Ends a flow at once.
pub const RST: u8 = 16;
/// Acknowledges.
pub const ACK: u8 = 4;
/// Ends a flow in order.
pub const FIN: u8 = 2;

/// Sum of packets that their ends wrote; an instance doesn't know how to make it.
pub const ENDPOINT_CHECKSUM: u32 = 0x5eed_5eed;

/// `WirePacket` is one packet in full.
#[derive(Clone, Debug)]
pub struct WirePacket {
    /// Sender's end.
    pub from: SocketAddrV4,
    /// Receiver's end.
    pub to: SocketAddrV4,
    /// Handed back by both ends.
    pub echo: u32,
    /// Sum over the packet; 0 in an instance's own refusals.
    pub checksum: u32,
    /// Flags.
    pub flags: u8,
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledged sequence number, or the copy of an opening packet.
    pub acknowledged: u32,
    /// Data.
    pub data: Vec<u8>,
}

impl WirePacket {
    /// A packet without data.
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

    /// The bytes.
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

    /// Reads a packet; none when the bytes hold none.
    pub fn decode(bytes: &[u8]) -> Option<WirePacket> {
        if bytes.len() < 32 {
            return None;
        }
        let word = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap_or_default());
        let port = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
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

    /// The flow, for a packet of a caller.
    pub fn flow_key(&self) -> FlowKey {
        FlowKey { caller: self.from, service: self.to }
    }
}
