//! Idle flows of a dead backend server, and situations that look alike.

mod common;

use std::collections::BTreeSet;

use common::*;
use foxledge_flows::{
    FlowDecision, FlowKey, FlowReset, FlowRouter, HealthObservation, ObservationKind, ResetReason,
    rows::RowValue,
};

/// The number of backend servers.
const BACKENDS: u64 = 3;
/// The number of flows that callers keep open.
const FLOWS: u16 = 30;
/// When backend server 1 dies.
const DIED_AT: u64 = 2_000;
/// When the death shows: after two retransmissions, at 200 and 600 ms.
const DETECTED_AT: u64 = DIED_AT + 610;

fn flow(port: u16) -> FlowKey {
    common::flow_key(1 + (port % 5) as u8, port)
}

/// Returns a router whose route's requests aren't idempotent.
fn non_idempotent_router() -> FlowRouter {
    let rows: Vec<_> =
        (1..=BACKENDS).map(|number| listed_backend(number, "desk", LOCAL_CENTRE, 2)).collect();
    let mut router = listed_router(&rows);
    let mut row = route_row("r", 443, "desk", 9);
    if let Some(RowValue::Route(route)) = &mut row.value {
        (route.idempotent, route.timeout_ms) = (false, 1_200);
    }
    router.apply_rows(clock_at(0), &[row]);
    router
}

/// Callers with open flows, and what they sent and received.
struct Callers {
    router: FlowRouter,
    /// Each flow with its backend server and its next sequence and acknowledgement numbers.
    flows: Vec<(FlowKey, u64, u32, u32)>,
    resets: Vec<FlowReset>,
}

impl Callers {
    /// Opens all flows and sends one request on each.
    fn new(router: FlowRouter) -> Callers {
        let mut callers = Callers { router, flows: Vec::new(), resets: Vec::new() };
        for port in 1..=FLOWS {
            let now = u64::from(port) * 10;
            let number = open_flow(&mut callers.router, now, flow(port)).expect("is placed");
            callers.flows.push((flow(port), number, 1_000, 1));
            callers.request(callers.flows.len() - 1, now + 8);
        }
        callers
    }

    /// Sends a request on an open flow and acknowledges the response 20 ms later.
    fn request(&mut self, index: usize, now: u64) {
        self.send(index, now);
        self.acknowledge(index, now + 20);
    }

    fn send(&mut self, index: usize, now: u64) -> FlowDecision {
        let (key, number, sequence, acknowledged) = self.flows[index];
        self.router
            .on_packet(clock_at(now), &data_packet(key, number as u32, sequence, acknowledged))
    }

    fn acknowledge(&mut self, index: usize, now: u64) {
        let (key, number, sequence, acknowledged) = &mut self.flows[index];
        (*sequence, *acknowledged) = (*sequence + 100, *acknowledged + 600);
        let mut packet = data_packet(*key, *number as u32, *sequence, *acknowledged);
        packet.length = 0;
        self.router.on_packet(clock_at(now), &packet);
    }

    /// Returns the indexes of the flows of backend server 1.
    fn first_backend_flows(&self) -> Vec<usize> {
        (0..self.flows.len()).filter(|index| self.flows[*index].1 == 1).collect()
    }

    fn other_backend_flows(&self) -> Vec<usize> {
        (0..self.flows.len()).filter(|index| self.flows[*index].1 != 1).collect()
    }

    /// Sends a request on some flows at `now`, and two retransmissions of each.
    fn request_unanswered(&mut self, flows: &[usize], now: u64) {
        for wait in [0, 200, 600] {
            for index in flows {
                self.send(*index, now + wait);
            }
        }
    }

    /// Runs the check for flows to reset regularly during `span`.
    fn check_resets(&mut self, span: std::ops::Range<u64>) {
        for now in span.step_by(25) {
            self.resets.extend(self.router.drain_flow_resets(clock_at(now)));
        }
    }

    fn reset_keys(&self) -> BTreeSet<FlowKey> {
        self.resets.iter().map(|reset| reset.key).collect()
    }
}

