//! Overflow and admission of one service's new flows.

use std::collections::{BTreeMap, BTreeSet};

use foxledge_admission::{
    AdmissionDecision, AdmissionOptions, AdmissionPolicy, FlowOpening, ServiceSnapshot,
    ShareAdmission,
};
use foxledge_core::{
    names::{CentreName, RegionName, ServiceName},
    time::ClockTime,
};
use foxledge_load::{CentreCapacity, LoadView, OverflowPlan, ServiceKey};

use crate::{
    load_control::{
        demand::ServiceDemand,
        reports::{CentreLoad, LoadChange, LoadReport},
        service_counters::{ServiceCounters, WorkLearning},
    },
    routes::FlowRoute,
};

/// Requests per slot below which requests don't wait, so that response times show their work.
const MAX_LEARNING_LOAD_RATIO: f64 = 0.9;
/// Sum of the overflow shares from which overflow is reported as begun.
const OVERFLOW_BEGIN_SHARE: f64 = 0.02;
/// Sum of the overflow shares below which it is reported as ended.
const OVERFLOW_END_SHARE: f64 = 0.005;

/// What the routes to one service require.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRoutes {
    /// The shortest latency target of the routes, in milliseconds; 0 when none has one.
    pub latency_target_ms: u64,
    /// All priorities.
    pub priorities: BTreeSet<u32>,
    /// Allowed regions of each route; an empty list allows any region.
    regions: BTreeSet<Vec<RegionName>>,
}

impl ServiceRoutes {
    /// Adds a route to the service.
    pub fn add_route(&mut self, route: &FlowRoute) {
        self.latency_target_ms = match (self.latency_target_ms, route.latency_target_ms) {
            (0, target_ms) | (target_ms, 0) => target_ms,
            (shortest_ms, target_ms) => shortest_ms.min(target_ms),
        };
        self.priorities.insert(route.priority);
        self.regions.insert(route.regions.clone());
    }

    /// Returns true when any route allows a data centre's region.
    pub fn allows_region(&self, region: Option<&RegionName>) -> bool {
        let is_allowed = |allowed: &Vec<RegionName>| {
            allowed.is_empty() || region.is_some_and(|region| allowed.contains(region))
        };
        self.regions.iter().any(is_allowed)
    }
}

/// A load view with what decides whether it may be used.
pub(crate) struct PlanInput<'a> {
    /// The view.
    pub view: &'a LoadView,
    /// The data centre of this instance.
    pub local_centre: &'a CentreName,
    /// Time until which the view may steer flows.
    pub steers_until: ClockTime,
    /// When the newest report of another instance in the view was sent.
    pub reported_at: ClockTime,
    /// Samples of client accounts that no earlier update has counted.
    pub account_samples: &'a [(u32, u32)],
}

/// Decides where one service's new flows go and which of them are admitted.
pub(crate) struct ServicePlan {
    name: ServiceName,
    key: ServiceKey,
    /// Local load of the service.
    pub counters: ServiceCounters,
    /// What its routes require.
    pub routes: ServiceRoutes,
    /// Median response time among its backend servers, in microseconds.
    pub median_latency_us: f64,
    /// Usable slots by data centre; evacuated data centres have 0.
    pub slots: BTreeMap<CentreName, f64>,
    overflow: Option<OverflowPlan>,
    admission: Option<Box<dyn AdmissionPolicy>>,
    options: Option<AdmissionOptions>,
    centres: Vec<CentreLoad>,
    refused_flows: BTreeMap<u32, u64>,
    is_reported_short: bool,
    is_reported_overflowing: bool,
}

impl ServicePlan {
    /// Creates a plan that neither steers nor refuses flows.
    pub fn new(name: ServiceName, options: Option<AdmissionOptions>) -> ServicePlan {
        ServicePlan {
            key: ServiceKey::from_name(&name),
            name,
            counters: ServiceCounters::default(),
            routes: ServiceRoutes::default(),
            median_latency_us: 0.0,
            slots: BTreeMap::new(),
            overflow: None,
            admission: None,
            options,
            centres: Vec::new(),
            refused_flows: BTreeMap::new(),
            is_reported_short: false,
            is_reported_overflowing: false,
        }
    }

