//! Readings of the store whose pages differ in age.

mod common;

use std::collections::BTreeMap;

use common::VirtualFleet;
use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_flows::{
    ListReading,
    rows::{ListRow, RowValue},
};
use foxledge_gossip::{FleetEffect, FleetMember, MemberOptions, StoreQuery};

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

/// Returns the backend servers that a member knows, by key, and whether they are draining.
fn known_backends(member: &FleetMember) -> BTreeMap<String, bool> {
    let backend = |row: &ListRow| match &row.value {
        Some(RowValue::Backend(backend)) => Some((row.key.clone(), backend.draining)),
        _ => None,
    };
    member.list().rows().filter_map(backend).collect()
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

// Guards against changes that are never read because a later page is older than the first: flows of
// a new backend server are reset, and new flows go to one that is draining.
#[test]
fn changes_missing_in_older_pages_are_read() {
    for counts in [&[1][..], &[1, 1, 1], &[3, 2]] {
        let mut fleet = unstarted_fleet(counts);
        fleet.store.register(0x40, false);
        fleet.store.register(0x3f, true);
        fleet.store.remove(0x3e);
        fleet.store.aged_revisions = 3;
        fleet.start_all();
        fleet.run(5_000);
        for member in fleet.members() {
            let backends = known_backends(member);
            assert_eq!(backends.get("backend/i-40"), Some(&false), "{counts:?}: a new server");
            assert_eq!(backends.get("backend/i-3f"), Some(&true), "{counts:?}: a draining server");
            assert_eq!(backends.get("backend/i-3e"), None, "{counts:?}: a removed server");
        }
    }
}

// Guards against a version that is replaced by an older one while the list catches up with the page
// that had it.
#[test]
fn newer_first_page_keeps_its_configuration() {
    let mut fleet = unstarted_fleet(&[1, 1, 1]);
    fleet.store.publish(2, 5);
    fleet.store.publish(3, 4);
    fleet.store.aged_revisions = 2;
    fleet.start_all();
    fleet.run(5_000);
    for instance in &fleet.instances {
        let is_dropped_route = |row: &&ListRow| row.key == "route/route-4";
        assert_eq!(instance.applied_rows.iter().find(is_dropped_route), None);
        let member = instance.member.as_ref().expect("runs");
        assert_eq!((member.list().version(), member.effective_route_count()), (3, 4));
    }
}

// Guards against a list that counts as the newest when the last page was read, although the store
// has changed since the first.
#[test]
fn uneven_reading_is_confirmed_as_of_its_call() {
    let at = |millis: u64| ClockTime::from_micros(3_600_000_000 + millis * 1_000);
    let options = MemberOptions::new(
        "10.1.0.1:7000".parse().expect("is an address"),
        CentreName::new("toledo"),
    );
    let mut member = FleetMember::new(options, at(0));
    let all = StoreQuery::All;
    member.handle_store_response(at(0), all, Ok(ListReading::complete(Vec::new(), 9)));
    member.handle_timers(at(3_000));
    let is_call = |effect: &FleetEffect| matches!(effect, FleetEffect::CallStore(_));
    assert!(member.drain_effects().iter().any(is_call));
    let later = ListReading::complete(Vec::new(), 14);
    let uneven = ListReading::complete(Vec::new(), 12).joined_with(later);
    member.handle_store_response(at(3_800), all, Ok(uneven));
    assert_eq!((member.list().head(), member.confirmed_at()), (12, Some(at(3_000))));
}
