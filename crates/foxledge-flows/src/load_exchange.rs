//! The router's interface to load control: it reports the local load and applies the load of all
//! data centres.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use foxledge_admission::{AdmissionDecision, FlowOpening};
use foxledge_core::{
    names::{CentreName, ServiceName},
    time::ClockTime,
};
use foxledge_load::{LoadView, LocalLoad};

use crate::{
    backends::Backend,
    decisions::RefuseReason,
    groups::BackendGroup,
    latency::median_latency_us,
    load_control::{AdmissionBasis, LoadEvent, LoadExplanation, LoadReport, ServiceRoutes},
    packet::{FlowKey, FlowPacket, PacketKind},
    placement::{MAX_SLOWNESS_PERCENT, MIN_SLOWNESS_PERCENT},
    router::FlowRouter,
    routes::{FlowRoute, flow_hash},
};

/// Multiple of a route's latency target after which its unanswered requests needn't count as
/// running any more.
const EXPIRY_TARGET_MULTIPLE: u64 = 2;
/// Minimum time, in milliseconds, for which an unanswered request counts as running.
const MIN_REQUEST_EXPIRY_MS: u64 = 1_000;

impl FlowRouter {
    /// Returns true when the local load should be reported and a new load view applied; always
    /// false while load control is off. Called after each batch of packets.
    pub fn is_load_report_due(&self, now: ClockTime) -> bool {
        let running =
            self.tracks.running_requests().total() + self.openings.pending_by_group().total();
        self.load.is_report_due(now, running)
    }

    /// Returns the load of each service as measured by this instance, and schedules the next
    /// report.
    pub fn collect_local_load(&mut self, now: ClockTime) -> LocalLoad {
        self.tracks.expire_requests(now, self.request_expiry_ms);
        let (running, pending) = (self.tracks.running_requests(), self.openings.pending_by_group());
        self.load.collect_local_load(now, self.backends.groups(), running, pending)
    }

    /// Returns the largest load of a service in the local data centre by the last view, in requests
    /// per slot.
    pub fn load_ratio(&self) -> f64 {
        self.load.load_ratio()
    }

    /// Applies the current load of all data centres.
    pub fn apply_load_view(&mut self, now: ClockTime, view: Arc<LoadView>) {
        if !self.load.is_on() {
            return;
        }
        self.refresh_slots(now);
        self.load.apply_view(now, view);
        let backends = &self.backends;
        let number_of = |index: usize| backends.get(index).map(|backend| backend.number);
        let backends_of = |group: usize| {
            let backends = backends.groups().groups()[group].backends.iter().copied();
            backends.filter_map(|index| Some((index, number_of(index)?))).collect()
        };
        self.load.update_subsets(backends.groups(), &self.centre_peers, backends_of);
    }

    /// Returns the shortages and overflows that began or ended since the last call.
    pub fn drain_load_events(&mut self) -> Vec<LoadEvent> {
        self.load.drain_events()
    }

    /// Returns the load of each service with its overflow and refusals; empty while load control is
    /// off.
    pub fn load_reports(&self, now: ClockTime) -> Vec<LoadReport> {
        self.load.reports(now)
    }

    /// Returns why load control refuses a new flow, or `None` when it may be placed.
    ///
    /// Limits services that receive more requests than their slots can serve in time. These are
    /// never refused: retransmissions, as the flow may be open at another instance; openings while
    /// the list isn't confirmed or after a pause of this process, as the slots or the arrival time
    /// of the packet are unknown; and flows that are open here already, as a network may deliver
    /// an opening packet twice.
    pub(crate) fn load_refusal(
        &mut self,
        now: ClockTime,
        packet: &FlowPacket,
        route: &FlowRoute,
        service: &ServiceName,
    ) -> Option<RefuseReason> {
        let is_first = packet.kind == PacketKind::Open { attempt: 0 };
        if !self.load.is_on() || !is_first || self.tracks.contains(&packet.key) {
            return None;
        }
        let service = self.backends.groups().service_index(service)?;
        let opening = flow_opening(route, &packet.key);
        self.load.sample_account(service, opening.caller, flow_hash(&packet.key));
        if self.list_doubt(now).is_some() {
            return None;
        }
        let reason = match self.load.admit(now, service, &opening) {
            AdmissionDecision::Admitted => return None,
            AdmissionDecision::Shortage => RefuseReason::Shortage,
            AdmissionDecision::AccountShare => RefuseReason::AccountShare,
        };
        self.load.record_refusal(now, service, route.priority);
        Some(reason)
    }

    /// Returns whether load control would admit a new flow, to which data centre overflow would
    /// send it, and why; `None` for a service without a plan.
    pub(crate) fn explain_load(
        &self,
        now: ClockTime,
        key: &FlowKey,
        route: &FlowRoute,
        service: &ServiceName,
    ) -> Option<LoadExplanation> {
        let service = self.backends.groups().service_index(service)?;
        let report = self.load.report(now, service)?;
        let (decision, basis) = match self.list_doubt(now) {
            Some(_) => (AdmissionDecision::Admitted, AdmissionBasis::ListDoubt),
            None => (
                self.load.admit(now, service, &flow_opening(route, key)),
                self.load.admission_basis(now, service),
            ),
        };
        Some(LoadExplanation {
            report,
            priority: route.priority,
            overflow_to: self.load.overflow_centre(now, service, flow_hash(key)).cloned(),
            decision,
            basis,
        })
    }

