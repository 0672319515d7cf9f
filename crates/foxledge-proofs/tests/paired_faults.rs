//! Promises 5 and 4 under pairs of faults, including cuts in one direction and bad links.

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
    start_fleet, ticket_home, wait_peer_count, wait_revision, wait_runs,
};

/// Freezes the home while a bid runs, resumes it long after the end of the run, and returns the
/// runs of the bid.
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
            let outcome = caller.resend_until_final(&bid).unwrap();
            assert!(
                !matches!(outcome, RequestOutcome::NotRun(_)),
                "told {outcome:?} of a bid that ran"
            );
        }
    }
    wait_peer_count(&fleet, 1 - home, 1).unwrap();
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
fn bid_runs_once_when_its_home_freezes_after_dispatch() {
    // Guards against a bid that runs twice. The home dispatches it and freezes; the caller sends it
    // through the other instance; the home resumes, finds its dispatch overdue and gets a copy.
    // Neither instance may place the bid again.
    assert_eq!(freeze_after_dispatch(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(freeze_after_dispatch(RunOnce::On), 1);
}

/// Kills the home and the backend server while a bid runs, and returns the runs of the bid.
fn kill_home_and_target(run_once: RunOnce) -> u32 {
    let plan = plan_fleet(2, 3).settings(&run_once.settings(FAST_DETECTION_SETTINGS));
    let mut fleet = start_fleet(plan).unwrap();
    scale_service_time(&mut fleet, LONG_RUN_FACTOR).unwrap();
    let PreparedBid { caller, bid, home } = prepare_bid(&fleet, 1).unwrap();
    caller.send(&bid).unwrap();
    wait_runs(&mut fleet, caller.request_id(1), 1).unwrap();
    let stats = fleet.backend_stats().unwrap();
    let index = stats.iter().position(|stats| stats.total_runs == 1).unwrap();
    let dead = &mut fleet.backends[index];
    dead.kill().unwrap();
    let name = dead.name.clone();
    fleet.kill_instance(home).unwrap();
    // Operators remove the dead backend server from the list, so that the next home doesn't try it.
    fleet.list.service_mut(DESK.0).unwrap().targets.retain(|target| target.name != name);
    let revision = fleet.publish().unwrap();
    wait_revision(&fleet, &[1 - home], revision).unwrap();
    set_fabric_instances(&fleet, &[1 - home]).unwrap();
    count_after_retransmission(run_once, &mut fleet, &caller, &bid, &[1 - home]).unwrap()
}

#[test]
fn bid_runs_once_when_home_and_backend_server_are_killed() {
    // Guards against a bid that runs again at another backend server. The backend server that runs
    // it and the home are killed, so that no process remains that knows of the run; the caller
    // sends the bid again.
    assert_eq!(kill_home_and_target(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(kill_home_and_target(RunOnce::On), 1);
}

/// Cuts the link from the home to the other instance, and returns the runs of a bid.
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
        let outcome = caller.receive_final(1, Duration::from_millis(300));
        assert!(
            !matches!(outcome, Some(RequestOutcome::NotRun(_))),
            "told {outcome:?} of a bid that ran"
        );
    }
    complete_marker(&fleet, &[0, 1], 1).unwrap();
    count_runs(&mut fleet, caller.request_id(1)).unwrap()
}

#[test]
fn cut_one_way() {
    // Guards against a bid that runs twice. Packets from the home to the entry instance are cut
    // while the opposite direction works: the bid arrives at the home, but its acknowledgement
    // doesn't return. The entry instance must not take the silence for a lost packet and admit the
    // bid itself.
    assert_eq!(cut_acks(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(cut_acks(RunOnce::On), 1);
}

/// Runs a load over bad links while one home freezes and another is killed, and returns the
/// verdict.
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
    let duplicates = PacketFaults { duplicate: 0.5, ..PacketFaults::default() };
    fleet.links.as_ref().unwrap().client().set_link_faults("toledo*", "toledo*", bad).unwrap();
    fleet.fabrics[0].client.set_faults(FaultWays::Forward, duplicates).unwrap();
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
fn bids_run_once_over_bad_links_under_load() {
    // Guards against bids that run twice, or that ran but were refused as "not run". Under load,
    // packets between instances are lost, duplicated and delayed, and those of callers are
    // duplicated; then a home freezes and resumes, and the next one is killed. Copies and late
    // forwarded packets must not be taken for new work.
    let unprotected = load_over_bad_links(RunOnce::Off);
    assert!(!unprotected.doubled.is_empty(), "without the mechanism the fault shows");
    let protected = load_over_bad_links(RunOnce::On);
    assert!(protected.is_clean(), "{protected:?}");
}
