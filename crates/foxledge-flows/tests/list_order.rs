//! The list in the order of revisions.

mod common;

use common::*;
use foxledge_flows::{
    FleetList, ItemChange, ListReading,
    list::{ChangeCoverage, ListBounds, ListCursor},
    rows::{LimitsRow, RouteRow, RowValue},
    source::ConfigReading,
};

fn config_item(version: u64, revision: u64, names: &[&str]) -> ItemChange {
    let routes = names.iter().enumerate().map(|(position, name)| RouteRow {
        name: (*name).to_owned(),
        position: position as u32,
        port: 443,
        ..RouteRow::default()
    });
    let config = ConfigReading {
        limits: LimitsRow { version, idle_ms: 1 },
        routes: routes.collect(),
        ..ConfigReading::default()
    };
    ItemChange::Config { revision, config }
}

fn backend_item(number: u64, revision: u64) -> ItemChange {
    let backend = backend_spec(number, "desk", LOCAL_CENTRE);
    ItemChange::Backend { revision, id: format!("i-{number:x}"), backend }
}

fn apply_items(list: &mut FleetList, items: Vec<ItemChange>, head: u64) -> usize {
    list.apply_reading(clock_at(0), ListReading::complete(items, head)).len()
}

fn listed_keys(list: &FleetList) -> Vec<String> {
    let is_listed = |row: &&foxledge_flows::rows::ListRow| {
        !matches!(row.value, Some(RowValue::Removed(_)) | None)
    };
    let mut keys: Vec<_> = list.rows().filter(is_listed).map(|row| row.key.clone()).collect();
    keys.sort();
    keys
}

#[test]
fn new_list_yields_changed_rows_only() {
    let mut list = FleetList::new();
    assert_eq!(apply_items(&mut list, vec![config_item(1, 5, &["a", "b", "c"])], 5), 4);
    // One route is removed, one is added, and the version changes.
    let items = vec![config_item(2, 9, &["a", "b", "d"])];
    let applied = list.apply_watch(clock_at(10), ListReading::complete(items, 9));
    let mut keys: Vec<_> = applied.iter().map(|row| row.key.as_str()).collect();
    keys.sort_unstable();
    assert_eq!(keys, ["limits", "route/c", "route/d"]);
    assert!(applied.iter().all(|row| row.revision == 9));
    assert_eq!((list.head(), list.version()), (9, 2));
}

// Guards against decisions by a replaced list: the store's stale reads, a peer or a late response
// may bring an older state.
#[test]
fn older_revisions_are_ignored() {
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 5, &["a"]), backend_item(1, 4)], 5);
    apply_items(&mut list, vec![config_item(2, 9, &["b"]), backend_item(1, 8)], 9);
    assert_eq!(apply_items(&mut list, vec![config_item(1, 5, &["a"]), backend_item(1, 4)], 5), 0);
    assert!(
        list.apply_snapshot(clock_at(1), vec![route_row("a", 443, "desk", 5)], bounds_at(6))
            .is_empty()
    );
    assert!(list.apply_changes(clock_at(1), vec![route_row("a", 443, "desk", 7)], 7).is_empty());
    assert_eq!(listed_keys(&list), ["backend/i-1", "limits", "route/b"]);
    assert_eq!(list.head(), 9);
}

#[test]
fn whole_reading_removes_missing_rows() {
    // The history was dropped, and with it the removal of a backend server.
    let mut list = FleetList::new();
    apply_items(
        &mut list,
        vec![config_item(1, 5, &["a"]), backend_item(1, 3), backend_item(2, 4)],
        5,
    );
    apply_items(&mut list, vec![config_item(1, 5, &["a"]), backend_item(2, 4)], 30);
    assert_eq!(listed_keys(&list), ["backend/i-2", "limits", "route/a"]);
}

// Guards against an instance that serves a route that was removed long ago and takes its list for
// the newest. It falls behind, the route is removed, and it requests the changes from an instance
// that has read the whole list since: that one knows the present rows, but not the removal.
#[test]
fn whole_reading_raises_the_floor() {
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(3, 40, &["b"]), backend_item(1, 30)], 50);
    assert_eq!(list.floor(), 50, "changes before the reading aren't available");
    // Changes from a watch don't raise the floor.
    let items = vec![config_item(4, 55, &["c"])];
    list.apply_watch(clock_at(10), ListReading::complete(items, 56));
    assert_eq!(list.floor(), 50);
    // A snapshot of a peer's list has the peer's floor.
    let mut received = FleetList::new();
    received.apply_snapshot(clock_at(20), list.rows().cloned().collect(), list.bounds());
    assert_eq!((received.head(), received.floor()), (56, 50));
}

