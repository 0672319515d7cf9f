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
const DEATH: u64 = 2_000;
/// When the death shows: after two retransmissions, at 200 and 600 ms.
const SHOWN: u64 = DEATH + 610;

fn flow(port: u16) -> FlowKey {
    common::flow_key(1 + (port % 5) as u8, port)
}

/// Returns a router whose route's requests aren't idempotent.
fn bids_router() -> FlowRouter {
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
    kept: Vec<(FlowKey, u64, u32, u32)>,
    ended: Vec<FlowReset>,
}

impl Callers {
    /// Opens all flows and sends one request on each.
    fn new(router: FlowRouter) -> Callers {
        let mut callers = Callers { router, kept: Vec::new(), ended: Vec::new() };
        for port in 1..=FLOWS {
            let now = u64::from(port) * 10;
            let number = open_flow(&mut callers.router, now, flow(port)).expect("is placed");
            callers.kept.push((flow(port), number, 1_000, 1));
            callers.ask(callers.kept.len() - 1, now + 8);
        }
        callers
    }

    /// Sends a request on an open flow and acknowledges the response 20 ms later.
    fn ask(&mut self, index: usize, now: u64) {
        self.send(index, now);
        self.acknowledge(index, now + 20);
    }

    fn send(&mut self, index: usize, now: u64) -> FlowDecision {
        let (key, number, sequence, acknowledged) = self.kept[index];
        self.router
            .on_packet(clock_at(now), &data_packet(key, number as u32, sequence, acknowledged))
    }

    fn acknowledge(&mut self, index: usize, now: u64) {
        let (key, number, sequence, acknowledged) = &mut self.kept[index];
        (*sequence, *acknowledged) = (*sequence + 100, *acknowledged + 600);
        let mut packet = data_packet(*key, *number as u32, *sequence, *acknowledged);
        packet.length = 0;
        self.router.on_packet(clock_at(now), &packet);
    }

    /// Returns the indexes of the flows of backend server 1.
    fn at_first(&self) -> Vec<usize> {
        (0..self.kept.len()).filter(|index| self.kept[*index].1 == 1).collect()
    }

    fn at_others(&self) -> Vec<usize> {
        (0..self.kept.len()).filter(|index| self.kept[*index].1 != 1).collect()
    }

    /// Sends a request on some flows at `now`, and two retransmissions of each.
    fn stall(&mut self, flows: &[usize], now: u64) {
        for wait in [0, 200, 600] {
            for index in flows {
                self.send(*index, now + wait);
            }
        }
    }

    /// Runs the check for flows to reset regularly during `span`.
    fn look(&mut self, span: std::ops::Range<u64>) {
        for now in span.step_by(25) {
            self.ended.extend(self.router.drain_flow_resets(clock_at(now)));
        }
    }

    fn ended_keys(&self) -> BTreeSet<FlowKey> {
        self.ended.iter().map(|end| end.key).collect()
    }
}

/// Returns callers of which two have found backend server 1 dead while all other flows are idle,
/// and the flows of that backend server.
fn dead_first() -> (Callers, Vec<usize>) {
    let mut callers = Callers::new(bids_router());
    let held = callers.at_first();
    assert!(held.len() >= 6, "{} flows there", held.len());
    callers.stall(&held[..2], DEATH);
    let other = callers.at_others()[0];
    callers.ask(other, SHOWN - 5);
    (callers, held)
}

// Guards against requests that fail for many seconds after a death: callers keep flows open for
// requests that aren't idempotent and send one every few seconds, and most of the flows are idle
// when the backend server dies.
#[test]
fn resets_idle_flows_of_dead_backend() {
    let (mut callers, held) = dead_first();
    callers.look(SHOWN..SHOWN + 100);
    let at_rest: BTreeSet<_> = held[2..].iter().map(|index| callers.kept[*index].0).collect();
    assert_eq!(callers.ended_keys(), at_rest);
    for end in &callers.ended {
        let ResetReason::IdleAtDead { idle_ms, silent_ms } = end.reason else { panic!("{end:?}") };
        assert!(idle_ms > 2_000 && (0..200).contains(&silent_ms), "{end:?}");
        // Callers accept a reset only near what they have received.
        assert_eq!(end.received, 601);
    }
    let tracked: usize = callers.router.backends().map(|one| one.open_flows as usize).sum();
    assert_eq!(callers.router.tracked_flow_count(), tracked);
    // Each flow is reset once, and no flow of another backend server.
    callers.look(SHOWN + 100..SHOWN + 500);
    assert_eq!(callers.ended.len(), at_rest.len());
}

