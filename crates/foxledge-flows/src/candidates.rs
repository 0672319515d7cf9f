//! Candidates for the placement of a new flow.

use foxledge_core::{
    names::{CentreName, ServiceName},
    time::ClockTime,
};

use crate::{
    backends::Backend,
    cold::ColdQuota,
    health::HealthClass,
    latency::median_latency_us,
    load_control::GroupSubset,
    mechanisms::RouterMechanism,
    packet::FlowKey,
    placement::{PlacementCandidate, PlacementRank},
    router::FlowRouter,
    routes::{FlowRoute, flow_hash},
};

/// Openings in a row that backend servers of other data centres must leave unanswered before these
/// data centres count as unreachable.
const MIN_REMOTE_TIMEOUTS: u32 = 3;

/// A flow to be placed.
pub(crate) struct NewFlow<'a> {
    /// Addresses of the flow.
    pub key: &'a FlowKey,
    /// The route that matches it.
    pub route: &'a FlowRoute,
    /// The service that the route selects.
    pub service: &'a ServiceName,
    /// The backend server that left the flow's opening packet unanswered.
    pub unresponsive_backend: Option<usize>,
}

/// The backend servers that can receive a new flow.
#[derive(Clone, Debug, Default)]
pub(crate) struct CandidateSet {
    /// Backend servers that accept it.
    pub candidates: Vec<PlacementCandidate>,
    /// The strongest reason why other backend servers that take flows don't accept this one.
    pub barrier: Option<PlacementBarrier>,
}

/// Where a new flow goes.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowPlacement {
    /// Index and rank of the chosen candidate, or `None` when no backend server accepts the flow.
    pub choice: Option<(usize, PlacementRank)>,
    /// The candidates that were examined.
    pub candidates: Vec<PlacementCandidate>,
    /// The strongest reason why other backend servers that take flows don't accept this one.
    pub barrier: Option<PlacementBarrier>,
    /// The other data centre that overflow selected; `None` when the flow stays in its own, or when
    /// no backend server there accepts it.
    pub overflow_to: Option<CentreName>,
}

/// What keeps a new flow from a backend server that takes other flows. A later variant outweighs an
/// earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementBarrier {
    /// The route doesn't allow its region.
    Region,
    /// It is cold, and its quota of new flows is used up or reserved for other instances.
    Cold,
    /// Its data centre is evacuated.
    Evacuation,
}

/// What candidates for a flow are compared with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateScope<'a> {
    /// The data centre whose backend servers count as local.
    pub local_centre: &'a CentreName,
    /// The local group that is shared out among instances, and the subset of it that this instance
    /// prefers.
    pub preferred_subset: Option<(usize, &'a GroupSubset)>,
    /// Median response time among backend servers of the service, in microseconds.
    pub median_latency_us: f64,
}

/// What limits the placement of a flow.
#[derive(Clone, Copy, Debug)]
struct PlacementLimits<'a> {
    /// The route that matches the flow.
    route: &'a FlowRoute,
    /// The quota of new flows for cold backend servers of its service; `None` without a limit.
    cold_quota: Option<ColdQuota>,
    /// True when neither the store nor backend servers of other data centres are reachable.
    is_isolated: bool,
}

impl FlowRouter {
    /// Returns the median response time among backend servers of a service, in microseconds.
    pub(crate) fn median_latency_us(&self, service: &ServiceName) -> f64 {
        let indexes = self.backends.service_indexes(service).iter();
        let backends = indexes.filter_map(|index| self.backends.get(*index));
        median_latency_us(backends.filter_map(|backend| backend.latency.mean_us()))
    }

    /// Returns those of some backend servers that accept a new flow.
    ///
    /// Backend servers of evacuated data centres don't, with one exception: when the local data
    /// centre is evacuated and this instance reaches neither the store nor other data centres,
    /// callers can reach only local backend servers. An instance there can't learn whether the
    /// evacuation still holds.
    pub(crate) fn find_candidates(
        &self,
        now: ClockTime,
        flow: &NewFlow<'_>,
        scope: &CandidateScope<'_>,
        indexes: impl Iterator<Item = usize>,
    ) -> CandidateSet {
        let limits = PlacementLimits {
            route: flow.route,
            cold_quota: self.cold_quota(flow.service),
            is_isolated: self.is_isolated(now),
        };
        let mut set = CandidateSet::default();
        for index in indexes {
            let Some(backend) = self.backends.get(index) else { continue };
            if !backend.accepts_new_flows(now, self.confirmed_at) {
                continue;
            }
            match self.find_barrier(now, backend, &limits) {
                Some(barrier) => set.barrier = set.barrier.max(Some(barrier)),
                None => {
                    set.candidates.push(self.build_candidate(now, flow, scope, (index, backend)))
                }
            }
        }
        set
    }

