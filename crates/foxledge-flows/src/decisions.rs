//! Decisions of a router and the reasons for them.

use std::sync::Arc;

use foxledge_core::names::{CentreName, ServiceName};
use serde::Serialize;

use crate::{
    candidates::PlacementBarrier,
    health::HealthClass,
    load_control::LoadExplanation,
    packet::FlowKey,
    placement::{PlacementCandidate, PlacementRank},
    revisions::serialize_number,
    routes::FlowRoute,
};

/// What to do with a packet.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowDecision {
    /// Forward it to a backend server.
    Forward {
        /// Index of the backend server.
        backend: usize,
        /// Set when the caller retransmitted its data.
        stall: Option<FlowStall>,
    },
    /// Forward the opening packet of a flow, with a token.
    Open {
        /// Index of the backend server.
        backend: usize,
        /// Why this backend server was chosen.
        reason: OpenReason,
    },
    /// Answer the caller at once that the flow can't be served.
    Refuse(RefuseReason),
    /// Reset the open flow at its caller.
    Reset {
        /// Index of the backend server that served it.
        backend: usize,
        /// Why the flow is reset.
        reason: ResetReason,
    },
    /// Hand it to another instance, which has the whole list. This instance has only a part,
    /// without the backend server of the open flow.
    Relay,
    /// Drop it without a response.
    Drop(DropReason),
}

/// A retransmission of data on an open flow, which shows that its caller waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct FlowStall {
    /// Time since the data was first forwarded, in milliseconds.
    pub waited_ms: u64,
    /// Number of retransmissions of the data.
    #[serde(rename = "copies")]
    pub retransmissions: u32,
    /// Current health of the flow's backend server.
    #[serde(rename = "class")]
    pub health: HealthClass,
    /// True when the data has waited for so long that it can't be reaching the backend server.
    pub is_lost: bool,
}

/// Why an opening packet goes to its backend server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OpenReason {
    /// The route that decided.
    pub route: Arc<str>,
    /// Revision of the route.
    #[serde(serialize_with = "serialize_number")]
    pub route_revision: u64,
    /// Number of the opening packet: 0 for the first, higher for retransmissions.
    #[serde(rename = "copy")]
    pub attempt: u32,
    /// Rank of the chosen candidate; `None` when a retransmission follows the first packet.
    pub rank: Option<PlacementRank>,
    /// Number of candidates.
    pub candidates: usize,
    /// The other data centre that overflow selected; `None` when the flow stays in its own.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub overflow_to: Option<CentreName>,
}

/// Why a flow is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// No route matches the address.
    NoRoute,
    /// The service has no backend server that takes flows.
    NoBackend,
    /// All backend servers that take flows are in evacuated data centres.
    Evacuated,
    /// The remaining backend servers are cold, and their quotas of new flows are used up.
    ColdLimit,
    /// No backend server is in a region that the route allows.
    NoRegion,
    /// The open flow's backend server is gone, and was already when this instance started.
    BackendVanished,
    /// The service is short of slots, and flows of higher priority go first.
    Shortage,
    /// The service is short of slots, and the client account has used up its share.
    AccountShare,
}

impl RefuseReason {
    /// Returns the reason for a refusal after a barrier excluded the last candidates.
    pub(crate) fn from_barrier(barrier: PlacementBarrier) -> RefuseReason {
        match barrier {
            PlacementBarrier::Region => RefuseReason::NoRegion,
            PlacementBarrier::Cold => RefuseReason::ColdLimit,
            PlacementBarrier::Evacuation => RefuseReason::Evacuated,
        }
    }

    /// Returns the reason's name in metrics.
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

/// Why an open flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum ResetReason {
    /// Its backend server responds neither to this flow nor to others.
    BackendSilent {
        /// Time since the unanswered data was first forwarded, in milliseconds.
        waited_ms: u64,
        /// Time since another flow of the backend server was found unanswered, in milliseconds.
        silent_ms: u64,
    },
    /// Its backend server is certainly dead, and its caller waits for a response from it.
    WaitingAtDead {
        /// Time since the unanswered data was first forwarded, in milliseconds.
        waited_ms: u64,
        /// Time since a packet to the backend server was found unanswered, in milliseconds.
        silent_ms: u64,
    },
    /// Its backend server is certainly dead, and no request is in progress on the flow.
    IdleAtDead {
        /// Time since its last packet, in milliseconds.
        idle_ms: u64,
        /// Time since a packet to the backend server was found unanswered, in milliseconds.
        silent_ms: u64,
    },
    /// Its backend server is gone, and another one has its address.
    AddressTaken {
        /// Time since the removal of its entry was noticed, in milliseconds.
        gone_ms: u64,
    },
    /// Its backend server doesn't respond, and neither does any other in the data centre.
    CentreSilent {
        /// Time since the unanswered data was first forwarded, in milliseconds.
        waited_ms: u64,
        /// Backend servers of the data centre that recently left packets unanswered.
        silent_backends: usize,
    },
}

/// The reset of a dead backend server's open flow, sent without a packet of that flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowReset {
    /// Addresses of the flow.
    pub key: FlowKey,
    /// Next byte that its caller expects: callers accept a reset only near it.
    pub received: u32,
    /// Index of the backend server that served it.
    pub backend: usize,
    /// Why the flow is reset.
    pub reason: ResetReason,
}

/// Why a packet is dropped without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// Nothing serves the flow according to a list that may be out of date.
    MaybeStale,
    /// The token names no backend server in the list of this instance.
    UnknownToken,
    /// The route of the open flow was removed.
    RouteRemoved,
    /// No list has been received yet.
    NoList,
    /// A retransmitted opening packet to a cold backend server whose quota of them is used up.
    ColdLimit,
}

impl DropReason {
    /// Returns the reason's name in metrics and logs.
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

/// Where a flow would go, and why.
#[derive(Clone, Debug)]
pub struct FlowExplanation {
    /// The route that matches the flow.
    pub route: Option<Arc<FlowRoute>>,
    /// The service of the flow.
    pub service: Option<ServiceName>,
    /// The candidates that were examined.
    pub candidates: Vec<PlacementCandidate>,
    /// Index and rank of the chosen candidate.
    pub choice: Option<(usize, PlacementRank)>,
    /// Index of the backend server that the token names.
    pub token_backend: Option<usize>,
    /// What load control does with the flow; `None` while it is off or no route matches.
    pub load: Option<LoadExplanation>,
}

/// Counters of a router since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterCounters {
    /// Openings without a response in time.
    pub overdue_openings: u64,
    /// Retransmitted opening packets.
    pub retransmitted_openings: u64,
    /// Retransmitted data packets.
    pub retransmitted_data: u64,
}
