//! Occupied slots from dispatch to end, and their release without a reported end.

mod common;

use std::time::Duration;

use common::{SchedulerHarness, bid, target_spec};
use foxledge_core::{time::ClockTime, traffic::TrafficKind};
use foxledge_policy::{
    RefuseReason, RunState, SchedulerOptions, ShardScheduler, TargetLoad, TargetSignal, WorkItem,
    policy_by_name,
};

fn feed(harness: &SchedulerHarness, id: u64) -> WorkItem {
    let mut item = bid(harness, id, "m");
    item.kind = TrafficKind::Feed;
    item.idempotent = true;
    item
}

fn busy(harness: &SchedulerHarness) -> u32 {
    harness.scheduler.status(harness.now).targets.iter().map(|target| target.busy).sum()
}

/// Returns a scheduler with one accepted bid whose deadline has passed, and its dispatch.
fn overdue_bid() -> (SchedulerHarness, u64) {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    let mut item = bid(&harness, 1, "m");
    item.deadline = harness.now.after_millis(1000);
    harness.submit(item);
    let dispatch = harness.dispatch_of(1);
    harness.signal(dispatch, TargetSignal::Accepted);
    harness.advance(1000);
    (harness, dispatch)
}

#[test]
fn holds_a_slot_from_dispatch_to_end() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 2);
    for id in 0..5 {
        harness.submit(bid(&harness, id, "m"));
    }
    assert_eq!((harness.dispatched.len(), busy(&harness)), (4, 4));
    harness.signal(harness.dispatch_of(1), TargetSignal::Accepted);
    assert_eq!(harness.dispatched.len(), 4);
    harness.signal(harness.dispatch_of(1), TargetSignal::Ended);
    assert_eq!((harness.dispatch_count(4), busy(&harness)), (1, 4));
    // A duplicate of the end releases no other slot.
    harness.signal(harness.dispatch_of(1), TargetSignal::Ended);
    assert_eq!(busy(&harness), 4);
}

#[test]
fn ignores_a_duplicate_submission() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for _ in 0..2 {
        for id in 0..3 {
            harness.submit(bid(&harness, id, "m"));
        }
    }
    assert_eq!((harness.dispatched.len(), harness.scheduler.unfinished_count()), (2, 3));
}

// Bids are accepted, and the reports of their ends are lost. Without a lease, each of their slots
// stays occupied for good, until the service has none left.
#[test]
fn releases_the_slot_when_the_lease_expires() {
    let (mut harness, dispatch) = overdue_bid();
    assert_eq!(harness.cancelled, [dispatch], "the dispatch is cancelled at the deadline");
    harness.advance(400);
    assert_eq!(busy(&harness), 1);
    harness.advance(110);
    assert_eq!(busy(&harness), 0);
    assert_eq!(harness.refusals[&1].run_state, RunState::Unknown);
    assert_eq!(harness.scheduler.unfinished_count(), 0);
}

// A bid is accepted, and its DONE packet is lost. If the target is not queried, the slot stays
// occupied until the caller's deadline.
#[test]
fn queries_the_state_of_an_accepted_dispatch() {
    let options = SchedulerOptions::new().request_check_interval(Duration::from_secs(1));
    let mut harness = SchedulerHarness::new(options, 1);
    harness.submit(bid(&harness, 1, "m"));
    let dispatch = harness.dispatch_of(1);
    harness.signal(dispatch, TargetSignal::Accepted);
    harness.advance(1010);
    assert_eq!(harness.queried, [dispatch]);
    assert!(harness.resent.is_empty(), "the opening packet could run as new work");
    harness.signal(dispatch, TargetSignal::Ended);
    assert_eq!((busy(&harness), harness.refusals.len()), (0, 0));
}

