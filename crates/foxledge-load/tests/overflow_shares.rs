//! Share of new flows that leaves a data centre, and how it is divided among the others.

mod common;

use std::collections::BTreeMap;

use common::{assert_near, at_ms};
use foxledge_core::names::CentreName;
use foxledge_load::{CentreCapacity, OverflowPlan};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn name(text: &str) -> CentreName {
    CentreName::new(text)
}

fn capacity(centre: &str, slots: f64, demand: f64) -> CentreCapacity {
    CentreCapacity { data_centre: name(centre), slots, demand }
}

/// The plan of a data centre once its shares have settled.
fn settled(local: &str, capacities: &[CentreCapacity]) -> OverflowPlan {
    let mut plan = OverflowPlan::new(name(local));
    for step in 0..60 {
        plan.update(at_ms(step * 50), capacities);
    }
    plan
}

fn share(plan: &OverflowPlan, centre: &str) -> f64 {
    plan.shares().get(centre).copied().unwrap_or_default()
}

fn total(plan: &OverflowPlan) -> f64 {
    plan.shares().values().sum()
}

/// Requests per slot that each data centre serves if all follow their plans.
fn served(capacities: &[CentreCapacity]) -> BTreeMap<CentreName, f64> {
    let mut served: BTreeMap<CentreName, f64> = BTreeMap::new();
    for local in capacities {
        let plan = settled(&local.data_centre, capacities);
        *served.entry(local.data_centre.clone()).or_default() +=
            local.demand * (1.0 - total(&plan));
        for (centre, share) in plan.shares() {
            *served.entry(centre.clone()).or_default() += local.demand * share;
        }
    }
    for capacity in capacities {
        *served.get_mut(&capacity.data_centre).unwrap() /= capacity.slots;
    }
    served
}

// Guards against flows that leave a data centre with free slots and gain nothing but latency.
#[test]
fn keeps_flows_local_below_the_level() {
    let capacities = [capacity("north", 60.0, 48.0), capacity("south", 60.0, 5.0)];
    assert!(settled("north", &capacities).shares().is_empty());
    assert_eq!(settled("north", &capacities).centre_for(0), None);
}

// Guards against sending away more or less than the excess.
#[test]
fn sends_away_exactly_the_excess() {
    let capacities = [
        capacity("north", 60.0, 72.0),
        capacity("south", 60.0, 18.0),
        capacity("west", 60.0, 18.0),
    ];
    let plan = settled("north", &capacities);
    assert_near(total(&plan), (72.0 - 48.0) / 72.0);
    assert!(settled("south", &capacities).shares().is_empty());
}

// Guards against filling one data centre while another has more spare slots.
#[test]
fn divides_excess_by_spare_slots() {
    let capacities = [
        capacity("north", 60.0, 72.0),
        capacity("south", 60.0, 38.0),
        capacity("west", 60.0, 18.0),
    ];
    let plan = settled("north", &capacities);
    assert_near(share(&plan, "west") / share(&plan, "south"), 3.0);
}

// Guards against two data centres with simultaneous bursts filling the same slots twice.
#[test]
fn divides_spare_slots_between_two_bursts() {
    let capacities = [
        capacity("north", 60.0, 90.0),
        capacity("east", 60.0, 70.0),
        capacity("south", 60.0, 20.0),
        capacity("west", 100.0, 10.0),
    ];
    for (centre, load) in served(&capacities) {
        assert!(load <= 0.8 + 1e-6, "{centre}: {load}");
    }
}

// Guards against flows sent to a data centre without slots, such as an evacuated one.
#[test]
fn sends_no_flows_to_centre_without_slots() {
    let capacities =
        [capacity("north", 60.0, 72.0), capacity("south", 0.0, 0.0), capacity("west", 60.0, 18.0)];
    let plan = settled("north", &capacities);
    assert!(!plan.shares().contains_key("south"));
    assert_near(share(&plan, "west"), (72.0 - 48.0) / 72.0);
}