    /// Applies the current load of all data centres.
    pub fn apply_view(&mut self, now: ClockTime, input: &PlanInput<'_>, is_overflow_on: bool) {
        let demand = ServiceDemand::from_view(input.view, self.key);
        let may_steer = !input.steers_until.is_past(now);
        self.centres = self.centre_loads(input.view, &demand);
        self.update_overflow(now, input.local_centre, is_overflow_on && may_steer);
        self.update_admission(now, input, &demand);
        let (slots, running, _) = self.totals();
        let has_free_slots = self.load_ratio_in(input.local_centre) < MAX_LEARNING_LOAD_RATIO
            && running < MAX_LEARNING_LOAD_RATIO * slots;
        let is_learning = may_steer && has_free_slots;
        let learning = if is_learning { WorkLearning::Enabled } else { WorkLearning::Paused };
        self.counters.update_work(now, learning);
    }

    /// Returns the other data centre for a new flow with this hash, or `None` when it stays in its
    /// own.
    pub fn overflow_centre(&self, hash: u64) -> Option<&CentreName> {
        self.overflow.as_ref()?.centre_for(hash)
    }

    /// Returns whether a new flow is admitted.
    pub fn admit(&self, now: ClockTime, opening: &FlowOpening) -> AdmissionDecision {
        let policy = self.admission.as_ref();
        policy.map_or(AdmissionDecision::Admitted, |policy| policy.admit(now, opening))
    }

    /// Counts a refused opening, which adds to the demand like a request that began.
    pub fn record_refusal(&mut self, now: ClockTime, priority: u32) {
        self.counters.record_arrival(now, priority);
        *self.refused_flows.entry(priority).or_default() += 1;
    }

    /// Returns true when admission is enabled for the service.
    pub fn has_admission(&self) -> bool {
        self.admission.is_some()
    }

    /// Returns true while the service is short of slots; logged when it changes.
    pub fn is_short(&self) -> bool {
        self.admission.as_ref().is_some_and(|policy| policy.shortage_since().is_some())
    }

    /// Returns true while overflow sends new flows to other data centres.
    pub fn is_overflowing(&self) -> bool {
        self.overflow_share() > 0.0
    }

    /// Returns true while some of the new flows are refused.
    pub fn is_refusing(&self) -> bool {
        self.admission.as_ref().is_some_and(|policy| !policy.admitted_shares().is_empty())
    }

    /// Returns the requests per slot in a data centre.
    pub fn load_ratio_in(&self, centre: &CentreName) -> f64 {
        let load = self.centres.iter().find(|one| one.data_centre == *centre);
        load.map_or(0.0, CentreLoad::load_ratio)
    }

    /// Returns the share of new flows that overflow sends to a data centre.
    pub fn overflow_share_to(&self, centre: &CentreName) -> f64 {
        let plan = self.overflow.as_ref();
        plan.and_then(|plan| plan.shares().get(centre)).copied().unwrap_or(0.0)
    }

    /// Returns the requests per slot in the local data centre. If it has no slots, returns the
    /// demand of its callers divided by all known slots.
    pub fn local_load_ratio(&self, local_centre: &CentreName) -> f64 {
        let local = self.centres.iter().find(|one| one.data_centre == *local_centre);
        let slots: f64 = self.slots.values().sum();
        match local {
            Some(local) if local.slots > 0.0 => local.load_ratio(),
            Some(local) if slots > 0.0 => local.demand / slots,
            _ => 0.0,
        }
    }

    /// Returns the changes to report since the last call.
    pub fn drain_changes(&mut self) -> Vec<LoadChange> {
        let mut changes = Vec::new();
        let is_short = self.is_short();
        if is_short != std::mem::replace(&mut self.is_reported_short, is_short) {
            changes.push(match is_short {
                true => LoadChange::ShortageBegun,
                false => LoadChange::ShortageEnded,
            });
        }
        let threshold =
            if self.is_reported_overflowing { OVERFLOW_END_SHARE } else { OVERFLOW_BEGIN_SHARE };
        let is_overflowing = self.overflow_share() >= threshold;
        if is_overflowing != std::mem::replace(&mut self.is_reported_overflowing, is_overflowing) {
            changes.push(match is_overflowing {
                true => LoadChange::OverflowBegun,
                false => LoadChange::OverflowEnded,
            });
        }
        changes
    }