#[test]
fn malformed_list_keeps_former_routes() {
    // A list of routes that can't be decoded leaves the last valid one in force; an entry that
    // can't be decoded no longer names a backend server.
    let mut list = FleetList::new();
    apply_items(
        &mut list,
        vec![config_item(1, 5, &["a"]), backend_item(1, 3), backend_item(2, 4)],
        5,
    );
    let (revision, fault) = (8, "no JSON".to_owned());
    let items = vec![
        ItemChange::Malformed { key: "limits".to_owned(), revision, fault: fault.clone() },
        ItemChange::BackendInvalid { id: "i-1".to_owned(), revision, fault },
        backend_item(2, 4),
    ];
    apply_items(&mut list, items, 8);
    assert_eq!(listed_keys(&list), ["backend/i-2", "limits", "route/a"]);
    assert_eq!(list.head(), 8);
}

#[test]
fn pages_contain_every_row() {
    let mut list = FleetList::new();
    let names: Vec<String> = (0..300).map(|index| format!("route-{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    apply_items(&mut list, vec![config_item(1, 7, &names), backend_item(1, 3)], 9);
    let mut received = FleetList::new();
    let mut rows = Vec::new();
    let mut cursor = ListCursor::start();
    loop {
        let page = list.page(clock_at(0), &cursor, 900);
        let size: usize = page.rows.iter().map(prost::Message::encoded_len).sum();
        assert!(size <= 900, "{size} bytes");
        rows.extend(page.rows);
        match page.next {
            Some(next) => cursor = next,
            None => break,
        }
    }
    received.apply_snapshot(clock_at(0), rows, list.bounds());
    assert_eq!(listed_keys(&received), listed_keys(&list));
    assert!(list.page(clock_at(0), &ListCursor::after_revision(9), 900).rows.is_empty());
    assert_eq!(list.page(clock_at(0), &ListCursor::after_revision(3), 100_000).rows.len(), 301);
}

#[test]
fn old_removals_are_dropped() {
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 5, &["a"]), backend_item(1, 3)], 5);
    apply_items(&mut list, vec![config_item(1, 5, &["a"])], 8);
    list.remove_expired(clock_at(60_000));
    assert_eq!((list.len(), list.floor()), (3, 8));
    list.apply_watch(
        clock_at(70_000),
        ListReading::complete(
            vec![ItemChange::BackendRemoved { revision: 12, id: "i-1".into() }],
            12,
        ),
    );
    list.remove_expired(clock_at(100_000));
    assert_eq!((list.len(), list.floor()), (3, 8));
    list.remove_expired(clock_at(170_000));
    assert_eq!((list.len(), list.floor()), (2, 12));
}

// Guards against a thousand changed rows, of 1,400 routes, for one new route, which makes slow
// instances fall behind: a position among all routes would change for every later route.
#[test]
fn inserted_route_changes_one_row() {
    let mut list = FleetList::new();
    let mut names: Vec<String> = (0..100).map(|index| format!("r-{index}")).collect();
    let spread_config = |version: u64, revision: u64, names: &[String]| {
        let routes = names.iter().map(|name| RouteRow {
            name: name.clone(),
            // Each route has its own address.
            ip: name.bytes().fold(0, |sum: u32, byte| sum.wrapping_mul(31) + u32::from(byte)),
            port: 443,
            ..RouteRow::default()
        });
        let limits = LimitsRow { version, idle_ms: 1 };
        ItemChange::Config {
            revision,
            config: ConfigReading { limits, routes: routes.collect(), ..ConfigReading::default() },
        }
    };
    apply_items(&mut list, vec![spread_config(1, 5, &names)], 5);
    names.insert(0, "first".to_owned());
    let items = vec![spread_config(2, 6, &names)];
    let applied = list.apply_watch(clock_at(1), ListReading::complete(items, 6));
    assert_eq!(applied.len(), 2, "the route and the version");
}

#[test]
fn routes_of_one_address_keep_their_order() {
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 5, &["a", "b", "c"])], 5);
    let position_of = |list: &FleetList, name: &str| {
        let row = list.rows().find(|row| row.key == format!("route/{name}")).expect("is there");
        match &row.value {
            Some(RowValue::Route(route)) => route.position,
            _ => panic!("{name} isn't a route"),
        }
    };
    assert_eq!(["a", "b", "c"].map(|name| position_of(&list, name)), [0, 1, 2]);
    apply_items(&mut list, vec![config_item(2, 9, &["c", "a"])], 9);
    assert_eq!(["c", "a"].map(|name| position_of(&list, name)), [0, 1]);
}

