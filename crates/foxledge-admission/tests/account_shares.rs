//! Client accounts that ask for more than their share.

mod common;

use common::{ModelGate, ModelPlan, ModelTally, QueueModel, at, caller, planned, room, verdict};
use foxledge_admission::{
    AccountKey, AdmissionDecision, AdmissionOptions, AdmissionPolicy, ServiceSnapshot,
    ShareAdmission,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Accounts that ask for as much as each other.
const ACCOUNTS: u32 = 100;
/// The usual load at which 100 accounts ask for 1.3 times the slots, and for nearly all.
const SHORT: f64 = 3.5;
const FITTING: f64 = 2.5;

/// A play of 19 instances that each hear of a part of the samples, with an account beside the
/// others that asks for some multiple of what each of them does.
fn play(seed: u64, factor: f64, multiple: f64, options: AdmissionOptions) -> ModelTally {
    let factor = factor * (1.0 + multiple / f64::from(ACCOUNTS));
    let policies = (0..19).map(|_| ShareAdmission::new(options.clone())).collect();
    let plan = ModelPlan {
        instances: 19,
        accounts: ACCOUNTS,
        heavy: multiple,
        heard: 0.5,
        // Long beside the 0.3 s in which a burst is not seen yet, and all lose alike.
        times: (2.0, 22.0, 23.0),
        ..ModelPlan::new(seed, &[(1, factor), (2, factor)])
    };
    QueueModel::play(plan, ModelGate::Policies(policies))
}

/// The heavy account's answers in aim by another account's.
fn rate_of_heavy(tally: &ModelTally) -> f64 {
    let others: f64 = tally.kinds.values().map(|kind| kind.in_aim).sum();
    tally.heavy.in_aim / (others / f64::from(ACCOUNTS))
}

// One account at ten times its share takes what the others would get.
#[test]
fn ten_shares() {
    for factor in [FITTING, SHORT] {
        let mut kept = Vec::new();
        for seed in 1..=6 {
            let fair = play(seed, factor, 1.0, AdmissionOptions::default()).all_in_aim();
            let tally = play(seed, factor, 10.0, AdmissionOptions::default());
            kept.push(tally.all_in_aim() / fair);
            // Where the others fit, the heavy account has what they leave.
            let rate = rate_of_heavy(&tally);
            assert!((0.6..if factor == SHORT { 1.4 } else { 9.0 }).contains(&rate), "{rate}");
        }
        // Single seeds differ from the mean by up to 1.2%.
        let mean = kept.iter().sum::<f64>() / kept.len() as f64;
        assert!(mean >= 0.99, "{kept:.4?} of the others' answers at {factor} times the usual load");
    }
}

// Accounts without a share, as the settings say, are refused by account.
#[test]
fn switched_off() {
    let rate = rate_of_heavy(&play(1, SHORT, 10.0, AdmissionOptions::default().account_share(0.0)));
    assert!(rate > 7.0, "{rate}");
}

// A larger multiple in the settings gives an account no more.
#[test]
fn larger_multiple() {
    let rate = |share| {
        let options = AdmissionOptions::default().account_share(share);
        rate_of_heavy(&play(1, SHORT, 10.0, options))
    };
    let (once, fourfold) = (rate(1.0), rate(4.0));
    assert!(fourfold > 2.0 * once, "{fourfold} beside {once}");
}

/// What 19 instances tell in 50 ms of 100 accounts, of which the first asks for a multiple.
fn view(random: &mut StdRng, millis: u64, multiple: f64) -> ServiceSnapshot {
    let mut draw = || random.random_range(0.0..f64::from(ACCOUNTS) + multiple) as u32;
    let key = |number: u32| (AccountKey::of(caller(number.min(ACCOUNTS))).0, 2);
    let accounts = (0..114).map(|_| key(draw())).collect();
    ServiceSnapshot { account_samples: accounts, ..room(millis, 2.0, &[(1, 8_000.0)]) }
}

// Accounts that ask for as much as each other are cut by chance.
#[test]
fn equal_accounts() {
    let mut random = StdRng::seed_from_u64(1);
    let mut policy = ShareAdmission::new(AdmissionOptions::default());
    for millis in (0..6000).step_by(50) {
        policy.update(at(millis), &view(&mut random, millis, 1.0));
        assert!(policy.heavy_accounts().is_empty(), "at {millis} ms");
    }
}

// Of two accounts, one asks for nearly all and isn't heavy beside the mean of both.
#[test]
fn two_accounts() {
    let samples = |number, count| vec![(AccountKey::of(caller(number)).0, 10); count];
    let accounts = [samples(1, 40), samples(2, 4)].concat();
    let policy =
        planned(&ServiceSnapshot { account_samples: accounts, ..room(1000, 2.0, &[(1, 8_000.0)]) });
    assert_eq!(
        policy.heavy_accounts().keys().copied().collect::<Vec<_>>(),
        [AccountKey::of(caller(1))]
    );
    let refused = (1000..1200).map(|millis| verdict(&policy, millis, 1, 1));
    assert!(refused.into_iter().any(|one| one == AdmissionDecision::AccountShare));
}

// Made-up addresses fill the memory, or push the heavy account out.
#[test]
fn bounded_memory() {
    let mut policy = ShareAdmission::new(AdmissionOptions::default());
    let mut random = StdRng::seed_from_u64(2);
    for millis in (0..2000).step_by(50) {
        let mut accounts: Vec<_> = (0..2_000).map(|_| (random.random(), 2)).collect();
        accounts.extend([(AccountKey::of(caller(1)).0, 2); 40]);
        policy.update(
            at(millis),
            &ServiceSnapshot { account_samples: accounts, ..room(millis, 2.0, &[(1, 80_000.0)]) },
        );
        assert!(policy.tracked_accounts() <= 4096);
    }
    assert!(policy.heavy_accounts().contains_key(&AccountKey::of(caller(1))));
}

// An account is cut for what it asked for long ago.
#[test]
fn lapsed_samples() {
    let mut random = StdRng::seed_from_u64(1);
    let mut policy = ShareAdmission::new(AdmissionOptions::default());
    for millis in (0..2000).step_by(50) {
        policy.update(at(millis), &view(&mut random, millis, 10.0));
    }
    assert_eq!(policy.heavy_accounts().len(), 1);
    for millis in (2000..4000).step_by(50) {
        policy.update(at(millis), &room(millis, 2.0, &[(1, 8_000.0)]));
    }
    assert!(policy.heavy_accounts().is_empty());
    assert_eq!(policy.tracked_accounts(), 0);
}
