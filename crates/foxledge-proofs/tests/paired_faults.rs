//! Promises 5 and 4 under faults in pairs, with the cut of one direction and bad links.

use std::time::Duration;

use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    fabric::faults::{FaultWays, PacketFaults},
    harness::LinkMode,
    report::Verdict,
};
use foxledge_proofs::request_helpers::{
    CENTRE, DESK, FAST_DETECTION_SETTINGS, LONG_RUN_FACTOR, MEMBER, ManualCaller, PreparedBid,
    RequestOutcome, RunOnce, WIDE_LIMIT, complete_marker, count_after_retransmission, count_runs,
    plan_fleet, prepare_bid, resend_until_runs, scale_service_time, set_fabric_instances,
    start_fleet, ticket_home, wait_alive_count, wait_revision, wait_runs,
};

/// The home freezes while the bid runs and wakes up when it has long ended; returns the runs.
fn freeze_after_dispatch(run_once: RunOnce) -> u32 {
    let plan = plan_fleet(2, 3).settings(&run_once.settings(FAST_DETECTION_SETTINGS));
    let mut fleet = start_fleet(plan).unwrap();
    scale_service_time(&mut fleet, 25.0).unwrap();
    let PreparedBid { caller, bid, home } = prepare_bid(&fleet, 1).unwrap();
    set_fabric_instances(&fleet, &[home]).unwrap();
    caller.send(&bid).unwrap();
    wait_runs(&mut fleet, caller.request_id(1), 1).unwrap();
    fleet.instances[home].process.freeze().unwrap();
    set_fabric_instances(&fleet, &[1 - home]).unwrap();
    match run_once {
        RunOnce::Off => resend_until_runs(&mut fleet, &caller, &bid, 2).unwrap(),
        RunOnce::On => {
            let word = caller.resend_until_final(&bid).unwrap();
            assert!(!matches!(word, RequestOutcome::NotRun(_)), "told {word:?} of a bid that ran");
        }
    }
    wait_alive_count(&fleet, 1 - home, 1).unwrap();
    fleet.instances[home].process.wake().unwrap();
    fleet.instances[home].wait_ready(WIDE_LIMIT).unwrap();
    set_fabric_instances(&fleet, &[home]).unwrap();
    for _ in 0..3 {
        caller.send(&bid).unwrap();
        caller.receive_final(1, Duration::from_millis(300));
    }
    complete_marker(&fleet, &[0, 1], 1).unwrap();
    count_runs(&mut fleet, caller.request_id(1)).unwrap()
}