// Guards against refusals although the route is published: it is removed and restored unchanged
// within one response of a watch. The second list must be compared with the first, not with what
// was known before.
#[test]
fn route_restored_within_one_response_is_in_force() {
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 5, &["a", "b"])], 5);
    let items = vec![config_item(2, 7, &["a"]), config_item(3, 9, &["a", "b"])];
    let applied = list.apply_watch(clock_at(10), ListReading::complete(items, 9));
    assert_eq!(listed_keys(&list), ["limits", "route/a", "route/b"]);
    // The rows, applied in order, end with the route in force.
    let last = applied.iter().rfind(|row| row.key == "route/b").expect("has changed");
    assert!(matches!(last.value, Some(RowValue::Route(_))));
    assert_eq!(last.revision, 9);
}

#[test]
fn entry_restored_within_one_response_is_listed() {
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 5, &["a"]), backend_item(1, 3)], 5);
    let removal = ItemChange::BackendRemoved { revision: 7, id: "i-1".to_owned() };
    list.apply_watch(clock_at(10), ListReading::complete(vec![removal, backend_item(1, 8)], 8));
    assert_eq!(listed_keys(&list), ["backend/i-1", "limits", "route/a"]);
}

// Guards against the same at an instance that saw the removal and then gets a snapshot from a peer
// that read the store after the route was restored: the peer's row is as old as the route, but its
// list is newer.
#[test]
fn snapshot_overrides_newer_removal() {
    let mut peer = FleetList::new();
    apply_items(&mut peer, vec![config_item(1, 5, &["a", "b"])], 5);
    apply_items(&mut peer, vec![config_item(3, 9, &["a", "b"])], 9);
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 5, &["a", "b"])], 5);
    let items = vec![config_item(2, 7, &["a"])];
    list.apply_watch(clock_at(10), ListReading::complete(items, 8));
    assert_eq!(listed_keys(&list), ["limits", "route/a"]);
    let rows = peer.rows().cloned().collect();
    let applied = list.apply_snapshot(clock_at(20), rows, peer.bounds());
    assert_eq!(listed_keys(&list), ["limits", "route/a", "route/b"]);
    // A peer that requests the changes since the removal gets the row.
    assert!(applied.iter().any(|row| row.key == "route/b" && row.revision > 8));
}

// Guards against a return to a former list at the newest revision: a row changes at the peer
// between two pages of a snapshot, which then contains the row both as it was and as it is.
#[test]
fn newest_of_duplicate_snapshot_rows_counts() {
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 5, &["a"]), backend_item(1, 3)], 5);
    list.apply_watch(clock_at(10), ListReading::complete(vec![config_item(3, 9, &["a"])], 9));
    let snapshot =
        vec![limits_row(1, 5), route_row("a", 443, "desk", 5), limits_row(3, 9), limits_row(4, 11)];
    let bounds = ListBounds { floor: 2, ..bounds_at(12) };
    list.apply_snapshot(clock_at(20), snapshot, bounds);
    assert_eq!((list.version(), list.head()), (4, 12));
    // A snapshot of the same revision changes nothing.
    assert!(list.apply_snapshot(clock_at(30), vec![limits_row(1, 5)], bounds).is_empty());
    assert_eq!(list.version(), 4);
}

// Guards against full transfers in the whole fleet whenever the store loses its history.
#[test]
fn applies_changes_across_gap() {
    let mut list = FleetList::new();
    apply_items(
        &mut list,
        vec![config_item(1, 5, &["a", "b"]), backend_item(1, 3), backend_item(2, 4)],
        5,
    );
    let mut peer = FleetList::new();
    peer.apply_snapshot(clock_at(0), list.rows().cloned().collect(), list.bounds());
    apply_items(
        &mut list,
        vec![config_item(3, 20, &["a", "c"]), backend_item(2, 4), backend_item(3, 22)],
        30,
    );
    assert_eq!(list.coverage_since(5), ChangeCoverage::AcrossGap);
    let rows = list.page(clock_at(0), &ListCursor::after_revision(5), 100_000).rows;
    assert!(!rows.iter().any(|row| row.key == "backend/i-2"), "didn't change");
    peer.apply_changes_across_gap(clock_at(10), rows, list.bounds());
    assert_eq!(listed_keys(&peer), listed_keys(&list));
    assert_eq!((peer.head(), peer.version()), (30, 3));
    assert_eq!(peer.coverage_since(5), ChangeCoverage::AcrossGap);
}

