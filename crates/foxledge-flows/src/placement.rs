//! Placement policy for new flows.

use foxledge_core::time::ClockTime;
use serde::Serialize;

use crate::health::HealthClass;

/// A backend server that can receive a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementCandidate {
    /// Index of the backend server.
    pub index: usize,
    /// Health, as estimated by this instance.
    pub health: HealthClass,
    /// Openings that this instance forwarded to it and that are neither answered nor overdue.
    pub pending_openings: u32,
    /// True when it did not respond to an earlier opening packet of this flow.
    pub is_unresponsive: bool,
    /// True when it is in the data centre where the flow is to be placed. That is the data centre
    /// of this instance, unless overflow selected another one.
    pub is_same_centre: bool,
    /// Requests that this instance forwarded to it and that are still unanswered.
    pub running_requests: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Its response time relative to the median of the service, in percent; at least 100.
    pub slowness_percent: u32,
    /// True while it is cold: started recently and still slow.
    pub is_cold: bool,
    /// True when slots are scarce and it isn't in the preferred subset of this instance.
    pub is_outside_subset: bool,
    /// Open flows that this instance forwards to it.
    pub open_flows: u32,
    /// Value of the router's placement counter when it last received a new flow.
    pub last_placement: u64,
}

/// Sort key of a candidate; the candidate with the smallest rank is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct PlacementRank {
    /// Penalty for bad health, and for an unanswered opening of this flow; 0 if there is none.
    #[serde(rename = "avoidance")]
    pub health_penalty: u8,
    /// Combined cost of load, slowness and distance: 100 for each running request per slot.
    pub cost: u32,
    /// Open flows that this instance forwards to the backend server.
    #[serde(rename = "flows")]
    pub open_flows: u32,
    /// Placement counter of the last new flow; the least recently used candidate is preferred.
    #[serde(rename = "picked")]
    pub last_placement: u64,
}

/// Chooses the backend server of a new flow among the candidates.
pub trait PlacementPolicy {
    /// Returns the backend server index of the chosen candidate and its rank, or `None` if there
    /// are no candidates.
    fn choose(
        &mut self,
        now: ClockTime,
        candidates: &[PlacementCandidate],
    ) -> Option<(usize, PlacementRank)>;
}

/// Cost of one running request per slot.
const REQUEST_COST: u32 = 100;
/// Slowness, in percent, below which a backend server doesn't count as slow. The work times of one
/// service deviate from their mean by half of it, and a mean of about ten of them still by a fifth.
pub(crate) const MIN_SLOWNESS_PERCENT: u32 = 150;
/// Maximum slowness, in percent, in the cost; greater values are capped.
pub(crate) const MAX_SLOWNESS_PERCENT: u32 = 1_000;
/// Cost of a cold backend server. Requests take 1.6 times as long there, which is as slow as
/// waiting behind half a request.
const COLD_COST: u32 = 40;
/// Cost of a backend server in another data centre.
///
/// Traffic between data centres is paid for. A flow leaves the data centre only when every local
/// backend server has at least two more requests per slot than the remote one.
const REMOTE_COST: u32 = 200;

/// Cost of a backend server outside the preferred subset while slots are scarce: as much as one
/// more request in each slot.
const OUTSIDE_SUBSET_COST: u32 = 100;

/// Places a flow on the healthiest, nearest and least loaded backend server.
///
/// A backend server that takes five times as long gets a flow only when the others run five times
/// as many requests. Running requests are those that this instance forwarded. Choosing the better
/// of two random candidates would need less state, but as the state is kept for all of them anyway,
/// finding the minimum costs no more.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl PlacementPolicy for LeastLoaded {
    fn choose(
        &mut self,
        _now: ClockTime,
        candidates: &[PlacementCandidate],
    ) -> Option<(usize, PlacementRank)> {
        let ranked = candidates.iter().map(|candidate| (rank(candidate), candidate.index));
        ranked.min().map(|(rank, index)| (index, rank))
    }
}

/// A class of backend servers that weren't examined yet. They needn't be if the best candidate so
/// far costs no more than an idle one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementBound {
    /// Backend servers of the same data centre outside the preferred subset.
    OutsideSubset,
    /// Backend servers of other data centres.
    Remote,
}

impl PlacementBound {
    /// Returns true when a candidate of this rank is healthy and costs no more than an idle backend
    /// server with `slots` in the class that wasn't examined.
    pub fn is_met_by(self, rank: &PlacementRank, slots: u32) -> bool {
        let next_class_cost = match self {
            PlacementBound::OutsideSubset => OUTSIDE_SUBSET_COST,
            PlacementBound::Remote => REMOTE_COST,
        };
        rank.health_penalty == 0 && rank.cost <= next_class_cost + REQUEST_COST / slots.max(1)
    }
}

fn rank(candidate: &PlacementCandidate) -> PlacementRank {
    // The new flow's own request is counted, so that a slow backend server costs more even when
    // idle.
    let requests = candidate.running_requests + candidate.pending_openings + 1;
    let slowness = if candidate.slowness_percent < MIN_SLOWNESS_PERCENT {
        100
    } else {
        candidate.slowness_percent.min(MAX_SLOWNESS_PERCENT)
    };
    let load_cost = requests * REQUEST_COST / candidate.slots.max(1) * slowness / 100;
    let cold_cost = if candidate.is_cold { COLD_COST } else { 0 };
    let distance_cost = if candidate.is_same_centre { 0 } else { REMOTE_COST };
    let subset_cost = if candidate.is_outside_subset { OUTSIDE_SUBSET_COST } else { 0 };
    PlacementRank {
        health_penalty: health_penalty(candidate),
        cost: load_cost + cold_cost + distance_cost + subset_cost,
        open_flows: candidate.open_flows,
        last_placement: candidate.last_placement,
    }
}

fn health_penalty(candidate: &PlacementCandidate) -> u8 {
    let class_penalty = match candidate.health {
        HealthClass::Healthy => 0,
        // One flow at a time is sent as a trial to a backend server that didn't respond.
        HealthClass::Probation if candidate.pending_openings == 0 => 0,
        HealthClass::Probation | HealthClass::Suspect => 1,
        HealthClass::Ejected => 3,
    };
    let flow_penalty = if candidate.is_unresponsive { 2 } else { 0 };
    class_penalty.max(flow_penalty)
}
