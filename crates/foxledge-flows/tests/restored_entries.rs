//! Entries and operators' wishes of a store that came back from an older copy.

mod common;

use common::*;
use foxledge_flows::{FlowDecision, RefuseReason, revisions::revision_of, rows::BackendRow};

const REFUSED: FlowDecision = FlowDecision::Refuse(RefuseReason::NoBackend);

/// A row of the restored store, under the number that it had before.
fn restored(row: &foxledge_flows::rows::ListRow) -> foxledge_flows::rows::ListRow {
    foxledge_flows::rows::ListRow { revision: revision_of(1, row.revision), ..row.clone() }
}

// Guards against new flows to a leaving backend server whose entry is the one from before.
#[test]
fn leave_outlives_restore() {
    let one = backend(1, "desk", NEAR, 2);
    let mut router = desk_router(std::slice::from_ref(&one));
    router.take_rows(at(100), &[draining(&one, 5)]);
    router.take_rows(at(200), &[restored(&one)]);
    assert_eq!(router.on_packet(at(210), &opening(key(1, 1), 0)), REFUSED);
    // It has exited, and its entry lapses.
    router.take_rows(at(300), &[removed(&restored(&one), revision_of(1, 9), 0)]);
    router.set_confirmed(at(305));
    assert_eq!(router.on_packet(at(310), &opening(key(1, 2), 0)), REFUSED);
}

// Guards against a start that is taken for the one that left.
#[test]
fn start_after_leave_served() {
    let start = |incarnation: u64| BackendRow { incarnation, ..backend_spec(1, "desk", NEAR) };
    let one = backend_row(start(7), 2);
    let mut router = desk_router(std::slice::from_ref(&one));
    router.take_rows(at(100), &[draining(&one, 5)]);
    router.take_rows(at(200), &[restored(&backend_row(start(8), 3))]);
    assert_eq!(open_flow(&mut router, 210, key(1, 1)), Some(1));
}

// Guards against a backend server that never gets flows again, as another writer had spoiled
// its entry before the restore.
#[test]
fn spoiled_before_restore_served() {
    let one = backend(1, "desk", NEAR, 2);
    let mut router = desk_router(std::slice::from_ref(&one));
    router.take_rows(at(100), &[removed(&draining(&one, 4), 5, 0)]);
    router.take_rows(at(200), &[restored(&one)]);
    assert_eq!(open_flow(&mut router, 210, key(1, 1)), Some(1));
}

// Guards against a leave that can't be taken back within one epoch.
#[test]
fn leave_withdrawn() {
    let one = backend(1, "desk", NEAR, 2);
    let mut router = desk_router(std::slice::from_ref(&one));
    router.take_rows(at(100), &[draining(&one, 5)]);
    router.take_rows(at(200), &[backend(1, "desk", NEAR, 6)]);
    assert_eq!(open_flow(&mut router, 210, key(1, 1)), Some(1));
    // Said again after the restore, it can be withdrawn there as well.
    router.take_rows(at(300), &[restored(&draining(&one, 7))]);
    router.take_rows(at(400), &[restored(&backend(1, "desk", NEAR, 8))]);
    assert_eq!(open_flow(&mut router, 410, key(1, 2)), Some(1));
}

// Guards against refusals while entries that were lost are written again, after an outage too
// short for the store to count as away.
#[test]
fn lost_entries_bridged() {
    let one = backend(1, "desk", NEAR, 2);
    let mut router = desk_router(std::slice::from_ref(&one));
    router.set_confirmed(at(900));
    // Its entry had lapsed a while before the store came back without it.
    router.take_rows(at(1_000), &[removed(&one, 6, 0)]);
    router.set_confirmed(at(1_500));
    router.take_restored(at(3_000), &[limits(1, revision_of(1, 1))]);
    router.set_confirmed(at(3_000));
    assert_eq!(open_flow(&mut router, 5_100, key(1, 1)), Some(1));
    router.set_confirmed(at(5_250));
    assert_eq!(router.on_packet(at(5_260), &opening(key(1, 2), 0)), REFUSED);
}

