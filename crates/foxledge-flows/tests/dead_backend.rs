//! Open flows of a dead backend server.

mod common;

use common::*;
use foxledge_flows::{
    FlowDecision, FlowKey, FlowRouter, HealthObservation, ObservationKind, ResetReason,
    rows::RowValue,
};

/// When the callers of these tests send their request.
const REQUESTED_AT: u64 = 1_010;

/// Returns a router and an open flow at backend server 1 of two.
fn flow_at_first_backend() -> (FlowRouter, FlowKey) {
    let mut router = listed_router(&[
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
        listed_backend(2, "desk", LOCAL_CENTRE, 2),
    ]);
    for port in 1..10 {
        if open_flow(&mut router, 0, flow_key(1, port)) == Some(1) {
            return (router, flow_key(1, port));
        }
    }
    panic!("no flow was placed at the first backend server");
}

/// Opens flows at `sent_at` until one goes to backend server 1, and retransmits that opening.
fn unanswered_opening(router: &mut FlowRouter, sent_at: u64) {
    for port in 100..120 {
        let decision = router.on_packet(clock_at(sent_at), &opening_packet(flow_key(7, port), 0));
        if decided_backend(router, &decision) == Some(1) {
            router.report_overdue_openings(clock_at(sent_at + 41));
            router.on_packet(clock_at(sent_at + 200), &opening_packet(flow_key(7, port), 1));
            return;
        }
        let number = decided_backend(router, &decision).expect("is placed");
        router.on_packet(
            clock_at(sent_at + 7),
            &data_packet(flow_key(7, port), number as u32, 1_000, 1),
        );
    }
    panic!("no flow was placed at the first backend server");
}

/// Sends a request on a flow at backend server 1 and two retransmissions. Returns the decision on
/// the last one.
fn unanswered_request(router: &mut FlowRouter, key: FlowKey) -> FlowDecision {
    let request = data_packet(key, 1, 2_000, 1);
    let mut last_decision = router.on_packet(clock_at(REQUESTED_AT), &request);
    for wait in [200, 600] {
        assert!(
            matches!(last_decision, FlowDecision::Forward { .. }),
            "reset too early: {last_decision:?}"
        );
        last_decision = router.on_packet(clock_at(REQUESTED_AT + wait), &request);
    }
    last_decision
}

// Guards against requests that fail at their deadline while other backend servers are idle: the
// packets of open flows would be forwarded to the dead backend server in any case.
#[test]
fn resets_stalled_flow_after_unanswered_opening() {
    let (mut router, key) = flow_at_first_backend();
    unanswered_opening(&mut router, 1_000);
    let decision = unanswered_request(&mut router, key);
    let FlowDecision::Reset { reason: ResetReason::BackendSilent { waited_ms, silent_ms }, .. } =
        decision
    else {
        panic!("{decision:?} resets no flow");
    };
    assert_eq!((waited_ms, silent_ms), (600, 410));
    assert_eq!(
        router.tracked_flow_count(),
        router.backends().map(|backend| backend.open_flows as usize).sum()
    );
}

// Guards against a death that is never detected because no new flow is placed there: with
// unanswered requests the backend server counts as busy, and only openings would count as evidence.
#[test]
fn stalled_flows_alone_prove_the_death() {
    let (mut router, key) = flow_at_first_backend();
    let others = [8, 9].map(|caller| FlowKey { caller: common::flow_key(caller, 1).caller, ..key });
    for (wait, expect_reset) in [(0, [false; 3]), (200, [false; 3]), (600, [false, true, true])] {
        for (index, flow) in [key, others[0], others[1]].into_iter().enumerate() {
            let now = REQUESTED_AT + wait + index as u64;
            let decision = router.on_packet(clock_at(now), &data_packet(flow, 1, 2_000, 1));
            let is_reset = matches!(decision, FlowDecision::Reset { .. });
            assert_eq!(is_reset, expect_reset[index], "flow {index} after {wait} ms: {decision:?}");
        }
    }
    assert!(
        router
            .drain_observations()
            .iter()
            .any(|observation| observation.kind == ObservationKind::DataUnanswered)
    );
}

