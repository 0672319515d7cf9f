//! What operators see of an instance that routes packets.

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

/// Most backend servers in a report, so that its size stays bounded.
const MAX_REPORTED_BACKENDS: usize = 2_000;

/// `BackendReport` is one backend server as this instance sees it.
#[derive(Clone, Debug, Serialize)]
pub struct BackendReport {
    /// Its key in the list.
    pub backend: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it takes packets.
    pub address: String,
    /// What is believed of its health.
    pub health: HealthClass,
    /// True when it may get new flows.
    pub takes_flows: bool,
    /// Published as leaving.
    pub is_draining: bool,
    /// Time until it is warm, in milliseconds; 0 once it is.
    pub cold_ms: u64,
    /// Requests that run there by this instance's own view.
    pub running: u32,
    /// Flows open there by this instance's own view.
    pub flows: u32,
    /// Revision of its entry.
    #[serde(serialize_with = "serialize_number")]
    pub revision: u64,
    /// Names the start of its process; 0 when the platform tells nothing of starts.
    pub incarnation: u64,
}

/// `EvacuationReport` is a data centre that is evacuated.
#[derive(Clone, Debug, Serialize)]
pub struct EvacuationReport {
    /// The data centre.
    pub data_centre: String,
    /// Revision of the operators' wish.
    #[serde(serialize_with = "serialize_number")]
    pub revision: u64,
    /// Time since this instance heard of it, in milliseconds.
    pub age_ms: u64,
    /// Backend servers that are listed there.
    pub backends: usize,
    /// Flows open there by this instance's own view.
    pub flows: u32,
    /// New flows that this instance sent there since it heard of it.
    pub late_flows: u64,
    /// Services that have backend servers in evacuated data centres alone: their new flows are
    /// refused.
    pub services_without_others: Vec<String>,
}

/// `RouteReport` is what the router knows.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RouteReport {
    /// Flows that are tracked.
    pub flows: usize,
    /// Data centres that are evacuated.
    pub evacuations: Vec<EvacuationReport>,
    /// Load of services, the first of them when there are many; empty while load isn't shared.
    pub loads: Vec<LoadReport>,
    /// Backend servers, the first of them when there are many.
    pub backends: Vec<BackendReport>,
}

impl RouteReport {
    /// Describes a router at `now`.
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

/// `MemberReport` is what an instance knows of list and fleet.
#[derive(Clone, Debug, Serialize)]
pub struct MemberReport {
    /// The operators' version in force.
    pub version: u64,
    /// The store's version: older for as long as a restored store lacks the one in force.
    pub store_version: u64,
    /// Epoch of the store's history; it rises when the store lost changes.
    pub epoch: u64,
    /// The store's revision.
    #[serde(serialize_with = "serialize_number")]
    pub revision: u64,
    /// Time since the store confirmed the list.
    pub confirmed_age_ms: Option<u64>,
    /// True while this instance reads the store.
    pub is_reader: bool,
    /// Other instances that are known.
    pub peers: usize,
    /// Routes in force.
    pub routes: usize,
    /// Items of the store that can't be understood; only an instance that reads it knows.
    pub refused_items: Vec<RefusedItem>,
}

impl MemberReport {
    /// Describes a member at `now`.
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

/// `CandidateReport` is a backend server that a flow could go to.
#[derive(Clone, Debug, Serialize)]
pub struct CandidateReport {
    /// Its key in the list.
    pub backend: String,
    /// What is believed of its health.
    pub health: HealthClass,
    /// True in the instance's own data centre.
    pub is_near: bool,
    /// True when it left an earlier copy of the opening packet unanswered.
    pub is_stuck: bool,
    /// Requests that run there.
    pub running: u32,
    /// Openings that wait for its answer.
    pub waiting: u32,
    /// How many times as long as usual its answers take, in hundredths.
    pub slowness: u32,
    /// True while it is slow after its start.
    pub is_cold: bool,
}

/// `ExplainReport` is where a flow would go now and why.
#[derive(Clone, Debug, Serialize)]
pub struct ExplainReport {
    /// The flow.
    pub flow: String,
    /// The route that decides; none refuses the flow.
    pub route: Option<String>,
    /// The route's revision.
    pub route_revision: Option<u64>,
    /// The service.
    pub service: Option<String>,
    /// The backend server that a new flow would go to.
    pub choice: Option<String>,
    /// By what it was chosen.
    pub rank: Option<PlacementRank>,
    /// What could be chosen from.
    pub candidates: Vec<CandidateReport>,
    /// The backend server that the token names.
    pub token_holder: Option<String>,
    /// What the load of all means for a new flow; none while load isn't shared.
    pub load: Option<LoadExplanation>,
}

impl ExplainReport {
    /// Explains a flow at `now`.
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

/// `StatusReport` is the whole instance.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    /// Its name.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its phase.
    pub phase: &'static str,
    /// List and fleet.
    pub list: MemberReport,
    /// Flows and backend servers.
    pub routing: RouteReport,
}
