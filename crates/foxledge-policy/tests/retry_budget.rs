//! Retries at other targets, and their limits.

mod common;

use common::{SchedulerHarness, bid};
use foxledge_policy::{RefuseReason, RunState, SchedulerOptions, TargetSignal};

const SHED: TargetSignal = TargetSignal::NotRun(RefuseReason::TargetShed);

#[test]
fn retries_work_that_did_not_run_even_if_not_idempotent() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 3);
    harness.submit(bid(&harness, 1, "m"));
    let first = harness.target_of(1);
    harness.signal(harness.dispatch_of(1), SHED);
    assert_eq!(harness.dispatch_count(1), 2);
    assert_ne!(harness.target_of(1), first);
}

#[test]
fn limits_the_attempts_of_one_work_item() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new().max_attempts(3), 5);
    harness.submit(bid(&harness, 1, "m"));
    for _ in 0..3 {
        harness.signal(harness.dispatch_of(1), SHED);
    }
    assert_eq!(harness.dispatch_count(1), 3);
    let refusal = harness.refusals[&1];
    assert_eq!((refusal.run_state, refusal.reason), (RunState::NotRun, RefuseReason::TargetShed));
    assert!(refusal.retry_after > std::time::Duration::ZERO);
}

// All targets shed for a while. If each request is sent several times, the retries add load, and
// the service stays overloaded after the cause has gone.
#[test]
fn limits_retries_to_a_tenth_of_the_dispatches_when_all_targets_shed() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 20);
    for id in 0..2000 {
        harness.submit(bid(&harness, id, "m"));
        while !harness.refusals.contains_key(&id) && harness.dispatch_count(id) > 0 {
            let sent = harness.dispatch_count(id);
            harness.signal(harness.dispatch_of(id), SHED);
            if harness.dispatch_count(id) == sent {
                break;
            }
        }
        harness.advance(50);
    }
    let counters = harness.scheduler.status(harness.now).counters;
    let max_retries = counters.dispatched / 10 + 10;
    assert!(counters.dispatched > 1000, "{counters:?}");
    assert!(counters.retried <= max_retries, "{} retries of {max_retries}", counters.retried);
}

#[test]
fn retransmits_to_the_same_target_and_then_refuses_as_unknown() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 3);
    harness.submit(bid(&harness, 1, "m"));
    let dispatch = harness.dispatch_of(1);
    harness.advance(310);
    assert_eq!(harness.resent, [dispatch; 3]);
    assert!(harness.refusals.is_empty());
    harness.advance(100);
    assert_eq!(harness.dispatch_count(1), 1, "non-idempotent work stays with its target");
    let refusal = harness.refusals[&1];
    assert_eq!((refusal.run_state, refusal.reason), (RunState::Unknown, RefuseReason::TargetLost));
}

#[test]
fn retries_lost_idempotent_work_at_another_target() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 3);
    let mut item = bid(&harness, 1, "m");
    item.idempotent = true;
    harness.submit(item);
    let first = harness.target_of(1);
    harness.advance(420);
    assert_eq!(harness.dispatch_count(1), 2);
    assert_ne!(harness.target_of(1), first);
    // The end of the second dispatch ends the work item.
    harness.signal(harness.dispatch_of(1), TargetSignal::Ended);
    assert!(harness.refusals.is_empty());
    assert_eq!(harness.scheduler.unfinished_count(), 0);
}

// Idempotent work is lost at one target and shed by the next ones. If the refusal is based on the
// last target alone, it says "not run" of work that may have run.
#[test]
fn refuses_as_unknown_if_an_earlier_dispatch_was_lost() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new().max_attempts(2), 3);
    let mut item = bid(&harness, 1, "m");
    item.idempotent = true;
    harness.submit(item);
    harness.advance(420);
    harness.signal(harness.dispatch_of(1), SHED);
    assert_eq!(harness.refusals[&1].run_state, RunState::Unknown);
}

#[test]
fn does_not_retry_work_whose_deadline_passed_at_the_target() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 3);
    harness.submit(bid(&harness, 1, "m"));
    harness.signal(harness.dispatch_of(1), TargetSignal::NotRun(RefuseReason::DeadlinePassed));
    assert_eq!((harness.dispatch_count(1), harness.refusals[&1].run_state), (1, RunState::NotRun));
}

#[test]
fn does_not_retry_non_idempotent_work_that_may_have_run() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 3);
    harness.submit(bid(&harness, 1, "m"));
    harness.signal(harness.dispatch_of(1), TargetSignal::Unknown);
    assert_eq!((harness.dispatch_count(1), harness.refusals[&1].run_state), (1, RunState::Unknown));
}