    /// Recomputes the usable slots, if the interval has passed or the list changed.
    fn refresh_slots(&mut self, now: ClockTime) {
        if !self.load.start_slots_refresh(now) {
            return;
        }
        let (routes, expiry_ms) = self.routes_by_service();
        self.request_expiry_ms = expiry_ms;
        let services = self.backends.groups().services().iter();
        let updates = services.map(|service| {
            let routes = routes.get(&service.name).cloned().unwrap_or_default();
            let groups =
                || service.groups.iter().map(|group| &self.backends.groups().groups()[*group]);
            let backends = groups().flat_map(|group| &group.backends);
            let listed = backends.filter_map(|index| self.backends.get(*index));
            let median_latency_us =
                median_latency_us(listed.filter_map(|backend| backend.latency.mean_us()));
            let slots_of =
                |group: &BackendGroup| self.usable_slots(now, group, &routes, median_latency_us);
            let slots: BTreeMap<CentreName, f64> =
                groups().map(|group| (group.data_centre.clone(), slots_of(group))).collect();
            (routes, median_latency_us, slots)
        });
        let updates: Vec<_> = updates.collect();
        let plans = self.load.plans_for(self.backends.groups());
        for (plan, (routes, median_latency_us, slots)) in plans.iter_mut().zip(updates) {
            (plan.routes, plan.median_latency_us, plan.slots) = (routes, median_latency_us, slots);
        }
    }

    /// Returns the requirements of the routes by service, and the time in milliseconds after which
    /// an unanswered request no longer counts as running.
    ///
    /// The time is the longest of any route: twice its latency target, or without a target its
    /// timeout, or without either the idle timeout. When flows move to other instances, responses
    /// pass through those, and the requests would otherwise count here until their deadline. A
    /// request that takes longer is counted for too short a time, which makes load control refuse
    /// less.
    fn routes_by_service(&self) -> (HashMap<ServiceName, ServiceRoutes>, u64) {
        let mut by_service: HashMap<ServiceName, ServiceRoutes> = HashMap::new();
        let mut longest_ms = 0;
        for route in self.routes.iter() {
            let expiry_ms = match (route.latency_target_ms, route.timeout_ms) {
                (0, 0) => self.idle_timeout_ms,
                (0, timeout_ms) => timeout_ms,
                (target_ms, _) => (EXPIRY_TARGET_MULTIPLE * target_ms).max(MIN_REQUEST_EXPIRY_MS),
            };
            longest_ms = longest_ms.max(expiry_ms);
            for (service, _) in &route.shares {
                by_service.entry(service.clone()).or_default().add_route(route);
            }
        }
        (by_service, if longest_ms > 0 { longest_ms } else { self.idle_timeout_ms })
    }

    /// Returns the slots of a group's backend servers that new flows can use.
    ///
    /// The slots of slow backend servers count in proportion to their speed.
    fn usable_slots(
        &self,
        now: ClockTime,
        group: &BackendGroup,
        routes: &ServiceRoutes,
        median_latency_us: f64,
    ) -> f64 {
        let centre = &group.data_centre;
        if self.evacuations.contains(centre)
            || !routes.allows_region(self.options.regions.get(centre))
        {
            return 0.0;
        }
        let backends = group.backends.iter().filter_map(|index| self.backends.get(*index));
        let slots = backends.filter(|backend| self.is_usable(now, backend)).map(|backend| {
            f64::from(backend.slots)
                / effective_slowness(backend.latency.slowness(now, median_latency_us))
        });
        slots.sum()
    }

    /// Returns false for a backend server that accepts no new flows or is certainly dead. One that
    /// is merely ejected is usable: when a network delays packets, many are ejected falsely, and
    /// without their slots the service would seem to be short of slots.
    fn is_usable(&self, now: ClockTime, backend: &Backend) -> bool {
        backend.accepts_new_flows(now, self.confirmed_at) && !backend.health.is_dead(now)
    }

    /// Records the latency of a response as a work time of its service.
    pub(crate) fn record_work_time(
        &mut self,
        now: ClockTime,
        index: usize,
        priority: Option<u32>,
        latency: Duration,
    ) {
        let Some(backend) = self.backends.get(index) else { return };
        let Some(priority) = priority.filter(|_| self.load.is_on()) else { return };
        let groups = self.backends.groups();
        let service = groups.groups()[backend.group].service;
        let median_latency_us = self.load.plan(service).map_or(0.0, |plan| plan.median_latency_us);
        let slowness = match median_latency_us > 0.0 {
            true => effective_slowness(backend.latency.slowness(now, median_latency_us)),
            false => 1.0,
        };
        self.load.record_response(groups, backend.group, priority, (latency, slowness));
    }

    /// Counts a request that was forwarded to a backend server.
    pub(crate) fn record_arrival(&mut self, now: ClockTime, index: usize, priority: Option<u32>) {
        let Some(backend) = self.backends.get(index) else { return };
        let Some(priority) = priority.filter(|_| self.load.is_on()) else { return };
        self.load.record_arrival(now, self.backends.groups(), backend.group, priority);
    }

    /// Returns the other data centre to which overflow sends a new flow, or `None` when it stays in
    /// its own.
    pub(crate) fn overflow_centre(
        &self,
        now: ClockTime,
        service: usize,
        key: &FlowKey,
    ) -> Option<CentreName> {
        self.load.overflow_centre(now, service, flow_hash(key)).cloned()
    }
}

fn flow_opening(route: &FlowRoute, key: &FlowKey) -> FlowOpening {
    FlowOpening { priority: route.priority, caller: *key.caller.ip() }
}

/// Returns the slowness with the limits that placement applies: small values count as 1, because
/// response times of one service deviate from their mean by half of it, and large ones are capped.
fn effective_slowness(slowness: f64) -> f64 {
    let (min_slowness, max_slowness) =
        (f64::from(MIN_SLOWNESS_PERCENT) / 100.0, f64::from(MAX_SLOWNESS_PERCENT) / 100.0);
    if slowness < min_slowness { 1.0 } else { slowness.min(max_slowness) }
}
