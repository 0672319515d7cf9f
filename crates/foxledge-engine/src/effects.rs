//! What the engine asks its surroundings to do.

use std::{net::SocketAddr, time::Duration};

use foxledge_core::{audit::AuditChange, traffic::TrafficKind};
use serde::Serialize;

/// `EngineEffect` is one thing to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEffect {
    /// Send a datagram from the data socket, to a caller or a backend server.
    SendData {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Send a datagram from the peer socket, to another instance.
    SendPeer {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Record a change in the audit trail.
    Audit(AuditChange),
    /// Record how long admission took at the home.
    RecordWait {
        /// Kind of traffic.
        kind: TrafficKind,
        /// From arrival at the home to dispatch.
        wait: Duration,
    },
}

/// `EnginePhase` is where the process stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EnginePhase {
    /// Not warm yet: takes no homes.
    Joining,
    /// Serves and takes homes.
    Serving,
    /// Planned stop: issues no tickets, finishes what it has.
    Leaving,
}
