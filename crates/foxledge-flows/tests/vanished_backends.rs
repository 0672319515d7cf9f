//! Packets whose token names no backend server of the list.

mod common;

use common::*;
use foxledge_flows::{
    DropReason, FlowDecision, FlowRouter, RefuseReason, ResetReason,
    rows::{ListRow, RowValue},
};

const VANISHED: u32 = 77;
const UNKNOWN: FlowDecision = FlowDecision::Drop(DropReason::UnknownToken);
const RESET: FlowDecision = FlowDecision::Refuse(RefuseReason::BackendVanished);

/// An instance that has just started: its list was confirmed at these times.
fn started(confirmed: &[u64]) -> FlowRouter {
    let mut router = empty_router();
    let rows = [
        limits_row(1, 1),
        route_row("r", 443, "desk", 1),
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
    ];
    router.apply_rows(clock_at(0), &rows);
    for millis in confirmed {
        router.set_confirmed_at(clock_at(*millis));
    }
    router
}

fn ask(router: &mut FlowRouter, now: u64, port: u16) -> FlowDecision {
    router.on_packet(clock_at(now), &data_packet(flow_key(1, port), VANISHED, 500, 1))
}

fn unrepeatable() -> ListRow {
    let mut row = route_row("r", 443, "desk", 9);
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
    router.set_confirmed_at(clock_at(3_500));
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
    router.set_confirmed_at(clock_at(3_150));
    assert_eq!(ask(&mut router, 3_300, 1), UNKNOWN);
    router.apply_rows(
        clock_at(3_400),
        &[listed_backend(u64::from(VANISHED), "desk", LOCAL_CENTRE, 3)],
    );
    router.set_confirmed_at(clock_at(3_500));
    let decision = ask(&mut router, 3_600, 1);
    assert_eq!(decided_backend(&router, &decision), Some(u64::from(VANISHED)));
}

// Symptom: flows of backend servers that live are reset after an outage of the store.
// Sequence: entries lapse as the store is away; an instance starts meanwhile; the store comes
//   back, and the entries some two seconds later.
// Cause: the first list after the outage lacks them.
#[test]
fn lapsed_entries_come_back() {
    let mut router = started(&[0]);
    assert_eq!(ask(&mut router, 100, 1), UNKNOWN);
    router.set_confirmed_at(clock_at(1_500));
    assert_eq!(ask(&mut router, 1_600, 1), UNKNOWN);
    // The store was away between: what lapsed meanwhile has its time anew.
    router.set_confirmed_at(clock_at(5_000));
    assert_eq!(ask(&mut router, 5_100, 1), UNKNOWN);
    router.set_confirmed_at(clock_at(7_000));
    assert_eq!(ask(&mut router, 7_100, 1), UNKNOWN);
    router.set_confirmed_at(clock_at(7_300));
    assert_eq!(ask(&mut router, 7_400, 1), RESET);
}

#[test]
fn doubt_resets_nothing() {
    // Nothing was confirmed: another instance knows better.
    let mut router = started(&[]);
    assert_eq!(ask(&mut router, 100, 1), FlowDecision::Relay);
    assert_eq!(ask(&mut router, 5_000, 1), FlowDecision::Relay);
    // The last confirmation is old.
    let mut router = started(&[0, 1_000, 2_000, 3_000]);
    assert_eq!(ask(&mut router, 500, 1), UNKNOWN);
    assert_eq!(ask(&mut router, 5_100, 1), UNKNOWN);
    // The instance stood still.
    router.set_confirmed_at(clock_at(5_200));
    router.record_pause();
    assert_eq!(ask(&mut router, 5_250, 1), UNKNOWN);
}

