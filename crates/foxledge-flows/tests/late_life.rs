//! Signs of life that come late refute what is older than they, and nothing newer.

mod common;

use common::*;
use foxledge_flows::{FlowPacket, HealthClass, HealthNote, HealthState, NoteKind, PacketKind};

fn note(millis: u64, kind: NoteKind) -> HealthNote {
    HealthNote { number: 1, incarnation: 0, kind, at: at(millis) }
}

// Symptom: a backend server that is known to be dead gets nearly all new flows.
// Sequence: it is seen alive, dies, and is found silent; the sign of life comes last.
// Cause: a sign of life made everything forgotten, whatever its age.
#[test]
fn newer_silence_stands() {
    let mut state = HealthState::default();
    state.on_note(at(510), &note(500, NoteKind::Lost), 0);
    state.on_note(at(530), &note(520, NoteKind::Silent), 0);
    state.on_note(at(540), &note(100, NoteKind::Alive), 0);
    assert!(state.is_dead(at(550)));
    assert_eq!(state.class(at(550)), HealthClass::Ejected);
    // What is older than the sign of life counts no more.
    let mut state = HealthState::default();
    state.on_note(at(530), &note(520, NoteKind::Suspect), 0);
    state.on_note(at(540), &note(100, NoteKind::Alive), 0);
    state.on_note(at(550), &note(90, NoteKind::Lost), 0);
    assert_eq!(state.class(at(560)), HealthClass::Suspect);
}

#[test]
fn newer_life_counts() {
    let mut state = HealthState::default();
    state.on_note(at(510), &note(500, NoteKind::Lost), 0);
    state.on_note(at(530), &note(520, NoteKind::Silent), 0);
    state.on_note(at(540), &note(530, NoteKind::Alive), 0);
    assert!(!state.is_dead(at(550)));
    assert_eq!(state.class(at(550)), HealthClass::Healthy);
}

// Symptom: backend servers behind a cut look healthy again, one after the other, and all new
//   flows go there.
// Sequence: a caller's data stays unanswered there; the caller gives its flow up with a reset.
// Cause: the reset's acknowledgement, which holds nothing, was taken for that of an answer.
#[test]
fn giving_up_is_no_life() {
    let mut router = desk_router(&[backend(1, "desk", NEAR, 2), backend(2, "desk", NEAR, 2)]);
    let key = key(1, 1);
    router.on_packet(at(100), &data(key, 1, 500, 4_000_000_000));
    for millis in [300, 700] {
        router.on_packet(at(millis), &data(key, 1, 500, 4_000_000_000));
    }
    assert!(router.take_notes().iter().any(|note| note.kind == NoteKind::Lost));
    router.on_packet(at(900), &packet(key, PacketKind::Abort, 1));
    assert_eq!(router.take_notes(), []);
    let health = router.backend_of(1).expect("is listed").health;
    assert_eq!(health.class(at(900)), HealthClass::Ejected);
}

// Symptom and effect as above.
// Sequence: backend servers are cut off and start again behind the cut. The end of the former
//   process ends its flows, and their callers acknowledge that, or end them too.
// Cause: the acknowledged end, which counts like one byte, was taken for an answer.
#[test]
fn flow_end_is_no_life() {
    for kind in [PacketKind::Continue, PacketKind::Finish] {
        let mut router = desk_router(&[backend(1, "desk", NEAR, 2), backend(2, "desk", NEAR, 2)]);
        let key = key(1, 1);
        for millis in [100, 300, 700] {
            router.on_packet(at(millis), &data(key, 1, 500, 9_000));
        }
        router.take_notes();
        let end = FlowPacket { acknowledged: 9_001, ..packet(key, kind, 1) };
        router.on_packet(at(900), &end);
        assert_eq!(router.take_notes(), []);
        assert!(router.take_latencies().is_empty());
        let health = router.backend_of(1).expect("is listed").health;
        assert_eq!(health.class(at(900)), HealthClass::Ejected);
    }
}
