//! Effects that membership and the list store request from the surrounding process.

use std::{net::SocketAddr, sync::Arc};

use foxledge_core::{
    audit::AuditChange,
    lists::{ListVersion, RuleList},
    peers::PeerView,
};
use foxledge_wire::control::{Heartbeat, RelayProbe};

/// An effect that [`crate::Membership`] requests.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    /// Call `Beat` at a control address. The result goes to
    /// [`on_heartbeat_reply`](crate::Membership::on_heartbeat_reply) or
    /// [`on_heartbeat_failure`](crate::Membership::on_heartbeat_failure).
    SendHeartbeat {
        /// The control address to call.
        to: SocketAddr,
        /// The request.
        heartbeat: Heartbeat,
    },
    /// Call `ProbeFor` at a control address. The result goes to
    /// [`on_probe_result`](crate::Membership::on_probe_result).
    SendRelayProbe {
        /// The control address of the instance that relays the probe.
        relay: SocketAddr,
        /// The probe, which names the instance to check.
        probe: RelayProbe,
    },
    /// The view of the data centre has changed.
    ViewChanged(Arc<PeerView>),
    /// Another instance has a list version that is newer than the local one or conflicts with it;
    /// with [`StaleLists::Accept`](crate::StaleLists::Accept), also an older one.
    PeerVersion {
        /// The control address of that instance.
        from: SocketAddr,
        /// The list version of that instance.
        version: ListVersion,
    },
    /// Record a change in the audit trail.
    Audit(AuditChange),
}

/// The result of a `ProbeFor` call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The probed instance answered the relay.
    Answered,
    /// The probed instance did not answer the relay, or the relay itself did not answer.
    Unanswered,
}

/// The source of a list, a manifest or a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListSource {
    /// The platform's interface.
    Platform,
    /// The instance with this control address.
    Peer(SocketAddr),
}

/// An effect that [`crate::ListStore`] requests.
#[derive(Clone, Debug, PartialEq)]
pub enum ListEffect {
    /// Fetch the manifest. It goes to [`on_manifest`](crate::ListStore::on_manifest), a failure to
    /// [`on_fetch_failed`](crate::ListStore::on_fetch_failed).
    FetchManifest {
        /// The source to fetch from.
        from: ListSource,
    },
    /// Fetch parts. They go to [`on_parts`](crate::ListStore::on_parts), a failure to
    /// [`on_fetch_failed`](crate::ListStore::on_fetch_failed).
    FetchParts {
        /// The source to fetch from.
        from: ListSource,
        /// The digests of the requested parts. The response may contain fewer parts.
        digests: Vec<u64>,
    },
    /// A newer list was accepted and is now in force.
    Accepted(Arc<RuleList>),
    /// Record a change in the audit trail.
    Audit(AuditChange),
}
