//! Load control: what this instance sees of the load, and what the load of all means for new
//! flows.

mod account_samples;
mod demand;
mod own_load;
mod reports;
mod service_plan;
mod subsets;

use std::{net::Ipv4Addr, sync::Arc, time::Duration};

use foxledge_admission::{AdmissionDecision, AdmissionOptions, FlowOpening};
use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_load::{LoadView, LocalLoad, ServiceLoad};

use crate::{
    cold::CentrePeers,
    groups::{GroupCounts, GroupTable},
    load_control::{
        account_samples::AccountSamples,
        service_plan::{ServicePlan, ViewBasis},
    },
};

pub use reports::{AdmissionBasis, CentreLoad, LoadChange, LoadEvent, LoadExplanation, LoadReport};
pub(crate) use service_plan::ServiceRoutes;
pub(crate) use subsets::GroupSubset;

/// Time between two own loads while busy, in milliseconds.
const BUSY_STEP_MS: u64 = 50;
/// Time between two own loads else, in milliseconds.
const CALM_STEP_MS: u64 = 250;
/// Time for which an instance stays busy after the last reason, in milliseconds.
const BUSY_MS: u64 = 2_000;
/// Requests a slot in the own data centre from which an instance is busy.
const PRESSED: f64 = 0.6;
/// Running requests by which the own load must differ from the last one to be due at once, and the
/// part of these: a burst is to be known everywhere within 200 ms.
const LOAD_JUMP: (u32, u32) = (3, 2);
/// Age of a view from which no flow is steered by it, in milliseconds.
const VIEW_LIFE_MS: u64 = 2_000;
/// Age of a view from which nothing is refused because of it, in milliseconds.
const ADMISSION_LIFE_MS: u64 = 400;
/// Requests a slot from which instances share out the backend servers of a data centre.
const SHARED_LOAD: f64 = 0.5;
/// Time between two looks at which slots are usable, in milliseconds: at 38,000 backend servers
/// each takes some 0.4 ms.
const SLOTS_STEP_MS: u64 = 200;

/// `LoadControl` is the own load and the plans of all services.
pub(crate) struct LoadControl {
    data_centre: CentreName,
    is_overflow_on: bool,
    admission: Option<AdmissionOptions>,
    plans: Vec<ServicePlan>,
    subsets: Vec<GroupSubset>,
    /// Groups whose subset is preferred now.
    is_shared: Vec<bool>,
    samples: AccountSamples,
    basis: LoadBasis,
    due: DueTimes,
    pressure: f64,
    /// When usable slots are looked at again.
    slots_due_at: ClockTime,
    news: Vec<LoadEvent>,
}

/// `LoadBasis` is the last load view and until when it may be relied on.
#[derive(Clone, Debug, Default)]
struct LoadBasis {
    view: Option<Arc<LoadView>>,
    told_at: ClockTime,
    parts: u32,
    steers_until: ClockTime,
}

/// `DueTimes` is when the own load is due.
#[derive(Clone, Copy, Debug, Default)]
struct DueTimes {
    due_at: ClockTime,
    /// From when on it is due at once after a change.
    jump_from: ClockTime,
    busy_until: ClockTime,
    told_running: u32,
}

impl LoadControl {
    /// Load control of an instance in `data_centre`, which knows no load.
    pub fn new(
        data_centre: CentreName,
        is_overflow_on: bool,
        admission: Option<AdmissionOptions>,
    ) -> LoadControl {
        LoadControl {
            data_centre,
            is_overflow_on,
            admission,
            plans: Vec::new(),
            subsets: Vec::new(),
            is_shared: Vec::new(),
            samples: AccountSamples::default(),
            basis: LoadBasis::default(),
            due: DueTimes::default(),
            pressure: 0.0,
            slots_due_at: ClockTime::ZERO,
            news: Vec::new(),
        }
    }

    /// True when the settings call for any of it.
    pub fn is_on(&self) -> bool {
        self.is_overflow_on || self.admission.is_some()
    }

    /// True when the own load is due; `running` requests run now.
    pub fn is_due(&self, now: ClockTime, running: u32) -> bool {
        self.is_on()
            && (self.due.due_at.is_past(now)
                || self.due.jump_from.is_past(now) && self.has_jumped(running))
    }

    /// The own load, with requests that run and openings under way by group.
    pub fn own_load(
        &mut self,
        now: ClockTime,
        groups: &GroupTable,
        running: &GroupCounts,
        under_way: &GroupCounts,
    ) -> LocalLoad {
        if !self.is_on() {
            return LocalLoad::default();
        }
        let total = running.total() + under_way.total();
        self.set_due(now, total);
        self.plans_of(groups);
        let mut load = LocalLoad::default();
        for (service, plan) in groups.services().iter().zip(&self.plans) {
            let mut own =
                ServiceLoad { priorities: plan.counters.loads(now), ..Default::default() };
            for group in &service.groups {
                let count = running.of(*group) + under_way.of(*group);
                if count > 0 {
                    let centre = groups.groups()[*group].data_centre.clone();
                    own.running.insert(centre, f64::from(count));
                }
            }
            if !own.priorities.is_empty() || !own.running.is_empty() {
                load.services.insert(service.key, own);
            }
        }
        (load.sampled_accounts, load.openings_per_sample) = self.samples.take();
        load
    }

