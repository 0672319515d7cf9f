//! Measurement of each member's demand, and its split into a fair share and an excess.

use std::{collections::HashMap, time::Duration};

use foxledge_core::{names::MemberName, time::ClockTime};
use serde::Serialize;

// Demand is averaged over this time, or over this many mean run times if that is longer.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);
const DEMAND_WINDOW_RUNS: u32 = 200;
// The fair share is the demand of the median member plus this many standard deviations,
// so that random differences between equal members stay below it.
const FAIR_SHARE_DEVIATIONS: f64 = 2.0;
// A member whose demand exceeds this many fair shares is heavy, beyond random variation.
const HEAVY_FACTOR: f64 = 2.0;
// The fraction of the demand window whose fair share may arrive in one burst.
const BURST_FRACTION: f64 = 0.1;
// The median demand, in work items of mean cost, below which no fair share is set.
const MIN_MEDIAN_LEVEL: f64 = 3.0;
// The time between updates of the median.
const MEDIAN_INTERVAL: Duration = Duration::from_millis(100);
// Members whose demand has decayed below this fraction of the highest are removed.
const IDLE_DEMAND_FRACTION: f64 = 1e-4;

/// Whether a work item is within the fair share of its member.
///
/// Paid priority alone doesn't keep one member from starving another: a member of a higher
/// priority that sends ten times its share would take the capacity that lower priorities
/// depend on. Work beyond the fair share is therefore served from the capacity that work
/// within the fair shares leaves, whatever its priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkTier {
    /// Within the fair share.
    Fair,
    /// Beyond the fair share.
    Excess,
}

/// Measures the recent demand of each member and classifies work items by it.
///
/// The fair share is relative to the demand of the other members and not an equal split of
/// the slots: when all members request twice the capacity, no work is excess and paid
/// priority decides.
#[derive(Debug, Default)]
pub struct DemandMeter {
    indexes: HashMap<MemberName, usize>,
    demands: Vec<MemberDemand>,
    // `None` with fewer than two members or too little demand.
    fair_share: Option<FairShare>,
    next_median_at: ClockTime,
    // When the median was updated first, which is at the first work item.
    started_at: Option<ClockTime>,
}

/// The cost that a member of weight 1 may request per demand window.
#[derive(Clone, Copy, Debug)]
struct FairShare {
    median: f64,
    limit: f64,
}

/// The demand of one member per unit of weight.
#[derive(Clone, Debug)]
struct MemberDemand {
    member: MemberName,
    // The requested cost, which decays exponentially over the demand window.
    level: f64,
    // The cost that still counts as fair at once: a token bucket.
    allowance: f64,
    // The time that `level` and `allowance` refer to.
    updated_at: ClockTime,
}

impl DemandMeter {
    /// Creates a meter without any recorded demand.
    pub fn new() -> DemandMeter {
        DemandMeter::default()
    }

    /// Records a work item of `member` and returns whether it is within the fair share.
    ///
    /// `cost` is the mean run time of the item's kind divided by `mean_run_time`, that of all
    /// requests.
    pub fn classify(
        &mut self,
        now: ClockTime,
        member: &MemberName,
        weight: u32,
        cost: f64,
        mean_run_time: Duration,
    ) -> WorkTier {
        let window_s = DEMAND_WINDOW.max(mean_run_time * DEMAND_WINDOW_RUNS).as_secs_f64();
        self.update_median(now, window_s);
        let fair_share = self.fair_share;
        let index = self.index_of(member, now);
        let demand = &mut self.demands[index];
        let weighted_cost = cost / f64::from(weight.max(1));
        demand.decay(now, window_s, fair_share);
        demand.level += weighted_cost;
        if fair_share.is_none() {
            return WorkTier::Fair;
        }
        if demand.allowance < weighted_cost {
            return WorkTier::Excess;
        }
        demand.allowance -= weighted_cost;
        WorkTier::Fair
    }

    fn index_of(&mut self, member: &MemberName, now: ClockTime) -> usize {
        if let Some(&index) = self.indexes.get(member) {
            return index;
        }
        let allowance = self.fair_share.map_or(0.0, |share| share.limit * BURST_FRACTION);
        let demand =
            MemberDemand { member: member.clone(), level: 0.0, allowance, updated_at: now };
        self.indexes.insert(member.clone(), self.demands.len());
        self.demands.push(demand);
        self.demands.len() - 1
    }

    fn update_median(&mut self, now: ClockTime, window_s: f64) {
        if !self.next_median_at.is_past(now) {
            return;
        }
        self.next_median_at = now.after(MEDIAN_INTERVAL);
        let started_at = *self.started_at.get_or_insert(now);
        for demand in &mut self.demands {
            demand.decay(now, window_s, self.fair_share);
        }
        self.remove_idle();
        let mut levels: Vec<_> = self.demands.iter().map(|demand| demand.level).collect();
        levels.sort_by(f64::total_cmp);
        // The lower median: with two members, the smaller demand counts.
        let median = levels.get(levels.len().saturating_sub(1) / 2).copied();
        // Decaying sums start at zero, so they are scaled up until they cover the window.
        let coverage = 1.0 - (-now.since(started_at).as_secs_f64() / window_s).exp();
        let is_defined = levels.len() > 1 && median >= Some(MIN_MEDIAN_LEVEL);
        let was_defined = self.fair_share.is_some();
        let share_of =
            |level| FairShare { median: level / coverage, limit: with_margin(level) / coverage };
        self.fair_share = median.filter(|_| is_defined).map(share_of);
        if !was_defined {
            self.fill_allowances(coverage);
        }
    }

    // Sets the allowance of each member when the fair share becomes known.
    fn fill_allowances(&mut self, coverage: f64) {
        let Some(fair_share) = self.fair_share else {
            return;
        };
        for demand in &mut self.demands {
            let remaining = fair_share.limit * coverage - demand.level;
            demand.allowance = remaining.clamp(0.0, fair_share.limit * BURST_FRACTION);
        }
    }

    fn remove_idle(&mut self) {
        let highest = self.demands.iter().map(|demand| demand.level).fold(0.0, f64::max);
        let min_level = highest * IDLE_DEMAND_FRACTION;
        if self.demands.iter().all(|demand| demand.level >= min_level) {
            return;
        }
        self.demands.retain(|demand| demand.level >= min_level);
        let indexed = self.demands.iter().enumerate();
        self.indexes = indexed.map(|(index, demand)| (demand.member.clone(), index)).collect();
    }
}

// The variance of an exponentially decaying count of Poisson arrivals is half its mean.
fn with_margin(level: f64) -> f64 {
    level + FAIR_SHARE_DEVIATIONS * (level / 2.0).sqrt()
}

impl MemberDemand {
    fn decay(&mut self, now: ClockTime, window_s: f64, fair_share: Option<FairShare>) {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.level *= (-elapsed_s / window_s).exp();
        let Some(fair_share) = fair_share else {
            return;
        };
        // The margin covers random variation; a member above twice the share gets none.
        let is_heavy = self.level > fair_share.limit * HEAVY_FACTOR;
        let refill = if is_heavy { fair_share.median } else { fair_share.limit };
        let max_allowance = refill * BURST_FRACTION;
        self.allowance = (self.allowance + refill * elapsed_s / window_s).min(max_allowance);
    }
}
