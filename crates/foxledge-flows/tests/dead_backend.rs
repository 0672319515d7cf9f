//! Open flows at a backend server that is surely dead.

mod common;

use common::*;
use foxledge_flows::{
    FlowDecision, FlowKey, FlowRouter, HealthObservation, ObservationKind, ResetReason,
    rows::RowValue,
};

/// When the callers of these tests ask on their open flows.
const ASKED: u64 = 1_010;

/// A router whose backend server 1 holds the flow that is returned; 2 is there as well.
fn flow_at_first() -> (FlowRouter, FlowKey) {
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

/// Opens flows at `sent` until one goes to backend server 1, and sends that one's copy.
fn unanswered_opening(router: &mut FlowRouter, sent: u64) {
    for port in 100..120 {
        let decision = router.on_packet(clock_at(sent), &opening_packet(flow_key(7, port), 0));
        if decided_backend(router, &decision) == Some(1) {
            router.report_overdue_openings(clock_at(sent + 41));
            router.on_packet(clock_at(sent + 200), &opening_packet(flow_key(7, port), 1));
            return;
        }
        let number = decided_backend(router, &decision).expect("is placed");
        router.on_packet(
            clock_at(sent + 7),
            &data_packet(flow_key(7, port), number as u32, 1_000, 1),
        );
    }
    panic!("no flow was placed at the first backend server");
}

/// Sends a request on a flow that backend server 1 holds, and what its caller sends
/// again while no answer comes; tells what was done with the last.
fn unanswered_request(router: &mut FlowRouter, key: FlowKey) -> FlowDecision {
    let request = data_packet(key, 1, 2_000, 1);
    let mut last = router.on_packet(clock_at(ASKED), &request);
    for wait in [200, 600] {
        assert!(matches!(last, FlowDecision::Forward { .. }), "ended too early: {last:?}");
        last = router.on_packet(clock_at(ASKED + wait), &request);
    }
    last
}

// Symptom: price feeds fail after a second although other backend servers are idle.
// Sequence: a backend server dies; callers with an open flow there send their request
//   again and again.
// Cause: packets of open flows are sent on to it, whatever is known of it.
#[test]
fn dead_flow_ended() {
    let (mut router, key) = flow_at_first();
    unanswered_opening(&mut router, 1_000);
    let decision = unanswered_request(&mut router, key);
    let FlowDecision::Reset { reason: ResetReason::BackendSilent { waited_ms, silent_ms }, .. } =
        decision
    else {
        panic!("{decision:?} ends no flow");
    };
    assert_eq!((waited_ms, silent_ms), (600, 410));
    assert_eq!(
        router.tracked_flow_count(),
        router.backends().map(|one| one.open_flows as usize).sum()
    );
}

// Symptom: every feed at a dead backend server fails, though none of its flows is new.
// Sequence: it dies with flows open; as requests there stay unanswered it counts as
//   busy, and no new flow is placed there.
// Cause: only an unanswered new flow counts as evidence.
#[test]
fn stalled_flows_suffice() {
    let (mut router, key) = flow_at_first();
    let others = [8, 9].map(|caller| FlowKey { caller: common::flow_key(caller, 1).caller, ..key });
    for (wait, ends) in [(0, [false; 3]), (200, [false; 3]), (600, [false, true, true])] {
        for (index, flow) in [key, others[0], others[1]].into_iter().enumerate() {
            let now = ASKED + wait + index as u64;
            let decision = router.on_packet(clock_at(now), &data_packet(flow, 1, 2_000, 1));
            let is_end = matches!(decision, FlowDecision::Reset { .. });
            assert_eq!(is_end, ends[index], "flow {index} after {wait} ms: {decision:?}");
        }
    }
    assert!(
        router.drain_observations().iter().any(|note| note.kind == ObservationKind::DataUnanswered)
    );
}

// Symptom: a flow is broken off while its backend server works on the request.
// Sequence: requests there take a second; callers send them again meanwhile.
// Cause: a request that is slow is taken for one that is lost.
#[test]
fn slow_flow_kept() {
    let (mut router, key) = flow_at_first();
    let decision = unanswered_request(&mut router, key);
    assert!(matches!(decision, FlowDecision::Forward { stall: Some(_), .. }));
}

// Symptom: a flow is broken off at a backend server that serves others.
// Sequence: one opening packet is lost on the way; the next flows there are answered.
// Cause: old evidence is kept although the backend server has shown that it lives.
#[test]
fn life_clears_silence() {
    let (mut router, key) = flow_at_first();
    let other = FlowKey { caller: common::flow_key(2, 1).caller, ..key };
    router.on_packet(clock_at(990), &data_packet(other, 1, 1_000, 1));
    unanswered_opening(&mut router, 1_000);
    // A request that acknowledges an answer shows life since that was asked for, and
    // the second of these was asked for after the silence.
    for (now, sequence, acknowledged) in [(1_250, 1_100, 500), (1_400, 1_200, 900)] {
        router.on_packet(clock_at(now), &data_packet(other, 1, sequence, acknowledged));
    }
    let decision = unanswered_request(&mut router, key);
    assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
}

// Symptom: a bid is lost that its backend server had received.
// Sequence: the backend server falls silent while the bid is under way.
// Cause: the flow is reset, and its caller may not ask again.
#[test]
fn unsafe_flow_kept() {
    let (mut router, key) = flow_at_first();
    let mut row = route_row("r", 443, "desk", 9);
    if let Some(RowValue::Route(route)) = &mut row.value {
        route.idempotent = false;
    }
    router.apply_rows(clock_at(500), &[row]);
    unanswered_opening(&mut router, 1_000);
    let decision = unanswered_request(&mut router, key);
    assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
}

// Symptom: flows to a dead backend server go on for as long as other callers send.
// Sequence: a caller got its answer before the silence, and asks again after it.
// Cause: the acknowledgement of an old answer is taken for a sign of life now.
#[test]
fn old_answer_says_nothing() {
    let (mut router, key) = flow_at_first();
    let other = FlowKey { caller: common::flow_key(2, 1).caller, ..key };
    router.on_packet(clock_at(990), &data_packet(other, 1, 1_000, 1));
    unanswered_opening(&mut router, 1_000);
    router.on_packet(clock_at(1_250), &data_packet(other, 1, 1_100, 500));
    let decision = unanswered_request(&mut router, key);
    assert!(matches!(decision, FlowDecision::Reset { .. }), "{decision:?}");
}

#[test]
fn silence_told_counts() {
    // What another instance saw of an unanswered opening counts; its suspicions don't.
    for (kind, ends) in [
        (ObservationKind::OpeningUnanswered, true),
        (ObservationKind::DataUnanswered, true),
        (ObservationKind::Ejected, false),
    ] {
        let (mut router, key) = flow_at_first();
        router.apply_observation(
            clock_at(1_205),
            &HealthObservation { number: 1, incarnation: 0, kind, observed_at: clock_at(1_200) },
        );
        let decision = unanswered_request(&mut router, key);
        assert_eq!(matches!(decision, FlowDecision::Reset { .. }), ends, "{kind:?}: {decision:?}");
    }
}

// Symptom: seconds after a backend server died, callers still wait 600 ms on flows there.
// Sequence: flows that were idle ask one after the other; each must find out by itself.
// Cause: what is known for long counts no more than what was seen just now.
#[test]
fn long_silence_ends_sooner() {
    let (mut router, key) = flow_at_first();
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

// Symptom: an upload is broken off 200 ms after its last part was sent.
// Sequence: parts of a request are sent for half a second; one of them is lost.
// Cause: the wait is counted from the first part, though the last was sent just now.
#[test]
fn last_part_counts() {
    let (mut router, key) = flow_at_first();
    unanswered_opening(&mut router, 1_000);
    router.on_packet(clock_at(1_010), &data_packet(key, 1, 2_000, 1));
    let last_part = data_packet(key, 1, 2_100, 1);
    for now in [1_400, 1_600] {
        let decision = router.on_packet(clock_at(now), &last_part);
        assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    }
}

// Symptom: flows are broken off after a pause of the instance.
// Sequence: the instance stands still for a second; a request and what its caller sent
//   again are read within a millisecond.
// Cause: the time at which a packet is read is taken for that at which it was sent.
#[test]
fn pause_ends_nothing() {
    let (mut router, key) = flow_at_first();
    unanswered_opening(&mut router, 1_000);
    for step in 0..3 {
        let decision = router.on_packet(clock_at(3_000 + step), &data_packet(key, 1, 2_000, 1));
        assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    }
}

#[test]
fn lone_flow_ends_late() {
    // Nobody else has a flow there: the third copy speaks for the silence, the fourth ends it.
    let (mut router, key) = flow_at_first();
    let decision = unanswered_request(&mut router, key);
    assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    let decision = router.on_packet(clock_at(ASKED + 1_400), &data_packet(key, 1, 2_000, 1));
    assert!(matches!(decision, FlowDecision::Reset { .. }), "{decision:?}");
}

// Symptom: flows are reset though their backend servers live.
// Sequence: the network holds all packets up for 0.6 s; the first copies of the data of two
//   flows to one backend server come that late, just before the answers.
// Cause: the time since the data was sent is taken for the number of copies that no
//   answer came to.
#[test]
fn late_copies_end_nothing() {
    let (mut router, key) = flow_at_first();
    let other = FlowKey { caller: common::flow_key(8, 1).caller, ..key };
    for (now, is_stalled) in [(ASKED, false), (ASKED + 620, true)] {
        for flow in [key, other] {
            let decision = router.on_packet(clock_at(now), &data_packet(flow, 1, 2_000, 1));
            let FlowDecision::Forward { stall, .. } = decision else {
                panic!("{decision:?} isn't sent on");
            };
            assert_eq!(stall.is_some(), is_stalled);
        }
    }
    let is_silence =
        |kind| matches!(kind, ObservationKind::OpeningUnanswered | ObservationKind::DataUnanswered);
    assert!(router.drain_observations().iter().all(|note| !is_silence(note.kind)));
}

// Symptom: as an instance goes on after a pause, it resets flows that live.
// Sequence: data was sent on before the pause; its copies wait in the socket, and are
//   read together at the end of it.
// Cause: copies that are read together are counted as sent one after the other.
#[test]
fn waiting_copies_count_once() {
    let (mut router, key) = flow_at_first();
    unanswered_opening(&mut router, 800);
    let request = data_packet(key, 1, 2_000, 1);
    router.on_packet(clock_at(ASKED), &request);
    router.record_pause();
    for _ in 0..3 {
        let decision = router.on_packet(clock_at(ASKED + 900), &request);
        assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
    }
}

/// What peers tell of a backend server whose death two of them have found.
fn told_death(at_ms: u64) -> [HealthObservation; 2] {
    [ObservationKind::OpeningUnanswered, ObservationKind::DataUnanswered].map(|kind| {
        HealthObservation { number: 1, incarnation: 0, kind, observed_at: clock_at(at_ms) }
    })
}

/// Lets a caller of backend server 2 have an answer at `now`: the instance's own way is good.
fn answer_elsewhere(router: &mut FlowRouter, now: u64) {
    let caller = common::flow_key(3, 7);
    router.on_packet(clock_at(now - 20), &data_packet(caller, 2, 5_000, 1));
    let mut packet = data_packet(caller, 2, 5_100, 600);
    packet.length = 0;
    router.on_packet(clock_at(now), &packet);
}

// Symptom: a caller that is alone with its backend server waits for 1.4 s, and has hardly
//   time left to ask elsewhere.
// Sequence: the backend server has died, as all instances were told; a caller asks on its
//   open flow, and sends its request again.
// Cause: what is told counts no more than one silence seen here.
#[test]
fn told_death_ends() {
    let (mut router, key) = flow_at_first();
    let request = data_packet(key, 1, 2_000, 1);
    router.on_packet(clock_at(ASKED), &request);
    told_death(ASKED - 20)
        .iter()
        .for_each(|note| router.apply_observation(clock_at(ASKED + 10), note));
    answer_elsewhere(&mut router, ASKED + 60);
    let decision = router.on_packet(clock_at(ASKED + 200), &request);
    let FlowDecision::Reset { reason: ResetReason::BackendSilent { waited_ms, .. }, .. } = decision
    else {
        panic!("{decision:?}");
    };
    assert_eq!(waited_ms, 200);
}

// The same where no other backend server has answered this instance: its own way may be cut.
#[test]
fn cut_instance_waits() {
    let (mut router, key) = flow_at_first();
    let request = data_packet(key, 1, 2_000, 1);
    router.on_packet(clock_at(ASKED), &request);
    told_death(ASKED - 20)
        .iter()
        .for_each(|note| router.apply_observation(clock_at(ASKED + 10), note));
    let decision = router.on_packet(clock_at(ASKED + 200), &request);
    assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
}

// Symptom: when it becomes known that a backend server is dead, callers there go on waiting
//   until they send again, 0.2 to 0.8 s later.
// Sequence: two flows witness the death; those that asked after them wait meanwhile.
// Cause: a flow is looked at only when a packet of it comes.
#[test]
fn waiting_flow_ended() {
    for (asked, ends) in [(ASKED, true), (ASKED + 200, false)] {
        let (mut router, key) = flow_at_first();
        router.on_packet(clock_at(asked), &data_packet(key, 1, 2_000, 1));
        told_death(ASKED + 200)
            .iter()
            .for_each(|note| router.apply_observation(clock_at(ASKED + 210), note));
        answer_elsewhere(&mut router, ASKED + 230);
        // A request that was asked just now may be answered yet, and would show life.
        let ended = router.drain_flow_resets(clock_at(ASKED + 250));
        assert_eq!(
            ended.iter().map(|end| end.key).collect::<Vec<_>>(),
            ends.then_some(key).as_slice()
        );
        if let Some(end) = ended.first() {
            let ResetReason::WaitingAtDead { waited_ms, silent_ms } = end.reason else {
                panic!("{end:?}");
            };
            assert_eq!((waited_ms, silent_ms), (250, 50));
        }
    }
}

// Symptom: a bid is lost that its backend server had received and answered.
// Cause: a request that may not be repeated is ended while its answer may be on the way.
#[test]
fn waiting_bid_kept() {
    let (mut router, key) = flow_at_first();
    let mut row = route_row("r", 443, "desk", 9);
    if let Some(RowValue::Route(route)) = &mut row.value {
        route.idempotent = false;
    }
    router.apply_rows(clock_at(500), &[row]);
    router.on_packet(clock_at(ASKED), &data_packet(key, 1, 2_000, 1));
    told_death(ASKED + 200)
        .iter()
        .for_each(|note| router.apply_observation(clock_at(ASKED + 210), note));
    answer_elsewhere(&mut router, ASKED + 230);
    assert!(router.drain_flow_resets(clock_at(ASKED + 250)).is_empty());
}
