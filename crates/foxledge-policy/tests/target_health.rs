//! Health of targets: losses, load reports, run times and slow start.

mod common;

use common::{SchedulerHarness, bid, target_spec};
use foxledge_policy::{RefuseReason, RunState, SchedulerOptions, TargetLoad, TargetSignal};

const HEALTHY: TargetLoad = TargetLoad {
    busy_slots: 0,
    connections: 0,
    queued: 0,
    draining: false,
    cold: false,
    healthy: true,
};

/// Submits `count` bids, each of which ends after `run_ms(target)`; returns how many each target
/// got.
fn serve(
    harness: &mut SchedulerHarness,
    first: u64,
    count: u64,
    run_ms: impl Fn(&str) -> u64,
) -> Vec<usize> {
    let targets = harness.scheduler.status(harness.now).targets.len();
    let mut got = vec![0; targets];
    let mut open_dispatches: Vec<(u64, u64)> = Vec::new();
    for id in first..first + count {
        harness.submit(bid(harness, id, "m"));
        if harness.dispatch_count(id) > 0 {
            let target = harness.target_of(id);
            got[target[1..].parse::<usize>().expect("a number")] += 1;
            let end_ms = harness.now.as_micros() / 1000 + run_ms(&target);
            open_dispatches.push((end_ms, harness.dispatch_of(id)));
        }
        harness.advance(10);
        let now_ms = harness.now.as_micros() / 1000;
        for &(_, dispatch) in open_dispatches.iter().filter(|(end_ms, _)| *end_ms <= now_ms) {
            harness.signal(dispatch, TargetSignal::Ended);
        }
        open_dispatches.retain(|(end_ms, _)| *end_ms > now_ms);
    }
    for (_, dispatch) in open_dispatches {
        harness.signal(dispatch, TargetSignal::Ended);
    }
    got
}

/// Advances by some seconds in which every target answers its probes.
fn advance_with_probe_responses(harness: &mut SchedulerHarness, seconds: u64) {
    for _ in 0..seconds {
        for target in harness.scheduler.status(harness.now).targets {
            harness.report_load(&target.name, HEALTHY);
        }
        harness.advance(1000);
    }
}

fn state(harness: &SchedulerHarness, number: usize) -> &'static str {
    harness.scheduler.status(harness.now).targets[number].state
}

// One of three targets stops responding. If its losses have no consequence, it still gets a third
// of the bids, which end as UNKNOWN.
#[test]
fn ejects_an_unresponsive_target_until_a_deadline_and_an_answered_probe() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 3);
    for id in 0..6 {
        harness.submit(bid(&harness, id, "m"));
    }
    let is_unresponsive = |harness: &SchedulerHarness, id: u64| harness.target_of(id) == "t1";
    for id in 0..6 {
        if !is_unresponsive(&harness, id) {
            harness.signal(harness.dispatch_of(id), TargetSignal::Ended);
        }
    }
    harness.advance(450);
    assert_eq!(state(&harness, 1), "ejected");
    assert!(harness.audited.contains(&"t1 out".to_owned()));
    let got = serve(&mut harness, 100, 60, |_| 5);
    assert_eq!(got[1], 0);
    // The ejection lasts until its deadline although a probe is answered before; the deadline
    // alone would not end it either.
    harness.report_load("t1", HEALTHY);
    harness.advance(10);
    assert_eq!(state(&harness, 1), "ejected");
    harness.advance(2000);
    assert_eq!(state(&harness, 1), "open");
    assert!(harness.audited.contains(&"t1 in".to_owned()));
}

#[test]
fn keeps_a_target_ejected_without_an_answered_probe() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 3);
    harness.advance(9000);
    // No target answered any probe, but at least half of them stay in service.
    let ejected = (0..3).filter(|&number| state(&harness, number) == "ejected").count();
    assert_eq!(ejected, 1);
}

#[test]
fn probes_each_target_every_second() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 3);
    harness.advance(10_000);
    for name in ["t0", "t1", "t2"] {
        let probes = harness.probed.iter().filter(|probed| *probed == name).count();
        assert!((9..=11).contains(&probes), "{name} was probed {probes} times in 10 s");
    }
}

#[test]
fn sends_no_new_work_to_a_draining_target() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 2);
    let mut specs = vec![target_spec(0), target_spec(1)];
    specs[0].draining = true;
    harness.publish(specs);
    assert_eq!(serve(&mut harness, 0, 20, |_| 5)[0], 0);
    harness.report_load("t1", TargetLoad { draining: true, ..HEALTHY });
    harness.submit(bid(&harness, 50, "m"));
    let refusal = harness.refusals[&50];
    assert_eq!((refusal.run_state, refusal.reason), (RunState::NotRun, RefuseReason::NoTarget));
    assert_eq!(
        harness.audited,
        ["t1 draining"],
        "a change in the published list is not audited here"
    );
}

#[test]
fn refuses_queued_work_at_once_when_no_target_is_open() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    for id in 0..4 {
        harness.submit(bid(&harness, id, "m"));
    }
    let mut spec = target_spec(0);
    spec.draining = true;
    harness.publish(vec![spec]);
    assert!(harness.refusals.contains_key(&2) && harness.refusals.contains_key(&3));
    harness.signal(harness.dispatch_of(0), TargetSignal::Ended);
    assert!(!harness.refusals.contains_key(&0));
}

