//! Signs of life that come late refute what is older than they, and nothing newer.

mod common;

use common::*;
use foxledge_flows::{HealthClass, HealthNote, HealthState, NoteKind};

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
