//! An instance that has received few or no reports.

mod common;

use common::{apply_all, at_ms, local_load, north, report, reporter, table_of};
use foxledge_load::{LoadTable, ReportPace};

// Guards against refusals by an instance that has received no reports.
#[test]
fn is_unreliable_without_peer_reports() {
    for instances in [2, 3, 19, 437] {
        let mut table = table_of(instances, at_ms(0));
        assert!(!table.build_view(at_ms(0)).is_reliable, "{instances} instances");
    }
}

// Guards against a new process considering itself the only instance before membership is known.
#[test]
fn is_unreliable_while_instance_count_is_unknown() {
    let mut table = LoadTable::new(north());
    table.set_local_load(at_ms(0), reporter(0, 1), local_load(1.0, 1.0));
    assert!(!table.build_view(at_ms(0)).is_reliable);
}

// Guards against a single instance never relying on its view.
#[test]
fn is_reliable_as_the_only_instance() {
    let mut table = table_of(1, at_ms(0));
    let view = table.build_view(at_ms(0));
    assert!(view.is_reliable);
    assert_eq!(view.centres[&north()].report_count, 1);
    assert_eq!(view.centres[&north()].reported_at, at_ms(0));
}

// Guards against waiting for reports of more than a third of the instances, or of more than 6.
#[test]
fn is_reliable_with_sufficient_peer_reports() {
    for (instances, sufficient) in [(2, 1), (3, 1), (6, 2), (9, 3), (19, 6), (437, 6)] {
        let mut table = table_of(instances, at_ms(0));
        apply_all(&mut table, at_ms(0), sufficient - 1, 1, 1.0);
        assert!(
            !table.is_reliable(at_ms(0)),
            "{instances} instances, {} reports received",
            sufficient - 1
        );
        table.apply_report(at_ms(0), report(sufficient, 1, 1.0), at_ms(0), ReportPace::Fast);
        assert!(
            table.is_reliable(at_ms(0)),
            "{instances} instances, {sufficient} reports received"
        );
    }
}

// Guards against an unreliable view without any load: it is displayed, though no decision is based
// on it.
#[test]
fn shows_local_load_in_unreliable_view() {
    let mut table = table_of(19, at_ms(0));
    let view = table.build_view(at_ms(0));
    assert_eq!(view.centres[&north()].report_count, 1);
    common::assert_near(view.demand_of(common::auction(), &north()), 190.0 * 0.06);
}
