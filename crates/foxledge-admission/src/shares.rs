//! Division of the capacity by priority, and max-min fair division.

use std::collections::BTreeMap;

/// Returns the admitted share of each priority's requests, from 0 to 1.
///
/// If demand exceeds the capacity, priorities are served in order, the highest (0) first. At each
/// of them, a floor is reserved for the lower priorities: `floor_fraction` of the capacity, but at
/// most half of the remaining capacity, and at most the demand of the lower priorities.
pub fn priority_shares(
    capacity: f64,
    demands: &BTreeMap<u32, f64>,
    floor_fraction: f64,
) -> BTreeMap<u32, f64> {
    let floor = capacity * floor_fraction;
    let mut remaining = capacity;
    let mut demand_below: f64 = demands.values().sum();
    let mut shares = BTreeMap::new();
    for (priority, demand) in demands {
        demand_below = (demand_below - demand).max(0.0);
        let reserved = floor.min(remaining / 2.0).min(demand_below);
        let granted = demand.min(remaining - reserved);
        remaining -= granted;
        let share = if *demand > 0.0 { granted / demand } else { 1.0 };
        shares.insert(*priority, share.clamp(0.0, 1.0));
    }
    shares
}

/// Returns the level that caps each of `rates` when a total rate of `served` is divided fairly
/// among them; infinite if it suffices for all.
///
/// Max-min fairness by water-filling: Bertsekas and Gallager, "Data Networks", 1992, section 6.5.
pub fn fair_level(mut rates: Vec<f64>, served: f64) -> f64 {
    rates.sort_by(f64::total_cmp);
    let mut remaining = served.max(0.0);
    let count = rates.len();
    for (index, rate) in rates.iter().enumerate() {
        let level = remaining / (count - index) as f64;
        if *rate > level {
            return level;
        }
        remaining -= rate;
    }
    f64::INFINITY
}
