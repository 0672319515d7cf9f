//! What a router decides, and why.

use std::sync::Arc;

use foxledge_core::names::{CentreName, ServiceName};
use serde::Serialize;

use crate::{
    candidates::FlowBarrier,
    health::HealthClass,
    load_control::LoadExplanation,
    packet::FlowKey,
    placement::{PlacementCandidate, PlacementRank},
    revisions::serialize_number,
    routes::FlowRoute,
};

/// `FlowDecision` is what to do with a packet.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowDecision {
    /// Send it on to a backend server.
    Forward {
        /// Index of the backend server.
        backend: usize,
        /// Set when the caller sent its data again.
        stall: Option<FlowStall>,
    },
    /// Send the opening packet of a flow on, with a token.
    Open {
        /// Index of the backend server.
        backend: usize,
        /// Why this one.
        reason: OpenReason,
    },
    /// Tell the caller at once that the flow can't be served.
    Refuse(RefuseReason),
    /// Tell the caller that its open flow is lost.
    Reset {
        /// Index of the backend server that held it.
        backend: usize,
        /// Why.
        reason: ResetReason,
    },
    /// Hand it to another instance, which knows the whole list: this one knows a part, and not the
    /// backend server of the open flow.
    Relay,
    /// Do nothing.
    Drop(DropReason),
}

/// `FlowStall` is a caller's wait on an open flow: it sent data again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct FlowStall {
    /// Time since the data was sent on first, in milliseconds.
    pub waited_ms: u64,
    /// How often it was sent again.
    #[serde(rename = "copies")]
    pub retransmissions: u32,
    /// What is believed of the flow's backend server now.
    #[serde(rename = "class")]
    pub health: HealthClass,
    /// The data has waited for so long that nothing gets there.
    pub is_lost: bool,
}

/// `OpenReason` is by what an opening packet was placed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OpenReason {
    /// The route that decided.
    pub route: Arc<str>,
    /// Its revision.
    #[serde(serialize_with = "serialize_number")]
    pub route_revision: u64,
    /// Which copy of the opening packet, from 0.
    #[serde(rename = "copy")]
    pub attempt: u32,
    /// The rank that won; none when a copy follows the first packet.
    pub rank: Option<PlacementRank>,
    /// How many backend servers could be chosen from.
    pub candidates: usize,
    /// The other data centre that overflow named; none when the flow stays near.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub overflow_to: Option<CentreName>,
}

/// `RefuseReason` is why a caller is told that a flow can't be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// No route leads from the address.
    NoRoute,
    /// The service has no backend server that takes flows.
    NoBackend,
    /// All backend servers that take flows are of data centres that are evacuated.
    Evacuated,
    /// Those that could serve it are cold and have had their share of new flows.
    ColdLimit,
    /// None is of a region that the route allows.
    NoRegion,
    /// The open flow's backend server is gone, and was so when this instance started.
    BackendVanished,
    /// The service is short of slots, and others go first.
    Shortage,
    /// The service is short of slots, and the client account has had its share.
    AccountShare,
}

impl RefuseReason {
    /// The reason of a refusal where a barrier kept the flow from the last candidates.
    pub(crate) fn of_barrier(barrier: FlowBarrier) -> RefuseReason {
        match barrier {
            FlowBarrier::Region => RefuseReason::NoRegion,
            FlowBarrier::Cold => RefuseReason::ColdLimit,
            FlowBarrier::Evacuation => RefuseReason::Evacuated,
        }
    }

    /// The reason's word in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefuseReason::NoRoute => "no_route",
            RefuseReason::NoBackend => "no_backend",
            RefuseReason::Evacuated => "evacuated",
            RefuseReason::ColdLimit => "cold_limit",
            RefuseReason::NoRegion => "no_region",
            RefuseReason::BackendVanished => "backend_vanished",
            RefuseReason::Shortage => "shortage",
            RefuseReason::AccountShare => "account_share",
        }
    }
}

/// `ResetReason` is why an open flow is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum ResetReason {
    /// Its backend server answers neither it nor others.
    BackendSilent {
        /// Time since the unanswered data was sent on first, in milliseconds.
        waited_ms: u64,
        /// Time since another flow there was found unanswered, in milliseconds.
        silent_ms: u64,
    },
    /// Its backend server is surely dead, and its caller waits for an answer from there.
    WaitingAtDead {
        /// Time since the unanswered data was sent on first, in milliseconds.
        waited_ms: u64,
        /// Time since something there was found unanswered, in milliseconds.
        silent_ms: u64,
    },
    /// Its backend server is surely dead, and nothing is under way on it.
    IdleAtDead {
        /// Time since its last packet, in milliseconds.
        idle_ms: u64,
        /// Time since something there was found unanswered, in milliseconds.
        silent_ms: u64,
    },
    /// Its backend server is gone, and another one has its address.
    AddressTaken {
        /// Time since its entry was seen to be gone, in milliseconds.
        gone_ms: u64,
    },
    /// Its backend server doesn't answer it, and its whole data centre answers nobody.
    CentreSilent {
        /// Time since the unanswered data was sent on first, in milliseconds.
        waited_ms: u64,
        /// Backend servers of the data centre that were found silent lately.
        silent_backends: usize,
    },
}

/// `FlowReset` is an open flow of a dead backend server that is ended without a packet of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowReset {
    /// The flow.
    pub key: FlowKey,
    /// What its caller has received: callers take a reset only near it.
    pub received: u32,
    /// Index of the backend server that held it.
    pub backend: usize,
    /// Why.
    pub reason: ResetReason,
}

/// `DropReason` is why a packet is dropped without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// Nothing serves the flow by a list that may be old.
    MaybeStale,
    /// The token names no backend server that is known here.
    UnknownToken,
    /// The route of the open flow is gone.
    RouteRemoved,
    /// No list is known yet.
    NoList,
    /// A copy of an opening packet to a cold backend server that has had its share of them.
    ColdLimit,
}

impl DropReason {
    /// The reason's word in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::MaybeStale => "maybe_stale",
            DropReason::UnknownToken => "unknown_token",
            DropReason::RouteRemoved => "route_removed",
            DropReason::NoList => "no_list",
            DropReason::ColdLimit => "cold_limit",
        }
    }
}

/// `FlowExplanation` is where a flow would go and why.
#[derive(Clone, Debug)]
pub struct FlowExplanation {
    /// The route that decides.
    pub route: Option<Arc<FlowRoute>>,
    /// The service of this flow.
    pub service: Option<ServiceName>,
    /// What could be chosen from.
    pub candidates: Vec<PlacementCandidate>,
    /// The choice among them, with its rank.
    pub choice: Option<(usize, PlacementRank)>,
    /// The backend server that the token names.
    pub token_backend: Option<usize>,
    /// What load control does with it; none while it is off or no route decides.
    pub load: Option<LoadExplanation>,
}

/// `RouterCounters` is what a router counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterCounters {
    /// Openings that stayed unanswered for too long.
    pub overdue_openings: u64,
    /// Copies of opening packets.
    pub retransmitted_openings: u64,
    /// Data that callers sent again.
    pub retransmitted_data: u64,
}
