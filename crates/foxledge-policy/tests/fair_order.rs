//! Fair order of the queue: paid priority, member weights and limits.

mod common;

use common::{SchedulerHarness, bid};
use foxledge_core::lists::{FullAction, PaidPriority};
use foxledge_policy::{RefuseReason, RunState, SchedulerOptions, TargetSignal};

/// Ends the oldest dispatch `count` times; returns the ids of the work items dispatched then.
fn serve(harness: &mut SchedulerHarness, count: usize) -> Vec<u64> {
    let first = harness.dispatched.len();
    for turn in 0..count {
        let dispatch = harness.dispatched[turn].1;
        harness.now = harness.now.after_millis(5);
        harness.signal(dispatch, TargetSignal::Ended);
    }
    harness.dispatched[first..].iter().map(|sent| sent.0).collect()
}

#[test]
fn serves_members_of_one_priority_in_turn() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..22 {
        harness.submit(bid(&harness, id, "heavy"));
    }
    for id in 100..105 {
        harness.submit(bid(&harness, id, "light"));
    }
    let served = serve(&mut harness, 10);
    let light = served.iter().filter(|&&id| id >= 100).count();
    assert_eq!(light, 5, "the light member got {light} of ten turns: {served:?}");
}

#[test]
fn shares_a_priority_by_member_weight() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..100 {
        let mut item = bid(&harness, id, if id % 2 == 0 { "one" } else { "three" });
        item.weight = if id % 2 == 0 { 1 } else { 3 };
        harness.submit(item);
    }
    let served = serve(&mut harness, 40);
    let three = served.iter().filter(|&&id| id % 2 == 1).count();
    assert!((29..=31).contains(&three), "weight 3 of 4 got {three} of 40");
}

#[test]
fn serves_high_priorities_more_and_the_lowest_a_minimum() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..300 {
        let mut item = bid(&harness, id, "m");
        item.priority = PaidPriority([0, 2, 5][id as usize % 3]);
        harness.submit(item);
    }
    let served = serve(&mut harness, 74);
    let count = |class: u64| served.iter().filter(|&&id| id % 3 == class).count();
    assert!(count(2) > count(1) && count(1) > count(0), "shares {served:?}");
    assert!(count(0) >= 2, "the lowest priority was starved: {served:?}");
}

// Without displacement, a queue that one member has filled refuses the single bid of another
// member, while the burst of the first one is queued.
#[test]
fn displaces_the_newest_work_of_the_heaviest_member_for_a_light_one() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new().queue_limit(10), 1);
    for id in 0..12 {
        harness.submit(bid(&harness, id, "heavy"));
    }
    assert!(harness.refusals.is_empty());
    harness.submit(bid(&harness, 50, "light"));
    let refusal = harness.refusals[&11];
    assert_eq!((refusal.run_state, refusal.reason), (RunState::NotRun, RefuseReason::QueueFull));
    assert!(refusal.retry_after > std::time::Duration::ZERO);
    // The heavy member can't displace the light one in turn.
    harness.submit(bid(&harness, 13, "heavy"));
    assert!(harness.refusals.contains_key(&13) && !harness.refusals.contains_key(&50));
}

#[test]
fn keeps_a_queue_slot_for_the_lowest_priority_when_a_high_one_fills_the_queue() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new().queue_limit(33), 1);
    for id in 0..35 {
        let mut item = bid(&harness, id, "high");
        item.priority = PaidPriority(5);
        harness.submit(item);
    }
    for id in 100..110 {
        harness.submit(bid(&harness, id, "low"));
    }
    let kept = (100..110).filter(|id| !harness.refusals.contains_key(id)).count();
    assert_eq!(kept, 1, "weights 1 and 32 leave the lowest priority one of 33 queue slots");
}

#[test]
fn counts_dispatched_and_queued_work_against_the_member_limit() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..6 {
        let mut item = bid(&harness, id, "m");
        item.member_limit = 5;
        harness.submit(item);
    }
    assert_eq!(harness.refusals[&5].reason, RefuseReason::Limit);
    harness.signal(harness.dispatch_of(0), TargetSignal::Ended);
    let mut item = bid(&harness, 7, "m");
    item.member_limit = 5;
    harness.submit(item);
    assert!(!harness.refusals.contains_key(&7));
}

#[test]
fn refuses_work_instead_of_queueing_it_with_full_action_refuse() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..3 {
        let mut item = bid(&harness, id, "m");
        item.when_full = FullAction::Refuse;
        harness.submit(item);
    }
    assert_eq!(harness.dispatched.len(), 2);
    assert_eq!(harness.refusals[&2].reason, RefuseReason::QueueFull);
}

#[test]
fn refuses_queued_work_within_a_tick_after_its_latest_start() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..2 {
        harness.submit(bid(&harness, id, "m"));
    }
    let mut late = bid(&harness, 2, "m");
    // A quarter of its time is reserved for its run, as four mean run times are longer.
    late.deadline = harness.now.after_millis(273);
    harness.submit(late);
    let mut ticket = bid(&harness, 3, "m");
    ticket.start_deadline = harness.now.after_millis(405);
    harness.submit(ticket);
    harness.advance(200);
    assert!(harness.refusals.is_empty());
    harness.advance(10);
    assert_eq!(harness.refusals[&2].reason, RefuseReason::DeadlinePassed);
    assert_eq!(harness.refusals[&2].run_state, RunState::NotRun);
    harness.advance(200);
    assert!(harness.refusals.contains_key(&3));
}

// Under overload, a bid waits until just before its deadline. If no time is reserved for its run,
// it is started then, occupies a slot after its caller has gone, and ends as "unknown".
#[test]
fn refuses_queued_work_that_cannot_end_before_its_deadline() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..3 {
        harness.submit(bid(&harness, id, "m"));
        if id < 2 {
            harness.now = harness.now.after_millis(100);
            harness.signal(harness.dispatch_of(id), TargetSignal::Ended);
        }
    }
    // The mean run time is 100 ms now, so 400 ms are reserved.
    harness.submit(bid(&harness, 3, "m"));
    for id in 2..4 {
        harness.signal(harness.dispatch_of(id), TargetSignal::Accepted);
    }
    let mut late = bid(&harness, 4, "m");
    late.deadline = harness.now.after_millis(2000);
    harness.submit(late);
    harness.advance(1590);
    assert!(harness.refusals.is_empty());
    harness.advance(20);
    assert_eq!(harness.refusals[&4].run_state, RunState::NotRun);
}

// A bid with little time left arrives at a long queue. If it is queued although its expected wait
// exceeds the time left, its caller waits for the whole deadline and is refused then.
#[test]
fn refuses_work_on_submission_if_its_expected_wait_exceeds_its_deadline() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..100 {
        harness.submit(bid(&harness, id, "m"));
    }
    let mut unservable = bid(&harness, 200, "m");
    unservable.deadline = harness.now.after_millis(300);
    harness.submit(unservable);
    assert_eq!(harness.refusals[&200].reason, RefuseReason::DeadlinePassed);
    // The same bid of another member is served soon and is queued.
    let mut other = bid(&harness, 201, "other");
    other.deadline = harness.now.after_millis(300);
    harness.submit(other);
    assert!(!harness.refusals.contains_key(&201));
}
