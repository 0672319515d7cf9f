//! Slots from dispatch to end, and what happens when no end comes.

mod common;

use std::time::Duration;

use common::{DeskTrial, bid, target_spec};
use foxledge_core::{time::ClockTime, traffic::TrafficKind};
use foxledge_policy::{
    RefuseReason, RunState, SchedulerOptions, ShardScheduler, TargetLoad, TargetSignal, WorkItem,
    policy_by_name,
};

fn feed(trial: &DeskTrial, id: u64) -> WorkItem {
    let mut item = bid(trial, id, "m");
    item.kind = TrafficKind::Feed;
    item.idempotent = true;
    item
}

fn busy(trial: &DeskTrial) -> u32 {
    trial.desk.status(trial.now).targets.iter().map(|target| target.busy).sum()
}

/// A bid that its target accepted and that is past its deadline, and its dispatch.
fn overdue_bid() -> (DeskTrial, u64) {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    let mut item = bid(&trial, 1, "m");
    item.deadline = trial.now.after_millis(1000);
    trial.offer(item);
    let dispatch = trial.dispatch_of(1);
    trial.signal(dispatch, TargetSignal::Accepted);
    trial.pass(1000);
    (trial, dispatch)
}

#[test]
fn a_slot_is_held_from_dispatch_to_end() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 2);
    for id in 0..5 {
        trial.offer(bid(&trial, id, "m"));
    }
    assert_eq!((trial.sent.len(), busy(&trial)), (4, 4));
    trial.signal(trial.dispatch_of(1), TargetSignal::Accepted);
    assert_eq!(trial.sent.len(), 4);
    trial.signal(trial.dispatch_of(1), TargetSignal::Ended);
    assert_eq!((trial.times_sent(4), busy(&trial)), (1, 4));
    // The same end again frees nothing.
    trial.signal(trial.dispatch_of(1), TargetSignal::Ended);
    assert_eq!(busy(&trial), 4);
}

#[test]
fn the_same_offer_again_is_one_work() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for _ in 0..2 {
        for id in 0..3 {
            trial.offer(bid(&trial, id, "m"));
        }
    }
    assert_eq!((trial.sent.len(), trial.desk.unfinished_count()), (2, 3));
}

// Symptom: a service's slots vanish one by one until it serves nothing.
// Sequence: bids are dispatched and accepted; their ends are lost.
// Cause: a slot without a lease waits for an end for ever.
#[test]
fn a_lease_gives_the_slot_back() {
    let (mut trial, dispatch) = overdue_bid();
    assert_eq!(trial.cancelled, [dispatch], "the target is told at the deadline");
    trial.pass(400);
    assert_eq!(busy(&trial), 1);
    trial.pass(110);
    assert_eq!(busy(&trial), 0);
    assert_eq!(trial.refused[&1].run_state, RunState::Unknown);
    assert_eq!(trial.desk.unfinished_count(), 0);
}

// Symptom: a lost DONE holds a slot until the caller's deadline.
// Sequence: accepted; the end is lost; seconds pass.
// Cause: nobody asked the target, which would have said so.
#[test]
fn an_accepted_dispatch_is_asked_about() {
    let options = SchedulerOptions::new().request_check_interval(Duration::from_secs(1));
    let mut trial = DeskTrial::new(options, 1);
    trial.offer(bid(&trial, 1, "m"));
    let dispatch = trial.dispatch_of(1);
    trial.signal(dispatch, TargetSignal::Accepted);
    trial.pass(1010);
    assert_eq!(trial.checked, [dispatch]);
    assert!(trial.resent.is_empty(), "the opening packet could run as new work");
    trial.signal(dispatch, TargetSignal::Ended);
    assert_eq!((busy(&trial), trial.refused.len()), (0, 0));
}