// A bid is accepted, the report of its end is lost, and the load report of the target says idle.
// If only the caller's deadline, ten seconds away, releases the slot, the service serves less and
// less while its targets are idle.
#[test]
fn releases_a_slot_that_its_target_reports_idle() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..3 {
        harness.submit(bid(&harness, id, "m"));
    }
    harness.signal(harness.dispatch_of(0), TargetSignal::Accepted);
    harness.signal(harness.dispatch_of(1), TargetSignal::Accepted);
    harness.advance(1000);
    let report = TargetLoad { busy_slots: 1, healthy: true, ..TargetLoad::default() };
    harness.report_load("t0", report);
    assert_eq!(harness.dispatch_count(2), 0, "the report may be stale");
    harness.advance(1100);
    harness.report_load("t0", report);
    assert_eq!((harness.dispatch_count(2), busy(&harness)), (1, 2));
    // A late report of the end releases no slot of other work.
    harness.signal(harness.dispatch_of(0), TargetSignal::Ended);
    harness.signal(harness.dispatch_of(1), TargetSignal::Ended);
    assert_eq!(busy(&harness), 1);
}

// A bid is dispatched, and this process is suspended for 40 s. Targets remember a dispatch for
// 30 s: a retransmission after that would run as new work, so the bid would run twice.
#[test]
fn does_not_retransmit_after_a_long_suspension() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    let mut item = bid(&harness, 1, "m");
    item.deadline = harness.now.after_millis(90_000);
    harness.submit(item);
    harness.now = harness.now.after_millis(40_000);
    harness.advance(10);
    assert_eq!(harness.resent.len(), 0);
    assert_eq!(harness.refusals[&1].run_state, RunState::Unknown);
}

#[test]
fn starts_no_expired_work_after_a_suspension() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..4 {
        let mut item = bid(&harness, id, "m");
        item.start_deadline = harness.now.after_millis(4000);
        harness.submit(item);
    }
    harness.now = harness.now.after_millis(9000);
    harness.signal(harness.dispatch_of(0), TargetSignal::Ended);
    assert_eq!(harness.dispatched.len(), 2);
    assert_eq!(harness.refusals[&2].run_state, RunState::NotRun);
}

#[test]
fn refuses_cancelled_queued_work_as_not_run() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..3 {
        harness.submit(bid(&harness, id, "m"));
    }
    harness.cancel(2);
    let refusal = harness.refusals[&2];
    assert_eq!((refusal.run_state, refusal.reason), (RunState::NotRun, RefuseReason::Cancelled));
    harness.cancel(2);
    harness.signal(harness.dispatch_of(0), TargetSignal::Ended);
    assert_eq!(harness.dispatched.len(), 2);
}

#[test]
fn cancels_running_work_at_its_target_and_holds_its_slot_until_the_response() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    harness.submit(bid(&harness, 1, "m"));
    let dispatch = harness.dispatch_of(1);
    harness.cancel(1);
    assert_eq!((harness.cancelled.as_slice(), busy(&harness)), ([dispatch].as_slice(), 1));
    harness.signal(dispatch, TargetSignal::NotRun(RefuseReason::Cancelled));
    assert_eq!((harness.refusals[&1].run_state, busy(&harness)), (RunState::NotRun, 0));
    assert_eq!(harness.dispatched.len(), 1, "cancelled work isn't retried");
}

// A bid waits in the queue of a slow target beyond its deadline. If the dispatch is not cancelled
// then, its caller learns only much later that the bid did not run.
#[test]
fn refuses_overdue_work_as_soon_as_its_target_reports_it_cancelled() {
    let (mut harness, dispatch) = overdue_bid();
    harness.signal(dispatch, TargetSignal::NotRun(RefuseReason::Cancelled));
    let refusal = harness.refusals[&1];
    assert_eq!(
        (refusal.run_state, refusal.reason),
        (RunState::NotRun, RefuseReason::DeadlinePassed)
    );
    assert_eq!((busy(&harness), harness.dispatch_count(1)), (0, 1));
}

