//! Which share of new flows leaves a data centre, and where to.

mod common;

use std::collections::BTreeMap;

use common::{assert_near, at_ms};
use foxledge_core::names::CentreName;
use foxledge_load::{CentreCapacity, OverflowPlan};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn name(text: &str) -> CentreName {
    CentreName::new(text)
}

fn room(centre: &str, slots: f64, demand: f64) -> CentreCapacity {
    CentreCapacity { data_centre: name(centre), slots, demand }
}

/// The shares of a data centre's plan when they have settled.
fn settled(own: &str, rooms: &[CentreCapacity]) -> OverflowPlan {
    let mut plan = OverflowPlan::new(name(own));
    for step in 0..60 {
        plan.update(at_ms(step * 50), rooms);
    }
    plan
}

fn share(plan: &OverflowPlan, centre: &str) -> f64 {
    plan.shares().get(centre).copied().unwrap_or_default()
}

fn total(plan: &OverflowPlan) -> f64 {
    plan.shares().values().sum()
}

/// Requests a slot that each data centre serves when all follow their plans.
fn served(rooms: &[CentreCapacity]) -> BTreeMap<CentreName, f64> {
    let mut served: BTreeMap<CentreName, f64> = BTreeMap::new();
    for near in rooms {
        let plan = settled(&near.data_centre, rooms);
        *served.entry(near.data_centre.clone()).or_default() += near.demand * (1.0 - total(&plan));
        for (centre, share) in plan.shares() {
            *served.entry(centre.clone()).or_default() += near.demand * share;
        }
    }
    for room in rooms {
        *served.get_mut(&room.data_centre).unwrap() /= room.slots;
    }
    served
}

// Guards against flows leaving a data centre that has room: far latency for nothing.
#[test]
fn calm_load_stays_near() {
    let rooms = [room("north", 60.0, 48.0), room("south", 60.0, 5.0)];
    assert!(settled("north", &rooms).shares().is_empty());
    assert_eq!(settled("north", &rooms).centre_for(0), None);
}

// Guards against sending away less than the excess, or more.
#[test]
fn excess_leaves_and_no_more() {
    let rooms = [room("north", 60.0, 72.0), room("south", 60.0, 18.0), room("west", 60.0, 18.0)];
    let plan = settled("north", &rooms);
    assert_near(total(&plan), (72.0 - 48.0) / 72.0);
    assert!(settled("south", &rooms).shares().is_empty());
}

// Guards against filling one data centre while another has more room.
#[test]
fn room_decides_proportions() {
    let rooms = [room("north", 60.0, 72.0), room("south", 60.0, 38.0), room("west", 60.0, 18.0)];
    let plan = settled("north", &rooms);
    assert_near(share(&plan, "west") / share(&plan, "south"), 3.0);
}

// Guards against two data centres with a burst each filling the same room twice.
#[test]
fn bursts_share_the_room() {
    let rooms = [
        room("north", 60.0, 90.0),
        room("east", 60.0, 70.0),
        room("south", 60.0, 20.0),
        room("west", 100.0, 10.0),
    ];
    for (centre, load) in served(&rooms) {
        assert!(load <= 0.8 + 1e-6, "{centre}: {load}");
    }
}

// Guards against flows going where there are no slots, as in an evacuated data centre.
#[test]
fn no_slots_no_flows() {
    let rooms = [room("north", 60.0, 72.0), room("south", 0.0, 0.0), room("west", 60.0, 18.0)];
    let plan = settled("north", &rooms);
    assert!(!plan.shares().contains_key("south"));
    assert_near(share(&plan, "west"), (72.0 - 48.0) / 72.0);
}

// Guards against an evacuated data centre getting flows until its share has decayed.
#[test]
fn evacuation_ends_flows_at_once() {
    let mut rooms = [room("north", 60.0, 72.0), room("south", 60.0, 18.0)];
    let mut plan = settled("north", &rooms);
    assert!(share(&plan, "south") > 0.3);
    rooms[1].slots = 0.0;
    plan.update(at_ms(60 * 50), &rooms);
    assert!(plan.shares().is_empty());
}

// Guards against the callers of an evacuated data centre being kept in it.
#[test]
fn own_evacuation_sends_all() {
    let rooms = [room("north", 0.0, 20.0), room("south", 60.0, 18.0), room("west", 60.0, 38.0)];
    let plan = settled("north", &rooms);
    assert_near(total(&plan), 1.0);
    assert!(plan.centre_for(u64::MAX).is_some());
}

// Guards against a shortage of all that hits one data centre harder than others.
#[test]
fn shortage_is_spread_evenly() {
    let rooms = [
        room("north", 60.0, 200.0),
        room("south", 40.0, 60.0),
        room("east", 100.0, 90.0),
        room("west", 40.0, 40.0),
    ];
    for (centre, load) in served(&rooms) {
        assert!((load - 390.0 / 240.0).abs() < 1e-6, "{centre}: {load}");
    }
}

// Guards against flows moving around when all data centres are equally full.
#[test]
fn equal_shortage_stays_near() {
    let rooms = [room("north", 60.0, 200.0), room("south", 60.0, 200.0)];
    assert_near(total(&settled("north", &rooms)), 0.0);
}

// Guards against a division by zero, or NaN shares, when nothing is known or sensible.
#[test]
fn senseless_rooms_stay_near() {
    let none: [&[CentreCapacity]; 5] = [
        &[],
        &[room("south", 60.0, 10.0)],
        &[room("north", 0.0, 10.0)],
        &[room("north", 0.0, 10.0), room("south", 0.0, 10.0)],
        &[room("north", f64::NAN, f64::INFINITY), room("south", 60.0, f64::NAN)],
    ];
    for rooms in none {
        assert_near(total(&settled("north", rooms)), 0.0);
    }
}

// Guards against draws that don't follow the shares.
#[test]
fn draws_follow_shares() {
    let rooms = [room("north", 60.0, 72.0), room("south", 60.0, 38.0), room("west", 60.0, 18.0)];
    let plan = settled("north", &rooms);
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

// Guards against sending too much or too little in other proportions of slots and demand.
#[test]
fn random_rooms_level_out() {
    let mut rng = StdRng::seed_from_u64(11);
    for _ in 0..300 {
        let count = rng.random_range(2..9);
        let rooms: Vec<CentreCapacity> = (0..count)
            .map(|index| {
                let slots = rng.random_range(1.0..5000.0);
                room(&format!("dc{index}"), slots, slots * rng.random_range(0.0..4.0))
            })
            .collect();
        let slots: f64 = rooms.iter().map(|room| room.slots).sum();
        let demand: f64 = rooms.iter().map(|room| room.demand).sum();
        let level = (demand / slots).max(0.8);
        for (centre, load) in served(&rooms) {
            assert!(load <= level + 1e-6, "{centre}: {load} above {level} in {rooms:?}");
        }
    }
}
