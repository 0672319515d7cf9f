//! A simulated service in virtual time, and snapshots for tests of single plans.
// Each test file uses only some of these items.
#![allow(dead_code, unused_imports)]

mod model;

use std::{collections::BTreeMap, net::Ipv4Addr};

use foxledge_admission::{
    AdmissionDecision, AdmissionOptions, AdmissionPolicy, FlowOpening, ServiceSnapshot,
    ShareAdmission,
};
use foxledge_core::time::ClockTime;
use foxledge_load::PriorityLoad;
use rand::{Rng, rngs::StdRng};

/// Slots of the service: 120 backend servers with 2 slots each.
pub const SLOTS: f64 = 240.0;
/// The usual load: priority, requests per second and work time in microseconds.
pub const USUAL: [(u32, f64, f64); 2] = [(1, 488.0, 72_000.0), (2, 985.0, 55_000.0)];
pub const LATENCY_TARGET_MS: u64 = 400;
/// The maximum number of account samples that an instance reports in each step.
const MAX_SAMPLES: usize = 12;

pub use model::QueueModel;

/// How the instances decide on openings.
pub enum ModelGate {
    /// Admit all.
    Open,
    /// Limit the local requests of an instance, multiplied by the number of instances, in requests
    /// per slot by priority.
    Limits(BTreeMap<u32, f64>),
    /// Use a policy on each instance.
    Policies(Vec<ShareAdmission>),
}

impl ModelGate {
    /// Returns `true` if an instance with `local_load` requests per slot admits the opening.
    fn admits(&self, now_us: u64, instance: usize, local_load: f64, opening: &FlowOpening) -> bool {
        match self {
            ModelGate::Open => true,
            ModelGate::Limits(limits) => local_load < limits[&opening.priority],
            ModelGate::Policies(policies) => {
                let decision = policies[instance].admit(ClockTime::from_micros(now_us), opening);
                decision == AdmissionDecision::Admitted
            }
        }
    }
}

/// The parameters of one simulation.
pub struct ModelPlan {
    pub seed: u64,
    pub instances: usize,
    /// Multiple of the usual arrivals during the burst, by priority.
    pub burst: BTreeMap<u32, f64>,
    /// Start and end of the burst, and end of the simulation, in seconds.
    pub times: (f64, f64, f64),
    /// The maximum number of openings of a caller for one request, and the microseconds between
    /// them.
    pub tries: u32,
    pub retry_delay_us: u64,
    /// Age of the views, in steps of 50 ms.
    pub view_steps: usize,
    /// `true` for instances whose view is never reliable; `false` for those beyond the end.
    pub unreliable: Vec<bool>,
    /// The number of client accounts with equal demand, and the multiple of it that one more
    /// account demands.
    pub accounts: u32,
    pub heavy: f64,
    /// The fraction of the other instances' samples that an instance receives.
    pub received_fraction: f64,
}

impl ModelPlan {
    pub fn new(seed: u64, burst: &[(u32, f64)]) -> ModelPlan {
        let burst = burst.iter().copied().collect();
        ModelPlan {
            seed,
            instances: 79,
            burst,
            times: (2.0, 11.0, 12.0),
            tries: 3,
            retry_delay_us: 2_000,
            view_steps: 3,
            unreliable: Vec::new(),
            accounts: 20_000,
            heavy: 0.0,
            received_fraction: 0.0,
        }
    }
}

/// The requests of one priority that were made during the burst.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindTally {
    pub demanded: f64,
    pub in_time: f64,
}

/// The results of a simulation.
#[derive(Debug, Default)]
pub struct ModelTally {
    pub kinds: BTreeMap<u32, KindTally>,
    /// The heavy account's requests, which are not counted in `kinds`.
    pub heavy: KindTally,
    pub refused: u64,
    /// The second of the first refusal.
    pub first_refusal: Option<f64>,
    /// Refusals while less than one request per slot was in progress: the time, and how long the
    /// load had been below that, in seconds.
    pub refused_below_one: Vec<(f64, f64)>,
    /// Requests per slot at each step.
    pub loads: Vec<f64>,
}

impl ModelTally {
    /// The fraction of the requests of a priority that were answered within the latency target.
    pub fn in_time(&self, priority: u32) -> f64 {
        self.kinds[&priority].in_time / self.kinds[&priority].demanded
    }

    /// The fraction of all requests that were answered within the latency target.
    pub fn all_in_time(&self) -> f64 {
        let demanded: f64 = self.kinds.values().map(|kind| kind.demanded).sum();
        self.kinds.values().map(|kind| kind.in_time).sum::<f64>() / demanded
    }
}

/// Creates one policy for each of `instances`.
pub fn share_gate(instances: usize) -> ModelGate {
    let policy = |_| ShareAdmission::new(AdmissionOptions::default());
    ModelGate::Policies((0..instances).map(policy).collect())
}

/// The time `millis` milliseconds after the clock's start.
pub fn at_ms(millis: u64) -> ClockTime {
    ClockTime::from_micros(millis * 1000)
}

/// A reliable snapshot of 240 slots, reported at `millis`, at `load` requests per slot, with
/// demands in requests per second by priority and 60 ms of work per request.
pub fn snapshot(millis: u64, load: f64, per_s: &[(u32, f64)]) -> ServiceSnapshot {
    let priority = |(priority, per_s): &(u32, f64)| {
        (*priority, PriorityLoad { arrivals_per_s: *per_s, work_us: 60_000.0 })
    };
    ServiceSnapshot {
        slots: SLOTS,
        running: load * SLOTS,
        priorities: per_s.iter().map(priority).collect(),
        latency_target_ms: LATENCY_TARGET_MS,
        reported_at: at_ms(millis),
        is_reliable: true,
        fleet_clock_ms: millis as u32,
        ..ServiceSnapshot::default()
    }
}

/// A policy that was updated once.
pub fn updated_policy(snapshot: &ServiceSnapshot) -> ShareAdmission {
    let mut policy = ShareAdmission::new(AdmissionOptions::default());
    policy.update(snapshot.reported_at, snapshot);
    policy
}

/// The caller with this number.
pub fn caller(number: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0000 + number)
}

/// The decision for an opening of a caller.
pub fn decision(
    policy: &ShareAdmission,
    millis: u64,
    priority: u32,
    number: u32,
) -> AdmissionDecision {
    policy.admit(at_ms(millis), &FlowOpening { priority, caller: caller(number) })
}

/// The fraction of 4,000 callers whose opening is admitted.
pub fn admitted_fraction(policy: &ShareAdmission, millis: u64, priority: u32) -> f64 {
    let is_admitted =
        |number: &u32| decision(policy, millis, priority, *number) == AdmissionDecision::Admitted;
    (0..4000).filter(is_admitted).count() as f64 / 4000.0
}

/// A sample of accounts, each with the number of openings that it stands for.
fn sample_of(openings: &mut Vec<u32>) -> Vec<(u32, u32)> {
    let openings_per_sample = openings.len().div_ceil(MAX_SAMPLES).max(1);
    openings
        .drain(..)
        .step_by(openings_per_sample)
        .map(|account| (account, openings_per_sample as u32))
        .collect()
}

/// A random number from the standard normal distribution.
fn standard_normal(random: &mut StdRng) -> f64 {
    let (first, second): (f64, f64) = (random.random(), random.random());
    (-2.0 * (1.0 - first).ln()).sqrt() * (std::f64::consts::TAU * second).cos()
}
