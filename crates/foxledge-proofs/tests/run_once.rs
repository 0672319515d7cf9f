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
    scale_service_time, set_fabric_instances, start_fleet, ticket_home, wait_alive_count,
    wait_runs,
};
use foxledge_wire::flow::RefusalReason;

/// Life of a ticket that runs out while its home is frozen.
const SHORT_TICKET_MS: u64 = 1500;

/// Two halves that hold each other for dead get a copy each; returns the runs.
fn split_views(run_once: RunOnce) -> u32 {
    let plan = plan_fleet(2, 2)
        .link_mode(LinkMode::Routed)
        .settings(&run_once.settings(FAST_DETECTION_SETTINGS));
    let mut fleet = start_fleet(plan).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let (left, right) = (fleet.instances[0].name.clone(), fleet.instances[1].name.clone());
    fleet.links.as_ref().unwrap().cut(&left, &right).unwrap();
    wait_alive_count(&fleet, 0, 1).unwrap();
    wait_alive_count(&fleet, 1, 1).unwrap();
    let both = PacketFaults { duplicate: 1.0, ..PacketFaults::default() };
    fleet.fabrics[0].client.set_faults(FaultWays::Forward, both).unwrap();
    // The ticket may have run out meanwhile; with the mechanism on it would then run nowhere.
    let ticket = match run_once {
        RunOnce::On => {
            let home = ticket_home(&fleet, &ticket).unwrap();
            set_fabric_instances(&fleet, &[home]).unwrap();
            let fresh = caller.obtain_ticket().unwrap();
            set_fabric_instances(&fleet, &[0, 1]).unwrap();
            fresh
        }
        RunOnce::Off => ticket,
    };
    let bid = caller.next_request(&ticket);
    caller.send(&bid).unwrap();
    let expected = if run_once == RunOnce::On { 1 } else { 2 };
    wait_runs(&mut fleet, caller.request_id(1), expected).unwrap();
    for _ in 0..5 {
        caller.send(&bid).unwrap();
        let word = caller.receive_final(1, Duration::from_secs(1));
        assert!(
            !matches!(word, Some(RequestOutcome::NotRun(_))),
            "told {word:?} of a bid that ran"
        );
    }
    fleet.fabrics[0].client.clear().unwrap();
    complete_marker(&fleet, &[0, 1], 1).unwrap();
    count_runs(&mut fleet, caller.request_id(1)).unwrap()
}

#[test]
fn split_views_and_copies() {
    // Symptom: a bid runs twice.
    // Sequence: the instances are cut off from each other until each holds the other for dead;
    //   the fabric hands the opening packet to both.
    // Cause: each is the home in its own view and admits the copy it got.
    assert_eq!(split_views(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(split_views(RunOnce::On), 1);
}

/// The home is killed while the bid runs, `kills` homes in a row; returns runs and final word.
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
        let fresh = ManualCaller::new(&fleet, DESK, 3 + kill as u64).unwrap();
        home = ticket_home(&fleet, &fresh.obtain_ticket().unwrap()).unwrap();
    }
    let word = match run_once {
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
    (count_runs(&mut fleet, caller.request_id(1)).unwrap(), word)
}

#[test]
fn home_killed() {
    // Symptom: a bid runs twice.
    // Sequence: the home dispatches it and is killed before the answer; the caller sends it again.
    // Cause: the next home knows nothing of the first run.
    assert_eq!(kill_homes(RunOnce::Off, 1).0, 2, "without the mechanism the fault shows");
    let (runs, word) = kill_homes(RunOnce::On, 1);
    assert_eq!(runs, 1);
    assert_eq!(word, RequestOutcome::Unknown(RefusalReason::HomeLost));
}

#[test]
fn two_homes_killed() {
    // Symptom: a bid runs once more with every home that dies.
    // Sequence: as above, and then the next home is killed too.
    // Cause: no home knows of the runs at the ones before.
    assert_eq!(kill_homes(RunOnce::Off, 2).0, 3, "without the mechanism the fault shows");
    assert_eq!(kill_homes(RunOnce::On, 2).0, 1);
}

/// Home restarted under its name while the bid runs; returns the runs.
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
fn home_restarted() {
    // Symptom: a bid runs twice.
    // Sequence: the home is killed while the bid runs and started anew under the same name and
    //   addresses; the caller sends the bid again.
    // Cause: the new process answers to the old one's name without its memory.
    assert_eq!(restart_home(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(restart_home(RunOnce::On), 1);
}

/// The home sleeps with the bid in its socket, `times` times; returns runs and the caller's word.
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
    let mut word = RequestOutcome::Answered;
    for _ in 0..times {
        // From a new socket, so that what the woken home says of older copies stays apart.
        let identity = caller.identity.clone();
        caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
        caller.identity = identity;
        fleet.instances[home].process.freeze().unwrap();
        set_fabric_instances(&fleet, &[home]).unwrap();
        caller.send(&bid).unwrap();
        set_fabric_instances(&fleet, &[other]).unwrap();
        word = caller.resend_until_final(&bid).unwrap();
        wait_alive_count(&fleet, other, 1).unwrap();
        if ticket_ms < SHORT_TICKET_MS * 2 {
            // The home must not wake up before its ticket has run out.
            let passed = || issued.elapsed() > Duration::from_millis(ticket_ms + 500);
            wait_until("end of the ticket", WIDE_LIMIT, passed).unwrap();
        }
        fleet.instances[home].process.wake().unwrap();
        fleet.instances[home].wait_ready(WIDE_LIMIT).unwrap();
        complete_marker(&fleet, &[home], 1).unwrap();
    }
    (count_runs(&mut fleet, caller.request_id(1)).unwrap(), word)
}

#[test]
fn home_frozen() {
    // Symptom: a bid runs twice.
    // Sequence: the home freezes with the bid in its socket; the caller sends it through another
    //   instance until it gets a final answer; the home wakes up in time for the ticket.
    // Cause: the woken process goes on believing that it alone has the bid, which is only true
    //   when nobody else may run it.
    assert_eq!(freeze_home(RunOnce::Off, 20_000, 1).0, 2, "without the mechanism the fault shows");
    let (runs, word) = freeze_home(RunOnce::On, 20_000, 1);
    assert_eq!((runs, word), (1, RequestOutcome::Unknown(RefusalReason::HomeLost)));
}

#[test]
fn home_frozen_past_ticket() {
    // Symptom: a bid runs long after its caller was told that nobody knows.
    // Sequence: the home freezes with the bid in its socket, wakes up after the ticket has run
    //   out, and freezes and wakes up again with another copy.
    // Cause: the woken process takes what it reads for recent. `home_frozen` shows that the bid
    //   does run when the ticket still holds.
    let (runs, word) = freeze_home(RunOnce::On, SHORT_TICKET_MS, 2);
    assert_eq!((runs, word), (0, RequestOutcome::Unknown(RefusalReason::HomeLost)));
}

/// All instances replaced while the bid runs; returns the runs.
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
fn all_replaced() {
    // Symptom: a bid runs twice.
    // Sequence: every instance is killed while the bid runs, and others take their places.
    // Cause: nobody is left who knows of the run.
    assert_eq!(replace_all(RunOnce::Off), 2, "without the mechanism the fault shows");
    assert_eq!(replace_all(RunOnce::On), 1);
}
