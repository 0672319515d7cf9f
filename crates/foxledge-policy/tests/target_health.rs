//! What the desk believes of targets: losses, reports, slowness, warmth.

mod common;

use common::{DeskTrial, bid, target_spec};
use foxledge_policy::{RefuseReason, RunState, SchedulerOptions, TargetLoad, TargetSignal};

const FIT: TargetLoad = TargetLoad {
    busy_slots: 0,
    connections: 0,
    queued: 0,
    draining: false,
    cold: false,
    healthy: true,
};

/// Offers `count` bids, each ended after `run(target)` ms; returns how many each target got.
fn serve(trial: &mut DeskTrial, first: u64, count: u64, run: impl Fn(&str) -> u64) -> Vec<usize> {
    let targets = trial.desk.status(trial.now).targets.len();
    let mut got = vec![0; targets];
    let mut open: Vec<(u64, u64)> = Vec::new();
    for id in first..first + count {
        trial.offer(bid(trial, id, "m"));
        if trial.times_sent(id) > 0 {
            let target = trial.target_of(id);
            got[target[1..].parse::<usize>().expect("a number")] += 1;
            let ends = trial.now.as_micros() / 1000 + run(&target);
            open.push((ends, trial.dispatch_of(id)));
        }
        trial.pass(10);
        let clock = trial.now.as_micros() / 1000;
        for &(_, dispatch) in open.iter().filter(|(ends, _)| *ends <= clock) {
            trial.signal(dispatch, TargetSignal::Ended);
        }
        open.retain(|(ends, _)| *ends > clock);
    }
    for (_, dispatch) in open {
        trial.signal(dispatch, TargetSignal::Ended);
    }
    got
}

/// Lets seconds pass in which every target answers its probes.
fn rest(trial: &mut DeskTrial, seconds: u64) {
    for _ in 0..seconds {
        for target in trial.desk.status(trial.now).targets {
            trial.load(&target.name, FIT);
        }
        trial.pass(1000);
    }
}

fn state(trial: &DeskTrial, number: usize) -> &'static str {
    trial.desk.status(trial.now).targets[number].state
}

// Symptom: every third bid ends UNKNOWN after a target died.
// Sequence: a target falls silent; the others go on.
// Cause: it kept its turn, as nothing counted the losses against it.
#[test]
fn a_silent_target_is_ejected_and_comes_back_by_probe_and_deadline() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 3);
    for id in 0..6 {
        trial.offer(bid(&trial, id, "m"));
    }
    let silent = |trial: &DeskTrial, id: u64| trial.target_of(id) == "t1";
    for id in 0..6 {
        if !silent(&trial, id) {
            trial.signal(trial.dispatch_of(id), TargetSignal::Ended);
        }
    }
    trial.pass(450);
    assert_eq!(state(&trial, 1), "ejected");
    assert!(trial.audited.contains(&"t1 out".to_owned()));
    let got = serve(&mut trial, 100, 60, |_| 5);
    assert_eq!(got[1], 0);
    // A probe alone is too early, the deadline alone isn't enough.
    trial.load("t1", FIT);
    trial.pass(10);
    assert_eq!(state(&trial, 1), "ejected");
    trial.pass(2000);
    assert_eq!(state(&trial, 1), "open");
    assert!(trial.audited.contains(&"t1 in".to_owned()));
}

#[test]
fn ejection_without_an_answered_probe_lasts() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 3);
    trial.pass(9000);
    // No target answered any probe, yet at least half stay.
    let out = (0..3).filter(|&number| state(&trial, number) == "ejected").count();
    assert_eq!(out, 1);
}

#[test]
fn each_target_is_probed_every_second() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 3);
    trial.pass(10_000);
    for name in ["t0", "t1", "t2"] {
        let probes = trial.probed.iter().filter(|probed| *probed == name).count();
        assert!((9..=11).contains(&probes), "{name} was probed {probes} times in 10 s");
    }
}

#[test]
fn a_draining_target_gets_no_new_work_at_once() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 2);
    let mut specs = vec![target_spec(0), target_spec(1)];
    specs[0].draining = true;
    trial.publish(specs);
    assert_eq!(serve(&mut trial, 0, 20, |_| 5)[0], 0);
    trial.load("t1", TargetLoad { draining: true, ..FIT });
    trial.offer(bid(&trial, 50, "m"));
    let refusal = trial.refused[&50];
    assert_eq!((refusal.run_state, refusal.reason), (RunState::NotRun, RefuseReason::NoTarget));
    assert_eq!(trial.audited, ["t1 draining"], "whoever takes the list over audits t0");
}

#[test]
fn what_waits_is_refused_at_once_when_no_target_takes_work() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    for id in 0..4 {
        trial.offer(bid(&trial, id, "m"));
    }
    let mut spec = target_spec(0);
    spec.draining = true;
    trial.publish(vec![spec]);
    assert!(trial.refused.contains_key(&2) && trial.refused.contains_key(&3));
    trial.signal(trial.dispatch_of(0), TargetSignal::Ended);
    assert!(!trial.refused.contains_key(&0));
}