#[test]
fn home_frozen_after_dispatch() {
    // Symptom: a bid runs twice.
    // Sequence: the home dispatches it and freezes; the caller sends it through the other
    //   instance; the home wakes up, finds its dispatch overdue and gets a copy.
    // Cause: the other instance places it anew, or the woken home does.
    assert_eq!(freeze_after_dispatch(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(freeze_after_dispatch(RunOnce::On), 1);
}

/// Home and backend server die while the bid runs; returns the runs.
fn kill_home_and_target(run_once: RunOnce) -> u32 {
    let plan = plan_fleet(2, 3).settings(&run_once.settings(FAST_DETECTION_SETTINGS));
    let mut fleet = start_fleet(plan).unwrap();
    scale_service_time(&mut fleet, LONG_RUN_FACTOR).unwrap();
    let PreparedBid { caller, bid, home } = prepare_bid(&fleet, 1).unwrap();
    caller.send(&bid).unwrap();
    wait_runs(&mut fleet, caller.request_id(1), 1).unwrap();
    let stats = fleet.backend_stats().unwrap();
    let at = stats.iter().position(|stats| stats.total_runs == 1).unwrap();
    let dead = &mut fleet.backends[at];
    dead.kill().unwrap();
    let name = dead.name.clone();
    fleet.kill_instance(home).unwrap();
    // Its operators take the dead one off the list, so that the next home doesn't try it.
    fleet.list.service_mut(DESK.0).unwrap().targets.retain(|target| target.name != name);
    let revision = fleet.publish().unwrap();
    wait_revision(&fleet, &[1 - home], revision).unwrap();
    set_fabric_instances(&fleet, &[1 - home]).unwrap();
    count_after_retransmission(run_once, &mut fleet, &caller, &bid, &[1 - home]).unwrap()
}

#[test]
fn home_and_target_killed() {
    // Symptom: a bid runs again at another backend server.
    // Sequence: the backend server that runs it and the home are killed; the caller sends it again.
    // Cause: nobody is left who could say that it ran.
    assert_eq!(kill_home_and_target(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(kill_home_and_target(RunOnce::On), 1);
}

/// What the home sends the other instance is cut; returns the runs.
fn cut_acks(run_once: RunOnce) -> u32 {
    let plan = plan_fleet(2, 2)
        .link_mode(LinkMode::Routed)
        .settings(&run_once.settings(FAST_DETECTION_SETTINGS));
    let mut fleet = start_fleet(plan).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let home = ticket_home(&fleet, &ticket).unwrap();
    let names = [fleet.instances[home].name.clone(), fleet.instances[1 - home].name.clone()];
    fleet.links.as_ref().unwrap().client().cut_links(&names[0], &names[1]).unwrap();
    set_fabric_instances(&fleet, &[1 - home]).unwrap();
    let bid = caller.next_request(&ticket);
    caller.send(&bid).unwrap();
    let expected = if run_once == RunOnce::On { 1 } else { 2 };
    wait_runs(&mut fleet, caller.request_id(1), expected).unwrap();
    for _ in 0..5 {
        caller.send(&bid).unwrap();
        let word = caller.receive_final(1, Duration::from_millis(300));
        assert!(
            !matches!(word, Some(RequestOutcome::NotRun(_))),
            "told {word:?} of a bid that ran"
        );
    }
    complete_marker(&fleet, &[0, 1], 1).unwrap();
    count_runs(&mut fleet, caller.request_id(1)).unwrap()
}

#[test]
fn cut_one_way() {
    // Symptom: a bid runs twice.
    // Sequence: what the home sends the entry instance is cut, the other direction is open: the
    //   bid arrives at the home, its ack doesn't come back.
    // Cause: the entry instance takes the silence for a lost packet and admits the bid itself.
    assert_eq!(cut_acks(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(cut_acks(RunOnce::On), 1);
}

/// Load over bad links while a home freezes and another dies; returns the verdict.
fn load_over_bad_links(run_once: RunOnce) -> Verdict {
    let settings = run_once.settings("[flow]\nticket_ms = 2000\n");
    let plan = plan_fleet(4, 3).link_mode(LinkMode::Routed).settings(&settings);
    let mut fleet = start_fleet(plan).unwrap();
    let bad = PacketFaults {
        loss: 0.2,
        duplicate: 0.3,
        reorder: 0.2,
        reorder_ms: 400,
        delay_max_ms: 30,
        ..PacketFaults::default()
    };
    let copies = PacketFaults { duplicate: 0.5, ..PacketFaults::default() };
    fleet.links.as_ref().unwrap().client().set_link_faults("toledo*", "toledo*", bad).unwrap();
    fleet.fabrics[0].client.set_faults(FaultWays::Forward, copies).unwrap();
    let load =
        fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid).unwrap().rate(100.0).seconds(7.0);
    let caller = fleet.start_caller(CENTRE, &load.argument("--deadline-ms=3000")).unwrap();
    for round in 0..2 {
        std::thread::sleep(Duration::from_millis(1000));
        let probe = ManualCaller::new(&fleet, DESK, 0x7000 + round).unwrap();
        let home = ticket_home(&fleet, &probe.obtain_ticket().unwrap()).unwrap();
        if round == 0 {
            fleet.instances[home].process.freeze().unwrap();
            std::thread::sleep(Duration::from_millis(2600));
            fleet.instances[home].process.wake().unwrap();
        } else {
            fleet.kill_instance(home).unwrap();
        }
    }
    let report = caller.finish(WIDE_LIMIT).unwrap();
    println!(
        "offered {}, served {}, not run {}, unknown {}, timed out {}",
        report.offered, report.served, report.refused_not_run, report.unknown, report.timed_out
    );
    assert!(report.served > 0, "nothing was served");
    fleet.judge(&[report]).unwrap()
}

#[test]
fn bad_links_under_load() {
    // Symptom: bids run twice, or ran though they were refused as "not run".
    // Sequence: under load, packets between instances are lost, doubled and late, those of callers
    //   are doubled; then a home freezes and wakes up, and the next one is killed.
    // Cause: any copy or late forwarding that is taken for new work.
    let without = load_over_bad_links(RunOnce::Off);
    assert!(!without.doubled.is_empty(), "without the mechanism the fault shows");
    let with = load_over_bad_links(RunOnce::On);
    assert!(with.is_clean(), "{with:?}");
}
