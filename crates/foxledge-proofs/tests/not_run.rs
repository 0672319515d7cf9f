//! Promise 4: a request that is refused as "not run" hasn't run and never will.

use std::time::Duration;

use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    backend::{BackendOrder, orders::LoadSaying},
    fabric::faults::{FaultWays, PacketFaults},
    harness::{BackendPlan, LinkMode, ServiceSize},
    publish::{KeyPlan, RulePlan},
};
use foxledge_proofs::{
    fleet_limit::LimitedFleet,
    request_helpers::{
        CENTRE, DESK, MEMBER, ManualCaller, RequestOutcome, WIDE_LIMIT, complete_marker,
        count_runs, other_running, plan_fleet, resend_until_runs, scale_service_time,
        set_fabric_instances, start_fleet, ticket_home, wait_revision, wait_runs,
    },
};
use foxledge_wire::flow::{Packet, PacketKind, RefusalReason};

/// Settings with tickets that are valid for a whole test, and a longer acknowledgement timeout for
/// backend servers on a busy machine.
const LONG_TICKET_SETTINGS: &str =
    "[flow]\nticket_ms = 30000\n[stop]\nlimit_ms = 40000\n[desk]\nack_ms = 1500\n";
/// The factor of service times with which a run lasts until it is cancelled.
const ENDLESS_RUN_FACTOR: f64 = 5000.0;

/// The name of the rule that denies bids.
const DENY_RULE: &str = "no-more-bids";

/// The cause for which the home refuses a bid that can't have been started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalCause {
    /// A rule denies the bid.
    Rule,
    /// Every backend server sheds load.
    Shed,
    /// The deadline passes while the bid is queued.
    Deadline,
    /// The caller cancels the bid while it is queued.
    Cancel,
}

/// Whether a home remembers the bids that it refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalMemory {
    /// Enabled, as in production.
    On,
    /// Disabled, to show that the fault occurs without it.
    Off,
}

/// Makes the home refuse a bid, ends the cause and sends copies of the bid. Returns the outcome and
/// the runs.
fn refuse_then_resend(
    fleet: &mut LimitedFleet,
    cause: RefusalCause,
    number: u64,
    memory: RefusalMemory,
) -> (RequestOutcome, u32) {
    let mut caller = ManualCaller::new(fleet, DESK, number).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let mut bid = caller.next_request(&ticket);
    let mut occupied_slots = Vec::new();
    match cause {
        RefusalCause::Rule => deny_bids(fleet),
        RefusalCause::Shed => shed(fleet, true),
        RefusalCause::Deadline => {
            occupied_slots = occupy_slots(fleet, number);
            bid.time_left_ms = 700;
        }
        RefusalCause::Cancel => occupied_slots = occupy_slots(fleet, number),
    }
    let outcome = match cause {
        RefusalCause::Cancel => {
            caller.send(&bid).unwrap();
            let cancel =
                Packet { kind: PacketKind::Cancel.into(), payload: Vec::new(), ..bid.clone() };
            caller.resend_until_final(&cancel).unwrap()
        }
        _ => caller.resend_until_final(&bid).unwrap(),
    };
    match cause {
        RefusalCause::Rule => allow_bids(fleet),
        RefusalCause::Shed => shed(fleet, false),
        RefusalCause::Deadline | RefusalCause::Cancel => {
            occupied_slots.iter().for_each(OccupiedSlot::release)
        }
    }
    bid.time_left_ms = 20_000;
    if memory == RefusalMemory::Off {
        resend_until_runs(fleet, &caller, &bid, 1).unwrap();
    }
    for _ in 0..4 {
        caller.send(&bid).unwrap();
        let later_outcome = caller.receive_final(1, Duration::from_millis(300));
        let is_answered = later_outcome == Some(RequestOutcome::Answered);
        assert!(memory == RefusalMemory::Off || !is_answered, "{cause:?} is answered later");
    }
    complete_marker(fleet, &[0, 1], number).unwrap();
    set_fabric_instances(fleet, &[0, 1]).unwrap();
    (outcome, count_runs(fleet, caller.request_id(1)).unwrap())
}

fn deny_bids(fleet: &mut LimitedFleet) {
    fleet.list.rules.insert(0, RulePlan::deny_rest(DENY_RULE).members(&[MEMBER]));
    publish_list(fleet);
}

