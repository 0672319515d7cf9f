//! Rows of kinds that a build doesn't know: it keeps them and hands them on as they are.

mod common;

use common::*;
use foxledge_flows::{
    FleetList,
    list::ListCursor,
    rows::{ExtensionRow, ListRow, RouteRow, RowValue},
};
use prost::Message;

/// A kind that no build knows yet.
const LATER_KIND: u32 = 4_000;
const PAGE: usize = 10_000;

fn later(revision: u64) -> ListRow {
    let row = ExtensionRow { kind: LATER_KIND, body: vec![9, 8, 7] };
    ListRow { key: "later/x".to_owned(), revision, value: Some(RowValue::Extension(row)) }
}

fn rows_of(list: &FleetList) -> Vec<ListRow> {
    list.page(clock_at(0), &ListCursor::start(), PAGE).rows
}

// Symptom: after a rolling restart to a newer build, some of its instances lack rows of a kind
//   that is new, for good.
// Sequence: an instance of the older build is among them; it takes such a row and hands it on
//   without what it says, under the right revision.
#[test]
fn unknown_kept() {
    let mut older = FleetList::new();
    older.apply_changes(clock_at(0), vec![limits_row(1, 1), later(2)], 2);
    let mut newer = FleetList::new();
    newer.apply_snapshot(clock_at(0), rows_of(&older), older.head(), older.floor());
    assert!(rows_of(&newer).contains(&later(2)));
    newer.apply_changes(clock_at(0), vec![later(5)], 5);
    assert!(rows_of(&newer).contains(&later(5)));
}

#[test]
fn unknown_changes_nothing() {
    let mut router = listed_router(&[listed_backend(1, "desk", LOCAL_CENTRE, 2)]);
    router.apply_rows(clock_at(10), &[later(9)]);
    let decision = router.on_packet(clock_at(20), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decided_backend(&router, &decision), Some(1));
}

// A body that can't be read says nothing, and doesn't harm either.
#[test]
fn garbled_body_ignored() {
    let mut row = evacuation_row(LOCAL_CENTRE, 9);
    if let Some(RowValue::Extension(extension)) = &mut row.value {
        extension.body = vec![0xff; 5];
    }
    let mut router = listed_router(&[listed_backend(1, "desk", LOCAL_CENTRE, 2)]);
    router.apply_rows(clock_at(10), &[row]);
    assert_eq!(router.drain_evacuation_events(), []);
}

/// A route as builds from before `aim_ms` read it.
#[derive(Clone, PartialEq, Message)]
struct OlderRoute {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint32, tag = "7")]
    timeout_ms: u32,
}

// A build that doesn't know the latency target can't read the route, or the reverse.
#[test]
fn aim_optional() {
    let newer =
        RouteRow { name: "r".to_owned(), timeout_ms: 900, aim_ms: 400, ..RouteRow::default() };
    let older = OlderRoute::decode(newer.encode_to_vec().as_slice()).expect("is read");
    assert_eq!((older.name.as_str(), older.timeout_ms), ("r", 900));
    let newer = RouteRow::decode(older.encode_to_vec().as_slice()).expect("is read");
    assert_eq!((newer.timeout_ms, newer.aim_ms), (900, 0));
}
