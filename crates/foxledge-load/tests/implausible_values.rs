//! Reports with implausible values.

mod common;

use std::collections::BTreeMap;

use common::{
    aggregate, arrivals_of, at_ms, auction, local_load, north, report, reporter, south, table_of,
};
use foxledge_core::names::CentreName;
use foxledge_load::{InstanceReport, LoadTable, LocalLoad, PriorityLoad, ReportPace, ServiceLoad};

fn stored(load: LocalLoad) -> LocalLoad {
    let mut table = table_of(2, at_ms(0));
    let report = InstanceReport { reporter: reporter(1, 1), serial: 1, load };
    assert!(table.apply_report(at_ms(0), report, at_ms(0), ReportPace::Fast));
    table.reports().nth(1).unwrap().0.load.clone()
}

// Guards against an instance that reports impossible numbers and makes the whole fleet refuse flows
// or send them to other data centres.
#[test]
fn limits_implausible_values() {
    let implausible = ServiceLoad {
        priorities: BTreeMap::from([(0, PriorityLoad { arrivals_per_s: 1e18, work_us: 1e18 })]),
        running: BTreeMap::from([(north(), f64::INFINITY), (south(), 1e12)]),
    };
    let services = BTreeMap::from([(auction(), implausible)]);
    let load = &stored(LocalLoad { services, ..LocalLoad::default() }).services[&auction()];
    assert_eq!(load.priorities[&0], PriorityLoad { arrivals_per_s: 1e5, work_us: 6e7 });
    assert!(load.running.values().sum::<f64>() <= 1e5 + 1e-6);
}

// Guards against NaN and negative values, which would spread into every aggregate.
#[test]
fn replaces_nan_and_negative_values_by_zero() {
    let load = &stored(local_load(f64::NAN, -5.0)).services[&auction()];
    assert_eq!(load.arrivals_per_s(), 0.0);
    assert_eq!(load.running[&north()], 0.0);
}

// Guards against reports with many invented priorities: only the eight most urgent are stored.
#[test]
fn stores_only_the_most_urgent_priorities() {
    let priorities = (0..100).map(|priority| (priority, PriorityLoad::default())).collect();
    let service = ServiceLoad { priorities, ..ServiceLoad::default() };
    let services = BTreeMap::from([(auction(), service)]);
    let load = stored(LocalLoad { services, ..LocalLoad::default() });
    let kept: Vec<u32> = load.services[&auction()].priorities.keys().copied().collect();
    assert_eq!(kept, (0..8).collect::<Vec<_>>());
}

// Guards against arrivals that are plausible for each priority but impossible in total.
#[test]
fn limits_total_arrivals_of_all_priorities() {
    let each = PriorityLoad { arrivals_per_s: 90_000.0, work_us: 1.0 };
    let priorities = BTreeMap::from([(0, each), (1, each)]);
    let service = ServiceLoad { priorities, ..ServiceLoad::default() };
    let services = BTreeMap::from([(auction(), service)]);
    let load = stored(LocalLoad { services, ..LocalLoad::default() });
    assert!(load.services[&auction()].arrivals_per_s() <= 1e5 + 1e-6);
}

// Guards against the account samples of one report outweighing all others.
#[test]
fn limits_account_samples_of_a_report() {
    let load = stored(LocalLoad {
        sampled_accounts: vec![1; 500],
        openings_per_sample: u32::MAX,
        ..LocalLoad::default()
    });
    assert_eq!(load.sampled_accounts.len(), 12);
    assert_eq!(load.openings_per_sample, 100_000);
}

// Guards against an aggregate that claims the load of billions of instances.
#[test]
fn limits_values_of_aggregates() {
    let mut table = table_of(2, at_ms(0));
    let mut implausible = aggregate(south(), 1, 1e18);
    implausible.instances = u32::MAX;
    assert!(table.apply_aggregate(at_ms(0), implausible, at_ms(0)));
    let stored = table.aggregates().next().unwrap().0;
    assert_eq!(stored.instances, 10_000);
    assert!(arrivals_of(stored) <= 1e9);
}

// Guards against memory that grows with invented instances and data centres.
#[test]
fn bounds_the_number_of_reports_and_aggregates() {
    let mut table = table_of(2, at_ms(0));
    for index in 1..10_000 {
        table.apply_report(at_ms(0), report(index, 1, 1.0), at_ms(0), ReportPace::Slow);
        let name = CentreName::new(&format!("made-up-{index}"));
        table.apply_aggregate(at_ms(0), aggregate(name, 1, 1.0), at_ms(0));
    }
    assert_eq!(table.reports().count(), 1 + 4096);
    assert_eq!(table.aggregates().count(), 64);
    assert!(table.apply_report(at_ms(1), report(1, 2, 1.0), at_ms(1), ReportPace::Slow));
}

// Guards against a timestamp in the future extending the validity of a report.
#[test]
fn treats_future_timestamps_as_now() {
    let mut table = table_of(2, at_ms(0));
    table.apply_report(at_ms(100), report(1, 1, 1.0), at_ms(900_000), ReportPace::Fast);
    table.apply_aggregate(at_ms(100), aggregate(south(), 1, 1.0), at_ms(900_000));
    table.remove_expired(at_ms(2100));
    assert_eq!((table.reports().count(), table.aggregates().count()), (1, 0));
}

// Guards against an implausibly high serial blocking the later aggregates of a data centre.
#[test]
fn accepts_lower_serial_after_implausible_one() {
    let mut table = table_of(2, at_ms(0));
    assert!(table.apply_aggregate(at_ms(0), aggregate(south(), 3_000_000_000, 1.0), at_ms(0)));
    assert!(table.apply_aggregate(at_ms(100), aggregate(south(), 5_000, 2.0), at_ms(100)));
}

// Guards against a division by zero while no load is known.
#[test]
fn builds_unreliable_view_of_empty_table() {
    let mut table = LoadTable::new(north());
    let view = table.build_view(at_ms(0));
    assert!(!view.is_reliable);
    assert!(view.centres[&north()].services.is_empty());
}
