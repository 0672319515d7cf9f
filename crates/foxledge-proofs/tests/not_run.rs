//! Promise 4: what was refused as "not run" did not run and never will.

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

/// Tickets that last a whole test, and patience with backend servers on a busy machine.
const LASTING: &str =
    "[flow]\nticket_ms = 30000\n[stop]\nlimit_ms = 40000\n[desk]\nack_ms = 1500\n";
/// Service time so long that a run lasts until it is cancelled.
const LONG_RUN: f64 = 5000.0;

/// Name of the rule that denies bids.
const NO_BIDS: &str = "no-more-bids";

/// `Refusing` is what makes the home refuse a bid that can't have been started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusing {
    /// A rule denies the member.
    Rule,
    /// Every backend server sheds.
    Shed,
    /// The deadline passes in the queue.
    Deadline,
    /// The caller cancels it in the queue.
    Cancel,
}

/// `RefusalMemory` is whether a home remembers what it refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalMemory {
    /// As it is served.
    On,
    /// Only to show that the fault is there.
    Off,
}

/// Refuses a bid in that way, takes the cause away and sends copies; returns the word and the runs.
fn refuse_then_copy(
    fleet: &mut LimitedFleet,
    refusing: Refusing,
    number: u64,
    memory: RefusalMemory,
) -> (RequestOutcome, u32) {
    let mut caller = ManualCaller::new(fleet, DESK, number).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let mut bid = caller.next_request(&ticket);
    let mut holders = Vec::new();
    match refusing {
        Refusing::Rule => deny_bids(fleet),
        Refusing::Shed => shed(fleet, true),
        Refusing::Deadline => {
            holders = hold_slots(fleet, number);
            bid.time_left_ms = 700;
        }
        Refusing::Cancel => holders = hold_slots(fleet, number),
    }
    let word = match refusing {
        Refusing::Cancel => {
            caller.send(&bid).unwrap();
            let cancel =
                Packet { kind: PacketKind::Cancel.into(), payload: Vec::new(), ..bid.clone() };
            caller.resend_until_final(&cancel).unwrap()
        }
        _ => caller.resend_until_final(&bid).unwrap(),
    };
    match refusing {
        Refusing::Rule => allow_bids(fleet),
        Refusing::Shed => shed(fleet, false),
        Refusing::Deadline | Refusing::Cancel => holders.iter().for_each(HeldSlot::free),
    }
    bid.time_left_ms = 20_000;
    if memory == RefusalMemory::Off {
        resend_until_runs(fleet, &caller, &bid, 1).unwrap();
    }
    for _ in 0..4 {
        caller.send(&bid).unwrap();
        let again = caller.receive_final(1, Duration::from_millis(300));
        let is_answered = again == Some(RequestOutcome::Answered);
        assert!(memory == RefusalMemory::Off || !is_answered, "{refusing:?} is answered later");
    }
    complete_marker(fleet, &[0, 1], number).unwrap();
    set_fabric_instances(fleet, &[0, 1]).unwrap();
    (word, count_runs(fleet, caller.request_id(1)).unwrap())
}

fn deny_bids(fleet: &mut LimitedFleet) {
    fleet.list.rules.insert(0, RulePlan::deny_rest(NO_BIDS).members(&[MEMBER]));
    publish_list(fleet);
}

