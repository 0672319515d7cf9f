//! Estimation of the requests behind the arriving openings, which include retries.

use std::collections::{BTreeMap, VecDeque};

use foxledge_core::time::ClockTime;
use foxledge_load::PriorityLoad;

use crate::capacity::arrivals_per_s;

/// The range of the estimated openings for a request that is refused every time. The initial
/// estimate is the upper end, because a caller retries a refused request twice.
const TRIES_PER_REQUEST: (f64, f64) = (1.0, 3.0);
/// The change of the estimate per second, for each request per slot that the load deviates from its
/// target. At 1.0, a load of five times the slots oscillates.
const ADJUSTMENT_PER_S: f64 = 0.5;
/// The time constant with which reported arrivals decay, in seconds.
const ARRIVAL_DECAY_S: f64 = 0.25;
/// The maximum deviation from the target load that an adjustment takes into account, in requests
/// per slot. The backlog that a burst builds up before it is visible does not result from retries.
const MAX_EXCESS: f64 = 0.5;
/// The maximum number of plans kept until a view arrives that was reported after them: one per
/// 25 ms for 400 ms, the maximum age of a usable view.
const MAX_PLANS: usize = 16;

/// What a plan admits.
#[derive(Clone, Debug)]
pub struct PlannedShares {
    /// Admitted share of the requests by priority; a priority without an entry is fully admitted.
    pub shares: BTreeMap<u32, f64>,
    /// The fraction of the demand that remains after the excess of heavy accounts is refused.
    pub demand_fraction: f64,
}

impl Default for PlannedShares {
    fn default() -> PlannedShares {
        PlannedShares { shares: BTreeMap::new(), demand_fraction: 1.0 }
    }
}

/// Estimates the requests behind the reported openings, some of which are retries, from the share
/// of requests that was admitted while the openings were counted.
///
/// The readmission window refuses all tries of a caller that follow each other closely. A refused
/// request therefore arrives three times, an admitted one once.
#[derive(Clone, Debug)]
pub struct RetryEstimate {
    /// Estimated openings that a caller makes for a request that is refused every time.
    tries: f64,
    adjusted_at: ClockTime,
    /// Mean admitted shares up to `averaged_until`, weighted like the reported arrivals.
    admitted: BTreeMap<u32, f64>,
    averaged_until: ClockTime,
    /// The shares in force at `averaged_until`.
    current: PlannedShares,
    /// The later shares, with the times from which they are in force.
    later_plans: VecDeque<(ClockTime, PlannedShares)>,
}

impl Default for RetryEstimate {
    fn default() -> RetryEstimate {
        RetryEstimate {
            tries: TRIES_PER_REQUEST.1,
            adjusted_at: ClockTime::ZERO,
            admitted: BTreeMap::new(),
            averaged_until: ClockTime::ZERO,
            current: PlannedShares::default(),
            later_plans: VecDeque::new(),
        }
    }
}

impl RetryEstimate {
    /// Adjusts the estimated retries for a load that is `excess` requests per slot above its target
    /// during a shortage.
    ///
    /// If callers retry less often than assumed, too many requests are admitted, and the load
    /// rises.
    pub fn adjust(&mut self, now: ClockTime, excess: f64) {
        let elapsed_s = now.since(self.adjusted_at).as_secs_f64().min(0.1);
        self.adjusted_at = now;
        self.tries = (self.tries
            - excess.clamp(-MAX_EXCESS, MAX_EXCESS) * elapsed_s * ADJUSTMENT_PER_S)
            .clamp(TRIES_PER_REQUEST.0, TRIES_PER_REQUEST.1);
    }

    /// Records what is admitted from `now` on.
    pub fn record_plan(&mut self, now: ClockTime, planned: PlannedShares) {
        if self.later_plans.len() == MAX_PLANS {
            self.advance_plan();
        }
        self.later_plans.push_back((now, planned));
    }

    /// Returns the requests per second, by priority, behind the arrivals reported at `reported_at`,
    /// without the retries of refused requests.
    pub fn requests_per_s(
        &mut self,
        reported_at: ClockTime,
        priorities: &BTreeMap<u32, PriorityLoad>,
    ) -> BTreeMap<u32, f64> {
        while self
            .later_plans
            .front()
            .is_some_and(|(started_at, _)| started_at.is_past(reported_at))
        {
            self.advance_plan();
        }
        self.average_until(reported_at);
        let requests = |(priority, load): (&u32, &PriorityLoad)| {
            let admitted = self.admitted.get(priority).copied().unwrap_or(1.0);
            let tries = admitted + self.tries * (1.0 - admitted);
            (*priority, arrivals_per_s(load) / tries)
        };
        priorities.iter().map(requests).collect()
    }

    /// Returns the seconds from the `reported_at` of the last [`RetryEstimate::requests_per_s`]
    /// until `now`, and the work admitted in that time, in seconds of one busy slot. `demands` are
    /// the slots that the requests need, by priority.
    pub fn admitted_work_until(&self, now: ClockTime, demands: &BTreeMap<u32, f64>) -> (f64, f64) {
        let admitted = |planned: &PlannedShares| -> f64 {
            let share = |priority| planned.shares.get(priority).copied().unwrap_or(1.0);
            let each = demands.iter().map(|(priority, demand)| demand * share(priority));
            each.sum::<f64>() * planned.demand_fraction
        };
        let begins =
            std::iter::once(self.averaged_until).chain(self.later_plans.iter().map(|plan| plan.0));
        let ends = self.later_plans.iter().map(|plan| plan.0).chain(std::iter::once(now));
        let plans =
            std::iter::once(&self.current).chain(self.later_plans.iter().map(|plan| &plan.1));
        let spans = begins.zip(ends).map(|(begin, end)| end.since(begin).as_secs_f64());
        let work = spans.zip(plans).map(|(span_s, planned)| span_s * admitted(planned));
        (now.since(self.averaged_until).as_secs_f64(), work.sum())
    }

    /// Advances to the shares of the next plan.
    fn advance_plan(&mut self) {
        if let Some((started_at, planned)) = self.later_plans.pop_front() {
            self.average_until(started_at);
            self.current = planned;
        }
    }

    /// Advances the mean admitted shares to `until` with the shares in force.
    fn average_until(&mut self, until: ClockTime) {
        let elapsed_s = until.since(self.averaged_until).as_secs_f64();
        self.averaged_until = self.averaged_until.max(until);
        let weight = 1.0 - (-elapsed_s / ARRIVAL_DECAY_S).exp();
        for priority in self.current.shares.keys() {
            self.admitted.entry(*priority).or_insert(1.0);
        }
        for (priority, admitted) in &mut self.admitted {
            let share = self.current.shares.get(priority).copied().unwrap_or(1.0);
            *admitted += (share - *admitted) * weight;
        }
        self.admitted.retain(|_, admitted| *admitted < 0.999);
    }
}
