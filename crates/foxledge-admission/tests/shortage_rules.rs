//! Conditions of a shortage, and cases in which nothing is refused in spite of one.

mod common;

use common::{admitted_fraction, at_ms, snapshot, updated_policy};
use foxledge_admission::{AdmissionOptions, AdmissionPolicy, ServiceSnapshot, ShareAdmission};

/// A snapshot of 240 slots with a demand of 600.
fn short_snapshot(millis: u64) -> ServiceSnapshot {
    snapshot(millis, 2.0, &[(0, 2_000.0), (1, 8_000.0)])
}

fn refuses(policy: &ShareAdmission, millis: u64) -> bool {
    admitted_fraction(policy, millis, 1) < 1.0
}

// Guards against admitting all requests of a service whose demand exceeds its capacity.
#[test]
fn refuses_when_demand_exceeds_capacity() {
    let policy = updated_policy(&short_snapshot(1000));
    assert!(refuses(&policy, 1000));
    assert_eq!(policy.shortage_since(), Some(at_ms(1000)));
}

// Guards against refusals while slots are free, however high the demand is.
#[test]
fn refuses_nothing_while_slots_are_free() {
    for load in [0.0, 0.5, 0.99] {
        let policy =
            updated_policy(&ServiceSnapshot { running: load * 240.0, ..short_snapshot(1000) });
        assert!(!refuses(&policy, 1000), "at {load} requests per slot");
        assert_eq!(policy.shortage_since(), None);
    }
}

// Guards against refusals because of a queue that drains by itself.
#[test]
fn refuses_nothing_for_a_draining_queue() {
    assert!(!refuses(&updated_policy(&snapshot(1000, 1.5, &[(0, 1_000.0), (1, 2_000.0)])), 1000));
}

// Guards against refusals by an instance that received reports of few others.
#[test]
fn refuses_nothing_with_unreliable_view() {
    assert!(!refuses(
        &updated_policy(&ServiceSnapshot { is_reliable: false, ..short_snapshot(1000) }),
        1000
    ));
}

// Guards against an old view that causes refusals after the end of the shortage.
#[test]
fn refuses_nothing_with_expired_view() {
    let mut policy = updated_policy(&short_snapshot(1000));
    assert!(refuses(&policy, 1399));
    assert!(!refuses(&policy, 1400));
    policy.update(at_ms(1450), &short_snapshot(1000));
    assert!(!refuses(&policy, 1450));
}

// Guards against refusals while a data centre with free slots has not reported yet.
#[test]
fn waits_for_unreported_centres() {
    let incomplete =
        |millis| ServiceSnapshot { has_unreported_centre: true, ..short_snapshot(millis) };
    let mut policy = updated_policy(&incomplete(1000));
    for millis in (1050..1600).step_by(50) {
        policy.update(at_ms(millis), &incomplete(millis));
        assert!(!refuses(&policy, millis), "at {millis} ms");
    }
    policy.update(at_ms(1600), &incomplete(1600));
    assert!(refuses(&policy, 1600));
}

// Guards against taking unknown demand for a shortage.
#[test]
fn refuses_late_if_work_times_are_unknown() {
    let unknown = |load| {
        let mut snapshot = snapshot(1000, load, &[(0, 2_000.0), (1, 8_000.0)]);
        snapshot.priorities.values_mut().for_each(|priority| priority.work_us = 0.0);
        snapshot
    };
    assert!(!refuses(&updated_policy(&unknown(2.9)), 1000));
    assert!(refuses(&updated_policy(&unknown(3.5)), 1000));
}

// Guards against one priority with an unknown work time hiding the demand of the others.
#[test]
fn refuses_if_one_work_time_is_unknown() {
    let mut snapshot = short_snapshot(1000);
    snapshot.priorities.get_mut(&1).unwrap().work_us = 0.0;
    assert!(refuses(&updated_policy(&snapshot), 1000));
}

// Guards against counting slow backend servers as full ones and admitting more than they serve.
#[test]
fn counts_slow_servers_in_proportion() {
    let priorities = [(0, 1_000.0), (1, 2_500.0)];
    let whole = ServiceSnapshot { running: 300.0, ..snapshot(1000, 0.0, &priorities) };
    // 72 of 240 slots are five times slower.
    let slow = ServiceSnapshot { slots: 168.0 + 72.0 / 5.0, ..whole.clone() };
    assert!(!refuses(&updated_policy(&whole), 1000));
    assert!(refuses(&updated_policy(&slow), 1000));
}

// Guards against a division by zero for a service without usable slots.
#[test]
fn refuses_nothing_without_slots() {
    assert!(!refuses(
        &updated_policy(&ServiceSnapshot { slots: 0.0, ..short_snapshot(1000) }),
        1000
    ));
}

// Guards against invalid numbers in a report producing an invalid plan.
#[test]
fn tolerates_invalid_reports() {
    for invalid in [f64::NAN, f64::INFINITY, -1.0] {
        let mut one = short_snapshot(1000);
        one.priorities.get_mut(&1).unwrap().arrivals_per_s = invalid;
        let policy = updated_policy(&one);
        assert!(policy.admitted_shares().values().all(|share| (0.0..=1.0).contains(share)));
        assert!(!refuses(
            &updated_policy(&ServiceSnapshot { running: invalid, ..short_snapshot(1000) }),
            1000
        ));
    }
}

// Guards against a logged shortage that starts and ends many times per second.
#[test]
fn delays_the_logged_end_of_a_shortage() {
    let mut policy = updated_policy(&short_snapshot(1000));
    let usual = |millis| snapshot(millis, 0.9, &[(0, 1_000.0)]);
    policy.update(at_ms(1050), &usual(1050));
    assert!(!refuses(&policy, 1050));
    assert_eq!(policy.shortage_since(), Some(at_ms(1000)));
    policy.update(at_ms(1100), &short_snapshot(1100));
    policy.update(at_ms(1250), &usual(1250));
    assert_eq!(policy.shortage_since(), Some(at_ms(1000)));
    policy.update(at_ms(1300), &usual(1300));
    assert_eq!(policy.shortage_since(), None);
}

// Guards against refusing as early on routes with a long latency target as on routes with a short
// one.
#[test]
fn refuses_later_with_longer_latency_target() {
    let demanded = [(0, 1_000.0), (1, 3_200.0)];
    let with_target =
        |latency_target_ms| ServiceSnapshot { latency_target_ms, ..snapshot(1000, 1.5, &demanded) };
    assert!(refuses(&updated_policy(&with_target(150)), 1000));
    assert!(!refuses(&updated_policy(&with_target(600)), 1000));
}

// Guards against settings out of range that exclude lower priorities, or give an account less than
// its share.
#[test]
fn limits_options_to_their_ranges() {
    let options = AdmissionOptions::default();
    assert_eq!(options.clone().floor_percent(80.0), options.clone().floor_percent(50.0));
    assert_eq!(options.clone().account_share(0.2), options.clone().account_share(1.0));
    assert!(!options.account_share(0.0).has_account_share());
}