    fn build_candidate(
        &self,
        now: ClockTime,
        flow: &NewFlow<'_>,
        scope: &CandidateScope<'_>,
        (index, backend): (usize, &Backend),
    ) -> PlacementCandidate {
        // Ties are broken by a hash of the flow, so that instances without load data don't all
        // start with the same backend server.
        let tie_breaker = match backend.last_placement {
            0 => flow_hash(flow.key).wrapping_mul(backend.number | 1) >> 40,
            counter => (1 << 24) + counter,
        };
        PlacementCandidate {
            index,
            health: self.effective_health(now, backend),
            pending_openings: self.openings.pending_count(index),
            is_unresponsive: flow.unresponsive_backend == Some(index),
            is_same_centre: backend.data_centre == *scope.local_centre
                || !self.has_mechanism(RouterMechanism::Distance),
            running_requests: backend.running_requests,
            slots: backend.slots,
            slowness_percent: match self.has_mechanism(RouterMechanism::Slowness) {
                true => (backend.latency.slowness(now, scope.median_latency_us) * 100.0) as u32,
                false => 100,
            },
            is_cold: backend.is_cold(now) && self.has_mechanism(RouterMechanism::Cold),
            is_outside_subset: scope
                .preferred_subset
                .is_some_and(|(group, subset)| backend.group == group && !subset.contains(index)),
            open_flows: backend.recent_flows(now),
            last_placement: tie_breaker,
        }
    }

    /// Returns what keeps a new flow from a backend server that takes flows. Each limit is checked
    /// for itself: an exception from one doesn't lift another.
    fn find_barrier(
        &self,
        now: ClockTime,
        backend: &Backend,
        limits: &PlacementLimits<'_>,
    ) -> Option<PlacementBarrier> {
        let route = limits.route;
        let is_allowed = |region| route.regions.contains(region);
        let region = self.options.regions.get(&backend.data_centre);
        if !route.regions.is_empty() && !region.is_some_and(is_allowed) {
            return Some(PlacementBarrier::Region);
        }
        let is_only_reachable = limits.is_isolated && self.is_local(backend);
        if self.evacuations.contains(&backend.data_centre) && !is_only_reachable {
            return Some(PlacementBarrier::Evacuation);
        }
        (!self.has_cold_quota(now, backend, limits.cold_quota)).then_some(PlacementBarrier::Cold)
    }

    /// Returns the quota of new flows for the cold backend servers of a service, or `None` without
    /// a limit.
    pub(crate) fn cold_quota(&self, service: &ServiceName) -> Option<ColdQuota> {
        self.services.get(service).and_then(|limits| self.options.cold.quota(limits))
    }

    /// Returns true when one more new flow to a backend server keeps this instance within `quota`,
    /// which applies while the backend server is cold.
    pub(crate) fn has_cold_quota(
        &self,
        now: ClockTime,
        backend: &Backend,
        quota: Option<ColdQuota>,
    ) -> bool {
        let Some(quota) = quota.filter(|_| backend.is_cold(now)) else { return true };
        self.is_local(backend)
            && self.centre_peers.is_sender(now, backend.number, quota.senders)
            && backend.cold_flows.has_capacity(now, quota.flows)
    }

    fn is_local(&self, backend: &Backend) -> bool {
        backend.data_centre == self.options.data_centre
    }

    /// Returns true when neither the store nor backend servers of other data centres are reachable.
    fn is_isolated(&self, now: ClockTime) -> bool {
        self.remote_timeouts >= MIN_REMOTE_TIMEOUTS && self.is_store_unreachable(now)
    }

    /// Returns the health of a backend server, as far as the mechanism that acts on it is enabled.
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
