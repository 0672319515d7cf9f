//! Instances whose views differ.

mod common;

use common::{ModelPlan, QueueModel, admitted_part, at, planned, room, share_gate};
use foxledge_admission::{AdmissionOptions, AdmissionPolicy, ServiceSnapshot, ShareAdmission};

// Two halves that don't hear of each other admit more than fits, or keep refusing when they meet.
#[test]
fn two_halves() {
    let half = |millis, load: f64| ServiceSnapshot {
        slots: 120.0,
        running: 120.0 * load,
        ..room(millis, 0.0, &[(0, 1_000.0), (1, 3_000.0)])
    };
    let mut full = planned(&half(1000, 2.0));
    let free = planned(&half(1000, 0.8));
    assert!(admitted_part(&full, 1000, 1) < 0.5);
    assert_eq!(admitted_part(&free, 1000, 1), 1.0);
    // Both see the whole again.
    full.update(at(1050), &room(1050, 0.9, &[(0, 1_000.0), (1, 2_000.0)]));
    assert_eq!(admitted_part(&full, 1050, 1), 1.0);
}

// Instances that have just started refuse, or make the others refuse urgent requests.
#[test]
fn half_new() {
    let unsure = (0..79).map(|number| number % 2 == 0).collect();
    let plan = ModelPlan { unsure, ..ModelPlan::new(1, &[(2, 5.0)]) };
    let tally = QueueModel::play(plan, share_gate(79));
    // Nine in ten of the refused find a new instance with one of three tries; without any
    // refusal, half of priority 1 is in time.
    assert!(tally.refused > 1_000);
    assert!(tally.in_aim(1) >= 0.75, "priority 1 {}", tally.in_aim(1));
}

// An instance that becomes sure in the middle of a shortage refuses more than the others.
#[test]
fn late_start() {
    let mut old = ShareAdmission::new(AdmissionOptions::default());
    let mut new = ShareAdmission::new(AdmissionOptions::default());
    for step in 0..40 {
        let view = room(1000 + 50 * step, 2.0, &[(0, 2_000.0), (1, 6_000.0)]);
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
