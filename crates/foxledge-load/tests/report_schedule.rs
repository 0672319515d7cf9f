//! Timing of load reports.

mod common;

use common::at_ms;
use foxledge_load::{ReportPace, ReportSchedule};

/// A schedule at the slow pace that reported 4 running requests at 0 ms.
fn slow_schedule() -> ReportSchedule {
    let mut schedule = ReportSchedule::new(at_ms(0));
    schedule.update_local_load(at_ms(0), 3.0, 0.1);
    schedule.record_report_sent(at_ms(0));
    schedule.update_local_load(at_ms(0), 4.0, 0.1);
    schedule.record_report_sent(at_ms(0));
    schedule
}

// Guards against more than one report per second from an idle instance.
#[test]
fn reports_once_per_second_at_slow_pace() {
    let mut schedule = slow_schedule();
    assert_eq!(schedule.pace(at_ms(0)), ReportPace::Slow);
    assert_eq!(schedule.next_report_at(), at_ms(1000));
    schedule.update_local_load(at_ms(500), 7.0, 0.59);
    assert_eq!(schedule.next_report_at(), at_ms(1000));
    assert!(!schedule.pace(at_ms(500)).is_fast() && !schedule.is_loaded());
}

// Guards against a burst that is reported only with the next report of the slow pace.
#[test]
fn reports_changed_load_immediately() {
    let mut schedule = slow_schedule();
    schedule.update_local_load(at_ms(300), 7.1, 0.1);
    assert_eq!(schedule.next_report_at(), at_ms(300));
    assert_eq!(schedule.pace(at_ms(300)), ReportPace::Fast);
    schedule.record_report_sent(at_ms(300));
    assert_eq!(schedule.next_report_at(), at_ms(400));
}

// Guards against noise switching a large instance to the fast pace: the change must also be half of
// the reported requests.
#[test]
fn keeps_slow_pace_for_small_changes() {
    let mut schedule = slow_schedule();
    schedule.update_local_load(at_ms(0), 6.5, 0.1);
    schedule.record_report_sent(at_ms(0));
    schedule.update_local_load(at_ms(200), 9.6, 0.1);
    assert!(!schedule.pace(at_ms(200)).is_fast());
    schedule.update_local_load(at_ms(300), 3.4, 0.1);
    assert!(!schedule.pace(at_ms(300)).is_fast());
    schedule.update_local_load(at_ms(400), 3.0, 0.1);
    assert!(schedule.pace(at_ms(400)).is_fast());
}

// Guards against reports that stop while the data centre is loaded, or never stop.
#[test]
fn keeps_fast_pace_after_local_load() {
    let mut schedule = slow_schedule();
    schedule.update_local_load(at_ms(500), 4.0, 0.6);
    assert!(schedule.is_loaded());
    schedule.update_local_load(at_ms(600), 4.0, 0.2);
    assert!(!schedule.is_loaded());
    assert!(schedule.pace(at_ms(2499)).is_fast());
    assert!(!schedule.pace(at_ms(2500)).is_fast());
    schedule.record_report_sent(at_ms(2500));
    assert_eq!(schedule.next_report_at(), at_ms(3500));
}

// Guards against a data centre that does not report its spare slots to one that is loaded.
#[test]
fn switches_to_fast_pace_for_loaded_centre() {
    let mut schedule = slow_schedule();
    schedule.record_loaded_centre(at_ms(500));
    assert_eq!(schedule.next_report_at(), at_ms(500));
    assert!(!schedule.is_loaded());
    schedule.update_local_load(at_ms(600), 4.0, 0.6);
    assert!(schedule.pace(at_ms(4499)).is_fast());
    assert!(!schedule.pace(at_ms(4500)).is_fast());
}

// Guards against a flood of reports from an instance whose load oscillates.
#[test]
fn limits_reports_of_oscillating_load() {
    let mut schedule = slow_schedule();
    let mut report_count = 0;
    for millis in 0..1000 {
        let running = if millis % 2 == 0 { 40.0 } else { 0.0 };
        schedule.update_local_load(at_ms(millis), running, 0.9);
        if schedule.next_report_at().is_past(at_ms(millis)) {
            schedule.record_report_sent(at_ms(millis));
            report_count += 1;
        }
    }
    assert_eq!(report_count, 9);
}
