//! When an instance tells its load.

mod common;

use common::at_ms;
use foxledge_load::{ReportPace, ReportSchedule};

/// A calm schedule that told 4 running requests at 0 ms.
fn calm_schedule() -> ReportSchedule {
    let mut schedule = ReportSchedule::new(at_ms(0));
    schedule.update_local_load(at_ms(0), 3.0, 0.1);
    schedule.record_report_sent(at_ms(0));
    schedule.update_local_load(at_ms(0), 4.0, 0.1);
    schedule.record_report_sent(at_ms(0));
    schedule
}

// Guards against messages on calm days beyond one round a second.
#[test]
fn calm_tells_each_second() {
    let mut schedule = calm_schedule();
    assert_eq!(schedule.pace(at_ms(0)), ReportPace::Slow);
    assert_eq!(schedule.next_report_at(), at_ms(1000));
    schedule.update_local_load(at_ms(500), 7.0, 0.59);
    assert_eq!(schedule.next_report_at(), at_ms(1000));
    assert!(!schedule.pace(at_ms(500)).is_fast() && !schedule.is_loaded());
}

// Guards against a burst that is told only with the next calm round.
#[test]
fn change_is_told_at_once() {
    let mut schedule = calm_schedule();
    schedule.update_local_load(at_ms(300), 7.1, 0.1);
    assert_eq!(schedule.next_report_at(), at_ms(300));
    assert_eq!(schedule.pace(at_ms(300)), ReportPace::Fast);
    schedule.record_report_sent(at_ms(300));
    assert_eq!(schedule.next_report_at(), at_ms(400));
}

// Guards against a large instance turning busy by noise: the change must also be half.
#[test]
fn small_changes_stay_calm() {
    let mut schedule = calm_schedule();
    schedule.update_local_load(at_ms(0), 6.5, 0.1);
    schedule.record_report_sent(at_ms(0));
    schedule.update_local_load(at_ms(200), 9.6, 0.1);
    assert!(!schedule.pace(at_ms(200)).is_fast());
    schedule.update_local_load(at_ms(300), 3.4, 0.1);
    assert!(!schedule.pace(at_ms(300)).is_fast());
    schedule.update_local_load(at_ms(400), 3.0, 0.1);
    assert!(schedule.pace(at_ms(400)).is_fast());
}

// Guards against reports that stop while the data centre is pressed, or never stop.
#[test]
fn pressed_stays_busy() {
    let mut schedule = calm_schedule();
    schedule.update_local_load(at_ms(500), 4.0, 0.6);
    assert!(schedule.is_loaded());
    schedule.update_local_load(at_ms(600), 4.0, 0.2);
    assert!(!schedule.is_loaded());
    assert!(schedule.pace(at_ms(2499)).is_fast());
    assert!(!schedule.pace(at_ms(2500)).is_fast());
    schedule.record_report_sent(at_ms(2500));
    assert_eq!(schedule.next_report_at(), at_ms(3500));
}

// Guards against a data centre that hides its room from one that is pressed.
#[test]
fn pressed_centre_makes_busy() {
    let mut schedule = calm_schedule();
    schedule.record_loaded_centre(at_ms(500));
    assert_eq!(schedule.next_report_at(), at_ms(500));
    assert!(!schedule.is_loaded());
    schedule.update_local_load(at_ms(600), 4.0, 0.6);
    assert!(schedule.pace(at_ms(4499)).is_fast());
    assert!(!schedule.pace(at_ms(4500)).is_fast());
}

// Guards against a flood of reports when the load jumps up and down.
#[test]
fn rounds_keep_their_distance() {
    let mut schedule = calm_schedule();
    let mut told = 0;
    for millis in 0..1000 {
        let running = if millis % 2 == 0 { 40.0 } else { 0.0 };
        schedule.update_local_load(at_ms(millis), running, 0.9);
        if schedule.next_report_at().is_past(at_ms(millis)) {
            schedule.record_report_sent(at_ms(millis));
            told += 1;
        }
    }
    assert_eq!(told, 9);
}