// Guards against the reset of a flow while its backend server, which takes a second for a request,
// is still processing it.
#[test]
fn keeps_flow_of_slow_backend() {
    let (mut router, key) = flow_at_first_backend();
    let decision = unanswered_request(&mut router, key);
    assert!(matches!(decision, FlowDecision::Forward { stall: Some(_), .. }));
}

// Guards against the reset of a flow at a backend server that serves others: one opening was lost,
// and the responses since must clear that evidence.
#[test]
fn response_clears_unanswered_opening() {
    let (mut router, key) = flow_at_first_backend();
    let other = FlowKey { caller: common::flow_key(2, 1).caller, ..key };
    router.on_packet(clock_at(990), &data_packet(other, 1, 1_000, 1));
    unanswered_opening(&mut router, 1_000);
    // A request that acknowledges a response proves life since the request before it. The second of
    // these requests was sent after the unanswered opening.
    for (now, sequence, acknowledged) in [(1_250, 1_100, 500), (1_400, 1_200, 900)] {
        router.on_packet(clock_at(now), &data_packet(other, 1, sequence, acknowledged));
    }
    let decision = unanswered_request(&mut router, key);
    assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
}

// Guards against the loss of a request that its backend server has received: its caller may not
// repeat it after a reset.
#[test]
fn keeps_stalled_flow_with_non_idempotent_request() {
    let (mut router, key) = flow_at_first_backend();
    let mut row = route_row("r", 443, "desk", 9);
    if let Some(RowValue::Route(route)) = &mut row.value {
        route.idempotent = false;
    }
    router.apply_rows(clock_at(500), &[row]);
    unanswered_opening(&mut router, 1_000);
    let decision = unanswered_request(&mut router, key);
    assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
}

// Guards against flows to a dead backend server that are kept because another caller acknowledges a
// response from before the death.
#[test]
fn acknowledged_earlier_response_proves_nothing() {
    let (mut router, key) = flow_at_first_backend();
    let other = FlowKey { caller: common::flow_key(2, 1).caller, ..key };
    router.on_packet(clock_at(990), &data_packet(other, 1, 1_000, 1));
    unanswered_opening(&mut router, 1_000);
    router.on_packet(clock_at(1_250), &data_packet(other, 1, 1_100, 500));
    let decision = unanswered_request(&mut router, key);
    assert!(matches!(decision, FlowDecision::Reset { .. }), "{decision:?}");
}

#[test]
fn counts_unanswered_packets_reported_by_peers() {
    // Packets that another instance found unanswered count; its ejections don't.
    for (kind, expect_reset) in [
        (ObservationKind::OpeningUnanswered, true),
        (ObservationKind::DataUnanswered, true),
        (ObservationKind::Ejected, false),
    ] {
        let (mut router, key) = flow_at_first_backend();
        router.apply_observation(
            clock_at(1_205),
            &HealthObservation { number: 1, incarnation: 0, kind, observed_at: clock_at(1_200) },
        );
        let decision = unanswered_request(&mut router, key);
        assert_eq!(
            matches!(decision, FlowDecision::Reset { .. }),
            expect_reset,
            "{kind:?}: {decision:?}"
        );
    }
}

// Guards against a wait of 600 ms for each caller that sends a request on an idle flow seconds
// after the death. With evidence that old, one retransmission suffices.
#[test]
fn resets_sooner_when_unresponsive_for_long() {
    let (mut router, key) = flow_at_first_backend();
    unanswered_opening(&mut router, 1_000);
    let request = data_packet(key, 1, 2_000, 1);
    let decision = router.on_packet(clock_at(1_690), &request);
    assert!(matches!(decision, FlowDecision::Forward { stall: None, .. }), "{decision:?}");
    let decision = router.on_packet(clock_at(1_890), &request);
    assert!(matches!(decision, FlowDecision::Forward { stall: Some(_), .. }), "{decision:?}");
    let other = FlowKey { caller: common::flow_key(8, 1).caller, ..key };
    router.on_packet(clock_at(1_701), &data_packet(other, 1, 2_000, 1));
    let decision = router.on_packet(clock_at(1_901), &data_packet(other, 1, 2_000, 1));
    assert!(matches!(decision, FlowDecision::Reset { .. }), "{decision:?}");
}

