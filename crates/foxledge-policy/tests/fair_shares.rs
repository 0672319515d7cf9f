//! Fair parts: what one member sends beyond its part goes behind the others' work.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{DeskTrial, bid};
use foxledge_core::{lists::PaidPriority, names::MemberName, time::ClockTime};
use foxledge_policy::{
    SchedulerOptions, TargetSignal,
    demand::{DemandMeter, WorkTier},
};

/// Callers that each send at a steady pace, and runs of 20 ms.
struct SteadyLoad {
    /// Name, priority and bids per 100 ms.
    members: Vec<(&'static str, u8, u64)>,
    targets: usize,
}

impl SteadyLoad {
    /// Part of each member's bids that ended, after a first second.
    fn served(&self, seconds: u64) -> BTreeMap<&'static str, f64> {
        let mut trial = DeskTrial::new(SchedulerOptions::new(), self.targets);
        let mut owners: BTreeMap<u64, &'static str> = BTreeMap::new();
        let mut ends: Vec<(ClockTime, u64, u64)> = Vec::new();
        let mut asked: BTreeMap<&'static str, u64> = BTreeMap::new();
        let mut ended = asked.clone();
        let mut seen = 0;
        for step in 0..seconds * 100 {
            for &(name, priority, per_100_ms) in &self.members {
                let count = (step + 1) * per_100_ms / 10 - step * per_100_ms / 10;
                for _ in 0..count {
                    let id = owners.len() as u64;
                    let mut item = bid(&trial, id, name);
                    item.priority = PaidPriority(priority);
                    item.deadline = trial.now.after_millis(500);
                    owners.insert(id, name);
                    *asked.entry(name).or_default() += u64::from(step >= 100);
                    trial.offer(item);
                }
            }
            trial.pass(10);
            for &(work, dispatch, _) in &trial.sent[seen..] {
                ends.push((trial.now.after_millis(20), work, dispatch));
            }
            seen = trial.sent.len();
            let now = trial.now;
            for &(_, work, dispatch) in ends.iter().filter(|(at, ..)| at.is_past(now)) {
                *ended.entry(owners[&work]).or_default() += u64::from(step >= 100);
                trial.signal(dispatch, TargetSignal::Ended);
            }
            ends.retain(|(at, ..)| !at.is_past(now));
        }
        let part = |(name, asked): (&'static str, u64)| {
            let ended = ended.get(name).copied().unwrap_or(0);
            (name, ended as f64 / asked.max(1) as f64)
        };
        asked.into_iter().map(part).collect()
    }
}

// Symptom: members of the lowest priority get nothing while one member of a
// higher priority sends ten times its share.
// Sequence: four members that the slots can carry; then one of them sends more.
// Cause: paid priority went before fairness between members.
#[test]
fn a_greedy_member_of_a_higher_priority_starves_nobody() {
    let mut members = vec![("high", 5, 14), ("mid", 2, 14), ("low", 0, 14), ("other", 0, 14)];
    let calm = SteadyLoad { members: members.clone(), targets: 10 }.served(6);
    members[0].2 = 140;
    let served = SteadyLoad { members, targets: 10 }.served(6);
    for name in ["mid", "low", "other"] {
        assert!(served[name] > 0.97, "{name} got {} after {}", served[name], calm[name]);
    }
    assert!(served["high"] > 0.08, "the greedy one keeps its own part: {served:?}");
}

#[test]
fn paid_priority_decides_when_all_ask_for_too_much() {
    let members = vec![("high", 5, 60), ("mid", 2, 60), ("low", 0, 60)];
    let served = SteadyLoad { members, targets: 4 }.served(6);
    assert!(served["high"] > served["mid"] && served["mid"] > served["low"], "{served:?}");
    assert!(served["low"] > 0.005, "the lowest priority has a floor: {served:?}");
}

#[test]
fn weights_raise_the_fair_part() {
    let mut meter = DemandMeter::new();
    let run = Duration::from_millis(20);
    let names = ["a", "b", "c"].map(MemberName::new);
    let mut excess = [0; 3];
    for step in 0..4000u64 {
        let now = ClockTime::from_micros(step * 5_000);
        // The first member asks for four times as much as the others and has weight 4.
        for (place, name) in names.iter().enumerate() {
            let (count, weight) = if place == 0 { (4, 4) } else { (1, 1) };
            for _ in 0..count {
                let tier = meter.classify(now, name, weight, 1.0, run);
                excess[place] += u32::from(tier == WorkTier::Excess);
            }
        }
    }
    assert_eq!(excess, [0; 3]);
}

#[test]
fn the_last_free_slot_is_not_for_excess() {
    let members = vec![("greedy", 0, 100), ("light", 0, 2)];
    let load = SteadyLoad { members, targets: 2 };
    let served = load.served(6);
    // Four slots of which three are open to excess: 15 in 100 ms, and the 1 or 2 of its part.
    assert!(served["light"] > 0.97, "{served:?}");
    assert!(served["greedy"] < 0.19, "{served:?}");
}
