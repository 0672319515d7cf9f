//! The order in which refused callers are admitted again.

mod common;

use common::{at, planned, room, verdict};
use foxledge_admission::{AdmissionDecision, AdmissionPolicy, ServiceSnapshot, ShareAdmission};

/// A view with a third of priority 1 admitted, renewed each 50 ms.
fn view(millis: u64) -> ServiceSnapshot {
    room(millis, 2.0, &[(0, 2_000.0), (1, 6_000.0)])
}

/// Milliseconds at which a caller is admitted, of a turn and a half.
fn admitted_at(number: u32) -> Vec<u64> {
    let mut policy = planned(&view(1000));
    let mut admitted = Vec::new();
    for millis in (1000..2200).step_by(10) {
        if millis % 50 == 0 {
            // A policy that is fresh each time holds the share at a third.
            policy = planned(&view(millis));
        }
        if verdict(&policy, millis, 1, number) == AdmissionDecision::Admitted {
            admitted.push(millis);
        }
    }
    admitted
}

// A caller is refused for as long as the shortage lasts, while others are admitted again.
#[test]
fn each_turn() {
    for number in 0..200 {
        let times = admitted_at(number);
        // The window covers a third of the ring, and turns in 800 ms: twice the aim.
        let first_turn = times.iter().filter(|millis| **millis < 1800).count() as i64;
        assert!((first_turn - 27).abs() <= 1, "caller {number}: {first_turn} of 80 moments");
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
        assert!(longest <= 560, "caller {number} waited for {longest} ms");
    }
}

// A caller's next try at another instance finds another order.
#[test]
fn same_everywhere() {
    let first = planned(&view(1000));
    // Another process's clock shows another time at the same moment.
    let far = 5_000_000;
    let second = planned(&ServiceSnapshot { fleet_clock_ms: 1000, ..view(far) });
    for number in 0..500 {
        for passed in [0, 130, 390] {
            let here = verdict(&first, 1000 + passed, 1, number);
            assert_eq!(here, verdict(&second, far + passed, 1, number), "caller {number}");
        }
    }
}

// A deviation of the shared clock makes instances decide differently about all callers.
#[test]
fn slight_deviation() {
    let first = planned(&view(1000));
    let second = planned(&ServiceSnapshot { fleet_clock_ms: 1008, ..view(1000) });
    let differs =
        |number: &u32| verdict(&first, 1000, 1, *number) != verdict(&second, 1000, 1, *number);
    // 8 of 800 ms at each end of the window.
    let different = (0..4000).filter(differs).count();
    assert!(different < 4000 * 3 / 100, "{different} of 4000");
}

// Callers whose turn has just passed are let in before those that wait.
#[test]
fn admitted_wait() {
    let policy = planned(&view(1000));
    let is_admitted =
        |millis, number| verdict(&policy, millis, 1, number) == AdmissionDecision::Admitted;
    for number in 0..2000 {
        // The window moves by an eighth of the ring and covers a third of it.
        if is_admitted(1000, number) && !is_admitted(1100, number) {
            assert!(!is_admitted(1200, number) && !is_admitted(1390, number));
        }
    }
}

// The shared clock's wrap stops the window.
#[test]
fn clock_wrap() {
    let policy: ShareAdmission =
        planned(&ServiceSnapshot { fleet_clock_ms: u32::MAX - 10, ..view(1000) });
    let admitted = |millis| {
        (0..1000)
            .filter(|number| verdict(&policy, millis, 1, *number) == AdmissionDecision::Admitted)
            .count()
    };
    for millis in [1000, 1100, 1200] {
        assert!((250..420).contains(&admitted(millis)), "{} at {millis} ms", admitted(millis));
    }
}

// A verdict before the plan's own time, as of a packet that waited, goes wrong.
#[test]
fn earlier_packet() {
    let policy = planned(&view(1000));
    assert_eq!(policy.shortage_since(), Some(at(1000)));
    for number in 0..100 {
        assert_eq!(verdict(&policy, 990, 1, number), verdict(&policy, 1000, 1, number));
    }
}
