//! What the decisions ask of the process around them.

use std::{net::SocketAddr, sync::Arc};

use foxledge_core::{
    audit::AuditChange,
    lists::{ListVersion, RuleList},
    peers::PeerView,
};
use foxledge_wire::control::{Heartbeat, RelayProbe};

/// `MemberEffect` is what [`crate::Membership`] asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    /// Call `Beat` at a control address; its end goes to `on_reply` or `on_failure`.
    SendHeartbeat {
        /// Control address to call.
        to: SocketAddr,
        /// The request.
        heartbeat: Heartbeat,
    },
    /// Call `ProbeFor` at a control address; its end goes to `on_probe_result`.
    SendRelayProbe {
        /// Control address of the instance that asks in our place.
        relay: SocketAddr,
        /// Whom it shall ask.
        probe: RelayProbe,
    },
    /// The view is another than before.
    ViewChanged(Arc<PeerView>),
    /// An instance holds a newer list than this one, or contradicts it.
    PeerVersion {
        /// Its control address.
        from: SocketAddr,
        /// The version that it holds.
        version: ListVersion,
    },
    /// Record a change.
    Audit(AuditChange),
}

/// `ProbeResult` is how a call of `ProbeFor` ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The relay had an answer from the instance asked about.
    Answered,
    /// The relay had none, or the relay itself didn't answer.
    Unanswered,
}

/// `ListSource` is who a list, or a piece of one, comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListSource {
    /// The platform's interface.
    Platform,
    /// The instance with this control address.
    Peer(SocketAddr),
}

/// `ListEffect` is what [`crate::ListStore`] asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ListEffect {
    /// Fetch the manifest; it goes to `on_manifest`, a failure to `on_fetch_failed`.
    FetchManifest {
        /// Whom to ask.
        from: ListSource,
    },
    /// Fetch parts; they go to `on_parts`, a failure to `on_fetch_failed`.
    FetchParts {
        /// Whom to ask.
        from: ListSource,
        /// The parts wanted. The answer may hold fewer.
        digests: Vec<u64>,
    },
    /// A newer list is in force.
    Accepted(Arc<RuleList>),
    /// Record a change.
    Audit(AuditChange),
}
