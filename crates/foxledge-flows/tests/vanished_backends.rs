//! Packets whose token names no backend server of the list.

mod common;

use common::*;
use foxledge_flows::{
    DropReason, FlowDecision, FlowRouter, RefuseReason,
    rows::{ListRow, RowValue},
};

const VANISHED: u32 = 77;
const UNKNOWN: FlowDecision = FlowDecision::Drop(DropReason::UnknownToken);
const RESET: FlowDecision = FlowDecision::Refuse(RefuseReason::BackendVanished);

/// An instance that has just started: its list was confirmed at these times.
fn started(confirmed: &[u64]) -> FlowRouter {
    let mut router = router();
    let rows = [limits(1, 1), route("r", 443, "desk", 1), backend(1, "desk", NEAR, 2)];
    router.take_rows(at(0), &rows);
    for millis in confirmed {
        router.set_confirmed(at(*millis));
    }
    router
}

fn ask(router: &mut FlowRouter, now: u64, port: u16) -> FlowDecision {
    router.on_packet(at(now), &data(key(1, port), VANISHED, 500, 1))
}

fn unrepeatable() -> ListRow {
    let mut row = route("r", 443, "desk", 9);
    if let Some(RowValue::Route(route)) = &mut row.value {
        route.idempotent = false;
    }
    row
}

// Symptom: feeds hang until their callers' deadline, for seconds after a data centre is back.
// Sequence: a data centre loses power; its backend servers come back under other ids, its
//   instances start anew, and callers go on with the flows that they hold open.
// Cause: the instances have never heard of the former ids and drop each such packet unsaid.
#[test]
fn sure_absence_resets() {
    let mut router = started(&[0, 1_000, 2_000, 3_000]);
    assert_eq!(ask(&mut router, 3_100, 1), UNKNOWN);
    router.set_confirmed(at(3_500));
    assert_eq!(ask(&mut router, 3_600, 1), RESET);
    // Others with the same token need not wait.
    assert_eq!(ask(&mut router, 3_700, 2), RESET);
}

// Symptom: an open flow is reset though its backend server lives.
// Sequence: it registers, a peer opens a flow there, and the next packet comes to an instance
//   that hasn't heard of it yet.
// Cause: the list was confirmed before the backend server registered.
#[test]
fn newer_than_list() {
    let mut router = started(&[0, 1_000, 2_000, 3_000]);
    assert_eq!(ask(&mut router, 3_100, 1), UNKNOWN);
    router.set_confirmed(at(3_150));
    assert_eq!(ask(&mut router, 3_300, 1), UNKNOWN);
    router.take_rows(at(3_400), &[backend(u64::from(VANISHED), "desk", NEAR, 3)]);
    router.set_confirmed(at(3_500));
    let decision = ask(&mut router, 3_600, 1);
    assert_eq!(number_of(&router, &decision), Some(u64::from(VANISHED)));
}

// Symptom: flows of backend servers that live are reset after an outage of the store.
// Sequence: entries lapse as the store is away; an instance starts meanwhile; the store comes
//   back, and the entries some two seconds later.
// Cause: the first list after the outage lacks them.
#[test]
fn lapsed_entries_come_back() {
    let mut router = started(&[0]);
    assert_eq!(ask(&mut router, 100, 1), UNKNOWN);
    router.set_confirmed(at(1_500));
    assert_eq!(ask(&mut router, 1_600, 1), UNKNOWN);
    // The store was away between: what lapsed meanwhile has its time anew.
    router.set_confirmed(at(5_000));
    assert_eq!(ask(&mut router, 5_100, 1), UNKNOWN);
    router.set_confirmed(at(7_000));
    assert_eq!(ask(&mut router, 7_100, 1), UNKNOWN);
    router.set_confirmed(at(7_300));
    assert_eq!(ask(&mut router, 7_400, 1), RESET);
}

#[test]
fn doubt_resets_nothing() {
    // Nothing was confirmed.
    let mut router = started(&[]);
    assert_eq!(ask(&mut router, 100, 1), UNKNOWN);
    assert_eq!(ask(&mut router, 5_000, 1), UNKNOWN);
    // The last confirmation is old.
    let mut router = started(&[0, 1_000, 2_000, 3_000]);
    assert_eq!(ask(&mut router, 500, 1), UNKNOWN);
    assert_eq!(ask(&mut router, 5_100, 1), UNKNOWN);
    // The instance stood still.
    router.set_confirmed(at(5_200));
    router.note_pause();
    assert_eq!(ask(&mut router, 5_250, 1), UNKNOWN);
}

#[test]
fn others_wait() {
    let mut router = started(&[0, 1_000, 2_000, 3_000]);
    ask(&mut router, 500, 1);
    // Nobody waits for an answer to what has no data.
    let bare = packet(key(1, 1), foxledge_flows::PacketKind::Continue, VANISHED);
    assert_eq!(router.on_packet(at(3_100), &bare), UNKNOWN);
    // A flow without a token was never open.
    let decision = router.on_packet(at(3_100), &data(key(1, 3), 0, 500, 1));
    assert_eq!(decision, UNKNOWN);
    // The caller of a request that can't be repeated could do nothing else.
    router.take_rows(at(3_100), &[unrepeatable()]);
    assert_eq!(ask(&mut router, 3_200, 1), UNKNOWN);
}
