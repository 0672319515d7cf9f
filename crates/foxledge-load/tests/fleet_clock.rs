//! The fleet clock that orders readmission.

mod common;

use common::{at_ms, north};
use foxledge_load::LoadTable;

fn table() -> LoadTable {
    LoadTable::new(north())
}

// Guards against instances that place the readmission window at different positions.
#[test]
fn adopts_later_clock() {
    let mut table = table();
    table.adopt_fleet_clock(at_ms(100), 5_000);
    assert_eq!(table.fleet_clock_ms(at_ms(300)), 5_200);
    table.adopt_fleet_clock(at_ms(300), 4_000);
    assert_eq!(table.fleet_clock_ms(at_ms(300)), 5_200);
    table.adopt_fleet_clock(at_ms(300), 9_000);
    assert_eq!(table.build_view(at_ms(301)).fleet_clock_ms, 9_001);
}

// Guards against a clock that stands still or jumps back where it wraps around.
#[test]
fn continues_after_wrap_around() {
    let mut table = table();
    table.adopt_fleet_clock(at_ms(0), u32::MAX - 9);
    table.adopt_fleet_clock(at_ms(0), u32::MAX - 9);
    assert_eq!(table.fleet_clock_ms(at_ms(20)), 10);
    table.adopt_fleet_clock(at_ms(20), 15);
    assert_eq!(table.fleet_clock_ms(at_ms(20)), 15);
}

// Guards against a new process resetting the clock of a fleet that has run for more than 24 days.
#[test]
fn adopts_first_clock_after_start() {
    let mut table = table();
    table.adopt_fleet_clock(at_ms(1000), 3_000_000_000);
    assert_eq!(table.fleet_clock_ms(at_ms(1000)), 3_000_000_000);
}

// Guards against the clocks of instances that exchange messages staying apart.
#[test]
fn converges_on_the_latest_clock() {
    let mut tables = [table(), table(), table()];
    tables[0].adopt_fleet_clock(at_ms(0), 70_000);
    for round in 0..2 {
        for reporter in 0..3 {
            let now = at_ms(round * 100);
            let turn_ms = tables[reporter].fleet_clock_ms(now);
            tables.iter_mut().for_each(|table| table.adopt_fleet_clock(now, turn_ms));
        }
    }
    let clocks = tables.map(|table| table.fleet_clock_ms(at_ms(500)));
    assert_eq!(clocks, [70_500; 3]);
}
