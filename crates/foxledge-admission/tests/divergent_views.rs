//! Instances with different views.

mod common;

use common::{
    ModelPlan, QueueModel, admitted_fraction, at_ms, share_gate, snapshot, updated_policy,
};
use foxledge_admission::{AdmissionOptions, AdmissionPolicy, ServiceSnapshot, ShareAdmission};

// Guards against two halves of a partitioned fleet admitting more than fits, or refusing requests
// after the partition.
#[test]
fn admits_all_after_partition_heals() {
    let half = |millis, load: f64| ServiceSnapshot {
        slots: 120.0,
        running: 120.0 * load,
        ..snapshot(millis, 0.0, &[(0, 1_000.0), (1, 3_000.0)])
    };
    let mut full = updated_policy(&half(1000, 2.0));
    let free = updated_policy(&half(1000, 0.8));
    assert!(admitted_fraction(&full, 1000, 1) < 0.5);
    assert_eq!(admitted_fraction(&free, 1000, 1), 1.0);
    // Both see the whole fleet again.
    full.update(at_ms(1050), &snapshot(1050, 0.9, &[(0, 1_000.0), (1, 2_000.0)]));
    assert_eq!(admitted_fraction(&full, 1050, 1), 1.0);
}

// Guards against newly started instances that refuse urgent requests, or make others refuse them.
#[test]
fn serves_urgent_requests_with_half_of_instances_new() {
    let unreliable = (0..79).map(|number| number % 2 == 0).collect();
    let plan = ModelPlan { unreliable, ..ModelPlan::new(1, &[(2, 5.0)]) };
    let tally = QueueModel::run(plan, share_gate(79));
    // Nine in ten refused requests reach a new instance with one of three tries; without any
    // refusals, half of priority 1 is in time.
    assert!(tally.refused > 1_000);
    assert!(tally.in_time(1) >= 0.75, "priority 1 {}", tally.in_time(1));
}

// Guards against an instance whose view becomes reliable during a shortage refusing more than the
// others.
#[test]
fn converges_after_start_during_shortage() {
    let mut old = ShareAdmission::new(AdmissionOptions::default());
    let mut new = ShareAdmission::new(AdmissionOptions::default());
    for step in 0..40 {
        let view = snapshot(1000 + 50 * step, 2.0, &[(0, 2_000.0), (1, 6_000.0)]);
        old.update(view.reported_at, &view);
        if step < 20 {
            new.update(view.reported_at, &ServiceSnapshot { is_reliable: false, ..view });
        } else {
            new.update(view.reported_at, &view);
        }
    }
    let (old, new) = (old.admitted_shares()[&1], new.admitted_shares()[&1]);
    assert!((old - new).abs() < 0.05, "{old} and {new}");
}
