//! Simulations of a service of 240 slots in virtual time: bursts, the usual load, a crowd of
//! returning callers.

mod common;

use common::{ModelPlan, ModelTally, QueueModel, SLOTS, USUAL, share_gate};

const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

fn run(plan: ModelPlan) -> ModelTally {
    let gate = share_gate(plan.instances);
    QueueModel::run(plan, gate)
}

fn run_all_seeds(burst: &[(u32, f64)]) -> Vec<ModelTally> {
    SEEDS.iter().map(|seed| run(ModelPlan::new(*seed, burst))).collect()
}

/// Counts the refusals below one request per slot during the burst, and later ones that come more
/// than 200 ms after the load fell below that: a view is 150 ms late, and a plan holds for 50 ms.
fn needless_refusals(tally: &ModelTally) -> usize {
    let (_, end, _) = ModelPlan::new(0, &[]).times;
    let is_needless = |(at, below_s): &&(f64, f64)| *at < end || *below_s > 0.2;
    tally.refused_below_one.iter().filter(is_needless).count()
}

/// Mean over simulations; the 4,400 requests of priority 1 in each vary by 0.04% by chance.
fn mean(tallies: &[ModelTally], fraction: impl Fn(&ModelTally) -> f64) -> f64 {
    tallies.iter().map(fraction).sum::<f64>() / tallies.len() as f64
}

// Guards against a flood of less urgent requests occupying the slots of urgent ones.
#[test]
fn serves_urgent_requests_in_less_urgent_burst() {
    let tallies = run_all_seeds(&[(2, 5.0)]);
    let urgent = mean(&tallies, |tally| tally.in_time(1));
    assert!(urgent >= 0.999, "priority 1 {urgent}");
    for tally in &tallies {
        assert!(tally.in_time(1) >= 0.998, "priority 1 {}", tally.in_time(1));
        assert!(tally.all_in_time() >= 0.75, "all {}", tally.all_in_time());
        assert_eq!(needless_refusals(tally), 0);
    }
}

// Guards against urgent requests losing to less urgent ones when all priorities have a burst.
#[test]
fn prefers_urgent_requests_in_burst_of_all_priorities() {
    for tally in run_all_seeds(&[(1, 3.5), (2, 3.5)]) {
        assert!(tally.in_time(1) >= 0.995, "priority 1 {}", tally.in_time(1));
        assert!(tally.all_in_time() >= 0.70, "all {}", tally.all_in_time());
        assert_eq!(needless_refusals(&tally), 0);
    }
}

// Guards against refusals while slots are free.
#[test]
fn refuses_nothing_below_capacity() {
    for factor in [1.0, 1.6, 2.2] {
        for tally in run_all_seeds(&[(1, factor), (2, factor)]) {
            assert_eq!(tally.refused, 0, "at {factor} times the usual load");
        }
    }
}

// Guards against goodput that falls with rising demand, because refused requests are retried or
// slots run empty.
#[test]
fn keeps_goodput_at_rising_demand() {
    let usual: f64 = USUAL.iter().map(|(_, per_s, work_us)| per_s * work_us / 1e6).sum();
    for times in [1.5, 3.0, 5.0] {
        let factor = times * SLOTS / usual;
        let tally = run(ModelPlan::new(1, &[(1, factor), (2, factor)]));
        let kinds = USUAL
            .iter()
            .map(|(priority, _, work_us)| tally.kinds[priority].in_time * work_us / 1e6 / 9.0);
        let busy = kinds.sum::<f64>() / SLOTS;
        assert!(
            busy >= 0.85,
            "{busy} of the slots answer in time at a demand of {times} times the slots"
        );
    }
}

// Guards against oscillation between empty slots and full queues when views are later than usual.
#[test]
fn does_not_oscillate_with_later_views() {
    let burst = [(1, 13.4), (2, 13.4)];
    let tally = run(ModelPlan { view_steps: 5, ..ModelPlan::new(1, &burst) });
    let settled = &tally.loads[80..220];
    assert!(settled.iter().all(|load| (1.0..4.0).contains(load)), "{settled:.1?}");
}

// Guards against admitting too many requests of callers that do not retry, which the estimate takes
// for fewer requests than they are.
#[test]
fn limits_callers_without_retries() {
    let single = |seed: &u64| run(ModelPlan { tries: 1, ..ModelPlan::new(*seed, &[(2, 5.0)]) });
    let tallies: Vec<_> = SEEDS.iter().map(single).collect();
    let urgent = mean(&tallies, |tally| tally.in_time(1));
    let all = mean(&tallies, ModelTally::all_in_time);
    assert!(urgent >= 0.998, "priority 1 {urgent}");
    assert!(all >= 0.75, "all {all}");
}

// Guards against admitting a crowd that waited for the end of an outage all at once, and against
// refusing it while slots are free.
#[test]
fn readmits_returning_crowd_steadily() {
    // Half a second at five times the slots leaves a backlog of 2 s, or 3.2 s at the usual load.
    let plan = ModelPlan {
        times: (2.0, 2.5, 9.0),
        tries: 10,
        retry_delay_us: 100_000,
        ..ModelPlan::new(1, &[(1, 13.4), (2, 13.4)])
    };
    let tally = run(plan);
    let load_at = |second: f64| tally.loads[(second * 20.0) as usize];
    let between = |first: f64, last: f64| {
        let loads = &tally.loads[(first * 20.0) as usize..(last * 20.0) as usize];
        loads.iter().sum::<f64>() / loads.len() as f64
    };
    assert!(between(2.5, 4.5) > 1.0, "slots were free while callers waited");
    assert!(load_at(6.5) < 0.6, "the crowd is still there after {}", load_at(6.5));
}