#[test]
fn holds_the_connection_of_an_open_feed_beyond_its_opening_deadline() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 2);
    for id in 0..6 {
        harness.submit(feed(&harness, id));
        harness.signal(harness.dispatch_of(id), TargetSignal::Accepted);
    }
    let connection_counts = |harness: &SchedulerHarness| -> Vec<u32> {
        harness
            .scheduler
            .status(harness.now)
            .targets
            .iter()
            .map(|target| target.connections)
            .collect()
    };
    assert_eq!(connection_counts(&harness), [3, 3]);
    harness.advance(12_000);
    assert_eq!(
        (connection_counts(&harness), busy(&harness), harness.refusals.len()),
        (vec![3, 3], 0, 0)
    );
    assert_eq!(harness.scheduler.unfinished_count(), 0);
}

#[test]
fn limits_feeds_to_the_connections_of_a_target() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 0);
    let mut spec = target_spec(0);
    spec.connections = 2;
    harness.publish(vec![spec]);
    for id in 0..3 {
        harness.submit(feed(&harness, id));
    }
    assert_eq!(harness.dispatched.len(), 2);
    harness.signal(harness.dispatch_of(0), TargetSignal::Ended);
    assert_eq!(harness.dispatch_count(2), 1);
}

#[test]
fn keeps_dispatches_at_a_target_that_is_no_longer_published() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    harness.submit(bid(&harness, 1, "m"));
    harness.publish(vec![target_spec(5)]);
    harness.submit(bid(&harness, 2, "m"));
    assert_eq!(harness.target_of(2), "t5");
    harness.signal(harness.dispatch_of(1), TargetSignal::Ended);
    harness.advance(10);
    assert!(harness.refusals.is_empty());
    assert_eq!(harness.scheduler.status(harness.now).targets.len(), 1);
}

// A bid is sent, the target is replaced at its address, and a retransmission reaches the new
// process, which answers "wrong target". The first packet may have reached the former process, so
// a refusal as "not run" could be false.
#[test]
fn treats_wrong_target_after_a_retransmission_as_unknown() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    harness.submit(bid(&harness, 1, "m"));
    harness.advance(110);
    assert_eq!(harness.resent.len(), 1);
    harness.signal(harness.dispatch_of(1), TargetSignal::NotRun(RefuseReason::WrongTarget));
    assert_eq!(harness.refusals[&1].run_state, RunState::Unknown);
}

// A bid runs at a process that is then replaced, and a duplicate of its only packet, made by the
// network, reaches the new process, which answers "wrong target". If that is taken for "not run",
// the bid is sent to another target and runs twice.
#[test]
fn treats_a_late_wrong_target_as_unknown() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 2);
    harness.submit(bid(&harness, 1, "m"));
    harness.now = harness.now.after_millis(150);
    harness.signal(harness.dispatch_of(1), TargetSignal::NotRun(RefuseReason::WrongTarget));
    assert_eq!((harness.refusals[&1].run_state, harness.dispatch_count(1)), (RunState::Unknown, 1));
    // Immediately after the dispatch it only means that the list is stale, and the bid is retried.
    harness.submit(bid(&harness, 2, "m"));
    harness.signal(harness.dispatch_of(2), TargetSignal::NotRun(RefuseReason::WrongTarget));
    assert_eq!(harness.dispatch_count(2), 2);
}

#[test]
fn behaves_the_same_with_the_same_seed() {
    let ids = || {
        let policy = policy_by_name("freest", 9).expect("known policy");
        let mut scheduler = ShardScheduler::new(SchedulerOptions::new(), policy, 9);
        let specs = (0..4).map(target_spec).map(std::sync::Arc::new).collect();
        scheduler.set_targets(ClockTime::ZERO, specs);
        let harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
        (0..6)
            .map(|id| format!("{:?}", scheduler.submit(harness.now, bid(&harness, id, "m"))))
            .collect()
    };
    let (first, second): (Vec<String>, Vec<String>) = (ids(), ids());
    assert_eq!(first, second);
}
