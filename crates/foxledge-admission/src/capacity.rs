//! Estimation of the load and the free capacity of a service.

use std::collections::BTreeMap;

use foxledge_load::PriorityLoad;

use crate::interface::ServiceSnapshot;

/// The range of the target load, in requests per slot: at the lower end all slots stay busy, at the
/// upper end requests wait as long as they run.
const TARGET_LOADS: (f64, f64) = (1.25, 2.0);
/// The gain of the load controller: the fraction of the slots by which the capacity changes for
/// each request per slot that the load deviates from its target. Larger gains follow the noise of
/// the views, and the load settles above the target.
const GAIN: f64 = 0.3;
/// The minimum capacity, as a fraction of the slots. At 0.1, a load of five times the slots seen
/// through views that are 250 ms late oscillates: slots run empty before the end of the backlog is
/// visible.
const MIN_CAPACITY: f64 = 0.3;
/// The load, in requests per slot, below which nothing is refused.
const REFUSAL_LOAD: f64 = 1.0;
/// The load, in requests per slot, below which nothing is refused while work times are unknown and
/// the demand can only be estimated from the load.
const REFUSAL_LOAD_WITHOUT_WORK_TIME: f64 = 3.0;

/// The estimated load and capacity of a service at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityEstimate {
    /// Requests that run or wait, per slot, as reported.
    pub load: f64,
    /// The load that is expected now, in requests per slot: the reported one, corrected for what
    /// was admitted and served since.
    pub expected_load: f64,
    /// Usable slots.
    pub slots: f64,
    /// Mean work time in seconds; `None` if unknown.
    pub work_s: Option<f64>,
    /// The load, in requests per slot, at which all slots stay busy and waiting requests still meet
    /// the latency target.
    pub target: f64,
    /// Slots that new requests may use; more or less than all slots, to steer the load to its
    /// target.
    pub capacity: f64,
    /// Requests per second, without retries of refused ones.
    pub requests_per_s: f64,
    /// Slots that these requests need, by priority.
    pub demands: BTreeMap<u32, f64>,
    /// The load, in requests per slot, from which openings may be refused.
    pub refusal_load: f64,
}

impl CapacityEstimate {
    /// Estimates the load of a service from its snapshot and its `requests_per_s` by priority,
    /// which exclude retries. Returns `None` without slots.
    pub fn from_snapshot(
        snapshot: &ServiceSnapshot,
        requests_per_s: &BTreeMap<u32, f64>,
    ) -> Option<CapacityEstimate> {
        if !(snapshot.slots > 0.0 && snapshot.running.is_finite()) {
            return None;
        }
        let load = snapshot.running.max(0.0) / snapshot.slots;
        let work_s = mean_work_s(&snapshot.priorities);
        let all_per_s: f64 = requests_per_s.values().sum();
        // If all slots of the service are busy, the requests in progress need all slots.
        let default_work_s = work_s.unwrap_or(snapshot.slots / all_per_s.max(f64::MIN_POSITIVE));
        let demand = |(priority, per_s): (&u32, &f64)| {
            let known_s = snapshot.priorities.get(priority).and_then(known_work_s);
            (*priority, per_s * known_s.unwrap_or(default_work_s))
        };
        let target = target_load(snapshot.latency_target_ms, work_s);
        Some(CapacityEstimate {
            load,
            expected_load: load,
            slots: snapshot.slots,
            work_s,
            target,
            capacity: capacity_at(load, target, snapshot.slots),
            requests_per_s: all_per_s,
            demands: requests_per_s.iter().map(demand).collect(),
            refusal_load: work_s.map_or(REFUSAL_LOAD_WITHOUT_WORK_TIME, |_| REFUSAL_LOAD),
        })
    }

    /// Returns the estimate for the load that is expected `age_s` seconds after the report, if work
    /// that keeps one slot busy for `admitted_s` seconds was admitted since, and all slots are
    /// busy.
    ///
    /// Compensates the delay of the view during a burst or a backlog: the load that it reports does
    /// not include what was admitted in the meantime.
    pub fn projected(mut self, age_s: f64, admitted_s: f64) -> CapacityEstimate {
        let Some(work_s) = self.work_s else { return self };
        let change = (admitted_s / self.slots - age_s) / work_s;
        self.expected_load = (self.load + change).max(self.load.min(REFUSAL_LOAD));
        self.capacity = capacity_at(self.expected_load, self.target, self.slots);
        self
    }

    /// Returns the slots that all requests need.
    pub fn demand(&self) -> f64 {
        self.demands.values().sum()
    }

    /// Returns `true` if the slots are full and the demand exceeds the capacity.
    pub fn is_short(&self) -> bool {
        self.load >= self.refusal_load && self.capacity < self.demand()
    }
}

/// Returns the slots that new requests may use at `load` requests per slot.
fn capacity_at(load: f64, target: f64, slots: f64) -> f64 {
    slots * (1.0 + GAIN * (target - load)).max(MIN_CAPACITY)
}

/// Returns the load, in requests per slot, at which the waiting requests are still served within
/// the latency target.
fn target_load(latency_target_ms: u64, work_s: Option<f64>) -> f64 {
    let (lowest, highest) = TARGET_LOADS;
    let Some(work_s) = work_s else { return lowest };
    if latency_target_ms == 0 {
        return highest;
    }
    let latency_target_s = latency_target_ms as f64 / 1000.0;
    (1.0 + (latency_target_s - 2.0 * work_s) / (4.0 * work_s)).clamp(lowest, highest)
}

/// Returns the mean work time of the priorities with a known work time, in seconds.
fn mean_work_s(priorities: &BTreeMap<u32, PriorityLoad>) -> Option<f64> {
    let known = || priorities.values().filter_map(|load| Some((load, known_work_s(load)?)));
    // A priority without arrivals gets a small weight, which is better than no work time at all.
    let weight = |load: &PriorityLoad| arrivals_per_s(load).max(1e-3);
    let weights: f64 = known().map(|(load, _)| weight(load)).sum();
    let sum: f64 = known().map(|(load, work_s)| weight(load) * work_s).sum();
    (weights > 0.0).then(|| sum / weights)
}

fn known_work_s(load: &PriorityLoad) -> Option<f64> {
    (load.work_us > 0.0 && load.work_us.is_finite()).then(|| load.work_us / 1e6)
}

/// Returns the arrivals per second of a priority, or 0 if the reported value is not a finite
/// number.
pub fn arrivals_per_s(load: &PriorityLoad) -> f64 {
    if load.arrivals_per_s.is_finite() { load.arrivals_per_s.max(0.0) } else { 0.0 }
}
