//! Which share of new flows leaves a data centre, and where to.

use std::collections::BTreeMap;

use foxledge_core::{names::CentreName, time::ClockTime};

/// Requests a slot up to which all flows stay near.
const LEAST_LEVEL: f64 = 0.8;
/// Time between steps of the shares, in milliseconds.
const STEP_MS: u64 = 50;
/// Part of the difference to the new plan by which a share moves in a step.
const STEP_PART: f64 = 0.5;
/// Share below which a share that falls to zero is zero.
const LEAST_SHARE: f64 = 0.001;

/// `CentreCapacity` is the slots of one data centre for a service, and what its callers ask for.
#[derive(Clone, Debug, PartialEq)]
pub struct CentreCapacity {
    /// The data centre.
    pub data_centre: CentreName,
    /// Usable slots: healthy, allowed, not evacuated; slower ones count in proportion.
    pub slots: f64,
    /// Slots that the requests of its callers need, wherever these are served.
    pub demand: f64,
}

/// `OverflowPlan` is the share of a service's new flows that goes to each other data centre.
///
/// It answers a burst in one data centre while others have idle slots, and a shortage of all,
/// which it spreads evenly. It is computed from demand, which doesn't change when flows are sent
/// elsewhere, so it has no feedback and can't oscillate.
#[derive(Clone, Debug)]
pub struct OverflowPlan {
    own: CentreName,
    shares: BTreeMap<CentreName, f64>,
    step_at: ClockTime,
}

impl OverflowPlan {
    /// A plan of a data centre's instances by which all flows stay near.
    pub fn new(own: CentreName) -> OverflowPlan {
        OverflowPlan { own, shares: BTreeMap::new(), step_at: ClockTime::ZERO }
    }

    /// Moves the shares a step towards the plan for `rooms`, when a step is due.
    ///
    /// Data centres that are absent from `rooms` or have no slots get nothing at once. Without
    /// the own one nothing is known, and all flows stay near.
    pub fn update(&mut self, now: ClockTime, rooms: &[CentreCapacity]) {
        if !rooms.iter().any(|room| room.data_centre == self.own) {
            self.shares.clear();
            return;
        }
        self.shares.retain(|centre, _| {
            rooms.iter().any(|room| room.data_centre == *centre && sane(room.slots) > 0.0)
        });
        if !self.step_at.is_past(now) {
            return;
        }
        self.step_at = now.after_millis(STEP_MS);
        self.step(&wanted_shares(&self.own, rooms));
    }

    /// The data centre of a new flow with this hash; none when it stays near.
    ///
    /// Each data centre gets its share of the hashes, and a small change of the shares moves few
    /// hashes.
    pub fn centre_for(&self, draw: u64) -> Option<&CentreName> {
        let mut place = (draw >> 11) as f64 / (1u64 << 53) as f64;
        for (centre, share) in &self.shares {
            if place < *share {
                return Some(centre);
            }
            place -= share;
        }
        None
    }

    /// Shares of new flows by data centre; what is missing to 1 stays near.
    pub fn shares(&self) -> &BTreeMap<CentreName, f64> {
        &self.shares
    }

    fn step(&mut self, wanted: &BTreeMap<CentreName, f64>) {
        for centre in wanted.keys() {
            self.shares.entry(centre.clone()).or_default();
        }
        self.shares.retain(|centre, share| {
            let target = wanted.get(centre).copied().unwrap_or_default();
            *share += STEP_PART * (target - *share);
            target > 0.0 || *share >= LEAST_SHARE
        });
    }
}

/// The undamped shares: the own data centre sends away its excess over the level, in proportion
/// to the others' room below it.
fn wanted_shares(own: &CentreName, rooms: &[CentreCapacity]) -> BTreeMap<CentreName, f64> {
    let slots: f64 = rooms.iter().map(|room| sane(room.slots)).sum();
    let demand: f64 = rooms.iter().map(|room| sane(room.demand)).sum();
    if slots <= 0.0 {
        return BTreeMap::new();
    }
    let level = (demand / slots).max(LEAST_LEVEL);
    let spare = |room: &CentreCapacity| level * sane(room.slots) - sane(room.demand);
    let Some(near) = rooms.iter().find(|room| room.data_centre == *own) else {
        return BTreeMap::new();
    };
    let excess = -spare(near);
    if excess <= 0.0 {
        return BTreeMap::new();
    }
    let takers: Vec<&CentreCapacity> = rooms.iter().filter(|room| spare(room) > 0.0).collect();
    let room_of_all: f64 = takers.iter().map(|room| spare(room)).sum();
    let share = excess / sane(near.demand);
    takers
        .iter()
        .map(|room| (room.data_centre.clone(), share * spare(room) / room_of_all))
        .collect()
}

fn sane(value: f64) -> f64 {
    if value.is_finite() { value.max(0.0) } else { 0.0 }
}
