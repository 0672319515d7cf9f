//! The actions that the engine requests from its caller.

use std::{net::SocketAddr, time::Duration};

use foxledge_core::{audit::AuditChange, traffic::TrafficKind};
use serde::Serialize;

/// An action for the caller of the engine to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEffect {
    /// Send a datagram from the data socket, to a caller or a backend server.
    SendData {
        /// The destination address.
        to: SocketAddr,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// Send a datagram from the peer socket, to another instance.
    SendPeer {
        /// The destination address.
        to: SocketAddr,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// Record a change in the audit trail.
    Audit(AuditChange),
    /// Record the time from arrival at the home to dispatch in the metrics.
    RecordWait {
        /// The kind of traffic.
        kind: TrafficKind,
        /// The time from arrival at the home to dispatch.
        wait: Duration,
    },
}

/// The lifecycle phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EnginePhase {
    /// The process has no current state yet and doesn't act as a home.
    Joining,
    /// The process serves and acts as a home.
    Serving,
    /// The process is stopping as planned: it issues no tickets and finishes its open work.
    Leaving,
}
