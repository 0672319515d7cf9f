//! Which backend server a new flow goes to.

use foxledge_core::time::ClockTime;
use serde::Serialize;

use crate::health::HealthClass;

/// `PlacementCandidate` is a backend server that may take a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementCandidate {
    /// Its index.
    pub index: usize,
    /// What is believed of its health.
    pub health: HealthClass,
    /// Openings that wait for its answer.
    pub pending_openings: u32,
    /// True when it left an earlier copy of the caller's opening packet unanswered.
    pub is_unresponsive: bool,
    /// True in the data centre of this instance.
    pub is_same_centre: bool,
    /// Requests that run there.
    pub running_requests: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How many times as long as usual its answers take, in hundredths from 100 up.
    pub slowness_percent: u32,
    /// True while it has just started and is slow.
    pub is_cold: bool,
    /// True when slots are scarce and it is left to other instances.
    pub is_outside_subset: bool,
    /// Open flows there.
    pub open_flows: u32,
    /// Counter of the last placement there.
    pub last_placement: u64,
}

/// `PlacementRank` is by what a candidate is chosen, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct PlacementRank {
    /// Health, the caller's own failed attempt included.
    #[serde(rename = "avoidance")]
    pub health_penalty: u8,
    /// Load and distance as one cost.
    pub cost: u32,
    /// Open flows.
    #[serde(rename = "flows")]
    pub open_flows: u32,
    /// The longest unused goes first.
    #[serde(rename = "picked")]
    pub last_placement: u64,
}

/// `PlacementPolicy` chooses among candidates.
pub trait PlacementPolicy {
    /// The candidate for a new flow and its rank; none without candidates.
    fn choose(
        &mut self,
        now: ClockTime,
        candidates: &[PlacementCandidate],
    ) -> Option<(usize, PlacementRank)>;
}

/// Cost of one request that runs, per slot.
const REQUEST_COST: u32 = 100;
/// Slowness in hundredths from which it counts. Work times of one service differ
/// by half of their mean, and so does a mean of some ten of them by a fifth.
pub(crate) const SLOW: u32 = 150;
/// Slowness in hundredths that counts at most.
pub(crate) const SLOWEST: u32 = 1_000;
/// Cost of a backend server that is cold: it takes 1.6 times as long, so one
/// request there is as slow as one that waits behind half a request.
const COLD_COST: u32 = 40;
/// Cost of the way to another data centre.
///
/// Bytes between data centres are paid for. Flows leave only when every near
/// backend server runs this many hundredths of its slots more than the far one.
const FAR_COST: u32 = 200;

/// Cost of a backend server that is left to other instances while slots are scarce: as much as one
/// more request in each slot.
const OUTSIDE_COST: u32 = 100;

/// `LeastLoaded` places on the healthiest, nearest, least loaded backend server.
///
/// A backend server that takes five times as long gets a flow only when the others
/// run five times as many requests. The number of running requests is this
/// instance's own view. Two choices among
/// random ones would do with less knowledge; with every count at hand the least
/// of all is as cheap.
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

/// `PlacementBound` is against what the best of some candidates must hold for others not to be
/// looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementBound {
    /// A backend server of the same data centre that is left to other instances.
    Outside,
    /// One of another data centre.
    Far,
}

impl PlacementBound {
    /// True when a candidate of this rank is healthy and no dearer than an idle one beyond the
    /// bound.
    pub fn holds(self, rank: &PlacementRank, slots: u32) -> bool {
        let beyond = match self {
            PlacementBound::Outside => OUTSIDE_COST,
            PlacementBound::Far => FAR_COST,
        };
        rank.health_penalty == 0 && rank.cost <= beyond + REQUEST_COST / slots.max(1)
    }
}

fn rank(candidate: &PlacementCandidate) -> PlacementRank {
    // The flow itself is counted, so that a slow backend server costs more also when idle.
    let requests = candidate.running_requests + candidate.pending_openings + 1;
    let slowness = if candidate.slowness_percent < SLOW {
        100
    } else {
        candidate.slowness_percent.min(SLOWEST)
    };
    let busy = requests * REQUEST_COST / candidate.slots.max(1) * slowness / 100;
    let cold = if candidate.is_cold { COLD_COST } else { 0 };
    let far = if candidate.is_same_centre { 0 } else { FAR_COST };
    let outside = if candidate.is_outside_subset { OUTSIDE_COST } else { 0 };
    PlacementRank {
        health_penalty: avoidance(candidate),
        cost: busy + cold + far + outside,
        open_flows: candidate.open_flows,
        last_placement: candidate.last_placement,
    }
}

fn avoidance(candidate: &PlacementCandidate) -> u8 {
    let by_health = match candidate.health {
        HealthClass::Healthy => 0,
        // One flow at a time tries a backend server that was silent.
        HealthClass::Probation if candidate.pending_openings == 0 => 0,
        HealthClass::Probation | HealthClass::Suspect => 1,
        HealthClass::Ejected => 3,
    };
    let by_caller = if candidate.is_unresponsive { 2 } else { 0 };
    by_health.max(by_caller)
}
