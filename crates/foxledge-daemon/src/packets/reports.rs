//! Status reports for operators of the packet path.

use std::collections::BTreeSet;

use foxledge_core::{
    names::{CentreName, ServiceName},
    time::ClockTime,
};
use foxledge_flows::{
    Backend, Evacuation, FlowKey, FlowRouter, HealthClass, LoadExplanation, LoadReport,
    placement::PlacementRank,
    revisions::{epoch_of, number_of, serialize_number},
};
use foxledge_gossip::{FleetMember, RefusedItem};
use serde::Serialize;

use super::flow_load::MAX_REPORTED_SERVICES;

/// Maximum number of backend servers in a report, which bounds its size.
const MAX_REPORTED_BACKENDS: usize = 2_000;

/// The state of a backend server as seen by this instance.
#[derive(Clone, Debug, Serialize)]
pub struct BackendReport {
    /// Its key in the list.
    pub backend: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// The address that packets are forwarded to.
    pub address: String,
    /// Its health class.
    pub health: HealthClass,
    /// True when it may get new flows.
    pub takes_flows: bool,
    /// True when it is published as draining.
    pub is_draining: bool,
    /// Remaining time of its slow start, in milliseconds; 0 afterwards.
    pub cold_ms: u64,
    /// Running requests as seen by this instance.
    pub running: u32,
    /// Open flows as seen by this instance.
    pub flows: u32,
    /// Revision of its entry.
    #[serde(serialize_with = "serialize_number")]
    pub revision: u64,
    /// Identifies a start of its process; 0 when the platform doesn't publish starts.
    pub incarnation: u64,
}

/// The state of an evacuated data centre.
#[derive(Clone, Debug, Serialize)]
pub struct EvacuationReport {
    /// The data centre.
    pub data_centre: String,
    /// Revision of the operators' evacuation entry.
    #[serde(serialize_with = "serialize_number")]
    pub revision: u64,
    /// Time since this instance received the evacuation, in milliseconds.
    pub age_ms: u64,
    /// Backend servers that are listed there.
    pub backends: usize,
    /// Open flows as seen by this instance.
    pub flows: u32,
    /// New flows that this instance sent there since it received the evacuation.
    pub late_flows: u64,
    /// Services with backend servers only in evacuated data centres, whose new flows are
    /// refused.
    pub services_without_others: Vec<String>,
}

/// The state of the router.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RouteReport {
    /// Number of tracked flows.
    pub flows: usize,
    /// The evacuated data centres.
    pub evacuations: Vec<EvacuationReport>,
    /// Load of the services, limited to the first of them; empty while load isn't shared.
    pub loads: Vec<LoadReport>,
    /// The backend servers, limited to the first of them.
    pub backends: Vec<BackendReport>,
}

impl RouteReport {
    /// Creates a report on `router` at `now`.
    pub fn new(router: &FlowRouter, now: ClockTime) -> RouteReport {
        let backends = router.backends().take(MAX_REPORTED_BACKENDS).map(|backend| BackendReport {
            backend: backend.key.to_string(),
            service: backend.service.to_string(),
            data_centre: backend.data_centre.to_string(),
            address: backend.address.to_string(),
            health: backend.health.class(now),
            takes_flows: router.accepts_new_flows(now, backend),
            is_draining: backend.is_draining,
            cold_ms: backend.warm_at.remaining(now).as_millis() as u64,
            running: backend.running_requests,
            flows: backend.open_flows,
            revision: backend.revision,
            incarnation: backend.incarnation,
        });
        let evacuations = router.evacuations().map(|(data_centre, evacuation)| {
            EvacuationReport::new(router, now, data_centre, evacuation)
        });
        RouteReport {
            flows: router.tracked_flow_count(),
            evacuations: evacuations.collect(),
            loads: router.load_reports(now).into_iter().take(MAX_REPORTED_SERVICES).collect(),
            backends: backends.collect(),
        }
    }
}

impl EvacuationReport {
    fn new(
        router: &FlowRouter,
        now: ClockTime,
        data_centre: &CentreName,
        evacuation: &Evacuation,
    ) -> EvacuationReport {
        let is_there = |backend: &&Backend| backend.data_centre == *data_centre;
        let there = || router.backends().filter(is_there);
        let has_others = |service: &ServiceName| {
            router
                .backends()
                .any(|one| one.service == *service && router.accepts_new_flows(now, one))
        };
        let services: BTreeSet<_> = there().map(|backend| &backend.service).collect();
        let without = services.into_iter().filter(|service| !has_others(service));
        EvacuationReport {
            data_centre: data_centre.to_string(),
            revision: evacuation.revision,
            age_ms: now.since(evacuation.received_at).as_millis() as u64,
            backends: there().count(),
            flows: there().map(|backend| backend.open_flows).sum(),
            late_flows: evacuation.late_flows,
            services_without_others: without.map(ToString::to_string).collect(),
        }
    }
}