fn allow_bids(fleet: &mut LimitedFleet) {
    fleet.list.rules.retain(|rule| rule.name != DENY_RULE);
    publish_list(fleet);
}

fn publish_list(fleet: &mut LimitedFleet) {
    let revision = fleet.publish().unwrap();
    wait_revision(fleet, &[0, 1], revision).unwrap();
}

fn shed(fleet: &LimitedFleet, on: bool) {
    for backend in &fleet.backends {
        backend.order(&BackendOrder::Shed { on }).unwrap();
    }
}

/// A slot that is occupied by a bid until the bid is cancelled.
struct OccupiedSlot {
    caller: ManualCaller,
    bid: Packet,
}

impl OccupiedSlot {
    fn release(&self) {
        let cancel =
            Packet { kind: PacketKind::Cancel.into(), payload: Vec::new(), ..self.bid.clone() };
        let outcome = self.caller.resend_until_final(&cancel).unwrap();
        assert!(
            matches!(outcome, RequestOutcome::Unknown(_)),
            "a cancelled run is told {outcome:?}"
        );
    }
}

/// Occupies every slot of the desk with bids that don't end.
fn occupy_slots(fleet: &mut LimitedFleet, number: u64) -> Vec<OccupiedSlot> {
    let slots: u32 =
        2 * fleet.backends.iter().filter(|backend| backend.service == DESK.0).count() as u32;
    scale_service_time(fleet, ENDLESS_RUN_FACTOR).unwrap();
    let mut occupied = Vec::new();
    for slot in 0..u64::from(slots) {
        let mut caller = ManualCaller::new(fleet, DESK, 0x4000 + number * 64 + slot).unwrap();
        let mut bid = caller.next_request(&caller.obtain_ticket().unwrap());
        bid.time_left_ms = 60_000;
        caller.send(&bid).unwrap();
        wait_runs(fleet, caller.request_id(1), 1).unwrap();
        occupied.push(OccupiedSlot { caller, bid });
    }
    scale_service_time(fleet, 1.0).unwrap();
    occupied
}

/// Refuses a bid by each cause in turn on one fleet, and returns the outcomes and runs.
fn refuse_by_causes(
    causes: &[RefusalCause],
    memory: RefusalMemory,
) -> Vec<(RefusalCause, RequestOutcome, u32)> {
    let is_on = memory == RefusalMemory::On;
    let settings = format!("{LONG_TICKET_SETTINGS}[trial]\nremember_refusals = {is_on}\n");
    let mut fleet = start_fleet(plan_fleet(2, 1).settings(&settings)).unwrap();
    let mut results = Vec::new();
    for (number, &cause) in (1..).zip(causes) {
        let (outcome, runs) = refuse_then_resend(&mut fleet, cause, number, memory);
        results.push((cause, outcome, runs));
    }
    results
}

#[test]
fn refused_bids_never_run() {
    // Guards against a bid that was refused as "not run" but runs later because the home decides
    // again on a retransmission. It is refused by a rule, by shedding backend servers, by its
    // deadline or by its caller's cancellation; then the cause ends and a late copy arrives.
    let expected = [
        (RefusalCause::Rule, RequestOutcome::NotRun(RefusalReason::Denied)),
        (RefusalCause::Shed, RequestOutcome::NotRun(RefusalReason::TargetShed)),
        (RefusalCause::Deadline, RequestOutcome::NotRun(RefusalReason::DeadlinePassed)),
        (RefusalCause::Cancel, RequestOutcome::NotRun(RefusalReason::Cancelled)),
    ];
    // Queued and dispatched bids are remembered anyway, so that only the rule shows the effect of
    // the setting.
    let (rule, refused_outcome) = expected[0];
    let without = refuse_by_causes(&[rule], RefusalMemory::Off);
    assert_eq!(without, [(rule, refused_outcome, 1)], "without the mechanism the fault shows");
    let causes = expected.map(|(cause, _)| cause);
    let with = expected.map(|(cause, outcome)| (cause, outcome, 0));
    assert_eq!(refuse_by_causes(&causes, RefusalMemory::On), with);
}