#[test]
fn others_wait() {
    let mut router = started(&[0, 1_000, 2_000, 3_000]);
    ask(&mut router, 500, 1);
    // Nobody waits for an answer to what has no data.
    let bare = flow_packet(flow_key(1, 1), foxledge_flows::PacketKind::Continue, VANISHED);
    assert_eq!(router.on_packet(clock_at(3_100), &bare), UNKNOWN);
    // A flow without a token was never open.
    let decision = router.on_packet(clock_at(3_100), &data_packet(flow_key(1, 3), 0, 500, 1));
    assert_eq!(decision, UNKNOWN);
    // The caller of a request that can't be repeated could do nothing else.
    router.apply_rows(clock_at(3_100), &[unrepeatable()]);
    assert_eq!(ask(&mut router, 3_200, 1), UNKNOWN);
}

/// The row of a backend server that vanished, and that of one that has its address now.
fn replaced_rows() -> [ListRow; 2] {
    let old = backend_spec(u64::from(VANISHED), "desk", LOCAL_CENTRE);
    let mut new = backend_spec(200, "desk", LOCAL_CENTRE);
    new.ip = old.ip;
    [removed_row(&backend_row(old, 3), 4, 5_000), backend_row(new, 5)]
}

// Symptom: after a data centre's return of power, feeds hang for the two seconds in which their
//   instances can't be sure of the list.
// Sequence: a peer tells which backend server the token named; another has its address now.
#[test]
fn replaced_ends_at_once() {
    let mut router = started(&[0, 1_000]);
    assert_eq!(ask(&mut router, 1_100, 1), UNKNOWN);
    assert_eq!(router.drain_token_queries(), [VANISHED]);
    router.apply_rows(clock_at(1_110), &replaced_rows());
    let decision = ask(&mut router, 1_300, 1);
    let FlowDecision::Reset { reason: ResetReason::AddressTaken { gone_ms }, .. } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(gone_ms, 5_190);
}

// Others are asked for a token now and then, not with each packet.
#[test]
fn asked_now_and_then() {
    let mut router = started(&[0]);
    let asked = (0..30).filter(|step| {
        ask(&mut router, 100 + step * 50, *step as u16);
        !router.drain_token_queries().is_empty()
    });
    assert_eq!(asked.count(), 3);
}

// Symptom: a flow is reset though its backend server lives.
// Sequence: its entry lapsed, and nobody has its address; or an older entry names the address.
#[test]
fn vanished_may_live() {
    let [gone, mut other] = replaced_rows();
    other.revision = 2;
    for rows in [vec![gone.clone()], vec![gone, other]] {
        let mut router = started(&[0, 1_000]);
        router.apply_rows(clock_at(1_100), &rows);
        let decision = ask(&mut router, 1_300, 1);
        assert_eq!(decided_backend(&router, &decision), Some(u64::from(VANISHED)));
    }
}

#[test]
fn replaced_bid_kept() {
    let mut router = started(&[0, 1_000]);
    router.apply_rows(clock_at(1_100), &replaced_rows());
    router.apply_rows(clock_at(1_100), &[unrepeatable()]);
    let decision = ask(&mut router, 1_300, 1);
    assert_eq!(decided_backend(&router, &decision), Some(u64::from(VANISHED)));
}

// Symptom: for a second after each start of an instance, open flows that come its way hang.
// Sequence: it serves on a part of a long list; their backend servers are in the rest.
// Cause: what names nobody that is known is dropped.
#[test]
fn part_relays() {
    let mut router = started(&[]);
    let bare = flow_packet(flow_key(1, 1), foxledge_flows::PacketKind::Continue, VANISHED);
    assert_eq!(router.on_packet(clock_at(50), &bare), FlowDecision::Relay);
    let known = router.on_packet(clock_at(50), &data_packet(flow_key(1, 2), 1, 500, 1));
    assert_eq!(decided_backend(&router, &known), Some(1));
    // What was never opened belongs nowhere.
    assert_eq!(router.on_packet(clock_at(50), &data_packet(flow_key(1, 3), 0, 500, 1)), UNKNOWN);
}