    /// The largest load of a service in the own data centre, in requests a slot.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Counts a request that began.
    pub fn arrived(&mut self, now: ClockTime, groups: &GroupTable, group: usize, priority: u32) {
        if let Some(plan) = self.plan_of_group(groups, group) {
            plan.counters.arrived(now, priority);
        }
    }

    /// Takes the time of an answer of a backend server that takes `slowness` times as long as
    /// usual.
    ///
    /// Slow backend servers count with fewer slots, so their answers mustn't count as more work
    /// too. The way to other data centres isn't work either: those are learned from only where
    /// the own one has no slots.
    pub fn answered(
        &mut self,
        groups: &GroupTable,
        group: usize,
        priority: u32,
        (latency, slowness): (Duration, f64),
    ) {
        let Some(centre) = groups.groups().get(group).map(|one| &one.data_centre) else { return };
        let is_near = *centre == self.data_centre;
        let own = self.data_centre.clone();
        let Some(plan) = self.plan_of_group(groups, group) else { return };
        if is_near || plan.slots.get(&own).is_none_or(|slots| *slots <= 0.0) {
            plan.counters.answered(priority, latency.div_f64(slowness.max(1.0)));
        }
    }

    /// Takes the openings of a service that is short as samples of their client accounts.
    pub fn sample(&mut self, service: usize, caller: Ipv4Addr, draw: u64) {
        if self.plans.get(service).is_some_and(ServicePlan::is_short) {
            self.samples.add(caller, draw);
        }
    }

    /// True when usable slots are to be looked at again; they won't be for a while then.
    pub fn take_slots_due(&mut self, now: ClockTime) -> bool {
        let is_due = self.slots_due_at.is_past(now);
        if is_due {
            self.slots_due_at = now.after_millis(SLOTS_STEP_MS);
        }
        is_due
    }

    /// Lets usable slots be looked at anew with the next view, as the list changed.
    pub fn invalidate_slots(&mut self) {
        self.slots_due_at = ClockTime::ZERO;
    }

    /// The plans of all services, by index; makes those that are missing.
    pub fn plans_of(&mut self, groups: &GroupTable) -> &mut [ServicePlan] {
        for service in groups.services().iter().skip(self.plans.len()) {
            self.plans.push(ServicePlan::new(service.name.clone(), self.admission.clone()));
        }
        &mut self.plans
    }

    /// The plan of a service.
    pub fn plan(&self, service: usize) -> Option<&ServicePlan> {
        self.plans.get(service)
    }

    /// Takes the load of all data centres as it is now, and changes all plans.
    pub fn set_view(&mut self, now: ClockTime, view: Arc<LoadView>) {
        let former = self.basis.view.as_ref().map(|former| former.created_at);
        let is_new = former != Some(view.created_at);
        self.basis = LoadBasis::of(&self.data_centre, view);
        let Some(view) = self.basis.view.clone() else { return };
        let basis = ViewBasis {
            view: &view,
            own: &self.data_centre,
            steers_until: self.basis.steers_until,
            told_at: self.basis.told_at,
            accounts: if is_new { &view.account_samples } else { &[] },
        };
        let (parts, age_ms) = (self.basis.parts, self.basis.age_ms(now));
        for plan in &mut self.plans {
            plan.update(now, &basis, self.is_overflow_on);
            for change in plan.take_changes() {
                self.news.push(LoadEvent { change, report: plan.report(parts, age_ms) });
            }
        }
        let pressures = self.plans.iter().map(|plan| plan.pressure(&self.data_centre));
        self.pressure = pressures.fold(0.0, f64::max);
        let acts = |plan: &ServicePlan| plan.is_short() || plan.is_overflowing();
        if !self.plans.iter().any(ServicePlan::is_short) {
            self.samples.clear();
        }
        if self.pressure >= PRESSED || self.plans.iter().any(acts) {
            self.due.busy_until = now.after_millis(BUSY_MS);
            self.due.due_at = self.due.due_at.min(self.due.jump_from);
        }
    }

    /// Renews the subsets of the groups whose slots are scarce, if overflow sends flows there or
    /// they are near; `members_of` tells index and number of a group's backend servers.
    pub fn renew_subsets(
        &mut self,
        groups: &GroupTable,
        neighbours: &CentrePeers,
        members_of: impl Fn(usize) -> Vec<(usize, u64)>,
    ) {
        self.subsets.resize_with(groups.groups().len(), GroupSubset::default);
        self.is_shared = vec![false; groups.groups().len()];
        for (index, group) in groups.groups().iter().enumerate() {
            let Some(plan) = self.plans.get(group.service) else { continue };
            let is_used =
                group.data_centre == self.data_centre || plan.share_of(&group.data_centre) > 0.0;
            if !is_used || plan.load_of(&group.data_centre) < SHARED_LOAD {
                continue;
            }
            self.is_shared[index] = true;
            let versions = (group.version, neighbours.version());
            if !self.subsets[index].is_of(versions) {
                let members = members_of(index);
                let (own, others) = (neighbours.own(), neighbours.others());
                self.subsets[index].renew(versions, &members, own, others);
            }
        }
    }

