//! Promise 3: each caller gets the whole answer to its own request, even if packets are late or
//! reordered and the answer has many parts.

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

const SHORT_TICKET_SETTINGS: &str = "[flow]\nticket_ms = 1500\n[desk]\nack_ms = 1000\n";

/// The load of one caller process.
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

/// The packet faults of a short load.
struct FaultCase {
    what: &'static str,
    deadline_ms: u64,
    faults: PacketFaults,
}

/// Runs bids and uploads under each case in turn, and judges all reports together.
fn run_cases(cases: Vec<FaultCase>) {
    let mut fleet = start_fleet(plan_fleet(3, 3).settings(SHORT_TICKET_SETTINGS)).unwrap();
    let mut reports = Vec::new();
    for (seed, FaultCase { what, deadline_ms, faults }) in (1..).zip(cases) {
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
fn answers_stay_intact_under_each_packet_fault() {
    // Guards against callers that get an answer to another request, or one assembled from two
    // answers. Answers of up to three parts and uploads of many are lost, duplicated, reordered and
    // delayed, some beyond their callers' deadline, one fault at a time. Answers must be matched by
    // what both packets carry.
    let no_faults = PacketFaults::default();
    let case = |what, deadline_ms, faults| FaultCase { what, deadline_ms, faults };
    run_cases(vec![
        case("loss", 8_000, PacketFaults { loss: 0.2, ..no_faults }),
        case("copies", 8_000, PacketFaults { duplicate: 0.6, ..no_faults }),
        case("overtaking", 8_000, PacketFaults { reorder: 0.4, reorder_ms: 700, ..no_faults }),
        case("too late", 900, PacketFaults { delay_min_ms: 100, delay_max_ms: 900, ..no_faults }),
    ]);
}

#[test]
fn answers_stay_intact_under_all_packet_faults() {
    // Guards against the same failures while packets are lost, duplicated, reordered and delayed at
    // the same time.
    let faults = PacketFaults {
        loss: 0.1,
        duplicate: 0.4,
        reorder: 0.3,
        reorder_ms: 700,
        delay_min_ms: 0,
        delay_max_ms: 60,
    };
    run_cases(vec![FaultCase { what: "all", deadline_ms: 15_000, faults }]);
}

#[test]
fn answers_stay_intact_while_instances_are_replaced() {
    // Guards against answers and uploads that are truncated, mixed up or run twice. Bids and
    // uploads continue with duplicated and reordered packets while one instance is killed and every
    // other one is replaced, so that no instance remains that knew the flows from the start.
    let mut fleet = start_fleet(plan_fleet(3, 3).settings(SHORT_TICKET_SETTINGS)).unwrap();
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

/// Returns a caller whose first bid gets an answer of three parts.
fn caller_with_long_answer(fleet: &LimitedFleet, from: u64) -> ManualCaller {
    let callers = (from..).map(|number| ManualCaller::new(fleet, DESK, number).unwrap());
    callers.into_iter().find(|c| answer_part_count(c.identity.flow, 1) == 3).unwrap()
}

#[test]
fn answer_is_found_by_token_after_its_home_is_killed() {
    // Guards against a bid that ran but whose answer is lost. The home is killed after the backend
    // server has acknowledged the bid, and the answer goes to the dead home. By the flow token from
    // the first acknowledgement any instance finds the backend server; by the ticket none does.
    let mut fleet = start_fleet(plan_fleet(3, 2).settings(SHORT_TICKET_SETTINGS)).unwrap();
    scale_service_time(&mut fleet, 100.0).unwrap();
    let mut caller = caller_with_long_answer(&fleet, 1);
    let ticket = caller.obtain_ticket().unwrap();
    let bid = caller.next_request(&ticket);
    let first = caller.send_until(&bid, |reply| !reply.token.is_empty()).unwrap();
    assert_eq!(first.kind(), PacketKind::Ack);
    let home = ticket_home(&fleet, &ticket).unwrap();
    fleet.kill_instance(home).unwrap();
    let rest = other_running(&mut fleet, home);
    set_fabric_instances(&fleet, &rest).unwrap();

    // The same caller at another socket, which gets separate responses.
    let mut without_token = ManualCaller::new(&fleet, DESK, 1).unwrap();
    without_token.identity = caller.identity.clone();
    let ticket_outcome = without_token.resend_until_final(&bid).unwrap();
    assert_eq!(
        ticket_outcome,
        RequestOutcome::Unknown(RefusalReason::HomeLost),
        "by ticket nobody knows"
    );
    let token_outcome = caller.complete_request(&caller.poll(1, &first.token), DESK.0).unwrap();
    assert_eq!(token_outcome, RequestOutcome::Answered, "by token the whole answer comes");
    assert_eq!(count_runs(&mut fleet, caller.request_id(1)).unwrap(), 1);
}

#[test]
fn answer_reaches_a_caller_at_its_new_address() {
    // Guards against an answer that goes to an old address of its caller. The address changes while
    // a bid runs, and the caller polls from the new one through an instance that hasn't seen the
    // flow; the return path of the first packet must not be kept.
    let mut fleet = start_fleet(plan_fleet(2, 2).settings(SHORT_TICKET_SETTINGS)).unwrap();
    scale_service_time(&mut fleet, 50.0).unwrap();
    let mut caller = caller_with_long_answer(&fleet, 1);
    let ticket = caller.obtain_ticket().unwrap();
    let home = ticket_home(&fleet, &ticket).unwrap();
    let bid = caller.next_request(&ticket);
    let first = caller.send_until(&bid, |reply| !reply.token.is_empty()).unwrap();
    let mut moved = ManualCaller::new(&fleet, DESK, 1).unwrap();
    moved.identity = caller.identity.clone();
    set_fabric_instances(&fleet, &[1 - home]).unwrap();
    let outcome = moved.complete_request(&moved.poll(1, &first.token), DESK.0).unwrap();
    assert_eq!(outcome, RequestOutcome::Answered);
    assert_eq!(count_runs(&mut fleet, caller.request_id(1)).unwrap(), 1);
}

#[test]
fn tokens_belong_to_one_request_of_a_flow() {
    // Guards against two bids of one flow whose answers are exchanged. Both run at once, their
    // answers are reordered, and each is polled by its own token and by that of the other.
    let mut fleet = start_fleet(plan_fleet(2, 2).settings(SHORT_TICKET_SETTINGS)).unwrap();
    scale_service_time(&mut fleet, 50.0).unwrap();
    let faults = PacketFaults { reorder: 0.5, reorder_ms: 300, ..PacketFaults::default() };
    fleet.fabrics[0].client.set_faults(FaultWays::Back, faults).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let bids = [caller.next_request(&ticket), caller.next_request(&ticket)];
    let tokens = bids.clone().map(|bid| {
        let request = bid.request;
        let has_token = |reply: &Packet| reply.request == request && !reply.token.is_empty();
        caller.send_until(&bid, has_token).unwrap().token
    });
    let crossed = caller.resend_until_final(&caller.poll(1, &tokens[1])).unwrap();
    assert_eq!(crossed, RequestOutcome::Unknown(RefusalReason::BadToken));
    for (bid, token) in bids.iter().zip(&tokens) {
        let poll = caller.poll(bid.request, token);
        assert_eq!(caller.complete_request(&poll, DESK.0).unwrap(), RequestOutcome::Answered);
    }
}
