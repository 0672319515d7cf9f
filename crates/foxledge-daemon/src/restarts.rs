//! When a failed part is started anew.

use std::time::Duration;

use foxledge_core::time::ClockTime;
use rand::{Rng, rngs::StdRng};

/// `RestartLimits` bounds the back-off between restarts.
#[derive(Clone, Copy, Debug)]
pub struct RestartLimits {
    first: Duration,
    longest: Duration,
    stable: Duration,
}

impl Default for RestartLimits {
    fn default() -> RestartLimits {
        RestartLimits {
            first: Duration::from_millis(50),
            longest: Duration::from_secs(5),
            stable: Duration::from_secs(30),
        }
    }
}

impl RestartLimits {
    /// Sets the delay after a first failure.
    pub fn first(mut self, first: Duration) -> RestartLimits {
        self.first = first;
        self
    }

    /// Sets the longest delay.
    pub fn longest(mut self, longest: Duration) -> RestartLimits {
        self.longest = longest;
        self
    }

    /// Sets how long a part must have run for its earlier failures to be forgotten.
    pub fn stable(mut self, stable: Duration) -> RestartLimits {
        self.stable = stable;
        self
    }
}

/// `RestartPlan` is the back-off of one part: exponential, capped, with jitter.
#[derive(Debug)]
pub struct RestartPlan {
    limits: RestartLimits,
    failures: u32,
    forget_at: ClockTime,
}

impl RestartPlan {
    /// Makes the plan of a part that starts at `now`.
    pub fn new(limits: RestartLimits, now: ClockTime) -> RestartPlan {
        RestartPlan { limits, failures: 0, forget_at: now.after(limits.stable) }
    }

    /// Notes a failure and returns when to start the part again.
    ///
    /// Without the growing delay, a part that fails at its start would be
    /// started in a tight loop and starve the others; without the jitter, the
    /// instances of a fleet that failed together would start together again.
    pub fn on_failure(&mut self, now: ClockTime, rng: &mut StdRng) -> ClockTime {
        if self.forget_at.is_past(now) {
            self.failures = 0;
        }
        let doubled = self.limits.first.saturating_mul(1 << self.failures.min(16));
        let delay = doubled.min(self.limits.longest);
        self.failures += 1;
        let restart_at = now.after(delay.mul_f64(rng.random_range(0.5..=1.0)));
        self.forget_at = restart_at.after(self.limits.stable);
        restart_at
    }

    /// Failures since the part last ran for long.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
