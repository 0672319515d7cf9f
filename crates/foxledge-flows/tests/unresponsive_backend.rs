//! Backend servers that become unresponsive.

mod common;

use common::*;
use foxledge_flows::{FlowDecision, HealthClass, HealthObservation, ObservationKind};

fn two_backends() -> foxledge_flows::FlowRouter {
    listed_router(&[
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
        listed_backend(2, "desk", LOCAL_CENTRE, 2),
    ])
}

fn class_of(router: &foxledge_flows::FlowRouter, number: u64, now: u64) -> HealthClass {
    router.backend_by_number(number).expect("is known").health.class(clock_at(now))
}

/// Opens a flow that stays unanswered; returns the number of its backend server.
fn unanswered_opening(router: &mut foxledge_flows::FlowRouter, now: u64, port: u16) -> u64 {
    let decision = router.on_packet(clock_at(now), &opening_packet(flow_key(9, port), 0));
    decided_backend(router, &decision).expect("is placed")
}

// Guards against waits of 200 ms while other backend servers are idle: without the evidence of
// unanswered openings, a dead backend server would get flows until its entry expires after 3.6 s.
#[test]
fn unanswered_opening_keeps_new_flows_away() {
    let mut router = two_backends();
    let dead = unanswered_opening(&mut router, 0, 1);
    router.report_overdue_openings(clock_at(41));
    assert_eq!(class_of(&router, dead, 41), HealthClass::Suspect);
    for port in 10..30 {
        assert_ne!(open_flow(&mut router, 42, flow_key(1, port)), Some(dead));
    }
    let observations = router.drain_observations();
    assert_eq!(observations[0].number, dead);
    assert_eq!(observations[0].kind, ObservationKind::Suspect);
}

#[test]
fn retransmitted_opening_goes_elsewhere() {
    let mut router = two_backends();
    let dead = unanswered_opening(&mut router, 0, 1);
    let decision = router.on_packet(clock_at(200), &opening_packet(flow_key(9, 1), 1));
    assert_ne!(decided_backend(&router, &decision), Some(dead));
    assert_eq!(class_of(&router, dead, 201), HealthClass::Ejected);
}

// Guards against a broken flow after a pause: the opening packet and its retransmissions are read
// within a millisecond of each other. Forwarded to several backend servers, they would make the
// caller mix the token of one with the sequence numbers of another.
#[test]
fn openings_read_together_go_to_one_backend() {
    let mut router = two_backends();
    let first = unanswered_opening(&mut router, 5_000, 1);
    for attempt in 1..3 {
        let decision = router.on_packet(clock_at(5_001), &opening_packet(flow_key(9, 1), attempt));
        assert_eq!(decided_backend(&router, &decision), Some(first));
    }
    assert_eq!(class_of(&router, first, 5_002), HealthClass::Healthy);
}

// Guards against live backend servers without flows after a pause: an opening must not count as
// unanswered before the caller's next packet, which waited in the socket, has been read.
#[test]
fn pause_counts_against_no_backend() {
    let mut router = two_backends();
    let alive = unanswered_opening(&mut router, 0, 1);
    // The pause ends at 300 ms: the socket is read first, then openings are checked.
    router.on_packet(
        clock_at(300),
        &flow_packet(flow_key(9, 1), foxledge_flows::PacketKind::Continue, alive as u32),
    );
    router.report_overdue_openings(clock_at(300));
    assert_eq!(class_of(&router, alive, 300), HealthClass::Healthy);
    assert!(router.drain_observations().is_empty());
}

