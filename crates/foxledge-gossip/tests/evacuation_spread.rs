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

fn end_evacuation(fleet: &mut VirtualFleet) {
    fleet.store.end_evacuation(CENTRE);
    fleet.answer_watches();
}

/// Returns whether all running instances know the evacuation, or none does.
fn all_agree(fleet: &VirtualFleet, is_evacuated: bool) -> bool {
    let key = evacuation_key(CENTRE);
    fleet.members().all(|member| member.list().contains(&key) == is_evacuated)
}

fn assert_within_bound(fleet: &mut VirtualFleet, is_evacuated: bool, case: &str) {
    let elapsed = fleet.run_until(BOUND_MS, |fleet| all_agree(fleet, is_evacuated));
    assert!(elapsed.is_some(), "{case}: not known everywhere within {BOUND_MS} ms");
}

#[test]
fn evacuation_takes_effect_in_time_at_each_fleet_size() {
    for counts in SIZES {
        let mut fleet = settled_fleet(counts, 1);
        evacuate(&mut fleet);
        assert_within_bound(&mut fleet, true, &format!("{counts:?}"));
        end_evacuation(&mut fleet);
        assert_within_bound(&mut fleet, false, &format!("{counts:?}, ended"));
    }
}

// Guards against instances that go on sending new flows to an evacuated data centre because the
// store refuses them. It refuses a third of them, or doesn't answer them, from before the
// evacuation.
#[test]
fn evacuation_reaches_instances_that_the_store_refuses() {
    for state in [StoreState::Refusing, StoreState::Unresponsive] {
        let mut fleet = settled_fleet(SIZES[1], 2);
        for member in (0..fleet.instances.len()).step_by(3) {
            fleet.store_state.insert(member, state);
        }
        evacuate(&mut fleet);
        assert_within_bound(&mut fleet, true, &format!("{state:?}"));
    }
}

// Guards against starting instances that send new flows to an evacuated data centre. They use
// possibly stale reads of the store, and the store has compacted its history.
#[test]
fn starting_instances_learn_the_evacuation() {
    let mut fleet = settled_fleet(SIZES[1], 3);
    evacuate(&mut fleet);
    fleet.store.compact();
    for member in (0..fleet.instances.len()).step_by(2) {
        fleet.kill(member);
        fleet.start(member);
    }
    assert_within_bound(&mut fleet, true, "half of the instances restarted");
    for member in 0..fleet.instances.len() {
        fleet.kill(member);
    }
    for member in 0..fleet.instances.len() {
        fleet.start(member);
    }
    fleet.run(2_000);
    assert!(all_agree(&fleet, true), "all instances restarted");
}

// Guards against an evacuation that ends in only a part of the fleet. The data centre is
// partitioned from the others when the evacuation ends; each part reads the store.
#[test]
fn evacuation_ends_on_both_sides_of_a_partition() {
    let mut fleet = settled_fleet(&[6, 6, 6], 4);
    evacuate(&mut fleet);
    assert_within_bound(&mut fleet, true, "before the partition");
    for (from, to) in (0..18).flat_map(|from| (0..18).map(move |to| (from, to))) {
        if (from < 6) != (to < 6) {
            fleet.cut_links.insert((from, to));
        }
    }
    end_evacuation(&mut fleet);
    assert_within_bound(&mut fleet, false, "during the partition");
    evacuate(&mut fleet);
    assert_within_bound(&mut fleet, true, "again, during the partition");
    fleet.cut_links.clear();
    fleet.run(3_000);
    assert!(all_agree(&fleet, true), "after the partition");
}

// Guards against an instance that keeps an evacuation because it missed the end. It is paused while
// the evacuation ends and the store compacts its history.
#[test]
fn paused_instance_learns_the_end_of_an_evacuation() {
    let mut fleet = settled_fleet(&[6, 6], 5);
    evacuate(&mut fleet);
    assert_within_bound(&mut fleet, true, "before the pause");
    fleet.instances[3].paused_until_us = fleet.now_us + 4_000_000;
    end_evacuation(&mut fleet);
    fleet.store.compact();
    fleet.run(4_000);
    assert_within_bound(&mut fleet, false, "after the pause");
}

// Two evacuations begin and end in alternation; the last state of each must be known everywhere.
#[test]
fn alternating_evacuations_converge_to_the_last_state() {
    let mut fleet = settled_fleet(SIZES[1], 6);
    for turn in 0..6 {
        match turn % 2 {
            0 => fleet.store.evacuate("centre-1"),
            _ => fleet.store.end_evacuation("centre-1"),
        }
        match turn % 3 {
            0 => evacuate(&mut fleet),
            _ => end_evacuation(&mut fleet),
        }
        fleet.run(150);
    }
    fleet.run(BOUND_MS);
    let key = evacuation_key("centre-1");
    assert!(all_agree(&fleet, false));
    assert!(fleet.members().all(|member| !member.list().contains(&key)));
}