// Guards against the reset of a flow whose caller waits for a response that may be in transit.
#[test]
fn keeps_flow_while_caller_waits() {
    let (mut callers, held) = dead_first();
    let waiting = held[3];
    callers.send(waiting, SHOWN - 100);
    callers.look(SHOWN..SHOWN + 1_000);
    assert!(!callers.ended_keys().contains(&callers.kept[waiting].0));
    // Its caller has given up, so the flow is idle; the next request would be lost as well.
    callers.stall(&held[..1], SHOWN + 500);
    callers.look(SHOWN + 1_110..SHOWN + 1_400);
    assert!(callers.ended_keys().contains(&callers.kept[waiting].0));
}

// Guards against a truncated response: its first part is acknowledged, and the rest is in transit.
#[test]
fn keeps_flow_while_response_is_in_transit() {
    let (mut callers, held) = dead_first();
    let receiving = held[3];
    callers.acknowledge(receiving, SHOWN - 20);
    callers.look(SHOWN..SHOWN + 200);
    assert!(!callers.ended_keys().contains(&callers.kept[receiving].0));
    callers.look(SHOWN + 240..SHOWN + 300);
    assert!(callers.ended_keys().contains(&callers.kept[receiving].0));
}

// Guards against the reset of idle flows at a backend server that responds to other flows while the
// data of one is lost repeatedly.
#[test]
fn any_response_prevents_resets() {
    for alive_at in [DEATH + 100, DEATH + 590, SHOWN + 1] {
        let mut callers = Callers::new(bids_router());
        let held = callers.at_first();
        let steps = [DEATH, DEATH + 200, DEATH + 600];
        for (step, now) in steps.into_iter().enumerate() {
            for index in &held[..2] {
                callers.send(*index, now);
            }
            let next = steps.get(step + 1).copied().unwrap_or(u64::MAX);
            if (now..next).contains(&alive_at) {
                callers.ask(held[4], alive_at - 1);
            }
        }
        let other = callers.at_others()[0];
        callers.ask(other, SHOWN + 5);
        callers.look(SHOWN + 30..SHOWN + 1_000);
        assert_eq!(callers.ended, [], "alive at {alive_at}");
    }
}

// Guards against resets after the packets of a single flow were lost on their way to the instance.
#[test]
fn one_unanswered_flow_resets_nothing() {
    let mut callers = Callers::new(bids_router());
    let held = callers.at_first();
    callers.stall(&held[..1], DEATH);
    callers.send(held[0], DEATH + 1_400);
    let other = callers.at_others()[0];
    callers.ask(other, SHOWN);
    callers.look(SHOWN..SHOWN + 1_500);
    assert_eq!(callers.ended, []);
}

// Guards against the reset of idle flows at a full backend server, which leaves openings unanswered
// like a dead one.
#[test]
fn keeps_idle_flows_of_full_backend() {
    let mut callers = Callers::new(bids_router());
    for port in 200..230 {
        callers.router.on_packet(clock_at(DEATH), &opening_packet(flow(port), 0));
    }
    callers.router.report_overdue_openings(clock_at(DEATH + 50));
    for port in 200..230 {
        callers.router.on_packet(clock_at(DEATH + 200), &opening_packet(flow(port), 1));
    }
    let other = callers.at_others()[0];
    callers.ask(other, SHOWN);
    callers.look(DEATH + 200..SHOWN + 1_000);
    assert_eq!(callers.ended, []);
}

// Guards against resets when three packets in ten are lost on all paths of an instance: two flows
// to one backend server stay unanswered through two retransmissions, while requests elsewhere are
// answered only after retransmissions too.
#[test]
fn packet_loss_on_all_paths_resets_nothing() {
    for (copied, ends) in [(3, false), (1, true)] {
        let mut callers = Callers::new(bids_router());
        let (held, others) = (callers.at_first(), callers.at_others());
        // Some requests to the other backend servers are answered only after a retransmission.
        for (step, index) in others[..10].iter().enumerate() {
            let now = DEATH - 800 + step as u64 * 40;
            callers.send(*index, now);
            if step >= 10 - copied {
                callers.send(*index, now + 200);
            }
            callers.acknowledge(*index, now + 220);
        }
        callers.stall(&held[..2], DEATH);
        callers.ask(others[15], SHOWN - 5);
        callers.look(SHOWN..SHOWN + 500);
        assert_eq!(!callers.ended.is_empty(), ends, "{copied} of the last ten were sent again");
    }
}

