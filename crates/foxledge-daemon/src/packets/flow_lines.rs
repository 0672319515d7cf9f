//! Log lines of decisions on flows and of the state of backend servers and data centres.

use std::net::{SocketAddr, SocketAddrV4};

use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_flows::{
    Backend, BackendEvent, DropReason, EvacuationChange, EvacuationEvent, FlowStall,
    HealthObservation, ObservationKind, OpenReason, RefuseReason, ResetReason,
    revisions::serialize_number,
};
use serde::Serialize;

/// The log line of a decision on a flow.
#[derive(Serialize)]
pub(super) struct FlowLine<'a> {
    pub(super) event: &'static str,
    pub(super) flow: String,
    pub(super) sequence: u32,
    #[serde(flatten)]
    pub(super) detail: DecisionDetail<'a>,
    #[serde(serialize_with = "serialize_number")]
    pub(super) list_revision: u64,
    pub(super) list_age_ms: Option<u64>,
}

/// The decision on a packet, with its reason and the backend server or token concerned.
#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum DecisionDetail<'a> {
    /// An opening packet was forwarded to a newly selected backend server.
    Opened {
        backend: &'a str,
        address: SocketAddrV4,
        data_centre: &'a CentreName,
        #[serde(flatten)]
        reason: &'a OpenReason,
    },
    /// A caller retransmitted data of an open flow, which was forwarded again.
    Stalled {
        backend: &'a str,
        #[serde(flatten)]
        stall: FlowStall,
    },
    /// An opening packet was refused.
    Refused { reason: RefuseReason },
    /// An open flow was reset because its backend server is dead.
    Ended {
        backend: &'a str,
        #[serde(flatten)]
        reason: ResetReason,
    },
    /// A packet was relayed to another instance.
    Relayed { token: u32 },
    /// A packet was dropped.
    Dropped { token: u32, reason: DropReason },
}

/// The log line of a datagram that isn't a valid packet.
#[derive(Serialize)]
pub(super) struct MalformedLine {
    pub(super) event: &'static str,
    /// The sender; none when another instance relayed the datagram.
    pub(super) from: Option<SocketAddr>,
    pub(super) fault: &'static str,
}

/// The log line of a change of a backend server's entry in the list.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum BackendLine<'a> {
    /// The backend server restarted under the same id.
    BackendRestarted {
        backend: &'a str,
        service: &'a str,
        address: SocketAddrV4,
        incarnation: u64,
        former_incarnation: u64,
        #[serde(serialize_with = "serialize_number")]
        backend_revision: u64,
    },
    /// A new entry has the same incarnation but another address: the backend server gets no
    /// new flows.
    EntryContradicted {
        backend: &'a str,
        service: &'a str,
        address: SocketAddrV4,
        told_address: SocketAddrV4,
        incarnation: u64,
        #[serde(serialize_with = "serialize_number")]
        backend_revision: u64,
    },
}

/// The log line of a data centre whose evacuation begins or ends.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum EvacuationLine<'a> {
    /// The backend servers there get no new flows. If there are none, the name may be
    /// misspelled.
    EvacuationBegun {
        data_centre: &'a CentreName,
        #[serde(serialize_with = "serialize_number")]
        revision: u64,
        backends: usize,
        list_age_ms: Option<u64>,
    },
    /// The evacuation was withdrawn.
    EvacuationEnded {
        data_centre: &'a CentreName,
        #[serde(serialize_with = "serialize_number")]
        revision: u64,
        backends: usize,
        after_ms: u64,
        list_age_ms: Option<u64>,
    },
}

impl<'a> EvacuationLine<'a> {
    /// Creates the line; `backends` is the number of backend servers known in the data centre.
    pub(super) fn new(
        event: &'a EvacuationEvent,
        backends: usize,
        list_age_ms: Option<u64>,
    ) -> EvacuationLine<'a> {
        let (data_centre, revision) = (&event.data_centre, event.revision);
        match event.change {
            EvacuationChange::Begun => {
                EvacuationLine::EvacuationBegun { data_centre, revision, backends, list_age_ms }
            }
            EvacuationChange::Ended { after_ms } => EvacuationLine::EvacuationEnded {
                data_centre,
                revision,
                backends,
                after_ms,
                list_age_ms,
            },
        }
    }

    /// Returns the name of the event.
    pub(super) fn event_name(&self) -> &'static str {
        match self {
            EvacuationLine::EvacuationBegun { .. } => "evacuation_begun",
            EvacuationLine::EvacuationEnded { .. } => "evacuation_ended",
        }
    }
}

/// The log line of an observation of a backend server.
#[derive(Serialize)]
pub(super) struct HealthLine<'a> {
    event: &'static str,
    backend: &'a str,
    service: &'a str,
    kind: ObservationKind,
    observer: &'static str,
    age_ms: u64,
    running: u32,
    flows: u32,
    #[serde(serialize_with = "serialize_number")]
    backend_revision: u64,
}

impl<'a> BackendLine<'a> {
    /// Creates the line of a change of the entry of `backend`.
    pub(super) fn new(event: &BackendEvent, backend: &'a Backend) -> BackendLine<'a> {
        match *event {
            BackendEvent::Restarted { former, .. } => BackendLine::BackendRestarted {
                backend: &backend.key,
                service: &backend.service,
                address: backend.address,
                incarnation: backend.incarnation,
                former_incarnation: former,
                backend_revision: backend.revision,
            },
            BackendEvent::EntryConflict { address, .. } => BackendLine::EntryContradicted {
                backend: &backend.key,
                service: &backend.service,
                address: backend.address,
                told_address: address,
                incarnation: backend.incarnation,
                backend_revision: backend.revision,
            },
        }
    }

    /// Returns the name of the event.
    pub(super) fn event_name(&self) -> &'static str {
        match self {
            BackendLine::BackendRestarted { .. } => "backend_restarted",
            BackendLine::EntryContradicted { .. } => "entry_contradicted",
        }
    }
}

impl<'a> HealthLine<'a> {
    /// Creates the line of an observation.
    pub(super) fn new(
        now: ClockTime,
        observation: &HealthObservation,
        backend: &'a Backend,
        observer: &'static str,
    ) -> HealthLine<'a> {
        HealthLine {
            event: "backend_observed",
            backend: &backend.key,
            service: &backend.service,
            kind: observation.kind,
            observer,
            age_ms: now.since(observation.observed_at).as_millis() as u64,
            running: backend.running_requests,
            flows: backend.open_flows,
            backend_revision: backend.revision,
        }
    }
}