// Symptom: a service serves less and less while its targets are idle.
// Sequence: accepted; the end is lost; the target's report says "idle".
// Cause: only the caller's deadline, ten seconds away, gave the slot back.
#[test]
fn a_reported_idle_slot_is_given_back() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..3 {
        trial.offer(bid(&trial, id, "m"));
    }
    trial.signal(trial.dispatch_of(0), TargetSignal::Accepted);
    trial.signal(trial.dispatch_of(1), TargetSignal::Accepted);
    trial.pass(1000);
    let report = TargetLoad { busy_slots: 1, healthy: true, ..TargetLoad::default() };
    trial.load("t0", report);
    assert_eq!(trial.times_sent(2), 0, "the report may lag");
    trial.pass(1100);
    trial.load("t0", report);
    assert_eq!((trial.times_sent(2), busy(&trial)), (1, 2));
    // The end that comes after all frees no other work's slot.
    trial.signal(trial.dispatch_of(0), TargetSignal::Ended);
    trial.signal(trial.dispatch_of(1), TargetSignal::Ended);
    assert_eq!(busy(&trial), 1);
}

// Symptom: a bid runs twice.
// Sequence: dispatched; this process is paused for 40 s and wakes.
// Cause: the target forgot the dispatch after 30 s and ran the copy as new.
#[test]
fn nothing_is_sent_again_after_a_long_pause() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    let mut item = bid(&trial, 1, "m");
    item.deadline = trial.now.after_millis(90_000);
    trial.offer(item);
    trial.now = trial.now.after_millis(40_000);
    trial.pass(10);
    assert_eq!(trial.resent.len(), 0);
    assert_eq!(trial.refused[&1].run_state, RunState::Unknown);
}

#[test]
fn a_paused_desk_that_wakes_starts_nothing_late() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..4 {
        let mut item = bid(&trial, id, "m");
        item.start_deadline = trial.now.after_millis(4000);
        trial.offer(item);
    }
    trial.now = trial.now.after_millis(9000);
    trial.signal(trial.dispatch_of(0), TargetSignal::Ended);
    assert_eq!(trial.sent.len(), 2);
    assert_eq!(trial.refused[&2].run_state, RunState::NotRun);
}

#[test]
fn a_queued_work_that_is_cancelled_never_ran() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..3 {
        trial.offer(bid(&trial, id, "m"));
    }
    trial.cancel(2);
    let refusal = trial.refused[&2];
    assert_eq!((refusal.run_state, refusal.reason), (RunState::NotRun, RefuseReason::Cancelled));
    trial.cancel(2);
    trial.signal(trial.dispatch_of(0), TargetSignal::Ended);
    assert_eq!(trial.sent.len(), 2);
}

#[test]
fn a_running_work_that_is_cancelled_is_passed_on_and_keeps_its_slot() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    trial.offer(bid(&trial, 1, "m"));
    let dispatch = trial.dispatch_of(1);
    trial.cancel(1);
    assert_eq!((trial.cancelled.as_slice(), busy(&trial)), ([dispatch].as_slice(), 1));
    trial.signal(dispatch, TargetSignal::NotRun(RefuseReason::Cancelled));
    assert_eq!((trial.refused[&1].run_state, busy(&trial)), (RunState::NotRun, 0));
    assert_eq!(trial.sent.len(), 1, "cancelled work isn't retried");
}

// Symptom: a caller learns long after its deadline that its bid didn't run.
// Sequence: the bid waits in a slow target's own queue.
// Cause: nobody told the target that the deadline had passed.
#[test]
fn overdue_work_in_a_targets_queue_is_refused_at_once() {
    let (mut trial, dispatch) = overdue_bid();
    trial.signal(dispatch, TargetSignal::NotRun(RefuseReason::Cancelled));
    let refusal = trial.refused[&1];
    assert_eq!(
        (refusal.run_state, refusal.reason),
        (RunState::NotRun, RefuseReason::DeadlinePassed)
    );
    assert_eq!((busy(&trial), trial.times_sent(1)), (0, 1));
}