// Guards against a backend server that is kept for ever because it was added and removed while the
// history was lost.
#[test]
fn changes_are_unavailable_within_gap() {
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 5, &["a"]), backend_item(1, 3)], 5);
    let mut ahead = list.clone();
    ahead.apply_watch(clock_at(5), ListReading::complete(vec![backend_item(9, 12)], 12));
    apply_items(&mut list, vec![config_item(1, 5, &["a"]), backend_item(1, 3)], 30);
    let coverages = [4, 5, 6, 12, 29, 30, 31].map(|revision| list.coverage_since(revision));
    use ChangeCoverage::{AcrossGap, Complete, Unavailable};
    assert_eq!(
        coverages,
        [Unavailable, AcrossGap, Unavailable, Unavailable, Unavailable, Complete, Complete]
    );
    assert_eq!(list.floor(), 30);
    ahead.apply_snapshot(clock_at(10), list.rows().cloned().collect(), list.bounds());
    assert_eq!(listed_keys(&ahead), listed_keys(&list));
}

// Guards against incremental changes across a restore, whose revisions stand for other changes.
#[test]
fn changes_are_unavailable_across_restore() {
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 5, &["a"]), backend_item(1, 3)], 5);
    let restored = ListReading::complete(vec![config_item(1, 4, &["a"])], 4).with_epoch(1);
    list.apply_reading(clock_at(0), restored);
    assert_eq!(list.coverage_since(5), ChangeCoverage::Unavailable);
    assert_eq!(list.floor(), list.head());
}

// Guards against an unlimited number of gaps, and against changes that are offered although their
// rows were dropped.
#[test]
fn number_of_gaps_is_limited() {
    let mut list = FleetList::new();
    for round in 1..=20 {
        apply_items(&mut list, vec![config_item(1, 1, &["a"])], round * 10);
    }
    assert_eq!(list.coverage_since(100), ChangeCoverage::Unavailable);
    assert_eq!(list.coverage_since(190), ChangeCoverage::AcrossGap);
    apply_items(&mut list, vec![config_item(1, 1, &["a"]), backend_item(1, 205)], 210);
    apply_items(&mut list, vec![config_item(1, 1, &["a"])], 220);
    list.remove_expired(clock_at(200_000));
    assert_eq!(list.coverage_since(210), ChangeCoverage::Unavailable);
}

// Guards against a paged reading that is taken for complete although later pages are newer.
#[test]
fn rows_past_head_until_watch_catches_up() {
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 5, &["a"]), backend_item(1, 9)], 6);
    assert!(list.is_uneven());
    list.apply_watch(clock_at(0), ListReading::complete(vec![backend_item(1, 9)], 10));
    assert!(!list.is_uneven());
}

/// Returns a reading whose first page has the revision 9 and whose second page is three older.
fn uneven_reading() -> ListReading {
    let first = ListReading::complete(vec![config_item(3, 9, &["a"]), backend_item(1, 3)], 9);
    first.joined_with(ListReading::complete(vec![backend_item(2, 4)], 6))
}

// Guards against changes that are never read: those that the newest page has and the oldest lacks.
#[test]
fn uneven_reading_is_complete_up_to_oldest_page() {
    let mut list = FleetList::new();
    list.apply_reading(clock_at(0), uneven_reading());
    assert_eq!((list.head(), list.version()), (6, 3));
    assert!(list.is_uneven());
    let items = vec![backend_item(3, 7), backend_item(2, 8), config_item(3, 9, &["a"])];
    list.apply_watch(clock_at(10), ListReading::complete(items, 9));
    assert_eq!(
        listed_keys(&list),
        ["backend/i-1", "backend/i-2", "backend/i-3", "limits", "route/a"]
    );
    assert!(!list.is_uneven());
}

// Guards against a peer that keeps a route that was removed after the head: the newer page lacks the
// route, and nothing says that it is gone.
#[test]
fn changes_before_newer_version_are_unavailable() {
    use ChangeCoverage::{AcrossGap, Complete, Unavailable};
    let mut list = FleetList::new();
    list.apply_reading(clock_at(0), uneven_reading());
    assert_eq!(list.bounds(), ListBounds { head: 6, floor: 9, newest_page: 9 });
    list.apply_watch(clock_at(10), ListReading::complete(Vec::new(), 12));
    let coverages = [6, 8, 9, 10].map(|revision| list.coverage_since(revision));
    assert_eq!(coverages, [Unavailable, Unavailable, Complete, Complete]);
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 1, &["a"]), backend_item(1, 3)], 5);
    list.apply_reading(clock_at(0), uneven_reading());
    list.apply_watch(clock_at(10), ListReading::complete(Vec::new(), 12));
    let coverages = [5, 6, 8, 9].map(|revision| list.coverage_since(revision));
    assert_eq!(coverages, [AcrossGap, Unavailable, Unavailable, Complete]);
}

