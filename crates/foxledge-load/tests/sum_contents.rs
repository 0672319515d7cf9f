//! What sums and views make of parts.

mod common;

use std::collections::BTreeMap;

use common::{assert_near, at_ms, auction, north, part, south, sum, table_of, teller};
use foxledge_load::{InstanceReport, LocalLoad, PriorityLoad, ReportPace, ServiceKey, ServiceLoad};

fn part_with(index: u32, key: ServiceKey, load: ServiceLoad) -> InstanceReport {
    let services = BTreeMap::from([(key, load)]);
    let load = LocalLoad { services, ..LocalLoad::default() };
    InstanceReport { reporter: teller(index, 1), serial: 1, load }
}

// Guards against a service that few instances see being multiplied as if all saw it.
#[test]
fn missing_service_counts_zero() {
    let mut table = table_of(3, at_ms(0));
    let rare = ServiceKey::of("rare");
    let load = common::service_load(30.0, 3.0);
    table.apply_report(at_ms(0), part_with(1, rare, load), at_ms(0), ReportPace::Fast);
    table.apply_report(at_ms(0), part(2, 1, 10.0), at_ms(0), ReportPace::Fast);
    let sum = table.local_aggregate(at_ms(0));
    assert_near(sum.services[&rare].arrivals_per_s(), 30.0);
    assert_near(sum.services[&auction()].arrivals_per_s(), 20.0);
}

// Guards against the work time of idle or new instances distorting the mean.
#[test]
fn work_is_weighted() {
    let mut table = table_of(3, at_ms(0));
    let load = |arrivals_per_s, work_us| ServiceLoad {
        priorities: BTreeMap::from([(1, PriorityLoad { arrivals_per_s, work_us })]),
        ..ServiceLoad::default()
    };
    let slow = part_with(1, auction(), load(30.0, 100_000.0));
    let new = part_with(2, auction(), load(500.0, 0.0));
    table.apply_report(at_ms(0), slow, at_ms(0), ReportPace::Fast);
    table.apply_report(at_ms(0), new, at_ms(0), ReportPace::Fast);
    let sum = table.local_aggregate(at_ms(0));
    assert_near(sum.services[&auction()].priorities[&1].work_us, 90_000.0);
}

// Guards against a priority without a known work time needing no slots.
#[test]
fn unknown_work_takes_mean() {
    let known = PriorityLoad { arrivals_per_s: 10.0, work_us: 100_000.0 };
    let unknown = PriorityLoad { arrivals_per_s: 20.0, work_us: 0.0 };
    let priorities = BTreeMap::from([(0, known), (1, unknown)]);
    let load = ServiceLoad { priorities, ..ServiceLoad::default() };
    assert_near(load.demand(), 3.0);
    assert_near(load.work_us(), 100_000.0);
    assert_eq!(ServiceLoad::default().demand(), 0.0);
}

// Guards against counting what runs in a data centre by its own callers alone.
#[test]
fn running_counts_all_callers() {
    let mut table = table_of(1, at_ms(0));
    table.apply_aggregate(at_ms(0), sum(south(), 1, 300.0), at_ms(0));
    let view = table.build_view(at_ms(0));
    assert_near(view.running_requests_in(auction(), &north()), 11.0);
    assert_near(view.demand_of(auction(), &south()), 18.0);
    assert_eq!(view.running_requests_in(auction(), &south()), 0.0);
}

// Guards against an evacuated data centre, which the list gives no slots, getting room.
#[test]
fn rooms_name_unlisted_centres() {
    let mut table = table_of(1, at_ms(0));
    table.apply_aggregate(at_ms(0), sum(south(), 1, 300.0), at_ms(0));
    let rooms = table.build_view(at_ms(0)).centre_capacities(auction(), &[(north(), 8.0)].into());
    let slots: Vec<f64> = rooms.iter().map(|room| room.slots).collect();
    assert_eq!(slots, [8.0, 0.0]);
}
