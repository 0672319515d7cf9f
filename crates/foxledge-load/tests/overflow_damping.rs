//! How shares move from one plan to the next.

mod common;

use common::at_ms;
use foxledge_core::names::CentreName;
use foxledge_load::{CentreCapacity, OverflowPlan};

/// A plan of the north, where half of the demand in a burst is excess.
struct PlanRun {
    plan: OverflowPlan,
    millis: u64,
}

impl PlanRun {
    fn new() -> PlanRun {
        PlanRun { plan: OverflowPlan::new(CentreName::new("north")), millis: 0 }
    }

    fn steps(&mut self, count: u32, demand: f64) -> f64 {
        let room = |centre, demand| CentreCapacity {
            data_centre: CentreName::new(centre),
            slots: 60.0,
            demand,
        };
        for _ in 0..count {
            let rooms = [room("north", demand), room("south", 0.0), room("west", 0.0)];
            self.plan.update(at_ms(self.millis), &rooms);
            self.millis += 50;
        }
        self.plan.shares().values().sum()
    }
}

const BURST: f64 = 96.0;

// Guards against all instances moving half of their flows in one step.
#[test]
fn share_moves_by_half() {
    let mut run = PlanRun::new();
    for wanted in [0.25, 0.375, 0.4375] {
        common::assert_near(run.steps(1, BURST), wanted);
    }
}

// Guards against overflow that takes effect too late for a burst of seconds.
#[test]
fn share_settles_in_time() {
    let mut run = PlanRun::new();
    assert!(run.steps(5, BURST) > 0.48);
}

// Guards against routers that ask more often than each 50 ms moving faster.
#[test]
fn frequent_updates_move_once() {
    let mut run = PlanRun::new();
    run.steps(1, BURST);
    let rooms = [("north", BURST), ("south", 0.0)].map(|(centre, demand)| CentreCapacity {
        data_centre: CentreName::new(centre),
        slots: 60.0,
        demand,
    });
    let before = run.plan.shares()["south"];
    for millis in 1..50 {
        run.plan.update(at_ms(millis), &rooms);
    }
    assert_eq!(run.plan.shares()["south"], before);
}

// Guards against flows that keep leaving after the burst, or return in one step.
#[test]
fn flows_return_home() {
    let mut run = PlanRun::new();
    run.steps(40, BURST);
    common::assert_near(run.steps(1, 20.0), 0.25);
    common::assert_near(run.steps(1, 20.0), 0.125);
    assert_eq!(run.steps(10, 20.0), 0.0);
    assert!(run.plan.shares().is_empty());
    assert_eq!(run.plan.centre_for(0), None);
}

// Guards against a second burst starting from the state that the first one left.
#[test]
fn second_burst_equals_first() {
    let mut run = PlanRun::new();
    let mut rise = || (0..20).map(|_| run.steps(1, BURST)).collect::<Vec<_>>();
    let first = rise();
    run.steps(40, 20.0);
    let mut rise = || (0..20).map(|_| run.steps(1, BURST)).collect::<Vec<_>>();
    assert_eq!(rise(), first);
}

// Guards against a second burst before the shares of the first have returned overshooting.
#[test]
fn quick_bursts_stay_bounded() {
    let mut run = PlanRun::new();
    for _ in 0..20 {
        let high = run.steps(3, BURST);
        assert!((0.4..=0.5).contains(&high), "{high}");
        let low = run.steps(3, 20.0);
        assert!((0.0..0.1).contains(&low), "{low}");
    }
}

// Guards against oscillation: with constant demand each step comes nearer and none goes back.
#[test]
fn constant_demand_settles() {
    let mut run = PlanRun::new();
    let mut before = 0.0;
    for _ in 0..400 {
        let share = run.steps(1, BURST);
        assert!((before..=0.5 + 1e-9).contains(&share), "{before} to {share}");
        before = share;
    }
    common::assert_near(before, 0.5);
}
