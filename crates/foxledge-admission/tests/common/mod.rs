//! A service in virtual time, and rooms for tests of single plans.
// Each test file uses a part of this.
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

/// Slots of the service: 120 backend servers of 2.
pub const SLOTS: f64 = 240.0;
/// Usual load: priority, requests a second, work in microseconds.
pub const USUAL: [(u32, f64, f64); 2] = [(1, 488.0, 72_000.0), (2, 985.0, 55_000.0)];
pub const AIM_MS: u64 = 400;
/// Account samples that an instance tells at each step.
const SAMPLES: usize = 12;

pub use model::QueueModel;

/// `ModelGate` is what refuses openings at the instances.
pub enum ModelGate {
    /// Nothing.
    Open,
    /// An instance's own requests times the number of instances, in requests a slot, by priority.
    Limits(BTreeMap<u32, f64>),
    /// A policy for each instance.
    Policies(Vec<ShareAdmission>),
}

impl ModelGate {
    /// True when an instance that counts `own` requests a slot admits the opening.
    fn admits(&self, now_us: u64, instance: usize, own: f64, opening: &FlowOpening) -> bool {
        match self {
            ModelGate::Open => true,
            ModelGate::Limits(limits) => own < limits[&opening.priority],
            ModelGate::Policies(policies) => {
                let verdict = policies[instance].admit(ClockTime::from_micros(now_us), opening);
                verdict == AdmissionDecision::Admitted
            }
        }
    }
}

/// `ModelPlan` is one play.
pub struct ModelPlan {
    pub seed: u64,
    pub instances: usize,
    /// Multiple of the usual arrivals, by priority, in the burst.
    pub burst: BTreeMap<u32, f64>,
    /// Begin and end of the burst, and end of the play, in seconds.
    pub times: (f64, f64, f64),
    /// Openings that a caller makes for one request at most, and microseconds between them.
    pub tries: u32,
    pub return_us: u64,
    /// Age of views in steps of 50 ms.
    pub view_steps: usize,
    /// Instances that never have a sure view; none of those beyond its end.
    pub unsure: Vec<bool>,
    /// Client accounts that ask alike, and the multiple of that which one more asks for.
    pub accounts: u32,
    pub heavy: f64,
    /// Part of the other instances' samples that an instance hears of.
    pub heard: f64,
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
            return_us: 2_000,
            view_steps: 3,
            unsure: Vec::new(),
            accounts: 20_000,
            heavy: 0.0,
            heard: 0.0,
        }
    }
}

/// `KindTally` is what became of the requests of one priority that were asked in the burst.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindTally {
    pub asked: f64,
    pub in_aim: f64,
}

/// `ModelTally` is the outcome of a play.
#[derive(Debug, Default)]
pub struct ModelTally {
    pub kinds: BTreeMap<u32, KindTally>,
    /// The heavy account's requests, which aren't counted in `kinds`.
    pub heavy: KindTally,
    pub refused: u64,
    /// Second of the first refusal.
    pub first_refusal: Option<f64>,
    /// Refusals while less than one request a slot was in progress: when, and since when that
    /// was so, in seconds.
    pub refused_below_one: Vec<(f64, f64)>,
    /// Requests a slot at each step.
    pub loads: Vec<f64>,
}

impl ModelTally {
    /// Part of the requests of a priority that were answered in aim.
    pub fn in_aim(&self, priority: u32) -> f64 {
        self.kinds[&priority].in_aim / self.kinds[&priority].asked
    }

    /// Part of all requests that were answered in aim.
    pub fn all_in_aim(&self) -> f64 {
        let asked: f64 = self.kinds.values().map(|kind| kind.asked).sum();
        self.kinds.values().map(|kind| kind.in_aim).sum::<f64>() / asked
    }
}

/// A gate of the policy at each of `instances`.
pub fn share_gate(instances: usize) -> ModelGate {
    let policy = |_| ShareAdmission::new(AdmissionOptions::default());
    ModelGate::Policies((0..instances).map(policy).collect())
}

/// The point `millis` milliseconds after the clock's start.
pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_micros(millis * 1000)
}

/// A sure view of 240 slots, told at `millis`, at `load` requests a slot, with demands in
/// requests a second of 60 ms by priority.
pub fn room(millis: u64, load: f64, per_s: &[(u32, f64)]) -> ServiceSnapshot {
    let priority = |(priority, per_s): &(u32, f64)| {
        (*priority, PriorityLoad { arrivals_per_s: *per_s, work_us: 60_000.0 })
    };
    ServiceSnapshot {
        slots: SLOTS,
        running: load * SLOTS,
        priorities: per_s.iter().map(priority).collect(),
        latency_target_ms: AIM_MS,
        reported_at: at(millis),
        is_reliable: true,
        fleet_clock_ms: millis as u32,
        ..ServiceSnapshot::default()
    }
}

/// A policy that has seen one view.
pub fn planned(room: &ServiceSnapshot) -> ShareAdmission {
    let mut policy = ShareAdmission::new(AdmissionOptions::default());
    policy.update(room.reported_at, room);
    policy
}

/// The caller with that number.
pub fn caller(number: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0000 + number)
}

/// What becomes of a caller's opening.
pub fn verdict(
    policy: &ShareAdmission,
    millis: u64,
    priority: u32,
    number: u32,
) -> AdmissionDecision {
    policy.admit(at(millis), &FlowOpening { priority, caller: caller(number) })
}

/// Part of 4,000 callers whose opening is admitted.
pub fn admitted_part(policy: &ShareAdmission, millis: u64, priority: u32) -> f64 {
    let is_admitted =
        |number: &u32| verdict(policy, millis, priority, *number) == AdmissionDecision::Admitted;
    (0..4000).filter(is_admitted).count() as f64 / 4000.0
}

/// A sample of accounts, each with the openings that it stands for.
fn sample_of(openings: &mut Vec<u32>) -> Vec<(u32, u32)> {
    let one_in = openings.len().div_ceil(SAMPLES).max(1);
    openings.drain(..).step_by(one_in).map(|account| (account, one_in as u32)).collect()
}

/// A draw from the standard normal distribution.
fn normal(random: &mut StdRng) -> f64 {
    let (first, second): (f64, f64) = (random.random(), random.random());
    (-2.0 * (1.0 - first).ln()).sqrt() * (std::f64::consts::TAU * second).cos()
}
