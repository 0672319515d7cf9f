//! Backend servers that fall silent.

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

/// Opens a flow that nobody answers; returns the number of its backend server.
fn lost_opening(router: &mut foxledge_flows::FlowRouter, now: u64, port: u16) -> u64 {
    let decision = router.on_packet(clock_at(now), &opening_packet(flow_key(9, port), 0));
    decided_backend(router, &decision).expect("is placed")
}

// Symptom: callers wait for 200 ms although other backend servers are idle.
// Sequence: a backend server dies; flows keep being placed there until its entry
//   lapses after 3.6 s.
// Cause: nobody takes the callers' silence after an opening packet for a sign.
#[test]
fn unanswered_avoided() {
    let mut router = two_backends();
    let dead = lost_opening(&mut router, 0, 1);
    router.report_overdue_openings(clock_at(41));
    assert_eq!(class_of(&router, dead, 41), HealthClass::Suspect);
    for port in 10..30 {
        assert_ne!(open_flow(&mut router, 42, flow_key(1, port)), Some(dead));
    }
    let notes = router.drain_observations();
    assert_eq!(notes[0].number, dead);
    assert_eq!(notes[0].kind, ObservationKind::Suspect);
}

#[test]
fn copy_goes_elsewhere() {
    let mut router = two_backends();
    let dead = lost_opening(&mut router, 0, 1);
    let decision = router.on_packet(clock_at(200), &opening_packet(flow_key(9, 1), 1));
    assert_ne!(decided_backend(&router, &decision), Some(dead));
    assert_eq!(class_of(&router, dead, 201), HealthClass::Ejected);
}

// Symptom: a caller mixes the token of one backend server with the sequence
//   numbers of another, and its flow breaks.
// Sequence: this process freezes; the opening packet and its copies wait in the
//   socket and are read within a millisecond of each other.
// Cause: each copy is taken for a sign of silence and sent elsewhere.
#[test]
fn copies_after_freeze() {
    let mut router = two_backends();
    let first = lost_opening(&mut router, 5_000, 1);
    for copy in 1..3 {
        let decision = router.on_packet(clock_at(5_001), &opening_packet(flow_key(9, 1), copy));
        assert_eq!(decided_backend(&router, &decision), Some(first));
    }
    assert_eq!(class_of(&router, first, 5_002), HealthClass::Healthy);
}

// Symptom: after each pause of an instance, live backend servers get no flows.
// Sequence: an opening packet is sent on, the caller's next packet arrives while
//   the process stands still, and both the clock and that packet wait for it.
// Cause: the opening is judged before the packet that answers it has been read.
#[test]
fn pause_accuses_nobody() {
    let mut router = two_backends();
    let alive = lost_opening(&mut router, 0, 1);
    // The pause ends at 300: the socket is read first, then openings are judged.
    router.on_packet(
        clock_at(300),
        &flow_packet(flow_key(9, 1), foxledge_flows::PacketKind::Continue, alive as u32),
    );
    router.report_overdue_openings(clock_at(300));
    assert_eq!(class_of(&router, alive, 300), HealthClass::Healthy);
    assert!(router.drain_observations().is_empty());
}

#[test]
fn probation_by_one() {
    let mut router = two_backends();
    let dead = lost_opening(&mut router, 0, 1);
    router.on_packet(clock_at(200), &opening_packet(flow_key(9, 1), 1));
    assert_eq!(class_of(&router, dead, 1_100), HealthClass::Ejected);
    assert_eq!(class_of(&router, dead, 1_300), HealthClass::Probation);
    // One flow tries it; while that waits, no other does.
    let tries = (0..20).filter(|port| lost_opening(&mut router, 1_300, 100 + port) == dead);
    assert_eq!(tries.count(), 1);
    router.report_overdue_openings(clock_at(1_345));
    assert_eq!(class_of(&router, dead, 1_346), HealthClass::Ejected);
    // The second time is twice as long.
    assert_eq!(class_of(&router, dead, 3_300), HealthClass::Ejected);
    assert_eq!(class_of(&router, dead, 3_400), HealthClass::Probation);
}

#[test]
fn alive_comes_back() {
    let mut router = two_backends();
    let dead = lost_opening(&mut router, 0, 1);
    router.on_packet(clock_at(200), &opening_packet(flow_key(9, 1), 1));
    router.drain_observations();
    router.on_packet(clock_at(1_300), &opening_packet(flow_key(9, 2), 0));
    router.on_packet(
        clock_at(1_307),
        &flow_packet(flow_key(9, 2), foxledge_flows::PacketKind::Continue, dead as u32),
    );
    assert_eq!(class_of(&router, dead, 1_308), HealthClass::Healthy);
    let kinds: Vec<_> = router.drain_observations().iter().map(|note| note.kind).collect();
    assert_eq!(kinds, [ObservationKind::Alive]);
}