#[test]
fn one_flow_tries_ejected_backend() {
    let mut router = two_backends();
    let dead = unanswered_opening(&mut router, 0, 1);
    router.on_packet(clock_at(200), &opening_packet(flow_key(9, 1), 1));
    assert_eq!(class_of(&router, dead, 1_100), HealthClass::Ejected);
    assert_eq!(class_of(&router, dead, 1_300), HealthClass::Probation);
    // One flow tries it; while that flow waits, no other does.
    let trials = (0..20).filter(|port| unanswered_opening(&mut router, 1_300, 100 + port) == dead);
    assert_eq!(trials.count(), 1);
    router.report_overdue_openings(clock_at(1_345));
    assert_eq!(class_of(&router, dead, 1_346), HealthClass::Ejected);
    // The second ejection lasts twice as long.
    assert_eq!(class_of(&router, dead, 3_300), HealthClass::Ejected);
    assert_eq!(class_of(&router, dead, 3_400), HealthClass::Probation);
}

#[test]
fn response_ends_probation() {
    let mut router = two_backends();
    let dead = unanswered_opening(&mut router, 0, 1);
    router.on_packet(clock_at(200), &opening_packet(flow_key(9, 1), 1));
    router.drain_observations();
    router.on_packet(clock_at(1_300), &opening_packet(flow_key(9, 2), 0));
    router.on_packet(
        clock_at(1_307),
        &flow_packet(flow_key(9, 2), foxledge_flows::PacketKind::Continue, dead as u32),
    );
    assert_eq!(class_of(&router, dead, 1_308), HealthClass::Healthy);
    let kinds: Vec<_> =
        router.drain_observations().iter().map(|observation| observation.kind).collect();
    assert_eq!(kinds, [ObservationKind::Alive]);
}

#[test]
fn peer_observations_count() {
    let mut router = two_backends();
    router.apply_observation(
        clock_at(10),
        &HealthObservation {
            number: 1,
            incarnation: 0,
            kind: ObservationKind::Ejected,
            observed_at: clock_at(9),
        },
    );
    for port in 0..10 {
        assert_eq!(open_flow(&mut router, 20, flow_key(1, 1_000 + port)), Some(2));
    }
    router.apply_observation(
        clock_at(500),
        &HealthObservation {
            number: 1,
            incarnation: 0,
            kind: ObservationKind::Alive,
            observed_at: clock_at(499),
        },
    );
    assert_eq!(class_of(&router, 1, 500), HealthClass::Healthy);
    // An observation from before the response doesn't count any more.
    router.apply_observation(
        clock_at(510),
        &HealthObservation {
            number: 1,
            incarnation: 0,
            kind: ObservationKind::Ejected,
            observed_at: clock_at(400),
        },
    );
    assert_eq!(class_of(&router, 1, 510), HealthClass::Healthy);
}

#[test]
fn places_flows_when_all_backends_are_ejected() {
    // If all backend servers are ejected, flows are placed nevertheless: the fault may be this
    // instance's own.
    let mut router = two_backends();
    for number in [1, 2] {
        router.apply_observation(
            clock_at(10),
            &HealthObservation {
                number,
                incarnation: 0,
                kind: ObservationKind::Ejected,
                observed_at: clock_at(9),
            },
        );
    }
    assert!(open_flow(&mut router, 20, flow_key(1, 1)).is_some());
}

// Guards against a retry that goes to the same backend server: one that isn't listening resets the
// flow directly to the caller, whose second flow arrives before the first counts as unanswered.
#[test]
fn retry_of_caller_avoids_same_backend() {
    let mut router = two_backends();
    let refusing = unanswered_opening(&mut router, 0, 1);
    let decision = router.on_packet(clock_at(14), &opening_packet(flow_key(9, 2), 0));
    assert_ne!(decided_backend(&router, &decision), Some(refusing));
}

