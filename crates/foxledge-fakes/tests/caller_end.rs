//! A load that is ended early.

use foxledge_core::{time::ClockTime, traffic::TrafficKind};
use foxledge_fakes::caller::{LoadOptions, LoadState};

/// Symptom: a load that was told to end goes on, or its report lacks what was open.
/// Sequence: a load of a minute is ended after a second; nobody answers it.
/// Cause: arrivals that were planned ahead, or work dropped at the end.
#[test]
fn ended_early() {
    let fabric = "127.0.0.1:1".parse().unwrap();
    let options = LoadOptions::new(fabric, "auction.lakeshore", "bricks", TrafficKind::Bid)
        .rate(100.0)
        .seconds(60.0);
    let mut now = ClockTime::ZERO;
    let mut state = LoadState::new(now, 0, options);
    let mut pass = |state: &mut LoadState, millis: u64| {
        for _ in 0..millis / 10 {
            now = now.after_millis(10);
            state.on_wake(now);
        }
        now
    };
    let ended_at = pass(&mut state, 1000);
    state.end_load(ended_at);
    assert!(!state.is_finished(ended_at), "its open work has no end yet");
    let now = pass(&mut state, 5000);
    assert!(state.is_finished(now));

    let (_, report) = state.finish(now);
    assert!((50..200).contains(&report.offered), "{} offered", report.offered);
    assert_eq!(report.offered, report.timed_out);
}