// Guards against the reset of a live flow whose backend server's entry was lost: an instance
// that never knew it must wait until entries can be back.
#[test]
fn lost_entry_resets_nothing() {
    let one = backend(1, "desk", NEAR, 2);
    let mut router = desk_router(std::slice::from_ref(&one));
    for now in (1_000..=10_000).step_by(1_000) {
        router.set_confirmed(at(now));
    }
    router.take_restored(at(10_100), &[restored(&one)]);
    let unknown = data(key(1, 1), 77, 500, 1);
    let decisions: Vec<_> = (0..12)
        .map(|count| {
            let now = 10_150 + count * 200;
            router.set_confirmed(at(now));
            router.on_packet(at(now + 1), &unknown)
        })
        .collect();
    let is_reset = |decision: &FlowDecision| matches!(decision, FlowDecision::Refuse(_));
    let first = decisions.iter().position(is_reset).expect("is reset once it is surely gone");
    // 2.2 s from the first confirmation after the restore.
    assert_eq!(first, 12 - 1, "{decisions:?}");
}

/// A router with backend servers near and far.
fn two_centres() -> foxledge_flows::FlowRouter {
    desk_router(&[backend(1, "desk", NEAR, 2), backend(2, "desk", FAR, 2)])
}

// Guards against new flows to an evacuated data centre while the store lacks the wish.
#[test]
fn lost_wish_kept() {
    let mut router = two_centres();
    router.take_rows(at(100), &[evacuation(NEAR, 5)]);
    router.take_restored(at(1_000), &[removed(&evacuation(NEAR, 5), revision_of(1, 4), 0)]);
    router.set_confirmed(at(1_900));
    assert_eq!(open_flow(&mut router, 1_910, key(1, 1)), Some(2));
    // Written again, it holds for good.
    router.take_rows(at(2_000), &[restored(&evacuation(NEAR, 6))]);
    router.set_confirmed(at(9_000));
    assert_eq!(open_flow(&mut router, 9_010, key(1, 2)), Some(2));
    // One that isn't written again ends.
    let mut router = two_centres();
    router.take_rows(at(100), &[evacuation(NEAR, 5)]);
    router.take_restored(at(1_000), &[removed(&evacuation(NEAR, 5), revision_of(1, 4), 0)]);
    router.set_confirmed(at(3_300));
    assert_eq!(open_flow(&mut router, 3_310, key(1, 3)), Some(1));
}

// Guards against refusals as a data centre that was taken back is evacuated once more, by a
// wish that operators have withdrawn since.
#[test]
fn withdrawn_wish_waits() {
    let mut router = two_centres();
    router.take_rows(at(100), &[evacuation(FAR, 8)]);
    let rows = [restored(&evacuation(NEAR, 4)), removed(&evacuation(FAR, 8), revision_of(1, 6), 0)];
    router.take_restored(at(1_000), &rows);
    router.set_confirmed(at(1_900));
    assert_eq!(open_flow(&mut router, 1_910, key(1, 1)), Some(1));
    router.take_rows(at(2_000), &[restored(&evacuation(FAR, 9))]);
    router.take_rows(at(2_010), &[removed(&evacuation(NEAR, 4), revision_of(1, 10), 0)]);
    router.set_confirmed(at(9_000));
    assert_eq!(open_flow(&mut router, 9_010, key(1, 2)), Some(1));
    // A wish that comes after the restore counts at once.
    router.take_rows(at(9_100), &[restored(&evacuation(NEAR, 11))]);
    assert!(router.evacuations().any(|(centre, _)| centre.as_str() == NEAR));
}

// Guards against the reset of a live flow, as the entry that had the address before its backend
// server's is back with the copy.
#[test]
fn former_entry_replaces_nobody() {
    let former = backend(2, "desk", NEAR, 1);
    let mut spec = backend_spec(1, "desk", NEAR);
    spec.ip = backend_spec(2, "desk", NEAR).ip;
    let one = backend_row(spec, 5);
    let mut router = desk_router(std::slice::from_ref(&one));
    let number = open_flow(&mut router, 50, key(1, 1)).expect("is served");
    // Its entry lapses, and the store comes back without it.
    router.take_rows(at(100), &[removed(&one, 6, 0)]);
    router.take_restored(at(200), &[restored(&former)]);
    router.set_confirmed(at(201));
    let decision = router.on_packet(at(210), &data(key(1, 1), number as u32, 500, 1));
    assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    // It is within its grace, as nobody has taken its address since.
    assert!(router.backends().any(|one| one.number == 1 && router.takes_flows(at(220), one)));
}