// Symptom: bids shed again and again by a target that reports to be idle.
// Sequence: a target sheds; its lagging report says that it has room.
// Cause: the report was believed against what was seen.
#[test]
fn a_target_that_sheds_is_left_alone_whatever_it_reports() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 2);
    trial.offer(bid(&trial, 1, "m"));
    let shedding = trial.target_of(1);
    trial.signal(trial.dispatch_of(1), TargetSignal::NotRun(RefuseReason::TargetShed));
    trial.load(&shedding, FIT);
    for id in 2..4 {
        trial.offer(bid(&trial, id, "m"));
    }
    let to_shedding = trial.sent.iter().filter(|sent| sent.2 == shedding).count();
    assert_eq!(to_shedding, 1);
    // Half of the run time assumed at first, 50 ms.
    trial.pass(20);
    assert_eq!(trial.sent.iter().filter(|sent| sent.2 == shedding).count(), 1);
    trial.pass(10);
    assert!(trial.sent.iter().filter(|sent| sent.2 == shedding).count() > 1);
}

// Symptom: work of the highest priority is refused for want of a retry.
// Sequence: one of two targets sheds all that comes, for seconds.
// Cause: each slot that seemed free there was tried again and again.
#[test]
fn a_target_that_sheds_on_gets_one_try_now_and_then() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 2);
    let mut tries = 0;
    for id in 0..600 {
        trial.offer(bid(&trial, id, "m"));
        let mut sent = trial.sent.last().cloned().expect("the work was dispatched");
        if sent.2 == "t0" {
            tries += 1;
            trial.signal(sent.1, TargetSignal::NotRun(RefuseReason::TargetShed));
            sent = trial.sent.last().cloned().expect("the work was dispatched again");
        }
        assert_eq!((sent.0, sent.2.as_str()), (id, "t1"));
        trial.pass(10);
        trial.signal(sent.1, TargetSignal::Ended);
    }
    assert!(trial.refused.is_empty());
    assert!((6..=25).contains(&tries), "{tries} tries in six seconds");
}

#[test]
fn a_target_that_calls_itself_unhealthy_but_works_is_used() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 3);
    serve(&mut trial, 0, 60, |_| 5);
    trial.load("t0", TargetLoad { healthy: false, ..FIT });
    trial.offer(bid(&trial, 100, "m"));
    let got = serve(&mut trial, 200, 30, |_| 5);
    assert!(got[0] > 0, "seen to work a moment ago: {got:?}");
    // Not seen for a while, it is believed.
    trial.pass(1200);
    trial.load("t0", TargetLoad { healthy: false, ..FIT });
    assert_eq!(serve(&mut trial, 300, 30, |_| 5)[0], 0);
}

// Symptom: half of the slots idle for good, though every target works.
// Sequence: a target calls itself unhealthy for ever while it works; the other one gets all work.
// Cause: only work shows that a target is well, and this one never got any again.
#[test]
fn a_target_that_calls_itself_unhealthy_for_ever_is_tried() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 2);
    let mut got = [0, 0];
    for round in 0..20 {
        trial.load("t0", TargetLoad { healthy: false, ..FIT });
        // Its own answers show that the other one is well.
        trial.load("t1", FIT);
        let served = serve(&mut trial, round * 1000, 50, |_| 5);
        got = [got[0] + served[0], got[1] + served[1]];
        trial.pass(500);
    }
    assert!(got[0] > 50, "of 1000 bids it got {got:?}");
    assert!(got[0] < got[1], "its word counts for nothing: {got:?}");
}

#[test]
fn doubts_about_more_than_half_are_no_news() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 3);
    for name in ["t0", "t1", "t2"] {
        trial.load(name, TargetLoad { healthy: false, ..FIT });
    }
    trial.offer(bid(&trial, 1, "m"));
    assert_eq!(trial.times_sent(1), 1);
}

// Symptom: one bid in ten takes five times as long.
// Sequence: a target is five times slower than its peers and reports to be idle.
// Cause: it was chosen as the freest, as slots alone were looked at.
#[test]
fn a_slow_target_gets_less() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 4);
    let run = |target: &str| if target == "t2" { 200 } else { 40 };
    serve(&mut trial, 0, 400, run);
    trial.load("t2", FIT);
    let got = serve(&mut trial, 1000, 400, run);
    assert!(got[2] <= 10, "of 400 the slow target got {}", got[2]);
    // After its fault has gone it is found out by trials.
    for round in 0..20 {
        serve(&mut trial, 2000 + round * 100, 100, |_| 40);
        rest(&mut trial, 6);
    }
    let got = serve(&mut trial, 9000, 200, |_| 40);
    assert!(got[2] >= 20, "mended, it got {} of 200", got[2]);
}

#[test]
fn a_new_or_cold_target_gets_half_its_slots() {
    let mut trial = DeskTrial::new(SchedulerOptions::new(), 1);
    trial.publish(vec![target_spec(0), target_spec(1)]);
    for id in 0..4 {
        trial.offer(bid(&trial, id, "m"));
    }
    assert_eq!(trial.sent.iter().filter(|sent| sent.2 == "t1").count(), 1);
    trial.pass(300);
    trial.load("t1", TargetLoad { cold: true, ..FIT });
    assert_eq!(trial.sent.iter().filter(|sent| sent.2 == "t1").count(), 1);
    for id in 0..4 {
        if trial.times_sent(id) > 0 {
            trial.signal(trial.dispatch_of(id), TargetSignal::Accepted);
        }
    }
    trial.pass(2500);
    assert_eq!(trial.sent.iter().filter(|sent| sent.2 == "t1").count(), 2);
}
