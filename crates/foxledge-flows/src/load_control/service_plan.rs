//! What the load of all means for one service's new flows.

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
        own_load::{ServiceCounters, WorkLearning},
        reports::{CentreLoad, LoadChange, LoadReport},
    },
    routes::FlowRoute,
};

/// Requests a slot below which answers don't wait, so that their times tell the work.
const LEARNING_LOAD: f64 = 0.9;
/// Sum of the shares from which overflow is told as begun.
const OVERFLOW_BEGUN: f64 = 0.02;
/// Sum of the shares below which it is told as ended.
const OVERFLOW_ENDED: f64 = 0.005;

/// `ServiceRoutes` is what the routes to one service ask for.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRoutes {
    /// The shortest aim, in milliseconds; 0 when none is told.
    pub aim_ms: u64,
    /// Every priority.
    pub priorities: BTreeSet<u32>,
    /// Regions that each of them allows, in which no region allows any.
    regions: BTreeSet<Vec<RegionName>>,
}

impl ServiceRoutes {
    /// Adds a route to the service.
    pub fn add(&mut self, route: &FlowRoute) {
        self.aim_ms = match (self.aim_ms, route.aim_ms) {
            (0, aim_ms) | (aim_ms, 0) => aim_ms,
            (known_ms, aim_ms) => known_ms.min(aim_ms),
        };
        self.priorities.insert(route.priority);
        self.regions.insert(route.regions.clone());
    }

    /// True when any of them allows a data centre's region.
    pub fn allow(&self, region: Option<&RegionName>) -> bool {
        let is_allowed = |allowed: &Vec<RegionName>| {
            allowed.is_empty() || region.is_some_and(|region| allowed.contains(region))
        };
        self.regions.iter().any(is_allowed)
    }
}

/// `ViewBasis` is a load view with what decides whether it may be relied on.
pub(crate) struct ViewBasis<'a> {
    /// The view.
    pub view: &'a LoadView,
    /// The data centre of this instance.
    pub own: &'a CentreName,
    /// Until when flows may be steered by it.
    pub steers_until: ClockTime,
    /// When its newest part of another instance was told.
    pub told_at: ClockTime,
    /// Samples of client accounts that weren't planned with before.
    pub accounts: &'a [(u32, u32)],
}

/// `ServicePlan` is where one service's new flows go and which of them are admitted.
pub(crate) struct ServicePlan {
    name: ServiceName,
    key: ServiceKey,
    /// What this instance sees of its load.
    pub counters: ServiceCounters,
    /// What its routes ask for.
    pub routes: ServiceRoutes,
    /// Usual answer time among its backend servers, in microseconds.
    pub usual_us: f64,
    /// Usable slots by data centre, evacuated ones included with 0.
    pub slots: BTreeMap<CentreName, f64>,
    overflow: Option<OverflowPlan>,
    admission: Option<Box<dyn AdmissionPolicy>>,
    options: Option<AdmissionOptions>,
    centres: Vec<CentreLoad>,
    refused: BTreeMap<u32, u64>,
    is_shown_short: bool,
    is_shown_overflowing: bool,
}

impl ServicePlan {
    /// A plan that steers and refuses nothing.
    pub fn new(name: ServiceName, options: Option<AdmissionOptions>) -> ServicePlan {
        ServicePlan {
            key: ServiceKey::of(&name),
            name,
            counters: ServiceCounters::default(),
            routes: ServiceRoutes::default(),
            usual_us: 0.0,
            slots: BTreeMap::new(),
            overflow: None,
            admission: None,
            options,
            centres: Vec::new(),
            refused: BTreeMap::new(),
            is_shown_short: false,
            is_shown_overflowing: false,
        }
    }

    /// Takes the load of all data centres as it is now.
    pub fn update(&mut self, now: ClockTime, basis: &ViewBasis<'_>, is_overflow_on: bool) {
        let demand = ServiceDemand::of(basis.view, self.key);
        let may_steer = !basis.steers_until.is_past(now);
        self.centres = self.centre_loads(basis.view, &demand);
        self.update_overflow(now, basis.own, is_overflow_on && may_steer);
        self.update_admission(now, basis, &demand);
        let (slots, running, _) = self.totals();
        let has_free_slots =
            self.load_of(basis.own) < LEARNING_LOAD && running < LEARNING_LOAD * slots;
        let is_learning = may_steer && has_free_slots;
        let learning = if is_learning { WorkLearning::Learned } else { WorkLearning::Frozen };
        self.counters.settle(now, learning);
    }

    /// The other data centre of a new flow with this hash; none when it stays near.
    pub fn centre_for(&self, draw: u64) -> Option<&CentreName> {
        self.overflow.as_ref()?.centre_for(draw)
    }

    /// What becomes of a new flow.
    pub fn admit(&self, now: ClockTime, opening: &FlowOpening) -> AdmissionDecision {
        let policy = self.admission.as_ref();
        policy.map_or(AdmissionDecision::Admitted, |policy| policy.admit(now, opening))
    }

    /// Counts a refused opening, which is asked for as much as a request that began.
    pub fn refused(&mut self, now: ClockTime, priority: u32) {
        self.counters.arrived(now, priority);
        *self.refused.entry(priority).or_default() += 1;
    }

    /// True when admission acts for the service.
    pub fn has_admission(&self) -> bool {
        self.admission.is_some()
    }

    /// True while it is short of slots, as it is logged.
    pub fn is_short(&self) -> bool {
        self.admission.as_ref().is_some_and(|policy| policy.shortage_since().is_some())
    }

    /// True while overflow sends new flows to other data centres.
    pub fn is_overflowing(&self) -> bool {
        self.overflow_share() > 0.0
    }

