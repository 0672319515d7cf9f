//! Policies that choose the target of a work item.

use foxledge_core::{
    hash::rendezvous_weight, names::TargetName, time::ClockTime, traffic::TrafficKind,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    effects::TargetLoad,
    errors::{Result, unknown_policy},
    work::WorkItem,
};

/// Chooses a target among those that have capacity.
pub trait TargetPolicy {
    /// Returns the name of the policy in the settings.
    fn name(&self) -> &'static str;

    /// Returns the maximum number of candidates that the policy evaluates; of more, it gets a
    /// random selection.
    fn sample_size(&self) -> usize {
        usize::MAX
    }

    /// Returns an index into `candidates`, or `None` to leave the work item in the queue.
    fn pick(
        &mut self,
        now: ClockTime,
        candidates: &[TargetState],
        work: &WorkItem,
    ) -> Option<usize>;
}

/// The state of a candidate target as a policy sees it.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// The name of the target.
    pub name: TargetName,
    /// Slots that this scheduler may use now.
    pub slots: u32,
    /// Slots that dispatches of this scheduler occupy.
    pub busy: u32,
    /// Connections that feeds of this scheduler occupy.
    pub connections: u32,
    /// Connections that the target accepts.
    pub connection_limit: u32,
    /// The last load report, unless it has expired or observations contradict it.
    pub report: Option<TargetLoad>,
    /// The ratio of run times at the target to the mean of their kind.
    pub run_time_ratio: f64,
    /// The progress of the slow start, from 0 (new or cold) to 1 (warm).
    pub warmup_progress: f64,
    /// The id of the target in the target table.
    pub(crate) id: u64,
}

impl TargetState {
    /// Returns the slots that are free by the count of this scheduler.
    pub fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.busy)
    }

    fn utilization(&self, kind: TrafficKind) -> f64 {
        match kind {
            TrafficKind::Feed => {
                f64::from(self.connections) / f64::from(self.connection_limit.max(1))
            }
            TrafficKind::Bid | TrafficKind::Upload => {
                f64::from(self.busy) / f64::from(self.slots.max(1))
            }
        }
    }

    // Returns the slots that dispatches of other schedulers occupy according to the load report.
    fn other_busy(&self) -> u32 {
        let Some(load) = self.report else {
            return 0;
        };
        (load.busy_slots + load.queued).saturating_sub(self.busy)
    }
}

/// Creates the policy with this name.
///
/// # Errors
///
/// Returns [`Error::UnknownPolicy`](crate::Error::UnknownPolicy) if no policy has this name.
pub fn policy_by_name(name: &str, seed: u64) -> Result<Box<dyn TargetPolicy>> {
    let random = StdRng::seed_from_u64(seed);
    match name {
        "freest" => Ok(Box::new(LeastUtilized { random })),
        "hash" => Ok(Box::new(HashTarget)),
        "round-robin" => Ok(Box::new(RoundRobin { next: 0 })),
        "two-choices" => Ok(Box::new(TwoChoices { random })),
        _ => Err(unknown_policy(name)),
    }
}

// The least utilized of this many targets is hardly busier than the least utilized of all, and
// the cost of a request doesn't grow with the size of the service.
const UTILIZATION_SAMPLE_SIZE: usize = 64;

/// Chooses the target with the lowest utilization, with a penalty for slow and cold targets and
/// for slots that other schedulers occupy.
struct LeastUtilized {
    random: StdRng,
}

impl TargetPolicy for LeastUtilized {
    fn name(&self) -> &'static str {
        "freest"
    }

    fn sample_size(&self) -> usize {
        UTILIZATION_SAMPLE_SIZE
    }

    fn pick(
        &mut self,
        _now: ClockTime,
        candidates: &[TargetState],
        work: &WorkItem,
    ) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        let mut equal_count = 0u32;
        for (index, state) in candidates.iter().enumerate() {
            let score = utilization_score(state, work.kind);
            match best {
                Some((_, lowest)) if score > lowest => continue,
                Some((_, lowest)) if score == lowest => {
                    // Chooses among equal scores uniformly (reservoir sampling).
                    equal_count += 1;
                    if self.random.random_range(0..equal_count) != 0 {
                        continue;
                    }
                }
                _ => equal_count = 1,
            }
            best = Some((index, score));
        }
        best.map(|(index, _)| index)
    }
}

// Run time ratios are rounded to quarters, so that random differences don't direct every request
// to one target.
fn utilization_score(state: &TargetState, kind: TrafficKind) -> f64 {
    let ratio = (state.run_time_ratio * 4.0).round() / 4.0;
    let penalty = (ratio - 1.0).max(0.0) + (1.0 - state.warmup_progress);
    state.utilization(kind) + penalty * 0.25 + f64::from(state.other_busy().min(4)) * 0.1
}

/// Chooses the target by rendezvous hashing of the flow id.
struct HashTarget;

impl TargetPolicy for HashTarget {
    fn name(&self) -> &'static str {
        "hash"
    }

    fn pick(
        &mut self,
        _now: ClockTime,
        candidates: &[TargetState],
        work: &WorkItem,
    ) -> Option<usize> {
        let key = format!("{:016x}", work.flow);
        (0..candidates.len()).max_by_key(|&index| rendezvous_weight(&key, &candidates[index].name))
    }
}

/// Chooses the targets in turn.
struct RoundRobin {
    next: u64,
}

impl TargetPolicy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn pick(
        &mut self,
        _now: ClockTime,
        candidates: &[TargetState],
        _work: &WorkItem,
    ) -> Option<usize> {
        // The order is by target ids, as the candidates change between calls.
        let next_index = candidates.iter().position(|state| state.id >= self.next);
        let picked = next_index.or(if candidates.is_empty() { None } else { Some(0) })?;
        self.next = candidates[picked].id + 1;
        Some(picked)
    }
}

/// Chooses the less loaded of two random targets, according to their load reports.
///
/// Mitzenmacher, "The power of two choices in randomized load balancing",
/// IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
struct TwoChoices {
    random: StdRng,
}

impl TargetPolicy for TwoChoices {
    fn name(&self) -> &'static str {
        "two-choices"
    }

    fn pick(
        &mut self,
        _now: ClockTime,
        candidates: &[TargetState],
        work: &WorkItem,
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let first = self.random.random_range(0..candidates.len());
        let second = self.random.random_range(0..candidates.len());
        let load_of = |index: usize| reported_load(&candidates[index], work.kind);
        Some(if load_of(second) < load_of(first) { second } else { first })
    }
}

fn reported_load(state: &TargetState, kind: TrafficKind) -> u32 {
    let load = state.report.unwrap_or_default();
    match kind {
        TrafficKind::Feed => load.connections.max(state.connections),
        TrafficKind::Bid | TrafficKind::Upload => (load.busy_slots + load.queued).max(state.busy),
    }
}
