//! Load as it travels.
//!
//! Names of services travel as hashes, rates as thousandths a second. What doesn't fit into a
//! message is left out, the least load first.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_load::{
    CentreAggregate, InstanceReport, LocalLoad, PriorityLoad, ReporterId, ServiceKey, ServiceLoad,
};
use prost::{Message, encoding::encoded_len_varint};

use crate::{
    dissemination::age_ms,
    messages::{CentreAggregateRow, InstanceReportRow, RemoteRunningRow, ServiceLoadRow},
};

/// Services taken of one row, more than a message of an instance holds.
const MOST_SERVICES: usize = 64;
/// Other data centres taken of one service.
const MOST_CENTRES: usize = 64;
/// Priorities of a service that are told: the limit of received values.
const MOST_PRIORITIES: usize = 8;
/// Account hashes of one part.
const MOST_ACCOUNTS: usize = 12;
/// Bytes of one account hash.
const ACCOUNT_BYTES: usize = size_of::<u32>();
/// Most bytes that a row's age takes beyond those of a row that was just made.
const AGE_BYTES: usize = 5;

/// A part as it is told now, in `budget` bytes at most.
pub(crate) fn pack_part(
    now: ClockTime,
    part: &InstanceReport,
    told_at: ClockTime,
    near: &CentreName,
    budget: usize,
) -> InstanceReportRow {
    let accounts = part.load.sampled_accounts.iter().take(MOST_ACCOUNTS);
    let mut row = InstanceReportRow {
        ip: u32::from(*part.reporter.address.ip()),
        port: u32::from(part.reporter.address.port()),
        incarnation: part.reporter.incarnation,
        serial: part.serial,
        age_ms: age_ms(now, told_at),
        services: Vec::new(),
        sampled_accounts: accounts.flat_map(|account| account.to_le_bytes()).collect(),
        openings_per_sample: part.load.openings_per_sample,
    };
    row.services = pack_services(&part.load.services, near, budget, row.encoded_len());
    row
}

/// A part that was told, and when; none when its teller has no address.
pub(crate) fn unpack_part(
    now: ClockTime,
    row: &InstanceReportRow,
    near: &CentreName,
) -> Option<(InstanceReport, ClockTime)> {
    let port = u16::try_from(row.port).ok().filter(|port| *port > 0)?;
    let address = SocketAddrV4::new(Ipv4Addr::from(row.ip), port);
    let words = row.sampled_accounts.chunks_exact(ACCOUNT_BYTES).take(MOST_ACCOUNTS);
    let accounts = words.filter_map(|word| Some(u32::from_le_bytes(word.try_into().ok()?)));
    let load = LocalLoad {
        services: unpack_services(&row.services, near),
        sampled_accounts: accounts.collect(),
        openings_per_sample: row.openings_per_sample,
    };
    let teller = ReporterId { address, incarnation: row.incarnation };
    let told_at = now.before_millis(u64::from(row.age_ms));
    Some((InstanceReport { reporter: teller, serial: row.serial, load }, told_at))
}

/// A sum as it is told now, in `budget` bytes at most.
pub(crate) fn pack_sum(
    now: ClockTime,
    sum: &CentreAggregate,
    told_at: ClockTime,
    pressed_until: ClockTime,
    budget: usize,
) -> CentreAggregateRow {
    let mut row = CentreAggregateRow {
        data_centre: sum.data_centre.to_string(),
        serial: sum.serial,
        age_ms: age_ms(now, told_at),
        instances: sum.instances,
        services: Vec::new(),
        loaded_ms: pressed_until.remaining_millis(now),
    };
    row.services = pack_services(&sum.services, &sum.data_centre, budget, row.encoded_len());
    row
}

