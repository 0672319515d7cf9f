//! Load control: measures the local load, and decides on the overflow and admission of new flows
//! from the load of all data centres.

mod account_samples;
mod demand;
mod reports;
mod service_counters;
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
        service_plan::{PlanInput, ServicePlan},
    },
};

pub use reports::{AdmissionBasis, CentreLoad, LoadChange, LoadEvent, LoadExplanation, LoadReport};
pub(crate) use service_plan::ServiceRoutes;
pub(crate) use subsets::GroupSubset;

/// Interval of local load reports while busy, in milliseconds.
const BUSY_REPORT_INTERVAL_MS: u64 = 50;
/// Interval of local load reports otherwise, in milliseconds.
const IDLE_REPORT_INTERVAL_MS: u64 = 250;
/// Time, in milliseconds, for which an instance counts as busy after a high load, a shortage, an
/// overflow or a large change of its running requests.
const BUSY_HOLD_MS: u64 = 2_000;
/// Requests per slot in the local data centre from which an instance counts as busy.
const BUSY_LOAD_RATIO: f64 = 0.6;
/// Thresholds for an early report: the running requests must have changed by more than the first
/// value, and by more than the last reported number divided by the second value. A burst should be
/// known everywhere within 200 ms.
const MIN_LOAD_CHANGE: (u32, u32) = (3, 2);
/// Age, in milliseconds, from which a view no longer influences the placement of flows.
const STEERING_VIEW_TTL_MS: u64 = 2_000;
/// Age, in milliseconds, from which a view no longer makes admission refuse flows.
const ADMISSION_VIEW_TTL_MS: u64 = 400;
/// Requests per slot from which each instance prefers a subset of a data centre's backend servers.
const SUBSET_LOAD_RATIO: f64 = 0.5;
/// Interval at which usable slots are recomputed, in milliseconds: with 38,000 backend servers each
/// run takes some 0.4 ms.
const SLOTS_REFRESH_INTERVAL_MS: u64 = 200;

/// Measures the local load and keeps the plans of all services.
pub(crate) struct LoadControl {
    data_centre: CentreName,
    is_overflow_on: bool,
    admission: Option<AdmissionOptions>,
    plans: Vec<ServicePlan>,
    subsets: Vec<GroupSubset>,
    /// Whether the subset of each group is preferred now, because slots are scarce.
    is_subset_active: Vec<bool>,
    samples: AccountSamples,
    view_state: ViewState,
    report_times: ReportTimes,
    load_ratio: f64,
    /// When usable slots are next recomputed.
    next_slots_refresh_at: ClockTime,
    events: Vec<LoadEvent>,
}

/// The last load view, and until when it may influence placement.
#[derive(Clone, Debug, Default)]
struct ViewState {
    view: Option<Arc<LoadView>>,
    reported_at: ClockTime,
    reporting_instances: u32,
    steers_until: ClockTime,
}

/// When the local load is next reported, and the running requests in the last report.
#[derive(Clone, Copy, Debug, Default)]
struct ReportTimes {
    next_report_at: ClockTime,
    /// Time from which a large change of the running requests makes the report due immediately.
    early_report_from: ClockTime,
    busy_until: ClockTime,
    reported_running: u32,
}

