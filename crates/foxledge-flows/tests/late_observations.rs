//! Responses observed late refute older evidence only.

mod common;

use common::*;
use foxledge_flows::{
    FlowPacket, HealthClass, HealthObservation, HealthState, ObservationKind, PacketKind,
};

fn peer_observation(millis: u64, kind: ObservationKind) -> HealthObservation {
    HealthObservation { number: 1, incarnation: 0, kind, observed_at: clock_at(millis) }
}

// Guards against a dead backend server that gets nearly all new flows: a response observed before
// its death is received after the evidence of the death, and must not clear it.
#[test]
fn late_response_keeps_newer_evidence() {
    let mut state = HealthState::default();
    state.on_observation(clock_at(510), &peer_observation(500, ObservationKind::DataUnanswered), 0);
    state.on_observation(
        clock_at(530),
        &peer_observation(520, ObservationKind::OpeningUnanswered),
        0,
    );
    state.on_observation(clock_at(540), &peer_observation(100, ObservationKind::Alive), 0);
    assert!(state.is_dead(clock_at(550)));
    assert_eq!(state.class(clock_at(550)), HealthClass::Ejected);
    // Evidence older than the response doesn't count any more.
    let mut state = HealthState::default();
    state.on_observation(clock_at(530), &peer_observation(520, ObservationKind::Suspect), 0);
    state.on_observation(clock_at(540), &peer_observation(100, ObservationKind::Alive), 0);
    state.on_observation(clock_at(550), &peer_observation(90, ObservationKind::DataUnanswered), 0);
    assert_eq!(state.class(clock_at(560)), HealthClass::Suspect);
}

#[test]
fn newer_response_clears_evidence() {
    let mut state = HealthState::default();
    state.on_observation(clock_at(510), &peer_observation(500, ObservationKind::DataUnanswered), 0);
    state.on_observation(
        clock_at(530),
        &peer_observation(520, ObservationKind::OpeningUnanswered),
        0,
    );
    state.on_observation(clock_at(540), &peer_observation(530, ObservationKind::Alive), 0);
    assert!(!state.is_dead(clock_at(550)));
    assert_eq!(state.class(clock_at(550)), HealthClass::Healthy);
}

// Guards against unreachable backend servers that look healthy again: a caller gives up its flow
// with an abort, whose acknowledgement field is empty and must not count as a response.
#[test]
fn abort_counts_as_no_response() {
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
        router
            .drain_observations()
            .iter()
            .any(|observation| observation.kind == ObservationKind::DataUnanswered)
    );
    router.on_packet(clock_at(900), &flow_packet(key, PacketKind::Abort, 1));
    assert_eq!(router.drain_observations(), []);
    let health = router.backend_by_number(1).expect("is listed").health;
    assert_eq!(health.class(clock_at(900)), HealthClass::Ejected);
}

// Guards against the same after backend servers restarted behind a partition: the end of the
// previous process ends its flows, and callers acknowledge that or end them too. The acknowledged
// end counts like one byte and must not count as a response.
#[test]
fn acknowledged_flow_end_counts_as_no_response() {
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