/// Returns callers of which two have found backend server 1 dead while all other flows are idle,
/// and the flows of that backend server.
fn callers_at_dead_backend() -> (Callers, Vec<usize>) {
    let mut callers = Callers::new(non_idempotent_router());
    let first_flows = callers.first_backend_flows();
    assert!(first_flows.len() >= 6, "{} flows there", first_flows.len());
    callers.request_unanswered(&first_flows[..2], DIED_AT);
    let other = callers.other_backend_flows()[0];
    callers.request(other, DETECTED_AT - 5);
    (callers, first_flows)
}

// Guards against requests that fail for many seconds after a death: callers keep flows open for
// requests that aren't idempotent and send one every few seconds, and most of the flows are idle
// when the backend server dies.
#[test]
fn resets_idle_flows_of_dead_backend() {
    let (mut callers, first_flows) = callers_at_dead_backend();
    callers.check_resets(DETECTED_AT..DETECTED_AT + 100);
    let idle_keys: BTreeSet<_> =
        first_flows[2..].iter().map(|index| callers.flows[*index].0).collect();
    assert_eq!(callers.reset_keys(), idle_keys);
    for reset in &callers.resets {
        let ResetReason::IdleAtDead { idle_ms, silent_ms } = reset.reason else {
            panic!("{reset:?}")
        };
        assert!(idle_ms > 2_000 && (0..200).contains(&silent_ms), "{reset:?}");
        // Callers accept a reset only near what they have received.
        assert_eq!(reset.received, 601);
    }
    let tracked: usize = callers.router.backends().map(|backend| backend.open_flows as usize).sum();
    assert_eq!(callers.router.tracked_flow_count(), tracked);
    // Each flow is reset once, and no flow of another backend server.
    callers.check_resets(DETECTED_AT + 100..DETECTED_AT + 500);
    assert_eq!(callers.resets.len(), idle_keys.len());
}

// Guards against the reset of a flow whose caller waits for a response that may be in transit.
#[test]
fn keeps_flow_while_caller_waits() {
    let (mut callers, first_flows) = callers_at_dead_backend();
    let waiting = first_flows[3];
    callers.send(waiting, DETECTED_AT - 100);
    callers.check_resets(DETECTED_AT..DETECTED_AT + 1_000);
    assert!(!callers.reset_keys().contains(&callers.flows[waiting].0));
    // Its caller has given up, so the flow is idle; the next request would be lost as well.
    callers.request_unanswered(&first_flows[..1], DETECTED_AT + 500);
    callers.check_resets(DETECTED_AT + 1_110..DETECTED_AT + 1_400);
    assert!(callers.reset_keys().contains(&callers.flows[waiting].0));
}

// Guards against a truncated response: its first part is acknowledged, and the rest is in transit.
#[test]
fn keeps_flow_while_response_is_in_transit() {
    let (mut callers, first_flows) = callers_at_dead_backend();
    let receiving = first_flows[3];
    callers.acknowledge(receiving, DETECTED_AT - 20);
    callers.check_resets(DETECTED_AT..DETECTED_AT + 200);
    assert!(!callers.reset_keys().contains(&callers.flows[receiving].0));
    callers.check_resets(DETECTED_AT + 240..DETECTED_AT + 300);
    assert!(callers.reset_keys().contains(&callers.flows[receiving].0));
}

// Guards against the reset of idle flows at a backend server that responds to other flows while the
// data of one is lost repeatedly.
#[test]
fn any_response_prevents_resets() {
    for responded_at in [DIED_AT + 100, DIED_AT + 590, DETECTED_AT + 1] {
        let mut callers = Callers::new(non_idempotent_router());
        let first_flows = callers.first_backend_flows();
        let steps = [DIED_AT, DIED_AT + 200, DIED_AT + 600];
        for (step, now) in steps.into_iter().enumerate() {
            for index in &first_flows[..2] {
                callers.send(*index, now);
            }
            let next = steps.get(step + 1).copied().unwrap_or(u64::MAX);
            if (now..next).contains(&responded_at) {
                callers.request(first_flows[4], responded_at - 1);
            }
        }
        let other = callers.other_backend_flows()[0];
        callers.request(other, DETECTED_AT + 5);
        callers.check_resets(DETECTED_AT + 30..DETECTED_AT + 1_000);
        assert_eq!(callers.resets, [], "response at {responded_at}");
    }
}

