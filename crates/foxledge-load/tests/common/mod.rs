//! Loads and tables that the tests share.
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
    ServiceKey::of("auction")
}

/// Instance `index` of the own data centre, at its start `incarnation`.
pub fn teller(index: u32, incarnation: u32) -> ReporterId {
    let ip = Ipv4Addr::from(0x0a00_0000 + index);
    ReporterId { address: SocketAddrV4::new(ip, 7000), incarnation }
}

/// Requests of priority 1 with 60 ms of work, running in the north.
pub fn service_load(arrivals_per_s: f64, running: f64) -> ServiceLoad {
    ServiceLoad {
        priorities: BTreeMap::from([(1, PriorityLoad { arrivals_per_s, work_us: 60_000.0 })]),
        running: BTreeMap::from([(north(), running)]),
    }
}

pub fn own_load(arrivals_per_s: f64, running: f64) -> LocalLoad {
    let services = BTreeMap::from([(auction(), service_load(arrivals_per_s, running))]);
    LocalLoad { services, ..LocalLoad::default() }
}

pub fn part(index: u32, serial: u32, arrivals_per_s: f64) -> InstanceReport {
    InstanceReport { reporter: teller(index, 1), serial, load: own_load(arrivals_per_s, 1.0) }
}

pub fn sum(data_centre: CentreName, serial: u32, arrivals_per_s: f64) -> CentreAggregate {
    let services = BTreeMap::from([(auction(), service_load(arrivals_per_s, 10.0))]);
    CentreAggregate { data_centre, serial, instances: 19, services }
}

/// A table of instance 0 in the north, whose own load is 10 arrivals a second.
pub fn table_of(instances: u32, now: ClockTime) -> LoadTable {
    let mut table = LoadTable::new(north());
    table.set_instances(instances);
    table.set_local_load(now, teller(0, 1), own_load(10.0, 1.0));
    table
}

/// Takes a part of each instance from 1 on, all with these arrivals.
pub fn take_all(table: &mut LoadTable, now: ClockTime, count: u32, serial: u32, arrivals: f64) {
    for index in 1..=count {
        table.apply_report(now, part(index, serial, arrivals), now, ReportPace::Fast);
    }
}

pub fn arrivals_of(sum: &CentreAggregate) -> f64 {
    sum.services.get(&auction()).map_or(0.0, ServiceLoad::arrivals_per_s)
}

pub fn assert_near(value: f64, wanted: f64) {
    assert!((value - wanted).abs() <= 1e-6 * wanted.abs().max(1.0), "{value} for {wanted}");
}