    /// True while new flows may be steered by the last view.
    pub fn is_steering(&self, now: ClockTime) -> bool {
        !self.basis.steers_until.is_past(now)
    }

    /// The preferred backend servers of a group while its slots are scarce.
    pub fn subset(&self, now: ClockTime, group: usize) -> Option<&GroupSubset> {
        let is_shared = self.is_shared.get(group).copied().unwrap_or(false);
        self.subsets.get(group).filter(|_| is_shared && self.is_steering(now))
    }

    /// The other data centre to which overflow sends a new flow; none when it stays near.
    pub fn centre_for(&self, now: ClockTime, service: usize, draw: u64) -> Option<&CentreName> {
        self.plans.get(service).filter(|_| self.is_steering(now))?.centre_for(draw)
    }

    /// What becomes of a new flow to a service.
    pub fn admit(
        &self,
        now: ClockTime,
        service: usize,
        opening: &FlowOpening,
    ) -> AdmissionDecision {
        let is_old = self.basis.told_at.after_millis(ADMISSION_LIFE_MS).is_past(now);
        match self.plans.get(service).filter(|_| self.is_sure() && !is_old) {
            Some(plan) => plan.admit(now, opening),
            None => AdmissionDecision::Admitted,
        }
    }

    /// Counts a refused opening.
    pub fn refused(&mut self, now: ClockTime, service: usize, priority: u32) {
        if let Some(plan) = self.plans.get_mut(service) {
            plan.refused(now, priority);
        }
    }

    /// Why new flows to a service are admitted or refused.
    pub fn basis(&self, now: ClockTime, service: usize) -> AdmissionBasis {
        let Some(plan) = self.plans.get(service) else { return AdmissionBasis::NoView };
        match self.basis.age_ms(now) {
            _ if self.admission.is_none() => AdmissionBasis::Off,
            None => AdmissionBasis::NoView,
            _ if !plan.has_admission() => AdmissionBasis::Off,
            _ if !self.is_sure() => AdmissionBasis::UnsureView,
            Some(age_ms) if age_ms >= ADMISSION_LIFE_MS => AdmissionBasis::OldView,
            _ if plan.is_refusing() => AdmissionBasis::Shortage,
            _ => AdmissionBasis::Room,
        }
    }

    /// The load of a service and what is done about it.
    pub fn report(&self, now: ClockTime, service: usize) -> Option<LoadReport> {
        let plan = self.plans.get(service)?;
        Some(plan.report(self.basis.parts, self.basis.age_ms(now)))
    }

    /// The same of all services.
    pub fn reports(&self, now: ClockTime) -> Vec<LoadReport> {
        (0..self.plans.len()).filter_map(|service| self.report(now, service)).collect()
    }

    /// Changes since the last call.
    pub fn take_news(&mut self) -> Vec<LoadEvent> {
        std::mem::take(&mut self.news)
    }

    fn is_sure(&self) -> bool {
        self.basis.view.as_ref().is_some_and(|view| view.is_reliable)
    }

    fn has_jumped(&self, running: u32) -> bool {
        let (requests, part) = LOAD_JUMP;
        let change = running.abs_diff(self.due.told_running);
        change > requests && change > self.due.told_running / part
    }

    fn set_due(&mut self, now: ClockTime, running: u32) {
        if self.has_jumped(running) {
            self.due.busy_until = now.after_millis(BUSY_MS);
        }
        let is_busy = !self.due.busy_until.is_past(now);
        let step_ms = if is_busy { BUSY_STEP_MS } else { CALM_STEP_MS };
        self.due.due_at = now.after_millis(step_ms);
        self.due.jump_from = now.after_millis(BUSY_STEP_MS);
        self.due.told_running = running;
    }

    fn plan_of_group(&mut self, groups: &GroupTable, group: usize) -> Option<&mut ServicePlan> {
        let service = groups.groups().get(group)?.service;
        self.plans_of(groups).get_mut(service)
    }
}

impl LoadBasis {
    fn of(own: &CentreName, view: Arc<LoadView>) -> LoadBasis {
        let (told_at, parts) = view
            .centres
            .get(own)
            .map(|one| (one.reported_at, one.report_count))
            .unwrap_or_default();
        let steers_until = match view.is_reliable {
            true => told_at.after_millis(VIEW_LIFE_MS),
            false => ClockTime::ZERO,
        };
        LoadBasis { view: Some(view), told_at, parts, steers_until }
    }

    /// Age of the newest part in milliseconds; none without a view.
    fn age_ms(&self, now: ClockTime) -> Option<u64> {
        self.view.as_ref().map(|_| now.since(self.told_at).as_millis() as u64)
    }
}
