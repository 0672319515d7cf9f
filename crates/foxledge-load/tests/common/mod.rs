//! Loads, reports and tables shared by the tests.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_load::{
    CentreAggregate, InstanceReport, LoadTable, LocalLoad, PriorityLoad, ReportPace, ReporterId,
    ServiceKey, ServiceLoad,
};

pub fn at_ms(millis: u64) -> ClockTime {
    ClockTime::ZERO.after_millis(millis)
}

pub fn north() -> CentreName {
    CentreName::new("north")
}

pub fn south() -> CentreName {
    CentreName::new("south")
}

pub fn auction() -> ServiceKey {
    ServiceKey::from_name("auction")
}

/// Process start `incarnation` of instance `index` of the local data centre.
pub fn reporter(index: u32, incarnation: u32) -> ReporterId {
    let ip = Ipv4Addr::from(0x0a00_0000 + index);
    ReporterId { address: SocketAddrV4::new(ip, 7000), incarnation }
}

/// Requests of priority 1 with 60 ms of work each, running in the north.
pub fn service_load(arrivals_per_s: f64, running: f64) -> ServiceLoad {
    ServiceLoad {
        priorities: BTreeMap::from([(1, PriorityLoad { arrivals_per_s, work_us: 60_000.0 })]),
        running: BTreeMap::from([(north(), running)]),
    }
}

pub fn local_load(arrivals_per_s: f64, running: f64) -> LocalLoad {
    let services = BTreeMap::from([(auction(), service_load(arrivals_per_s, running))]);
    LocalLoad { services, ..LocalLoad::default() }
}

pub fn report(index: u32, serial: u32, arrivals_per_s: f64) -> InstanceReport {
    InstanceReport { reporter: reporter(index, 1), serial, load: local_load(arrivals_per_s, 1.0) }
}

pub fn aggregate(data_centre: CentreName, serial: u32, arrivals_per_s: f64) -> CentreAggregate {
    let services = BTreeMap::from([(auction(), service_load(arrivals_per_s, 10.0))]);
    CentreAggregate { data_centre, serial, instances: 19, services }
}

/// The table of instance 0 in the north, with a local load of 10 arrivals per second.
pub fn table_of(instances: u32, now: ClockTime) -> LoadTable {
    let mut table = LoadTable::new(north());
    table.set_instances(instances);
    table.set_local_load(now, reporter(0, 1), local_load(10.0, 1.0));
    table
}

/// Applies one report with these arrivals from each of the instances 1 to `count`.
pub fn apply_all(table: &mut LoadTable, now: ClockTime, count: u32, serial: u32, arrivals: f64) {
    for index in 1..=count {
        table.apply_report(now, report(index, serial, arrivals), now, ReportPace::Fast);
    }
}

pub fn arrivals_of(aggregate: &CentreAggregate) -> f64 {
    aggregate.services.get(&auction()).map_or(0.0, ServiceLoad::arrivals_per_s)
}

pub fn assert_near(value: f64, expected: f64) {
    assert!((value - expected).abs() <= 1e-6 * expected.abs().max(1.0), "{value} for {expected}");
}