impl LoadControl {
    /// Creates the load control of an instance in `data_centre`, without a load view.
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
            is_subset_active: Vec::new(),
            samples: AccountSamples::default(),
            view_state: ViewState::default(),
            report_times: ReportTimes::default(),
            load_ratio: 0.0,
            next_slots_refresh_at: ClockTime::ZERO,
            events: Vec::new(),
        }
    }

    /// Returns true when the settings enable overflow or admission.
    pub fn is_on(&self) -> bool {
        self.is_overflow_on || self.admission.is_some()
    }

    /// Returns true when the local load should be reported; `running` is the number of running
    /// requests.
    pub fn is_report_due(&self, now: ClockTime, running: u32) -> bool {
        self.is_on()
            && (self.report_times.next_report_at.is_past(now)
                || self.report_times.early_report_from.is_past(now)
                    && self.has_load_jumped(running))
    }

    /// Returns the local load, from the running requests and the pending openings by group, and
    /// schedules the next report.
    pub fn collect_local_load(
        &mut self,
        now: ClockTime,
        groups: &GroupTable,
        running: &GroupCounts,
        pending: &GroupCounts,
    ) -> LocalLoad {
        if !self.is_on() {
            return LocalLoad::default();
        }
        let total = running.total() + pending.total();
        self.schedule_report(now, total);
        self.plans_for(groups);
        let mut load = LocalLoad::default();
        for (service, plan) in groups.services().iter().zip(&self.plans) {
            let mut local_load =
                ServiceLoad { priorities: plan.counters.loads(now), ..Default::default() };
            for group in &service.groups {
                let count = running.count_in(*group) + pending.count_in(*group);
                if count > 0 {
                    let centre = groups.groups()[*group].data_centre.clone();
                    local_load.running.insert(centre, f64::from(count));
                }
            }
            if !local_load.priorities.is_empty() || !local_load.running.is_empty() {
                load.services.insert(service.key, local_load);
            }
        }
        (load.sampled_accounts, load.openings_per_sample) = self.samples.drain_sample();
        load
    }

    /// Returns the largest load of any service in the local data centre, in requests per slot.
    pub fn load_ratio(&self) -> f64 {
        self.load_ratio
    }

    /// Counts a request that was forwarded to a backend server of a group.
    pub fn record_arrival(
        &mut self,
        now: ClockTime,
        groups: &GroupTable,
        group: usize,
        priority: u32,
    ) {
        if let Some(plan) = self.plan_of_group(groups, group) {
            plan.counters.record_arrival(now, priority);
        }
    }

    /// Records the latency of a response from a backend server that is `slowness` times as slow as
    /// the median of its service.
    ///
    /// The slots of slow backend servers already count for less, so their responses must not count
    /// as more work as well. The round trip to another data centre isn't work either: responses
    /// from there are recorded only if the local data centre has no slots for the service.
    pub fn record_response(
        &mut self,
        groups: &GroupTable,
        group: usize,
        priority: u32,
        (latency, slowness): (Duration, f64),
    ) {
        let Some(centre) = groups.groups().get(group).map(|one| &one.data_centre) else { return };
        let is_local = *centre == self.data_centre;
        let local_centre = self.data_centre.clone();
        let Some(plan) = self.plan_of_group(groups, group) else { return };
        if is_local || plan.slots.get(&local_centre).is_none_or(|slots| *slots <= 0.0) {
            plan.counters.record_response(priority, latency.div_f64(slowness.max(1.0)));
        }
    }

    /// Samples the client account of an opening while its service is short of slots. `draw` is a
    /// hash of the flow, which decides whether the opening replaces an entry of a full sample.
    pub fn sample_account(&mut self, service: usize, caller: Ipv4Addr, draw: u64) {
        if self.plans.get(service).is_some_and(ServicePlan::is_short) {
            self.samples.record_opening(caller, draw);
        }
    }

    /// Returns true if the caller must recompute the usable slots now, and schedules the next time.
    pub fn start_slots_refresh(&mut self, now: ClockTime) -> bool {
        let is_due = self.next_slots_refresh_at.is_past(now);
        if is_due {
            self.next_slots_refresh_at = now.after_millis(SLOTS_REFRESH_INTERVAL_MS);
        }
        is_due
    }

    /// Has the usable slots recomputed before the next view is applied, because the list changed.
    pub fn invalidate_slots(&mut self) {
        self.next_slots_refresh_at = ClockTime::ZERO;
    }

    /// Returns the plans of all services by service index, and creates missing ones.
    pub fn plans_for(&mut self, groups: &GroupTable) -> &mut [ServicePlan] {
        for service in groups.services().iter().skip(self.plans.len()) {
            self.plans.push(ServicePlan::new(service.name.clone(), self.admission.clone()));
        }
        &mut self.plans
    }

    /// Returns the plan of a service.
    pub fn plan(&self, service: usize) -> Option<&ServicePlan> {
        self.plans.get(service)
    }

    /// Updates all plans to the current load of all data centres.
    pub fn apply_view(&mut self, now: ClockTime, view: Arc<LoadView>) {
        let previous = self.view_state.view.as_ref().map(|previous| previous.created_at);
        let is_new = previous != Some(view.created_at);
        self.view_state = ViewState::from_view(&self.data_centre, view);
        let Some(view) = self.view_state.view.clone() else { return };
        let input = PlanInput {
            view: &view,
            local_centre: &self.data_centre,
            steers_until: self.view_state.steers_until,
            reported_at: self.view_state.reported_at,
            account_samples: if is_new { &view.account_samples } else { &[] },
        };
        let (reporting_instances, age_ms) =
            (self.view_state.reporting_instances, self.view_state.age_ms(now));
        for plan in &mut self.plans {
            plan.apply_view(now, &input, self.is_overflow_on);
            for change in plan.drain_changes() {
                self.events
                    .push(LoadEvent { change, report: plan.report(reporting_instances, age_ms) });
            }
        }
        let load_ratios = self.plans.iter().map(|plan| plan.local_load_ratio(&self.data_centre));
        self.load_ratio = load_ratios.fold(0.0, f64::max);
        let is_limiting = |plan: &ServicePlan| plan.is_short() || plan.is_overflowing();
        if !self.plans.iter().any(ServicePlan::is_short) {
            self.samples.clear();
        }
        if self.load_ratio >= BUSY_LOAD_RATIO || self.plans.iter().any(is_limiting) {
            self.report_times.busy_until = now.after_millis(BUSY_HOLD_MS);
            self.report_times.next_report_at =
                self.report_times.next_report_at.min(self.report_times.early_report_from);
        }
    }

    /// Updates the preferred subsets of groups whose slots are scarce, if they are local or receive
    /// overflow. `backends_of` returns the indexes and numbers of a group's backend servers.
    pub fn update_subsets(
        &mut self,
        groups: &GroupTable,
        centre_peers: &CentrePeers,
        backends_of: impl Fn(usize) -> Vec<(usize, u64)>,
    ) {
        self.subsets.resize_with(groups.groups().len(), GroupSubset::default);
        self.is_subset_active = vec![false; groups.groups().len()];
        for (index, group) in groups.groups().iter().enumerate() {
            let Some(plan) = self.plans.get(group.service) else { continue };
            let is_used = group.data_centre == self.data_centre
                || plan.overflow_share_to(&group.data_centre) > 0.0;
            if !is_used || plan.load_ratio_in(&group.data_centre) < SUBSET_LOAD_RATIO {
                continue;
            }
            self.is_subset_active[index] = true;
            let versions = (group.version, centre_peers.version());
            if !self.subsets[index].has_versions(versions) {
                let backends = backends_of(index);
                let (own_address, peers) = (centre_peers.own_address(), centre_peers.peers());
                self.subsets[index].update(versions, &backends, own_address, peers);
            }
        }
    }

    /// Returns true while the last view is new and reliable enough to influence placement.
    pub fn is_steering(&self, now: ClockTime) -> bool {
        !self.view_state.steers_until.is_past(now)
    }

    /// Returns the preferred backend servers of a group while its slots are scarce.
    pub fn subset(&self, now: ClockTime, group: usize) -> Option<&GroupSubset> {
        let is_active = self.is_subset_active.get(group).copied().unwrap_or(false);
        self.subsets.get(group).filter(|_| is_active && self.is_steering(now))
    }

    /// Returns the other data centre to which overflow sends a new flow, or `None` when it stays in
    /// its own. `draw` is a hash of the flow.
    pub fn overflow_centre(
        &self,
        now: ClockTime,
        service: usize,
        draw: u64,
    ) -> Option<&CentreName> {
        self.plans.get(service).filter(|_| self.is_steering(now))?.overflow_centre(draw)
    }

    /// Returns whether a new flow to a service is admitted.
    pub fn admit(
        &self,
        now: ClockTime,
        service: usize,
        opening: &FlowOpening,
    ) -> AdmissionDecision {
        let is_old = self.view_state.reported_at.after_millis(ADMISSION_VIEW_TTL_MS).is_past(now);
        match self.plans.get(service).filter(|_| self.is_reliable() && !is_old) {
            Some(plan) => plan.admit(now, opening),
            None => AdmissionDecision::Admitted,
        }
    }

    /// Counts an opening that was refused because of a shortage or an account's share.
    pub fn record_refusal(&mut self, now: ClockTime, service: usize, priority: u32) {
        if let Some(plan) = self.plans.get_mut(service) {
            plan.record_refusal(now, priority);
        }
    }

    /// Returns why new flows to a service are admitted or refused.
    pub fn admission_basis(&self, now: ClockTime, service: usize) -> AdmissionBasis {
        let Some(plan) = self.plans.get(service) else { return AdmissionBasis::NoView };
        match self.view_state.age_ms(now) {
            _ if self.admission.is_none() => AdmissionBasis::Off,
            None => AdmissionBasis::NoView,
            _ if !plan.has_admission() => AdmissionBasis::Off,
            _ if !self.is_reliable() => AdmissionBasis::UnsureView,
            Some(age_ms) if age_ms >= ADMISSION_VIEW_TTL_MS => AdmissionBasis::OldView,
            _ if plan.is_refusing() => AdmissionBasis::Shortage,
            _ => AdmissionBasis::Room,
        }
    }

    /// Returns the load of a service, with its overflow and refusals.
    pub fn report(&self, now: ClockTime, service: usize) -> Option<LoadReport> {
        let plan = self.plans.get(service)?;
        Some(plan.report(self.view_state.reporting_instances, self.view_state.age_ms(now)))
    }

    /// Returns the reports of all services.
    pub fn reports(&self, now: ClockTime) -> Vec<LoadReport> {
        (0..self.plans.len()).filter_map(|service| self.report(now, service)).collect()
    }

    /// Returns the events since the last call.
    pub fn drain_events(&mut self) -> Vec<LoadEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns true if enough instances have reported to rely on the last view.
    fn is_reliable(&self) -> bool {
        self.view_state.view.as_ref().is_some_and(|view| view.is_reliable)
    }

    fn has_load_jumped(&self, running: u32) -> bool {
        let (min_change, divisor) = MIN_LOAD_CHANGE;
        let change = running.abs_diff(self.report_times.reported_running);
        change > min_change && change > self.report_times.reported_running / divisor
    }

    fn schedule_report(&mut self, now: ClockTime, running: u32) {
        if self.has_load_jumped(running) {
            self.report_times.busy_until = now.after_millis(BUSY_HOLD_MS);
        }
        let is_busy = !self.report_times.busy_until.is_past(now);
        let interval_ms = if is_busy { BUSY_REPORT_INTERVAL_MS } else { IDLE_REPORT_INTERVAL_MS };
        self.report_times.next_report_at = now.after_millis(interval_ms);
        self.report_times.early_report_from = now.after_millis(BUSY_REPORT_INTERVAL_MS);
        self.report_times.reported_running = running;
    }

    fn plan_of_group(&mut self, groups: &GroupTable, group: usize) -> Option<&mut ServicePlan> {
        let service = groups.groups().get(group)?.service;
        self.plans_for(groups).get_mut(service)
    }
}

impl ViewState {
    fn from_view(local_centre: &CentreName, view: Arc<LoadView>) -> ViewState {
        let (reported_at, reporting_instances) = view
            .centres
            .get(local_centre)
            .map(|one| (one.reported_at, one.report_count))
            .unwrap_or_default();
        let steers_until = match view.is_reliable {
            true => reported_at.after_millis(STEERING_VIEW_TTL_MS),
            false => ClockTime::ZERO,
        };
        ViewState { view: Some(view), reported_at, reporting_instances, steers_until }
    }

    /// Returns the age of the newest report in the view, in milliseconds, or `None` without a view.
    fn age_ms(&self, now: ClockTime) -> Option<u64> {
        self.view.as_ref().map(|_| now.since(self.reported_at).as_millis() as u64)
    }
}
