//! Placement of flows in virtual time, at the load of a real site and above.

use foxledge_bench::flows::{
    FlowChoice, FlowResult, SITE_LEVEL, flow_plans, flow_table, run_flows,
};

const SEEDS: std::ops::Range<u64> = 1..4;

fn runs(policy: &str, variant: &str, level: f64, seed: u64) -> Vec<FlowResult> {
    let names = |name: &str| if name.is_empty() { Vec::new() } else { vec![name.to_owned()] };
    let choice =
        FlowChoice { policies: names(policy), variants: names(variant), levels: vec![level], seed };
    run_flows(&flow_plans(&choice), 4)
}

/// The product's policy at the site's own load, one run for each seed.
fn site_runs(variant: &str) -> Vec<FlowResult> {
    SEEDS.flat_map(|seed| runs("least-loaded", variant, SITE_LEVEL, seed)).collect()
}

#[test]
fn digits_by_seed() {
    let first = runs("", "silent-servers", SITE_LEVEL, 1);
    let second = runs("", "silent-servers", SITE_LEVEL, 1);
    assert_eq!(flow_table(&first), flow_table(&second));
    assert_ne!(first, runs("", "silent-servers", SITE_LEVEL, 2));
}

#[test]
fn calm_stays_near() {
    for result in site_runs("plain") {
        assert!(result.in_aim > 0.999 && result.far == 0.0, "{result:?}");
        assert_eq!((result.false_suspicions, result.ended), (0, 0), "{result:?}");
    }
}

// Symptom: price feeds fail for as long as their callers keep flows to dead backend servers.
// Sequence: three of 14 backend servers die with all their flows open.
// Cause: requests there stay unanswered, so they count as busy; no new flow is placed
//   there, and nothing shows that they are dead.
#[test]
fn silence_soon_noticed() {
    for result in site_runs("silent-servers") {
        assert!(result.feeds_served > 0.997, "{result:?}");
        assert!(result.silence_ms <= 300, "{result:?}");
        assert_eq!((result.false_ejections, result.ended_falsely), (0, 0), "{result:?}");
    }
}

// Symptom: flows are broken off at backend servers that live.
// Sequence: three packets in ten are lost between instances and backend servers.
// Cause: losses are taken for a death.
#[test]
fn losses_end_few() {
    for result in site_runs("lost-packets") {
        assert!(result.feeds_served > 0.98, "{result:?}");
        assert!(result.ended_falsely <= 6, "{result:?}");
    }
}

// Symptom: an instance that wakes accuses backend servers that answered long ago.
#[test]
fn pause_accuses_nobody() {
    for result in site_runs("frozen-instance") {
        assert_eq!((result.false_suspicions, result.false_ejections), (0, 0), "{result:?}");
        assert_eq!(result.ended, 0, "{result:?}");
    }
}

#[test]
fn slow_ones_spared() {
    // Four of 14 take five times as long: the product's policy leaves them to the rest.
    for seed in SEEDS {
        let results = runs("", "slow-servers", SITE_LEVEL, seed);
        let (ours, others) = results.split_first().expect("all policies ran");
        let best = others.iter().map(|one| one.in_aim).fold(0.0, f64::max);
        assert!(ours.in_aim + 0.02 > best, "{ours:?}: {best}");
        assert_eq!(ours.ended, 0, "{ours:?}");
    }
}

#[test]
fn busy_hours_spread() {
    // At nine tenths of what the slots carry, and with callers moved to one data centre.
    for variant in ["plain", "shifted-callers"] {
        for seed in SEEDS {
            let results = runs("", variant, 0.9, seed);
            let (ours, others) = results.split_first().expect("all policies ran");
            for other in others {
                assert!(ours.in_aim > other.in_aim, "{ours:?} {other:?}");
                assert!(ours.turned_away < other.turned_away, "{ours:?} {other:?}");
            }
        }
    }
}
