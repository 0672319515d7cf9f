//! Runs in virtual time: the same to the digit, and sane.

use foxledge_bench::{
    places::PlaceKind,
    sweep::{SweepChoice, run_sweep, sweep_plans, sweep_table},
    workloads::LoadVariant,
};

fn short_choice() -> SweepChoice {
    SweepChoice {
        services: vec!["auction-desk".to_owned(), "paperwork".to_owned()],
        levels: vec![2.0],
        variants: vec!["greedy-member".to_owned(), "instance-killed".to_owned()],
        places: vec!["service-home".to_owned(), "two-choices".to_owned()],
        seconds: 5,
        seed: 7,
    }
}

#[test]
fn two_runs_of_one_seed_agree_to_the_digit() {
    let plans = sweep_plans(&short_choice());
    let first = run_sweep(&plans, 1);
    let second = run_sweep(&plans, 4);
    assert_eq!(first, second);
    assert_eq!(sweep_table(&first), sweep_table(&second));
}

#[test]
fn another_seed_gives_other_figures() {
    let plans = sweep_plans(&short_choice());
    let others = sweep_plans(&SweepChoice { seed: 8, ..short_choice() });
    assert_ne!(run_sweep(&plans[..1], 1)[0].wait, run_sweep(&others[..1], 1)[0].wait);
}

// Symptom: work doubled, refused falsely or left without an answer.
// Sequence: each variant, at each place that counts slots, at twice the capacity.
// Cause: none known; this is the promise.
#[test]
fn no_variant_breaks_a_promise() {
    let choice = SweepChoice {
        services: vec!["auction-desk".to_owned()],
        levels: vec![2.0],
        seconds: 6,
        seed: 3,
        ..SweepChoice::default()
    };
    for result in run_sweep(&sweep_plans(&choice), 4) {
        let what = format!("{} {}", result.place, result.variant.as_str());
        assert_eq!((result.doubled, result.false_not_run), (0, 0), "{what}");
        assert_eq!(result.broken, 0, "{what}");
        if result.place == PlaceKind::ServiceHome.as_str()
            && result.variant != LoadVariant::InstanceKilled
        {
            assert_eq!(result.unknown, 0, "{what}");
        }
    }
}
