//! Parts of tellers that die, freeze, restart or fall behind.

mod common;

use common::{arrivals_of, assert_near, at_ms, north, own_load, part, table_of, take_all, teller};
use foxledge_load::{InstanceReport, LoadTable, ReportPace};

// Guards against the load of a dead teller being counted for ever.
#[test]
fn dead_teller_expires() {
    let mut table = table_of(3, at_ms(0));
    table.apply_report(at_ms(0), part(1, 1, 40.0), at_ms(0), ReportPace::Fast);
    table.apply_report(at_ms(0), part(2, 1, 10.0), at_ms(0), ReportPace::Fast);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(100))), 60.0);
    table.apply_report(at_ms(900), part(2, 2, 10.0), at_ms(900), ReportPace::Fast);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(1000))), 30.0);
    table.remove_expired(at_ms(1000));
    assert_eq!(table.reports().count(), 2);
}

// Guards against a calm teller expiring between two of its reports.
#[test]
fn calm_part_lives_longer() {
    let mut table = table_of(2, at_ms(0));
    table.apply_report(at_ms(0), part(1, 1, 40.0), at_ms(0), ReportPace::Slow);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(2999))), 50.0);
    assert!(table.is_reliable(at_ms(2999)));
    assert_near(arrivals_of(&table.local_aggregate(at_ms(3000))), 20.0);
    assert!(!table.is_reliable(at_ms(3000)));
}

// Guards against a frozen teller's last part coming back through a slow relay.
#[test]
fn frozen_part_stays_expired() {
    let mut table = table_of(2, at_ms(0));
    assert!(table.apply_report(at_ms(0), part(1, 5, 40.0), at_ms(0), ReportPace::Fast));
    table.remove_expired(at_ms(1500));
    assert!(!table.apply_report(at_ms(1500), part(1, 5, 40.0), at_ms(300), ReportPace::Fast));
    assert_eq!(table.reports().count(), 1);
}

// Guards against relays that keep a frozen teller's part alive by passing it around.
#[test]
fn copies_prolong_nothing() {
    let mut table = table_of(2, at_ms(0));
    assert!(table.apply_report(at_ms(0), part(1, 5, 40.0), at_ms(0), ReportPace::Fast));
    assert!(!table.apply_report(at_ms(900), part(1, 5, 40.0), at_ms(800), ReportPace::Fast));
    assert!(!table.apply_report(at_ms(900), part(1, 4, 40.0), at_ms(900), ReportPace::Fast));
    table.remove_expired(at_ms(1000));
    assert_eq!(table.reports().count(), 1);
}

// Guards against a restarted teller being held back by the higher serials of its last start.
#[test]
fn restart_replaces_part() {
    let mut table = table_of(2, at_ms(0));
    assert!(table.apply_report(at_ms(0), part(1, 900, 40.0), at_ms(0), ReportPace::Fast));
    let fresh = InstanceReport { reporter: teller(1, 2), serial: 1, load: own_load(5.0, 0.0) };
    assert!(table.apply_report(at_ms(200), fresh, at_ms(200), ReportPace::Fast));
    assert_near(arrivals_of(&table.local_aggregate(at_ms(200))), 15.0);
    let late = part(1, 901, 40.0);
    assert!(!table.apply_report(at_ms(250), late, at_ms(100), ReportPace::Fast));
    assert_near(arrivals_of(&table.local_aggregate(at_ms(250))), 15.0);
}

// Guards against the part of an instance that left being counted until it expires.
#[test]
fn removed_part_is_gone() {
    let mut table = table_of(2, at_ms(0));
    table.apply_report(at_ms(0), part(1, 1, 40.0), at_ms(0), ReportPace::Slow);
    table.remove_instance(&teller(1, 1).address);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(1))), 20.0);
}

// Guards against an instance counting its own load twice, from a relay or an earlier start.
#[test]
fn own_part_counts_once() {
    let mut table = table_of(2, at_ms(0));
    assert!(!table.apply_report(at_ms(0), part(0, 7, 40.0), at_ms(0), ReportPace::Fast));
    let earlier = InstanceReport { reporter: teller(0, 9), serial: 7, load: own_load(40.0, 1.0) };
    assert!(!table.apply_report(at_ms(0), earlier, at_ms(0), ReportPace::Fast));
    assert_eq!(table.reports().count(), 1);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(1))), 20.0);
}

// Guards against the part of the own earlier start, heard before the own load was first set.
#[test]
fn earlier_start_is_dropped() {
    let mut table = LoadTable::new(north());
    table.set_instances(2);
    assert!(table.apply_report(at_ms(0), part(0, 7, 40.0), at_ms(0), ReportPace::Fast));
    table.set_local_load(at_ms(10), teller(0, 2), own_load(10.0, 1.0));
    assert_eq!(table.reports().count(), 1);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(10))), 20.0);
}

// Guards against old parts in the sum when fresh ones are enough.
#[test]
fn fresh_parts_suffice() {
    let mut table = table_of(19, at_ms(0));
    take_all(&mut table, at_ms(0), 18, 1, 100.0);
    take_all(&mut table, at_ms(500), 6, 2, 10.0);
    assert_near(arrivals_of(&table.local_aggregate(at_ms(500))), 190.0);
}

// Guards against a sum of one or two parts when few were heard of lately.
#[test]
fn old_parts_fill_in() {
    let mut table = table_of(19, at_ms(0));
    take_all(&mut table, at_ms(0), 18, 1, 100.0);
    take_all(&mut table, at_ms(500), 5, 2, 10.0);
    assert_near(
        arrivals_of(&table.local_aggregate(at_ms(500))),
        (10.0 + 5.0 * 10.0 + 100.0) / 7.0 * 19.0,
    );
}

// Guards against relaying old parts in place of new ones.
#[test]
fn parts_start_newest() {
    let mut table = table_of(4, at_ms(500));
    for (index, told_ms) in [(1, 300), (2, 450), (3, 100)] {
        table.apply_report(at_ms(500), part(index, 1, 1.0), at_ms(told_ms), ReportPace::Fast);
    }
    let order: Vec<_> = table.reports().map(|(part, _)| part.reporter).collect();
    assert_eq!(order, [teller(0, 1), teller(2, 1), teller(1, 1), teller(3, 1)]);
}

// Guards against relays that count the own part as the same one for ever.
#[test]
fn own_serial_rises() {
    let mut table = table_of(2, at_ms(0));
    let first = table.reports().next().unwrap().0.serial;
    table.set_local_load(at_ms(50), teller(0, 1), own_load(1.0, 0.0));
    assert_eq!(table.reports().next().unwrap().0.serial, first + 1);
}
