//! Many instances that plan from views which differ a bit and are late.

mod common;

use std::collections::VecDeque;

use common::at_ms;
use foxledge_core::names::CentreName;
use foxledge_load::{CentreCapacity, OverflowPlan};
use rand::{Rng, SeedableRng, rngs::StdRng};

const INSTANCES: usize = 40;
const SLOTS: f64 = 60.0;
/// Steps of 50 ms by which views are late.
const MOST_LATE: usize = 6;

/// `FakeFleet` is four data centres of equal slots, whose instances go by late and noisy views.
struct FakeFleet {
    plans: Vec<Vec<OverflowPlan>>,
    /// Demand by data centre, the newest first.
    past: VecDeque<[f64; 4]>,
    rng: StdRng,
    millis: u64,
}

fn name(index: usize) -> CentreName {
    CentreName::new(["east", "north", "south", "west"][index])
}

impl FakeFleet {
    fn new(seed: u64) -> FakeFleet {
        let plans = (0..4).map(|centre| vec![OverflowPlan::new(name(centre)); INSTANCES]).collect();
        let past = VecDeque::new();
        FakeFleet { plans, past, rng: StdRng::seed_from_u64(seed), millis: 0 }
    }

    /// Requests a slot that arrive at each data centre after a step of 50 ms.
    fn step(&mut self, demand: [f64; 4]) -> [f64; 4] {
        self.past.push_front(demand);
        self.past.truncate(MOST_LATE);
        let mut load = [0.0; 4];
        for centre in 0..4 {
            for index in 0..INSTANCES {
                let rooms = self.rooms();
                let plan = &mut self.plans[centre][index];
                plan.update(at_ms(self.millis), &rooms);
                let flows = demand[centre] / INSTANCES as f64 / SLOTS;
                for (taker, load) in load.iter_mut().enumerate() {
                    *load += flows * plan.shares().get(&name(taker)).copied().unwrap_or_default();
                }
                load[centre] += flows * (1.0 - plan.shares().values().sum::<f64>());
            }
        }
        self.millis += 50;
        load
    }

    /// The loads of the last of `count` steps.
    fn steps(&mut self, count: u32, demand: [f64; 4]) -> [f64; 4] {
        (1..count).for_each(|_| {
            self.step(demand);
        });
        self.step(demand)
    }

    /// Rooms as one instance sees them: each demand is late by up to 300 ms and off by up to 10%.
    fn rooms(&mut self) -> Vec<CentreCapacity> {
        (0..4)
            .map(|centre| {
                let late = self.rng.random_range(0..self.past.len());
                let demand = self.past[late][centre] * self.rng.random_range(0.9..1.1);
                CentreCapacity { data_centre: name(centre), slots: SLOTS, demand }
            })
            .collect()
    }
}

const CALM: [f64; 4] = [22.0, 22.0, 22.0, 22.0];
const BURST: [f64; 4] = [70.0, 22.0, 22.0, 22.0];

// Guards against a herd: all instances finding the same room and filling it at once.
#[test]
fn takers_are_not_flooded() {
    for seed in 0..5 {
        let mut fleet = FakeFleet::new(seed);
        for step in 0..200 {
            let load = fleet.step(if step < 20 { CALM } else { BURST });
            for taker in &load[1..] {
                assert!(*taker < 0.6, "seed {seed}, step {step}: {load:?}");
            }
            if step > 36 {
                assert!(load[0] < 0.85, "seed {seed}, step {step}: {load:?}");
            }
        }
    }
}

// Guards against oscillation of the whole fleet when demand is constant and views are late.
#[test]
fn constant_demand_is_steady() {
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

// Guards against overload of a data centre by flows that still come after its own burst began.
#[test]
fn second_burst_turns_flows_back() {
    let mut fleet = FakeFleet::new(4);
    fleet.steps(40, BURST);
    let load = fleet.steps(20, [22.0, 70.0, 22.0, 22.0]);
    assert!(load[1] < 0.85 && load[0] < 0.6, "{load:?}");
    let load = fleet.steps(20, CALM);
    assert!(load.iter().all(|load| (load - 22.0 / 60.0).abs() < 1e-3), "{load:?}");
}
