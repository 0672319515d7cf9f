//! Readings of the store whose pages differ in age.

mod common;

use common::VirtualFleet;

/// Number of items of a page.
const PAGE_ITEMS: usize = 10;

/// Returns a fleet that hasn't started, before a store whose items take several pages.
fn unstarted_fleet(counts: &[usize]) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(counts, 1);
    fleet.store.max_page_items = PAGE_ITEMS;
    for number in 0x10..0x40 {
        fleet.store.register(number, false);
    }
    fleet.store.publish(1, 4);
    fleet
}

// Guards against an instance that stays on the first page because a replica with the rest is older.
#[test]
fn older_remainder_completes_list() {
    let mut fleet = unstarted_fleet(&[1]);
    for draining in [true, false, true] {
        // An entry on the first page.
        fleet.store.register(0x10, draining);
    }
    fleet.start_all();
    let has_read_first_page = |fleet: &VirtualFleet| fleet.store.stale_read_calls == 1;
    assert!(fleet.run_until(200, has_read_first_page).is_some());
    fleet.store.stale_revisions = 3;
    let head = fleet.store.head;
    assert!(fleet.run_until(200, |fleet| fleet.all_have_list(head)).is_some());
}
