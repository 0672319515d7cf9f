//! A store that is restored from a backup.

mod common;

use std::collections::BTreeMap;

use common::{StoreState, VirtualFleet, settle, settled_fleet};
use foxledge_flows::rows::{LIMITS_KEY, RowValue, backend_key};
use foxledge_gossip::FleetMember;

/// Time within which a change must be in force, in milliseconds.
const APPLY_TIMEOUT_MS: u64 = 3_000;
/// Duration of the store's outage, in milliseconds.
const OUTAGE_MS: u64 = 2_600;

/// Creates a fleet whose store has lost the newest three versions and serves again.
fn restored_fleet(counts: &[usize], seed: u64) -> VirtualFleet {
    let mut fleet = settled_fleet(counts, seed);
    for version in 2..=4 {
        fleet.store.publish(version, 10 + version as usize);
        fleet.answer_watches();
        fleet.run(2_000);
    }
    let members = 0..fleet.instances.len();
    fleet.store_state = members.map(|member| (member, StoreState::Refusing)).collect();
    fleet.answer_watches();
    fleet.run(OUTAGE_MS);
    fleet.store.restore(3);
    fleet.store_state.clear();
    fleet
}

fn has_version(member: &FleetMember, version: u64) -> bool {
    member.list().version() == version
}

/// Returns the rows of a list by key, without removed ones.
fn present_rows(member: &FleetMember) -> BTreeMap<String, RowValue> {
    let rows = member.list().rows();
    let rows = rows.filter_map(|row| Some((row.key.clone(), row.value.clone()?)));
    rows.filter(|(_, value)| !matches!(value, RowValue::Removed(_))).collect()
}

// A new version must be applied although its revision was given out before the restore.
#[test]
fn version_with_reused_revision_is_applied() {
    for (counts, seed) in [(vec![7], 1), (vec![3, 2, 2], 2), (vec![30, 30], 3)] {
        let mut fleet = restored_fleet(&counts, seed);
        fleet.run(500);
        fleet.store.publish(5, 12);
        fleet.answer_watches();
        let all_have_version =
            |fleet: &VirtualFleet| fleet.members().all(|member| has_version(member, 5));
        let elapsed_ms = fleet.run_until(APPLY_TIMEOUT_MS, all_have_version);
        assert!(elapsed_ms.is_some(), "{counts:?}: not in force after {APPLY_TIMEOUT_MS} ms");
    }
}

// The drain of a backend server must be applied although its revision was given out before the
// restore; otherwise the server gets new flows.
#[test]
fn drain_with_reused_revision_is_applied() {
    let mut fleet = restored_fleet(&[3, 2, 2], 4);
    fleet.run(500);
    fleet.store.register(7, true);
    fleet.answer_watches();
    let key = backend_key("i-7");
    let is_draining = |member: &FleetMember| matches!(present_rows(member).get(&key), Some(RowValue::Backend(backend)) if backend.draining);
    let all_are_draining = |fleet: &VirtualFleet| fleet.members().all(is_draining);
    let elapsed_ms = fleet.run_until(APPLY_TIMEOUT_MS, all_are_draining);
    assert!(
        elapsed_ms.is_some(),
        "not all instances know of the drain after {APPLY_TIMEOUT_MS} ms"
    );
}

// Instances must not hold different lists under one revision.
#[test]
fn all_instances_have_same_list_after_restore() {
    let mut fleet = restored_fleet(&[3, 2, 2], 5);
    // As many changes as were lost: the last has the revision that is known.
    fleet.run(500);
    fleet.store.register(7, true);
    fleet.store.remove(8);
    fleet.store.publish(5, 4);
    fleet.answer_watches();
    fleet.run(APPLY_TIMEOUT_MS);
    let mut lists: Vec<_> = fleet.members().map(present_rows).collect();
    let first = lists.pop().expect("there are members");
    assert!(matches!(&first[LIMITS_KEY], RowValue::Limits(limits) if limits.version == 5));
    assert_eq!(first.keys().filter(|key| key.starts_with("route/")).count(), 4);
    assert!(!first.contains_key(&backend_key("i-8")));
    for list in lists {
        assert_eq!(list, first);
    }
}

// In a large fleet each instance needs a snapshot of a restored list; it must arrive in time.
#[test]
fn large_fleet_applies_restored_list_in_time() {
    let mut fleet = VirtualFleet::new(&[50, 50, 50], 6);
    for number in 100..1_600 {
        fleet.store.register(number, false);
    }
    let mut fleet = settle(fleet);
    // Work of a slow instance for a message, and time of the store's link for an item.
    (fleet.message_cost_us, fleet.store_item_ns) = (450, 2_000);
    fleet.store.publish(2, 12);
    fleet.answer_watches();
    fleet.run(2_000);
    fleet.store.restore(1);
    fleet.store.publish(3, 12);
    fleet.answer_watches();
    let all_have_version =
        |fleet: &VirtualFleet| fleet.members().all(|member| has_version(member, 3));
    let elapsed_ms = fleet.run_until(APPLY_TIMEOUT_MS, all_have_version);
    assert!(elapsed_ms.is_some(), "not in force after {APPLY_TIMEOUT_MS} ms");
}
