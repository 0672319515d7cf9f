//! Promise 5: a non-idempotent request runs at most once.

use std::time::{Duration, Instant};

use foxledge_fakes::{
    fabric::faults::{FaultWays, PacketFaults},
    harness::{LinkMode, wait_until},
};
use foxledge_proofs::request_helpers::{
    CENTRE, DESK, FAST_DETECTION_SETTINGS, LONG_RUN_FACTOR, ManualCaller, PreparedBid,
    RequestOutcome, RunOnce, WIDE_LIMIT, complete_marker, count_after_retransmission, count_runs,
    other_running, plan_fleet, prepare_bid, resend_until_runs, restart_instance,
    scale_service_time, set_fabric_instances, start_fleet, ticket_home, wait_peer_count, wait_runs,
};
use foxledge_wire::flow::RefusalReason;

/// The lifetime of a ticket that expires while its home is frozen.
const SHORT_TICKET_MS: u64 = 1500;

/// Sends a bid to both of two instances that take each other for dead, and returns its runs.
fn run_with_split_views(run_once: RunOnce) -> u32 {
    let plan = plan_fleet(2, 2)
        .link_mode(LinkMode::Routed)
        .settings(&run_once.settings(FAST_DETECTION_SETTINGS));
    let mut fleet = start_fleet(plan).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let (left, right) = (fleet.instances[0].name.clone(), fleet.instances[1].name.clone());
    fleet.links.as_ref().unwrap().cut(&left, &right).unwrap();
    wait_peer_count(&fleet, 0, 1).unwrap();
    wait_peer_count(&fleet, 1, 1).unwrap();
    let duplicate_all = PacketFaults { duplicate: 1.0, ..PacketFaults::default() };
    fleet.fabrics[0].client.set_faults(FaultWays::Forward, duplicate_all).unwrap();
    // The ticket may have expired in the meantime, and the bid would then not run at all if
    // the mechanism is enabled.
    let ticket = match run_once {
        RunOnce::On => {
            let home = ticket_home(&fleet, &ticket).unwrap();
            set_fabric_instances(&fleet, &[home]).unwrap();
            let new_caller = caller.obtain_ticket().unwrap();
            set_fabric_instances(&fleet, &[0, 1]).unwrap();
            new_caller
        }
        RunOnce::Off => ticket,
    };
    let bid = caller.next_request(&ticket);
    caller.send(&bid).unwrap();
    let expected = if run_once == RunOnce::On { 1 } else { 2 };
    wait_runs(&mut fleet, caller.request_id(1), expected).unwrap();
    for _ in 0..5 {
        caller.send(&bid).unwrap();
        let outcome = caller.receive_final(1, Duration::from_secs(1));
        assert!(
            !matches!(outcome, Some(RequestOutcome::NotRun(_))),
            "told {outcome:?} of a bid that ran"
        );
    }
    fleet.fabrics[0].client.clear().unwrap();
    complete_marker(&fleet, &[0, 1], 1).unwrap();
    count_runs(&mut fleet, caller.request_id(1)).unwrap()
}