#[test]
fn bid_queued_at_a_killed_home_is_unknown() {
    // Guards against a bid that is told "not run" by an instance that can't know. It waits in the
    // home's queue, which looks like a run to other instances; the home is killed, and the caller
    // sends it again, and once more after the next home is killed.
    let mut fleet = start_fleet(plan_fleet(3, 1).settings(LONG_TICKET_SETTINGS)).unwrap();
    let _occupied = occupy_slots(&mut fleet, 1);
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let bid = caller.next_request(&ticket);
    let mut home = ticket_home(&fleet, &ticket).unwrap();
    caller.send(&bid).unwrap();
    assert_eq!(caller.receive_final(1, Duration::from_millis(500)), None, "it waits in the queue");
    for _ in 0..2 {
        fleet.kill_instance(home).unwrap();
        let rest = other_running(&mut fleet, home);
        set_fabric_instances(&fleet, &rest).unwrap();
        let outcome = caller.resend_until_final(&bid).unwrap();
        assert_eq!(outcome, RequestOutcome::Unknown(RefusalReason::HomeLost));
        let new_caller = ManualCaller::new(&fleet, DESK, 2).unwrap();
        home = ticket_home(&fleet, &new_caller.obtain_ticket().unwrap()).unwrap();
    }
    assert_eq!(count_runs(&mut fleet, caller.request_id(1)).unwrap(), 0);
}

#[test]
fn ticket_under_a_withdrawn_key_is_unknown() {
    // Guards against a bid that is told "not run" by one instance and runs through another. The
    // keys are replaced, but the ticket's home is cut off and keeps the old list; the fabric sends
    // a copy to each instance. The instance with the new list can't open the ticket and must not
    // take it for a forged one.
    let plan = plan_fleet(2, 1).link_mode(LinkMode::Routed).settings(LONG_TICKET_SETTINGS);
    let mut fleet = start_fleet(plan).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let home = ticket_home(&fleet, &ticket).unwrap();
    let names = [fleet.instances[home].name.clone(), fleet.instances[1 - home].name.clone()];
    fleet.links.as_ref().unwrap().cut(&names[0], &names[1]).unwrap();
    let old = fleet.platform.client.report().unwrap().revision;
    fleet.platform.client.hold(&names[0], Some(old)).unwrap();
    fleet.list.keys = vec![KeyPlan::numbered(2)];
    let revision = fleet.publish().unwrap();
    wait_revision(&fleet, &[1 - home], revision).unwrap();

    let bid = caller.next_request(&ticket);
    set_fabric_instances(&fleet, &[1 - home]).unwrap();
    let outcome = caller.resend_until_final(&bid).unwrap();
    assert_eq!(outcome, RequestOutcome::Unknown(RefusalReason::BadTicket));
    set_fabric_instances(&fleet, &[home]).unwrap();
    assert_eq!(caller.resend_until_final(&bid).unwrap(), RequestOutcome::Answered);
    assert_eq!(count_runs(&mut fleet, caller.request_id(1)).unwrap(), 1);
}

/// Freezes the backend servers before they read a bid, and returns its outcome and runs.
fn freeze_targets(idempotent: bool) -> (RequestOutcome, u32) {
    let mut fleet = start_fleet(plan_fleet(2, 2)).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    caller.identity.idempotent = idempotent;
    let ticket = if idempotent { Vec::new() } else { caller.obtain_ticket().unwrap() };
    let bid = caller.next_request(&ticket);
    for backend in fleet.backends.iter_mut().filter(|backend| backend.service == DESK.0) {
        backend.process.freeze().unwrap();
    }
    caller.send(&bid).unwrap();
    let outcome = caller.receive_final(1, WIDE_LIMIT).unwrap();
    for backend in fleet.backends.iter_mut().filter(|backend| backend.service == DESK.0) {
        backend.process.wake().unwrap();
    }
    let expected = if idempotent { 2 } else { 1 };
    wait_runs(&mut fleet, caller.request_id(1), expected).unwrap();
    for _ in 0..3 {
        caller.send(&bid).unwrap();
        caller.receive_final(1, Duration::from_millis(200));
    }
    complete_marker(&fleet, &[0, 1], 1).unwrap();
    (outcome, count_runs(&mut fleet, caller.request_id(1)).unwrap())
}

#[test]
fn bid_at_a_frozen_backend_server_is_unknown() {
    // Guards against a bid that is told "not run" but runs when its backend server resumes, or that
    // also runs at another one. The backend servers freeze with the bid in their socket buffers,
    // and the home gives up. Idempotent work is tried elsewhere, which shows that the bid does wait
    // in the buffers.
    assert!(freeze_targets(true).1 >= 2, "idempotent work runs at both");
    let (outcome, runs) = freeze_targets(false);
    assert_eq!(outcome, RequestOutcome::Unknown(RefusalReason::TargetLost));
    assert_eq!(runs, 1);
}