// Guards against the reset of an upload 200 ms after its last part: parts are sent for half a
// second, and the wait counts from the last part, not from the first.
#[test]
fn measures_stall_from_last_part_of_request() {
    let (mut router, key) = flow_at_first_backend();
    unanswered_opening(&mut router, 1_000);
    router.on_packet(clock_at(1_010), &data_packet(key, 1, 2_000, 1));
    let last_part = data_packet(key, 1, 2_100, 1);
    for now in [1_400, 1_600] {
        let decision = router.on_packet(clock_at(now), &last_part);
        assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    }
}

// Guards against resets after a pause of one second: the request and its retransmissions are read
// within a millisecond, and the times at which they were sent are unknown.
#[test]
fn keeps_flows_whose_packets_waited_during_pause() {
    let (mut router, key) = flow_at_first_backend();
    unanswered_opening(&mut router, 1_000);
    for step in 0..3 {
        let decision = router.on_packet(clock_at(3_000 + step), &data_packet(key, 1, 2_000, 1));
        assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    }
}

#[test]
fn resets_only_flow_at_fourth_transmission() {
    // No other flow exists there: the third transmission is the evidence, and the fourth leads to
    // the reset.
    let (mut router, key) = flow_at_first_backend();
    let decision = unanswered_request(&mut router, key);
    assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    let decision = router.on_packet(clock_at(REQUESTED_AT + 1_400), &data_packet(key, 1, 2_000, 1));
    assert!(matches!(decision, FlowDecision::Reset { .. }), "{decision:?}");
}

// Guards against resets when the network delays all packets by 0.6 s: the first retransmissions of
// two flows arrive just before the responses. The time alone must not count as two retransmissions.
#[test]
fn delayed_first_retransmissions_reset_nothing() {
    let (mut router, key) = flow_at_first_backend();
    let other = FlowKey { caller: common::flow_key(8, 1).caller, ..key };
    for (now, is_stalled) in [(REQUESTED_AT, false), (REQUESTED_AT + 620, true)] {
        for flow in [key, other] {
            let decision = router.on_packet(clock_at(now), &data_packet(flow, 1, 2_000, 1));
            let FlowDecision::Forward { stall, .. } = decision else {
                panic!("{decision:?} isn't forwarded");
            };
            assert_eq!(stall.is_some(), is_stalled);
        }
    }
    let is_unanswered =
        |kind| matches!(kind, ObservationKind::OpeningUnanswered | ObservationKind::DataUnanswered);
    assert!(router.drain_observations().iter().all(|observation| !is_unanswered(observation.kind)));
}

// Guards against resets after a pause: retransmissions that waited in the socket are read together
// and must not count as sent one after the other.
#[test]
fn retransmissions_read_together_count_once() {
    let (mut router, key) = flow_at_first_backend();
    unanswered_opening(&mut router, 800);
    let request = data_packet(key, 1, 2_000, 1);
    router.on_packet(clock_at(REQUESTED_AT), &request);
    router.record_pause();
    for _ in 0..3 {
        let decision = router.on_packet(clock_at(REQUESTED_AT + 900), &request);
        assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    }
}

/// The observations of two peers that have detected the death of backend server 1.
fn death_observations(at_ms: u64) -> [HealthObservation; 2] {
    [ObservationKind::OpeningUnanswered, ObservationKind::DataUnanswered].map(|kind| {
        HealthObservation { number: 1, incarnation: 0, kind, observed_at: clock_at(at_ms) }
    })
}

