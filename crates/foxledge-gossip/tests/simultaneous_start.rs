//! Instances that start at the same moment.

mod common;

use common::{StoreState, VirtualFleet};
use foxledge_flows::rows::{ListRow, RowValue};

/// Creates a fleet that hasn't started, with backend servers and routes in the store.
fn unstarted_fleet(counts: &[usize], backends: u64, routes: usize) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(counts, 1);
    for number in 1..=backends {
        fleet.store.register(number, false);
    }
    fleet.store.publish(1, routes);
    fleet
}

/// Creates 300 instances with 3,000 backend servers, with the time that messages and the store's
/// link take: 25 us of work on a twentieth of a core, 250 bytes an item at 1 Gbit/s.
fn large_fleet() -> VirtualFleet {
    let mut fleet = unstarted_fleet(&[75, 75, 75, 75], 3_000, 20);
    fleet.message_cost_us = 450;
    fleet.store_item_ns = 2_000;
    fleet
}

// After a power failure all instances start and would read the whole store at the same moment. The
// fleet itself would use up the store's capacity, and a large fleet would serve only after half a
// minute.
#[test]
fn simultaneous_start_costs_few_store_calls() {
    for counts in [&[2, 2, 2, 1][..], &[25, 25, 25, 25], &[75, 75, 75, 75]] {
        let mut fleet = unstarted_fleet(counts, 18, 40);
        fleet.start_all();
        let head = fleet.store.head;
        let elapsed_ms = fleet.run_until(1_000, |fleet| fleet.all_have_list(head));
        assert!(
            elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= 400),
            "{counts:?}: {elapsed_ms:?} ms"
        );
        fleet.run(2_000);
        let total: usize = counts.iter().sum();
        // A reading that may be stale costs a tenth of a call.
        let calls = fleet.store.calls + fleet.store.stale_read_calls / 10;
        assert!(calls <= 10 + total as u64 / 5, "{counts:?}: {calls} calls");
    }
}

#[test]
fn starts_without_seeds() {
    let mut fleet = unstarted_fleet(&[2, 2, 2], 18, 40);
    for index in [1, 3, 5] {
        fleet.start(index);
    }
    let head = fleet.store.head;
    assert!(fleet.run_until(500, |fleet| fleet.all_have_list(head)).is_some());
}

#[test]
fn restarted_instance_gets_list_from_peers() {
    // A restarted instance gets the list from its peers.
    let mut fleet = common::settled_fleet(&[2, 2, 2], 1);
    for index in 0..6 {
        fleet.store_state.insert(index, StoreState::Unresponsive);
    }
    fleet.kill(3);
    fleet.start(3);
    let head = fleet.store.head;
    let elapsed_ms = fleet.run_until(1_000, |fleet| fleet.all_have_list(head));
    assert!(elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= 100), "{elapsed_ms:?} ms");
}

#[test]
fn list_published_after_start_reaches_all() {
    // The fleet starts before the operators have published anything.
    let mut fleet = VirtualFleet::new(&[2, 2], 1);
    fleet.start_all();
    fleet.run(5_000);
    let calls = fleet.store.calls;
    assert!(calls <= 60, "{calls} calls in 5 s");
    fleet.store.register(1, false);
    fleet.store.publish(1, 10);
    fleet.answer_watches();
    let head = fleet.store.head;
    assert!(fleet.run_until(1_500, |fleet| fleet.all_have_list(head)).is_some());
}

// If all 300 instances read 3,000 backend servers from the store at once, its link carries 750 KB
// to each of them; if all request a snapshot from the three seeds, a seed with a twentieth of a
// core serves none of them in time. Either way they serve only seconds after a power failure, and
// the traffic crosses data centres.
#[test]
fn large_fleet_gets_large_list_in_time() {
    let mut fleet = large_fleet();
    fleet.start_all();
    let head = fleet.store.head;
    let elapsed_ms = fleet.run_until(5_000, |fleet| fleet.all_have_list(head));
    let remote_mb = fleet.remote_bytes / 1_000_000;
    println!(
        "{elapsed_ms:?} ms, {remote_mb} MB, {} calls that may return a stale list",
        fleet.store.stale_read_calls
    );
    assert!(elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= 800), "{elapsed_ms:?} ms");
    assert!(remote_mb <= 6, "{remote_mb} MB between data centres");
}

