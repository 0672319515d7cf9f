//! Packets as the router sees them, and how they are read and written.

use std::{fmt, net::SocketAddrV4};

use thiserror::Error;

/// Bytes that a receiver leaves free in front of a packet, for what
/// [`PacketCodec::address_to`] writes there.
pub const HEADROOM_BYTES: usize = 8;

/// Largest packet, head included, in bytes; longer datagrams are malformed.
pub const MAX_PACKET_BYTES: usize = 1_400;

/// `FlowKey` names one flow: the caller's end and the service's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port that the caller wants.
    pub service: SocketAddrV4,
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.service)
    }
}

/// `PacketKind` is what a packet of a caller does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// Opens the flow; `copy` counts resends of the opening packet, from 0.
    Open {
        /// 0 for the first, 1 and 2 for its resends.
        attempt: u32,
    },
    /// Belongs to a flow that the caller holds open.
    Continue,
    /// The caller has sent all it will send.
    Finish,
    /// The caller gives the flow up.
    Abort,
}

/// `FlowPacket` is the head of one packet of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowPacket {
    /// The flow.
    pub key: FlowKey,
    /// What the packet does.
    pub kind: PacketKind,
    /// Names the backend server that holds the flow; 0 while none does.
    pub token: u32,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
    /// Next byte that the caller expects from the backend server.
    pub acknowledged: u32,
    /// Bytes of data.
    pub length: u16,
}

/// `PacketFault` is why a datagram isn't a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PacketFault {
    /// Shorter than a head.
    #[error("shorter than a packet's head")]
    Short,
    /// Longer than a packet may be.
    #[error("longer than a packet may be")]
    Long,
    /// The head counts other data than the datagram holds.
    #[error("the length in the head differs from the data")]
    Length,
    /// No combination of flags that a caller sends.
    #[error("flags that no caller sends")]
    Flags,
}

impl PacketFault {
    /// The fault's word in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            PacketFault::Short => "short",
            PacketFault::Long => "long",
            PacketFault::Length => "length",
            PacketFault::Flags => "flags",
        }
    }
}

/// `PacketCodec` reads and writes packets in the form that callers and backend servers speak.
pub trait PacketCodec {
    /// Reads the head of a packet.
    ///
    /// # Errors
    ///
    /// A [`PacketFault`] when the datagram isn't a packet of a caller.
    fn parse_packet(&self, datagram: &[u8]) -> Result<FlowPacket, PacketFault>;

    /// Writes the intended backend server into the [`HEADROOM_BYTES`] of `frame`.
    fn set_backend(&self, frame: &mut [u8], backend: u64);

    /// Writes the token into a frame whose packet starts at [`HEADROOM_BYTES`].
    fn set_token(&self, frame: &mut [u8], token: u32);

    /// The packet that refuses the opening packet `packet`, or ends its open flow.
    fn reset_packet(&self, packet: &FlowPacket) -> Vec<u8>;
}
