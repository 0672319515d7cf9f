//! The configuration that stays in force when the store is restored from an older backup.

mod common;

use std::collections::BTreeMap;

use common::{VirtualFleet, VirtualInstance, settled_fleet};
use foxledge_flows::rows::{LIMITS_KEY, RowValue};

/// Returns the rows in force at an instance, by key. Asserts that versions never decrease.
fn effective_rows(instance: &VirtualInstance) -> BTreeMap<String, RowValue> {
    let mut rows = BTreeMap::new();
    let mut newest = 0;
    for row in &instance.applied_rows {
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

fn route_count(rows: &BTreeMap<String, RowValue>) -> usize {
    rows.keys().filter(|key| key.starts_with("route/")).count()
}

fn assert_effective(fleet: &VirtualFleet, expected: u64, count: usize) {
    for (index, instance) in fleet.instances.iter().enumerate() {
        let rows = effective_rows(instance);
        assert_eq!((version(&rows), route_count(&rows)), (expected, count), "member {index}");
    }
}

/// Publishes a version of the configuration with some routes.
fn publish(fleet: &mut VirtualFleet, version: u64, route_count: usize) {
    fleet.store.publish(version, route_count);
    fleet.answer_watches();
    fleet.run(2_500);
}

/// Returns a fleet whose store has lost versions 3 and 4. Version 4 has more routes than version 2,
/// and other ones.
fn restored_fleet(seed: u64) -> VirtualFleet {
    let mut fleet = settled_fleet(&[3, 2], seed);
    for (version, route_count) in [(2, 6), (3, 9), (4, 12)] {
        publish(&mut fleet, version, route_count);
    }
    assert_effective(&fleet, 4, 12);
    fleet.store.restore(2);
    fleet.answer_watches();
    fleet.run(1_500);
    fleet
}

// Guards against a running instance that goes back to an older operators' list.
#[test]
fn older_config_of_a_restored_store_is_not_applied() {
    let mut fleet = restored_fleet(1);
    assert_effective(&fleet, 4, 12);
    // The operator publishes the lost version again.
    publish(&mut fleet, 4, 12);
    assert_effective(&fleet, 4, 12);
    publish(&mut fleet, 5, 7);
    assert_effective(&fleet, 5, 7);
}

// Guards against an older list in a router that restarts while a newer one is retained.
#[test]
fn effective_rows_contain_the_retained_config() {
    let fleet = restored_fleet(5);
    for member in fleet.members() {
        let rows: BTreeMap<_, _> = member
            .effective_rows()
            .into_iter()
            .filter(|row| !matches!(row.value, Some(RowValue::Removed(_))))
            .filter_map(|row| Some((row.key, row.value?)))
            .collect();
        assert_eq!((version(&rows), route_count(&rows)), (4, 12));
        assert_eq!((member.effective_version(), member.effective_route_count()), (4, 12));
        assert!(member.is_retaining_config());
    }
}

// Guards against routes of the lost version that stay in force when a newer version is published.
#[test]
fn newer_config_replaces_the_retained_one() {
    let mut fleet = restored_fleet(2);
    publish(&mut fleet, 5, 8);
    assert_effective(&fleet, 5, 8);
}

// Guards against an older list from a store that is restored again while a newer one is retained.
#[test]
fn config_is_retained_across_a_second_restore() {
    let mut fleet = restored_fleet(3);
    fleet.store.restore(1);
    fleet.answer_watches();
    fleet.run(1_500);
    assert_effective(&fleet, 4, 12);
    publish(&mut fleet, 5, 3);
    assert_effective(&fleet, 5, 3);
}

// Guards against instances that serve an older list than others because they started from the
// restored store.
#[test]
fn starting_instances_pull_the_retained_config() {
    let mut fleet = restored_fleet(6);
    for index in [1, 4] {
        fleet.kill(index);
        fleet.instances[index].applied_rows.clear();
        fleet.start(index);
    }
    fleet.run(2_500);
    assert_effective(&fleet, 4, 12);
    // Instances that pulled the retained configuration serve it to the next ones.
    for index in [0, 2, 3] {
        fleet.kill(index);
        fleet.instances[index].applied_rows.clear();
        fleet.start(index);
    }
    fleet.run(2_500);
    assert_effective(&fleet, 4, 12);
    publish(&mut fleet, 5, 8);
    assert_effective(&fleet, 5, 8);
}

// Guards against a retained configuration that never arrives completely because it takes many pages
// and some of them are lost.
#[test]
fn long_retained_config_is_pulled_over_lossy_links() {
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
    assert_effective(&fleet, 3, 1_400);
}

// Guards against instances that differ permanently because some started with the older list.
#[test]
fn instances_started_on_the_older_config_converge() {
    let mut fleet = restored_fleet(4);
    fleet.kill(1);
    fleet.instances[1].applied_rows.clear();
    fleet.start(1);
    fleet.run(2_000);
    publish(&mut fleet, 5, 8);
    assert_effective(&fleet, 5, 8);
}
