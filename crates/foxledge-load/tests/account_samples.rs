//! The path of client account samples into views.

mod common;

use common::{at_ms, report, reporter, table_of};
use foxledge_load::{InstanceReport, LocalLoad, ReportPace};

fn sampled(index: u32, serial: u32, account: u32) -> InstanceReport {
    let load = LocalLoad {
        sampled_accounts: vec![account],
        openings_per_sample: 5,
        ..LocalLoad::default()
    };
    InstanceReport { reporter: reporter(index, 1), serial, load }
}

// Guards against an account that appears heavy because its samples are counted twice.
#[test]
fn returns_each_sample_in_one_view_only() {
    let mut table = table_of(2, at_ms(0));
    table.apply_report(at_ms(0), sampled(1, 1, 77), at_ms(0), ReportPace::Fast);
    table.apply_report(at_ms(1), sampled(1, 1, 77), at_ms(0), ReportPace::Fast);
    assert_eq!(table.build_view(at_ms(2)).account_samples, [(77, 5)]);
    assert!(table.build_view(at_ms(3)).account_samples.is_empty());
}

// Guards against an instance that omits its own openings from the samples.
#[test]
fn includes_local_samples() {
    let mut table = table_of(2, at_ms(0));
    table.set_local_load(at_ms(0), reporter(0, 1), sampled(0, 1, 78).load);
    assert_eq!(table.build_view(at_ms(0)).account_samples, [(78, 5)]);
}

// Guards against samples that stand for no openings.
#[test]
fn ignores_samples_without_a_weight() {
    let mut table = table_of(2, at_ms(0));
    let mut empty = sampled(1, 1, 79);
    empty.load.openings_per_sample = 0;
    table.apply_report(at_ms(0), empty, at_ms(0), ReportPace::Fast);
    assert!(table.build_view(at_ms(0)).account_samples.is_empty());
}

// Guards against memory that grows while no view is built.
#[test]
fn bounds_the_number_of_stored_samples() {
    let mut table = table_of(2, at_ms(0));
    for serial in 0..10_000 {
        table.apply_report(at_ms(0), sampled(1, serial, serial), at_ms(0), ReportPace::Fast);
    }
    table.apply_report(at_ms(0), report(1, 20_000, 1.0), at_ms(0), ReportPace::Fast);
    assert_eq!(table.build_view(at_ms(0)).account_samples.len(), 4096);
}