#[test]
fn peers_word_counts() {
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
    // What was observed before the sign of life doesn't count any more.
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
fn all_silent_still_placed() {
    // With every backend server under suspicion, flows are placed all the same:
    // the suspicion may be this instance's own fault.
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

// Symptom: a caller whose flow was reset by a backend server that isn't listening
//   tries again at once and meets the same backend server.
// Sequence: the reset goes from the backend server to the caller directly; the
//   second flow arrives before the first counts as unanswered.
// Cause: the two flows aren't seen to be of one caller.
#[test]
fn retry_avoids_reset() {
    let mut router = two_backends();
    let refusing = lost_opening(&mut router, 0, 1);
    let decision = router.on_packet(clock_at(14), &opening_packet(flow_key(9, 2), 0));
    assert_ne!(decided_backend(&router, &decision), Some(refusing));
}

// Symptom: an operator finds a flow's opening in the log, and nothing of the request
//   that was lost on it a minute later.
// Sequence: the flow's backend server falls silent while the flow is open; the caller
//   sends its request again.
// Cause: packets of open flows are sent on without a word.
#[test]
fn stalled_flow_told() {
    let mut router = two_backends();
    let number = open_flow(&mut router, 0, flow_key(1, 1)).expect("is placed");
    let asked = data_packet(flow_key(1, 1), number as u32, 1_000, 0);
    let decision = router.on_packet(clock_at(100), &asked);
    assert!(matches!(decision, FlowDecision::Forward { stall: None, .. }));
    let decision = router.on_packet(clock_at(300), &asked);
    let FlowDecision::Forward { stall: Some(stall), .. } = decision else {
        panic!("{decision:?} tells no stall");
    };
    assert_eq!(stall.waited_ms, 200);
    assert_eq!(stall.health, HealthClass::Suspect);
    // The network's own copy says nothing.
    let decision =
        router.on_packet(clock_at(100), &data_packet(flow_key(2, 1), number as u32, 1_000, 0));
    assert!(matches!(decision, FlowDecision::Forward { stall: None, .. }));
    let decision =
        router.on_packet(clock_at(101), &data_packet(flow_key(2, 1), number as u32, 1_000, 0));
    assert!(matches!(decision, FlowDecision::Forward { stall: None, .. }));
}

// Symptom: an instance that wakes accuses backend servers that answered in time.
// Sequence: it stands still for two seconds; opening packets wait in its socket, and
//   some of their callers give up meanwhile; it wakes and sends them on.
// Cause: the backend server's answer finds nobody, so no caller goes on, and that is
//   taken for the backend server's silence.
#[test]
fn late_openings_unjudged() {
    let mut router = two_backends();
    router.record_pause();
    let backend = lost_opening(&mut router, 7_000, 1);
    router.report_overdue_openings(clock_at(7_050));
    assert_eq!(class_of(&router, backend, 7_050), HealthClass::Healthy);
    assert!(router.drain_observations().is_empty());
    // Once the list is confirmed again, the pause is over.
    router.set_confirmed_at(clock_at(7_060));
    let backend = lost_opening(&mut router, 7_070, 2);
    router.report_overdue_openings(clock_at(7_120));
    assert_eq!(class_of(&router, backend, 7_120), HealthClass::Suspect);
}

// Symptom: an instance that stood still while the store was away notices dead backend
//   servers only by callers' copies, for as long as the store is away.
// Sequence: it wakes; no confirmation of the list comes for minutes.
// Cause: openings count as late until the list is confirmed, though what had waited was
//   read long ago.
#[test]
fn read_up_judges_again() {
    let mut router = two_backends();
    router.record_pause();
    lost_opening(&mut router, 7_000, 1);
    // The socket is empty now.
    router.report_overdue_openings(clock_at(7_001));
    let backend = lost_opening(&mut router, 7_100, 2);
    router.report_overdue_openings(clock_at(7_150));
    assert_eq!(class_of(&router, backend, 7_150), HealthClass::Suspect);
}

// Symptom: for two seconds after backend servers crash, callers' new flows are reset again
//   and again.
// Sequence: crashed backend servers reset openings, so that no copies follow; each of many
//   instances sees one opening unanswered now and then.
// Cause: each waits for a second unanswered opening of its own.
#[test]
fn two_observers_suffice() {
    let note = |at_ms| HealthObservation {
        number: 1,
        incarnation: 0,
        kind: ObservationKind::Suspect,
        observed_at: clock_at(at_ms),
    };
    let class = |router: &foxledge_flows::FlowRouter, now| class_of(router, 1, now);
    let mut router = two_backends();
    router.apply_observation(clock_at(45), &note(40));
    assert_eq!(class(&router, 46), HealthClass::Suspect);
    router.apply_observation(clock_at(60), &note(55));
    assert_eq!(class(&router, 61), HealthClass::Ejected);
    // A sign of life between refutes the first.
    let mut router = two_backends();
    router.apply_observation(clock_at(45), &note(40));
    router.apply_observation(
        clock_at(50),
        &HealthObservation { kind: ObservationKind::Alive, ..note(48) },
    );
    router.apply_observation(clock_at(60), &note(55));
    assert_eq!(class(&router, 61), HealthClass::Suspect);
    // An old one is none: most are packets that were lost.
    let mut router = two_backends();
    router.apply_observation(clock_at(45), &note(40));
    router.apply_observation(clock_at(2_000), &note(1_995));
    assert_eq!(class(&router, 2_001), HealthClass::Suspect);
}
