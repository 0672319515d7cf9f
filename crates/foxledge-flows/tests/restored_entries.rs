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
