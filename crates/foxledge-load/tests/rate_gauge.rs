//! Measurement of event rates.

mod common;

use common::at_ms;
use foxledge_load::RateGauge;

// Guards against a wrong rate at steady load.
#[test]
fn measures_steady_rate() {
    let mut gauge = RateGauge::new();
    for event in 0..400 {
        gauge.record_event(at_ms(event * 10));
    }
    let rate = gauge.events_per_s(at_ms(3995));
    assert!((rate - 100.0).abs() < 1.0, "{rate}");
}

// Guards against the start or end of a burst becoming visible too late.
#[test]
fn follows_start_and_end_of_a_burst() {
    let mut gauge = RateGauge::new();
    for event in 0..40 {
        gauge.record_event(at_ms(event * 5));
    }
    let risen = gauge.events_per_s(at_ms(200));
    assert!((105.0..120.0).contains(&risen), "{risen} of 200");
    let fallen = gauge.events_per_s(at_ms(450));
    assert!((fallen / risen - (-1.0f64).exp()).abs() < 1e-9);
    assert!(gauge.events_per_s(at_ms(10_000)) < 1e-9);
}

// Guards against a late event moving the gauge's time back.
#[test]
fn counts_late_event_at_latest_time() {
    let mut gauge = RateGauge::new();
    gauge.record_event(at_ms(1000));
    gauge.record_event(at_ms(900));
    assert!((gauge.events_per_s(at_ms(1000)) - 8.0).abs() < 1e-9);
    assert_eq!(RateGauge::new().events_per_s(at_ms(5)), 0.0);
}