// A peer sends eight pages at once, and the network reorders them. A page that comes too early must
// not be dropped and requested again 200 ms later, or instances read the list from the store
// although peers have it.
#[test]
fn reordered_pages_do_not_delay_transfer() {
    let mut fleet = unstarted_fleet(&[2], 3_000, 20);
    fleet.start(0);
    fleet.run(2_000);
    fleet.jitter_us = 300;
    fleet.store_state.insert(1, StoreState::Unresponsive);
    fleet.start(1);
    let head = fleet.store.head;
    let elapsed_ms = fleet.run_until(3_000, |fleet| fleet.all_have_list(head));
    assert!(elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= 100), "{elapsed_ms:?} ms");
}

// 300 instances read 3,000 backend servers at once over the store's link, 750 KB each, which takes
// two seconds. The first 500 backend servers suffice to serve; flows must not wait for the last.
#[test]
fn serves_with_partial_list() {
    let mut fleet = large_fleet();
    fleet.start_all();
    let elapsed_ms =
        fleet.run_until(2_000, |fleet| fleet.members().all(|member| member.can_serve()));
    let calls = fleet.store.stale_read_calls;
    let head = fleet.store.head;
    let full_ms = fleet.run_until(5_000, |fleet| fleet.all_have_list(head));
    println!("serve after {elapsed_ms:?} ms, {calls} calls; full list {full_ms:?} ms later");
    assert!(elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms <= 500), "{elapsed_ms:?} ms");
    assert!(full_ms.is_some_and(|full_ms| full_ms <= 2_000), "{full_ms:?} ms");
    fleet.run(3_000);
    let calls = fleet.store.stale_read_calls - calls;
    assert!(calls <= 60, "{calls} instances read the rest");
}

/// Returns a fleet of which one instance serves by a partial list.
fn fleet_with_partial_list() -> VirtualFleet {
    // The seed is down, so that the rest isn't read at once.
    let mut fleet = unstarted_fleet(&[2], 600, 3);
    fleet.start(1);
    assert!(
        fleet.run_until(200, |fleet| fleet.members().all(|member| member.can_serve())).is_some()
    );
    assert!(!fleet.all_have_list(1));
    fleet
}

// An instance serves by a partial list, and a backend server in it leaves before the whole list is
// known. The whole list never contained that backend server, so nothing says that it was removed;
// it must not get new flows for ever.
#[test]
fn full_list_removes_missing_backends_of_partial_list() {
    let mut fleet = fleet_with_partial_list();
    fleet.store.remove(5);
    // The seed reads the whole list and sends it.
    fleet.store_state.insert(1, StoreState::Unresponsive);
    fleet.start(0);
    let head = fleet.store.head;
    assert!(fleet.run_until(3_000, |fleet| fleet.all_have_list(head)).is_some());
    let is_removed = |row: &ListRow| match &row.value {
        Some(RowValue::Removed(removed)) => {
            row.key == "backend/i-5"
                && removed.backend.as_ref().is_some_and(|backend| backend.draining)
        }
        _ => false,
    };
    assert!(fleet.instances[1].applied_rows.iter().any(is_removed));
}

// The same if the rest is read from the store: the first page still contains the backend server.
#[test]
fn watch_removes_missing_backends_of_partial_list() {
    let mut fleet = fleet_with_partial_list();
    fleet.store.remove(5);
    let head = fleet.store.head;
    assert!(fleet.run_until(3_000, |fleet| fleet.all_have_list(head)).is_some());
    let is_removal = |row: &&ListRow| {
        row.key == "backend/i-5" && matches!(row.value, Some(RowValue::Removed(_)))
    };
    assert!(fleet.instances[1].applied_rows.iter().any(|row| is_removal(&row)));
    assert!(fleet.members().all(|member| member.list().rows().any(|row| is_removal(&row))));
}

// An instance reads a partial list, and a peer with an older list sends it a snapshot. The older
// list must not replace the partial one.
#[test]
fn partial_list_is_not_replaced_by_older_list() {
    let mut fleet = unstarted_fleet(&[2], 600, 3);
    fleet.start(0);
    fleet.run(3_000);
    let older_head = fleet.store.head;
    fleet.store.publish(2, 5);
    // The instance starts isolated from its peer, and then without a response of the store.
    fleet.store_state.insert(0, StoreState::Unresponsive);
    fleet.isolate(0);
    fleet.start(1);
    let can_serve = |fleet: &VirtualFleet| fleet.members().all(|member| member.can_serve());
    assert!(fleet.run_until(200, can_serve).is_some());
    fleet.store_state.insert(1, StoreState::Unresponsive);
    fleet.cut_links.clear();
    fleet.run(4_000);
    assert!(
        !fleet.instances[1].applied_heads.contains(&older_head),
        "{:?}",
        fleet.instances[1].applied_heads
    );
    fleet.store_state.clear();
    let head = fleet.store.head;
    assert!(fleet.run_until(5_000, |fleet| fleet.all_have_list(head)).is_some());
}