#[test]
fn bid_runs_once_in_two_partitions() {
    // Guards against a bid that runs twice. The instances are cut off from each other until each
    // takes the other for dead, and the fabric sends the opening packet to both. Each is then the
    // home in its own view and would admit the bid.
    assert_eq!(run_with_split_views(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(run_with_split_views(RunOnce::On), 1);
}

/// Kills the home while a bid runs, and then further homes until `kills` were killed. Returns the
/// runs of the bid and its final outcome.
fn kill_homes(run_once: RunOnce, kills: usize) -> (u32, RequestOutcome) {
    let plan = plan_fleet(kills + 1, 3).settings(&run_once.settings(FAST_DETECTION_SETTINGS));
    let mut fleet = start_fleet(plan).unwrap();
    scale_service_time(&mut fleet, LONG_RUN_FACTOR).unwrap();
    let PreparedBid { caller, bid, mut home } = prepare_bid(&fleet, 2).unwrap();
    caller.send(&bid).unwrap();
    wait_runs(&mut fleet, caller.request_id(1), 1).unwrap();
    for kill in 1..=kills {
        fleet.kill_instance(home).unwrap();
        let rest = other_running(&mut fleet, home);
        set_fabric_instances(&fleet, &rest).unwrap();
        if run_once == RunOnce::Off {
            resend_until_runs(&mut fleet, &caller, &bid, kill as u32 + 1).unwrap();
        }
        let new_caller = ManualCaller::new(&fleet, DESK, 3 + kill as u64).unwrap();
        home = ticket_home(&fleet, &new_caller.obtain_ticket().unwrap()).unwrap();
    }
    let outcome = match run_once {
        RunOnce::On => caller.resend_until_final(&bid).unwrap(),
        RunOnce::Off => RequestOutcome::Answered,
    };
    let rest = other_running(&mut fleet, usize::MAX);
    scale_service_time(&mut fleet, 1.0).unwrap();
    for _ in 0..3 {
        caller.send(&bid).unwrap();
        caller.receive_final(1, Duration::from_millis(300));
    }
    complete_marker(&fleet, &rest, 2).unwrap();
    (count_runs(&mut fleet, caller.request_id(1)).unwrap(), outcome)
}

#[test]
fn bid_runs_once_after_its_home_is_killed() {
    // Guards against a bid that runs twice. The home dispatches it and is killed before the answer;
    // the caller sends it again to the next home, which doesn't know of the first run.
    assert_eq!(kill_homes(RunOnce::Off, 1).0, 2, "without the mechanism the fault shows");
    let (runs, outcome) = kill_homes(RunOnce::On, 1);
    assert_eq!(runs, 1);
    assert_eq!(outcome, RequestOutcome::Unknown(RefusalReason::HomeLost));
}

#[test]
fn bid_runs_once_after_two_homes_are_killed() {
    // Guards against a bid that runs again with every home that is killed: as above, and the next
    // home is killed too.
    assert_eq!(kill_homes(RunOnce::Off, 2).0, 3, "without the mechanism the fault shows");
    assert_eq!(kill_homes(RunOnce::On, 2).0, 1);
}

/// Restarts the home under the same name while a bid runs, and returns the runs of the bid.
fn restart_home(run_once: RunOnce) -> u32 {
    let mut fleet =
        start_fleet(plan_fleet(2, 3).settings(&run_once.settings(FAST_DETECTION_SETTINGS)))
            .unwrap();
    scale_service_time(&mut fleet, LONG_RUN_FACTOR).unwrap();
    let PreparedBid { caller, bid, home } = prepare_bid(&fleet, 1).unwrap();
    caller.send(&bid).unwrap();
    wait_runs(&mut fleet, caller.request_id(1), 1).unwrap();
    restart_instance(&mut fleet, home).unwrap();
    set_fabric_instances(&fleet, &[home]).unwrap();
    count_after_retransmission(run_once, &mut fleet, &caller, &bid, &[0, 1]).unwrap()
}

#[test]
fn bid_runs_once_after_its_home_is_restarted() {
    // Guards against a bid that runs twice. The home is killed while the bid runs, and restarted
    // with the same name and addresses but without its state; the caller sends the bid again.
    assert_eq!(restart_home(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(restart_home(RunOnce::On), 1);
}

/// Freezes the home with a bid in its socket buffer, `times` times. Returns the runs of the bid and
/// the outcome that the caller was told.
fn freeze_home(run_once: RunOnce, ticket_ms: u64, times: usize) -> (u32, RequestOutcome) {
    let settings =
        FAST_DETECTION_SETTINGS.replace("ticket_ms = 20000", &format!("ticket_ms = {ticket_ms}"));
    let plan = plan_fleet(2, 3).settings(&run_once.settings(&settings));
    let mut fleet = start_fleet(plan).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let issued = Instant::now();
    let home = ticket_home(&fleet, &ticket).unwrap();
    let other = 1 - home;
    let bid = caller.next_request(&ticket);
    let mut outcome = RequestOutcome::Answered;
    for _ in 0..times {
        // A new socket doesn't receive the resumed home's responses to earlier packets.
        let identity = caller.identity.clone();
        caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
        caller.identity = identity;
        fleet.instances[home].process.freeze().unwrap();
        set_fabric_instances(&fleet, &[home]).unwrap();
        caller.send(&bid).unwrap();
        set_fabric_instances(&fleet, &[other]).unwrap();
        outcome = caller.resend_until_final(&bid).unwrap();
        wait_peer_count(&fleet, other, 1).unwrap();
        if ticket_ms < SHORT_TICKET_MS * 2 {
            // The home must not resume before its ticket has expired.
            let passed = || issued.elapsed() > Duration::from_millis(ticket_ms + 500);
            wait_until("end of the ticket", WIDE_LIMIT, passed).unwrap();
        }
        fleet.instances[home].process.wake().unwrap();
        fleet.instances[home].wait_ready(WIDE_LIMIT).unwrap();
        complete_marker(&fleet, &[home], 1).unwrap();
    }
    (count_runs(&mut fleet, caller.request_id(1)).unwrap(), outcome)
}

#[test]
fn bid_runs_once_after_its_home_is_frozen() {
    // Guards against a bid that runs twice. The home freezes with the bid in its socket buffer, and
    // the caller sends it through another instance until it gets a final answer. The home resumes
    // before the ticket expires, and may run the bid only if no other instance may.
    assert_eq!(freeze_home(RunOnce::Off, 20_000, 1).0, 2, "without the mechanism the fault shows");
    let (runs, outcome) = freeze_home(RunOnce::On, 20_000, 1);
    assert_eq!((runs, outcome), (1, RequestOutcome::Unknown(RefusalReason::HomeLost)));
}

#[test]
fn bid_does_not_run_after_its_ticket_has_expired() {
    // Guards against a bid that runs long after its caller was told that its fate is unknown. The
    // home freezes with the bid in its socket buffer, resumes after the ticket has expired, and
    // does so again with a retransmission; it must not take buffered packets for recent.
    // `bid_runs_once_after_its_home_is_frozen` shows that the bid does run while the ticket is
    // valid.
    let (runs, outcome) = freeze_home(RunOnce::On, SHORT_TICKET_MS, 2);
    assert_eq!((runs, outcome), (0, RequestOutcome::Unknown(RefusalReason::HomeLost)));
}

/// Replaces all instances while a bid runs, and returns the runs of the bid.
fn replace_all(run_once: RunOnce) -> u32 {
    let mut fleet =
        start_fleet(plan_fleet(2, 3).settings(&run_once.settings(FAST_DETECTION_SETTINGS)))
            .unwrap();
    scale_service_time(&mut fleet, LONG_RUN_FACTOR).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let bid = caller.next_request(&ticket);
    caller.send(&bid).unwrap();
    wait_runs(&mut fleet, caller.request_id(1), 1).unwrap();
    for index in [0, 1] {
        fleet.kill_instance(index).unwrap();
    }
    for index in [0, 1] {
        fleet.add_instance(CENTRE).unwrap();
        fleet.forget_instance(index).unwrap();
    }
    count_after_retransmission(run_once, &mut fleet, &caller, &bid, &[2, 3]).unwrap()
}

#[test]
fn bid_runs_once_after_all_instances_are_replaced() {
    // Guards against a bid that runs twice. Every instance is killed while the bid runs, and the
    // instances that replace them don't know of the run.
    assert_eq!(replace_all(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(replace_all(RunOnce::On), 1);
}