#[test]
fn run_at_a_replaced_backend_server_is_unknown() {
    // Guards against a bid that ran but is told "not run", or that runs again elsewhere. The
    // backend server that runs it is killed; another process starts at its address and answers the
    // home's check and the caller's retransmissions with "not run, wrong target", although it can't
    // know.
    let mut fleet = start_fleet(plan_fleet(2, 2).settings(LONG_TICKET_SETTINGS)).unwrap();
    scale_service_time(&mut fleet, ENDLESS_RUN_FACTOR).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let bid = caller.next_request(&caller.obtain_ticket().unwrap());
    caller.send(&bid).unwrap();
    wait_runs(&mut fleet, caller.request_id(1), 1).unwrap();
    let stats = fleet.backend_stats().unwrap();
    let index = stats.iter().position(|stats| stats.total_runs == 1).unwrap();
    let old = &mut fleet.backends[index];
    old.kill().unwrap();
    let (name, address) = (old.name.clone(), old.address);
    let plan = BackendPlan {
        name: &name,
        service: DESK.0,
        data_centre: CENTRE,
        address,
        incarnation: 2,
        size: ServiceSize::targets(1),
        seed: 2,
    };
    let new = fleet.start_backend(&plan).unwrap();

    scale_service_time(&mut fleet, 1.0).unwrap();
    let outcome = caller.resend_until_final(&bid).unwrap();
    assert_eq!(outcome, RequestOutcome::Unknown(RefusalReason::TargetLost));
    assert!(fleet.backends[new].stats().unwrap().wrong_target > 0, "the new process was asked");
    fleet.list.target_mut(&name).unwrap().incarnation = 2;
    let revision = fleet.publish().unwrap();
    wait_revision(&fleet, &[0, 1], revision).unwrap();
    for _ in 0..3 {
        caller.send(&bid).unwrap();
        caller.receive_final(1, Duration::from_millis(200));
    }
    complete_marker(&fleet, &[0, 1], 1).unwrap();
    assert_eq!(count_runs(&mut fleet, caller.request_id(1)).unwrap(), 1);
}

#[test]
fn refusals_stay_true_under_overload_and_faults() {
    // Guards against bids that ran but were refused as "not run", and bids that ran twice. More
    // bids arrive than the desk can serve while packets are lost, duplicated to two instances and
    // delayed, one backend server sheds and reports that it is idle, one reports that it is
    // unhealthy, and two homes are killed one after the other.
    let mut fleet = start_fleet(plan_fleet(3, 4)).unwrap();
    let faults = PacketFaults {
        loss: 0.05,
        duplicate: 0.5,
        reorder: 0.2,
        reorder_ms: 900,
        delay_max_ms: 40,
        ..PacketFaults::default()
    };
    fleet.fabrics[0].client.set_faults(FaultWays::Both, faults).unwrap();
    let idle = BackendOrder::Lie { say: LoadSaying::HealthyIdle };
    let orders = [
        vec![BackendOrder::Shed { on: true }, idle],
        vec![BackendOrder::Lie { say: LoadSaying::Unhealthy }],
    ];
    for (backend, orders) in fleet.backends.iter().zip(&orders) {
        for order in orders {
            backend.order(order).unwrap();
        }
    }
    let plan =
        fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid).unwrap().rate(350.0).seconds(8.0);
    let caller = fleet.start_caller(CENTRE, &plan.argument("--deadline-ms=700")).unwrap();
    for kill in 0..2 {
        std::thread::sleep(Duration::from_millis(2000));
        let probe = ManualCaller::new(&fleet, DESK, 0x7000 + kill).unwrap();
        let home = ticket_home(&fleet, &probe.obtain_ticket().unwrap()).unwrap();
        fleet.kill_instance(home).unwrap();
    }
    let report = caller.finish(WIDE_LIMIT).unwrap();
    let verdict = fleet.judge(std::slice::from_ref(&report)).unwrap();
    println!(
        "offered {}, served {}, not run {}, unknown {}, timed out {}, refused {:?}",
        report.offered,
        report.served,
        report.refused_not_run,
        report.unknown,
        report.timed_out,
        report.refused
    );
    assert!(report.served > 0 && report.refused_not_run > 0, "nothing was served or refused");
    assert!(verdict.is_clean(), "{verdict:?}");
}
