//! Flows that are each alone with their backend server, in a data centre that answers nobody.
//!
//! The load: a data centre of hundreds of backend servers loses its power under callers that hold
//! one flow each; what instances of others see of it is one request here and there.

mod common;

use common::*;
use foxledge_flows::{FlowDecision, FlowRouter, HealthObservation, ObservationKind, ResetReason};

/// Backend servers elsewhere, from 11 on; one more lives nearby.
const FAR_BACKENDS: u64 = 8;

fn far_router() -> FlowRouter {
    let far =
        (11..11 + FAR_BACKENDS).map(|number| listed_backend(number, "desk", REMOTE_CENTRE, 2));
    let rows: Vec<_> = far.chain([listed_backend(1, "desk", LOCAL_CENTRE, 2)]).collect();
    listed_router(&rows)
}

/// What peers tell of a backend server elsewhere.
fn tell(router: &mut FlowRouter, number: u64, kind: ObservationKind, now: u64) {
    router.apply_observation(
        clock_at(now),
        &HealthObservation { number, incarnation: 0, kind, observed_at: clock_at(now) },
    );
}

/// A request on a flow that is alone with backend server 11, and what is done with its copies.
fn wait_in_vain(router: &mut FlowRouter) -> Vec<FlowDecision> {
    let request = data_packet(flow_key(1, 1), 11, 2_000, 1);
    [1_000, 1_200, 1_600].map(|now| router.on_packet(clock_at(now), &request)).to_vec()
}

// Symptom: feeds to a data centre without power hang for 1.4 s, and many to their deadline.
// Cause: each is the only flow at its backend server, and nothing else speaks for its death.
#[test]
fn lone_flow_ended() {
    let mut router = far_router();
    for number in 12..16 {
        tell(&mut router, number, ObservationKind::DataUnanswered, 1_100);
    }
    let decisions = wait_in_vain(&mut router);
    assert!(matches!(decisions[1], FlowDecision::Forward { .. }), "{:?}", decisions[1]);
    let FlowDecision::Reset { reason, .. } = &decisions[2] else { panic!("{:?}", decisions[2]) };
    assert_eq!(*reason, ResetReason::CentreSilent { waited_ms: 600, silent_backends: 4 });
}

#[test]
fn few_silences_keep() {
    let mut router = far_router();
    for number in 12..15 {
        tell(&mut router, number, ObservationKind::DataUnanswered, 1_100);
    }
    assert!(matches!(wait_in_vain(&mut router)[2], FlowDecision::Forward { .. }));
}

// Symptom: a flow is reset though its backend server lives.
// Sequence: some of the data centre are dead, and others answer; three of the flow's packets
//   are lost.
#[test]
fn answers_from_there_keep() {
    let mut router = far_router();
    for number in 12..16 {
        tell(&mut router, number, ObservationKind::DataUnanswered, 1_050);
    }
    // A caller goes on at another one there.
    let other = data_packet(flow_key(2, 2), 18, 500, 1);
    router.on_packet(clock_at(1_060), &other);
    let answered = foxledge_flows::FlowPacket { acknowledged: 900, ..other };
    router.on_packet(clock_at(1_110), &foxledge_flows::FlowPacket { length: 0, ..answered });
    assert!(matches!(wait_in_vain(&mut router)[2], FlowDecision::Forward { .. }));
}

#[test]
fn old_silence_keeps() {
    let mut router = far_router();
    for number in 12..16 {
        router.apply_observation(
            clock_at(1_000),
            &HealthObservation {
                number,
                incarnation: 0,
                kind: ObservationKind::DataUnanswered,
                observed_at: foxledge_core::time::ClockTime::ZERO.after_millis(3_600_000 - 2_500),
            },
        );
    }
    assert!(matches!(wait_in_vain(&mut router)[2], FlowDecision::Forward { .. }));
}
