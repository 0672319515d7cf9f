//! Backend servers that restart under the same id.

mod common;

use std::net::Ipv4Addr;

use common::*;
use foxledge_flows::{
    FlowDecision, FlowKey, FlowRouter, HealthClass, HealthObservation, ObservationKind,
    rows::BackendRow,
};

const FIRST_START: u64 = 1_792_453_826_049;
const SECOND_START: u64 = 1_792_453_829_000;

fn backend_start(incarnation: u64) -> BackendRow {
    BackendRow { incarnation, ..backend_spec(1, "desk", LOCAL_CENTRE) }
}

/// Returns a router that knows the first start of backend server 1, and a remote one.
fn first_router() -> FlowRouter {
    listed_router(&[
        backend_row(backend_start(FIRST_START), 2),
        listed_backend(2, "desk", REMOTE_CENTRE, 2),
    ])
}

fn health_of(router: &FlowRouter, now: u64) -> HealthClass {
    router.backend_by_number(1).expect("is known").health.class(clock_at(now))
}

fn peer_observation(incarnation: u64, kind: ObservationKind, when: u64) -> HealthObservation {
    HealthObservation { number: 1, incarnation, kind, observed_at: clock_at(when) }
}

/// Leaves an opening packet to backend server 1 unanswered.
fn leave_opening_unanswered(router: &mut FlowRouter, sent: u64) {
    let flow = flow_key(7, 100);
    let decision = router.on_packet(clock_at(sent), &opening_packet(flow, 0));
    assert_eq!(decided_backend(router, &decision), Some(1));
    router.report_overdue_openings(clock_at(sent + 41));
    router.on_packet(clock_at(sent + 200), &opening_packet(flow, 1));
}

// Guards against a restarted backend server that gets no packets: it starts at another address with
// other slots, and its entry changes.
#[test]
fn restart_replaces_all_fields() {
    let mut router = first_router();
    let restarted = BackendRow {
        ip: u32::from(Ipv4Addr::new(10, 128, 7, 7)),
        data_centre: REMOTE_CENTRE.to_owned(),
        slots: 5,
        warm_in_ms: 2_000,
        ..backend_start(SECOND_START)
    };
    router.apply_rows(clock_at(3_000), &[backend_row(restarted, 9)]);
    let backend = router.backend_by_number(1).expect("is known");
    assert_eq!(backend.address.to_string(), "10.128.7.7:8080");
    assert_eq!((&*backend.data_centre, backend.slots), (REMOTE_CENTRE, 5));
    assert!(!backend.warm_at.is_past(clock_at(4_900)) && backend.warm_at.is_past(clock_at(5_001)));
    assert_eq!((backend.incarnation, backend.revision), (SECOND_START, 9));
}

// Guards against a restarted backend server that gets no new flows for seconds because its previous
// process was ejected.
#[test]
fn restart_clears_ejection() {
    let mut router = first_router();
    leave_opening_unanswered(&mut router, 1_000);
    assert_eq!(health_of(&router, 1_300), HealthClass::Ejected);
    router.apply_rows(clock_at(1_400), &[backend_row(backend_start(SECOND_START), 9)]);
    assert_eq!(health_of(&router, 1_401), HealthClass::Healthy);
    assert_eq!(open_flow(&mut router, 1_410, flow_key(1, 1)), Some(1));
}

#[test]
fn packets_to_previous_process_prove_nothing() {
    // An opening sent to the previous process is found unanswered after the restart became known.
    let mut router = first_router();
    let flow = flow_key(7, 100);
    router.on_packet(clock_at(1_000), &opening_packet(flow, 0));
    router.apply_rows(clock_at(1_020), &[backend_row(backend_start(SECOND_START), 9)]);
    router.report_overdue_openings(clock_at(1_100));
    router.on_packet(clock_at(1_200), &opening_packet(flow, 1));
    assert_eq!(health_of(&router, 1_201), HealthClass::Healthy);
}

// Guards against the same at an instance without observations of its own: peers that don't know the
// restart yet report the previous process as unresponsive.
#[test]
fn peer_observations_of_previous_process_are_ignored() {
    let mut router = first_router();
    router.apply_rows(clock_at(1_000), &[backend_row(backend_start(SECOND_START), 9)]);
    for kind in
        [ObservationKind::Suspect, ObservationKind::Ejected, ObservationKind::OpeningUnanswered]
    {
        router.apply_observation(clock_at(1_100), &peer_observation(FIRST_START, kind, 1_090));
        assert_eq!(health_of(&router, 1_101), HealthClass::Healthy, "{kind:?}");
    }
    router.apply_observation(
        clock_at(1_200),
        &peer_observation(SECOND_START, ObservationKind::OpeningUnanswered, 1_190),
    );
    assert_eq!(health_of(&router, 1_201), HealthClass::Ejected);
    // A response of the previous process doesn't count for the new one either.
    router.apply_observation(
        clock_at(1_300),
        &peer_observation(FIRST_START, ObservationKind::Alive, 1_290),
    );
    assert_eq!(health_of(&router, 1_301), HealthClass::Ejected);
    // This instance's own observations name the start that it observed.
    leave_opening_unanswered(&mut router, 4_000);
    assert!(
        router
            .drain_observations()
            .iter()
            .all(|observation| observation.incarnation == SECOND_START)
    );
}

