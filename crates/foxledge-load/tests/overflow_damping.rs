//! How shares change from one plan to the next.

mod common;

use common::at_ms;
use foxledge_core::names::CentreName;
use foxledge_load::{CentreCapacity, OverflowPlan};

/// Drives a plan of the north, where half of the demand during a burst is excess.
struct PlanDriver {
    plan: OverflowPlan,
    millis: u64,
}

impl PlanDriver {
    fn new() -> PlanDriver {
        PlanDriver { plan: OverflowPlan::new(CentreName::new("north")), millis: 0 }
    }

    fn steps(&mut self, count: u32, demand: f64) -> f64 {
        let capacity = |centre, demand| CentreCapacity {
            data_centre: CentreName::new(centre),
            slots: 60.0,
            demand,
        };
        for _ in 0..count {
            let capacities =
                [capacity("north", demand), capacity("south", 0.0), capacity("west", 0.0)];
            self.plan.update(at_ms(self.millis), &capacities);
            self.millis += 50;
        }
        self.plan.shares().values().sum()
    }
}

const BURST: f64 = 96.0;

// Guards against all instances sending away half of their flows in one step.
#[test]
fn moves_half_of_the_difference_per_step() {
    let mut run = PlanDriver::new();
    for expected in [0.25, 0.375, 0.4375] {
        common::assert_near(run.steps(1, BURST), expected);
    }
}

// Guards against overflow that takes effect too late for a burst of a few seconds.
#[test]
fn settles_within_five_steps() {
    let mut run = PlanDriver::new();
    assert!(run.steps(5, BURST) > 0.48);
}

// Guards against routers that update the plan more often than every 50 ms changing the shares
// faster.
#[test]
fn moves_once_per_interval() {
    let mut run = PlanDriver::new();
    run.steps(1, BURST);
    let capacities = [("north", BURST), ("south", 0.0)].map(|(centre, demand)| CentreCapacity {
        data_centre: CentreName::new(centre),
        slots: 60.0,
        demand,
    });
    let before = run.plan.shares()["south"];
    for millis in 1..50 {
        run.plan.update(at_ms(millis), &capacities);
    }
    assert_eq!(run.plan.shares()["south"], before);
}

// Guards against flows that are still sent away after the burst, or that all return in one step.
#[test]
fn returns_flows_in_steps_after_a_burst() {
    let mut run = PlanDriver::new();
    run.steps(40, BURST);
    common::assert_near(run.steps(1, 20.0), 0.25);
    common::assert_near(run.steps(1, 20.0), 0.125);
    assert_eq!(run.steps(10, 20.0), 0.0);
    assert!(run.plan.shares().is_empty());
    assert_eq!(run.plan.centre_for(0), None);
}

// Guards against state of the first burst that changes the response to a second one.
#[test]
fn repeats_the_same_shares_in_a_second_burst() {
    let mut run = PlanDriver::new();
    let mut rise = || (0..20).map(|_| run.steps(1, BURST)).collect::<Vec<_>>();
    let first = rise();
    run.steps(40, 20.0);
    let mut rise = || (0..20).map(|_| run.steps(1, BURST)).collect::<Vec<_>>();
    assert_eq!(rise(), first);
}

// Guards against overshooting if a second burst begins before the shares of the first have decayed.
#[test]
fn does_not_overshoot_in_repeated_bursts() {
    let mut run = PlanDriver::new();
    for _ in 0..20 {
        let high = run.steps(3, BURST);
        assert!((0.4..=0.5).contains(&high), "{high}");
        let low = run.steps(3, 20.0);
        assert!((0.0..0.1).contains(&low), "{low}");
    }
}

// Guards against oscillation: with constant demand, every step approaches the target and none moves
// back.
#[test]
fn approaches_target_monotonically() {
    let mut run = PlanDriver::new();
    let mut before = 0.0;
    for _ in 0..400 {
        let share = run.steps(1, BURST);
        assert!((before..=0.5 + 1e-9).contains(&share), "{before} to {share}");
        before = share;
    }
    common::assert_near(before, 0.5);
}
