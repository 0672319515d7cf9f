//! When a shortage holds, and when nothing is refused although it does.

mod common;

use common::{admitted_part, at, planned, room};
use foxledge_admission::{AdmissionOptions, AdmissionPolicy, ServiceSnapshot, ShareAdmission};

/// A view of 240 slots that need 600 for what is asked.
fn short_room(millis: u64) -> ServiceSnapshot {
    room(millis, 2.0, &[(0, 2_000.0), (1, 8_000.0)])
}

fn refuses(policy: &ShareAdmission, millis: u64) -> bool {
    admitted_part(policy, millis, 1) < 1.0
}

// A service that asks for more than its room isn't relieved.
#[test]
fn plain_shortage() {
    let policy = planned(&short_room(1000));
    assert!(refuses(&policy, 1000));
    assert_eq!(policy.shortage_since(), Some(at(1000)));
}

// Openings are refused while slots are free, however much is asked for.
#[test]
fn free_slots() {
    for load in [0.0, 0.5, 0.99] {
        let policy = planned(&ServiceSnapshot { running: load * 240.0, ..short_room(1000) });
        assert!(!refuses(&policy, 1000), "at {load} requests a slot");
        assert_eq!(policy.shortage_since(), None);
    }
}

// Openings are refused for a queue that drains by itself.
#[test]
fn enough_room() {
    assert!(!refuses(&planned(&room(1000, 1.5, &[(0, 1_000.0), (1, 2_000.0)])), 1000));
}

// An instance that has heard of few others refuses by its own count.
#[test]
fn unsure_view() {
    assert!(!refuses(&planned(&ServiceSnapshot { is_reliable: false, ..short_room(1000) }), 1000));
}

// A view that isn't renewed goes on refusing after the shortage.
#[test]
fn old_view() {
    let mut policy = planned(&short_room(1000));
    assert!(refuses(&policy, 1399));
    assert!(!refuses(&policy, 1400));
    policy.update(at(1450), &short_room(1000));
    assert!(!refuses(&policy, 1450));
}

// A data centre with free slots isn't heard of yet, and openings are refused meanwhile.
#[test]
fn partial_view() {
    let partial = |millis| ServiceSnapshot { has_unreported_centre: true, ..short_room(millis) };
    let mut policy = planned(&partial(1000));
    for millis in (1050..1600).step_by(50) {
        policy.update(at(millis), &partial(millis));
        assert!(!refuses(&policy, millis), "at {millis} ms");
    }
    policy.update(at(1600), &partial(1600));
    assert!(refuses(&policy, 1600));
}

// Demand that can't be known is taken for a shortage.
#[test]
fn unknown_work() {
    let unknown = |load| {
        let mut room = room(1000, load, &[(0, 2_000.0), (1, 8_000.0)]);
        room.priorities.values_mut().for_each(|priority| priority.work_us = 0.0);
        room
    };
    assert!(!refuses(&planned(&unknown(2.9)), 1000));
    assert!(refuses(&planned(&unknown(3.5)), 1000));
}

// One kind without a known work time hides what the others ask for.
#[test]
fn partly_unknown_work() {
    let mut room = short_room(1000);
    room.priorities.get_mut(&1).unwrap().work_us = 0.0;
    assert!(refuses(&planned(&room), 1000));
}

// Slow backend servers count as full ones, and more is admitted than they serve.
#[test]
fn slow_servers() {
    let priorities = [(0, 1_000.0), (1, 2_500.0)];
    let whole = ServiceSnapshot { running: 300.0, ..room(1000, 0.0, &priorities) };
    // 72 of 240 slots are five times slower.
    let slow = ServiceSnapshot { slots: 168.0 + 72.0 / 5.0, ..whole.clone() };
    assert!(!refuses(&planned(&whole), 1000));
    assert!(refuses(&planned(&slow), 1000));
}

// A service without usable slots has a division by zero for its load.
#[test]
fn no_slots() {
    assert!(!refuses(&planned(&ServiceSnapshot { slots: 0.0, ..short_room(1000) }), 1000));
}

// A report that is no number makes a plan of which nothing follows.
#[test]
fn absurd_reports() {
    for absurd in [f64::NAN, f64::INFINITY, -1.0] {
        let mut one = short_room(1000);
        one.priorities.get_mut(&1).unwrap().arrivals_per_s = absurd;
        let policy = planned(&one);
        assert!(policy.admitted_shares().values().all(|share| (0.0..=1.0).contains(share)));
        assert!(!refuses(&planned(&ServiceSnapshot { running: absurd, ..short_room(1000) }), 1000));
    }
}

// The log shows a shortage that begins and ends many times a second.
#[test]
fn shown_end() {
    let mut policy = planned(&short_room(1000));
    let calm = |millis| room(millis, 0.9, &[(0, 1_000.0)]);
    policy.update(at(1050), &calm(1050));
    assert!(!refuses(&policy, 1050));
    assert_eq!(policy.shortage_since(), Some(at(1000)));
    policy.update(at(1100), &short_room(1100));
    policy.update(at(1250), &calm(1250));
    assert_eq!(policy.shortage_since(), Some(at(1000)));
    policy.update(at(1300), &calm(1300));
    assert_eq!(policy.shortage_since(), None);
}

// A route with a long aim refuses as early as one with a short aim.
#[test]
fn longer_aim() {
    let asked = [(0, 1_000.0), (1, 3_200.0)];
    let with_aim =
        |aim_ms| ServiceSnapshot { latency_target_ms: aim_ms, ..room(1000, 1.5, &asked) };
    assert!(refuses(&planned(&with_aim(150)), 1000));
    assert!(!refuses(&planned(&with_aim(600)), 1000));
}

// Settings out of range keep less urgent kinds out, or give an account less than its share.
#[test]
fn option_ranges() {
    let options = AdmissionOptions::default();
    assert_eq!(options.clone().floor_percent(80.0), options.clone().floor_percent(50.0));
    assert_eq!(options.clone().account_share(0.2), options.clone().account_share(1.0));
    assert!(!options.account_share(0.0).has_account_share());
}
