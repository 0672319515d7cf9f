//! Conversion of load between memory and messages.
//!
//! Messages contain hashes of service names, and arrival rates in thousandths per second. Services
//! that don't fit into a message are left out, those with the least load first.

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

/// Maximum number of services read from one row; a message of an instance contains fewer.
const MAX_SERVICES: usize = 64;
/// Maximum number of remote data centres read from one service.
const MAX_CENTRES: usize = 64;
/// Maximum number of priorities of a service in a message: the limit on received values.
const MAX_PRIORITIES: usize = 8;
/// Maximum number of account hashes in one report.
const MAX_ACCOUNTS: usize = 12;
/// Size of one account hash in bytes.
const ACCOUNT_BYTES: usize = size_of::<u32>();
/// Maximum number of bytes by which a row grows with its age.
const MAX_AGE_BYTES: usize = 5;

/// Encodes a report with its current age, in at most `budget` bytes.
pub(crate) fn pack_report(
    now: ClockTime,
    report: &InstanceReport,
    reported_at: ClockTime,
    local_centre: &CentreName,
    budget: usize,
) -> InstanceReportRow {
    let accounts = report.load.sampled_accounts.iter().take(MAX_ACCOUNTS);
    let mut row = InstanceReportRow {
        ip: u32::from(*report.reporter.address.ip()),
        port: u32::from(report.reporter.address.port()),
        incarnation: report.reporter.incarnation,
        serial: report.serial,
        age_ms: age_ms(now, reported_at),
        services: Vec::new(),
        sampled_accounts: accounts.flat_map(|account| account.to_le_bytes()).collect(),
        openings_per_sample: report.load.openings_per_sample,
    };
    row.services = pack_services(&report.load.services, local_centre, budget, row.encoded_len());
    row
}

/// Decodes a report and the time at which it was made; none if the reporter's address is invalid.
pub(crate) fn unpack_report(
    now: ClockTime,
    row: &InstanceReportRow,
    local_centre: &CentreName,
) -> Option<(InstanceReport, ClockTime)> {
    let port = u16::try_from(row.port).ok().filter(|port| *port > 0)?;
    let address = SocketAddrV4::new(Ipv4Addr::from(row.ip), port);
    let chunks = row.sampled_accounts.chunks_exact(ACCOUNT_BYTES).take(MAX_ACCOUNTS);
    let accounts = chunks.filter_map(|chunk| Some(u32::from_le_bytes(chunk.try_into().ok()?)));
    let load = LocalLoad {
        services: unpack_services(&row.services, local_centre),
        sampled_accounts: accounts.collect(),
        openings_per_sample: row.openings_per_sample,
    };
    let reporter = ReporterId { address, incarnation: row.incarnation };
    let reported_at = now.before_millis(u64::from(row.age_ms));
    Some((InstanceReport { reporter, serial: row.serial, load }, reported_at))
}

/// Encodes an aggregate with its current age, in at most `budget` bytes.
pub(crate) fn pack_aggregate(
    now: ClockTime,
    aggregate: &CentreAggregate,
    reported_at: ClockTime,
    loaded_until: ClockTime,
    budget: usize,
) -> CentreAggregateRow {
    let mut row = CentreAggregateRow {
        data_centre: aggregate.data_centre.to_string(),
        serial: aggregate.serial,
        age_ms: age_ms(now, reported_at),
        instances: aggregate.instances,
        services: Vec::new(),
        loaded_ms: loaded_until.remaining_millis(now),
    };
    row.services =
        pack_services(&aggregate.services, &aggregate.data_centre, budget, row.encoded_len());
    row
}

/// Decodes an aggregate and the time at which it was made.
pub(crate) fn unpack_aggregate(
    now: ClockTime,
    row: &CentreAggregateRow,
) -> (CentreAggregate, ClockTime) {
    let data_centre = CentreName::new(&row.data_centre);
    let services = unpack_services(&row.services, &data_centre);
    let aggregate =
        CentreAggregate { data_centre, serial: row.serial, instances: row.instances, services };
    (aggregate, now.before_millis(u64::from(row.age_ms)))
}