/// A sum that was told, and when.
pub(crate) fn unpack_sum(now: ClockTime, row: &CentreAggregateRow) -> (CentreAggregate, ClockTime) {
    let data_centre = CentreName::new(&row.data_centre);
    let services = unpack_services(&row.services, &data_centre);
    let sum =
        CentreAggregate { data_centre, serial: row.serial, instances: row.instances, services };
    (sum, now.before_millis(u64::from(row.age_ms)))
}

/// Bytes of a field of this length with its tag and length in front.
pub(crate) fn framed(size: usize) -> usize {
    1 + encoded_len_varint(size as u64) + size
}

/// The services with the most load first, as many as fit beside `taken` bytes.
fn pack_services(
    services: &BTreeMap<ServiceKey, ServiceLoad>,
    near: &CentreName,
    budget: usize,
    taken: usize,
) -> Vec<ServiceLoadRow> {
    let rows = services.iter().map(|(key, load)| pack_service(*key, load, near));
    let mut rows: Vec<_> = rows.filter(has_load).collect();
    rows.sort_by_key(|row| Reverse((running_of(row), arrivals_of(row))));
    let mut bytes = taken + AGE_BYTES;
    let fits = |row: &ServiceLoadRow| {
        bytes += framed(row.encoded_len());
        bytes <= budget
    };
    rows.into_iter().take_while(fits).collect()
}

fn pack_service(key: ServiceKey, load: &ServiceLoad, near: &CentreName) -> ServiceLoadRow {
    let mut row = ServiceLoadRow { service_hash: key.0, ..ServiceLoadRow::default() };
    for (priority, load) in load.priorities.iter().take(MOST_PRIORITIES) {
        row.arrivals.extend([*priority, whole(load.arrivals_per_s * 1e3)]);
        if load.work_us > 0.0 {
            row.work_us.extend([*priority, whole(load.work_us)]);
        }
    }
    for (centre, running) in &load.running {
        match whole(*running) {
            0 => {}
            running if centre == near => row.running = running,
            running => {
                let data_centre = centre.to_string();
                row.remote_running.push(RemoteRunningRow { data_centre, running });
            }
        }
    }
    row
}

fn unpack_services(
    rows: &[ServiceLoadRow],
    near: &CentreName,
) -> BTreeMap<ServiceKey, ServiceLoad> {
    let rows = rows.iter().take(MOST_SERVICES);
    rows.map(|row| (ServiceKey(row.service_hash), unpack_service(row, near))).collect()
}

fn unpack_service(row: &ServiceLoadRow, near: &CentreName) -> ServiceLoad {
    let mut load = ServiceLoad::default();
    for (priority, arrivals) in pairs(&row.arrivals) {
        let one: &mut PriorityLoad = load.priorities.entry(priority).or_default();
        one.arrivals_per_s = f64::from(arrivals) / 1e3;
    }
    for (priority, work_us) in pairs(&row.work_us) {
        if let Some(one) = load.priorities.get_mut(&priority) {
            one.work_us = f64::from(work_us);
        }
    }
    for far in row.remote_running.iter().take(MOST_CENTRES) {
        load.running.insert(CentreName::new(&far.data_centre), f64::from(far.running));
    }
    if row.running > 0 {
        load.running.insert(near.clone(), f64::from(row.running));
    }
    load
}

fn pairs(words: &[u32]) -> impl Iterator<Item = (u32, u32)> {
    words.chunks_exact(2).map(|pair| (pair[0], pair[1]))
}

fn has_load(row: &ServiceLoadRow) -> bool {
    running_of(row) > 0 || arrivals_of(row) > 0
}

fn running_of(row: &ServiceLoadRow) -> u64 {
    let far = row.remote_running.iter().map(|far| u64::from(far.running));
    u64::from(row.running) + far.sum::<u64>()
}

fn arrivals_of(row: &ServiceLoadRow) -> u64 {
    pairs(&row.arrivals).map(|(_, arrivals)| u64::from(arrivals)).sum()
}

/// The nearest whole number; what is out of range becomes the nearest bound.
fn whole(value: f64) -> u32 {
    value.round() as u32
}