#[test]
fn flows_of_previous_process_prove_no_response() {
    // A caller continues a flow of the previous process, which proves nothing of the new one.
    let mut router = first_router();
    let flow = flow_key(1, 1);
    router.on_packet(clock_at(1_000), &opening_packet(flow, 0));
    router.apply_rows(clock_at(1_010), &[backend_row(backend_start(SECOND_START), 9)]);
    router.apply_observation(
        clock_at(1_015),
        &peer_observation(SECOND_START, ObservationKind::OpeningUnanswered, 1_012),
    );
    router.on_packet(clock_at(1_020), &data_packet(flow, 1, 1_000, 1));
    assert_eq!(health_of(&router, 1_021), HealthClass::Ejected);
}

// Guards against a restarted backend server that gets hardly any new flows: callers continue to
// send requests on flows of the previous process, which the new one resets, and those must not
// count as running.
#[test]
fn flows_of_previous_process_are_not_counted() {
    let mut router = first_router();
    let flows: Vec<FlowKey> = (1..4).map(|port| flow_key(1, port)).collect();
    for flow in &flows {
        assert_eq!(open_flow(&mut router, 0, *flow), Some(1));
        router.on_packet(clock_at(8), &data_packet(*flow, 1, 1_000, 1));
    }
    assert_eq!(
        router.backend_by_number(1).map(|backend| (backend.open_flows, backend.running_requests)),
        Some((3, 3))
    );
    router.apply_rows(clock_at(500), &[backend_row(backend_start(SECOND_START), 9)]);
    for flow in &flows {
        let decision = router.on_packet(clock_at(600), &data_packet(*flow, 1, 1_100, 1));
        assert_eq!(decided_backend(&router, &decision), Some(1), "its own reset tells the caller");
    }
    assert_eq!(
        router.backend_by_number(1).map(|backend| (backend.open_flows, backend.running_requests)),
        Some((0, 0))
    );
    // A later flow belongs to the new process.
    open_flow(&mut router, 700, flow_key(1, 9));
    router.on_packet(clock_at(710), &data_packet(flow_key(1, 9), 1, 1_000, 1));
    assert_eq!(
        router.backend_by_number(1).map(|backend| (backend.open_flows, backend.running_requests)),
        Some((1, 1))
    );
}

// Guards against flows to a stopped process: the clock of the machine jumps back between two
// starts, so that the later start time belongs to the older start.
#[test]
fn later_revision_decides_over_start_time() {
    let mut router = first_router();
    router.apply_rows(clock_at(100), &[backend_row(backend_start(FIRST_START - 60_000), 9)]);
    assert_eq!(
        router.backend_by_number(1).map(|backend| backend.incarnation),
        Some(FIRST_START - 60_000)
    );
    router.apply_rows(clock_at(200), &[backend_row(backend_start(FIRST_START), 8)]);
    assert_eq!(
        router.backend_by_number(1).map(|backend| backend.incarnation),
        Some(FIRST_START - 60_000)
    );
}

#[test]
fn restart_ends_draining_and_removal() {
    // Drained, removed and restarted; drained and restarted; removed and restarted.
    for (is_drained, is_removed) in [(true, true), (true, false), (false, true)] {
        let mut router = first_router();
        let first = backend_row(backend_start(FIRST_START), 2);
        let mut row = if is_drained { draining_row(&first, 3) } else { first.clone() };
        router.apply_rows(clock_at(100), std::slice::from_ref(&row));
        if is_removed {
            row = removed_row(&row, 4, 0);
            router.apply_rows(clock_at(5_000), &[row]);
        }
        router.apply_rows(clock_at(9_000), &[backend_row(backend_start(SECOND_START), 9)]);
        assert_eq!(
            open_flow(&mut router, 9_010, flow_key(1, 1)),
            Some(1),
            "{is_drained} {is_removed}"
        );
    }
}

#[test]
fn reused_address_of_previous_process_changes_nothing() {
    // Another backend server has the previous address; the new process has its own.
    let mut router = first_router();
    let first = backend_row(backend_start(FIRST_START), 2);
    router.apply_rows(clock_at(100), &[removed_row(&first, 3, 0)]);
    let mut other = backend_spec(5, "desk", REMOTE_CENTRE);
    other.ip = u32::from(Ipv4Addr::new(10, 128, 0, 1));
    router.apply_rows(clock_at(2_000), &[backend_row(other, 4)]);
    let restarted =
        BackendRow { ip: u32::from(Ipv4Addr::new(10, 128, 7, 7)), ..backend_start(SECOND_START) };
    router.apply_rows(clock_at(3_000), &[backend_row(restarted, 5)]);
    assert_eq!(open_flow(&mut router, 3_010, flow_key(1, 1)), Some(1));
    // Its own previous address, used by it again, doesn't make it replaced.
    router.apply_rows(
        clock_at(4_000),
        &[removed_row(&backend_row(backend_start(SECOND_START), 5), 6, 0)],
    );
    router.apply_rows(clock_at(4_100), &[backend_row(backend_start(SECOND_START + 5), 7)]);
    assert_eq!(open_flow(&mut router, 4_110, flow_key(1, 2)), Some(1));
}

// Guards against the reset of flows of a restarted backend server: an instance learns of the
// restart late, and flows opened since by other instances carry the same token as those of the
// previous process.
#[test]
fn keeps_flows_after_restart() {
    let mut router = first_router();
    let flow = flow_key(1, 1);
    router.on_packet(clock_at(900), &data_packet(flow, 1, 1_000, 1));
    router.apply_rows(clock_at(1_000), &[backend_row(backend_start(SECOND_START), 9)]);
    for now in [1_010, 1_210, 1_610, 2_410] {
        let decision = router.on_packet(clock_at(now), &data_packet(flow, 1, 1_000, 1));
        assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    }
}
