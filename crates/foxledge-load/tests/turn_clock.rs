//! The clock of the order of readmission that instances share.

mod common;

use common::{at_ms, north};
use foxledge_load::LoadTable;

fn table() -> LoadTable {
    LoadTable::new(north())
}

// Guards against instances that turn the ring at different places.
#[test]
fn later_clock_is_adopted() {
    let mut table = table();
    table.adopt_fleet_clock(at_ms(100), 5_000);
    assert_eq!(table.fleet_clock_ms(at_ms(300)), 5_200);
    table.adopt_fleet_clock(at_ms(300), 4_000);
    assert_eq!(table.fleet_clock_ms(at_ms(300)), 5_200);
    table.adopt_fleet_clock(at_ms(300), 9_000);
    assert_eq!(table.build_view(at_ms(301)).fleet_clock_ms, 9_001);
}

// Guards against the clock standing still or jumping back where it wraps.
#[test]
fn clock_wraps() {
    let mut table = table();
    table.adopt_fleet_clock(at_ms(0), u32::MAX - 9);
    table.adopt_fleet_clock(at_ms(0), u32::MAX - 9);
    assert_eq!(table.fleet_clock_ms(at_ms(20)), 10);
    table.adopt_fleet_clock(at_ms(20), 15);
    assert_eq!(table.fleet_clock_ms(at_ms(20)), 15);
}

// Guards against a new start resetting a fleet that has run for more than 24 days.
#[test]
fn new_start_adopts_old_clock() {
    let mut table = table();
    table.adopt_fleet_clock(at_ms(1000), 3_000_000_000);
    assert_eq!(table.fleet_clock_ms(at_ms(1000)), 3_000_000_000);
}

// Guards against instances that hear each other staying apart.
#[test]
fn clocks_meet() {
    let mut tables = [table(), table(), table()];
    tables[0].adopt_fleet_clock(at_ms(0), 70_000);
    for round in 0..2 {
        for teller in 0..3 {
            let now = at_ms(round * 100);
            let turn_ms = tables[teller].fleet_clock_ms(now);
            tables.iter_mut().for_each(|table| table.adopt_fleet_clock(now, turn_ms));
        }
    }
    let turns = tables.map(|table| table.fleet_clock_ms(at_ms(500)));
    assert_eq!(turns, [70_500; 3]);
}