// A target sheds a bid, and its stale load report says that it is idle. If the report is trusted
// more than the observation, the target gets and sheds one bid after the other.
#[test]
fn backs_off_from_a_shedding_target_whatever_it_reports() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 2);
    harness.submit(bid(&harness, 1, "m"));
    let shedding_target = harness.target_of(1);
    harness.signal(harness.dispatch_of(1), TargetSignal::NotRun(RefuseReason::TargetShed));
    harness.report_load(&shedding_target, HEALTHY);
    for id in 2..4 {
        harness.submit(bid(&harness, id, "m"));
    }
    let to_shedding = harness.dispatched.iter().filter(|sent| sent.2 == shedding_target).count();
    assert_eq!(to_shedding, 1);
    // The backoff is half of the initial run time of 50 ms.
    harness.advance(20);
    assert_eq!(harness.dispatched.iter().filter(|sent| sent.2 == shedding_target).count(), 1);
    harness.advance(10);
    assert!(harness.dispatched.iter().filter(|sent| sent.2 == shedding_target).count() > 1);
}

// One of two targets sheds all work for seconds. If each of its seemingly free slots is tried
// again and again, the retry budget is used up, and work of the highest priority is refused.
#[test]
fn limits_the_attempts_at_a_target_that_sheds_persistently() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 2);
    let mut attempts = 0;
    for id in 0..600 {
        harness.submit(bid(&harness, id, "m"));
        let mut sent = harness.dispatched.last().cloned().expect("the work was dispatched");
        if sent.2 == "t0" {
            attempts += 1;
            harness.signal(sent.1, TargetSignal::NotRun(RefuseReason::TargetShed));
            sent = harness.dispatched.last().cloned().expect("the work was dispatched again");
        }
        assert_eq!((sent.0, sent.2.as_str()), (id, "t1"));
        harness.advance(10);
        harness.signal(sent.1, TargetSignal::Ended);
    }
    assert!(harness.refusals.is_empty());
    assert!((6..=25).contains(&attempts), "{attempts} attempts in six seconds");
}

#[test]
fn uses_a_target_that_reports_unhealthy_but_responds() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 3);
    serve(&mut harness, 0, 60, |_| 5);
    harness.report_load("t0", TargetLoad { healthy: false, ..HEALTHY });
    harness.submit(bid(&harness, 100, "m"));
    let got = serve(&mut harness, 200, 30, |_| 5);
    assert!(got[0] > 0, "the target responded a moment ago: {got:?}");
    // Without a response for a while, its report is used.
    harness.advance(1200);
    harness.report_load("t0", TargetLoad { healthy: false, ..HEALTHY });
    assert_eq!(serve(&mut harness, 300, 30, |_| 5)[0], 0);
}

// A working target always reports unhealthy, and another one gets all work. Only work can show
// that the report is wrong: without trials, half of the slots would be idle for good.
#[test]
fn tries_a_target_that_always_reports_unhealthy() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 2);
    let mut got = [0, 0];
    for round in 0..20 {
        harness.report_load("t0", TargetLoad { healthy: false, ..HEALTHY });
        // The other target reports healthy.
        harness.report_load("t1", HEALTHY);
        let served = serve(&mut harness, round * 1000, 50, |_| 5);
        got = [got[0] + served[0], got[1] + served[1]];
        harness.advance(500);
    }
    assert!(got[0] > 50, "the two targets got {got:?} of 1000 bids");
    assert!(got[0] < got[1], "its reports have no effect: {got:?}");
}

#[test]
fn ignores_unhealthy_reports_of_more_than_half_of_the_targets() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 3);
    for name in ["t0", "t1", "t2"] {
        harness.report_load(name, TargetLoad { healthy: false, ..HEALTHY });
    }
    harness.submit(bid(&harness, 1, "m"));
    assert_eq!(harness.dispatch_count(1), 1);
}

// A target is five times slower than the others and reports to be idle. If only free slots count,
// it is chosen as the least utilized, and one bid in ten takes five times as long.
#[test]
fn sends_less_work_to_a_slow_target_until_it_recovers() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 4);
    let run = |target: &str| if target == "t2" { 200 } else { 40 };
    serve(&mut harness, 0, 400, run);
    harness.report_load("t2", HEALTHY);
    let got = serve(&mut harness, 1000, 400, run);
    assert!(got[2] <= 10, "the slow target got {} of 400 bids", got[2]);
    // Trials detect its recovery.
    for round in 0..20 {
        serve(&mut harness, 2000 + round * 100, 100, |_| 40);
        advance_with_probe_responses(&mut harness, 6);
    }
    let got = serve(&mut harness, 9000, 200, |_| 40);
    assert!(got[2] >= 20, "the recovered target got {} of 200 bids", got[2]);
}

#[test]
fn uses_half_of_the_slots_of_a_new_or_cold_target() {
    let mut harness = SchedulerHarness::new(SchedulerOptions::new(), 1);
    harness.publish(vec![target_spec(0), target_spec(1)]);
    for id in 0..4 {
        harness.submit(bid(&harness, id, "m"));
    }
    assert_eq!(harness.dispatched.iter().filter(|sent| sent.2 == "t1").count(), 1);
    harness.advance(300);
    harness.report_load("t1", TargetLoad { cold: true, ..HEALTHY });
    assert_eq!(harness.dispatched.iter().filter(|sent| sent.2 == "t1").count(), 1);
    for id in 0..4 {
        if harness.dispatch_count(id) > 0 {
            harness.signal(harness.dispatch_of(id), TargetSignal::Accepted);
        }
    }
    harness.advance(2500);
    assert_eq!(harness.dispatched.iter().filter(|sent| sent.2 == "t1").count(), 2);
}