// Guards against a peer that keeps an entry that was removed between the pages of a reading: the
// list with the reading never knew it.
#[test]
fn removal_of_unknown_rows_is_passed_on() {
    let config = config_item(1, 2, &["a"]);
    let evacuation =
        |revision| ItemChange::EvacuationBegun { revision, data_centre: "centre-1".to_owned() };
    let mut peer = FleetList::new();
    apply_items(
        &mut peer,
        vec![config.clone(), backend_item(1, 3), backend_item(2, 4), evacuation(5)],
        6,
    );
    let mut list = FleetList::new();
    let first = ListReading::complete(vec![config, backend_item(1, 3)], 6);
    list.apply_reading(clock_at(0), first.joined_with(ListReading::complete(Vec::new(), 9)));
    let removals = vec![
        ItemChange::BackendRemoved { revision: 8, id: "i-2".to_owned() },
        ItemChange::EvacuationEnded { revision: 9, data_centre: "centre-1".to_owned() },
    ];
    list.apply_watch(clock_at(10), ListReading::complete(removals, 9));
    assert_eq!(list.coverage_since(6), ChangeCoverage::Complete);
    let rows = list.page(clock_at(20), &ListCursor::after_revision(6), 100_000).rows;
    peer.apply_changes(clock_at(20), rows, list.head());
    assert_eq!(listed_keys(&peer), ["backend/i-1", "limits", "route/a"]);
    assert_eq!(listed_keys(&list), listed_keys(&peer));
}

// Guards against the same at an instance that got the differences from the one with the reading.
#[test]
fn gap_of_uneven_reading_is_passed_on() {
    let mut list = FleetList::new();
    apply_items(&mut list, vec![config_item(1, 1, &["a"]), backend_item(1, 3)], 5);
    let mut peer = list.clone();
    list.apply_reading(clock_at(0), uneven_reading());
    let rows = list.page(clock_at(0), &ListCursor::after_revision(5), 100_000).rows;
    peer.apply_changes_across_gap(clock_at(10), rows, list.bounds());
    assert_eq!(peer.bounds(), ListBounds { head: 6, floor: 9, newest_page: 9 });
    assert_eq!(peer.coverage_since(7), ChangeCoverage::Unavailable);
}

// Guards against a peer that keeps an entry that the newest page of a former reading lacked already:
// the next reading can't tell that it is gone.
#[test]
fn gap_after_uneven_reading_is_not_offered() {
    let config = config_item(1, 2, &["a"]);
    let first = ListReading::complete(vec![config.clone()], 9);
    let mut list = FleetList::new();
    list.apply_reading(clock_at(0), first.joined_with(ListReading::complete(Vec::new(), 6)));
    let mut copied = FleetList::new();
    copied.apply_snapshot(clock_at(5), list.rows().cloned().collect(), list.bounds());
    for mut list in [list, copied] {
        assert!(list.is_uneven());
        apply_items(&mut list, vec![config.clone()], 12);
        assert_eq!(list.coverage_since(6), ChangeCoverage::Unavailable);
        assert!(!list.is_uneven());
    }
}

// Guards against a return to an older version at an instance whose first page had a newer one.
#[test]
fn older_version_does_not_replace_newer_page() {
    let mut list = FleetList::new();
    list.apply_reading(clock_at(0), uneven_reading());
    let is_config = |row: &foxledge_flows::rows::ListRow| !row.key.starts_with("backend/");
    let mut peer = FleetList::new();
    apply_items(&mut peer, vec![config_item(2, 7, &["a", "b"]), backend_item(1, 3)], 8);
    let snapshot: Vec<_> = peer.rows().cloned().collect();
    let changes = vec![limits_row(2, 7), route_row("b", 443, "desk", 7)];
    let items = vec![config_item(2, 7, &["a", "b"])];
    let mut lists = [list.clone(), list.clone(), list];
    let applied = [
        lists[0].apply_snapshot(clock_at(10), snapshot, bounds_at(8)),
        lists[1].apply_changes(clock_at(10), changes, 8),
        lists[2].apply_watch(clock_at(10), ListReading::complete(items, 8)),
    ];
    for (list, applied) in lists.iter().zip(applied) {
        assert!(!applied.iter().any(is_config), "{applied:?}");
        assert_eq!((list.head(), list.version()), (8, 3));
        assert!(!list.contains("route/b"));
    }
}
