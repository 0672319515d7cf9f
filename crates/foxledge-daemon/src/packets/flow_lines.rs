//! Log lines of decisions on flows and of what is believed of backend servers.

use std::net::{SocketAddr, SocketAddrV4};

use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_flows::{
    Backend, BackendEvent, DropReason, EvacuationChange, EvacuationEvent, FlowStall,
    HealthObservation, ObservationKind, OpenReason, RefuseReason, ResetReason,
    revisions::serialize_number,
};
use serde::Serialize;

/// `FlowLine` is the log line of a decision on one flow.
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

/// `DecisionDetail` is what was decided, and by what.
#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum DecisionDetail<'a> {
    /// An opening packet was sent on.
    Opened {
        backend: &'a str,
        address: SocketAddrV4,
        data_centre: &'a CentreName,
        #[serde(flatten)]
        reason: &'a OpenReason,
    },
    /// A caller sent data of an open flow again, and it was sent on again.
    Stalled {
        backend: &'a str,
        #[serde(flatten)]
        stall: FlowStall,
    },
    /// An opening packet was refused.
    Refused { reason: RefuseReason },
    /// An open flow was reset, as its backend server is dead.
    Ended {
        backend: &'a str,
        #[serde(flatten)]
        reason: ResetReason,
    },
    /// A packet was handed to another instance.
    Relayed { token: u32 },
    /// A packet was dropped.
    Dropped { token: u32, reason: DropReason },
}

/// `MalformedLine` is the log line of a datagram that is no packet.
#[derive(Serialize)]
pub(super) struct MalformedLine {
    pub(super) event: &'static str,
    /// None when another instance handed it on.
    pub(super) from: Option<SocketAddr>,
    pub(super) fault: &'static str,
}

/// `BackendLine` is the log line of a backend server whose entry changed what is believed.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum BackendLine<'a> {
    /// It started again under its id.
    BackendRestarted {
        backend: &'a str,
        service: &'a str,
        address: SocketAddrV4,
        incarnation: u64,
        former_incarnation: u64,
        #[serde(serialize_with = "serialize_number")]
        backend_revision: u64,
    },
    /// Its entry tells of the same start at another place: it gets no new flows.
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

/// `EvacuationLine` is the log line of a change of what operators want of a data centre.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum EvacuationLine<'a> {
    /// Its backend servers get no new flows. A data centre without any may be misspelled.
    EvacuationBegun {
        data_centre: &'a CentreName,
        #[serde(serialize_with = "serialize_number")]
        revision: u64,
        backends: usize,
        list_age_ms: Option<u64>,
    },
    /// It is taken back.
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
    /// The line of a change, with the number of backend servers that are known there.
    pub(super) fn new(
        news: &'a EvacuationEvent,
        backends: usize,
        list_age_ms: Option<u64>,
    ) -> EvacuationLine<'a> {
        let (data_centre, revision) = (&news.data_centre, news.revision);
        match news.change {
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

    /// The word of the line's event.
    pub(super) fn event_name(&self) -> &'static str {
        match self {
            EvacuationLine::EvacuationBegun { .. } => "evacuation_begun",
            EvacuationLine::EvacuationEnded { .. } => "evacuation_ended",
        }
    }
}

/// `HealthLine` is the log line of an observation of a backend server.
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
    /// The line of a change of a backend server's entry.
    pub(super) fn new(news: &BackendEvent, backend: &'a Backend) -> BackendLine<'a> {
        match *news {
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

    /// The word of the line's event.
    pub(super) fn event_name(&self) -> &'static str {
        match self {
            BackendLine::BackendRestarted { .. } => "backend_restarted",
            BackendLine::EntryContradicted { .. } => "entry_contradicted",
        }
    }
}

impl<'a> HealthLine<'a> {
    /// The line of an observation.
    pub(super) fn new(
        now: ClockTime,
        note: &HealthObservation,
        backend: &'a Backend,
        observer: &'static str,
    ) -> HealthLine<'a> {
        HealthLine {
            event: "backend_observed",
            backend: &backend.key,
            service: &backend.service,
            kind: note.kind,
            observer,
            age_ms: now.since(note.observed_at).as_millis() as u64,
            running: backend.running_requests,
            flows: backend.open_flows,
            backend_revision: backend.revision,
        }
    }
}
