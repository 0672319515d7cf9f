//! The parts of the packet path.

use crate::supervisor::{PartName, Supervisor};

/// Identifies a part of the packet path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketPart {
    /// Routes packets of callers.
    Flows,
    /// Controls start and planned stop.
    Life,
    /// Maintains the list and communicates with other instances.
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

/// The supervisor at the root of the packet path.
pub type PacketSupervisor = Supervisor<PacketPart>;
