//! A backend server that starts again under the id that it had.

mod common;

use std::net::Ipv4Addr;

use common::*;
use foxledge_flows::{
    FlowDecision, FlowKey, FlowRouter, HealthClass, HealthObservation, ObservationKind,
    rows::BackendRow,
};

const FIRST: u64 = 1_792_453_826_049;
const SECOND: u64 = 1_792_453_829_000;

fn spec(incarnation: u64) -> BackendRow {
    BackendRow { incarnation, ..backend_spec(1, "desk", LOCAL_CENTRE) }
}

/// A router that knows backend server 1 by its first start, and one far away.
fn first_router() -> FlowRouter {
    listed_router(&[backend_row(spec(FIRST), 2), listed_backend(2, "desk", REMOTE_CENTRE, 2)])
}

fn health_of(router: &FlowRouter, now: u64) -> HealthClass {
    router.backend_by_number(1).expect("is known").health.class(clock_at(now))
}

fn note(incarnation: u64, kind: ObservationKind, when: u64) -> HealthObservation {
    HealthObservation { number: 1, incarnation, kind, observed_at: clock_at(when) }
}

/// Leaves the opening packets of callers unanswered at backend server 1.
fn silence(router: &mut FlowRouter, sent: u64) {
    let flow = flow_key(7, 100);
    let decision = router.on_packet(clock_at(sent), &opening_packet(flow, 0));
    assert_eq!(decided_backend(router, &decision), Some(1));
    router.report_overdue_openings(clock_at(sent + 41));
    router.on_packet(clock_at(sent + 200), &opening_packet(flow, 1));
}

// Symptom: a backend server that starts again under its id gets no packets.
// Sequence: it crashes and starts elsewhere, with other slots; its entry changes.
// Cause: of a known id only the state is read.
#[test]
fn all_taken_anew() {
    let mut router = first_router();
    let again = BackendRow {
        ip: u32::from(Ipv4Addr::new(10, 128, 7, 7)),
        data_centre: REMOTE_CENTRE.to_owned(),
        slots: 5,
        warm_in_ms: 2_000,
        ..spec(SECOND)
    };
    router.apply_rows(clock_at(3_000), &[backend_row(again, 9)]);
    let backend = router.backend_by_number(1).expect("is known");
    assert_eq!(backend.address.to_string(), "10.128.7.7:8080");
    assert_eq!((&*backend.data_centre, backend.slots), (REMOTE_CENTRE, 5));
    assert!(!backend.warm_at.is_past(clock_at(4_900)) && backend.warm_at.is_past(clock_at(5_001)));
    assert_eq!((backend.incarnation, backend.revision), (SECOND, 9));
}

// Symptom: a backend server that has just started gets no new flows for seconds.
// Sequence: it was ejected for its silence, and starts again under its id.
// Cause: what was seen of the former process counts against the new one.
#[test]
fn former_silence_forgotten() {
    let mut router = first_router();
    silence(&mut router, 1_000);
    assert_eq!(health_of(&router, 1_300), HealthClass::Ejected);
    router.apply_rows(clock_at(1_400), &[backend_row(spec(SECOND), 9)]);
    assert_eq!(health_of(&router, 1_401), HealthClass::Healthy);
    assert_eq!(open_flow(&mut router, 1_410, flow_key(1, 1)), Some(1));
}

#[test]
fn late_silence_forgotten() {
    // Sent to the former process, and found unanswered after the news of the new one.
    let mut router = first_router();
    let flow = flow_key(7, 100);
    router.on_packet(clock_at(1_000), &opening_packet(flow, 0));
    router.apply_rows(clock_at(1_020), &[backend_row(spec(SECOND), 9)]);
    router.report_overdue_openings(clock_at(1_100));
    router.on_packet(clock_at(1_200), &opening_packet(flow, 1));
    assert_eq!(health_of(&router, 1_201), HealthClass::Healthy);
}

// Symptom: the same, at an instance that has seen nothing itself.
// Sequence: peers that don't know of the start yet tell of the former process's silence.
// Cause: an observation names the id and not the start.
#[test]
fn former_notes_ignored() {
    let mut router = first_router();
    router.apply_rows(clock_at(1_000), &[backend_row(spec(SECOND), 9)]);
    for kind in
        [ObservationKind::Suspect, ObservationKind::Ejected, ObservationKind::OpeningUnanswered]
    {
        router.apply_observation(clock_at(1_100), &note(FIRST, kind, 1_090));
        assert_eq!(health_of(&router, 1_101), HealthClass::Healthy, "{kind:?}");
    }
    router.apply_observation(
        clock_at(1_200),
        &note(SECOND, ObservationKind::OpeningUnanswered, 1_190),
    );
    assert_eq!(health_of(&router, 1_201), HealthClass::Ejected);
    // Nor does a sign of life of the former one speak for the other.
    router.apply_observation(clock_at(1_300), &note(FIRST, ObservationKind::Alive, 1_290));
    assert_eq!(health_of(&router, 1_301), HealthClass::Ejected);
    // What this instance tells names the start that it saw.
    silence(&mut router, 4_000);
    assert!(router.drain_observations().iter().all(|note| note.incarnation == SECOND));
}

