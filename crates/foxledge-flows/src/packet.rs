//! The packets that the router handles, and the codec that reads and writes them.

use std::{fmt, net::SocketAddrV4};

use thiserror::Error;

/// Bytes reserved in front of a received packet, to which [`PacketCodec::set_backend`] writes the
/// number of the backend server.
pub const HEADROOM_BYTES: usize = 8;

/// Maximum size of a packet with its head, in bytes. Longer datagrams are malformed.
pub const MAX_PACKET_BYTES: usize = 1_400;

/// Addresses of a flow: the caller's and the service's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port to which the caller sends.
    pub service: SocketAddrV4,
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.service)
    }
}

/// What a packet of a caller does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// Opens the flow.
    Open {
        /// 0 for the first opening packet, 1 and 2 for its retransmissions.
        attempt: u32,
    },
    /// Continues an open flow.
    Continue,
    /// The caller won't send any more data.
    Finish,
    /// The caller aborts the flow.
    Abort,
}

/// The head of a caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowPacket {
    /// Addresses of the flow.
    pub key: FlowKey,
    /// What the packet does to its flow.
    pub kind: PacketKind,
    /// Token of the backend server that serves the flow; 0 before the first response.
    pub token: u32,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
    /// Sequence number of the next byte that the caller expects from the backend server.
    pub acknowledged: u32,
    /// Length of the data in bytes.
    pub length: u16,
}

/// Why a datagram isn't a valid packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PacketFault {
    /// Shorter than a packet's head.
    #[error("datagram is shorter than a packet head")]
    Short,
    /// Longer than the maximum size.
    #[error("datagram is longer than the maximum packet size")]
    Long,
    /// The length in the head differs from that of the data.
    #[error("length in the packet head differs from the data")]
    Length,
    /// A combination of flags that callers never send.
    #[error("combination of flags is invalid")]
    Flags,
}

impl PacketFault {
    /// Returns the fault's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            PacketFault::Short => "short",
            PacketFault::Long => "long",
            PacketFault::Length => "length",
            PacketFault::Flags => "flags",
        }
    }
}

/// Reads and writes packets in the format of callers and backend servers.
pub trait PacketCodec {
    /// Parses the head of a packet.
    ///
    /// # Errors
    ///
    /// Returns a [`PacketFault`] when the datagram isn't a packet of a caller.
    fn parse_packet(&self, datagram: &[u8]) -> Result<FlowPacket, PacketFault>;

    /// Writes the number of the backend server that the packet is forwarded to into the first
    /// [`HEADROOM_BYTES`] of `frame`.
    fn set_backend(&self, frame: &mut [u8], backend: u64);

    /// Writes the token into a frame whose packet starts at [`HEADROOM_BYTES`].
    fn set_token(&self, frame: &mut [u8], token: u32);

    /// Builds the packet to the caller that refuses the opening packet `packet`, or resets the open
    /// flow of another packet.
    fn reset_packet(&self, packet: &FlowPacket) -> Vec<u8>;
}