// Guards against an evacuated data centre receiving flows until its share has decayed.
#[test]
fn stops_flows_to_evacuated_centre_immediately() {
    let mut capacities = [capacity("north", 60.0, 72.0), capacity("south", 60.0, 18.0)];
    let mut plan = settled("north", &capacities);
    assert!(share(&plan, "south") > 0.3);
    capacities[1].slots = 0.0;
    plan.update(at_ms(60 * 50), &capacities);
    assert!(plan.shares().is_empty());
}

// Guards against the callers of an evacuated data centre being served in it.
#[test]
fn sends_all_flows_away_during_local_evacuation() {
    let capacities =
        [capacity("north", 0.0, 20.0), capacity("south", 60.0, 18.0), capacity("west", 60.0, 38.0)];
    let plan = settled("north", &capacities);
    assert_near(total(&plan), 1.0);
    assert!(plan.centre_for(u64::MAX).is_some());
}

// Guards against a shortage of the whole fleet that affects one data centre more than others.
#[test]
fn spreads_fleet_shortage_evenly() {
    let capacities = [
        capacity("north", 60.0, 200.0),
        capacity("south", 40.0, 60.0),
        capacity("east", 100.0, 90.0),
        capacity("west", 40.0, 40.0),
    ];
    for (centre, load) in served(&capacities) {
        assert!((load - 390.0 / 240.0).abs() < 1e-6, "{centre}: {load}");
    }
}

// Guards against flows exchanged between equally full data centres.
#[test]
fn keeps_flows_local_in_equal_shortage() {
    let capacities = [capacity("north", 60.0, 200.0), capacity("south", 60.0, 200.0)];
    assert_near(total(&settled("north", &capacities)), 0.0);
}

// Guards against a division by zero, or NaN shares, for missing or invalid capacities.
#[test]
fn keeps_flows_local_for_invalid_capacities() {
    let invalid: [&[CentreCapacity]; 5] = [
        &[],
        &[capacity("south", 60.0, 10.0)],
        &[capacity("north", 0.0, 10.0)],
        &[capacity("north", 0.0, 10.0), capacity("south", 0.0, 10.0)],
        &[capacity("north", f64::NAN, f64::INFINITY), capacity("south", 60.0, f64::NAN)],
    ];
    for capacities in invalid {
        assert_near(total(&settled("north", capacities)), 0.0);
    }
}

// Guards against hashes that are not distributed in proportion to the shares.
#[test]
fn distributes_hashes_by_shares() {
    let capacities = [
        capacity("north", 60.0, 72.0),
        capacity("south", 60.0, 38.0),
        capacity("west", 60.0, 18.0),
    ];
    let plan = settled("north", &capacities);
    let mut rng = StdRng::seed_from_u64(7);
    let mut drawn: BTreeMap<Option<CentreName>, f64> = BTreeMap::new();
    for _ in 0..100_000 {
        *drawn.entry(plan.centre_for(rng.random()).cloned()).or_default() += 1.0 / 100_000.0;
    }
    assert!((drawn[&None] - (1.0 - total(&plan))).abs() < 0.005);
    for (centre, share) in plan.shares() {
        assert!((drawn[&Some(centre.clone())] - share).abs() < 0.005, "{centre}");
    }
}

// Guards against wrong amounts of overflow for other proportions of slots and demand.
#[test]
fn levels_random_capacities() {
    let mut rng = StdRng::seed_from_u64(11);
    for _ in 0..300 {
        let count = rng.random_range(2..9);
        let capacities: Vec<CentreCapacity> = (0..count)
            .map(|index| {
                let slots = rng.random_range(1.0..5000.0);
                capacity(&format!("dc{index}"), slots, slots * rng.random_range(0.0..4.0))
            })
            .collect();
        let slots: f64 = capacities.iter().map(|capacity| capacity.slots).sum();
        let demand: f64 = capacities.iter().map(|capacity| capacity.demand).sum();
        let level = (demand / slots).max(0.8);
        for (centre, load) in served(&capacities) {
            assert!(load <= level + 1e-6, "{centre}: {load} above {level} in {capacities:?}");
        }
    }
}