#[test]
fn a_feed_holds_a_connection_and_outlives_its_opening_deadline() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 2);
    for id in 0..6 {
        trial.offer(feed(&trial, id));
        trial.signal(trial.dispatch_of(id), TargetSignal::Accepted);
    }
    let spread = |trial: &DeskTrial| -> Vec<u32> {
        trial.desk.status(trial.now).targets.iter().map(|target| target.connections).collect()
    };
    assert_eq!(spread(&trial), [3, 3]);
    trial.pass(12_000);
    assert_eq!((spread(&trial), busy(&trial), trial.refused.len()), (vec![3, 3], 0, 0));
    assert_eq!(trial.desk.unfinished_count(), 0);
}

#[test]
fn connections_are_limited() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 0);
    let mut spec = target_spec(0);
    spec.connections = 2;
    trial.publish(vec![spec]);
    for id in 0..3 {
        trial.offer(feed(&trial, id));
    }
    assert_eq!(trial.sent.len(), 2);
    trial.signal(trial.dispatch_of(0), TargetSignal::Ended);
    assert_eq!(trial.times_sent(2), 1);
}

#[test]
fn dispatches_go_on_at_a_target_that_is_no_longer_published() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    trial.offer(bid(&trial, 1, "m"));
    trial.publish(vec![target_spec(5)]);
    trial.offer(bid(&trial, 2, "m"));
    assert_eq!(trial.target_of(2), "t5");
    trial.signal(trial.dispatch_of(1), TargetSignal::Ended);
    trial.pass(10);
    assert!(trial.refused.is_empty());
    assert_eq!(trial.desk.status(trial.now).targets.len(), 1);
}

// Symptom: "not run" is said of a bid that ran.
// Sequence: the bid is sent; the target is replaced under its address; the
// resend reaches the new process, which says "wrong target".
// Cause: the first sending may have reached the former process.
#[test]
fn a_wrong_target_after_a_resend_is_unknown() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    trial.offer(bid(&trial, 1, "m"));
    trial.pass(110);
    assert_eq!(trial.resent.len(), 1);
    trial.signal(trial.dispatch_of(1), TargetSignal::NotRun(RefuseReason::WrongTarget));
    assert_eq!(trial.refused[&1].run_state, RunState::Unknown);
}

// Symptom: a bid runs twice.
// Sequence: the bid runs at a process which is then replaced; a copy of its
// only sending, made by the network, reaches the new process: "wrong target".
// Cause: that was taken for "not run" and the bid was sent to another target.
#[test]
fn a_late_wrong_target_is_unknown() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 2);
    trial.offer(bid(&trial, 1, "m"));
    trial.now = trial.now.after_millis(150);
    trial.signal(trial.dispatch_of(1), TargetSignal::NotRun(RefuseReason::WrongTarget));
    assert_eq!((trial.refused[&1].run_state, trial.times_sent(1)), (RunState::Unknown, 1));
    // At once it can only mean that the list lags, and the bid goes elsewhere.
    trial.offer(bid(&trial, 2, "m"));
    trial.signal(trial.dispatch_of(2), TargetSignal::NotRun(RefuseReason::WrongTarget));
    assert_eq!(trial.times_sent(2), 2);
}

#[test]
fn two_desks_of_one_seed_agree() {
    let ids = || {
        let policy = policy_by_name("freest", 9).expect("known policy");
        let mut desk = ShardScheduler::new(SchedulerOptions::new(), policy, 9);
        let specs = (0..4).map(target_spec).map(std::sync::Arc::new).collect();
        desk.set_targets(ClockTime::ZERO, specs);
        let trial = DeskTrial::new(SchedulerOptions::new(), 1);
        (0..6).map(|id| format!("{:?}", desk.submit(trial.now, bid(&trial, id, "m")))).collect()
    };
    let (first, second): (Vec<String>, Vec<String>) = (ids(), ids());
    assert_eq!(first, second);
}
