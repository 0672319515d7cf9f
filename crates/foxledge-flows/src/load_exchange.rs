//! Load control at the router's border: the own load goes out, the load of all comes in.

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
    latency::usual_us,
    load_control::{AdmissionBasis, LoadEvent, LoadExplanation, LoadReport, ServiceRoutes},
    packet::{FlowKey, FlowPacket, PacketKind},
    placement::{SLOW, SLOWEST},
    router::FlowRouter,
    routes::{FlowRoute, flow_hash},
};

/// Multiple of its route's aim for which a request counts as running at most.
const AIMS_COUNTED: u64 = 2;
/// Time in milliseconds for which a request counts at least, unless it is answered.
const LEAST_COUNTED_MS: u64 = 1_000;

impl FlowRouter {
    /// True when the own load should be told and the load of all be set; asked after each batch
    /// of packets. Never while load control is off.
    pub fn is_load_report_due(&self, now: ClockTime) -> bool {
        let running =
            self.tracks.running_requests().total() + self.openings.pending_by_group().total();
        self.load.is_due(now, running)
    }

    /// What this instance sees of each service's load; sets when it is due again.
    pub fn collect_local_load(&mut self, now: ClockTime) -> LocalLoad {
        self.tracks.expire_requests(now, self.request_expiry_ms);
        let (running, under_way) =
            (self.tracks.running_requests(), self.openings.pending_by_group());
        self.load.own_load(now, self.backends.groups(), running, under_way)
    }

    /// The largest load of a service in the own data centre by the last view, in requests a slot.
    pub fn load_ratio(&self) -> f64 {
        self.load.pressure()
    }

    /// Takes the load of all data centres as it is now.
    pub fn apply_load_view(&mut self, now: ClockTime, view: Arc<LoadView>) {
        if !self.load.is_on() {
            return;
        }
        self.renew_slots(now);
        self.load.set_view(now, view);
        let backends = &self.backends;
        let number = |index: usize| backends.get(index).map(|backend| backend.number);
        let members_of = |group: usize| {
            let members = backends.groups().groups()[group].backends.iter().copied();
            members.filter_map(|index| Some((index, number(index)?))).collect()
        };
        self.load.renew_subsets(backends.groups(), &self.centre_peers, members_of);
    }

    /// Shortages and overflows that began or ended since the last call.
    pub fn drain_load_events(&mut self) -> Vec<LoadEvent> {
        self.load.take_news()
    }

    /// The load of each service and what is done about it; empty while load control is off.
    pub fn load_reports(&self, now: ClockTime) -> Vec<LoadReport> {
        self.load.reports(now)
    }

