//! Which target gets a work.

use foxledge_core::{
    hash::rendezvous_weight, names::TargetName, time::ClockTime, traffic::TrafficKind,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    effects::TargetLoad,
    errors::{Result, unknown_policy},
    work::WorkItem,
};

/// `TargetPolicy` chooses a target among those that have room.
pub trait TargetPolicy {
    /// The name used in settings.
    fn name(&self) -> &'static str;

    /// Most candidates that it wants to see; of more it sees a random run.
    fn sample_size(&self) -> usize {
        usize::MAX
    }

    /// Index into `candidates`, or none to let the work wait.
    fn pick(
        &mut self,
        now: ClockTime,
        candidates: &[TargetState],
        work: &WorkItem,
    ) -> Option<usize>;
}

/// `TargetState` is what a policy sees of a target that has room.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Its name.
    pub name: TargetName,
    /// Slots that this desk may use of it now.
    pub slots: u32,
    /// Slots that this desk's dispatches hold.
    pub busy: u32,
    /// Connections that this desk's feeds hold.
    pub connections: u32,
    /// Connections that it can hold.
    pub connection_limit: u32,
    /// Its last report, unless that is too old or what was seen speaks against it.
    pub reported: Option<TargetLoad>,
    /// Its run time as a multiple of the usual for the kind of traffic; 1 is usual.
    pub pace: f64,
    /// From 0 (new or cold) to 1 (warm).
    pub warmth: f64,
    /// The desk's number of the target.
    pub(crate) id: u64,
}

impl TargetState {
    /// Slots that are free as far as this desk knows.
    pub fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.busy)
    }

    fn room_used(&self, kind: TrafficKind) -> f64 {
        match kind {
            TrafficKind::Feed => {
                f64::from(self.connections) / f64::from(self.connection_limit.max(1))
            }
            TrafficKind::Bid | TrafficKind::Upload => {
                f64::from(self.busy) / f64::from(self.slots.max(1))
            }
        }
    }

    // Slots that others' dispatches seem to hold.
    fn foreign_busy(&self) -> u32 {
        let Some(load) = self.reported else {
            return 0;
        };
        (load.busy_slots + load.queued).saturating_sub(self.busy)
    }
}

/// Makes the policy of that name.
pub fn policy_by_name(name: &str, seed: u64) -> Result<Box<dyn TargetPolicy>> {
    let random = StdRng::seed_from_u64(seed);
    match name {
        "freest" => Ok(Box::new(FreestTarget { random })),
        "hash" => Ok(Box::new(HashTarget)),
        "round-robin" => Ok(Box::new(RoundRobin { next: 0 })),
        "two-choices" => Ok(Box::new(TwoChoices { random })),
        _ => Err(unknown_policy(name)),
    }
}

// The freest of this many is hardly busier than the freest of all, and the
// cost of a request doesn't grow with the service.
const FREEST_SAMPLE: usize = 64;

/// `FreestTarget` takes the target with the smallest used part, the quicker of equals.
struct FreestTarget {
    random: StdRng,
}

impl TargetPolicy for FreestTarget {
    fn name(&self) -> &'static str {
        "freest"
    }

    fn sample_size(&self) -> usize {
        FREEST_SAMPLE
    }

    fn pick(
        &mut self,
        _now: ClockTime,
        candidates: &[TargetState],
        work: &WorkItem,
    ) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        let mut equals = 0u32;
        for (index, state) in candidates.iter().enumerate() {
            let score = freest_score(state, work.kind);
            match best {
                Some((_, least)) if score > least => continue,
                Some((_, least)) if score == least => {
                    // Each of the equals is kept with the same chance (reservoir sampling).
                    equals += 1;
                    if self.random.random_range(0..equals) != 0 {
                        continue;
                    }
                }
                _ => equals = 1,
            }
            best = Some((index, score));
        }
        best.map(|(index, _)| index)
    }
}

// Paces within a quarter count as equal, so that chance differences don't
// send every request to one target.
fn freest_score(state: &TargetState, kind: TrafficKind) -> f64 {
    let pace = (state.pace * 4.0).round() / 4.0;
    let penalty = (pace - 1.0).max(0.0) + (1.0 - state.warmth);
    state.room_used(kind) + penalty * 0.25 + f64::from(state.foreign_busy().min(4)) * 0.1
}

/// `HashTarget` takes the target that the flow hashes to.
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

/// `RoundRobin` takes the targets in turn.
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
        // The turn goes by the desk's numbers, as the candidates change between picks.
        let at_or_after = candidates.iter().position(|state| state.id >= self.next);
        let picked = at_or_after.or(if candidates.is_empty() { None } else { Some(0) })?;
        self.next = candidates[picked].id + 1;
        Some(picked)
    }
}

/// `TwoChoices` takes the less loaded of two random targets, by what they reported.
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
    let load = state.reported.unwrap_or_default();
    match kind {
        TrafficKind::Feed => load.connections.max(state.connections),
        TrafficKind::Bid | TrafficKind::Upload => (load.busy_slots + load.queued).max(state.busy),
    }
}
