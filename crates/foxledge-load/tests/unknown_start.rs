//! A start that knows nothing of the load.

mod common;

use common::{at_ms, north, own_load, part, table_of, take_all, teller};
use foxledge_load::{LoadTable, ReportPace};

// Guards against refusals by an instance that has heard of nobody.
#[test]
fn start_is_unsure() {
    for instances in [2, 3, 19, 437] {
        let mut table = table_of(instances, at_ms(0));
        assert!(!table.build_view(at_ms(0)).is_reliable, "{instances} instances");
    }
}

// Guards against a start that takes itself for the only instance before membership is known.
#[test]
fn unknown_count_is_unsure() {
    let mut table = LoadTable::new(north());
    table.set_local_load(at_ms(0), teller(0, 1), own_load(1.0, 1.0));
    assert!(!table.build_view(at_ms(0)).is_reliable);
}

// Guards against a single instance never being sure.
#[test]
fn only_instance_is_sure() {
    let mut table = table_of(1, at_ms(0));
    let view = table.build_view(at_ms(0));
    assert!(view.is_reliable);
    assert_eq!(view.centres[&north()].report_count, 1);
    assert_eq!(view.centres[&north()].reported_at, at_ms(0));
}

// Guards against waiting for more than a third of the instances, or more than 6.
#[test]
fn enough_parts_are_sure() {
    for (instances, enough) in [(2, 1), (3, 1), (6, 2), (9, 3), (19, 6), (437, 6)] {
        let mut table = table_of(instances, at_ms(0));
        take_all(&mut table, at_ms(0), enough - 1, 1, 1.0);
        assert!(!table.is_reliable(at_ms(0)), "{instances} instances, {} heard", enough - 1);
        table.apply_report(at_ms(0), part(enough, 1, 1.0), at_ms(0), ReportPace::Fast);
        assert!(table.is_reliable(at_ms(0)), "{instances} instances, {enough} heard");
    }
}

// Guards against a view that isn't sure naming no load at all: it is shown, not acted on.
#[test]
fn unsure_view_shows_own_load() {
    let mut table = table_of(19, at_ms(0));
    let view = table.build_view(at_ms(0));
    assert_eq!(view.centres[&north()].report_count, 1);
    common::assert_near(view.demand_of(common::auction(), &north()), 190.0 * 0.06);
}