    /// Why a new flow is refused for load; none when it may be placed.
    ///
    /// Answers a service that is asked for more than its slots can serve in time. The flow of a
    /// copy may be open elsewhere, and an instance that doubts its list or stood still knows
    /// neither the slots nor when the packet was sent: these refuse nothing. Nor is a flow refused
    /// that has been seen open here, as a network may deliver its opening packet twice.
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
        let opening = opening_of(route, &packet.key);
        self.load.sample(service, opening.caller, flow_hash(&packet.key));
        if self.list_doubt(now).is_some() {
            return None;
        }
        let reason = match self.load.admit(now, service, &opening) {
            AdmissionDecision::Admitted => return None,
            AdmissionDecision::Shortage => RefuseReason::Shortage,
            AdmissionDecision::AccountShare => RefuseReason::AccountShare,
        };
        self.load.refused(now, service, route.priority);
        Some(reason)
    }

    /// What load control would do with a new flow.
    pub(crate) fn explain_load(
        &self,
        now: ClockTime,
        key: &FlowKey,
        route: &FlowRoute,
        service: &ServiceName,
    ) -> Option<LoadExplanation> {
        let service = self.backends.groups().service_index(service)?;
        let report = self.load.report(now, service)?;
        let (verdict, basis) = match self.list_doubt(now) {
            Some(_) => (AdmissionDecision::Admitted, AdmissionBasis::ListDoubt),
            None => (
                self.load.admit(now, service, &opening_of(route, key)),
                self.load.basis(now, service),
            ),
        };
        Some(LoadExplanation {
            report,
            priority: route.priority,
            overflow_to: self.load.centre_for(now, service, flow_hash(key)).cloned(),
            verdict,
            basis,
        })
    }

    /// Looks at which slots are usable, when that is due or the list changed.
    fn renew_slots(&mut self, now: ClockTime) {
        if !self.load.take_slots_due(now) {
            return;
        }
        let (routes, counted_ms) = self.routes_by_service();
        self.request_expiry_ms = counted_ms;
        let services = self.backends.groups().services().iter();
        let found = services.map(|service| {
            let routes = routes.get(&service.name).cloned().unwrap_or_default();
            let groups =
                || service.groups.iter().map(|group| &self.backends.groups().groups()[*group]);
            let members = groups().flat_map(|group| &group.backends);
            let known = members.filter_map(|index| self.backends.get(*index));
            let usual = usual_us(known.filter_map(|backend| backend.latency.mean_us()));
            let slots_of = |group: &BackendGroup| self.usable_slots(now, group, &routes, usual);
            let slots: BTreeMap<CentreName, f64> =
                groups().map(|group| (group.data_centre.clone(), slots_of(group))).collect();
            (routes, usual, slots)
        });
        let found: Vec<_> = found.collect();
        let plans = self.load.plans_of(self.backends.groups());
        for (plan, (routes, usual, slots)) in plans.iter_mut().zip(found) {
            (plan.routes, plan.usual_us, plan.slots) = (routes, usual, slots);
        }
    }

    /// What routes ask for by service, and the time in milliseconds for which a request counts as
    /// running at most.
    ///
    /// Twice the longest aim: when flows move to other instances, their answers pass there, and
    /// the requests would count here until their deadline. A request that takes longer is counted
    /// too short, which refuses less.
    fn routes_by_service(&self) -> (HashMap<ServiceName, ServiceRoutes>, u64) {
        let mut by_service: HashMap<ServiceName, ServiceRoutes> = HashMap::new();
        let mut longest_ms = 0;
        for route in self.routes.iter() {
            let time_ms = match (route.aim_ms, route.timeout_ms) {
                (0, 0) => self.idle_timeout_ms,
                (0, timeout_ms) => timeout_ms,
                (aim_ms, _) => (AIMS_COUNTED * aim_ms).max(LEAST_COUNTED_MS),
            };
            longest_ms = longest_ms.max(time_ms);
            for (service, _) in &route.shares {
                by_service.entry(service.clone()).or_default().add(route);
            }
        }
        (by_service, if longest_ms > 0 { longest_ms } else { self.idle_timeout_ms })
    }

    /// Slots of a group's backend servers that new flows can use.
    ///
    /// One that is slow counts in proportion.
    fn usable_slots(
        &self,
        now: ClockTime,
        group: &BackendGroup,
        routes: &ServiceRoutes,
        usual: f64,
    ) -> f64 {
        let centre = &group.data_centre;
        if self.evacuations.contains(centre) || !routes.allow(self.options.regions.get(centre)) {
            return 0.0;
        }
        let members = group.backends.iter().filter_map(|index| self.backends.get(*index));
        let slots = members.filter(|backend| self.is_usable(now, backend)).map(|backend| {
            f64::from(backend.slots) / counted_slowness(backend.latency.slowness(now, usual))
        });
        slots.sum()
    }

    /// True unless it takes no flows or is surely dead. One that is only ejected counts: false
    /// alarms come in numbers when a network holds packets up, and slots that seem lost would
    /// make it look like a shortage.
    fn is_usable(&self, now: ClockTime, backend: &Backend) -> bool {
        backend.accepts_new_flows(now, self.confirmed_at) && !backend.health.is_dead(now)
    }

    /// Takes the time of an answer into the work time of its service.
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
        let usual = self.load.plan(service).map_or(0.0, |plan| plan.usual_us);
        let slowness = match usual > 0.0 {
            true => counted_slowness(backend.latency.slowness(now, usual)),
            false => 1.0,
        };
        self.load.answered(groups, backend.group, priority, (latency, slowness));
    }

    /// Counts a request that began.
    pub(crate) fn record_arrival(&mut self, now: ClockTime, index: usize, priority: Option<u32>) {
        let Some(backend) = self.backends.get(index) else { return };
        let Some(priority) = priority.filter(|_| self.load.is_on()) else { return };
        self.load.arrived(now, self.backends.groups(), backend.group, priority);
    }

    /// The other data centre to which overflow sends a new flow; none when it stays near.
    pub(crate) fn overflow_centre(
        &self,
        now: ClockTime,
        service: usize,
        key: &FlowKey,
    ) -> Option<CentreName> {
        self.load.centre_for(now, service, flow_hash(key)).cloned()
    }
}

fn opening_of(route: &FlowRoute, key: &FlowKey) -> FlowOpening {
    FlowOpening { priority: route.priority, caller: *key.caller.ip() }
}

/// Slowness as placement counts it: answer times of one service differ by half of their mean.
fn counted_slowness(slowness: f64) -> f64 {
    let (slow, slowest) = (f64::from(SLOW) / 100.0, f64::from(SLOWEST) / 100.0);
    if slowness < slow { 1.0 } else { slowness.min(slowest) }
}
