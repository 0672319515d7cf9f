//! Many instances that plan overflow from delayed and slightly different views.

mod common;

use std::collections::VecDeque;

use common::at_ms;
use foxledge_core::names::CentreName;
use foxledge_load::{CentreCapacity, OverflowPlan};
use rand::{Rng, SeedableRng, rngs::StdRng};

const INSTANCES: usize = 40;
const SLOTS: f64 = 60.0;
/// The maximum delay of views, in steps of 50 ms.
const MAX_DELAY_STEPS: usize = 6;

/// Four data centres with equal slots, whose instances plan from delayed and noisy views.
struct FakeFleet {
    plans: Vec<Vec<OverflowPlan>>,
    /// Past demand by data centre, the newest first.
    past_demands: VecDeque<[f64; 4]>,
    rng: StdRng,
    millis: u64,
}

fn name(index: usize) -> CentreName {
    CentreName::new(["east", "north", "south", "west"][index])
}

impl FakeFleet {
    fn new(seed: u64) -> FakeFleet {
        let plans = (0..4).map(|centre| vec![OverflowPlan::new(name(centre)); INSTANCES]).collect();
        let past_demands = VecDeque::new();
        FakeFleet { plans, past_demands, rng: StdRng::seed_from_u64(seed), millis: 0 }
    }

    /// Runs a step of 50 ms and returns the requests per slot that arrive at each data centre.
    fn step(&mut self, demand: [f64; 4]) -> [f64; 4] {
        self.past_demands.push_front(demand);
        self.past_demands.truncate(MAX_DELAY_STEPS);
        let mut load = [0.0; 4];
        for centre in 0..4 {
            for index in 0..INSTANCES {
                let capacities = self.capacities();
                let plan = &mut self.plans[centre][index];
                plan.update(at_ms(self.millis), &capacities);
                let flows = demand[centre] / INSTANCES as f64 / SLOTS;
                for (receiver, load) in load.iter_mut().enumerate() {
                    *load +=
                        flows * plan.shares().get(&name(receiver)).copied().unwrap_or_default();
                }
                load[centre] += flows * (1.0 - plan.shares().values().sum::<f64>());
            }
        }
        self.millis += 50;
        load
    }

    /// Runs `count` steps and returns the loads of the last one.
    fn steps(&mut self, count: u32, demand: [f64; 4]) -> [f64; 4] {
        (1..count).for_each(|_| {
            self.step(demand);
        });
        self.step(demand)
    }

    /// The capacities as seen by one instance: each demand is delayed by up to 300 ms and wrong by
    /// up to 10%.
    fn capacities(&mut self) -> Vec<CentreCapacity> {
        (0..4)
            .map(|centre| {
                let delay = self.rng.random_range(0..self.past_demands.len());
                let demand = self.past_demands[delay][centre] * self.rng.random_range(0.9..1.1);
                CentreCapacity { data_centre: name(centre), slots: SLOTS, demand }
            })
            .collect()
    }
}

const USUAL: [f64; 4] = [22.0, 22.0, 22.0, 22.0];
const BURST: [f64; 4] = [70.0, 22.0, 22.0, 22.0];

// Guards against a thundering herd: all instances see the same free slots and fill them at once.
#[test]
fn does_not_overload_receiving_centres() {
    for seed in 0..5 {
        let mut fleet = FakeFleet::new(seed);
        for step in 0..200 {
            let load = fleet.step(if step < 20 { USUAL } else { BURST });
            for receiver in &load[1..] {
                assert!(*receiver < 0.6, "seed {seed}, step {step}: {load:?}");
            }
            if step > 36 {
                assert!(load[0] < 0.85, "seed {seed}, step {step}: {load:?}");
            }
        }
    }
}

// Guards against oscillation of the whole fleet with constant demand and delayed views.
#[test]
fn keeps_loads_steady_at_constant_demand() {
    for (seed, demand) in [(1, BURST), (2, [120.0, 90.0, 50.0, 46.0]), (3, [50.0; 4])] {
        let mut fleet = FakeFleet::new(seed);
        fleet.steps(40, demand);
        let loads: Vec<[f64; 4]> = (0..200).map(|_| fleet.step(demand)).collect();
        for centre in 0..4 {
            let lowest = loads.iter().map(|load| load[centre]).fold(f64::MAX, f64::min);
            let highest = loads.iter().map(|load| load[centre]).fold(0.0, f64::max);
            println!("seed {seed}, {}: {lowest:.3} to {highest:.3}", name(centre));
            assert!(
                highest - lowest < 0.05,
                "seed {seed}, {}: {lowest} to {highest}",
                name(centre)
            );
        }
    }
}

// Guards against overload of a data centre whose own burst begins while it still receives flows of
// others.
#[test]
fn reverses_overflow_when_the_receiver_has_a_burst() {
    let mut fleet = FakeFleet::new(4);
    fleet.steps(40, BURST);
    let load = fleet.steps(20, [22.0, 70.0, 22.0, 22.0]);
    assert!(load[1] < 0.85 && load[0] < 0.6, "{load:?}");
    let load = fleet.steps(20, USUAL);
    assert!(load.iter().all(|load| (load - 22.0 / 60.0).abs() < 1e-3), "{load:?}");
}
