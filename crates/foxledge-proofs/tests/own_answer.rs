//! Promise 3: each caller gets the whole answer to their own request, late, crossed, in many packets.

use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    backend::content::answer_part_count,
    fabric::faults::{FaultWays, PacketFaults},
    harness::TestCaller,
    report::LoadReport,
};
use foxledge_proofs::{
    fleet_limit::LimitedFleet,
    request_helpers::{
        CENTRE, DESK, INTAKE, MEMBER, ManualCaller, RequestOutcome, WIDE_LIMIT, count_runs,
        other_running, plan_fleet, scale_service_time, set_fabric_instances, start_fleet,
        ticket_home,
    },
};
use foxledge_wire::flow::{Packet, PacketKind, RefusalReason};

const PATIENT: &str = "[flow]\nticket_ms = 1500\n[desk]\nack_ms = 1000\n";

/// `LoadShape` is one caller process.
struct LoadShape<'a> {
    service: (&'a str, &'a str),
    kind: TrafficKind,
    rate: f64,
    seconds: f64,
    deadline_ms: u64,
    seed: u64,
}

fn start_load(fleet: &LimitedFleet, shape: &LoadShape<'_>) -> TestCaller {
    let plan = fleet.plan_caller(shape.service.0, MEMBER, shape.kind).unwrap();
    let plan = plan
        .name(&format!("{}-{}", shape.kind, shape.seed))
        .rate(shape.rate)
        .seconds(shape.seconds)
        .seed(shape.seed)
        .argument(&format!("--deadline-ms={}", shape.deadline_ms))
        .argument(&format!("--service={}", shape.service.0))
        .argument("--upload-kb=16");
    fleet.start_caller(CENTRE, &plan).unwrap()
}

fn bids(seed: u64, deadline_ms: u64) -> LoadShape<'static> {
    LoadShape { service: DESK, kind: TrafficKind::Bid, rate: 60.0, seconds: 2.0, deadline_ms, seed }
}

fn uploads(seed: u64, deadline_ms: u64) -> LoadShape<'static> {
    LoadShape {
        service: INTAKE,
        kind: TrafficKind::Upload,
        rate: 5.0,
        seconds: 2.0,
        deadline_ms,
        seed,
    }
}

fn print_report(what: &str, report: &LoadReport) {
    println!(
        "{what}, {}: offered {}, served {}, unknown {}, timed out {}, resends {}, late {}",
        report.address,
        report.offered,
        report.served,
        report.unknown,
        report.timed_out,
        report.resends,
        report.late
    );
}

/// `ScrambleCase` is faults under which a short load runs.
struct ScrambleCase {
    what: &'static str,
    deadline_ms: u64,
    faults: PacketFaults,
}

/// Runs bids and uploads under each case in turn and judges them together.
fn scramble(cases: Vec<ScrambleCase>) {
    let mut fleet = start_fleet(plan_fleet(3, 3).settings(PATIENT)).unwrap();
    let mut reports = Vec::new();
    for (seed, ScrambleCase { what, deadline_ms, faults }) in (1..).zip(cases) {
        fleet.fabrics[0].client.set_faults(FaultWays::Both, faults).unwrap();
        let callers = [bids(seed, deadline_ms), uploads(seed, deadline_ms)];
        let started = callers.map(|shape| start_load(&fleet, &shape));
        for caller in started {
            let report = caller.finish(WIDE_LIMIT).unwrap();
            print_report(what, &report);
            if deadline_ms > 1_000 {
                assert!(report.served * 10 >= report.offered * 9, "{what}: most is served");
            }
            reports.push(report);
        }
    }
    assert!(reports.iter().any(|report| report.late > 0), "some answers came late");
    let verdict = fleet.judge(&reports).unwrap();
    assert!(verdict.is_clean(), "{verdict:?}");
}

#[test]
fn scrambled_packets() {
    // Symptom: a caller gets another's answer, or one put together from two.
    // Sequence: answers of up to three parts and uploads of many are lost, doubled, overtaken and
    //   late, some beyond their callers' deadline, one fault at a time.
    // Cause: an answer that is matched to its request by anything but what both carry.
    let quiet = PacketFaults::default();
    let case = |what, deadline_ms, faults| ScrambleCase { what, deadline_ms, faults };
    scramble(vec![
        case("loss", 8_000, PacketFaults { loss: 0.2, ..quiet }),
        case("copies", 8_000, PacketFaults { duplicate: 0.6, ..quiet }),
        case("overtaking", 8_000, PacketFaults { reorder: 0.4, reorder_ms: 700, ..quiet }),
        case("too late", 900, PacketFaults { delay_min_ms: 100, delay_max_ms: 900, ..quiet }),
    ]);
}

#[test]
fn all_faults_together() {
    // Symptom, cause: as for `scrambled_packets`.
    // Sequence: loss, copies, overtaking and delay at the same time.
    let faults = PacketFaults {
        loss: 0.1,
        duplicate: 0.4,
        reorder: 0.3,
        reorder_ms: 700,
        delay_min_ms: 0,
        delay_max_ms: 60,
    };
    scramble(vec![ScrambleCase { what: "all", deadline_ms: 15_000, faults }]);
}

