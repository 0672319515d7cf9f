//! Which part of a member's work goes beyond its fair part.

use std::{collections::HashMap, time::Duration};

use foxledge_core::{names::MemberName, time::ClockTime};
use serde::Serialize;

// Demand is taken over this time, or over this many usual runs if that is longer.
const DEMAND_TIME: Duration = Duration::from_secs(5);
const DEMAND_RUNS: u32 = 200;
// A member's fair part is the median member's demand and this many standard
// deviations, which keeps chance differences between equal members below it.
const FAIR_DEVIATIONS: f64 = 2.0;
// A member above this many fair parts is heavy beyond chance.
const HEAVY_FACTOR: f64 = 2.0;
// Part of the demand time whose fair part may come at once.
const BURST_PART: f64 = 0.1;
// The median counts from this many works on.
const LEAST_LEVEL: f64 = 3.0;
// How often the median is taken.
const MEDIAN_PERIOD: Duration = Duration::from_millis(100);
// Members whose demand has faded to this part of the highest are forgotten.
const FADED_PART: f64 = 1e-4;

/// `WorkTier` is whether work is within its member's fair part.
///
/// Paid priority alone doesn't keep one member's traffic from starving
/// another's: a member of a higher priority that sends ten times its share
/// takes what lower priorities live on. So what goes beyond a member's fair
/// part is served from what the fair parts leave, whatever it paid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkTier {
    /// Within.
    Fair,
    /// Beyond.
    Excess,
}

/// `DemandMeter` knows how much each member asked for lately.
///
/// The fair part is set against the other members' demand and not against an
/// equal split of the slots: when all members ask for twice what there is,
/// nobody is beyond and paid priority decides.
#[derive(Debug, Default)]
pub struct DemandMeter {
    places: HashMap<MemberName, usize>,
    demands: Vec<MemberDemand>,
    // None with fewer than two members.
    fair_part: Option<FairPart>,
    next_median: ClockTime,
    // When the first work came.
    began_at: Option<ClockTime>,
}

/// `FairPart` is what a member of weight 1 may ask for over the demand time.
#[derive(Clone, Copy, Debug)]
struct FairPart {
    median: f64,
    limit: f64,
}

/// `MemberDemand` is what one member asked for, by unit of weight.
#[derive(Clone, Debug)]
struct MemberDemand {
    member: MemberName,
    // Cost asked for, fading over the demand time.
    level: f64,
    // Cost that may still come at once.
    allowance: f64,
    // Until when both are worked out.
    at: ClockTime,
}

impl DemandMeter {
    /// Makes a meter that saw nothing.
    pub fn new() -> DemandMeter {
        DemandMeter::default()
    }

    /// Counts work of `member` and says whether it is within the fair part.
    ///
    /// `cost` is the work's usual run as a multiple of `usual_run`, that of all work.
    pub fn classify(
        &mut self,
        now: ClockTime,
        member: &MemberName,
        weight: u32,
        cost: f64,
        usual_run: Duration,
    ) -> WorkTier {
        let time = DEMAND_TIME.max(usual_run * DEMAND_RUNS).as_secs_f64();
        self.take_median(now, time);
        let fair_part = self.fair_part;
        let place = self.place_of(member, now);
        let demand = &mut self.demands[place];
        let share = cost / f64::from(weight.max(1));
        demand.fade(now, time, fair_part);
        demand.level += share;
        if fair_part.is_none() {
            return WorkTier::Fair;
        }
        if demand.allowance < share {
            return WorkTier::Excess;
        }
        demand.allowance -= share;
        WorkTier::Fair
    }

    fn place_of(&mut self, member: &MemberName, now: ClockTime) -> usize {
        if let Some(&place) = self.places.get(member) {
            return place;
        }
        let allowance = self.fair_part.map_or(0.0, |part| part.limit * BURST_PART);
        let demand = MemberDemand { member: member.clone(), level: 0.0, allowance, at: now };
        self.places.insert(member.clone(), self.demands.len());
        self.demands.push(demand);
        self.demands.len() - 1
    }

    fn take_median(&mut self, now: ClockTime, time: f64) {
        if !self.next_median.is_past(now) {
            return;
        }
        self.next_median = now.after(MEDIAN_PERIOD);
        let began_at = *self.began_at.get_or_insert(now);
        for demand in &mut self.demands {
            demand.fade(now, time, self.fair_part);
        }
        self.forget_faded();
        let mut levels: Vec<_> = self.demands.iter().map(|demand| demand.level).collect();
        levels.sort_by(f64::total_cmp);
        // Of an even number the lower one, so that of two members the smaller counts.
        let median = levels.get(levels.len().saturating_sub(1) / 2).copied();
        // Fading sums start at zero: until they have filled they are scaled up.
        let filled = 1.0 - (-now.since(began_at).as_secs_f64() / time).exp();
        let is_known = levels.len() > 1 && median >= Some(LEAST_LEVEL);
        let was_known = self.fair_part.is_some();
        let part = |level| FairPart { median: level / filled, limit: with_margin(level) / filled };
        self.fair_part = median.filter(|_| is_known).map(part);
        if !was_known {
            self.fill_allowances(filled);
        }
    }

    // What each member may still ask for at once when the fair part becomes known.
    fn fill_allowances(&mut self, filled: f64) {
        let Some(part) = self.fair_part else {
            return;
        };
        for demand in &mut self.demands {
            let left = part.limit * filled - demand.level;
            demand.allowance = left.clamp(0.0, part.limit * BURST_PART);
        }
    }

    fn forget_faded(&mut self) {
        let highest = self.demands.iter().map(|demand| demand.level).fold(0.0, f64::max);
        let least = highest * FADED_PART;
        if self.demands.iter().all(|demand| demand.level >= least) {
            return;
        }
        self.demands.retain(|demand| demand.level >= least);
        let places = self.demands.iter().enumerate();
        self.places = places.map(|(place, demand)| (demand.member.clone(), place)).collect();
    }
}

// A fading count of Poisson arrivals has half its mean as variance.
fn with_margin(level: f64) -> f64 {
    level + FAIR_DEVIATIONS * (level / 2.0).sqrt()
}

impl MemberDemand {
    fn fade(&mut self, now: ClockTime, time: f64, fair_part: Option<FairPart>) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.level *= (-passed / time).exp();
        let Some(fair_part) = fair_part else {
            return;
        };
        // The margin is for chance; a member that asks for twice as much gets none.
        let is_heavy = self.level > fair_part.limit * HEAVY_FACTOR;
        let part = if is_heavy { fair_part.median } else { fair_part.limit };
        let most = part * BURST_PART;
        self.allowance = (self.allowance + part * passed / time).min(most);
    }
}
