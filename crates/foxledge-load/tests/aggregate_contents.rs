//! How reports are combined into aggregates and views.

mod common;

use std::collections::BTreeMap;

use common::{aggregate, assert_near, at_ms, auction, north, report, reporter, south, table_of};
use foxledge_load::{InstanceReport, LocalLoad, PriorityLoad, ReportPace, ServiceKey, ServiceLoad};

fn report_with(index: u32, key: ServiceKey, load: ServiceLoad) -> InstanceReport {
    let services = BTreeMap::from([(key, load)]);
    let load = LocalLoad { services, ..LocalLoad::default() };
    InstanceReport { reporter: reporter(index, 1), serial: 1, load }
}

// Guards against extrapolating a service that few instances see as if all of them saw it.
#[test]
fn counts_missing_service_as_zero() {
    let mut table = table_of(3, at_ms(0));
    let rare = ServiceKey::from_name("rare");
    let load = common::service_load(30.0, 3.0);
    table.apply_report(at_ms(0), report_with(1, rare, load), at_ms(0), ReportPace::Fast);
    table.apply_report(at_ms(0), report(2, 1, 10.0), at_ms(0), ReportPace::Fast);
    let aggregate = table.local_aggregate(at_ms(0));
    assert_near(aggregate.services[&rare].arrivals_per_s(), 30.0);
    assert_near(aggregate.services[&auction()].arrivals_per_s(), 20.0);
}

// Guards against idle or new instances distorting the mean work time.
#[test]
fn weights_work_time_by_arrivals() {
    let mut table = table_of(3, at_ms(0));
    let load = |arrivals_per_s, work_us| ServiceLoad {
        priorities: BTreeMap::from([(1, PriorityLoad { arrivals_per_s, work_us })]),
        ..ServiceLoad::default()
    };
    let slow = report_with(1, auction(), load(30.0, 100_000.0));
    let new = report_with(2, auction(), load(500.0, 0.0));
    table.apply_report(at_ms(0), slow, at_ms(0), ReportPace::Fast);
    table.apply_report(at_ms(0), new, at_ms(0), ReportPace::Fast);
    let aggregate = table.local_aggregate(at_ms(0));
    assert_near(aggregate.services[&auction()].priorities[&1].work_us, 90_000.0);
}

// Guards against a priority with an unknown work time counting as no demand.
#[test]
fn uses_mean_for_unknown_work_time() {
    let known = PriorityLoad { arrivals_per_s: 10.0, work_us: 100_000.0 };
    let unknown = PriorityLoad { arrivals_per_s: 20.0, work_us: 0.0 };
    let priorities = BTreeMap::from([(0, known), (1, unknown)]);
    let load = ServiceLoad { priorities, ..ServiceLoad::default() };
    assert_near(load.demand(), 3.0);
    assert_near(load.work_us(), 100_000.0);
    assert_eq!(ServiceLoad::default().demand(), 0.0);
}

// Guards against counting only the requests of its own callers as running in a data centre.
#[test]
fn counts_running_requests_of_all_callers() {
    let mut table = table_of(1, at_ms(0));
    table.apply_aggregate(at_ms(0), aggregate(south(), 1, 300.0), at_ms(0));
    let view = table.build_view(at_ms(0));
    assert_near(view.running_requests_in(auction(), &north()), 11.0);
    assert_near(view.demand_of(auction(), &south()), 18.0);
    assert_eq!(view.running_requests_in(auction(), &south()), 0.0);
}

// Guards against spare capacity of an evacuated data centre, for which the list names no slots.
#[test]
fn gives_unlisted_centre_no_slots() {
    let mut table = table_of(1, at_ms(0));
    table.apply_aggregate(at_ms(0), aggregate(south(), 1, 300.0), at_ms(0));
    let capacities =
        table.build_view(at_ms(0)).centre_capacities(auction(), &[(north(), 8.0)].into());
    let slots: Vec<f64> = capacities.iter().map(|capacity| capacity.slots).collect();
    assert_eq!(slots, [8.0, 0.0]);
}
