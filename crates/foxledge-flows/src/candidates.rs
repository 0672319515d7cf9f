//! What a new flow can be placed on, as this instance sees it.

use foxledge_core::{
    names::{CentreName, ServiceName},
    time::ClockTime,
};

use crate::{
    backends::Backend,
    cold::ColdQuota,
    health::HealthClass,
    latency::usual_us,
    load_control::GroupSubset,
    mechanisms::RouterMechanism,
    packet::FlowKey,
    placement::{PlacementCandidate, PlacementRank},
    router::FlowRouter,
    routes::{FlowRoute, flow_hash},
};

/// Backend servers of other data centres that must have left openings unanswered, one after the
/// other with no answer between, for these data centres to count as out of reach.
const FAR_SILENCES: u32 = 3;

/// `NewFlow` is a flow that is to be placed.
pub(crate) struct NewFlow<'a> {
    /// The flow.
    pub key: &'a FlowKey,
    /// The route that decides.
    pub route: &'a FlowRoute,
    /// The service that it leads to.
    pub service: &'a ServiceName,
    /// The backend server that left the flow's opening packet unanswered.
    pub avoided: Option<usize>,
}

/// `CandidateSet` is the backend servers that a new flow can go to.
#[derive(Clone, Debug, Default)]
pub(crate) struct CandidateSet {
    /// Those that take it.
    pub candidates: Vec<PlacementCandidate>,
    /// Why others that would take flows don't take this one: the last reason, of several.
    pub barrier: Option<FlowBarrier>,
}

/// `FlowPlacement` is where a new flow goes.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowPlacement {
    /// The choice, with its rank; none when no backend server takes the flow.
    pub choice: Option<(usize, PlacementRank)>,
    /// What it was chosen from.
    pub candidates: Vec<PlacementCandidate>,
    /// Why others that would take flows don't take this one: the last reason, of several.
    pub barrier: Option<FlowBarrier>,
    /// The other data centre that overflow named; none when the flow stays near, or none of
    /// that one takes it.
    pub overflow_to: Option<CentreName>,
}

/// `FlowBarrier` is what keeps a new flow from a backend server that takes others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FlowBarrier {
    /// It is of a region that the route doesn't allow.
    Region,
    /// It is cold and has had its share of new flows, or is left to other instances.
    Cold,
    /// Its data centre is evacuated.
    Evacuation,
}

/// `CandidateView` is how candidates for a flow are looked at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateView<'a> {
    /// The data centre whose backend servers count as near.
    pub near: &'a CentreName,
    /// The near group of which some are left to other instances, and those that aren't.
    pub shared: Option<(usize, &'a GroupSubset)>,
    /// The usual answer time among backend servers of the service, in microseconds.
    pub usual: f64,
}

impl FlowRouter {
    /// The usual answer time among backend servers of a service, in microseconds.
    pub(crate) fn usual_time(&self, service: &ServiceName) -> f64 {
        let indexes = self.backends.service_indexes(service).iter();
        let known = indexes.filter_map(|index| self.backends.get(*index));
        usual_us(known.filter_map(|backend| backend.latency.mean_us()))
    }

    /// Backend servers among some that take a new flow.
    ///
    /// Those of evacuated data centres don't, with one exception: where the own data centre is
    /// evacuated and cut off from the others and from the store, near ones are all that callers
    /// can reach. Nobody hears there whether the evacuation still holds.
    pub(crate) fn candidates(
        &self,
        now: ClockTime,
        flow: &NewFlow<'_>,
        view: &CandidateView<'_>,
        indexes: impl Iterator<Item = usize>,
    ) -> CandidateSet {
        let quota = self.services.get(flow.service).and_then(|one| self.options.cold.quota(one));
        let is_cut_off = self.is_cut_off(now);
        let mut set = CandidateSet::default();
        for index in indexes {
            let Some(backend) = self.backends.get(index) else { continue };
            if !backend.accepts_new_flows(now, self.confirmed_at) {
                continue;
            }
            let barrier = self.barrier(now, flow.route, backend, quota).filter(|barrier| {
                let is_near = backend.data_centre == self.options.data_centre;
                !(*barrier == FlowBarrier::Evacuation && is_cut_off && is_near)
            });
            match barrier {
                Some(barrier) => set.barrier = set.barrier.max(Some(barrier)),
                None => set.candidates.push(self.candidate(now, flow, view, (index, backend))),
            }
        }
        set
    }

    fn candidate(
        &self,
        now: ClockTime,
        flow: &NewFlow<'_>,
        view: &CandidateView<'_>,
        (index, backend): (usize, &Backend),
    ) -> PlacementCandidate {
        // Each flow starts its look elsewhere, so that instances that know
        // nothing yet don't all begin with the same backend server.
        let tie = match backend.last_placement {
            0 => flow_hash(flow.key).wrapping_mul(backend.number | 1) >> 40,
            picked => (1 << 24) + picked,
        };
        PlacementCandidate {
            index,
            health: self.effective_health(now, backend),
            pending_openings: self.openings.pending_count(index),
            is_unresponsive: flow.avoided == Some(index),
            is_same_centre: backend.data_centre == *view.near
                || !self.has_mechanism(RouterMechanism::Distance),
            running_requests: backend.running_requests,
            slots: backend.slots,
            slowness_percent: match self.has_mechanism(RouterMechanism::Slowness) {
                true => (backend.latency.slowness(now, view.usual) * 100.0) as u32,
                false => 100,
            },
            is_cold: backend.is_cold(now) && self.has_mechanism(RouterMechanism::Cold),
            is_outside_subset: view
                .shared
                .is_some_and(|(group, subset)| backend.group == group && !subset.holds(index)),
            open_flows: backend.recent_flows(now),
            last_placement: tie,
        }
    }

    /// What keeps a route's new flows from a backend server that takes flows.
    fn barrier(
        &self,
        now: ClockTime,
        route: &FlowRoute,
        backend: &Backend,
        quota: Option<ColdQuota>,
    ) -> Option<FlowBarrier> {
        let is_allowed = |region| route.regions.contains(region);
        let region = self.options.regions.get(&backend.data_centre);
        if !route.regions.is_empty() && !region.is_some_and(is_allowed) {
            return Some(FlowBarrier::Region);
        }
        if self.evacuations.contains(&backend.data_centre) {
            return Some(FlowBarrier::Evacuation);
        }
        let quota = quota.filter(|_| backend.is_cold(now))?;
        let is_near = backend.data_centre == self.options.data_centre;
        let has_share = is_near
            && self.centre_peers.is_sender(now, backend.number, quota.senders)
            && backend.cold_flows.has_capacity(now, quota.flows);
        (!has_share).then_some(FlowBarrier::Cold)
    }

    /// True when neither the store nor backend servers of other data centres are in reach.
    fn is_cut_off(&self, now: ClockTime) -> bool {
        self.remote_timeouts >= FAR_SILENCES && self.is_store_unreachable(now)
    }

    /// What counts of a backend server's health here.
    pub(crate) fn effective_health(&self, now: ClockTime, backend: &Backend) -> HealthClass {
        let class = backend.health.class(now);
        let mechanism = match class {
            HealthClass::Healthy => return class,
            HealthClass::Probation => RouterMechanism::Probation,
            HealthClass::Suspect => RouterMechanism::Suspicion,
            HealthClass::Ejected => RouterMechanism::Ejection,
        };
        if self.has_mechanism(mechanism) { class } else { HealthClass::Healthy }
    }
}
