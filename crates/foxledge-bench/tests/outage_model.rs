//! What an outage costs whatever instances do, worked out by hand.

use foxledge_bench::outage::CallerTiming;

/// A caller with a deadline of a second, whose answers take 20 ms.
fn feed() -> CallerTiming {
    CallerTiming::new(1_000, 20).doubling(200, 1_600)
}

#[test]
fn copies_by_hand() {
    // Copies go out after 200 and 600 ms; the next, after 1,400 ms, comes too late.
    // In an outage of 1.6 s who asks in its first second has sent both before its end.
    assert_eq!(feed().lost_time(1_600), 1_000);
    // One of 600 ms: everybody has a copy left.
    assert_eq!(feed().lost_time(600), 0);
    assert_eq!(feed().lost_time(601), 1);
}

#[test]
fn late_answers_lost() {
    // The copy after 600 ms gets through, and its answer takes half a second.
    let slow = CallerTiming::new(1_000, 500).doubling(200, 1_600);
    assert_eq!(slow.lost_time(1_600), 1_400);
    assert!(slow.is_answered(1_450, 1_600) && !slow.is_answered(1_300, 1_600));
}

#[test]
fn before_is_answered() {
    // What got through before the outage is answered past the instances.
    assert!(feed().is_answered(-1, 5_000));
    assert!(!feed().is_answered(0, 5_000));
}

#[test]
fn longer_deadlines_help() {
    let patient = CallerTiming::new(2_500, 20).doubling(200, 1_600);
    assert_eq!(patient.lost_time(1_400), 0);
    assert_eq!(patient.lost_time(3_000), 1_600);
    // Opening packets are sent three times, and then given up.
    let opening = CallerTiming::new(2_500, 30).copies(&[200, 600]);
    assert_eq!(opening.lost_time(1_600), 1_000);
}