fn allow_bids(fleet: &mut LimitedFleet) {
    fleet.list.rules.retain(|rule| rule.name != NO_BIDS);
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

/// `HeldSlot` is a bid that runs until it is cancelled.
struct HeldSlot {
    caller: ManualCaller,
    bid: Packet,
}

impl HeldSlot {
    fn free(&self) {
        let cancel =
            Packet { kind: PacketKind::Cancel.into(), payload: Vec::new(), ..self.bid.clone() };
        let word = self.caller.resend_until_final(&cancel).unwrap();
        assert!(matches!(word, RequestOutcome::Unknown(_)), "a cancelled run is told {word:?}");
    }
}

/// Takes every slot of the desk by bids that don't end.
fn hold_slots(fleet: &mut LimitedFleet, number: u64) -> Vec<HeldSlot> {
    let slots: u32 =
        2 * fleet.backends.iter().filter(|backend| backend.service == DESK.0).count() as u32;
    scale_service_time(fleet, LONG_RUN).unwrap();
    let mut held = Vec::new();
    for slot in 0..u64::from(slots) {
        let mut caller = ManualCaller::new(fleet, DESK, 0x4000 + number * 64 + slot).unwrap();
        let mut bid = caller.next_request(&caller.obtain_ticket().unwrap());
        bid.time_left_ms = 60_000;
        caller.send(&bid).unwrap();
        wait_runs(fleet, caller.request_id(1), 1).unwrap();
        held.push(HeldSlot { caller, bid });
    }
    scale_service_time(fleet, 1.0).unwrap();
    held
}

/// These ways of refusing in turn on one fleet; returns words and runs.
fn refuse_in_ways(
    ways: &[Refusing],
    memory: RefusalMemory,
) -> Vec<(Refusing, RequestOutcome, u32)> {
    let is_on = memory == RefusalMemory::On;
    let settings = format!("{LASTING}[trial]\nremember_refusals = {is_on}\n");
    let mut fleet = start_fleet(plan_fleet(2, 1).settings(&settings)).unwrap();
    let mut results = Vec::new();
    for (number, &refusing) in (1..).zip(ways) {
        let (word, runs) = refuse_then_copy(&mut fleet, refusing, number, memory);
        results.push((refusing, word, runs));
    }
    results
}

#[test]
fn refusals_stand() {
    // Symptom: a bid that was called "not run" runs a moment later.
    // Sequence: it is refused by a rule, by shedding backend servers, by its deadline or by its
    //   caller's cancel; the cause goes away; a late copy arrives.
    // Cause: the home decides on the copy anew.
    let expected = [
        (Refusing::Rule, RequestOutcome::NotRun(RefusalReason::Denied)),
        (Refusing::Shed, RequestOutcome::NotRun(RefusalReason::TargetShed)),
        (Refusing::Deadline, RequestOutcome::NotRun(RefusalReason::DeadlinePassed)),
        (Refusing::Cancel, RequestOutcome::NotRun(RefusalReason::Cancelled)),
    ];
    // What was queued or dispatched stays known as such, so only the rule shows the switch.
    let (rule, told) = expected[0];
    let without = refuse_in_ways(&[rule], RefusalMemory::Off);
    assert_eq!(without, [(rule, told, 1)], "without the mechanism the fault shows");
    let ways = expected.map(|(refusing, _)| refusing);
    let with = expected.map(|(refusing, word)| (refusing, word, 0));
    assert_eq!(refuse_in_ways(&ways, RefusalMemory::On), with);
}

#[test]
fn queued_at_killed_home() {
    // Symptom: a bid is called "not run" by an instance that can't know.
    // Sequence: it waits in the home's queue; the home is killed; the caller sends it again, and
    //   again after the next home is killed too.
    // Cause: for the others a bid that waits looks like one that runs.
    let mut fleet = start_fleet(plan_fleet(3, 1).settings(LASTING)).unwrap();
    let _held = hold_slots(&mut fleet, 1);
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
        let word = caller.resend_until_final(&bid).unwrap();
        assert_eq!(word, RequestOutcome::Unknown(RefusalReason::HomeLost));
        let fresh = ManualCaller::new(&fleet, DESK, 2).unwrap();
        home = ticket_home(&fleet, &fresh.obtain_ticket().unwrap()).unwrap();
    }
    assert_eq!(count_runs(&mut fleet, caller.request_id(1)).unwrap(), 0);
}

#[test]
fn withdrawn_key() {
    // Symptom: a bid is called "not run" by one instance and runs through another.
    // Sequence: the keys are replaced; the ticket's home is cut off and keeps the old list; the
    //   fabric hands a copy to each instance.
    // Cause: the instance with the new list can't open the ticket, and takes it for a forged one.
    let plan = plan_fleet(2, 1).link_mode(LinkMode::Routed).settings(LASTING);
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
    let word = caller.resend_until_final(&bid).unwrap();
    assert_eq!(word, RequestOutcome::Unknown(RefusalReason::BadTicket));
    set_fabric_instances(&fleet, &[home]).unwrap();
    assert_eq!(caller.resend_until_final(&bid).unwrap(), RequestOutcome::Answered);
    assert_eq!(count_runs(&mut fleet, caller.request_id(1)).unwrap(), 1);
}

/// A bid whose backend servers are frozen before they read it; returns its word and runs.
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
    let word = caller.receive_final(1, WIDE_LIMIT).unwrap();
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
    (word, count_runs(&mut fleet, caller.request_id(1)).unwrap())
}

#[test]
fn frozen_targets() {
    // Symptom: a bid that is called "not run" runs when its backend server wakes up, or runs at
    //   the next one too.
    // Sequence: the backend servers freeze with the bid in their sockets; the home gives up.
    // Cause: silence is taken for "not run". Idempotent work is tried elsewhere, so it shows that
    //   the bid does wait in the sockets.
    assert!(freeze_targets(true).1 >= 2, "idempotent work runs at both");
    let (word, runs) = freeze_targets(false);
    assert_eq!(word, RequestOutcome::Unknown(RefusalReason::TargetLost));
    assert_eq!(runs, 1);
}

#[test]
fn target_replaced_midway() {
    // Symptom: a bid that ran is called "not run", or runs again elsewhere.
    // Sequence: the backend server that runs it is killed; another process starts at its address
    //   and answers the home's question and the caller's copies by "not run, wrong target".
    // Cause: the word of a process that can't know is believed.
    let mut fleet = start_fleet(plan_fleet(2, 2).settings(LASTING)).unwrap();
    scale_service_time(&mut fleet, LONG_RUN).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let bid = caller.next_request(&caller.obtain_ticket().unwrap());
    caller.send(&bid).unwrap();
    wait_runs(&mut fleet, caller.request_id(1), 1).unwrap();
    let stats = fleet.backend_stats().unwrap();
    let at = stats.iter().position(|stats| stats.total_runs == 1).unwrap();
    let old = &mut fleet.backends[at];
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
    let word = caller.resend_until_final(&bid).unwrap();
    assert_eq!(word, RequestOutcome::Unknown(RefusalReason::TargetLost));
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
fn overload_and_faults() {
    // Symptom: bids refused as "not run" ran, or bids ran twice.
    // Sequence: more bids than the desk serves, while packets are lost, doubled to two instances
    //   and late, one backend server sheds and says it is idle, one says it is unhealthy, and two
    //   homes are killed one after the other.
    // Cause: any refusal that isn't final, and any copy that is taken for new work.
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
