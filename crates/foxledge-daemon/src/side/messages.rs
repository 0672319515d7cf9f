//! Messages between the main loop and the side thread.

use std::net::SocketAddr;

use foxledge_members::{ListSource, ProbeResult};
use foxledge_wire::control::{
    Heartbeat, HeartbeatReply, ListPart, Manifest, MemberListing, RelayProbe,
};
use thiserror::Error;
use tokio::sync::oneshot;

/// `LinkCommand` is what the main loop asks of the side thread.
#[derive(Debug)]
pub enum LinkCommand {
    /// Send a heartbeat.
    SendHeartbeat {
        /// Control address.
        to: SocketAddr,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Ask a peer whether a third instance answers it.
    SendRelayProbe {
        /// Control address of the peer.
        relay: SocketAddr,
        /// Who shall answer.
        probe: RelayProbe,
    },
    /// Fetch a manifest.
    FetchManifest {
        /// Whom from.
        from: ListSource,
    },
    /// Fetch parts.
    FetchParts {
        /// Whom from.
        from: ListSource,
        /// Which.
        digests: Vec<u64>,
    },
    /// Read and watch the platform, or stop doing so.
    Watch(WatchCommand),
}

/// `WatchCommand` is whether the platform is to be watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchCommand {
    /// Watch for manifests newer than this revision.
    Run {
        /// The newest revision that is known.
        after: u64,
    },
    /// Make no calls.
    Pause,
}

/// `CallError` is why a control call to another process failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// No answer by the deadline.
    #[error("no answer by the deadline")]
    TimedOut,
    /// The other side refused, or the connection failed.
    #[error("{0}")]
    Refused(String),
    /// Too many calls are under way.
    #[error("too many calls under way")]
    Busy,
}

/// `LinkEvent` is what the side thread tells or asks the main loop.
///
/// A question carries the sender for its answer; when the part that should
/// answer isn't running, the sender is dropped and the caller is told so.
#[derive(Debug)]
pub enum LinkEvent {
    /// A heartbeat of another instance.
    HeartbeatReceived(Heartbeat, oneshot::Sender<HeartbeatReply>),
    /// The end of a heartbeat of ours.
    HeartbeatCompleted(SocketAddr, Result<HeartbeatReply, CallError>),
    /// The end of a relayed probe.
    ProbeCompleted(String, ProbeResult),
    /// A peer wants the manifest in force.
    ManifestRequested(oneshot::Sender<Option<Manifest>>),
    /// A peer wants parts.
    PartsRequested(Vec<u64>, oneshot::Sender<Vec<ListPart>>),
    /// The end of a manifest's fetch, or a newer one on the platform.
    ManifestFetched(ListSource, Result<Manifest, CallError>),
    /// The end of a fetch of parts.
    PartsFetched(ListSource, Result<Vec<ListPart>, CallError>),
    /// The platform answered a watch, or could not be reached at any address.
    PlatformContacted,
    /// The platform shows an older revision than it, or a peer, did before.
    PlatformOutdated {
        /// The one that it shows.
        shown: u64,
        /// The newest known.
        newest: u64,
    },
    /// The platform's list of instances.
    ListingRead(MemberListing),
    /// An operator wants the status.
    StatusRequested(oneshot::Sender<String>),
    /// An operator wants a flow explained.
    ExplainRequested(FlowQuery, oneshot::Sender<Result<String, String>>),
    /// An operator wants entries of the audit trail.
    AuditRequested {
        /// Entries numbered above this.
        after: u64,
        /// At most so many.
        limit: usize,
        /// The answer as JSON.
        answer: oneshot::Sender<String>,
    },
    /// An operator wants the process to leave.
    DrainRequested(oneshot::Sender<bool>),
    /// Metrics are wanted: the counts are to be brought up to date.
    CountersRequested(oneshot::Sender<()>),
    /// The side thread has ended.
    Ended(String),
}

/// `FlowQuery` is the flow that an operator wants explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowQuery {
    /// Service address.
    pub address: String,
    /// Member.
    pub member: String,
    /// Kind of traffic, as a word.
    pub work: String,
    /// Flow id; 0 when none.
    pub flow: u64,
}
