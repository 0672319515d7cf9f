//! Entries and evacuations of a store that was restored from an older backup.

mod common;

use common::*;
use foxledge_flows::{FlowDecision, RefuseReason, revisions::revision_of, rows::BackendRow};

const REFUSED: FlowDecision = FlowDecision::Refuse(RefuseReason::NoBackend);

/// Returns the row as part of the restored store, with the number that it had before.
fn restored_row(row: &foxledge_flows::rows::ListRow) -> foxledge_flows::rows::ListRow {
    foxledge_flows::rows::ListRow { revision: revision_of(1, row.revision), ..row.clone() }
}

// Guards against new flows to a draining backend server whose restored entry is from before the
// draining.
#[test]
fn draining_survives_restore() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[draining_row(&row, 5)]);
    router.apply_rows(clock_at(200), &[restored_row(&row)]);
    assert_eq!(router.on_packet(clock_at(210), &opening_packet(flow_key(1, 1), 0)), REFUSED);
    // It has stopped, and its entry expires.
    router.apply_rows(clock_at(300), &[removed_row(&restored_row(&row), revision_of(1, 9), 0)]);
    router.set_confirmed_at(clock_at(305));
    assert_eq!(router.on_packet(clock_at(310), &opening_packet(flow_key(1, 2), 0)), REFUSED);
}

// Guards against a new start that is taken for the one that drained.
#[test]
fn restarted_backend_serves_after_restore() {
    let start =
        |incarnation: u64| BackendRow { incarnation, ..backend_spec(1, "desk", LOCAL_CENTRE) };
    let row = backend_row(start(7), 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[draining_row(&row, 5)]);
    router.apply_rows(clock_at(200), &[restored_row(&backend_row(start(8), 3))]);
    assert_eq!(open_flow(&mut router, 210, flow_key(1, 1)), Some(1));
}

// Guards against a backend server that never gets flows again because another writer had
// overwritten its entry before the restore.
#[test]
fn entry_invalid_before_restore_serves_again() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[removed_row(&draining_row(&row, 4), 5, 0)]);
    router.apply_rows(clock_at(200), &[restored_row(&row)]);
    assert_eq!(open_flow(&mut router, 210, flow_key(1, 1)), Some(1));
}

// Guards against draining that can't be withdrawn within one epoch.
#[test]
fn draining_can_be_withdrawn_within_epoch() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.apply_rows(clock_at(100), &[draining_row(&row, 5)]);
    router.apply_rows(clock_at(200), &[listed_backend(1, "desk", LOCAL_CENTRE, 6)]);
    assert_eq!(open_flow(&mut router, 210, flow_key(1, 1)), Some(1));
    // Announced again after the restore, draining can be withdrawn there as well.
    router.apply_rows(clock_at(300), &[restored_row(&draining_row(&row, 7))]);
    router.apply_rows(clock_at(400), &[restored_row(&listed_backend(1, "desk", LOCAL_CENTRE, 8))]);
    assert_eq!(open_flow(&mut router, 410, flow_key(1, 2)), Some(1));
}

// Guards against refusals while lost entries are written again, after an outage too short for the
// store to count as unreachable.
#[test]
fn grace_restarts_after_restore() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    router.set_confirmed_at(clock_at(900));
    // Its entry had expired a while before the store was restored without it.
    router.apply_rows(clock_at(1_000), &[removed_row(&row, 6, 0)]);
    router.set_confirmed_at(clock_at(1_500));
    router.apply_restored_rows(clock_at(3_000), &[limits_row(1, revision_of(1, 1))]);
    router.set_confirmed_at(clock_at(3_000));
    assert_eq!(open_flow(&mut router, 5_100, flow_key(1, 1)), Some(1));
    router.set_confirmed_at(clock_at(5_250));
    assert_eq!(router.on_packet(clock_at(5_260), &opening_packet(flow_key(1, 2), 0)), REFUSED);
}

// Guards against the reset of a live flow whose backend server's entry was lost: an instance that
// never knew the entry must wait until it can be back.
#[test]
fn resets_nothing_until_lost_entries_can_return() {
    let row = listed_backend(1, "desk", LOCAL_CENTRE, 2);
    let mut router = listed_router(std::slice::from_ref(&row));
    for now in (1_000..=10_000).step_by(1_000) {
        router.set_confirmed_at(clock_at(now));
    }
    router.apply_restored_rows(clock_at(10_100), &[restored_row(&row)]);
    let unknown = data_packet(flow_key(1, 1), 77, 500, 1);
    let decisions: Vec<_> = (0..12)
        .map(|count| {
            let now = 10_150 + count * 200;
            router.set_confirmed_at(clock_at(now));
            router.on_packet(clock_at(now + 1), &unknown)
        })
        .collect();
    let is_reset = |decision: &FlowDecision| matches!(decision, FlowDecision::Refuse(_));
    let first = decisions.iter().position(is_reset).expect("is reset once it is surely gone");
    // 2.2 s after the first confirmation since the restore.
    assert_eq!(first, 12 - 1, "{decisions:?}");
}

