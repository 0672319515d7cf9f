//! Share of new flows that is sent to other data centres, and how it is divided among them.

use std::collections::BTreeMap;

use foxledge_core::{names::CentreName, time::ClockTime};

/// The load of a data centre, in requests per slot, up to which none of its flows overflows.
const MIN_LEVEL: f64 = 0.8;
/// The interval between two steps of the shares, in milliseconds.
const STEP_INTERVAL_MS: u64 = 50;
/// The fraction of the difference to the target share that one step closes.
const STEP_FRACTION: f64 = 0.5;
/// The share below which a decaying share is removed.
const MIN_SHARE: f64 = 0.001;

/// The slots and the demand of one data centre for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct CentreCapacity {
    /// The data centre.
    pub data_centre: CentreName,
    /// Usable slots: those of healthy, allowed backend servers in a data centre that is not
    /// evacuated. Slower backend servers count in proportion.
    pub slots: f64,
    /// Slots needed by the requests of the data centre's callers, wherever they are served.
    pub demand: f64,
}

/// The share of a service's new flows that is sent to each other data centre.
///
/// Offloads a burst in one data centre to idle slots of others, and spreads a shortage of the whole
/// fleet evenly. The shares are computed from demand, which does not change when flows are
/// sent elsewhere, so there is no feedback that could oscillate.
#[derive(Clone, Debug)]
pub struct OverflowPlan {
    local_centre: CentreName,
    shares: BTreeMap<CentreName, f64>,
    next_step_at: ClockTime,
}

impl OverflowPlan {
    /// Creates the plan for the instances of `local_centre`, with all flows kept local.
    pub fn new(local_centre: CentreName) -> OverflowPlan {
        OverflowPlan { local_centre, shares: BTreeMap::new(), next_step_at: ClockTime::ZERO }
    }

    /// Moves the shares one step towards the target for `capacities`, if the next step is due.
    ///
    /// Data centres without an entry or without slots lose their share immediately. Without an
    /// entry for the local data centre the load is unknown, and all flows stay local.
    pub fn update(&mut self, now: ClockTime, capacities: &[CentreCapacity]) {
        if !capacities.iter().any(|capacity| capacity.data_centre == self.local_centre) {
            self.shares.clear();
            return;
        }
        self.shares.retain(|centre, _| {
            capacities
                .iter()
                .any(|capacity| capacity.data_centre == *centre && sanitized(capacity.slots) > 0.0)
        });
        if !self.next_step_at.is_past(now) {
            return;
        }
        self.next_step_at = now.after_millis(STEP_INTERVAL_MS);
        self.step(&target_shares(&self.local_centre, capacities));
    }

    /// Returns the data centre that a new flow with this hash is sent to, or `None` if it stays
    /// local.
    ///
    /// Each data centre receives its share of the hashes, and a small change of the shares moves
    /// few hashes.
    pub fn centre_for(&self, hash: u64) -> Option<&CentreName> {
        let mut position = (hash >> 11) as f64 / (1u64 << 53) as f64;
        for (centre, share) in &self.shares {
            if position < *share {
                return Some(centre);
            }
            position -= share;
        }
        None
    }

    /// Returns the shares of new flows by data centre; the remainder to 1 stays local.
    pub fn shares(&self) -> &BTreeMap<CentreName, f64> {
        &self.shares
    }

    fn step(&mut self, targets: &BTreeMap<CentreName, f64>) {
        for centre in targets.keys() {
            self.shares.entry(centre.clone()).or_default();
        }
        self.shares.retain(|centre, share| {
            let target = targets.get(centre).copied().unwrap_or_default();
            *share += STEP_FRACTION * (target - *share);
            target > 0.0 || *share >= MIN_SHARE
        });
    }
}

/// Computes the shares that the plan approaches step by step. The local data centre sends away its
/// excess over the level, which is the mean load of all data centres, in demand per slot, and at
/// least `MIN_LEVEL`. The excess is divided in proportion to the spare slots of the others below
/// that level.
fn target_shares(
    local_centre: &CentreName,
    capacities: &[CentreCapacity],
) -> BTreeMap<CentreName, f64> {
    let slots: f64 = capacities.iter().map(|capacity| sanitized(capacity.slots)).sum();
    let demand: f64 = capacities.iter().map(|capacity| sanitized(capacity.demand)).sum();
    if slots <= 0.0 {
        return BTreeMap::new();
    }
    let level = (demand / slots).max(MIN_LEVEL);
    let spare =
        |capacity: &CentreCapacity| level * sanitized(capacity.slots) - sanitized(capacity.demand);
    let Some(local) = capacities.iter().find(|capacity| capacity.data_centre == *local_centre)
    else {
        return BTreeMap::new();
    };
    let excess = -spare(local);
    if excess <= 0.0 {
        return BTreeMap::new();
    }
    let receivers: Vec<&CentreCapacity> =
        capacities.iter().filter(|capacity| spare(capacity) > 0.0).collect();
    let total_spare: f64 = receivers.iter().map(|capacity| spare(capacity)).sum();
    let share = excess / sanitized(local.demand);
    receivers
        .iter()
        .map(|capacity| (capacity.data_centre.clone(), share * spare(capacity) / total_spare))
        .collect()
}

/// Returns the value; 0 if it is negative or not finite.
fn sanitized(value: f64) -> f64 {
    if value.is_finite() { value.max(0.0) } else { 0.0 }
}
