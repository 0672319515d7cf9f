//! The parts of the request path.

use crate::supervisor::{PartName, Supervisor};

/// Identifies a part of the request path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartKind {
    /// Reads and writes the data and peer sockets.
    Listener,
    /// Decides on datagrams.
    Engine,
    /// Maintains the newest accepted list.
    Lists,
    /// Maintains the membership of instances.
    Members,
    /// Runs the side thread: control calls, platform watch, metrics and health checks.
    Link,
    /// Controls start and planned stop.
    Life,
}

impl PartName for PartKind {
    fn as_str(self) -> &'static str {
        match self {
            PartKind::Listener => "listener",
            PartKind::Engine => "engine",
            PartKind::Lists => "lists",
            PartKind::Members => "members",
            PartKind::Link => "link",
            PartKind::Life => "life",
        }
    }
}

/// The supervisor at the root of the request path.
pub type DaemonSupervisor = Supervisor<PartKind>;
