//! Client accounts that demand more than their share.

mod common;

use common::{
    ModelGate, ModelPlan, ModelTally, QueueModel, at_ms, caller, decision, snapshot, updated_policy,
};
use foxledge_admission::{
    AccountKey, AdmissionDecision, AdmissionOptions, AdmissionPolicy, ServiceSnapshot,
    ShareAdmission,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// The number of accounts with equal demand.
const ACCOUNTS: u32 = 100;
/// The multiples of the usual load at which 100 accounts demand 1.3 times the slots, and nearly all
/// slots.
const OVERLOAD: f64 = 3.5;
const FULL_LOAD: f64 = 2.5;

/// Simulates 19 instances that each receive some of the samples, and one account whose demand is a
/// multiple of that of every other.
fn run(seed: u64, factor: f64, multiple: f64, options: AdmissionOptions) -> ModelTally {
    let factor = factor * (1.0 + multiple / f64::from(ACCOUNTS));
    let policies = (0..19).map(|_| ShareAdmission::new(options.clone())).collect();
    let plan = ModelPlan {
        instances: 19,
        accounts: ACCOUNTS,
        heavy: multiple,
        received_fraction: 0.5,
        // Long compared with the first 0.3 s, in which a burst is not visible yet and all accounts
        // lose alike.
        times: (2.0, 22.0, 23.0),
        ..ModelPlan::new(seed, &[(1, factor), (2, factor)])
    };
    QueueModel::run(plan, ModelGate::Policies(policies))
}

/// The heavy account's answers within the latency target, relative to those of another account.
fn heavy_account_rate(tally: &ModelTally) -> f64 {
    let others: f64 = tally.kinds.values().map(|kind| kind.in_time).sum();
    tally.heavy.in_time / (others / f64::from(ACCOUNTS))
}

// Guards against one account with ten times its share taking the answers of the others.
#[test]
fn protects_others_from_account_with_ten_shares() {
    for factor in [FULL_LOAD, OVERLOAD] {
        let mut ratios = Vec::new();
        for seed in 1..=6 {
            let fair = run(seed, factor, 1.0, AdmissionOptions::default()).all_in_time();
            let tally = run(seed, factor, 10.0, AdmissionOptions::default());
            ratios.push(tally.all_in_time() / fair);
            // If the demand of the others fits, the heavy account uses the rest.
            let rate = heavy_account_rate(&tally);
            assert!((0.6..if factor == OVERLOAD { 1.4 } else { 9.0 }).contains(&rate), "{rate}");
        }
        // Single seeds differ from the mean by up to 1.2%.
        let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
        assert!(
            mean >= 0.99,
            "{ratios:.4?} of the others' answers at {factor} times the usual load"
        );
    }
}

// Guards against limiting accounts although the settings disable their shares.
#[test]
fn limits_no_account_without_account_shares() {
    let rate =
        heavy_account_rate(&run(1, OVERLOAD, 10.0, AdmissionOptions::default().account_share(0.0)));
    assert!(rate > 7.0, "{rate}");
}

// Guards against the configured multiple of an account having no effect.
#[test]
fn gives_account_more_with_larger_multiple() {
    let rate = |share| {
        let options = AdmissionOptions::default().account_share(share);
        heavy_account_rate(&run(1, OVERLOAD, 10.0, options))
    };
    let (once, fourfold) = (rate(1.0), rate(4.0));
    assert!(fourfold > 2.0 * once, "{fourfold} beside {once}");
}

/// The snapshot of 50 ms at 19 instances: 100 accounts, and one more with a multiple of their
/// demand.
fn sampled_snapshot(random: &mut StdRng, millis: u64, multiple: f64) -> ServiceSnapshot {
    let mut draw = || random.random_range(0.0..f64::from(ACCOUNTS) + multiple) as u32;
    let key = |number: u32| (AccountKey::from_address(caller(number.min(ACCOUNTS))).0, 2);
    let account_samples = (0..114).map(|_| key(draw())).collect();
    ServiceSnapshot { account_samples, ..snapshot(millis, 2.0, &[(1, 8_000.0)]) }
}

// Guards against limiting accounts of equal demand by chance.
#[test]
fn finds_no_heavy_account_among_equal_ones() {
    let mut random = StdRng::seed_from_u64(1);
    let mut policy = ShareAdmission::new(AdmissionOptions::default());
    for millis in (0..6000).step_by(50) {
        policy.update(at_ms(millis), &sampled_snapshot(&mut random, millis, 1.0));
        assert!(policy.heavy_accounts().is_empty(), "at {millis} ms");
    }
}

// Guards against missing a heavy account among two, because it is not heavy compared with the mean
// of both.
#[test]
fn finds_heavy_account_among_two() {
    let samples = |number, count| vec![(AccountKey::from_address(caller(number)).0, 10); count];
    let account_samples = [samples(1, 40), samples(2, 4)].concat();
    let policy = updated_policy(&ServiceSnapshot {
        account_samples,
        ..snapshot(1000, 2.0, &[(1, 8_000.0)])
    });
    assert_eq!(
        policy.heavy_accounts().keys().copied().collect::<Vec<_>>(),
        [AccountKey::from_address(caller(1))]
    );
    let refused = (1000..1200).map(|millis| decision(&policy, millis, 1, 1));
    assert!(refused.into_iter().any(|one| one == AdmissionDecision::AccountShare));
}

// Guards against invented addresses that fill the memory or evict the heavy account.
#[test]
fn bounds_tracked_accounts_and_keeps_heavy_one() {
    let mut policy = ShareAdmission::new(AdmissionOptions::default());
    let mut random = StdRng::seed_from_u64(2);
    for millis in (0..2000).step_by(50) {
        let mut account_samples: Vec<_> = (0..2_000).map(|_| (random.random(), 2)).collect();
        account_samples.extend([(AccountKey::from_address(caller(1)).0, 2); 40]);
        policy.update(
            at_ms(millis),
            &ServiceSnapshot { account_samples, ..snapshot(millis, 2.0, &[(1, 80_000.0)]) },
        );
        assert!(policy.tracked_accounts() <= 4096);
    }
    assert!(policy.heavy_accounts().contains_key(&AccountKey::from_address(caller(1))));
}

// Guards against limiting an account for its demand of long ago.
#[test]
fn forgets_expired_samples() {
    let mut random = StdRng::seed_from_u64(1);
    let mut policy = ShareAdmission::new(AdmissionOptions::default());
    for millis in (0..2000).step_by(50) {
        policy.update(at_ms(millis), &sampled_snapshot(&mut random, millis, 10.0));
    }
    assert_eq!(policy.heavy_accounts().len(), 1);
    for millis in (2000..4000).step_by(50) {
        policy.update(at_ms(millis), &snapshot(millis, 2.0, &[(1, 8_000.0)]));
    }
    assert!(policy.heavy_accounts().is_empty());
    assert_eq!(policy.tracked_accounts(), 0);
}
