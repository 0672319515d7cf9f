//! How soon an evacuation takes effect and ends at all instances while other parts fail.
//!
//! Operators evacuate a data centre of a fleet of up to some hundreds of instances while the store,
//! links and instances fail.

mod common;

use common::{StoreState, VirtualFleet, settled_fleet};
use foxledge_flows::rows::evacuation_key;

/// Time within which an acknowledged evacuation must be in force, in milliseconds.
const BOUND_MS: u64 = 5_000;
const CENTRE: &str = "centre-0";
const SIZES: [&[usize]; 4] = [&[3, 2, 2], &[18, 20, 17, 18], &[75, 75, 75, 75], &[146, 146, 145]];

fn evacuate(fleet: &mut VirtualFleet) {
    fleet.store.evacuate(CENTRE);
    fleet.answer_watches();
}

fn take_back(fleet: &mut VirtualFleet) {
    fleet.store.end_evacuation(CENTRE);
    fleet.answer_watches();
}

/// Returns whether all running instances know the evacuation, or none does.
fn all_hold(fleet: &VirtualFleet, is_evacuated: bool) -> bool {
    let key = evacuation_key(CENTRE);
    fleet.members().all(|member| member.list().contains(&key) == is_evacuated)
}

fn assert_soon(fleet: &mut VirtualFleet, is_evacuated: bool, case: &str) {
    let took = fleet.run_until(BOUND_MS, |fleet| all_hold(fleet, is_evacuated));
    assert!(took.is_some(), "{case}: not within {BOUND_MS} ms");
}

#[test]
fn in_force_at_each_size() {
    for counts in SIZES {
        let mut fleet = settled_fleet(counts, 1);
        evacuate(&mut fleet);
        assert_soon(&mut fleet, true, &format!("{counts:?}"));
        take_back(&mut fleet);
        assert_soon(&mut fleet, false, &format!("{counts:?}, taken back"));
    }
}

// Guards against instances that go on sending new flows to an evacuated data centre because the
// store refuses them. It refuses a third of them, or doesn't answer them, from before the
// evacuation.
#[test]
fn some_turned_away() {
    for state in [StoreState::Refusing, StoreState::Unresponsive] {
        let mut fleet = settled_fleet(SIZES[1], 2);
        for member in (0..fleet.instances.len()).step_by(3) {
            fleet.store_state.insert(member, state);
        }
        evacuate(&mut fleet);
        assert_soon(&mut fleet, true, &format!("{state:?}"));
    }
}

// Guards against starting instances that send new flows to an evacuated data centre. They use
// possibly stale reads of the store, and the store has compacted its history.
#[test]
fn starts_know() {
    let mut fleet = settled_fleet(SIZES[1], 3);
    evacuate(&mut fleet);
    fleet.store.compact();
    for member in (0..fleet.instances.len()).step_by(2) {
        fleet.kill(member);
        fleet.start(member);
    }
    assert_soon(&mut fleet, true, "half started anew");
    for member in 0..fleet.instances.len() {
        fleet.kill(member);
    }
    for member in 0..fleet.instances.len() {
        fleet.start(member);
    }
    fleet.run(2_000);
    assert!(all_hold(&fleet, true), "all started anew");
}

// Guards against an evacuation that ends in only a part of the fleet. The data centre is
// partitioned from the others when the evacuation ends; each part reads the store.
#[test]
fn taken_back_in_a_cut() {
    let mut fleet = settled_fleet(&[6, 6, 6], 4);
    evacuate(&mut fleet);
    assert_soon(&mut fleet, true, "before the cut");
    for (from, to) in (0..18).flat_map(|from| (0..18).map(move |to| (from, to))) {
        if (from < 6) != (to < 6) {
            fleet.cut_links.insert((from, to));
        }
    }
    take_back(&mut fleet);
    assert_soon(&mut fleet, false, "in the cut");
    evacuate(&mut fleet);
    assert_soon(&mut fleet, true, "again, in the cut");
    fleet.cut_links.clear();
    fleet.run(3_000);
    assert!(all_hold(&fleet, true), "after the cut");
}

// Guards against an instance that keeps an evacuation because it missed the end. It is paused while
// the evacuation ends and the store compacts its history.
#[test]
fn sleeper_learns_end() {
    let mut fleet = settled_fleet(&[6, 6], 5);
    evacuate(&mut fleet);
    assert_soon(&mut fleet, true, "before");
    fleet.instances[3].paused_until_us = fleet.now_us + 4_000_000;
    take_back(&mut fleet);
    fleet.store.compact();
    fleet.run(4_000);
    assert_soon(&mut fleet, false, "after the sleep");
}

// Two evacuations begin and end in alternation; the last state of each must be known everywhere.
#[test]
fn by_turns() {
    let mut fleet = settled_fleet(SIZES[1], 6);
    for turn in 0..6 {
        match turn % 2 {
            0 => fleet.store.evacuate("centre-1"),
            _ => fleet.store.end_evacuation("centre-1"),
        }
        match turn % 3 {
            0 => evacuate(&mut fleet),
            _ => take_back(&mut fleet),
        }
        fleet.run(150);
    }
    fleet.run(BOUND_MS);
    let key = evacuation_key("centre-1");
    assert!(all_hold(&fleet, false));
    assert!(fleet.members().all(|member| !member.list().contains(&key)));
}