/// The state of the list and the fleet as known by this instance.
#[derive(Clone, Debug, Serialize)]
pub struct MemberReport {
    /// The operators' version in force.
    pub version: u64,
    /// The version in the store; older while a restored store lacks the version in force.
    pub store_version: u64,
    /// Epoch of the store's history, which increases when the store has lost changes.
    pub epoch: u64,
    /// The store's revision.
    #[serde(serialize_with = "serialize_number")]
    pub revision: u64,
    /// Time since the store confirmed the list, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// True while this instance reads the store.
    pub is_reader: bool,
    /// Number of other known instances.
    pub peers: usize,
    /// Number of routes in force.
    pub routes: usize,
    /// Invalid items of the store; known only to an instance that reads the store.
    pub refused_items: Vec<RefusedItem>,
}

impl MemberReport {
    /// Creates a report on `member` at `now`.
    pub fn new(member: &FleetMember, now: ClockTime) -> MemberReport {
        let list = member.list();
        MemberReport {
            version: member.effective_version(),
            store_version: list.version(),
            epoch: epoch_of(list.head()),
            revision: list.head(),
            confirmed_age_ms: member.confirmed_at().map(|at| now.since(at).as_millis() as u64),
            is_reader: member.is_reading_store(),
            peers: member.peer_count(),
            routes: member.effective_route_count(),
            refused_items: member.refused_items().cloned().collect(),
        }
    }
}

/// A backend server that a flow could be placed on.
#[derive(Clone, Debug, Serialize)]
pub struct CandidateReport {
    /// Its key in the list.
    pub backend: String,
    /// Its health class.
    pub health: HealthClass,
    /// True when it is in the data centre of this instance.
    pub is_near: bool,
    /// True when it left an earlier attempt of the opening packet unanswered.
    pub is_stuck: bool,
    /// Running requests.
    pub running: u32,
    /// Opening packets that it hasn't answered yet.
    pub waiting: u32,
    /// Its response time relative to the usual one, in percent.
    pub slowness: u32,
    /// True during its slow start.
    pub is_cold: bool,
}

/// The decision on a flow at present, with its reasons.
#[derive(Clone, Debug, Serialize)]
pub struct ExplainReport {
    /// The flow.
    pub flow: String,
    /// The matching route; the flow is refused without one.
    pub route: Option<String>,
    /// The route's revision.
    pub route_revision: Option<u64>,
    /// The service.
    pub service: Option<String>,
    /// The backend server that a new flow would be placed on.
    pub choice: Option<String>,
    /// The criterion by which it was chosen.
    pub rank: Option<PlacementRank>,
    /// The candidates for the choice.
    pub candidates: Vec<CandidateReport>,
    /// The backend server that the token names.
    pub token_holder: Option<String>,
    /// The effect of the fleet's load on a new flow; none while load isn't shared.
    pub load: Option<LoadExplanation>,
}

impl ExplainReport {
    /// Explains the decision on a flow at `now`.
    pub fn new(
        router: &mut FlowRouter,
        now: ClockTime,
        key: &FlowKey,
        token: u32,
    ) -> ExplainReport {
        let explanation = router.explain(now, key, token);
        let name = |index: usize| router.backend(index).map(|backend| backend.key.to_string());
        let candidates = explanation.candidates.iter().map(|candidate| CandidateReport {
            backend: name(candidate.index).unwrap_or_default(),
            health: candidate.health,
            is_near: candidate.is_same_centre,
            is_stuck: candidate.is_unresponsive,
            running: candidate.running_requests,
            waiting: candidate.pending_openings,
            slowness: candidate.slowness_percent,
            is_cold: candidate.is_cold,
        });
        ExplainReport {
            flow: key.to_string(),
            route: explanation.route.as_ref().map(|route| route.name.to_string()),
            route_revision: explanation.route.as_ref().map(|route| number_of(route.revision)),
            service: explanation.service.as_ref().map(ToString::to_string),
            choice: explanation.choice.as_ref().and_then(|(index, _)| name(*index)),
            rank: explanation.choice.map(|(_, rank)| rank),
            candidates: candidates.collect(),
            token_holder: explanation.token_backend.and_then(name),
            load: explanation.load,
        }
    }
}

/// The status of the instance.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    /// Name of the instance.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its phase.
    pub phase: &'static str,
    /// State of the list and the fleet.
    pub list: MemberReport,
    /// State of flows and backend servers.
    pub routing: RouteReport,
}
