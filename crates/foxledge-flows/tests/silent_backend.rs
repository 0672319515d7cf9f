//! Backend servers that fall silent.

mod common;

use common::*;
use foxledge_flows::{FlowDecision, HealthClass, HealthNote, NoteKind};

fn two_backends() -> foxledge_flows::FlowRouter {
    desk_router(&[backend(1, "desk", NEAR, 2), backend(2, "desk", NEAR, 2)])
}

fn class_of(router: &foxledge_flows::FlowRouter, number: u64, now: u64) -> HealthClass {
    router.backend_of(number).expect("is known").health.class(at(now))
}

/// Opens a flow that nobody answers; returns the number of its backend server.
fn lost_opening(router: &mut foxledge_flows::FlowRouter, now: u64, port: u16) -> u64 {
    let decision = router.on_packet(at(now), &opening(key(9, port), 0));
    number_of(router, &decision).expect("is placed")
}

// Symptom: callers wait for 200 ms although other backend servers are idle.
// Sequence: a backend server dies; flows keep being placed there until its entry
//   lapses after 3.6 s.
// Cause: nobody takes the callers' silence after an opening packet for a sign.
#[test]
fn unanswered_avoided() {
    let mut router = two_backends();
    let dead = lost_opening(&mut router, 0, 1);
    router.check_overdue(at(41));
    assert_eq!(class_of(&router, dead, 41), HealthClass::Suspect);
    for port in 10..30 {
        assert_ne!(open_flow(&mut router, 42, key(1, port)), Some(dead));
    }
    let notes = router.take_notes();
    assert_eq!(notes[0].number, dead);
    assert_eq!(notes[0].kind, NoteKind::Suspect);
}

#[test]
fn copy_goes_elsewhere() {
    let mut router = two_backends();
    let dead = lost_opening(&mut router, 0, 1);
    let decision = router.on_packet(at(200), &opening(key(9, 1), 1));
    assert_ne!(number_of(&router, &decision), Some(dead));
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
        let decision = router.on_packet(at(5_001), &opening(key(9, 1), copy));
        assert_eq!(number_of(&router, &decision), Some(first));
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
    router
        .on_packet(at(300), &packet(key(9, 1), foxledge_flows::PacketKind::Continue, alive as u32));
    router.check_overdue(at(300));
    assert_eq!(class_of(&router, alive, 300), HealthClass::Healthy);
    assert!(router.take_notes().is_empty());
}

#[test]
fn probation_by_one() {
    let mut router = two_backends();
    let dead = lost_opening(&mut router, 0, 1);
    router.on_packet(at(200), &opening(key(9, 1), 1));
    assert_eq!(class_of(&router, dead, 1_100), HealthClass::Ejected);
    assert_eq!(class_of(&router, dead, 1_300), HealthClass::Probation);
    // One flow tries it; while that waits, no other does.
    let tries = (0..20).filter(|port| lost_opening(&mut router, 1_300, 100 + port) == dead);
    assert_eq!(tries.count(), 1);
    router.check_overdue(at(1_345));
    assert_eq!(class_of(&router, dead, 1_346), HealthClass::Ejected);
    // The second time is twice as long.
    assert_eq!(class_of(&router, dead, 3_300), HealthClass::Ejected);
    assert_eq!(class_of(&router, dead, 3_400), HealthClass::Probation);
}

#[test]
fn alive_comes_back() {
    let mut router = two_backends();
    let dead = lost_opening(&mut router, 0, 1);
    router.on_packet(at(200), &opening(key(9, 1), 1));
    router.take_notes();
    router.on_packet(at(1_300), &opening(key(9, 2), 0));
    router.on_packet(
        at(1_307),
        &packet(key(9, 2), foxledge_flows::PacketKind::Continue, dead as u32),
    );
    assert_eq!(class_of(&router, dead, 1_308), HealthClass::Healthy);
    let kinds: Vec<_> = router.take_notes().iter().map(|note| note.kind).collect();
    assert_eq!(kinds, [NoteKind::Alive]);
}