// Guards against resets after the packets of a single flow were lost on their way to the instance.
#[test]
fn one_unanswered_flow_resets_nothing() {
    let mut callers = Callers::new(non_idempotent_router());
    let first_flows = callers.first_backend_flows();
    callers.request_unanswered(&first_flows[..1], DIED_AT);
    callers.send(first_flows[0], DIED_AT + 1_400);
    let other = callers.other_backend_flows()[0];
    callers.request(other, DETECTED_AT);
    callers.check_resets(DETECTED_AT..DETECTED_AT + 1_500);
    assert_eq!(callers.resets, []);
}

// Guards against the reset of idle flows at a full backend server, which leaves openings unanswered
// like a dead one.
#[test]
fn keeps_idle_flows_of_full_backend() {
    let mut callers = Callers::new(non_idempotent_router());
    for port in 200..230 {
        callers.router.on_packet(clock_at(DIED_AT), &opening_packet(flow(port), 0));
    }
    callers.router.report_overdue_openings(clock_at(DIED_AT + 50));
    for port in 200..230 {
        callers.router.on_packet(clock_at(DIED_AT + 200), &opening_packet(flow(port), 1));
    }
    let other = callers.other_backend_flows()[0];
    callers.request(other, DETECTED_AT);
    callers.check_resets(DIED_AT + 200..DETECTED_AT + 1_000);
    assert_eq!(callers.resets, []);
}

// Guards against resets when three packets in ten are lost on all paths of an instance: two flows
// to one backend server stay unanswered through two retransmissions, while requests elsewhere are
// answered only after retransmissions too.
#[test]
fn packet_loss_on_all_paths_resets_nothing() {
    for (retransmitted, expect_reset) in [(3, false), (1, true)] {
        let mut callers = Callers::new(non_idempotent_router());
        let (first_flows, other_flows) =
            (callers.first_backend_flows(), callers.other_backend_flows());
        // Some requests to the other backend servers are answered only after a retransmission.
        for (step, index) in other_flows[..10].iter().enumerate() {
            let now = DIED_AT - 800 + step as u64 * 40;
            callers.send(*index, now);
            if step >= 10 - retransmitted {
                callers.send(*index, now + 200);
            }
            callers.acknowledge(*index, now + 220);
        }
        callers.request_unanswered(&first_flows[..2], DIED_AT);
        callers.request(other_flows[15], DETECTED_AT - 5);
        callers.check_resets(DETECTED_AT..DETECTED_AT + 500);
        assert_eq!(
            !callers.resets.is_empty(),
            expect_reset,
            "{retransmitted} of the last ten requests were retransmitted"
        );
    }
}

// Guards against resets by an instance whose own link is down, so that all backend servers look
// dead.
#[test]
fn partitioned_instance_resets_nothing() {
    let mut callers = Callers::new(non_idempotent_router());
    let all: Vec<_> = (0..callers.flows.len()).step_by(2).collect();
    callers.request_unanswered(&all, DIED_AT);
    callers.check_resets(DETECTED_AT..DETECTED_AT + 1_500);
    assert_eq!(callers.resets, []);
}

// Guards against resets after a pause: the backend server was unreachable before and responded
// during the pause, and the observations of that are lost.
#[test]
fn pause_clears_evidence() {
    let (mut callers, _) = callers_at_dead_backend();
    callers.router.record_pause();
    callers.check_resets(DETECTED_AT + 5_000..DETECTED_AT + 5_100);
    callers.router.report_overdue_openings(clock_at(DETECTED_AT + 5_100));
    callers.router.set_confirmed_at(clock_at(DETECTED_AT + 5_110));
    let other = callers.other_backend_flows()[0];
    callers.request(other, DETECTED_AT + 5_120);
    callers.check_resets(DETECTED_AT + 5_150..DETECTED_AT + 6_500);
    assert_eq!(callers.resets, []);
}

#[test]
fn resets_nothing_before_waiting_packets_are_read() {
    // Packets that waited during the pause may prove life, and so may the next list.
    let (mut callers, first_flows) = callers_at_dead_backend();
    callers.router.record_pause();
    callers.request_unanswered(&first_flows[..2], DETECTED_AT + 10);
    callers.check_resets(DETECTED_AT + 10..DETECTED_AT + 700);
    assert_eq!(callers.resets, []);
}

