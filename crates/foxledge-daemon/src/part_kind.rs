//! The names of the parts that the root supervisor looks after.

use crate::supervisor::{PartName, Supervisor};

/// `PartKind` is one part of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartKind {
    /// Data and peer sockets.
    Listener,
    /// Decisions on datagrams.
    Engine,
    /// The newest accepted list.
    Lists,
    /// Which instances live.
    Members,
    /// Control calls, the platform's watch, metrics and health.
    Link,
    /// Start and planned stop.
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

/// `DaemonSupervisor` is the root of the request path's tree.
pub type DaemonSupervisor = Supervisor<PartKind>;