    /// Returns the load and what is done about it, for a view with
    /// `reporting_instances` reports.
    pub fn report(&self, reporting_instances: u32, view_age_ms: Option<u64>) -> LoadReport {
        let (slots, running, demand) = self.totals();
        let policy = self.admission.as_ref();
        LoadReport {
            service: self.name.clone(),
            load_ratio: if slots > 0.0 { running / slots } else { 0.0 },
            demand,
            slots,
            centres: self.centres.clone(),
            is_short: self.is_short(),
            admitted_shares: policy
                .map(|policy| policy.admitted_shares().clone())
                .unwrap_or_default(),
            refused_flows: self.refused_flows.clone(),
            reporting_instances,
            view_age_ms,
        }
    }

    fn overflow_share(&self) -> f64 {
        self.overflow.as_ref().map_or(0.0, |plan| plan.shares().values().sum())
    }

    /// Returns the data centres that reported their load or have slots.
    fn centre_loads(&self, view: &LoadView, demand: &ServiceDemand<'_>) -> Vec<CentreLoad> {
        let names: BTreeSet<&CentreName> = view.centres.keys().chain(self.slots.keys()).collect();
        let load_of = |name: &CentreName| CentreLoad {
            data_centre: name.clone(),
            slots: self.slots.get(name).copied().unwrap_or(0.0),
            running: demand.requests_in(name),
            demand: demand.slots_needed_by(name),
            overflow_share: 0.0,
            has_report: view.centres.contains_key(name),
        };
        names.into_iter().map(load_of).collect()
    }

    fn update_overflow(&mut self, now: ClockTime, local_centre: &CentreName, is_on: bool) {
        if !is_on {
            self.overflow = None;
            return;
        }
        let reported = self.centres.iter().filter(|one| one.has_report);
        let capacities: Vec<CentreCapacity> = reported
            .map(|one| CentreCapacity {
                data_centre: one.data_centre.clone(),
                slots: one.slots,
                demand: one.demand,
            })
            .collect();
        let plan = self.overflow.get_or_insert_with(|| OverflowPlan::new(local_centre.clone()));
        plan.update(now, &capacities);
        for centre in &mut self.centres {
            centre.overflow_share = plan.shares().get(&centre.data_centre).copied().unwrap_or(0.0);
        }
    }

    fn update_admission(
        &mut self,
        now: ClockTime,
        input: &PlanInput<'_>,
        demand: &ServiceDemand<'_>,
    ) {
        let Some(options) = self.options.clone().filter(|one| self.needs_admission(one)) else {
            self.admission = None;
            return;
        };
        let (slots, running, _) = self.totals();
        let has_slots = |centre: &CentreName| self.slots.get(centre).is_some_and(|one| *one > 0.0);
        let snapshot = ServiceSnapshot {
            slots,
            running,
            priorities: demand.priorities.clone(),
            latency_target_ms: self.routes.latency_target_ms,
            reported_at: input.reported_at,
            is_reliable: input.view.is_reliable,
            has_unreported_centre: input.view.unreported_centres.iter().any(has_slots),
            account_samples: input.account_samples.to_vec(),
            sampled_arrivals_per_s: demand.arrivals_per_s(input.local_centre),
            fleet_clock_ms: input.view.fleet_clock_ms,
        };
        let policy = self.admission.get_or_insert_with(|| Box::new(ShareAdmission::new(options)));
        policy.update(now, &snapshot);
    }

    /// Returns true when routes or settings need admission. With a single priority and no account
    /// share, there is nothing to choose by.
    fn needs_admission(&self, options: &AdmissionOptions) -> bool {
        self.routes.priorities.len() > 1 || options.has_account_share()
    }

    /// Returns the slots and requests of the data centres that may serve and whose load is known,
    /// and the demand of all callers.
    fn totals(&self) -> (f64, f64, f64) {
        let serving = || self.centres.iter().filter(|one| one.has_report && one.slots > 0.0);
        let slots = serving().map(|one| one.slots).sum();
        let running = serving().map(|one| one.running).sum();
        (slots, running, self.centres.iter().map(|one| one.demand).sum())
    }
}
