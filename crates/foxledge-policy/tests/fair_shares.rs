//! Fair shares: work of a member beyond its fair share is served after the work of others.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{SchedulerHarness, bid};
use foxledge_core::{lists::PaidPriority, names::MemberName, time::ClockTime};
use foxledge_policy::{
    SchedulerOptions, TargetSignal,
    demand::{DemandMeter, WorkTier},
};

/// A load of callers that send at constant rates, with run times of 20 ms.
struct SteadyLoad {
    /// Name, priority and bids per 100 ms.
    members: Vec<(&'static str, u8, u64)>,
    targets: usize,
}

impl SteadyLoad {
    /// Returns the fraction of each member's bids that ended, after a warm-up of one second.
    fn served_fractions(&self, seconds: u64) -> BTreeMap<&'static str, f64> {
        let mut harness = SchedulerHarness::new(SchedulerOptions::new(), self.targets);
        let mut owners: BTreeMap<u64, &'static str> = BTreeMap::new();
        let mut ends: Vec<(ClockTime, u64, u64)> = Vec::new();
        let mut sent: BTreeMap<&'static str, u64> = BTreeMap::new();
        let mut ended = sent.clone();
        let mut seen_count = 0;
        for step in 0..seconds * 100 {
            for &(name, priority, per_100_ms) in &self.members {
                let count = (step + 1) * per_100_ms / 10 - step * per_100_ms / 10;
                for _ in 0..count {
                    let id = owners.len() as u64;
                    let mut item = bid(&harness, id, name);
                    item.priority = PaidPriority(priority);
                    item.deadline = harness.now.after_millis(500);
                    owners.insert(id, name);
                    *sent.entry(name).or_default() += u64::from(step >= 100);
                    harness.submit(item);
                }
            }
            harness.advance(10);
            for &(work, dispatch, _) in &harness.dispatched[seen_count..] {
                ends.push((harness.now.after_millis(20), work, dispatch));
            }
            seen_count = harness.dispatched.len();
            let now = harness.now;
            for &(_, work, dispatch) in ends.iter().filter(|(end_at, ..)| end_at.is_past(now)) {
                *ended.entry(owners[&work]).or_default() += u64::from(step >= 100);
                harness.signal(dispatch, TargetSignal::Ended);
            }
            ends.retain(|(end_at, ..)| !end_at.is_past(now));
        }
        let fraction = |(name, sent): (&'static str, u64)| {
            let ended = ended.get(name).copied().unwrap_or(0);
            (name, ended as f64 / sent.max(1) as f64)
        };
        sent.into_iter().map(fraction).collect()
    }
}

// The slots can serve four members until one of a higher priority sends ten times its share. If
// paid priority takes precedence over fairness between members, the lowest priority gets nothing.
#[test]
fn serves_the_others_when_a_member_of_a_higher_priority_sends_ten_times_its_share() {
    let mut members = vec![("high", 5, 14), ("mid", 2, 14), ("low", 0, 14), ("other", 0, 14)];
    let baseline = SteadyLoad { members: members.clone(), targets: 10 }.served_fractions(6);
    members[0].2 = 140;
    let served = SteadyLoad { members, targets: 10 }.served_fractions(6);
    for name in ["mid", "low", "other"] {
        assert!(served[name] > 0.97, "{name} got {} instead of {}", served[name], baseline[name]);
    }
    assert!(served["high"] > 0.08, "the greedy member keeps its fair share: {served:?}");
}

#[test]
fn serves_by_paid_priority_when_all_members_overload_the_service() {
    let members = vec![("high", 5, 60), ("mid", 2, 60), ("low", 0, 60)];
    let served = SteadyLoad { members, targets: 4 }.served_fractions(6);
    assert!(served["high"] > served["mid"] && served["mid"] > served["low"], "{served:?}");
    assert!(served["low"] > 0.005, "the lowest priority is served a minimum: {served:?}");
}

#[test]
fn scales_the_fair_share_with_the_weight() {
    let mut meter = DemandMeter::new();
    let run = Duration::from_millis(20);
    let names = ["a", "b", "c"].map(MemberName::new);
    let mut excess = [0; 3];
    for step in 0..4000u64 {
        let now = ClockTime::from_micros(step * 5_000);
        // The first member sends four times as much as the others and has weight 4.
        for (index, name) in names.iter().enumerate() {
            let (count, weight) = if index == 0 { (4, 4) } else { (1, 1) };
            for _ in 0..count {
                let tier = meter.classify(now, name, weight, 1.0, run);
                excess[index] += u32::from(tier == WorkTier::Excess);
            }
        }
    }
    assert_eq!(excess, [0; 3]);
}

#[test]
fn reserves_the_last_free_slot_for_work_within_the_fair_share() {
    let members = vec![("greedy", 0, 100), ("light", 0, 2)];
    let load = SteadyLoad { members, targets: 2 };
    let served = load.served_fractions(6);
    // Of four slots, three are open to excess work: 15 bids in 100 ms, and 1 or 2 more within the
    // fair share.
    assert!(served["light"] > 0.97, "{served:?}");
    assert!(served["greedy"] < 0.19, "{served:?}");
}
