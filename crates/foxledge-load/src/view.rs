//! The load of all data centres, as it is known at one moment.

use std::collections::BTreeMap;

use foxledge_core::{names::CentreName, time::ClockTime};

use crate::{
    overflow::CentreCapacity,
    own::{ServiceKey, ServiceLoad},
};

/// `ServiceView` is the load of one service by the callers of one data centre.
pub type ServiceView = ServiceLoad;

/// `CentreView` is the load of one data centre's callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CentreView {
    /// When the newest of what it rests on was told.
    pub reported_at: ClockTime,
    /// Instances in it.
    pub instances: u32,
    /// Parts that the sum rests on; 0 for a sum that was told by another data centre.
    pub report_count: u32,
    /// By service.
    pub services: BTreeMap<ServiceKey, ServiceView>,
}

/// `LoadView` is the load of all data centres that were heard of, at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadView {
    /// When it was made.
    pub created_at: ClockTime,
    /// True when enough parts of the own data centre were heard of lately to go by.
    pub is_reliable: bool,
    /// By data centre, the own one included; those whose sum has lapsed are left out.
    pub centres: BTreeMap<CentreName, CentreView>,
    /// Other data centres that are alive by membership and whose sum isn't known.
    pub unreported_centres: Vec<CentreName>,
    /// Samples of client accounts told since the view before: hash and the openings that each
    /// stands for.
    pub account_samples: Vec<(u32, u32)>,
    /// Shared clock of the order of return, in milliseconds.
    pub fleet_clock_ms: u32,
}

impl LoadView {
    /// Requests of a service that run in a data centre, by callers of all that were heard of.
    pub fn running_requests_in(&self, service: ServiceKey, data_centre: &CentreName) -> f64 {
        self.centres
            .values()
            .filter_map(|centre| centre.services.get(&service)?.running.get(data_centre))
            .sum()
    }

    /// Slots that the requests of a service's callers in a data centre need.
    pub fn demand_of(&self, service: ServiceKey, data_centre: &CentreName) -> f64 {
        let centre = self.centres.get(data_centre);
        centre.and_then(|centre| centre.services.get(&service)).map_or(0.0, ServiceLoad::demand)
    }

    /// The rooms of the data centres that were heard of; one that `slots` doesn't name has none.
    pub fn centre_capacities(
        &self,
        service: ServiceKey,
        slots: &BTreeMap<CentreName, f64>,
    ) -> Vec<CentreCapacity> {
        self.centres
            .keys()
            .map(|centre| CentreCapacity {
                data_centre: centre.clone(),
                slots: slots.get(centre).copied().unwrap_or_default(),
                demand: self.demand_of(service, centre),
            })
            .collect()
    }
}
