//! Backoff between restarts of a failed part.

use std::time::Duration;

use foxledge_core::time::ClockTime;
use rand::{Rng, rngs::StdRng};

/// The bounds of the backoff between restarts.
#[derive(Clone, Copy, Debug)]
pub struct RestartLimits {
    initial_delay: Duration,
    max_delay: Duration,
    stable_after: Duration,
}

impl Default for RestartLimits {
    fn default() -> RestartLimits {
        RestartLimits {
            initial_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(5),
            stable_after: Duration::from_secs(30),
        }
    }
}

impl RestartLimits {
    /// Sets the delay after the first failure, which doubles with each further one.
    pub fn initial_delay(mut self, initial_delay: Duration) -> RestartLimits {
        self.initial_delay = initial_delay;
        self
    }

    /// Sets the maximum delay between a failure and the restart.
    pub fn max_delay(mut self, max_delay: Duration) -> RestartLimits {
        self.max_delay = max_delay;
        self
    }

    /// Sets the run time without a failure after which the failure count of a part is reset.
    pub fn stable_after(mut self, stable_after: Duration) -> RestartLimits {
        self.stable_after = stable_after;
        self
    }
}

/// The restart backoff of a part: exponential, capped, with jitter.
#[derive(Debug)]
pub struct RestartBackoff {
    limits: RestartLimits,
    failure_count: u32,
    reset_at: ClockTime,
}

impl RestartBackoff {
    /// Creates the backoff of a part that starts at `now`.
    pub fn new(limits: RestartLimits, now: ClockTime) -> RestartBackoff {
        RestartBackoff { limits, failure_count: 0, reset_at: now.after(limits.stable_after) }
    }

    /// Records a failure and returns the time at which to restart the part.
    ///
    /// Without an increasing delay, a part that fails at its start would be restarted
    /// in a tight loop and starve the others. Without jitter, parts that failed at the
    /// same time on all instances would restart at the same time.
    pub fn on_failure(&mut self, now: ClockTime, rng: &mut StdRng) -> ClockTime {
        if self.reset_at.is_past(now) {
            self.failure_count = 0;
        }
        let doubled = self.limits.initial_delay.saturating_mul(1 << self.failure_count.min(16));
        let delay = doubled.min(self.limits.max_delay);
        self.failure_count += 1;
        let restart_at = now.after(delay.mul_f64(rng.random_range(0.5..=1.0)));
        self.reset_at = restart_at.after(self.limits.stable_after);
        restart_at
    }

    /// Returns the number of failures since the last reset.
    pub fn failure_count(&self) -> u32 {
        self.failure_count
    }
}