#[test]
fn peers_word_counts() {
    let mut router = two_backends();
    router.take_note(
        at(10),
        &HealthNote { number: 1, incarnation: 0, kind: NoteKind::Ejected, at: at(9) },
    );
    for port in 0..10 {
        assert_eq!(open_flow(&mut router, 20, key(1, 1_000 + port)), Some(2));
    }
    router.take_note(
        at(500),
        &HealthNote { number: 1, incarnation: 0, kind: NoteKind::Alive, at: at(499) },
    );
    assert_eq!(class_of(&router, 1, 500), HealthClass::Healthy);
    // What was observed before the sign of life doesn't count any more.
    router.take_note(
        at(510),
        &HealthNote { number: 1, incarnation: 0, kind: NoteKind::Ejected, at: at(400) },
    );
    assert_eq!(class_of(&router, 1, 510), HealthClass::Healthy);
}

#[test]
fn all_silent_still_placed() {
    // With every backend server under suspicion, flows are placed all the same:
    // the suspicion may be this instance's own fault.
    let mut router = two_backends();
    for number in [1, 2] {
        router.take_note(
            at(10),
            &HealthNote { number, incarnation: 0, kind: NoteKind::Ejected, at: at(9) },
        );
    }
    assert!(open_flow(&mut router, 20, key(1, 1)).is_some());
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
    let decision = router.on_packet(at(14), &opening(key(9, 2), 0));
    assert_ne!(number_of(&router, &decision), Some(refusing));
}

// Symptom: an operator finds a flow's opening in the log, and nothing of the request
//   that was lost on it a minute later.
// Sequence: the flow's backend server falls silent while the flow is open; the caller
//   sends its request again.
// Cause: packets of open flows are sent on without a word.
#[test]
fn stalled_flow_told() {
    let mut router = two_backends();
    let number = open_flow(&mut router, 0, key(1, 1)).expect("is placed");
    let asked = data(key(1, 1), number as u32, 1_000, 0);
    let decision = router.on_packet(at(100), &asked);
    assert!(matches!(decision, FlowDecision::Forward { stall: None, .. }));
    let decision = router.on_packet(at(300), &asked);
    let FlowDecision::Forward { stall: Some(stall), .. } = decision else {
        panic!("{decision:?} tells no stall");
    };
    assert_eq!(stall.waited_ms, 200);
    assert_eq!(stall.class, HealthClass::Suspect);
    // The network's own copy says nothing.
    let decision = router.on_packet(at(100), &data(key(2, 1), number as u32, 1_000, 0));
    assert!(matches!(decision, FlowDecision::Forward { stall: None, .. }));
    let decision = router.on_packet(at(101), &data(key(2, 1), number as u32, 1_000, 0));
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
    router.note_pause();
    let backend = lost_opening(&mut router, 7_000, 1);
    router.check_overdue(at(7_050));
    assert_eq!(class_of(&router, backend, 7_050), HealthClass::Healthy);
    assert!(router.take_notes().is_empty());
    // Once the list is confirmed again, the pause is over.
    router.set_confirmed(at(7_060));
    let backend = lost_opening(&mut router, 7_070, 2);
    router.check_overdue(at(7_120));
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
    router.note_pause();
    lost_opening(&mut router, 7_000, 1);
    // The socket is empty now.
    router.check_overdue(at(7_001));
    let backend = lost_opening(&mut router, 7_100, 2);
    router.check_overdue(at(7_150));
    assert_eq!(class_of(&router, backend, 7_150), HealthClass::Suspect);
}

// Symptom: for two seconds after backend servers crash, callers' new flows are reset again
//   and again.
// Sequence: crashed backend servers reset openings, so that no copies follow; each of many
//   instances sees one opening unanswered now and then.
// Cause: each waits for a second unanswered opening of its own.
#[test]
fn two_observers_suffice() {
    let note =
        |at_ms| HealthNote { number: 1, incarnation: 0, kind: NoteKind::Suspect, at: at(at_ms) };
    let class = |router: &foxledge_flows::FlowRouter, now| class_of(router, 1, now);
    let mut router = two_backends();
    router.take_note(at(45), &note(40));
    assert_eq!(class(&router, 46), HealthClass::Suspect);
    router.take_note(at(60), &note(55));
    assert_eq!(class(&router, 61), HealthClass::Ejected);
    // A sign of life between refutes the first.
    let mut router = two_backends();
    router.take_note(at(45), &note(40));
    router.take_note(at(50), &HealthNote { kind: NoteKind::Alive, ..note(48) });
    router.take_note(at(60), &note(55));
    assert_eq!(class(&router, 61), HealthClass::Suspect);
    // An old one is none: most are packets that were lost.
    let mut router = two_backends();
    router.take_note(at(45), &note(40));
    router.take_note(at(2_000), &note(1_995));
    assert_eq!(class(&router, 2_001), HealthClass::Suspect);
}
