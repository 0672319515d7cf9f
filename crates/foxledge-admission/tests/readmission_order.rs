//! The order in which refused callers are readmitted.

mod common;

use common::{at_ms, decision, snapshot, updated_policy};
use foxledge_admission::{AdmissionDecision, AdmissionPolicy, ServiceSnapshot, ShareAdmission};

/// A snapshot that admits a third of priority 1.
fn short_snapshot(millis: u64) -> ServiceSnapshot {
    snapshot(millis, 2.0, &[(0, 2_000.0), (1, 6_000.0)])
}

/// The times, in milliseconds, at which a caller is admitted during one and a half rotations.
fn admitted_at(number: u32) -> Vec<u64> {
    let mut policy = updated_policy(&short_snapshot(1000));
    let mut admitted = Vec::new();
    for millis in (1000..2200).step_by(10) {
        if millis % 50 == 0 {
            // A new policy every 50 ms keeps the share at a third.
            policy = updated_policy(&short_snapshot(millis));
        }
        if decision(&policy, millis, 1, number) == AdmissionDecision::Admitted {
            admitted.push(millis);
        }
    }
    admitted
}

// Guards against refusing a caller throughout a shortage while others are readmitted.
#[test]
fn readmits_every_caller_each_rotation() {
    for number in 0..200 {
        let times = admitted_at(number);
        // The window covers a third of the ring and rotates in 800 ms, twice the latency target.
        let first_rotation = times.iter().filter(|millis| **millis < 1800).count() as i64;
        assert!(
            (first_rotation - 27).abs() <= 1,
            "caller {number}: {first_rotation} of 80 moments"
        );
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
        assert!(longest <= 560, "caller {number} waited for {longest} ms");
    }
}

// Guards against a caller's next try meeting another order at another instance.
#[test]
fn decides_equally_on_all_instances() {
    let first = updated_policy(&short_snapshot(1000));
    // Another process's clock shows another time at the same moment.
    let other_ms = 5_000_000;
    let second =
        updated_policy(&ServiceSnapshot { fleet_clock_ms: 1000, ..short_snapshot(other_ms) });
    for number in 0..500 {
        for passed in [0, 130, 390] {
            let expected = decision(&first, 1000 + passed, 1, number);
            assert_eq!(
                expected,
                decision(&second, other_ms + passed, 1, number),
                "caller {number}"
            );
        }
    }
}

// Guards against a small deviation of the fleet clock changing the decisions for all callers.
#[test]
fn tolerates_small_clock_deviation() {
    let first = updated_policy(&short_snapshot(1000));
    let second = updated_policy(&ServiceSnapshot { fleet_clock_ms: 1008, ..short_snapshot(1000) });
    let differs =
        |number: &u32| decision(&first, 1000, 1, *number) != decision(&second, 1000, 1, *number);
    // 8 of 800 ms at each end of the window.
    let different = (0..4000).filter(differs).count();
    assert!(different < 4000 * 3 / 100, "{different} of 4000");
}

// Guards against readmitting callers that the window has just passed before those that still wait.
#[test]
fn readmits_waiting_callers_first() {
    let policy = updated_policy(&short_snapshot(1000));
    let is_admitted =
        |millis, number| decision(&policy, millis, 1, number) == AdmissionDecision::Admitted;
    for number in 0..2000 {
        // The window moves by an eighth of the ring and covers a third of it.
        if is_admitted(1000, number) && !is_admitted(1100, number) {
            assert!(!is_admitted(1200, number) && !is_admitted(1390, number));
        }
    }
}

// Guards against a window that stops where the fleet clock wraps around.
#[test]
fn continues_after_clock_wrap_around() {
    let policy: ShareAdmission =
        updated_policy(&ServiceSnapshot { fleet_clock_ms: u32::MAX - 10, ..short_snapshot(1000) });
    let admitted = |millis| {
        (0..1000)
            .filter(|number| decision(&policy, millis, 1, *number) == AdmissionDecision::Admitted)
            .count()
    };
    for millis in [1000, 1100, 1200] {
        assert!((250..420).contains(&admitted(millis)), "{} at {millis} ms", admitted(millis));
    }
}

// Guards against a wrong decision for a time before the last update, as for a packet that was
// queued.
#[test]
fn decides_for_times_before_the_plan() {
    let policy = updated_policy(&short_snapshot(1000));
    assert_eq!(policy.shortage_since(), Some(at_ms(1000)));
    for number in 0..100 {
        assert_eq!(decision(&policy, 990, 1, number), decision(&policy, 1000, 1, number));
    }
}
