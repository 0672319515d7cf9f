//! Shares of the capacity by priority.

mod common;

use std::collections::BTreeMap;

use common::{SLOTS, admitted_fraction, at_ms, snapshot, updated_policy};
use foxledge_admission::{
    AdmissionDecision, AdmissionOptions, AdmissionPolicy, ServiceSnapshot, ShareAdmission,
};
use proptest::prelude::*;

fn shares(per_s: &[(u32, f64)]) -> BTreeMap<u32, f64> {
    updated_policy(&snapshot(1000, 2.0, per_s)).admitted_shares().clone()
}

// Guards against refusing urgent requests while less urgent ones are served.
#[test]
fn serves_urgent_priorities_first() {
    let shares = shares(&[(0, 2_000.0), (3, 2_500.0), (5, 4_000.0)]);
    assert_eq!(shares[&0], 1.0);
    // 240 slots serve 4,000 requests per second, of which 400 are the floor.
    assert!((shares[&3] - 1_600.0 / 2_500.0).abs() < 0.01, "{shares:?}");
    assert!((shares[&5] - 400.0 / 4_000.0).abs() < 0.01, "{shares:?}");
}

// Guards against a flood of urgent requests starving all others.
#[test]
fn reserves_floor_during_urgent_flood() {
    let shares = shares(&[(0, 40_000.0), (1, 1_000.0), (2, 1_000.0)]);
    assert!((shares[&0] - 0.09).abs() < 0.01, "{shares:?}");
    assert!((shares[&1] - 0.2).abs() < 0.01, "{shares:?}");
    assert!((shares[&2] - 0.2).abs() < 0.01, "{shares:?}");
}

// Guards against reserving a floor that has no demand.
#[test]
fn releases_unused_floor() {
    let shares = shares(&[(0, 8_000.0), (1, 100.0)]);
    assert_eq!(shares[&1], 1.0);
    assert!((shares[&0] - 3_900.0 / 8_000.0).abs() < 0.01, "{shares:?}");
}

// Guards against counting retries as demand at the expense of urgent or admitted requests.
#[test]
fn excludes_retries_from_demand() {
    let (urgent, others) = (2_000.0, 6_000.0);
    let mut policy = ShareAdmission::new(AdmissionOptions::default());
    let mut tries = others;
    for step in 0..40 {
        let view = snapshot(1000 + 50 * step, 2.0, &[(0, urgent), (1, tries)]);
        policy.update(view.reported_at, &view);
        let share = policy.admitted_shares()[&1];
        let arriving = others * (share + 3.0 * (1.0 - share));
        tries += (arriving - tries) * (1.0 - (-0.05f64 / 0.25).exp());
    }
    assert_eq!(policy.admitted_shares()[&0], 1.0);
    // A third of the others' demand fits, even if they try three times.
    let share = policy.admitted_shares()[&1];
    assert!((0.28..0.40).contains(&share), "{share}");
    assert!(tries > 2.0 * others);
}

// Guards against requests keeping the share of their old priority when the list changes it during a
// shortage.
#[test]
fn applies_changed_priority_during_shortage() {
    let mut policy = updated_policy(&snapshot(1000, 2.0, &[(0, 3_000.0), (1, 5_000.0)]));
    assert!(admitted_fraction(&policy, 1000, 1) < 0.5);
    let changed = snapshot(1050, 2.0, &[(2, 3_000.0), (1, 3_000.0)]);
    policy.update(changed.reported_at, &changed);
    assert_eq!(policy.admitted_shares().keys().copied().collect::<Vec<_>>(), [1, 2]);
    assert_eq!(admitted_fraction(&policy, 1050, 1), 1.0);
    assert!(admitted_fraction(&policy, 1050, 2) < 0.6);
}

// Guards against refusing a priority that no report contains yet.
#[test]
fn admits_unreported_priority() {
    let policy = updated_policy(&snapshot(1000, 2.0, &[(0, 3_000.0), (1, 5_000.0)]));
    assert_eq!(common::decision(&policy, 1000, 7, 1), AdmissionDecision::Admitted);
}

// Guards against an admitted fraction that differs from the planned share.
#[test]
fn admits_the_planned_share() {
    let policy = updated_policy(&snapshot(1000, 2.0, &[(0, 2_000.0), (1, 6_000.0)]));
    let planned_share = policy.admitted_shares()[&1];
    for millis in [1000, 1111, 1390] {
        let admitted = admitted_fraction(&policy, millis, 1);
        assert!(
            (admitted - planned_share).abs() < 0.03,
            "{admitted} of {planned_share} at {millis} ms"
        );
    }
}

// Guards against the configured floor having no effect.
#[test]
fn applies_configured_floor() {
    let view = snapshot(1000, 2.0, &[(0, 40_000.0), (1, 40_000.0)]);
    let share = |percent| {
        let mut policy = ShareAdmission::new(AdmissionOptions::default().floor_percent(percent));
        policy.update(at_ms(1000), &view);
        policy.admitted_shares()[&1]
    };
    assert!((share(10.0) - 0.01).abs() < 1e-6);
    assert!((share(50.0) - 0.05).abs() < 1e-6);
    assert_eq!(share(0.0), 0.0);
}

proptest! {
    // Guards against some mix of priorities receiving more than the capacity, or one of them
    // nothing.
    #[test]
    fn divides_capacity_among_any_priorities(
        per_s in prop::collection::btree_map(0u32..8, 1.0f64..50_000.0, 1..8),
        load in 1.0f64..8.0,
    ) {
        let demanded: Vec<_> = per_s.iter().map(|(priority, per_s)| (*priority, *per_s)).collect();
        let view: ServiceSnapshot = snapshot(1000, load, &demanded);
        let shares = updated_policy(&view).admitted_shares().clone();
        let given: f64 = shares.iter().map(|(priority, share)| share * per_s[priority] * 0.06).sum();
        let demand: f64 = per_s.values().map(|per_s| per_s * 0.06).sum();
        // The target is 2 for 60 ms of work and a latency target of 400 ms; the gain is 0.3.
        let capacity = SLOTS * (1.0 + 0.3 * (2.0 - load)).max(0.3);
        prop_assert_eq!(shares.is_empty(), demand <= capacity);
        if !shares.is_empty() {
            prop_assert!((given - capacity).abs() < 1e-6 * capacity, "{} of {}", given, capacity);
            prop_assert!(shares.values().all(|share| *share > 0.0 && *share <= 1.0));
        }
    }
}