// Guards against the reset of flows that work again: a backend server was unreachable for a while,
// and no packet was sent there since.
#[test]
fn old_evidence_resets_nothing() {
    let (mut callers, _) = callers_at_dead_backend();
    let other = callers.other_backend_flows()[0];
    callers.request(other, DETECTED_AT + 3_000);
    callers.check_resets(DETECTED_AT + 3_050..DETECTED_AT + 6_000);
    assert_eq!(callers.resets, []);
}

// Guards against the reset of flows of a backend server that has just restarted under its id.
#[test]
fn restart_clears_evidence() {
    let (mut callers, _) = callers_at_dead_backend();
    let mut spec = backend_spec(1, "desk", LOCAL_CENTRE);
    spec.incarnation = 77;
    callers.router.apply_rows(clock_at(DETECTED_AT), &[backend_row(spec, 20)]);
    open_flow(&mut callers.router, DETECTED_AT + 1, flow(300));
    callers.check_resets(DETECTED_AT + 10..DETECTED_AT + 2_000);
    assert_eq!(callers.resets, []);
}

#[test]
fn peer_observations_prove_the_death() {
    // Two flows at other instances suffice, or one and an opening; openings alone don't.
    use ObservationKind::{Alive, DataUnanswered, Ejected, OpeningUnanswered, Suspect};
    let cases: [(&[ObservationKind], bool); 6] = [
        (&[DataUnanswered, DataUnanswered], true),
        (&[OpeningUnanswered, DataUnanswered], true),
        (&[DataUnanswered], false),
        (&[OpeningUnanswered, OpeningUnanswered, OpeningUnanswered], false),
        (&[Suspect, Ejected, Ejected, DataUnanswered], false),
        (&[DataUnanswered, DataUnanswered, Alive], false),
    ];
    for (kinds, expect_reset) in cases {
        let mut callers = Callers::new(non_idempotent_router());
        for (step, kind) in kinds.iter().enumerate() {
            let now = DIED_AT + step as u64;
            let observation = HealthObservation {
                number: 1,
                incarnation: 0,
                kind: *kind,
                observed_at: clock_at(now),
            };
            callers.router.apply_observation(clock_at(now + 1), &observation);
        }
        let other = callers.other_backend_flows()[0];
        callers.request(other, DIED_AT + 20);
        callers.check_resets(DIED_AT + 50..DIED_AT + 500);
        assert_eq!(!callers.resets.is_empty(), expect_reset, "{kinds:?}");
    }
}

#[test]
fn limits_resets_per_check() {
    let rows: Vec<_> =
        (1..=2).map(|number| listed_backend(number, "desk", LOCAL_CENTRE, 2)).collect();
    let mut router = listed_router(&rows);
    for port in 1..=1_000 {
        let now = u64::from(port);
        if let Some(number) = open_flow(&mut router, now, flow(port)) {
            router.on_packet(clock_at(now + 8), &data_packet(flow(port), number as u32, 1_000, 1));
            let mut response = data_packet(flow(port), number as u32, 1_100, 601);
            response.length = 0;
            router.on_packet(clock_at(now + 28), &response);
        }
    }
    let first_flows = router.backend_by_number(1).map_or(0, |backend| backend.open_flows) as usize;
    for step in 0..2 {
        let observation = HealthObservation {
            number: 1,
            incarnation: 0,
            kind: ObservationKind::DataUnanswered,
            observed_at: clock_at(DIED_AT + step),
        };
        router.apply_observation(clock_at(DIED_AT + 2), &observation);
    }
    open_flow(&mut router, DIED_AT + 10, flow(2_000));
    let counts: Vec<usize> =
        (0..100).map(|ms| router.drain_flow_resets(clock_at(DIED_AT + 50 + ms)).len()).collect();
    assert!(counts.iter().all(|count| *count <= 50), "{counts:?}");
    assert!(counts.iter().sum::<usize>() <= 50 * 5, "{counts:?}");
    let rest = (200..2_000).map(|ms| router.drain_flow_resets(clock_at(DIED_AT + ms)).len());
    assert_eq!(counts.iter().sum::<usize>() + rest.sum::<usize>(), first_flows);
}
