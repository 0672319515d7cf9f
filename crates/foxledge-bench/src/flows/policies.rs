//! Ways of placing flows that the product's own is measured against.

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    HealthClass, LeastLoaded, PlacementPolicy,
    placement::{PlacementCandidate, PlacementRank},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// `PolicyKind` names a way of placing flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The product's own.
    LeastLoaded,
    /// One after the other.
    RoundRobin,
    /// By chance, as hashing a flow's address does.
    Hashed,
    /// The less loaded of two taken by chance.
    TwoChoices,
    /// By chance among those within a quarter of the mean load.
    BoundedLoad,
}

impl PolicyKind {
    /// All policies.
    pub const ALL: [PolicyKind; 5] = [
        PolicyKind::LeastLoaded,
        PolicyKind::RoundRobin,
        PolicyKind::Hashed,
        PolicyKind::TwoChoices,
        PolicyKind::BoundedLoad,
    ];

    /// Its name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyKind::LeastLoaded => "least-loaded",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::Hashed => "hashed",
            PolicyKind::TwoChoices => "two-choices",
            PolicyKind::BoundedLoad => "bounded-load",
        }
    }

    /// Makes the policy of one instance.
    pub fn make(self, seed: u64) -> Box<dyn PlacementPolicy> {
        match self {
            PolicyKind::LeastLoaded => Box::new(LeastLoaded),
            other => Box::new(BaselinePolicy { kind: other, random: StdRng::seed_from_u64(seed) }),
        }
    }
}

/// `BaselinePolicy` chooses among the healthy backend servers nearby, or among all
/// healthy ones when none is near. It has the same evidence of health as the
/// product's policy, and its own view of load.
struct BaselinePolicy {
    kind: PolicyKind,
    random: StdRng,
}

impl PlacementPolicy for BaselinePolicy {
    fn choose(
        &mut self,
        _now: ClockTime,
        candidates: &[PlacementCandidate],
    ) -> Option<(usize, PlacementRank)> {
        let eligible = eligible_ones(candidates);
        let chosen = match self.kind {
            PolicyKind::TwoChoices => self.less_loaded_of_two(&eligible)?,
            PolicyKind::BoundedLoad => self.any_within_bound(&eligible)?,
            PolicyKind::Hashed => self.any(&eligible)?,
            PolicyKind::RoundRobin | PolicyKind::LeastLoaded => {
                eligible.iter().min_by_key(|one| one.last_placement)?
            }
        };
        let rank = PlacementRank {
            health_penalty: 0,
            cost: load_of(chosen),
            open_flows: chosen.open_flows,
            last_placement: 0,
        };
        Some((chosen.index, rank))
    }
}

impl BaselinePolicy {
    fn any<'a>(&mut self, eligible: &[&'a PlacementCandidate]) -> Option<&'a PlacementCandidate> {
        let index = self.random.random_range(0..eligible.len().max(1));
        eligible.get(index).copied()
    }

    fn less_loaded_of_two<'a>(
        &mut self,
        eligible: &[&'a PlacementCandidate],
    ) -> Option<&'a PlacementCandidate> {
        let (first, second) = (self.any(eligible)?, self.any(eligible)?);
        Some(if load_of(second) < load_of(first) { second } else { first })
    }

    fn any_within_bound<'a>(
        &mut self,
        eligible: &[&'a PlacementCandidate],
    ) -> Option<&'a PlacementCandidate> {
        let sum: u32 = eligible.iter().map(|one| load_of(one)).sum();
        // The new flow counts, so that an idle fleet has room for it.
        let bound = (f64::from(sum + 1) * 1.25 / eligible.len().max(1) as f64).ceil() as u32;
        let within: Vec<_> = eligible.iter().copied().filter(|one| load_of(one) < bound).collect();
        self.any(&within)
    }
}

fn eligible_ones(candidates: &[PlacementCandidate]) -> Vec<&PlacementCandidate> {
    let is_healthy = |one: &&PlacementCandidate| {
        !one.is_unresponsive && matches!(one.health, HealthClass::Healthy | HealthClass::Probation)
    };
    let healthy: Vec<_> = candidates.iter().filter(is_healthy).collect();
    let near: Vec<_> = healthy.iter().copied().filter(|one| one.is_same_centre).collect();
    match (near.is_empty(), healthy.is_empty()) {
        (false, _) => near,
        (true, false) => healthy,
        (true, true) => candidates.iter().collect(),
    }
}

fn load_of(candidate: &PlacementCandidate) -> u32 {
    candidate.running_requests + candidate.pending_openings
}
