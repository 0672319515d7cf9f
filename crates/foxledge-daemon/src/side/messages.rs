//! Messages between the main loop and the side thread.

use std::net::SocketAddr;

use foxledge_members::{ListSource, ProbeResult};
use foxledge_wire::control::{
    Heartbeat, HeartbeatReply, ListPart, Manifest, MemberListing, RelayProbe,
};
use thiserror::Error;
use tokio::sync::oneshot;

/// A command of the main loop to the side thread.
#[derive(Debug)]
pub enum LinkCommand {
    /// Send a heartbeat.
    SendHeartbeat {
        /// Control address of the peer.
        to: SocketAddr,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Have a peer probe a third instance.
    SendRelayProbe {
        /// Control address of the peer.
        relay: SocketAddr,
        /// The instance to probe.
        probe: RelayProbe,
    },
    /// Fetch a manifest.
    FetchManifest {
        /// The source to fetch from.
        from: ListSource,
    },
    /// Fetch parts of a list.
    FetchParts {
        /// The source to fetch from.
        from: ListSource,
        /// Digests of the parts.
        digests: Vec<u64>,
    },
    /// Run or pause the platform watch.
    Watch(WatchCommand),
}

/// Whether the platform watch runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchCommand {
    /// Watch for manifests newer than this revision.
    Run {
        /// The newest revision that is known.
        after: u64,
    },
    /// Make no calls to the platform.
    Pause,
}

/// The error of a control call to another process.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// No response arrived before the deadline.
    #[error("no answer by the deadline")]
    TimedOut,
    /// The other process refused the call, or the connection failed.
    #[error("{0}")]
    Refused(String),
    /// Too many calls are pending.
    #[error("too many calls under way")]
    Busy,
}

/// An event or a query that the side thread forwards to the main loop.
///
/// A query carries the sender for its response. When the responsible part isn't running,
/// the sender is dropped and the client gets an error.
#[derive(Debug)]
pub enum LinkEvent {
    /// A heartbeat of another instance arrived.
    HeartbeatReceived(Heartbeat, oneshot::Sender<HeartbeatReply>),
    /// A heartbeat sent to this address was answered or failed.
    HeartbeatCompleted(SocketAddr, Result<HeartbeatReply, CallError>),
    /// A relayed probe of the named instance ended.
    ProbeCompleted(String, ProbeResult),
    /// A peer requested the manifest in force.
    ManifestRequested(oneshot::Sender<Option<Manifest>>),
    /// A peer requested parts of the list.
    PartsRequested(Vec<u64>, oneshot::Sender<Vec<ListPart>>),
    /// A fetch of a manifest ended, or the platform watch found a newer one.
    ManifestFetched(ListSource, Result<Manifest, CallError>),
    /// A fetch of parts ended.
    PartsFetched(ListSource, Result<Vec<ListPart>, CallError>),
    /// The platform answered a long poll, or is unreachable at all addresses.
    PlatformContacted,
    /// The platform returned an older revision than is known from it or from a peer.
    PlatformOutdated {
        /// The revision that the platform returned.
        shown: u64,
        /// The newest known revision.
        newest: u64,
    },
    /// The platform's listing of instances was read.
    ListingRead(MemberListing),
    /// An operator requested the status.
    StatusRequested(oneshot::Sender<String>),
    /// An operator requested the explanation of a flow.
    ExplainRequested(FlowQuery, oneshot::Sender<Result<String, String>>),
    /// An operator requested entries of the audit trail.
    AuditRequested {
        /// Return entries numbered above this.
        after: u64,
        /// Maximum number of entries.
        limit: usize,
        /// Sends the entries as JSON.
        answer: oneshot::Sender<String>,
    },
    /// An operator requested a planned stop.
    DrainRequested(oneshot::Sender<bool>),
    /// The metrics are about to be rendered; the counters have to be updated.
    CountersRequested(oneshot::Sender<()>),
    /// The side thread has ended, for this reason.
    Ended(String),
}

/// The flow that an operator wants explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowQuery {
    /// Service address.
    pub address: String,
    /// Name of the member.
    pub member: String,
    /// Name of the kind of traffic.
    pub work: String,
    /// Flow id, or 0 without one.
    pub flow: u64,
}
