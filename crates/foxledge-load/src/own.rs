//! What one instance, or one data centre, tells of its load.

use std::{collections::BTreeMap, net::SocketAddrV4};

use foxledge_core::names::CentreName;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// `ServiceKey` is a service's name as it travels: the low half of its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ServiceKey(pub u32);

impl ServiceKey {
    /// The key of a service's name.
    pub fn of(service: &str) -> ServiceKey {
        ServiceKey(xxh3_64(service.as_bytes()) as u32)
    }
}

/// `PriorityLoad` is the load of a service's requests of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PriorityLoad {
    /// Requests begun, and openings refused for want of room, a second.
    pub arrivals_per_s: f64,
    /// Mean time from a request to its answer without waiting, in microseconds; 0 when unknown.
    pub work_us: f64,
}

/// `ServiceLoad` is the load of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// By priority, 0 is the highest.
    pub priorities: BTreeMap<u32, PriorityLoad>,
    /// Requests sent on and unanswered, openings under way included, by the data centre that
    /// serves them.
    pub running: BTreeMap<CentreName, f64>,
}

impl ServiceLoad {
    /// Requests begun, and openings refused for want of room, a second.
    pub fn arrivals_per_s(&self) -> f64 {
        self.priorities.values().map(|load| load.arrivals_per_s).sum()
    }

    /// Mean work time weighted by arrivals, in microseconds; 0 when unknown.
    pub fn work_us(&self) -> f64 {
        let known = || self.priorities.values().filter(|load| load.work_us > 0.0);
        let arrivals: f64 = known().map(|load| load.arrivals_per_s).sum();
        if arrivals > 0.0 {
            return known().map(|load| load.arrivals_per_s * load.work_us).sum::<f64>() / arrivals;
        }
        known().map(|load| load.work_us).sum::<f64>() / known().count().max(1) as f64
    }

    /// Slots that the requests need: arrivals times work time. A priority whose work time is
    /// unknown counts with the mean of the others.
    pub fn demand(&self) -> f64 {
        let mean_us = self.work_us();
        let slots = |load: &PriorityLoad| {
            let work_us = if load.work_us > 0.0 { load.work_us } else { mean_us };
            load.arrivals_per_s * work_us / 1e6
        };
        self.priorities.values().map(slots).sum()
    }
}

/// `LocalLoad` is what an instance sees of each service's load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalLoad {
    /// Services with anything running or arriving.
    pub services: BTreeMap<ServiceKey, ServiceLoad>,
    /// Hashes of the client accounts of a sample of its openings.
    pub sampled_accounts: Vec<u32>,
    /// Openings of which one is in the sample; 0 when there is none.
    pub openings_per_sample: u32,
}

/// `ReporterId` is one start of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReporterId {
    /// Where it takes messages.
    pub address: SocketAddrV4,
    /// Low half of the number of its start.
    pub incarnation: u32,
}

/// `InstanceReport` is the load that one instance told.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceReport {
    /// Who told it.
    pub reporter: ReporterId,
    /// Counts the teller's parts.
    pub serial: u32,
    /// What it sees.
    pub load: LocalLoad,
}

/// `CentreAggregate` is the load of all callers of one data centre, as an instance of it reckons it.
#[derive(Clone, Debug, PartialEq)]
pub struct CentreAggregate {
    /// The data centre.
    pub data_centre: CentreName,
    /// Rises with time at each teller, so that an older sum replaces no newer one.
    pub serial: u32,
    /// Instances in it.
    pub instances: u32,
    /// By service.
    pub services: BTreeMap<ServiceKey, ServiceLoad>,
}
