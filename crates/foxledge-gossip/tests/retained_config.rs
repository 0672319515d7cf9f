//! The configuration that stays in force when the store is restored from an older backup.

mod common;

use std::collections::BTreeMap;

use common::{VirtualFleet, VirtualInstance, settled_fleet};
use foxledge_flows::rows::{LIMITS_KEY, RowValue};

/// Returns the rows in force at an instance, by key. Asserts that versions never decrease.
fn in_force(seat: &VirtualInstance) -> BTreeMap<String, RowValue> {
    let mut rows = BTreeMap::new();
    let mut newest = 0;
    for row in &seat.applied_rows {
        if let Some(RowValue::Limits(limits)) = &row.value {
            assert!(limits.version >= newest, "{} after {newest}", limits.version);
            newest = limits.version;
        }
        match &row.value {
            Some(RowValue::Removed(_)) | None => drop(rows.remove(&row.key)),
            Some(value) => drop(rows.insert(row.key.clone(), value.clone())),
        }
    }
    rows
}

fn version(rows: &BTreeMap<String, RowValue>) -> u64 {
    match &rows[LIMITS_KEY] {
        RowValue::Limits(limits) => limits.version,
        other => panic!("{other:?}"),
    }
}

fn routes(rows: &BTreeMap<String, RowValue>) -> usize {
    rows.keys().filter(|key| key.starts_with("route/")).count()
}

fn assert_in_force(fleet: &VirtualFleet, wanted: u64, count: usize) {
    for (index, seat) in fleet.instances.iter().enumerate() {
        let rows = in_force(seat);
        assert_eq!((version(&rows), routes(&rows)), (wanted, count), "member {index}");
    }
}

/// Publishes a version of the configuration with some routes.
fn publish(fleet: &mut VirtualFleet, version: u64, routes: usize) {
    fleet.store.publish(version, routes);
    fleet.answer_watches();
    fleet.run(2_500);
}

/// Returns a fleet whose store has lost versions 3 and 4. Version 4 has more routes than version 2,
/// and other ones.
fn restored_fleet(seed: u64) -> VirtualFleet {
    let mut fleet = settled_fleet(&[3, 2], seed);
    for (version, routes) in [(2, 6), (3, 9), (4, 12)] {
        publish(&mut fleet, version, routes);
    }
    assert_in_force(&fleet, 4, 12);
    fleet.store.restore(2);
    fleet.answer_watches();
    fleet.run(1_500);
    fleet
}

// Guards against a running instance that goes back to an older operators' list.
#[test]
fn older_list_held_off() {
    let mut fleet = restored_fleet(1);
    assert_in_force(&fleet, 4, 12);
    // The operator publishes the lost version again.
    publish(&mut fleet, 4, 12);
    assert_in_force(&fleet, 4, 12);
    publish(&mut fleet, 5, 7);
    assert_in_force(&fleet, 5, 7);
}

// Guards against an older list in a router that restarts while a newer one is retained.
#[test]
fn restarted_router_keeps_newer() {
    let fleet = restored_fleet(5);
    for member in fleet.members() {
        let rows: BTreeMap<_, _> = member
            .effective_rows()
            .into_iter()
            .filter(|row| !matches!(row.value, Some(RowValue::Removed(_))))
            .filter_map(|row| Some((row.key, row.value?)))
            .collect();
        assert_eq!((version(&rows), routes(&rows)), (4, 12));
        assert_eq!((member.effective_version(), member.effective_route_count()), (4, 12));
        assert!(member.is_retaining_config());
    }
}

// Guards against routes of the lost version that stay in force when a newer version is published.
#[test]
fn newer_list_replaces_held() {
    let mut fleet = restored_fleet(2);
    publish(&mut fleet, 5, 8);
    assert_in_force(&fleet, 5, 8);
}

// Guards against an older list from a store that is restored again while a newer one is retained.
#[test]
fn second_restore_held_off() {
    let mut fleet = restored_fleet(3);
    fleet.store.restore(1);
    fleet.answer_watches();
    fleet.run(1_500);
    assert_in_force(&fleet, 4, 12);
    publish(&mut fleet, 5, 3);
    assert_in_force(&fleet, 5, 3);
}

// Guards against instances that serve an older list than others because they started from the
// restored store.
#[test]
fn starters_take_held() {
    let mut fleet = restored_fleet(6);
    for index in [1, 4] {
        fleet.kill(index);
        fleet.instances[index].applied_rows.clear();
        fleet.start(index);
    }
    fleet.run(2_500);
    assert_in_force(&fleet, 4, 12);
    // Instances that pulled the retained configuration serve it to the next ones.
    for index in [0, 2, 3] {
        fleet.kill(index);
        fleet.instances[index].applied_rows.clear();
        fleet.start(index);
    }
    fleet.run(2_500);
    assert_in_force(&fleet, 4, 12);
    publish(&mut fleet, 5, 8);
    assert_in_force(&fleet, 5, 8);
}

// Guards against a retained configuration that never arrives completely because it takes many pages
// and some of them are lost.
#[test]
fn long_list_taken() {
    let mut fleet = settled_fleet(&[3, 2], 7);
    publish(&mut fleet, 2, 6);
    publish(&mut fleet, 3, 1_400);
    fleet.store.restore(1);
    fleet.answer_watches();
    fleet.run(1_500);
    fleet.loss_rate = 0.05;
    fleet.kill(1);
    fleet.instances[1].applied_rows.clear();
    fleet.start(1);
    fleet.run(6_000);
    assert_in_force(&fleet, 3, 1_400);
}

// Guards against instances that differ permanently because some started with the older list.
#[test]
fn starters_agree() {
    let mut fleet = restored_fleet(4);
    fleet.kill(1);
    fleet.instances[1].applied_rows.clear();
    fleet.start(1);
    fleet.run(2_000);
    publish(&mut fleet, 5, 8);
    assert_in_force(&fleet, 5, 8);
}
