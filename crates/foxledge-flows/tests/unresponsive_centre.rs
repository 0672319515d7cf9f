//! Flows that are the only ones of their backend servers, in an unresponsive data centre.
//!
//! A data centre of hundreds of backend servers loses power while callers elsewhere hold one flow
//! to each. Each instance sees only a few of their requests.

mod common;

use common::*;
use foxledge_flows::{FlowDecision, FlowRouter, HealthObservation, ObservationKind, ResetReason};

/// The number of remote backend servers, numbered from 11; number 1 is local.
const REMOTE_BACKENDS: u64 = 8;

fn remote_router() -> FlowRouter {
    let remote_rows =
        (11..11 + REMOTE_BACKENDS).map(|number| listed_backend(number, "desk", REMOTE_CENTRE, 2));
    let rows: Vec<_> = remote_rows.chain([listed_backend(1, "desk", LOCAL_CENTRE, 2)]).collect();
    listed_router(&rows)
}

/// Applies a peer's observation of a remote backend server.
fn apply_peer_observation(router: &mut FlowRouter, number: u64, kind: ObservationKind, now: u64) {
    router.apply_observation(
        clock_at(now),
        &HealthObservation { number, incarnation: 0, kind, observed_at: clock_at(now) },
    );
}

/// Sends a request and two retransmissions on the only flow of backend server 11; returns the
/// decisions.
fn unanswered_request(router: &mut FlowRouter) -> Vec<FlowDecision> {
    let request = data_packet(flow_key(1, 1), 11, 2_000, 1);
    [1_000, 1_200, 1_600].map(|now| router.on_packet(clock_at(now), &request)).to_vec()
}

// Guards against requests to a data centre without power that wait for 1.4 s, and many until their
// deadline, as no other packet proves the death of their backend server.
#[test]
fn resets_only_flow_in_unresponsive_centre() {
    let mut router = remote_router();
    for number in 12..16 {
        apply_peer_observation(&mut router, number, ObservationKind::DataUnanswered, 1_100);
    }
    let decisions = unanswered_request(&mut router);
    assert!(matches!(decisions[1], FlowDecision::Forward { .. }), "{:?}", decisions[1]);
    let FlowDecision::Reset { reason, .. } = &decisions[2] else { panic!("{:?}", decisions[2]) };
    assert_eq!(*reason, ResetReason::CentreSilent { waited_ms: 600, silent_backends: 4 });
}

#[test]
fn keeps_flow_with_few_unresponsive_backends() {
    let mut router = remote_router();
    for number in 12..15 {
        apply_peer_observation(&mut router, number, ObservationKind::DataUnanswered, 1_100);
    }
    assert!(matches!(unanswered_request(&mut router)[2], FlowDecision::Forward { .. }));
}

// Guards against the reset of a flow of a live backend server when some others of its data centre
// are dead but one responds, and three of the flow's packets are lost.
#[test]
fn keeps_flow_when_centre_responds() {
    let mut router = remote_router();
    for number in 12..16 {
        apply_peer_observation(&mut router, number, ObservationKind::DataUnanswered, 1_050);
    }
    // A caller receives a response from another backend server there.
    let other = data_packet(flow_key(2, 2), 18, 500, 1);
    router.on_packet(clock_at(1_060), &other);
    let response = foxledge_flows::FlowPacket { acknowledged: 900, ..other };
    router.on_packet(clock_at(1_110), &foxledge_flows::FlowPacket { length: 0, ..response });
    assert!(matches!(unanswered_request(&mut router)[2], FlowDecision::Forward { .. }));
}

#[test]
fn keeps_flow_when_evidence_is_old() {
    let mut router = remote_router();
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
    assert!(matches!(unanswered_request(&mut router)[2], FlowDecision::Forward { .. }));
}