/// Returns the encoded size of a field of `size` bytes, with its tag and length prefix.
pub(crate) fn field_bytes(size: usize) -> usize {
    1 + encoded_len_varint(size as u64) + size
}

/// Encodes the services in descending order of load, as many as fit into `budget` bytes of which
/// `used_bytes` are already used.
fn pack_services(
    services: &BTreeMap<ServiceKey, ServiceLoad>,
    local_centre: &CentreName,
    budget: usize,
    used_bytes: usize,
) -> Vec<ServiceLoadRow> {
    let rows = services.iter().map(|(key, load)| pack_service(*key, load, local_centre));
    let mut rows: Vec<_> = rows.filter(has_load).collect();
    rows.sort_by_key(|row| Reverse((total_running(row), total_arrivals(row))));
    let mut bytes = used_bytes + MAX_AGE_BYTES;
    let fits = |row: &ServiceLoadRow| {
        bytes += field_bytes(row.encoded_len());
        bytes <= budget
    };
    rows.into_iter().take_while(fits).collect()
}

fn pack_service(key: ServiceKey, load: &ServiceLoad, local_centre: &CentreName) -> ServiceLoadRow {
    let mut row = ServiceLoadRow { service_hash: key.0, ..ServiceLoadRow::default() };
    for (priority, load) in load.priorities.iter().take(MAX_PRIORITIES) {
        row.arrivals.extend([*priority, round_to_u32(load.arrivals_per_s * 1e3)]);
        if load.work_us > 0.0 {
            row.work_us.extend([*priority, round_to_u32(load.work_us)]);
        }
    }
    for (centre, running) in &load.running {
        match round_to_u32(*running) {
            0 => {}
            running if centre == local_centre => row.running = running,
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
    local_centre: &CentreName,
) -> BTreeMap<ServiceKey, ServiceLoad> {
    let rows = rows.iter().take(MAX_SERVICES);
    rows.map(|row| (ServiceKey(row.service_hash), unpack_service(row, local_centre))).collect()
}

fn unpack_service(row: &ServiceLoadRow, local_centre: &CentreName) -> ServiceLoad {
    let mut load = ServiceLoad::default();
    for (priority, arrivals) in pairs(&row.arrivals) {
        let priority_load: &mut PriorityLoad = load.priorities.entry(priority).or_default();
        priority_load.arrivals_per_s = f64::from(arrivals) / 1e3;
    }
    for (priority, work_us) in pairs(&row.work_us) {
        if let Some(priority_load) = load.priorities.get_mut(&priority) {
            priority_load.work_us = f64::from(work_us);
        }
    }
    for remote in row.remote_running.iter().take(MAX_CENTRES) {
        load.running.insert(CentreName::new(&remote.data_centre), f64::from(remote.running));
    }
    if row.running > 0 {
        load.running.insert(local_centre.clone(), f64::from(row.running));
    }
    load
}

fn pairs(values: &[u32]) -> impl Iterator<Item = (u32, u32)> {
    values.chunks_exact(2).map(|pair| (pair[0], pair[1]))
}

fn has_load(row: &ServiceLoadRow) -> bool {
    total_running(row) > 0 || total_arrivals(row) > 0
}

fn total_running(row: &ServiceLoadRow) -> u64 {
    let remote = row.remote_running.iter().map(|remote| u64::from(remote.running));
    u64::from(row.running) + remote.sum::<u64>()
}

fn total_arrivals(row: &ServiceLoadRow) -> u64 {
    pairs(&row.arrivals).map(|(_, arrivals)| u64::from(arrivals)).sum()
}

/// Rounds to the nearest integer; values out of range become the nearest bound.
fn round_to_u32(value: f64) -> u32 {
    value.round() as u32
}