/// A router with a local and a remote backend server.
fn two_centres() -> foxledge_flows::FlowRouter {
    listed_router(&[
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
        listed_backend(2, "desk", REMOTE_CENTRE, 2),
    ])
}

// Guards against new flows to an evacuated data centre while the restored store lacks the
// evacuation.
#[test]
fn lost_evacuation_stays_for_grace_period() {
    let mut router = two_centres();
    router.apply_rows(clock_at(100), &[evacuation_row(LOCAL_CENTRE, 5)]);
    router.apply_restored_rows(
        clock_at(1_000),
        &[removed_row(&evacuation_row(LOCAL_CENTRE, 5), revision_of(1, 4), 0)],
    );
    router.set_confirmed_at(clock_at(1_900));
    assert_eq!(open_flow(&mut router, 1_910, flow_key(1, 1)), Some(2));
    // Written again, the evacuation applies for good.
    router.apply_rows(clock_at(2_000), &[restored_row(&evacuation_row(LOCAL_CENTRE, 6))]);
    router.set_confirmed_at(clock_at(9_000));
    assert_eq!(open_flow(&mut router, 9_010, flow_key(1, 2)), Some(2));
    // An evacuation that isn't written again ends.
    let mut router = two_centres();
    router.apply_rows(clock_at(100), &[evacuation_row(LOCAL_CENTRE, 5)]);
    router.apply_restored_rows(
        clock_at(1_000),
        &[removed_row(&evacuation_row(LOCAL_CENTRE, 5), revision_of(1, 4), 0)],
    );
    router.set_confirmed_at(clock_at(3_300));
    assert_eq!(open_flow(&mut router, 3_310, flow_key(1, 3)), Some(1));
}

// Guards against refusals in a data centre whose evacuation had ended: the restored store contains
// the evacuation again until operators withdraw it once more.
#[test]
fn restored_evacuation_is_deferred() {
    let mut router = two_centres();
    router.apply_rows(clock_at(100), &[evacuation_row(REMOTE_CENTRE, 8)]);
    let rows = [
        restored_row(&evacuation_row(LOCAL_CENTRE, 4)),
        removed_row(&evacuation_row(REMOTE_CENTRE, 8), revision_of(1, 6), 0),
    ];
    router.apply_restored_rows(clock_at(1_000), &rows);
    router.set_confirmed_at(clock_at(1_900));
    assert_eq!(open_flow(&mut router, 1_910, flow_key(1, 1)), Some(1));
    router.apply_rows(clock_at(2_000), &[restored_row(&evacuation_row(REMOTE_CENTRE, 9))]);
    router.apply_rows(
        clock_at(2_010),
        &[removed_row(&evacuation_row(LOCAL_CENTRE, 4), revision_of(1, 10), 0)],
    );
    router.set_confirmed_at(clock_at(9_000));
    assert_eq!(open_flow(&mut router, 9_010, flow_key(1, 2)), Some(1));
    // An evacuation requested after the restore applies at once.
    router.apply_rows(clock_at(9_100), &[restored_row(&evacuation_row(LOCAL_CENTRE, 11))]);
    assert!(router.evacuations().any(|(centre, _)| centre.as_str() == LOCAL_CENTRE));
}

// Guards against the reset of a live flow because the restored store contains the entry that had
// the address before its backend server.
#[test]
fn restored_entry_ends_no_grace() {
    let former = listed_backend(2, "desk", LOCAL_CENTRE, 1);
    let mut spec = backend_spec(1, "desk", LOCAL_CENTRE);
    spec.ip = backend_spec(2, "desk", LOCAL_CENTRE).ip;
    let row = backend_row(spec, 5);
    let mut router = listed_router(std::slice::from_ref(&row));
    let number = open_flow(&mut router, 50, flow_key(1, 1)).expect("is served");
    // Its entry expires, and the store is restored without it.
    router.apply_rows(clock_at(100), &[removed_row(&row, 6, 0)]);
    router.apply_restored_rows(clock_at(200), &[restored_row(&former)]);
    router.set_confirmed_at(clock_at(201));
    let decision =
        router.on_packet(clock_at(210), &data_packet(flow_key(1, 1), number as u32, 500, 1));
    assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    // It is within its grace period, as no other backend server has registered at its address
    // since.
    assert!(
        router
            .backends()
            .any(|backend| backend.number == 1 && router.accepts_new_flows(clock_at(220), backend))
    );
}
