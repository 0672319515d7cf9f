//! The choice of a backend server for a new flow.
//!
//! While the load of all is known and slots are scarce, an opening is placed by a look at few
//! backend servers, as many openings come then and the list may be long. Else all are looked at.

use foxledge_core::{names::CentreName, time::ClockTime};

use crate::{
    candidates::{CandidateSet, CandidateView, FlowPlacement, NewFlow},
    load_control::GroupSubset,
    placement::PlacementBound,
    router::FlowRouter,
    routes::flow_hash,
};

/// Most backend servers of a group or of its subset that one look takes in.
const LOOK_LIMIT: usize = 64;

/// `PlacingGuide` is what load control says of a new flow's place.
struct PlacingGuide {
    /// The data centre that is to serve it.
    centre: CentreName,
    /// True when that is another than the own one.
    is_overflow: bool,
    /// The service's group there.
    group: Option<usize>,
    /// The usual answer time among backend servers of the service, in microseconds.
    usual: f64,
}

impl FlowRouter {
    /// Chooses the backend server of a new flow.
    pub(crate) fn place(&mut self, now: ClockTime, flow: &NewFlow<'_>) -> FlowPlacement {
        let own = self.options.data_centre.clone();
        let Some(guide) = self.guide(now, flow) else {
            let usual = self.usual_time(flow.service);
            return self.place_among_all(now, flow, (&own, None), usual);
        };
        if let Some(placement) = self.place_among_few(now, flow, &guide) {
            return placement;
        }
        let near = (&guide.centre, guide.group);
        let mut placement = self.place_among_all(now, flow, near, guide.usual);
        if !guide.is_overflow {
            return placement;
        }
        if !self.is_served_by(&placement, &guide.centre) {
            return self.place_among_all(now, flow, (&own, None), guide.usual);
        }
        placement.overflow_to = Some(guide.centre);
        placement
    }

    /// What load control says of a flow; none while it says nothing.
    fn guide(&self, now: ClockTime, flow: &NewFlow<'_>) -> Option<PlacingGuide> {
        if !self.load.is_steering(now) {
            return None;
        }
        let groups = self.backends.groups();
        let service = groups.service_index(flow.service)?;
        let overflow = self.overflow_centre(now, service, flow.key);
        let is_overflow = overflow.is_some();
        let centre = overflow.unwrap_or_else(|| self.options.data_centre.clone());
        let group = groups.group_in(service, &centre);
        let usual = self.load.plan(service)?.usual_us;
        let is_scarce = group.is_some_and(|group| self.load.subset(now, group).is_some());
        (is_overflow || is_scarce).then_some(PlacingGuide { centre, is_overflow, group, usual })
    }

    /// Looks at the own subset of the data centre's backend servers, then at some of all of
    /// them; none when what is found there is unhealthy, or no better than what is beyond.
    fn place_among_few(
        &mut self,
        now: ClockTime,
        flow: &NewFlow<'_>,
        guide: &PlacingGuide,
    ) -> Option<FlowPlacement> {
        let group = guide.group?;
        let hash = flow_hash(flow.key);
        let subset = self.load.subset(now, group);
        let chosen: Vec<usize> = subset.map(|one| sample(one.chosen(), hash)).unwrap_or_default();
        if let Some(placement) =
            self.place_among(now, flow, guide, chosen.clone(), PlacementBound::Outside)
        {
            return Some(placement);
        }
        let mut indexes = sample(&self.backends.groups().groups()[group].backends, hash);
        indexes.retain(|index| !chosen.contains(index));
        indexes.extend(chosen);
        self.place_among(now, flow, guide, indexes, PlacementBound::Far)
    }

    /// The best of some backend servers, if it holds against what is beyond them.
    fn place_among(
        &mut self,
        now: ClockTime,
        flow: &NewFlow<'_>,
        guide: &PlacingGuide,
        indexes: Vec<usize>,
        bound: PlacementBound,
    ) -> Option<FlowPlacement> {
        if indexes.is_empty() {
            return None;
        }
        let view = CandidateView {
            near: &guide.centre,
            shared: guide.group.and_then(|group| self.shared(now, group)),
            usual: guide.usual,
        };
        let CandidateSet { candidates, barrier } =
            self.candidates(now, flow, &view, indexes.into_iter());
        let (index, rank) = self.policy.choose(now, &candidates)?;
        let slots = self.backends.get(index)?.slots;
        let overflow_to = guide.is_overflow.then(|| guide.centre.clone());
        let choice = Some((index, rank));
        bound.holds(&rank, slots).then_some(FlowPlacement {
            choice,
            candidates,
            barrier,
            overflow_to,
        })
    }

    /// The best of all backend servers, where those in `near` count as near, of which the subset
    /// of `group` is preferred.
    fn place_among_all(
        &mut self,
        now: ClockTime,
        flow: &NewFlow<'_>,
        (near, group): (&CentreName, Option<usize>),
        usual: f64,
    ) -> FlowPlacement {
        let shared = group.and_then(|group| self.shared(now, group));
        let view = CandidateView { near, shared, usual };
        let indexes = self.backends.service_indexes(flow.service).iter().copied();
        let CandidateSet { candidates, barrier } = self.candidates(now, flow, &view, indexes);
        let choice = self.policy.choose(now, &candidates);
        FlowPlacement { choice, candidates, barrier, overflow_to: None }
    }

    fn shared(&self, now: ClockTime, group: usize) -> Option<(usize, &GroupSubset)> {
        self.load.subset(now, group).map(|subset| (group, subset))
    }

    /// True when a flow goes to a healthy backend server of a data centre.
    fn is_served_by(&self, placement: &FlowPlacement, centre: &CentreName) -> bool {
        placement.choice.is_some_and(|(index, rank)| {
            let backend = self.backends.get(index);
            rank.health_penalty == 0
                && backend.is_some_and(|backend| backend.data_centre == *centre)
        })
    }
}

/// Some of many indexes, the same for the same hash.
fn sample(indexes: &[usize], hash: u64) -> Vec<usize> {
    let start = hash as usize % indexes.len().max(1);
    indexes.iter().copied().cycle().skip(start).take(indexes.len().min(LOOK_LIMIT)).collect()
}
