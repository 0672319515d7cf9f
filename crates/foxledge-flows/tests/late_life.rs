//! Signs of life that come late refute what is older than they, and nothing newer.

mod common;

use common::*;
use foxledge_flows::{
    FlowPacket, HealthClass, HealthObservation, HealthState, ObservationKind, PacketKind,
};

fn note(millis: u64, kind: ObservationKind) -> HealthObservation {
    HealthObservation { number: 1, incarnation: 0, kind, observed_at: clock_at(millis) }
}

// Symptom: a backend server that is known to be dead gets nearly all new flows.
// Sequence: it is seen alive, dies, and is found silent; the sign of life comes last.
// Cause: a sign of life made everything forgotten, whatever its age.
#[test]
fn newer_silence_stands() {
    let mut state = HealthState::default();
    state.on_observation(clock_at(510), &note(500, ObservationKind::DataUnanswered), 0);
    state.on_observation(clock_at(530), &note(520, ObservationKind::OpeningUnanswered), 0);
    state.on_observation(clock_at(540), &note(100, ObservationKind::Alive), 0);
    assert!(state.is_dead(clock_at(550)));
    assert_eq!(state.class(clock_at(550)), HealthClass::Ejected);
    // What is older than the sign of life counts no more.
    let mut state = HealthState::default();
    state.on_observation(clock_at(530), &note(520, ObservationKind::Suspect), 0);
    state.on_observation(clock_at(540), &note(100, ObservationKind::Alive), 0);
    state.on_observation(clock_at(550), &note(90, ObservationKind::DataUnanswered), 0);
    assert_eq!(state.class(clock_at(560)), HealthClass::Suspect);
}

#[test]
fn newer_life_counts() {
    let mut state = HealthState::default();
    state.on_observation(clock_at(510), &note(500, ObservationKind::DataUnanswered), 0);
    state.on_observation(clock_at(530), &note(520, ObservationKind::OpeningUnanswered), 0);
    state.on_observation(clock_at(540), &note(530, ObservationKind::Alive), 0);
    assert!(!state.is_dead(clock_at(550)));
    assert_eq!(state.class(clock_at(550)), HealthClass::Healthy);
}

// Symptom: backend servers behind a cut look healthy again, one after the other, and all new
//   flows go there.
// Sequence: a caller's data stays unanswered there; the caller gives its flow up with a reset.
// Cause: the reset's acknowledgement, which holds nothing, was taken for that of an answer.
#[test]
fn giving_up_is_no_life() {
    let mut router = listed_router(&[
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
        listed_backend(2, "desk", LOCAL_CENTRE, 2),
    ]);
    let key = flow_key(1, 1);
    router.on_packet(clock_at(100), &data_packet(key, 1, 500, 4_000_000_000));
    for millis in [300, 700] {
        router.on_packet(clock_at(millis), &data_packet(key, 1, 500, 4_000_000_000));
    }
    assert!(
        router.drain_observations().iter().any(|note| note.kind == ObservationKind::DataUnanswered)
    );
    router.on_packet(clock_at(900), &flow_packet(key, PacketKind::Abort, 1));
    assert_eq!(router.drain_observations(), []);
    let health = router.backend_by_number(1).expect("is listed").health;
    assert_eq!(health.class(clock_at(900)), HealthClass::Ejected);
}

// Symptom and effect as above.
// Sequence: backend servers are cut off and start again behind the cut. The end of the former
//   process ends its flows, and their callers acknowledge that, or end them too.
// Cause: the acknowledged end, which counts like one byte, was taken for an answer.
#[test]
fn flow_end_is_no_life() {
    for kind in [PacketKind::Continue, PacketKind::Finish] {
        let mut router = listed_router(&[
            listed_backend(1, "desk", LOCAL_CENTRE, 2),
            listed_backend(2, "desk", LOCAL_CENTRE, 2),
        ]);
        let key = flow_key(1, 1);
        for millis in [100, 300, 700] {
            router.on_packet(clock_at(millis), &data_packet(key, 1, 500, 9_000));
        }
        router.drain_observations();
        let end = FlowPacket { acknowledged: 9_001, ..flow_packet(key, kind, 1) };
        router.on_packet(clock_at(900), &end);
        assert_eq!(router.drain_observations(), []);
        assert!(router.drain_latencies().is_empty());
        let health = router.backend_by_number(1).expect("is listed").health;
        assert_eq!(health.class(clock_at(900)), HealthClass::Ejected);
    }
}
