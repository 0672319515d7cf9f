//! Selection of the backend server for a new flow.
//!
//! While the load of all data centres is known, and slots are scarce or a flow overflows to another
//! data centre, the router examines a sample of the backend servers, because many openings arrive
//! then and the list may be long. Otherwise, or without a good candidate in the sample, it examines
//! all of them.

use foxledge_core::{names::CentreName, time::ClockTime};

use crate::{
    candidates::{CandidateScope, CandidateSet, FlowPlacement, NewFlow},
    load_control::GroupSubset,
    placement::PlacementBound,
    router::FlowRouter,
    routes::flow_hash,
};

/// Maximum sample size: backend servers of a group, or of its preferred subset.
const MAX_EXAMINED_BACKENDS: usize = 64;

/// Where load control wants a new flow to be placed.
struct PlacementHint {
    /// The data centre that should serve it.
    centre: CentreName,
    /// True when overflow selected a data centre other than that of this instance.
    is_overflow: bool,
    /// The service's group there.
    group: Option<usize>,
    /// Median response time among backend servers of the service, in microseconds.
    median_latency_us: f64,
}

impl FlowRouter {
    /// Chooses the backend server of a new flow.
    pub(crate) fn place_flow(&mut self, now: ClockTime, flow: &NewFlow<'_>) -> FlowPlacement {
        let own_centre = self.options.data_centre.clone();
        let Some(hint) = self.placement_hint(now, flow) else {
            let median_latency_us = self.median_latency_us(flow.service);
            return self.place_among_all(now, flow, (&own_centre, None), median_latency_us);
        };
        if let Some(placement) = self.place_in_sample(now, flow, &hint) {
            return placement;
        }
        let preference = (&hint.centre, hint.group);
        let mut placement = self.place_among_all(now, flow, preference, hint.median_latency_us);
        if !hint.is_overflow {
            return placement;
        }
        if !self.is_placed_in(&placement, &hint.centre) {
            return self.place_among_all(now, flow, (&own_centre, None), hint.median_latency_us);
        }
        placement.overflow_to = Some(hint.centre);
        placement
    }

    /// Returns where load control wants a flow to be placed, or `None` when the load is unknown, or
    /// when the flow doesn't overflow and local slots are plentiful.
    fn placement_hint(&self, now: ClockTime, flow: &NewFlow<'_>) -> Option<PlacementHint> {
        if !self.load.is_steering(now) {
            return None;
        }
        let groups = self.backends.groups();
        let service = groups.service_index(flow.service)?;
        let overflow = self.overflow_centre(now, service, flow.key);
        let is_overflow = overflow.is_some();
        let centre = overflow.unwrap_or_else(|| self.options.data_centre.clone());
        let group = groups.group_in(service, &centre);
        let median_latency_us = self.load.plan(service)?.median_latency_us;
        let is_scarce = group.is_some_and(|group| self.load.subset(now, group).is_some());
        (is_overflow || is_scarce).then_some(PlacementHint {
            centre,
            is_overflow,
            group,
            median_latency_us,
        })
    }

    /// Examines a sample of the preferred subset, then a sample of all backend servers of the
    /// hint's data centre. Returns `None` when the best one is unhealthy, or costs more than an
    /// idle one in another data centre.
    fn place_in_sample(
        &mut self,
        now: ClockTime,
        flow: &NewFlow<'_>,
        hint: &PlacementHint,
    ) -> Option<FlowPlacement> {
        let group = hint.group?;
        let hash = flow_hash(flow.key);
        let subset = self.load.subset(now, group);
        let preferred: Vec<usize> =
            subset.map(|one| sample_indexes(one.preferred(), hash)).unwrap_or_default();
        if let Some(placement) = self.place_within_bound(
            now,
            flow,
            hint,
            preferred.clone(),
            PlacementBound::OutsideSubset,
        ) {
            return Some(placement);
        }
        let mut indexes = sample_indexes(&self.backends.groups().groups()[group].backends, hash);
        indexes.retain(|index| !preferred.contains(index));
        indexes.extend(preferred);
        self.place_within_bound(now, flow, hint, indexes, PlacementBound::Remote)
    }

    /// Chooses the best of the backend servers with these indexes, or returns `None` if it doesn't
    /// meet the bound.
    fn place_within_bound(
        &mut self,
        now: ClockTime,
        flow: &NewFlow<'_>,
        hint: &PlacementHint,
        indexes: Vec<usize>,
        bound: PlacementBound,
    ) -> Option<FlowPlacement> {
        if indexes.is_empty() {
            return None;
        }
        let scope = CandidateScope {
            local_centre: &hint.centre,
            preferred_subset: hint.group.and_then(|group| self.preferred_subset(now, group)),
            median_latency_us: hint.median_latency_us,
        };
        let CandidateSet { candidates, barrier } =
            self.find_candidates(now, flow, &scope, indexes.into_iter());
        let (index, rank) = self.policy.choose(now, &candidates)?;
        let slots = self.backends.get(index)?.slots;
        let overflow_to = hint.is_overflow.then(|| hint.centre.clone());
        let choice = Some((index, rank));
        bound.is_met_by(&rank, slots).then_some(FlowPlacement {
            choice,
            candidates,
            barrier,
            overflow_to,
        })
    }

    /// Chooses the best of all backend servers of the service. Those in `local_centre` cost the
    /// least, and those in the preferred subset of `group` are preferred.
    fn place_among_all(
        &mut self,
        now: ClockTime,
        flow: &NewFlow<'_>,
        (local_centre, group): (&CentreName, Option<usize>),
        median_latency_us: f64,
    ) -> FlowPlacement {
        let preferred_subset = group.and_then(|group| self.preferred_subset(now, group));
        let scope = CandidateScope { local_centre, preferred_subset, median_latency_us };
        let indexes = self.backends.service_indexes(flow.service).iter().copied();
        let CandidateSet { candidates, barrier } = self.find_candidates(now, flow, &scope, indexes);
        let choice = self.policy.choose(now, &candidates);
        FlowPlacement { choice, candidates, barrier, overflow_to: None }
    }

    /// Returns a group with its preferred subset, while its slots are scarce.
    fn preferred_subset(&self, now: ClockTime, group: usize) -> Option<(usize, &GroupSubset)> {
        self.load.subset(now, group).map(|subset| (group, subset))
    }

    /// Returns true when the chosen backend server is healthy and in `centre`.
    fn is_placed_in(&self, placement: &FlowPlacement, centre: &CentreName) -> bool {
        placement.choice.is_some_and(|(index, rank)| {
            let backend = self.backends.get(index);
            rank.health_penalty == 0
                && backend.is_some_and(|backend| backend.data_centre == *centre)
        })
    }
}

/// Returns at most [`MAX_EXAMINED_BACKENDS`] consecutive indexes from a start that the hash
/// determines.
fn sample_indexes(indexes: &[usize], hash: u64) -> Vec<usize> {
    let start = hash as usize % indexes.len().max(1);
    indexes
        .iter()
        .copied()
        .cycle()
        .skip(start)
        .take(indexes.len().min(MAX_EXAMINED_BACKENDS))
        .collect()
}
