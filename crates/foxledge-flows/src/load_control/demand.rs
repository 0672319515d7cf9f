//! Slots that the requests of a service need.

use std::collections::BTreeMap;

use foxledge_core::names::CentreName;
use foxledge_load::{CentreView, LoadView, PriorityLoad, ServiceKey, ServiceLoad};

/// Load of one service in a view, by the data centre of its callers.
pub(crate) struct ServiceDemand<'a> {
    centres: BTreeMap<&'a CentreName, &'a ServiceLoad>,
    /// Arrivals and mean work time by priority, over all data centres.
    pub priorities: BTreeMap<u32, PriorityLoad>,
    /// Work time, in seconds, for a priority without a known one.
    fallback_work_s: f64,
}

impl<'a> ServiceDemand<'a> {
    /// Computes the demand of a service from a view.
    pub fn from_view(view: &'a LoadView, key: ServiceKey) -> ServiceDemand<'a> {
        let load_of = |centre: &'a CentreView| centre.services.get(&key);
        let centres =
            view.centres.iter().filter_map(|(name, centre)| Some((name, load_of(centre)?)));
        let centres: BTreeMap<_, _> = centres.collect();
        let mut sums: BTreeMap<u32, WorkSum> = BTreeMap::new();
        for load in centres.values() {
            for (priority, load) in &load.priorities {
                sums.entry(*priority).or_default().add(load);
            }
        }
        let fallback_work_s = fallback_work_s(&sums, &centres);
        let priorities = sums.into_iter().map(|(priority, sum)| (priority, sum.load())).collect();
        ServiceDemand { centres, priorities, fallback_work_s }
    }

    /// Returns the slots that the requests of a data centre's callers need, wherever they are
    /// served.
    pub fn slots_needed_by(&self, centre: &CentreName) -> f64 {
        let Some(load) = self.centres.get(centre) else { return 0.0 };
        let demand = |(priority, part): (&u32, &PriorityLoad)| {
            let mean_us = self.priorities.get(priority).map_or(0.0, |all| all.work_us);
            let known_us = [part.work_us, mean_us].into_iter().find(|work_us| *work_us > 0.0);
            part.arrivals_per_s * known_us.map_or(self.fallback_work_s, |work_us| work_us / 1e6)
        };
        load.priorities.iter().map(demand).sum()
    }

    /// Returns the requests per second of a data centre's callers.
    pub fn arrivals_per_s(&self, centre: &CentreName) -> f64 {
        let load = self.centres.get(centre);
        load.map_or(0.0, |load| load.priorities.values().map(|part| part.arrivals_per_s).sum())
    }

    /// Returns the requests that run or wait in a data centre, from callers of all data centres.
    pub fn requests_in(&self, centre: &CentreName) -> f64 {
        self.centres.values().filter_map(|load| load.running.get(centre)).sum()
    }
}

/// Returns the mean work time in seconds. If none is known, current requests stand in for it: the
/// demands of data centres are then right in proportion, though waiting counts as work.
fn fallback_work_s(
    sums: &BTreeMap<u32, WorkSum>,
    centres: &BTreeMap<&CentreName, &ServiceLoad>,
) -> f64 {
    let known_per_s: f64 = sums.values().map(|sum| sum.known_per_s).sum();
    if known_per_s > 0.0 {
        return sums.values().map(|sum| sum.work_us).sum::<f64>() / known_per_s / 1e6;
    }
    let running: f64 = centres.values().flat_map(|load| load.running.values()).sum();
    let arrivals_per_s: f64 = sums.values().map(|sum| sum.arrivals_per_s).sum();
    if arrivals_per_s > 0.0 { running / arrivals_per_s } else { 0.0 }
}

/// Sum of the loads of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct WorkSum {
    arrivals_per_s: f64,
    /// Arrivals whose work time is known.
    known_per_s: f64,
    /// Work times of these arrivals, weighted by their rate.
    work_us: f64,
}

impl WorkSum {
    fn add(&mut self, load: &PriorityLoad) {
        self.arrivals_per_s += load.arrivals_per_s;
        if load.work_us > 0.0 {
            self.known_per_s += load.arrivals_per_s;
            self.work_us += load.work_us * load.arrivals_per_s;
        }
    }

    fn load(&self) -> PriorityLoad {
        let is_known = self.known_per_s > 0.0;
        let work_us = if is_known { self.work_us / self.known_per_s } else { 0.0 };
        PriorityLoad { arrivals_per_s: self.arrivals_per_s, work_us }
    }
}
