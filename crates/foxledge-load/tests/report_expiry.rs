//! Reports of instances that fail, freeze, restart or fall behind.

mod common;

use common::{
    apply_all, arrivals_of, assert_near, at_ms, local_load, north, report, reporter, table_of,
};
use foxledge_load::{InstanceReport, LoadTable, ReportPace};

// Guards against the load of a failed instance being counted forever.
#[test]
fn expires_report_of_failed_instance() {
    let mut table = table_of(3, at_ms(0));
    table.apply_report(at_ms(0), report(1, 1, 40.0), at_ms(0), ReportPace::Fast);
    table.apply_report(at_ms(0), report(2, 1, 10.0), at_ms(0), ReportPace::Fast);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(100))), 60.0);
    table.apply_report(at_ms(900), report(2, 2, 10.0), at_ms(900), ReportPace::Fast);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(1000))), 30.0);
    table.remove_expired(at_ms(1000));
    assert_eq!(table.reports().count(), 2);
}

// Guards against a report at the slow pace expiring before the next one arrives.
#[test]
fn keeps_slow_pace_report_for_three_seconds() {
    let mut table = table_of(2, at_ms(0));
    table.apply_report(at_ms(0), report(1, 1, 40.0), at_ms(0), ReportPace::Slow);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(2999))), 50.0);
    assert!(table.is_reliable(at_ms(2999)));
    assert_near(arrivals_of(&table.local_aggregate(at_ms(3000))), 20.0);
    assert!(!table.is_reliable(at_ms(3000)));
}

// Guards against the last report of a frozen instance returning through a slow relay.
#[test]
fn ignores_delayed_copy_of_expired_report() {
    let mut table = table_of(2, at_ms(0));
    assert!(table.apply_report(at_ms(0), report(1, 5, 40.0), at_ms(0), ReportPace::Fast));
    table.remove_expired(at_ms(1500));
    assert!(!table.apply_report(at_ms(1500), report(1, 5, 40.0), at_ms(300), ReportPace::Fast));
    assert_eq!(table.reports().count(), 1);
}

// Guards against relays that keep the report of a frozen instance alive by passing it around.
#[test]
fn does_not_extend_validity_by_copies() {
    let mut table = table_of(2, at_ms(0));
    assert!(table.apply_report(at_ms(0), report(1, 5, 40.0), at_ms(0), ReportPace::Fast));
    assert!(!table.apply_report(at_ms(900), report(1, 5, 40.0), at_ms(800), ReportPace::Fast));
    assert!(!table.apply_report(at_ms(900), report(1, 4, 40.0), at_ms(900), ReportPace::Fast));
    table.remove_expired(at_ms(1000));
    assert_eq!(table.reports().count(), 1);
}

// Guards against reports of a restarted instance being ignored because of the higher serials of its
// previous process.
#[test]
fn replaces_report_after_restart() {
    let mut table = table_of(2, at_ms(0));
    assert!(table.apply_report(at_ms(0), report(1, 900, 40.0), at_ms(0), ReportPace::Fast));
    let fresh = InstanceReport { reporter: reporter(1, 2), serial: 1, load: local_load(5.0, 0.0) };
    assert!(table.apply_report(at_ms(200), fresh, at_ms(200), ReportPace::Fast));
    assert_near(arrivals_of(&table.local_aggregate(at_ms(200))), 15.0);
    let late = report(1, 901, 40.0);
    assert!(!table.apply_report(at_ms(250), late, at_ms(100), ReportPace::Fast));
    assert_near(arrivals_of(&table.local_aggregate(at_ms(250))), 15.0);
}

// Guards against the report of an instance that left being counted until it expires.
#[test]
fn drops_report_of_removed_instance() {
    let mut table = table_of(2, at_ms(0));
    table.apply_report(at_ms(0), report(1, 1, 40.0), at_ms(0), ReportPace::Slow);
    table.remove_instance(&reporter(1, 1).address);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(1))), 20.0);
}

// Guards against an instance counting its own load twice, from a relay or from an earlier process.
#[test]
fn ignores_received_copies_of_local_report() {
    let mut table = table_of(2, at_ms(0));
    assert!(!table.apply_report(at_ms(0), report(0, 7, 40.0), at_ms(0), ReportPace::Fast));
    let earlier =
        InstanceReport { reporter: reporter(0, 9), serial: 7, load: local_load(40.0, 1.0) };
    assert!(!table.apply_report(at_ms(0), earlier, at_ms(0), ReportPace::Fast));
    assert_eq!(table.reports().count(), 1);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(1))), 20.0);
}

// Guards against counting a report of the earlier process that arrived before the local load was
// first set.
#[test]
fn drops_report_of_earlier_process() {
    let mut table = LoadTable::new(north());
    table.set_instances(2);
    assert!(table.apply_report(at_ms(0), report(0, 7, 40.0), at_ms(0), ReportPace::Fast));
    table.set_local_load(at_ms(10), reporter(0, 2), local_load(10.0, 1.0));
    assert_eq!(table.reports().count(), 1);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(10))), 20.0);
}

// Guards against old reports in the aggregate although enough fresh ones are known.
#[test]
fn uses_fresh_reports_only_if_they_suffice() {
    let mut table = table_of(19, at_ms(0));
    apply_all(&mut table, at_ms(0), 18, 1, 100.0);
    apply_all(&mut table, at_ms(500), 6, 2, 10.0);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(500))), 190.0);
}

// Guards against an aggregate of one or two reports when few arrived recently.
#[test]
fn adds_old_reports_if_few_are_fresh() {
    let mut table = table_of(19, at_ms(0));
    apply_all(&mut table, at_ms(0), 18, 1, 100.0);
    apply_all(&mut table, at_ms(500), 5, 2, 10.0);
    assert_near(
        arrivals_of(&table.local_aggregate(at_ms(500))),
        (10.0 + 5.0 * 10.0 + 100.0) / 7.0 * 19.0,
    );
}

// Guards against relaying old reports instead of new ones.
#[test]
fn returns_newest_reports_first() {
    let mut table = table_of(4, at_ms(500));
    for (index, reported_ms) in [(1, 300), (2, 450), (3, 100)] {
        table.apply_report(at_ms(500), report(index, 1, 1.0), at_ms(reported_ms), ReportPace::Fast);
    }
    let order: Vec<_> = table.reports().map(|(report, _)| report.reporter).collect();
    assert_eq!(order, [reporter(0, 1), reporter(2, 1), reporter(1, 1), reporter(3, 1)]);
}

// Guards against relays that take every report of this instance for the same one.
#[test]
fn increments_serial_of_local_report() {
    let mut table = table_of(2, at_ms(0));
    let first = table.reports().next().unwrap().0.serial;
    table.set_local_load(at_ms(50), reporter(0, 1), local_load(1.0, 0.0));
    assert_eq!(table.reports().next().unwrap().0.serial, first + 1);
}