/// Lets backend server 2 respond to a flow at `now`, which proves that this instance's link works.
fn respond_elsewhere(router: &mut FlowRouter, now: u64) {
    let caller = common::flow_key(3, 7);
    router.on_packet(clock_at(now - 20), &data_packet(caller, 2, 5_000, 1));
    let mut packet = data_packet(caller, 2, 5_100, 600);
    packet.length = 0;
    router.on_packet(clock_at(now), &packet);
}

// Guards against a wait of 1.4 s on the only flow of a backend server whose death peers have
// reported: its caller would have hardly any time left to repeat the request.
#[test]
fn resets_only_flow_when_peers_reported_the_death() {
    let (mut router, key) = flow_at_first_backend();
    let request = data_packet(key, 1, 2_000, 1);
    router.on_packet(clock_at(REQUESTED_AT), &request);
    death_observations(REQUESTED_AT - 20)
        .iter()
        .for_each(|observation| router.apply_observation(clock_at(REQUESTED_AT + 10), observation));
    respond_elsewhere(&mut router, REQUESTED_AT + 60);
    let decision = router.on_packet(clock_at(REQUESTED_AT + 200), &request);
    let FlowDecision::Reset { reason: ResetReason::BackendSilent { waited_ms, .. }, .. } = decision
    else {
        panic!("{decision:?}");
    };
    assert_eq!(waited_ms, 200);
}

// As above, but no other backend server has responded to this instance: its own link may be down.
#[test]
fn keeps_flow_when_own_link_may_be_down() {
    let (mut router, key) = flow_at_first_backend();
    let request = data_packet(key, 1, 2_000, 1);
    router.on_packet(clock_at(REQUESTED_AT), &request);
    death_observations(REQUESTED_AT - 20)
        .iter()
        .for_each(|observation| router.apply_observation(clock_at(REQUESTED_AT + 10), observation));
    let decision = router.on_packet(clock_at(REQUESTED_AT + 200), &request);
    assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
}

// Guards against callers that wait 0.2 to 0.8 s for their next retransmission after the death was
// detected through other flows: their flows must be reset without a packet of their own.
#[test]
fn resets_waiting_flow_without_a_packet() {
    for (requested_at, expect_reset) in [(REQUESTED_AT, true), (REQUESTED_AT + 200, false)] {
        let (mut router, key) = flow_at_first_backend();
        router.on_packet(clock_at(requested_at), &data_packet(key, 1, 2_000, 1));
        death_observations(REQUESTED_AT + 200).iter().for_each(|observation| {
            router.apply_observation(clock_at(REQUESTED_AT + 210), observation)
        });
        respond_elsewhere(&mut router, REQUESTED_AT + 230);
        // A request that was sent just now may still be answered, which would prove life.
        let resets = router.drain_flow_resets(clock_at(REQUESTED_AT + 250));
        assert_eq!(
            resets.iter().map(|reset| reset.key).collect::<Vec<_>>(),
            expect_reset.then_some(key).as_slice()
        );
        if let Some(reset) = resets.first() {
            let ResetReason::WaitingAtDead { waited_ms, silent_ms } = reset.reason else {
                panic!("{reset:?}");
            };
            assert_eq!((waited_ms, silent_ms), (250, 50));
        }
    }
}

// Guards against the loss of a request that can't be repeated and whose response may be in transit.
#[test]
fn keeps_waiting_flow_with_non_idempotent_request() {
    let (mut router, key) = flow_at_first_backend();
    let mut row = route_row("r", 443, "desk", 9);
    if let Some(RowValue::Route(route)) = &mut row.value {
        route.idempotent = false;
    }
    router.apply_rows(clock_at(500), &[row]);
    router.on_packet(clock_at(REQUESTED_AT), &data_packet(key, 1, 2_000, 1));
    death_observations(REQUESTED_AT + 200).iter().for_each(|observation| {
        router.apply_observation(clock_at(REQUESTED_AT + 210), observation)
    });
    respond_elsewhere(&mut router, REQUESTED_AT + 230);
    assert!(router.drain_flow_resets(clock_at(REQUESTED_AT + 250)).is_empty());
}