// Guards against resets by an instance whose own link is down, so that all backend servers look
// dead.
#[test]
fn partitioned_instance_resets_nothing() {
    let mut callers = Callers::new(bids_router());
    let all: Vec<_> = (0..callers.kept.len()).step_by(2).collect();
    callers.stall(&all, DEATH);
    callers.look(SHOWN..SHOWN + 1_500);
    assert_eq!(callers.ended, []);
}

// Guards against resets after a pause: the backend server was unreachable before and responded
// during the pause, and the observations of that are lost.
#[test]
fn pause_clears_evidence() {
    let (mut callers, _) = dead_first();
    callers.router.record_pause();
    callers.look(SHOWN + 5_000..SHOWN + 5_100);
    callers.router.report_overdue_openings(clock_at(SHOWN + 5_100));
    callers.router.set_confirmed_at(clock_at(SHOWN + 5_110));
    let other = callers.at_others()[0];
    callers.ask(other, SHOWN + 5_120);
    callers.look(SHOWN + 5_150..SHOWN + 6_500);
    assert_eq!(callers.ended, []);
}

#[test]
fn resets_nothing_before_waiting_packets_are_read() {
    // Packets that waited during the pause may prove life, and so may the next list.
    let (mut callers, held) = dead_first();
    callers.router.record_pause();
    callers.stall(&held[..2], SHOWN + 10);
    callers.look(SHOWN + 10..SHOWN + 700);
    assert_eq!(callers.ended, []);
}

// Guards against the reset of flows that work again: a backend server was unreachable for a while,
// and no packet was sent there since.
#[test]
fn old_evidence_resets_nothing() {
    let (mut callers, _) = dead_first();
    let other = callers.at_others()[0];
    callers.ask(other, SHOWN + 3_000);
    callers.look(SHOWN + 3_050..SHOWN + 6_000);
    assert_eq!(callers.ended, []);
}

// Guards against the reset of flows of a backend server that has just restarted under its id.
#[test]
fn restart_clears_evidence() {
    let (mut callers, _) = dead_first();
    let mut spec = backend_spec(1, "desk", LOCAL_CENTRE);
    spec.incarnation = 77;
    callers.router.apply_rows(clock_at(SHOWN), &[backend_row(spec, 20)]);
    open_flow(&mut callers.router, SHOWN + 1, flow(300));
    callers.look(SHOWN + 10..SHOWN + 2_000);
    assert_eq!(callers.ended, []);
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
    for (kinds, ends) in cases {
        let mut callers = Callers::new(bids_router());
        for (step, kind) in kinds.iter().enumerate() {
            let now = DEATH + step as u64;
            let note = HealthObservation {
                number: 1,
                incarnation: 0,
                kind: *kind,
                observed_at: clock_at(now),
            };
            callers.router.apply_observation(clock_at(now + 1), &note);
        }
        let other = callers.at_others()[0];
        callers.ask(other, DEATH + 20);
        callers.look(DEATH + 50..DEATH + 500);
        assert_eq!(!callers.ended.is_empty(), ends, "{kinds:?}");
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
            let mut answered = data_packet(flow(port), number as u32, 1_100, 601);
            answered.length = 0;
            router.on_packet(clock_at(now + 28), &answered);
        }
    }
    let held = router.backend_by_number(1).map_or(0, |one| one.open_flows) as usize;
    for step in 0..2 {
        let note = HealthObservation {
            number: 1,
            incarnation: 0,
            kind: ObservationKind::DataUnanswered,
            observed_at: clock_at(DEATH + step),
        };
        router.apply_observation(clock_at(DEATH + 2), &note);
    }
    open_flow(&mut router, DEATH + 10, flow(2_000));
    let counts: Vec<usize> =
        (0..100).map(|ms| router.drain_flow_resets(clock_at(DEATH + 50 + ms)).len()).collect();
    assert!(counts.iter().all(|count| *count <= 50), "{counts:?}");
    assert!(counts.iter().sum::<usize>() <= 50 * 5, "{counts:?}");
    let rest = (200..2_000).map(|ms| router.drain_flow_resets(clock_at(DEATH + ms)).len());
    assert_eq!(counts.iter().sum::<usize>() + rest.sum::<usize>(), held);
}
