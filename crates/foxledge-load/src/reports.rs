//! Load as reported by one instance and aggregated for one data centre.

use std::{collections::BTreeMap, net::SocketAddrV4};

use foxledge_core::names::CentreName;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// A service in messages: the low 32 bits of the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ServiceKey(pub u32);

impl ServiceKey {
    /// Returns the key of the service with this name.
    pub fn from_name(service: &str) -> ServiceKey {
        ServiceKey(xxh3_64(service.as_bytes()) as u32)
    }
}

/// The load of one service by requests of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PriorityLoad {
    /// Requests started per second, including openings refused for lack of capacity.
    pub arrivals_per_s: f64,
    /// Mean time from a request to its response without queueing, in microseconds; 0 if unknown.
    pub work_us: f64,
}

/// The load of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// Load by priority; 0 is the highest.
    pub priorities: BTreeMap<u32, PriorityLoad>,
    /// Forwarded requests without a response, including openings in progress, by the data centre
    /// that serves them.
    pub running: BTreeMap<CentreName, f64>,
}

impl ServiceLoad {
    /// Returns the requests started per second, including openings refused for lack of capacity.
    pub fn arrivals_per_s(&self) -> f64 {
        self.priorities.values().map(|load| load.arrivals_per_s).sum()
    }

    /// Returns the mean work time weighted by arrivals, in microseconds; 0 if unknown.
    pub fn work_us(&self) -> f64 {
        let known = || self.priorities.values().filter(|load| load.work_us > 0.0);
        let arrivals: f64 = known().map(|load| load.arrivals_per_s).sum();
        if arrivals > 0.0 {
            return known().map(|load| load.arrivals_per_s * load.work_us).sum::<f64>() / arrivals;
        }
        known().map(|load| load.work_us).sum::<f64>() / known().count().max(1) as f64
    }

    /// Returns the slots that the requests need: arrivals multiplied by work time. A priority with
    /// an unknown work time is counted with the mean of the others.
    pub fn demand(&self) -> f64 {
        let mean_us = self.work_us();
        let slots = |load: &PriorityLoad| {
            let work_us = if load.work_us > 0.0 { load.work_us } else { mean_us };
            load.arrivals_per_s * work_us / 1e6
        };
        self.priorities.values().map(slots).sum()
    }
}

/// The load of all services as measured by one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalLoad {
    /// Services with running or arriving requests.
    pub services: BTreeMap<ServiceKey, ServiceLoad>,
    /// Hashes of the client accounts of sampled openings.
    pub sampled_accounts: Vec<u32>,
    /// The number of openings that each sample stands for; 0 if there are no samples.
    pub openings_per_sample: u32,
}

/// Identifies one process start of a reporting instance, as its report numbers begin anew after a
/// restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReporterId {
    /// The address on which the instance receives messages of other instances.
    pub address: SocketAddrV4,
    /// The low 32 bits of the incarnation of the instance's process.
    pub incarnation: u32,
}

/// The load report of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceReport {
    /// The instance that reports.
    pub reporter: ReporterId,
    /// Sequence number of the report at this reporter.
    pub serial: u32,
    /// The measured load.
    pub load: LocalLoad,
}

/// The load of all callers of one data centre, as aggregated by one of its instances.
#[derive(Clone, Debug, PartialEq)]
pub struct CentreAggregate {
    /// The data centre.
    pub data_centre: CentreName,
    /// The fleet clock when the aggregate was computed, so that aggregates of different instances
    /// are ordered and an older one never replaces a newer one.
    pub serial: u32,
    /// The number of instances in the data centre.
    pub instances: u32,
    /// Load by service.
    pub services: BTreeMap<ServiceKey, ServiceLoad>,
}
