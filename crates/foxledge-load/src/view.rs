//! The known load of all data centres at one moment.

use std::collections::BTreeMap;

use foxledge_core::{names::CentreName, time::ClockTime};

use crate::{
    overflow::CentreCapacity,
    reports::{ServiceKey, ServiceLoad},
};

/// The load of one service that the callers of one data centre cause.
pub type ServiceView = ServiceLoad;

/// The load that the callers of one data centre cause, in all data centres.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CentreView {
    /// When the newest underlying report was sent. For the local data centre this is the newest
    /// report of another instance, if there is one.
    pub reported_at: ClockTime,
    /// The number of instances in the data centre.
    pub instances: u32,
    /// The number of reports that the load is based on; 0 for an aggregate received from another
    /// data centre.
    pub report_count: u32,
    /// Load by service.
    pub services: BTreeMap<ServiceKey, ServiceView>,
}

/// The load of all data centres with known load at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadView {
    /// When the view was built.
    pub created_at: ClockTime,
    /// `true` if enough instances of the local data centre reported recently to rely on the view.
    pub is_reliable: bool,
    /// Load by data centre, including the local one; data centres with an expired aggregate are
    /// omitted.
    pub centres: BTreeMap<CentreName, CentreView>,
    /// Other data centres that membership reports as alive but whose load is unknown.
    pub unreported_centres: Vec<CentreName>,
    /// Client account samples received since the previous view: the hash, and the openings that the
    /// sample stands for.
    pub account_samples: Vec<(u32, u32)>,
    /// The reading of the clock shared by all instances, which positions the readmission window, in
    /// milliseconds.
    pub fleet_clock_ms: u32,
}

impl LoadView {
    /// Returns the requests of a service that run in `data_centre`, by callers of all data centres
    /// with known load.
    pub fn running_requests_in(&self, service: ServiceKey, data_centre: &CentreName) -> f64 {
        self.centres
            .values()
            .filter_map(|centre| centre.services.get(&service)?.running.get(data_centre))
            .sum()
    }

    /// Returns the slots that the requests from callers in `data_centre` to a service need,
    /// wherever they are served.
    pub fn demand_of(&self, service: ServiceKey, data_centre: &CentreName) -> f64 {
        let centre = self.centres.get(data_centre);
        centre.and_then(|centre| centre.services.get(&service)).map_or(0.0, ServiceLoad::demand)
    }

    /// Returns the slots and the demand of each data centre with known load. A data centre that is
    /// missing from `slots` has no slots.
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
