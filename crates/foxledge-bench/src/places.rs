//! Where work is admitted: the ways that are compared.

use std::{sync::Arc, time::Duration};

use foxledge_core::{hash::rendezvous_weight, lists::TargetSpec, time::ClockTime};
use foxledge_policy::{SchedulerOptions, ShardScheduler, policy_by_name};
use serde::Serialize;

/// Entry instances of a data centre.
pub const INSTANCES: usize = 8;
/// Requests that may wait for a service, wherever they wait.
pub const QUEUE_LIMIT: u32 = 400;
/// Requests that wait at a target when a home counts its slots.
const SHORT_QUEUE: u32 = 2;
/// Slots of a target as published when no desk is to count them.
const UNCOUNTED: u32 = 1_000_000;

/// `PlaceKind` is one way of placing admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlaceKind {
    /// Each instance hashes the flow to a target.
    HashAlone,
    /// Each instance takes the targets in turn.
    RoundRobin,
    /// Each instance takes the better of two by reports that are 500 ms old.
    TwoChoices,
    /// Each target has a home of its own, which the flow hashes to.
    TargetHome,
    /// Shards of two targets each, with a home each.
    EqualShards,
    /// One home for the service.
    ServiceHome,
}

impl PlaceKind {
    /// Every place.
    pub const ALL: [PlaceKind; 6] = [
        PlaceKind::HashAlone,
        PlaceKind::RoundRobin,
        PlaceKind::TwoChoices,
        PlaceKind::TargetHome,
        PlaceKind::EqualShards,
        PlaceKind::ServiceHome,
    ];

    /// The word used on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            PlaceKind::HashAlone => "hash-alone",
            PlaceKind::RoundRobin => "round-robin",
            PlaceKind::TwoChoices => "two-choices",
            PlaceKind::TargetHome => "target-home",
            PlaceKind::EqualShards => "equal-shards",
            PlaceKind::ServiceHome => "service-home",
        }
    }

    /// True when each instance admits on its own.
    pub fn is_local(self) -> bool {
        matches!(self, PlaceKind::HashAlone | PlaceKind::RoundRobin | PlaceKind::TwoChoices)
    }

    /// Number of desks that admit at one time.
    pub fn desks(self, targets: usize) -> usize {
        match self {
            PlaceKind::HashAlone | PlaceKind::RoundRobin | PlaceKind::TwoChoices => INSTANCES,
            PlaceKind::TargetHome => targets,
            PlaceKind::EqualShards => targets / 2,
            PlaceKind::ServiceHome => 1,
        }
    }

    /// Requests that wait at a target.
    pub fn target_queue(self, targets: usize) -> u32 {
        if self.is_local() { QUEUE_LIMIT / targets as u32 } else { SHORT_QUEUE }
    }

    /// The desk that a flow belongs to, at an entry instance.
    pub fn desk_for(self, flow: u64, entry: usize, targets: usize) -> usize {
        if self.is_local() {
            return entry;
        }
        let key = format!("{flow:016x}");
        let weight = |desk: &usize| rendezvous_weight(&key, &desk.to_string());
        (0..self.desks(targets)).max_by_key(weight).unwrap_or(0)
    }

    /// The targets of a desk, as it is told of them.
    pub fn targets_of(self, desk: usize, specs: &[TargetSpec]) -> Vec<Arc<TargetSpec>> {
        let desks = self.desks(specs.len());
        let own = |number: usize| self.is_local() || number % desks == desk % desks;
        let as_told = |spec: &TargetSpec| {
            let slots = if self.is_local() { UNCOUNTED } else { spec.slots };
            Arc::new(TargetSpec { slots, ..spec.clone() })
        };
        let numbered = specs.iter().enumerate().filter(|(number, _)| own(*number));
        numbered.map(|(_, spec)| as_told(spec)).collect()
    }

    /// Makes a desk with its targets.
    pub fn make_desk(self, desk: usize, specs: &[TargetSpec], seed: u64) -> ShardScheduler {
        let name = match self {
            PlaceKind::HashAlone => "hash",
            PlaceKind::RoundRobin => "round-robin",
            PlaceKind::TwoChoices => "two-choices",
            _ => "freest",
        };
        let desk_seed = seed ^ (desk as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let policy = policy_by_name(name, desk_seed).expect("the names above are known");
        let mut home = ShardScheduler::new(self.options(specs.len()), policy, desk_seed);
        home.set_targets(ClockTime::ZERO, self.targets_of(desk, specs));
        home
    }

    // What is compared is the place: ways without a home go by their own rule
    // alone, without the desk's beliefs about slow or shedding targets.
    fn options(self, targets: usize) -> SchedulerOptions {
        if self.is_local() {
            return SchedulerOptions::new()
                .queue_limit(QUEUE_LIMIT)
                .slow_run_time_ratio(f64::INFINITY)
                .shed_backoff(Duration::ZERO);
        }
        SchedulerOptions::new().queue_limit(QUEUE_LIMIT / self.desks(targets) as u32)
    }
}
