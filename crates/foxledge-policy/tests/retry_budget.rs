//! What is tried elsewhere, and how often.

mod common;

use common::{DeskTrial, bid};
use foxledge_policy::{RefuseReason, RunState, SchedulerOptions, TargetSignal};

const SHED: TargetSignal = TargetSignal::NotRun(RefuseReason::TargetShed);

#[test]
fn not_run_is_tried_elsewhere_also_when_not_idempotent() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 3);
    trial.offer(bid(&trial, 1, "m"));
    let first = trial.target_of(1);
    trial.signal(trial.dispatch_of(1), SHED);
    assert_eq!(trial.times_sent(1), 2);
    assert_ne!(trial.target_of(1), first);
}

#[test]
fn tries_are_bounded() {
    let mut trial = DeskTrial::new(SchedulerOptions::new().max_attempts(3), 5);
    trial.offer(bid(&trial, 1, "m"));
    for _ in 0..3 {
        trial.signal(trial.dispatch_of(1), SHED);
    }
    assert_eq!(trial.times_sent(1), 3);
    let refusal = trial.refused[&1];
    assert_eq!((refusal.run_state, refusal.reason), (RunState::NotRun, RefuseReason::TargetShed));
    assert!(refusal.retry_after > std::time::Duration::ZERO);
}

// Symptom: a service stays overloaded after the cause has gone.
// Sequence: all targets shed for a while.
// Cause: each request is sent several times, which is more load than before.
#[test]
fn a_retry_storm_adds_a_tenth() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 20);
    for id in 0..2000 {
        trial.offer(bid(&trial, id, "m"));
        while !trial.refused.contains_key(&id) && trial.times_sent(id) > 0 {
            let sent = trial.times_sent(id);
            trial.signal(trial.dispatch_of(id), SHED);
            if trial.times_sent(id) == sent {
                break;
            }
        }
        trial.pass(50);
    }
    let counters = trial.desk.status(trial.now).counters;
    let most = counters.dispatched / 10 + 10;
    assert!(counters.dispatched > 1000, "{counters:?}");
    assert!(counters.retried <= most, "{} retries of {most}", counters.retried);
}

#[test]
fn silence_is_resent_to_the_same_target_and_then_unknown() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 3);
    trial.offer(bid(&trial, 1, "m"));
    let dispatch = trial.dispatch_of(1);
    trial.pass(310);
    assert_eq!(trial.resent, [dispatch; 3]);
    assert!(trial.refused.is_empty());
    trial.pass(100);
    assert_eq!(trial.times_sent(1), 1, "non-idempotent work stays with its target");
    let refusal = trial.refused[&1];
    assert_eq!((refusal.run_state, refusal.reason), (RunState::Unknown, RefuseReason::TargetLost));
}

#[test]
fn silence_is_tried_elsewhere_when_idempotent() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 3);
    let mut item = bid(&trial, 1, "m");
    item.idempotent = true;
    trial.offer(item);
    let first = trial.target_of(1);
    trial.pass(420);
    assert_eq!(trial.times_sent(1), 2);
    assert_ne!(trial.target_of(1), first);
    // The end at the second target ends the work.
    trial.signal(trial.dispatch_of(1), TargetSignal::Ended);
    assert!(trial.refused.is_empty());
    assert_eq!(trial.desk.unfinished_count(), 0);
}

// Symptom: "not run" is said of work that ran.
// Sequence: idempotent work is lost at one target and shed by the next ones.
// Cause: the last target's word was taken for all of them.
#[test]
fn not_run_after_a_lost_dispatch_is_unknown() {
    let mut trial = DeskTrial::new(SchedulerOptions::new().max_attempts(2), 3);
    let mut item = bid(&trial, 1, "m");
    item.idempotent = true;
    trial.offer(item);
    trial.pass(420);
    trial.signal(trial.dispatch_of(1), SHED);
    assert_eq!(trial.refused[&1].run_state, RunState::Unknown);
}

#[test]
fn a_deadline_that_passed_at_the_target_is_not_tried_elsewhere() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 3);
    trial.offer(bid(&trial, 1, "m"));
    trial.signal(trial.dispatch_of(1), TargetSignal::NotRun(RefuseReason::DeadlinePassed));
    assert_eq!((trial.times_sent(1), trial.refused[&1].run_state), (1, RunState::NotRun));
}

#[test]
fn unknown_is_final_for_non_idempotent_work() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 3);
    trial.offer(bid(&trial, 1, "m"));
    trial.signal(trial.dispatch_of(1), TargetSignal::Unknown);
    assert_eq!((trial.times_sent(1), trial.refused[&1].run_state), (1, RunState::Unknown));
}
