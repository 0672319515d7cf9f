//! Whether a service is short of room, and how much room it has.

use std::collections::BTreeMap;

use foxledge_load::PriorityLoad;

use crate::interface::ServiceSnapshot;

/// Range of the target load, in requests a slot: slots stay busy at the least, and at the most
/// requests wait as long as they run.
const TARGETS: (f64, f64) = (1.25, 2.0);
/// Part of the slots by which the room changes for each request a slot beside the target. Larger
/// gains follow the noise of views, and the load settles above the target.
const GAIN: f64 = 0.3;
/// Least room, as a part of the slots. With 0.1, a load of five times the slots and a view 250 ms
/// late oscillates: slots run empty before the end of the backlog is seen.
const LEAST_ROOM: f64 = 0.3;
/// Load in requests a slot below which nothing is refused.
const FULL_LOAD: f64 = 1.0;
/// The same while work times are unknown, so that demand can only be estimated from the load.
const FULL_UNKNOWN_LOAD: f64 = 3.0;

/// `ServiceShortage` is the state of a service's room at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceShortage {
    /// Requests that run or wait, by slot, as reported.
    pub load: f64,
    /// The load that is expected now.
    pub expected: f64,
    /// Usable slots.
    pub slots: f64,
    /// Mean work time in seconds; none while unknown.
    pub work_s: Option<f64>,
    /// Load at which slots stay busy and requests that wait are still served in time.
    pub target: f64,
    /// Slots that new requests may fill.
    pub room: f64,
    /// Requests asked for a second.
    pub requests_per_s: f64,
    /// Slots that the requests asked for need, by priority.
    pub demands: BTreeMap<u32, f64>,
    /// Load from which openings may be refused.
    pub full_load: f64,
}

impl ServiceShortage {
    /// The shortage of a service that is asked for `requests_per_s`, by priority; none without
    /// slots.
    ///
    /// Answers the load that is above what the slots can serve within the aim.
    pub fn of(
        room: &ServiceSnapshot,
        requests_per_s: &BTreeMap<u32, f64>,
    ) -> Option<ServiceShortage> {
        if !(room.slots > 0.0 && room.running.is_finite()) {
            return None;
        }
        let load = room.running.max(0.0) / room.slots;
        let work_s = mean_work_s(&room.priorities);
        let all_per_s: f64 = requests_per_s.values().sum();
        // Of a service whose slots are all busy, the requests in progress need all slots.
        let usual_s = work_s.unwrap_or(room.slots / all_per_s.max(f64::MIN_POSITIVE));
        let demand = |(priority, per_s): (&u32, &f64)| {
            let known_s = room.priorities.get(priority).and_then(known_work_s);
            (*priority, per_s * known_s.unwrap_or(usual_s))
        };
        let target = target_load(room.latency_target_ms, work_s);
        Some(ServiceShortage {
            load,
            expected: load,
            slots: room.slots,
            work_s,
            target,
            room: room_at(load, target, room.slots),
            requests_per_s: all_per_s,
            demands: requests_per_s.iter().map(demand).collect(),
            full_load: work_s.map_or(FULL_UNKNOWN_LOAD, |_| FULL_LOAD),
        })
    }

    /// The shortage at the load that is expected `age_s` seconds after it was reported, when
    /// `admitted_s` seconds of work for a slot were admitted since and all slots are busy.
    ///
    /// Answers a burst or backlog that changes while the view is on its way: without it, the
    /// room is computed from a load that what was admitted meanwhile has already changed.
    pub fn expected_after(mut self, age_s: f64, admitted_s: f64) -> ServiceShortage {
        let Some(work_s) = self.work_s else { return self };
        let change = (admitted_s / self.slots - age_s) / work_s;
        self.expected = (self.load + change).max(self.load.min(FULL_LOAD));
        self.room = room_at(self.expected, self.target, self.slots);
        self
    }

    /// Slots that all requests asked for need.
    pub fn demand(&self) -> f64 {
        self.demands.values().sum()
    }

    /// True while slots are full and more is asked for than the room.
    pub fn is_short(&self) -> bool {
        self.load >= self.full_load && self.room < self.demand()
    }
}

/// Slots that new requests may fill at a load in requests a slot.
fn room_at(load: f64, target: f64, slots: f64) -> f64 {
    slots * (1.0 + GAIN * (target - load)).max(LEAST_ROOM)
}

/// Requests a slot that callers can use: as many wait as are served within the aim.
fn target_load(aim_ms: u64, work_s: Option<f64>) -> f64 {
    let (least, most) = TARGETS;
    let Some(work_s) = work_s else { return least };
    if aim_ms == 0 {
        return most;
    }
    let aim_s = aim_ms as f64 / 1000.0;
    (1.0 + (aim_s - 2.0 * work_s) / (4.0 * work_s)).clamp(least, most)
}

/// Mean work time of the priorities whose work time is known, in seconds.
fn mean_work_s(priorities: &BTreeMap<u32, PriorityLoad>) -> Option<f64> {
    let known = || priorities.values().filter_map(|one| Some((one, known_work_s(one)?)));
    // A priority without arrivals counts little, but is better than no work time.
    let weight = |one: &PriorityLoad| arrivals_per_s(one).max(1e-3);
    let weights: f64 = known().map(|(one, _)| weight(one)).sum();
    let sum: f64 = known().map(|(one, work_s)| weight(one) * work_s).sum();
    (weights > 0.0).then(|| sum / weights)
}

fn known_work_s(load: &PriorityLoad) -> Option<f64> {
    (load.work_us > 0.0 && load.work_us.is_finite()).then(|| load.work_us / 1e6)
}

/// Arrivals of a priority a second, 0 where what was told is no number.
pub fn arrivals_per_s(load: &PriorityLoad) -> f64 {
    if load.arrivals_per_s.is_finite() { load.arrivals_per_s.max(0.0) } else { 0.0 }
}
