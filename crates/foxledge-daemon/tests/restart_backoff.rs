//! The backoff between restarts of a part.

use std::time::Duration;

use foxledge_core::time::ClockTime;
use foxledge_daemon::restarts::{RestartBackoff, RestartLimits};
use rand::{SeedableRng, rngs::StdRng};

fn limits() -> RestartLimits {
    RestartLimits::default()
        .initial_delay(Duration::from_millis(100))
        .max_delay(Duration::from_millis(1000))
        .stable_after(Duration::from_secs(10))
}

/// Guards against a part that can't start and uses all processor time, because the delay doesn't
/// grow, or never restarts, because the delay has no cap. The part fails at each of 40 starts.
#[test]
fn delay_grows_up_to_cap() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut now = ClockTime::ZERO;
        let mut backoff = RestartBackoff::new(limits(), now);
        for failure in 0..40_u32 {
            let restart_at = backoff.on_failure(now, &mut rng);
            let full = Duration::from_millis(100 << failure.min(10)).min(Duration::from_secs(1));
            let delay = restart_at.remaining(now);
            assert!(delay >= full / 2 && delay <= full, "failure {failure}: {delay:?}");
            now = restart_at;
        }
    }
}

#[test]
fn long_run_resets_failure_count() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = RestartBackoff::new(limits(), ClockTime::ZERO);
    let mut now = ClockTime::ZERO;
    for _ in 0..5 {
        now = backoff.on_failure(now, &mut rng);
    }
    assert_eq!(backoff.failure_count(), 5);
    now = now.after(Duration::from_secs(10));
    let delay = backoff.on_failure(now, &mut rng).remaining(now);
    assert_eq!(backoff.failure_count(), 1);
    assert!(delay <= Duration::from_millis(100), "{delay:?}");
}