#[test]
fn former_life_ignored() {
    // A caller goes on with a flow that the former process opened: says nothing of this one.
    let mut router = first_router();
    let flow = flow_key(1, 1);
    router.on_packet(clock_at(1_000), &opening_packet(flow, 0));
    router.apply_rows(clock_at(1_010), &[backend_row(spec(SECOND), 9)]);
    router.apply_observation(
        clock_at(1_015),
        &note(SECOND, ObservationKind::OpeningUnanswered, 1_012),
    );
    router.on_packet(clock_at(1_020), &data_packet(flow, 1, 1_000, 1));
    assert_eq!(health_of(&router, 1_021), HealthClass::Ejected);
}

// Symptom: a backend server that has just started gets hardly any new flows.
// Sequence: callers go on asking on flows of the former process, which the new one resets.
// Cause: those requests are counted as running there.
#[test]
fn former_flows_uncounted() {
    let mut router = first_router();
    let flows: Vec<FlowKey> = (1..4).map(|port| flow_key(1, port)).collect();
    for flow in &flows {
        assert_eq!(open_flow(&mut router, 0, *flow), Some(1));
        router.on_packet(clock_at(8), &data_packet(*flow, 1, 1_000, 1));
    }
    assert_eq!(
        router.backend_by_number(1).map(|one| (one.open_flows, one.running_requests)),
        Some((3, 3))
    );
    router.apply_rows(clock_at(500), &[backend_row(spec(SECOND), 9)]);
    for flow in &flows {
        let decision = router.on_packet(clock_at(600), &data_packet(*flow, 1, 1_100, 1));
        assert_eq!(decided_backend(&router, &decision), Some(1), "its own reset tells the caller");
    }
    assert_eq!(
        router.backend_by_number(1).map(|one| (one.open_flows, one.running_requests)),
        Some((0, 0))
    );
    // A later flow of the new process is one of its own.
    open_flow(&mut router, 700, flow_key(1, 9));
    router.on_packet(clock_at(710), &data_packet(flow_key(1, 9), 1, 1_000, 1));
    assert_eq!(
        router.backend_by_number(1).map(|one| (one.open_flows, one.running_requests)),
        Some((1, 1))
    );
}

// Symptom: an old answer of the store sends flows to a process that is gone.
// Sequence: the clock of a backend server's machine jumps back between two starts.
// Cause: the start with the later time is taken for the newer.
#[test]
fn revision_decides() {
    let mut router = first_router();
    router.apply_rows(clock_at(100), &[backend_row(spec(FIRST - 60_000), 9)]);
    assert_eq!(router.backend_by_number(1).map(|one| one.incarnation), Some(FIRST - 60_000));
    router.apply_rows(clock_at(200), &[backend_row(spec(FIRST), 8)]);
    assert_eq!(router.backend_by_number(1).map(|one| one.incarnation), Some(FIRST - 60_000));
}

#[test]
fn leave_of_former_ends() {
    // Drained, left, and back; lapsed, and back.
    for (drains, gone) in [(true, true), (true, false), (false, true)] {
        let mut router = first_router();
        let first = backend_row(spec(FIRST), 2);
        let mut row = if drains { draining_row(&first, 3) } else { first.clone() };
        router.apply_rows(clock_at(100), std::slice::from_ref(&row));
        if gone {
            row = removed_row(&row, 4, 0);
            router.apply_rows(clock_at(5_000), &[row]);
        }
        router.apply_rows(clock_at(9_000), &[backend_row(spec(SECOND), 9)]);
        assert_eq!(open_flow(&mut router, 9_010, flow_key(1, 1)), Some(1), "{drains} {gone}");
    }
}

#[test]
fn taken_address_of_former() {
    // Another has the former's address; the new process has its own.
    let mut router = first_router();
    let first = backend_row(spec(FIRST), 2);
    router.apply_rows(clock_at(100), &[removed_row(&first, 3, 0)]);
    let mut other = backend_spec(5, "desk", REMOTE_CENTRE);
    other.ip = u32::from(Ipv4Addr::new(10, 128, 0, 1));
    router.apply_rows(clock_at(2_000), &[backend_row(other, 4)]);
    let again = BackendRow { ip: u32::from(Ipv4Addr::new(10, 128, 7, 7)), ..spec(SECOND) };
    router.apply_rows(clock_at(3_000), &[backend_row(again, 5)]);
    assert_eq!(open_flow(&mut router, 3_010, flow_key(1, 1)), Some(1));
    // Its own former address, taken by it once more, ends nothing.
    router.apply_rows(clock_at(4_000), &[removed_row(&backend_row(spec(SECOND), 5), 6, 0)]);
    router.apply_rows(clock_at(4_100), &[backend_row(spec(SECOND + 5), 7)]);
    assert_eq!(open_flow(&mut router, 4_110, flow_key(1, 2)), Some(1));
}

// Symptom: flows of a backend server that has just started are reset.
// Sequence: an instance learns late of the new start; flows opened since by others'
//   knowledge pass it, with the same token as the former's.
// Cause: the token doesn't tell the start, so that no flow is surely the former's.
#[test]
fn no_flow_is_surely_formers() {
    let mut router = first_router();
    let flow = flow_key(1, 1);
    router.on_packet(clock_at(900), &data_packet(flow, 1, 1_000, 1));
    router.apply_rows(clock_at(1_000), &[backend_row(spec(SECOND), 9)]);
    for now in [1_010, 1_210, 1_610, 2_410] {
        let decision = router.on_packet(clock_at(now), &data_packet(flow, 1, 1_000, 1));
        assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    }
}