#[test]
fn replaced_one_by_one() {
    // Symptom: an answer or an upload is cut, crossed or run twice.
    // Sequence: while bids and uploads go on with copies and overtaking, one instance is killed
    //   and every other one is replaced, until none of the first is left.
    // Cause: what an instance knew of a flow went with it.
    let mut fleet = start_fleet(plan_fleet(3, 3).settings(PATIENT)).unwrap();
    let faults =
        PacketFaults { duplicate: 0.3, reorder: 0.2, reorder_ms: 200, ..PacketFaults::default() };
    fleet.fabrics[0].client.set_faults(FaultWays::Both, faults).unwrap();
    let shapes = [bids(1, 8_000), uploads(1, 8_000)];
    let callers = shapes.map(|shape| start_load(&fleet, &LoadShape { seconds: 12.0, ..shape }));
    fleet.add_instance(CENTRE).unwrap();
    fleet.kill_instance(0).unwrap();
    fleet.forget_instance(0).unwrap();
    for index in [1, 2] {
        fleet.replace_instance(index, WIDE_LIMIT).unwrap();
    }
    let reports = callers.map(|caller| caller.finish(WIDE_LIMIT).unwrap());
    for report in &reports {
        print_report("replaced", report);
        assert!(report.served * 10 >= report.offered * 9, "most is served");
    }
    let verdict = fleet.judge(&reports).unwrap();
    assert!(verdict.is_clean(), "{verdict:?}");
}

/// A caller whose first bid gets an answer of three parts.
fn long_winded(fleet: &LimitedFleet, from: u64) -> ManualCaller {
    let callers = (from..).map(|number| ManualCaller::new(fleet, DESK, number).unwrap());
    callers.into_iter().find(|c| answer_part_count(c.identity.flow, 1) == 3).unwrap()
}

#[test]
fn home_killed_before_answer() {
    // Symptom: a bid that ran is lost to its caller.
    // Sequence: the backend server has said that it has the bid; the home is killed; the answer is
    //   sent to the dead home.
    // Cause: only the home knew where the bid runs. With the flow token that came with the first
    //   sign, any instance finds the backend server; without it nobody does.
    let mut fleet = start_fleet(plan_fleet(3, 2).settings(PATIENT)).unwrap();
    scale_service_time(&mut fleet, 100.0).unwrap();
    let mut caller = long_winded(&fleet, 1);
    let ticket = caller.obtain_ticket().unwrap();
    let bid = caller.next_request(&ticket);
    let first = caller.send_until(&bid, |reply| !reply.token.is_empty()).unwrap();
    assert_eq!(first.kind(), PacketKind::Ack);
    let home = ticket_home(&fleet, &ticket).unwrap();
    fleet.kill_instance(home).unwrap();
    let rest = other_running(&mut fleet, home);
    set_fabric_instances(&fleet, &rest).unwrap();

    // The same caller from another socket, so that what it is told stays apart.
    let mut forgetful = ManualCaller::new(&fleet, DESK, 1).unwrap();
    forgetful.identity = caller.identity.clone();
    let without = forgetful.resend_until_final(&bid).unwrap();
    assert_eq!(without, RequestOutcome::Unknown(RefusalReason::HomeLost), "by ticket nobody knows");
    let with = caller.complete_request(&caller.poll(1, &first.token), DESK.0).unwrap();
    assert_eq!(with, RequestOutcome::Answered, "by token the whole answer comes");
    assert_eq!(count_runs(&mut fleet, caller.request_id(1)).unwrap(), 1);
}

#[test]
fn caller_moved() {
    // Symptom: an answer goes where its caller isn't any more.
    // Sequence: a caller's address changes while its bid runs; it polls from the new one, through
    //   an instance that hasn't seen the flow.
    // Cause: the answer's way is kept from the first packet.
    let mut fleet = start_fleet(plan_fleet(2, 2).settings(PATIENT)).unwrap();
    scale_service_time(&mut fleet, 50.0).unwrap();
    let mut caller = long_winded(&fleet, 1);
    let ticket = caller.obtain_ticket().unwrap();
    let home = ticket_home(&fleet, &ticket).unwrap();
    let bid = caller.next_request(&ticket);
    let first = caller.send_until(&bid, |reply| !reply.token.is_empty()).unwrap();
    let mut moved = ManualCaller::new(&fleet, DESK, 1).unwrap();
    moved.identity = caller.identity.clone();
    set_fabric_instances(&fleet, &[1 - home]).unwrap();
    let word = moved.complete_request(&moved.poll(1, &first.token), DESK.0).unwrap();
    assert_eq!(word, RequestOutcome::Answered);
    assert_eq!(count_runs(&mut fleet, caller.request_id(1)).unwrap(), 1);
}

#[test]
fn two_requests_crossed() {
    // Symptom: of two bids of one flow, each gets the other's answer.
    // Sequence: both run at once; their answers overtake each other, and each is polled by its own
    //   token and by the other's.
    // Cause: the token is taken for the flow's and not for the request's.
    let mut fleet = start_fleet(plan_fleet(2, 2).settings(PATIENT)).unwrap();
    scale_service_time(&mut fleet, 50.0).unwrap();
    let faults = PacketFaults { reorder: 0.5, reorder_ms: 300, ..PacketFaults::default() };
    fleet.fabrics[0].client.set_faults(FaultWays::Back, faults).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let bids = [caller.next_request(&ticket), caller.next_request(&ticket)];
    let tokens = bids.clone().map(|bid| {
        let request = bid.request;
        let told = |reply: &Packet| reply.request == request && !reply.token.is_empty();
        caller.send_until(&bid, told).unwrap().token
    });
    let crossed = caller.resend_until_final(&caller.poll(1, &tokens[1])).unwrap();
    assert_eq!(crossed, RequestOutcome::Unknown(RefusalReason::BadToken));
    for (bid, token) in bids.iter().zip(&tokens) {
        let poll = caller.poll(bid.request, token);
        assert_eq!(caller.complete_request(&poll, DESK.0).unwrap(), RequestOutcome::Answered);
    }
}
