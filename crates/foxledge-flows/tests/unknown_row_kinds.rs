//! Rows of kinds that a build doesn't know are kept and passed on unchanged.

mod common;

use common::*;
use foxledge_flows::{
    FleetList,
    list::ListCursor,
    rows::{ExtensionRow, ListRow, RouteRow, RowValue},
};
use prost::Message;

/// A kind that no build knows yet.
const UNKNOWN_KIND: u32 = 4_000;
const PAGE: usize = 10_000;

fn unknown_row(revision: u64) -> ListRow {
    let row = ExtensionRow { kind: UNKNOWN_KIND, body: vec![9, 8, 7] };
    ListRow { key: "later/x".to_owned(), revision, value: Some(RowValue::Extension(row)) }
}

fn rows_of(list: &FleetList) -> Vec<ListRow> {
    list.page(clock_at(0), &ListCursor::start(), PAGE).rows
}

// Guards against rows of a new kind that instances lack for good after a rolling restart: an
// instance of the older build must not pass on such a row without its content at the right
// revision.
#[test]
fn passes_on_unknown_rows_unchanged() {
    let mut older = FleetList::new();
    older.apply_changes(clock_at(0), vec![limits_row(1, 1), unknown_row(2)], 2);
    let mut newer = FleetList::new();
    newer.apply_snapshot(clock_at(0), rows_of(&older), older.bounds());
    assert!(rows_of(&newer).contains(&unknown_row(2)));
    newer.apply_changes(clock_at(0), vec![unknown_row(5)], 5);
    assert!(rows_of(&newer).contains(&unknown_row(5)));
}

#[test]
fn router_ignores_unknown_rows() {
    let mut router = listed_router(&[listed_backend(1, "desk", LOCAL_CENTRE, 2)]);
    router.apply_rows(clock_at(10), &[unknown_row(9)]);
    let decision = router.on_packet(clock_at(20), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decided_backend(&router, &decision), Some(1));
}

// Guards against a crash or a change of behaviour by a body that can't be decoded.
#[test]
fn ignores_undecodable_extension_body() {
    let mut row = evacuation_row(LOCAL_CENTRE, 9);
    if let Some(RowValue::Extension(extension)) = &mut row.value {
        extension.body = vec![0xff; 5];
    }
    let mut router = listed_router(&[listed_backend(1, "desk", LOCAL_CENTRE, 2)]);
    router.apply_rows(clock_at(10), &[row]);
    assert_eq!(router.drain_evacuation_events(), []);
}

/// A route as decoded by builds without `aim_ms`.
#[derive(Clone, PartialEq, Message)]
struct OlderRoute {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint32, tag = "7")]
    timeout_ms: u32,
}

// Guards against routes that builds with and without the latency target can't decode from each
// other.
#[test]
fn routes_decode_with_and_without_latency_target() {
    let newer =
        RouteRow { name: "r".to_owned(), timeout_ms: 900, aim_ms: 400, ..RouteRow::default() };
    let older = OlderRoute::decode(newer.encode_to_vec().as_slice()).expect("is read");
    assert_eq!((older.name.as_str(), older.timeout_ms), ("r", 900));
    let newer = RouteRow::decode(older.encode_to_vec().as_slice()).expect("is read");
    assert_eq!((newer.timeout_ms, newer.aim_ms), (900, 0));
}