    /// True while some of the new flows are refused.
    pub fn is_refusing(&self) -> bool {
        self.admission.as_ref().is_some_and(|policy| !policy.admitted_shares().is_empty())
    }

    /// Requests a slot in a data centre.
    pub fn load_of(&self, centre: &CentreName) -> f64 {
        let known = self.centres.iter().find(|one| one.data_centre == *centre);
        known.map_or(0.0, CentreLoad::load_ratio)
    }

    /// Share of new flows that overflow sends to a data centre.
    pub fn share_of(&self, centre: &CentreName) -> f64 {
        let plan = self.overflow.as_ref();
        plan.and_then(|plan| plan.shares().get(centre)).copied().unwrap_or(0.0)
    }

    /// Requests a slot in the own data centre; where it has no slots, the demand of its callers by
    /// all slots that are known.
    pub fn pressure(&self, own: &CentreName) -> f64 {
        let near = self.centres.iter().find(|one| one.data_centre == *own);
        let slots: f64 = self.slots.values().sum();
        match near {
            Some(near) if near.slots > 0.0 => near.load_ratio(),
            Some(near) if slots > 0.0 => near.demand / slots,
            _ => 0.0,
        }
    }

    /// The changes that are to be told since the last call.
    pub fn take_changes(&mut self) -> Vec<LoadChange> {
        let mut changes = Vec::new();
        let is_short = self.is_short();
        if is_short != std::mem::replace(&mut self.is_shown_short, is_short) {
            changes.push(match is_short {
                true => LoadChange::ShortageBegun,
                false => LoadChange::ShortageEnded,
            });
        }
        let bound = if self.is_shown_overflowing { OVERFLOW_ENDED } else { OVERFLOW_BEGUN };
        let is_over = self.overflow_share() >= bound;
        if is_over != std::mem::replace(&mut self.is_shown_overflowing, is_over) {
            changes.push(match is_over {
                true => LoadChange::OverflowBegun,
                false => LoadChange::OverflowEnded,
            });
        }
        changes
    }

    /// The load and what is done about it, by a view of `parts` and `age_ms`.
    pub fn report(&self, parts: u32, age_ms: Option<u64>) -> LoadReport {
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
            refused_flows: self.refused.clone(),
            reporting_instances: parts,
            view_age_ms: age_ms,
        }
    }

    fn overflow_share(&self) -> f64 {
        self.overflow.as_ref().map_or(0.0, |plan| plan.shares().values().sum())
    }

    /// Data centres that were heard of or have slots.
    fn centre_loads(&self, view: &LoadView, demand: &ServiceDemand<'_>) -> Vec<CentreLoad> {
        let names: BTreeSet<&CentreName> = view.centres.keys().chain(self.slots.keys()).collect();
        let load_of = |name: &CentreName| CentreLoad {
            data_centre: name.clone(),
            slots: self.slots.get(name).copied().unwrap_or(0.0),
            running: demand.running_in(name),
            demand: demand.of_centre(name),
            overflow_share: 0.0,
            has_report: view.centres.contains_key(name),
        };
        names.into_iter().map(load_of).collect()
    }

    fn update_overflow(&mut self, now: ClockTime, own: &CentreName, is_on: bool) {
        if !is_on {
            self.overflow = None;
            return;
        }
        let heard = self.centres.iter().filter(|one| one.has_report);
        let rooms: Vec<CentreCapacity> = heard
            .map(|one| CentreCapacity {
                data_centre: one.data_centre.clone(),
                slots: one.slots,
                demand: one.demand,
            })
            .collect();
        let plan = self.overflow.get_or_insert_with(|| OverflowPlan::new(own.clone()));
        plan.update(now, &rooms);
        for centre in &mut self.centres {
            centre.overflow_share = plan.shares().get(&centre.data_centre).copied().unwrap_or(0.0);
        }
    }

    fn update_admission(
        &mut self,
        now: ClockTime,
        basis: &ViewBasis<'_>,
        demand: &ServiceDemand<'_>,
    ) {
        let Some(options) = self.options.clone().filter(|one| self.needs_admission(one)) else {
            self.admission = None;
            return;
        };
        let (slots, running, _) = self.totals();
        let has_slots = |centre: &CentreName| self.slots.get(centre).is_some_and(|one| *one > 0.0);
        let room = ServiceSnapshot {
            slots,
            running,
            priorities: demand.priorities.clone(),
            latency_target_ms: self.routes.aim_ms,
            reported_at: basis.told_at,
            is_reliable: basis.view.is_reliable,
            has_unreported_centre: basis.view.unreported_centres.iter().any(has_slots),
            account_samples: basis.accounts.to_vec(),
            sampled_arrivals_per_s: demand.arrivals_in(basis.own),
            fleet_clock_ms: basis.view.fleet_clock_ms,
        };
        let policy = self.admission.get_or_insert_with(|| Box::new(ShareAdmission::new(options)));
        policy.update(now, &room);
    }

    /// True when the list or the settings call for admission: routes of one priority and no share
    /// of accounts leave nothing to choose by.
    fn needs_admission(&self, options: &AdmissionOptions) -> bool {
        self.routes.priorities.len() > 1 || options.has_account_share()
    }

    /// Slots and requests of the data centres that may serve and were heard of, and the demand of
    /// all callers.
    fn totals(&self) -> (f64, f64, f64) {
        let serving = || self.centres.iter().filter(|one| one.has_report && one.slots > 0.0);
        let slots = serving().map(|one| one.slots).sum();
        let running = serving().map(|one| one.running).sum();
        (slots, running, self.centres.iter().map(|one| one.demand).sum())
    }
}
