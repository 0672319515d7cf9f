//! Cost of a compaction of the store's history.

mod common;

use common::{StoreState, VirtualFleet};
use foxledge_flows::rows::RowValue;

/// Time within which all instances must know what the store holds, in milliseconds.
const CONVERGENCE_TIMEOUT_MS: u64 = 1_500;

/// Creates 300 instances in six data centres with 3,000 backend servers, some time after their
/// start.
fn large_fleet() -> VirtualFleet {
    let mut fleet = VirtualFleet::new(&[50; 6], 1);
    fleet.store.is_history_disabled = true;
    for number in 1..=3_000 {
        fleet.store.register(number, false);
    }
    fleet.store.publish(1, 20);
    (fleet.message_cost_us, fleet.store_item_ns) = (450, 2_000);
    fleet.start_all();
    fleet.run(8_000);
    assert!(fleet.all_have_list(fleet.store.head), "not all instances have the list");
    fleet
}

/// Compacts the history after changes that watches didn't return.
fn compact_history(fleet: &mut VirtualFleet, first: u64) {
    for number in first..first + 10 {
        fleet.store.register(number, false);
        fleet.run(100);
    }
    fleet.store.remove(first);
    fleet.store.remove(7);
    fleet.store.compact();
    fleet.answer_watches();
}

// Instances must not each transfer or read the whole list when the history is lost.
#[test]
fn compacted_history_costs_few_calls_and_pages() {
    let mut fleet = large_fleet();
    let calls = |fleet: &VirtualFleet| fleet.store.page_counts.values().sum::<u64>();
    let before = (calls(&fleet), fleet.bytes_by_kind.get("page").copied().unwrap_or(0));
    for round in 0..3 {
        compact_history(&mut fleet, 10_000 + round * 100);
        let head = fleet.store.head;
        let elapsed_ms = fleet.run_until(CONVERGENCE_TIMEOUT_MS, |fleet| fleet.all_have_list(head));
        assert!(elapsed_ms.is_some(), "round {round}: not within {CONVERGENCE_TIMEOUT_MS} ms");
        fleet.run(2_000);
    }
    let is_left = |row: &&foxledge_flows::rows::ListRow| {
        row.key == "backend/i-7" && !matches!(row.value, Some(RowValue::Removed(_)))
    };
    assert!(fleet.members().all(|member| member.list().rows().find(is_left).is_none()));
    let calls = calls(&fleet) - before.0;
    let pages = fleet.bytes_by_kind.get("page").copied().unwrap_or(0) - before.1;
    println!("{calls} calls, {pages} bytes of pages");
    // Two readers that read seven pages each time, and their watches.
    assert!(calls <= 3 * (2 * 7 + 20), "{calls} calls");
    // A snapshot is some 93 KB.
    assert!(pages <= 3 * 300 * 3_000, "{pages} bytes of pages");
}

// One instance reads a backend server between two pages of a whole reading; the server is gone
// before another instance reads the whole list. The first instance must not keep it for ever.
#[test]
fn list_with_rows_past_head_is_replaced_by_snapshot() {
    let mut fleet = common::settled_fleet(&[1, 1], 1);
    fleet.isolate(0);
    let head = fleet.store.head;
    for index in [0, 1] {
        fleet.store_state.insert(index, StoreState::Refusing);
    }
    fleet.answer_watches();
    fleet.store_state.remove(&0);
    fleet.store.register(0xf00, false);
    fleet.store.torn_revisions = 1;
    fleet.store.compact();
    let is_uneven = |fleet: &VirtualFleet, index: usize| {
        fleet.instances[index].member.as_ref().is_some_and(|member| member.list().is_uneven())
    };
    assert!(
        fleet.run_until(5_000, |fleet| is_uneven(fleet, 0)).is_some(),
        "the list isn't read in several pages"
    );
    fleet.store.remove(0xf00);
    fleet.store.compact();
    fleet.store_state.insert(0, StoreState::Refusing);
    fleet.store_state.remove(&1);
    assert!(fleet.members().all(|member| member.list().head() == head));
    fleet.cut_links.clear();
    let newest_head = fleet.store.head;
    assert!(fleet.run_until(8_000, |fleet| fleet.all_have_list(newest_head)).is_some());
    for member in fleet.members() {
        let is_left = |row: &&foxledge_flows::rows::ListRow| {
            row.key == "backend/i-f00" && !matches!(row.value, Some(RowValue::Removed(_)))
        };
        assert_eq!(member.list().rows().find(is_left), None);
    }
}
