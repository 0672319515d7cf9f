//! Received values beyond what is possible.

mod common;

use std::collections::BTreeMap;

use common::{arrivals_of, at_ms, auction, north, own_load, part, south, sum, table_of, teller};
use foxledge_core::names::CentreName;
use foxledge_load::{InstanceReport, LoadTable, LocalLoad, PriorityLoad, ReportPace, ServiceLoad};

fn taken(load: LocalLoad) -> LocalLoad {
    let mut table = table_of(2, at_ms(0));
    let part = InstanceReport { reporter: teller(1, 1), serial: 1, load };
    assert!(table.apply_report(at_ms(0), part, at_ms(0), ReportPace::Fast));
    table.reports().nth(1).unwrap().0.load.clone()
}

// Guards against a teller whose numbers are impossible making a whole fleet refuse or overflow.
#[test]
fn values_are_limited() {
    let absurd = ServiceLoad {
        priorities: BTreeMap::from([(0, PriorityLoad { arrivals_per_s: 1e18, work_us: 1e18 })]),
        running: BTreeMap::from([(north(), f64::INFINITY), (south(), 1e12)]),
    };
    let services = BTreeMap::from([(auction(), absurd)]);
    let load = &taken(LocalLoad { services, ..LocalLoad::default() }).services[&auction()];
    assert_eq!(load.priorities[&0], PriorityLoad { arrivals_per_s: 1e5, work_us: 6e7 });
    assert!(load.running.values().sum::<f64>() <= 1e5 + 1e-6);
}

// Guards against NaN and negative values, which would spread into every sum.
#[test]
fn senseless_values_are_zero() {
    let load = &taken(own_load(f64::NAN, -5.0)).services[&auction()];
    assert_eq!(load.arrivals_per_s(), 0.0);
    assert_eq!(load.running[&north()], 0.0);
}

// Guards against many made-up priorities: the most urgent eight are kept.
#[test]
fn priorities_are_limited() {
    let priorities = (0..100).map(|priority| (priority, PriorityLoad::default())).collect();
    let service = ServiceLoad { priorities, ..ServiceLoad::default() };
    let services = BTreeMap::from([(auction(), service)]);
    let load = taken(LocalLoad { services, ..LocalLoad::default() });
    let kept: Vec<u32> = load.services[&auction()].priorities.keys().copied().collect();
    assert_eq!(kept, (0..8).collect::<Vec<_>>());
}

// Guards against arrivals that are possible by priority and impossible together.
#[test]
fn totals_are_limited() {
    let each = PriorityLoad { arrivals_per_s: 90_000.0, work_us: 1.0 };
    let priorities = BTreeMap::from([(0, each), (1, each)]);
    let service = ServiceLoad { priorities, ..ServiceLoad::default() };
    let services = BTreeMap::from([(auction(), service)]);
    let load = taken(LocalLoad { services, ..LocalLoad::default() });
    assert!(load.services[&auction()].arrivals_per_s() <= 1e5 + 1e-6);
}

// Guards against account samples that outweigh all others.
#[test]
fn accounts_are_limited() {
    let load = taken(LocalLoad {
        sampled_accounts: vec![1; 500],
        openings_per_sample: u32::MAX,
        ..LocalLoad::default()
    });
    assert_eq!(load.sampled_accounts.len(), 12);
    assert_eq!(load.openings_per_sample, 100_000);
}

// Guards against a sum that claims the load of billions of instances.
#[test]
fn sums_are_limited() {
    let mut table = table_of(2, at_ms(0));
    let mut absurd = sum(south(), 1, 1e18);
    absurd.instances = u32::MAX;
    assert!(table.apply_aggregate(at_ms(0), absurd, at_ms(0)));
    let taken = table.aggregates().next().unwrap().0;
    assert_eq!(taken.instances, 10_000);
    assert!(arrivals_of(taken) <= 1e9);
}

// Guards against memory that grows with made-up tellers and data centres.
#[test]
fn table_is_bounded() {
    let mut table = table_of(2, at_ms(0));
    for index in 1..10_000 {
        table.apply_report(at_ms(0), part(index, 1, 1.0), at_ms(0), ReportPace::Slow);
        let name = CentreName::new(&format!("made-up-{index}"));
        table.apply_aggregate(at_ms(0), sum(name, 1, 1.0), at_ms(0));
    }
    assert_eq!(table.reports().count(), 1 + 4096);
    assert_eq!(table.aggregates().count(), 64);
    assert!(table.apply_report(at_ms(1), part(1, 2, 1.0), at_ms(1), ReportPace::Slow));
}

// Guards against a time ahead of the clock prolonging a part's life.
#[test]
fn times_ahead_are_now() {
    let mut table = table_of(2, at_ms(0));
    table.apply_report(at_ms(100), part(1, 1, 1.0), at_ms(900_000), ReportPace::Fast);
    table.apply_aggregate(at_ms(100), sum(south(), 1, 1.0), at_ms(900_000));
    table.remove_expired(at_ms(2100));
    assert_eq!((table.reports().count(), table.aggregates().count()), (1, 0));
}

// Guards against an absurd serial shutting out a data centre's later sums.
#[test]
fn serial_ahead_blocks_nothing() {
    let mut table = table_of(2, at_ms(0));
    assert!(table.apply_aggregate(at_ms(0), sum(south(), 3_000_000_000, 1.0), at_ms(0)));
    assert!(table.apply_aggregate(at_ms(100), sum(south(), 5_000, 2.0), at_ms(100)));
}

// Guards against a division by zero where nothing is known.
#[test]
fn empty_table_has_a_view() {
    let mut table = LoadTable::new(north());
    let view = table.build_view(at_ms(0));
    assert!(!view.is_reliable);
    assert!(view.centres[&north()].services.is_empty());
}
