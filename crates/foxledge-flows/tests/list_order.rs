//! The list in the order of revisions.

mod common;

use common::*;
use foxledge_flows::{
    FleetList, ItemChange, ListReading,
    list::{ChangeCoverage, ListCursor},
    rows::{LimitsRow, RouteRow, RowValue},
    source::ConfigReading,
};

fn config(version: u64, revision: u64, names: &[&str]) -> ItemChange {
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

fn server(number: u64, revision: u64) -> ItemChange {
    let backend = backend_spec(number, "desk", LOCAL_CENTRE);
    ItemChange::Backend { revision, id: format!("i-{number:x}"), backend }
}

fn read(list: &mut FleetList, items: Vec<ItemChange>, head: u64) -> usize {
    list.apply_reading(clock_at(0), ListReading::complete(items, head)).len()
}

fn live_keys(list: &FleetList) -> Vec<String> {
    let is_live = |row: &&foxledge_flows::rows::ListRow| {
        !matches!(row.value, Some(RowValue::Removed(_)) | None)
    };
    let mut keys: Vec<_> = list.rows().filter(is_live).map(|row| row.key.clone()).collect();
    keys.sort();
    keys
}

#[test]
fn only_changes_pass() {
    let mut list = FleetList::new();
    assert_eq!(read(&mut list, vec![config(1, 5, &["a", "b", "c"])], 5), 4);
    // One route goes, one comes, and the version is another.
    let items = vec![config(2, 9, &["a", "b", "d"])];
    let taken = list.apply_watch(clock_at(10), ListReading::complete(items, 9));
    let mut keys: Vec<_> = taken.iter().map(|row| row.key.as_str()).collect();
    keys.sort_unstable();
    assert_eq!(keys, ["limits", "route/c", "route/d"]);
    assert!(taken.iter().all(|row| row.revision == 9));
    assert_eq!((list.head(), list.version()), (9, 2));
}

// Symptom: flows are treated by a list that had been replaced.
// Sequence: the store's cheap reading, a peer or a late answer brings an older state.
// Cause: what arrived last is taken for the newest.
#[test]
fn never_back() {
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a"]), server(1, 4)], 5);
    read(&mut list, vec![config(2, 9, &["b"]), server(1, 8)], 9);
    assert_eq!(read(&mut list, vec![config(1, 5, &["a"]), server(1, 4)], 5), 0);
    assert!(
        list.apply_snapshot(clock_at(1), vec![route_row("a", 443, "desk", 5)], 6, 0).is_empty()
    );
    assert!(list.apply_changes(clock_at(1), vec![route_row("a", 443, "desk", 7)], 7).is_empty());
    assert_eq!(live_keys(&list), ["backend/i-1", "limits", "route/b"]);
    assert_eq!(list.head(), 9);
}

#[test]
fn whole_reading_removes() {
    // The history was dropped, and with it the removal of a backend server.
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a"]), server(1, 3), server(2, 4)], 5);
    read(&mut list, vec![config(1, 5, &["a"]), server(2, 4)], 30);
    assert_eq!(live_keys(&list), ["backend/i-2", "limits", "route/a"]);
}

// Symptom: an instance serves a route that was removed long ago, and says that it
//   knows the newest list.
// Sequence: it falls behind; the route is removed; another instance starts and reads
//   the whole list, in which the route no longer is; the first asks it for changes.
// Cause: who has read a whole list knows what is there, not what went before.
#[test]
fn whole_reading_is_floor() {
    let mut list = FleetList::new();
    read(&mut list, vec![config(3, 40, &["b"]), server(1, 30)], 50);
    assert_eq!(list.floor(), 50, "changes before the reading can't be told");
    // Changes that are seen one by one don't raise it.
    let items = vec![config(4, 55, &["c"])];
    list.apply_watch(clock_at(10), ListReading::complete(items, 56));
    assert_eq!(list.floor(), 50);
    // A copy of a peer's list tells what the peer could tell.
    let mut copy = FleetList::new();
    copy.apply_snapshot(clock_at(20), list.rows().cloned().collect(), list.head(), list.floor());
    assert_eq!((copy.head(), copy.floor()), (56, 50));
}

#[test]
fn malformed_keeps_former() {
    // A list of routes that can't be understood leaves the last good one in force; an
    // entry that can't be names no backend server any more.
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a"]), server(1, 3), server(2, 4)], 5);
    let (revision, fault) = (8, "no JSON".to_owned());
    let bad = vec![
        ItemChange::Malformed { key: "limits".to_owned(), revision, fault: fault.clone() },
        ItemChange::BackendInvalid { id: "i-1".to_owned(), revision, fault },
        server(2, 4),
    ];
    read(&mut list, bad, 8);
    assert_eq!(live_keys(&list), ["backend/i-2", "limits", "route/a"]);
    assert_eq!(list.head(), 8);
}

#[test]
fn pages_hold_everything() {
    let mut list = FleetList::new();
    let names: Vec<String> = (0..300).map(|index| format!("route-{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    read(&mut list, vec![config(1, 7, &names), server(1, 3)], 9);
    let mut copy = FleetList::new();
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
    copy.apply_snapshot(clock_at(0), rows, list.head(), list.floor());
    assert_eq!(live_keys(&copy), live_keys(&list));
    assert!(list.page(clock_at(0), &ListCursor::after_revision(9), 900).rows.is_empty());
    assert_eq!(list.page(clock_at(0), &ListCursor::after_revision(3), 100_000).rows.len(), 301);
}

#[test]
fn old_removals_forgotten() {
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a"]), server(1, 3)], 5);
    read(&mut list, vec![config(1, 5, &["a"])], 8);
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

// Symptom: of 1,400 routes a thousand rows are sent between instances for one new
//   route, and slow instances fall behind in a storm of lists.
// Cause: each route carried its place among all, which changes for all behind it.
#[test]
fn insertion_changes_one() {
    let mut list = FleetList::new();
    let mut names: Vec<String> = (0..100).map(|index| format!("r-{index}")).collect();
    let spread = |version: u64, revision: u64, names: &[String]| {
        let routes = names.iter().map(|name| RouteRow {
            name: name.clone(),
            // Each route has an address of its own.
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
    read(&mut list, vec![spread(1, 5, &names)], 5);
    names.insert(0, "first".to_owned());
    let items = vec![spread(2, 6, &names)];
    let taken = list.apply_watch(clock_at(1), ListReading::complete(items, 6));
    assert_eq!(taken.len(), 2, "the route and the version");
}

#[test]
fn same_address_in_order() {
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a", "b", "c"])], 5);
    let place = |list: &FleetList, name: &str| {
        let row = list.rows().find(|row| row.key == format!("route/{name}")).expect("is there");
        match &row.value {
            Some(RowValue::Route(route)) => route.position,
            _ => panic!("{name} is no route"),
        }
    };
    assert_eq!(["a", "b", "c"].map(|name| place(&list, name)), [0, 1, 2]);
    read(&mut list, vec![config(2, 9, &["c", "a"])], 9);
    assert_eq!(["c", "a"].map(|name| place(&list, name)), [0, 1]);
}

// Symptom: flows are refused though their route is published, for as long as the list
//   doesn't change again.
// Sequence: a route is removed and comes back as it was; one watch brings both lists.
// Cause: the second list is compared with what was known before the first.
#[test]
fn two_lists_in_one_answer() {
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a", "b"])], 5);
    let items = vec![config(2, 7, &["a"]), config(3, 9, &["a", "b"])];
    let taken = list.apply_watch(clock_at(10), ListReading::complete(items, 9));
    assert_eq!(live_keys(&list), ["limits", "route/a", "route/b"]);
    // Who takes the rows in order ends with the route in force.
    let last = taken.iter().rfind(|row| row.key == "route/b").expect("has changed");
    assert!(matches!(last.value, Some(RowValue::Route(_))));
    assert_eq!(last.revision, 9);
}

#[test]
fn entry_back_in_one_answer() {
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a"]), server(1, 3)], 5);
    let gone = ItemChange::BackendRemoved { revision: 7, id: "i-1".to_owned() };
    list.apply_watch(clock_at(10), ListReading::complete(vec![gone, server(1, 8)], 8));
    assert_eq!(live_keys(&list), ["backend/i-1", "limits", "route/a"]);
}

// Symptom: as before, at an instance that got a whole copy from a peer.
// Sequence: it saw the route go; the peer read the whole store once the route was back,
//   and never saw it go, so its row is as old as the route.
// Cause: the older row of the newer copy is passed over.
#[test]
fn copy_over_removal() {
    let mut peer = FleetList::new();
    read(&mut peer, vec![config(1, 5, &["a", "b"])], 5);
    read(&mut peer, vec![config(3, 9, &["a", "b"])], 9);
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a", "b"])], 5);
    let items = vec![config(2, 7, &["a"])];
    list.apply_watch(clock_at(10), ListReading::complete(items, 8));
    assert_eq!(live_keys(&list), ["limits", "route/a"]);
    let rows = peer.rows().cloned().collect();
    let taken = list.apply_snapshot(clock_at(20), rows, peer.head(), peer.floor());
    assert_eq!(live_keys(&list), ["limits", "route/a", "route/b"]);
    // Whoever asks for what is new after the removal is told of it.
    assert!(taken.iter().any(|row| row.key == "route/b" && row.revision > 8));
}

// Symptom: an instance goes back to a former list at the revision of the newest.
// Sequence: it gets a copy in pages; a row changes at the peer between two of them, so
//   that the copy holds the row twice, as it was and as it is.
// Cause: the first of the two is taken for what the copy says.
#[test]
fn row_twice_in_copy() {
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a"]), server(1, 3)], 5);
    list.apply_watch(clock_at(10), ListReading::complete(vec![config(3, 9, &["a"])], 9));
    let copy =
        vec![limits_row(1, 5), route_row("a", 443, "desk", 5), limits_row(3, 9), limits_row(4, 11)];
    list.apply_snapshot(clock_at(20), copy, 12, 2);
    assert_eq!((list.version(), list.head()), (4, 12));
    // A copy of the same revision brings nothing.
    assert!(list.apply_snapshot(clock_at(30), vec![limits_row(1, 5)], 12, 2).is_empty());
    assert_eq!(list.version(), 4);
}

// Guards against a fleet that copies the whole list whenever the store forgets its history.
#[test]
fn changes_over_gap() {
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a", "b"]), server(1, 3), server(2, 4)], 5);
    let mut peer = FleetList::new();
    peer.apply_snapshot(clock_at(0), list.rows().cloned().collect(), 5, list.floor());
    read(&mut list, vec![config(3, 20, &["a", "c"]), server(2, 4), server(3, 22)], 30);
    assert_eq!(list.coverage_since(5), ChangeCoverage::AcrossGap);
    let rows = list.page(clock_at(0), &ListCursor::after_revision(5), 100_000).rows;
    assert!(!rows.iter().any(|row| row.key == "backend/i-2"), "didn't change");
    peer.apply_changes_across_gap(clock_at(10), rows, list.head());
    assert_eq!(live_keys(&peer), live_keys(&list));
    assert_eq!((peer.head(), peer.version()), (30, 3));
    assert_eq!(peer.coverage_since(5), ChangeCoverage::AcrossGap);
}

// Guards against a backend server kept for ever that came and went while the history was lost.
#[test]
fn gap_told_to_none_within() {
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a"]), server(1, 3)], 5);
    let mut ahead = list.clone();
    ahead.apply_watch(clock_at(5), ListReading::complete(vec![server(9, 12)], 12));
    read(&mut list, vec![config(1, 5, &["a"]), server(1, 3)], 30);
    let reaches = [4, 5, 6, 12, 29, 30, 31].map(|revision| list.coverage_since(revision));
    use ChangeCoverage::{AcrossGap, Complete, Unavailable};
    assert_eq!(
        reaches,
        [Unavailable, AcrossGap, Unavailable, Unavailable, Unavailable, Complete, Complete]
    );
    assert_eq!(list.floor(), 30);
    ahead.apply_snapshot(clock_at(10), list.rows().cloned().collect(), list.head(), list.floor());
    assert_eq!(live_keys(&ahead), live_keys(&list));
}

// Guards against changes told over a restore: its revisions stand for other changes.
#[test]
fn no_gap_over_restore() {
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a"]), server(1, 3)], 5);
    let restored = ListReading::complete(vec![config(1, 4, &["a"])], 4).with_epoch(1);
    list.apply_reading(clock_at(0), restored);
    assert_eq!(list.coverage_since(5), ChangeCoverage::Unavailable);
    assert_eq!(list.floor(), list.head());
}

// Guards against gaps without end, and against changes told that are forgotten.
#[test]
fn gaps_bounded() {
    let mut list = FleetList::new();
    for round in 1..=20 {
        read(&mut list, vec![config(1, 1, &["a"])], round * 10);
    }
    assert_eq!(list.coverage_since(100), ChangeCoverage::Unavailable);
    assert_eq!(list.coverage_since(190), ChangeCoverage::AcrossGap);
    read(&mut list, vec![config(1, 1, &["a"]), server(1, 205)], 210);
    read(&mut list, vec![config(1, 1, &["a"])], 220);
    list.remove_expired(clock_at(200_000));
    assert_eq!(list.coverage_since(210), ChangeCoverage::Unavailable);
}

// Guards against a copy in pages that is taken for complete where later pages are newer.
#[test]
fn uneven_until_caught_up() {
    let mut list = FleetList::new();
    read(&mut list, vec![config(1, 5, &["a"]), server(1, 9)], 6);
    assert!(list.has_rows_past_head());
    list.apply_watch(clock_at(0), ListReading::complete(vec![server(1, 9)], 10));
    assert!(!list.has_rows_past_head());
}
