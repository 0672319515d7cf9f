//! The names of the parts of the packets' tree.

use crate::supervisor::{PartName, Supervisor};

/// `PacketPart` is one part of the packets' tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketPart {
    /// Packets of callers.
    Flows,
    /// Start and planned stop.
    Life,
    /// List and peers.
    Fleet,
}

impl PartName for PacketPart {
    fn as_str(self) -> &'static str {
        match self {
            PacketPart::Flows => "flows",
            PacketPart::Life => "life",
            PacketPart::Fleet => "fleet",
        }
    }
}

/// `PacketSupervisor` is the root of the packets' tree.
pub type PacketSupervisor = Supervisor<PacketPart>;
