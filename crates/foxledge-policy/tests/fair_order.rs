//! The order of the queue: paid priority, members, limits.

mod common;

use common::{DeskTrial, bid};
use foxledge_core::lists::{FullAction, PaidPriority};
use foxledge_policy::{RefuseReason, RunState, SchedulerOptions, TargetSignal};

/// Ends the oldest running work `count` times; returns the works sent in turn.
fn serve(trial: &mut DeskTrial, count: usize) -> Vec<u64> {
    let first = trial.sent.len();
    for turn in 0..count {
        let dispatch = trial.sent[turn].1;
        trial.now = trial.now.after_millis(5);
        trial.signal(dispatch, TargetSignal::Ended);
    }
    trial.sent[first..].iter().map(|sent| sent.0).collect()
}

#[test]
fn members_of_one_priority_take_turns() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..22 {
        trial.offer(bid(&trial, id, "heavy"));
    }
    for id in 100..105 {
        trial.offer(bid(&trial, id, "light"));
    }
    let served = serve(&mut trial, 10);
    let light = served.iter().filter(|&&id| id >= 100).count();
    assert_eq!(light, 5, "of ten turns the light member got {light}: {served:?}");
}

#[test]
fn weights_share_within_a_priority() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..100 {
        let mut item = bid(&trial, id, if id % 2 == 0 { "one" } else { "three" });
        item.weight = if id % 2 == 0 { 1 } else { 3 };
        trial.offer(item);
    }
    let served = serve(&mut trial, 40);
    let three = served.iter().filter(|&&id| id % 2 == 1).count();
    assert!((29..=31).contains(&three), "weight 3 of 4 got {three} of 40");
}

#[test]
fn paid_priority_goes_first_and_the_lowest_has_a_floor() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..300 {
        let mut item = bid(&trial, id, "m");
        item.priority = PaidPriority([0, 2, 5][id as usize % 3]);
        trial.offer(item);
    }
    let served = serve(&mut trial, 74);
    let count = |class: u64| served.iter().filter(|&&id| id % 3 == class).count();
    assert!(count(2) > count(1) && count(1) > count(0), "shares {served:?}");
    assert!(count(0) >= 2, "the lowest priority was starved: {served:?}");
}

// Symptom: light members are refused while one member's burst is let in.
// Sequence: a member fills the queue; then another one's single bid arrives.
// Cause: without displacement the full queue refuses whoever comes last.
#[test]
fn a_light_member_displaces_the_newest_of_the_heaviest() {
    let mut trial = DeskTrial::new(SchedulerOptions::new().queue_limit(10), 1);
    for id in 0..12 {
        trial.offer(bid(&trial, id, "heavy"));
    }
    assert!(trial.refused.is_empty());
    trial.offer(bid(&trial, 50, "light"));
    let refusal = trial.refused[&11];
    assert_eq!((refusal.run_state, refusal.reason), (RunState::NotRun, RefuseReason::QueueFull));
    assert!(refusal.retry_after > std::time::Duration::ZERO);
    // The heavy member can't push back in.
    trial.offer(bid(&trial, 13, "heavy"));
    assert!(trial.refused.contains_key(&13) && !trial.refused.contains_key(&50));
}

#[test]
fn a_full_queue_of_a_high_priority_leaves_the_lowest_its_places() {
    let mut trial = DeskTrial::new(SchedulerOptions::new().queue_limit(33), 1);
    for id in 0..35 {
        let mut item = bid(&trial, id, "high");
        item.priority = PaidPriority(5);
        trial.offer(item);
    }
    for id in 100..110 {
        trial.offer(bid(&trial, id, "low"));
    }
    let kept = (100..110).filter(|id| !trial.refused.contains_key(id)).count();
    assert_eq!(kept, 1, "one of 33 places is the floor beside share 32");
}

#[test]
fn a_member_limit_counts_slots_and_queue() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..6 {
        let mut item = bid(&trial, id, "m");
        item.member_limit = 5;
        trial.offer(item);
    }
    assert_eq!(trial.refused[&5].reason, RefuseReason::Limit);
    trial.signal(trial.dispatch_of(0), TargetSignal::Ended);
    let mut item = bid(&trial, 7, "m");
    item.member_limit = 5;
    trial.offer(item);
    assert!(!trial.refused.contains_key(&7));
}

#[test]
fn when_full_refuse_does_not_wait() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..3 {
        let mut item = bid(&trial, id, "m");
        item.when_full = FullAction::Refuse;
        trial.offer(item);
    }
    assert_eq!(trial.sent.len(), 2);
    assert_eq!(trial.refused[&2].reason, RefuseReason::QueueFull);
}

#[test]
fn work_that_cannot_start_in_time_is_refused_within_a_tick() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..2 {
        trial.offer(bid(&trial, id, "m"));
    }
    let mut late = bid(&trial, 2, "m");
    // A quarter of its time is kept for its run, as the usual one is longer.
    late.deadline = trial.now.after_millis(273);
    trial.offer(late);
    let mut ticket = bid(&trial, 3, "m");
    ticket.start_deadline = trial.now.after_millis(405);
    trial.offer(ticket);
    trial.pass(200);
    assert!(trial.refused.is_empty());
    trial.pass(10);
    assert_eq!(trial.refused[&2].reason, RefuseReason::DeadlinePassed);
    assert_eq!(trial.refused[&2].run_state, RunState::NotRun);
    trial.pass(200);
    assert!(trial.refused.contains_key(&3));
}

// Symptom: under overload slots run work whose callers have gone, and those
// are told "unknown".
// Sequence: a bid waits until just before its deadline and is then started.
// Cause: nothing was kept for the run itself.
#[test]
fn work_that_cannot_end_in_time_is_not_started() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..3 {
        trial.offer(bid(&trial, id, "m"));
        if id < 2 {
            trial.now = trial.now.after_millis(100);
            trial.signal(trial.dispatch_of(id), TargetSignal::Ended);
        }
    }
    // Runs of 100 ms are usual now, so 400 ms are kept.
    trial.offer(bid(&trial, 3, "m"));
    for id in 2..4 {
        trial.signal(trial.dispatch_of(id), TargetSignal::Accepted);
    }
    let mut late = bid(&trial, 4, "m");
    late.deadline = trial.now.after_millis(2000);
    trial.offer(late);
    trial.pass(1590);
    assert!(trial.refused.is_empty());
    trial.pass(20);
    assert_eq!(trial.refused[&4].run_state, RunState::NotRun);
}

// Symptom: a caller waits for its whole deadline and is then refused.
// Sequence: a long queue; a bid with little time left arrives.
// Cause: its expected wait was known to be longer than its time left.
#[test]
fn work_without_a_chance_is_refused_at_the_door() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..100 {
        trial.offer(bid(&trial, id, "m"));
    }
    let mut hopeless = bid(&trial, 200, "m");
    hopeless.deadline = trial.now.after_millis(300);
    trial.offer(hopeless);
    assert_eq!(trial.refused[&200].reason, RefuseReason::DeadlinePassed);
    // The same bid of another member has its turn soon and is let in.
    let mut other = bid(&trial, 201, "other");
    other.deadline = trial.now.after_millis(300);
    trial.offer(other);
    assert!(!trial.refused.contains_key(&201));
}