// Guards against a log that shows a flow's opening but nothing of the request that was lost on it a
// minute later: the decision must report the stall.
#[test]
fn reports_stalled_flow() {
    let mut router = two_backends();
    let number = open_flow(&mut router, 0, flow_key(1, 1)).expect("is placed");
    let request = data_packet(flow_key(1, 1), number as u32, 1_000, 0);
    let decision = router.on_packet(clock_at(100), &request);
    assert!(matches!(decision, FlowDecision::Forward { stall: None, .. }));
    let decision = router.on_packet(clock_at(300), &request);
    let FlowDecision::Forward { stall: Some(stall), .. } = decision else {
        panic!("{decision:?} reports no stall");
    };
    assert_eq!(stall.waited_ms, 200);
    assert_eq!(stall.health, HealthClass::Suspect);
    // A copy made by the network isn't reported.
    let decision =
        router.on_packet(clock_at(100), &data_packet(flow_key(2, 1), number as u32, 1_000, 0));
    assert!(matches!(decision, FlowDecision::Forward { stall: None, .. }));
    let decision =
        router.on_packet(clock_at(101), &data_packet(flow_key(2, 1), number as u32, 1_000, 0));
    assert!(matches!(decision, FlowDecision::Forward { stall: None, .. }));
}

// Guards against ejections of live backend servers after a pause of two seconds: opening packets
// that waited in the socket are forwarded after some of their callers have given up, so that no
// caller continues although the backend server responds.
#[test]
fn openings_read_after_pause_count_against_no_backend() {
    let mut router = two_backends();
    router.record_pause();
    let backend = unanswered_opening(&mut router, 7_000, 1);
    router.report_overdue_openings(clock_at(7_050));
    assert_eq!(class_of(&router, backend, 7_050), HealthClass::Healthy);
    assert!(router.drain_observations().is_empty());
    // Once the list is confirmed again, the pause is over.
    router.set_confirmed_at(clock_at(7_060));
    let backend = unanswered_opening(&mut router, 7_070, 2);
    router.report_overdue_openings(clock_at(7_120));
    assert_eq!(class_of(&router, backend, 7_120), HealthClass::Suspect);
}

// Guards against dead backend servers that are detected only by retransmissions for as long as the
// store is unreachable after a pause: once all waiting packets were read, openings must count even
// without a list confirmation.
#[test]
fn openings_count_again_once_socket_is_empty() {
    let mut router = two_backends();
    router.record_pause();
    unanswered_opening(&mut router, 7_000, 1);
    // The socket is empty now.
    router.report_overdue_openings(clock_at(7_001));
    let backend = unanswered_opening(&mut router, 7_100, 2);
    router.report_overdue_openings(clock_at(7_150));
    assert_eq!(class_of(&router, backend, 7_150), HealthClass::Suspect);
}

// Guards against new flows that are reset for two seconds after a crash: crashed backend servers
// reset openings, so that no retransmissions follow, and each of many instances sees only an
// occasional unanswered opening.
#[test]
fn suspicions_of_two_instances_eject() {
    let observation = |at_ms| HealthObservation {
        number: 1,
        incarnation: 0,
        kind: ObservationKind::Suspect,
        observed_at: clock_at(at_ms),
    };
    let class = |router: &foxledge_flows::FlowRouter, now| class_of(router, 1, now);
    let mut router = two_backends();
    router.apply_observation(clock_at(45), &observation(40));
    assert_eq!(class(&router, 46), HealthClass::Suspect);
    router.apply_observation(clock_at(60), &observation(55));
    assert_eq!(class(&router, 61), HealthClass::Ejected);
    // A response in between refutes the first suspicion.
    let mut router = two_backends();
    router.apply_observation(clock_at(45), &observation(40));
    router.apply_observation(
        clock_at(50),
        &HealthObservation { kind: ObservationKind::Alive, ..observation(48) },
    );
    router.apply_observation(clock_at(60), &observation(55));
    assert_eq!(class(&router, 61), HealthClass::Suspect);
    // An old suspicion doesn't count: most are lost packets.
    let mut router = two_backends();
    router.apply_observation(clock_at(45), &observation(40));
    router.apply_observation(clock_at(2_000), &observation(1_995));
    assert_eq!(class(&router, 2_001), HealthClass::Suspect);
}
